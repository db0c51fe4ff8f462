"""Statistics by request class and by endpoint. Requests only add to counters, which exporters read."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from zincladder.core.attempt_end import EndReason
from zincladder.routing import interface as api

# Ends that show that an endpoint is alive, because it sent a message that could be parsed.
ALIVE_ENDS = frozenset(
    (
        EndReason.SERVED,
        EndReason.NOT_MODIFIED,
        EndReason.MISS,
        EndReason.REJECTED,
        EndReason.SERVER_ERROR,
        EndReason.DEADLINE_EXCEEDED,
    )
)
NOT_SENT_ENDS = frozenset((EndReason.LOST_BEFORE_SEND, EndReason.DRAINING))
MAX_CLASSES = 64  # if more classes have statistics, the oldest unused ones are dropped
# If no attempt is in flight, an endpoint's silence no longer counts this long after the last message to it.
SILENCE_EXPIRY_SECONDS = 30.0


@dataclass(slots=True)
class EndpointStatistics:
    """Statistics of one endpoint; times are on the core's clock."""

    attempts: Counter[str] = field(default_factory=Counter)  # by the label of their end
    health_checks: Counter[str] = field(default_factory=Counter)  # by the label of their end
    health_check_seconds: float = 0.0  # total duration of all health checks
    in_flight: int = 0
    unanswered_since: float | None = None  # when the first message after the last answer was sent
    last_sent_at: float = 0.0
    reported_at: float | None = None  # when the load report arrived
    report: tuple[float, ...] = ()


class Statistics:
    """Statistics of classes and endpoints; those of an endpoint are dropped when it leaves the list."""

    def __init__(self) -> None:
        self.endpoints: dict[api.EndpointId, EndpointStatistics] = {}
        self.answers: Counter[tuple[str, str]] = Counter()  # by class and kind
        self.attempts: Counter[str] = Counter()  # by class
        self.forwarded = 0  # attempts that were written completely
        self.classes: dict[str, None] = {}  # ordered set of counted classes, the oldest first

    def retain_endpoints(self, endpoints: dict[api.EndpointId, api.Endpoint]) -> None:
        """Keeps statistics of exactly these endpoints.

        Dropping the others bounds memory where endpoints are replaced under new ids again and again.
        """
        for endpoint in self.endpoints.keys() - endpoints.keys():
            del self.endpoints[endpoint]
        for endpoint in endpoints:
            if endpoint not in self.endpoints:
                self.endpoints[endpoint] = EndpointStatistics()

    def retain_classes(self, names: Iterable[str], in_use: Iterable[str]) -> None:
        """Adds classes, and drops the oldest unused ones above MAX_CLASSES to bound memory.

        `names` are the current classes, `in_use` those of open requests; both are kept.
        """
        self.classes |= dict.fromkeys(names)
        kept = {*names, *in_use}
        excess = max(0, len(self.classes) - MAX_CLASSES)
        for name in [name for name in self.classes if name not in kept][:excess]:
            del self.classes[name]
        self.attempts = Counter({name: n for name, n in self.attempts.items() if name in self.classes})
        self.answers = Counter({key: n for key, n in self.answers.items() if key[0] in self.classes})

    def record_answer(self, request_class: str, kind: str) -> None:
        """Counts the answer to a request; `kind` is the value of an AnswerKind."""
        self.answers[request_class, kind] += 1

    def record_written(self) -> None:
        """Counts an attempt whose last byte was written."""
        self.forwarded += 1

    def record_started(self, endpoint: api.EndpointId, now: float, request_class: str | None = None) -> None:
        """Records the start of an attempt, or of a health check if `request_class` is None."""
        if request_class is not None:
            self.attempts[request_class] += 1
        statistics = self.endpoints.get(endpoint)
        if statistics is None:
            return  # removed from the list since the router decided
        if request_class is not None:
            statistics.in_flight += 1
        statistics.last_sent_at = now
        if statistics.unanswered_since is None:
            statistics.unanswered_since = now

    def record_ended(self, endpoint: api.EndpointId, reason: EndReason) -> None:
        """Records the end of an attempt."""
        statistics = self.endpoints.get(endpoint)
        if statistics is None:
            return
        statistics.attempts[reason.value] += 1
        # An endpoint that left the list and returned under its id starts at 0 with earlier attempts open.
        statistics.in_flight = max(0, statistics.in_flight - 1)
        self._end_silence_if_alive(statistics, reason)

    def record_health_check(
        self,
        endpoint: api.EndpointId,
        reason: EndReason,
        duration: float,
        report: tuple[float, ...],
        now: float,
    ) -> None:
        """Records the end of a health check after `duration` seconds; an empty `report` is ignored."""
        statistics = self.endpoints.get(endpoint)
        if statistics is None:
            return
        statistics.health_checks[reason.value] += 1
        statistics.health_check_seconds += duration
        if report:
            statistics.report, statistics.reported_at = report, now
        self._end_silence_if_alive(statistics, reason)

    @staticmethod
    def _end_silence_if_alive(statistics: EndpointStatistics, reason: EndReason) -> None:
        if reason in ALIVE_ENDS or (reason in NOT_SENT_ENDS and not statistics.in_flight):
            statistics.unanswered_since = None

    def silent_seconds(self, endpoint: api.EndpointId, now: float) -> float:
        """Returns for how many seconds an endpoint has not answered messages; 0 if no answer is outstanding.

        A cancelled attempt alone does not show that the endpoint is silent. So once no attempt is in flight,
        the time counts up to the last message only, and is 0 after SILENCE_EXPIRY_SECONDS without a message.
        """
        statistics = self.endpoints[endpoint]
        if statistics.unanswered_since is None:
            return 0.0
        if not statistics.in_flight:
            if now - statistics.last_sent_at > SILENCE_EXPIRY_SECONDS:
                return 0.0
            now = statistics.last_sent_at
        return max(0.0, now - statistics.unanswered_since)
