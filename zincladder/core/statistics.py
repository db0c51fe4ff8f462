"""Statistics by request class and by endpoint: a few additions to a request, read when they are asked for."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from zincladder.core.attempt_end import EndReason
from zincladder.routing import interface as api

# Ends by which an endpoint has shown that it is alive: it sent something that could be read.
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
NEVER_ASKED_ENDS = frozenset((EndReason.LOST_BEFORE_SEND, EndReason.DRAINING))
MAX_CLASSES = 64  # that are counted, with removed ones
SILENCE_MEMORY_SECONDS = 30.0  # after the last message, for which an endpoint's silence is remembered


@dataclass(slots=True)
class EndpointStatistics:
    """One endpoint; times are on the core's clock."""

    attempts: Counter[str] = field(default_factory=Counter)  # by the label of their end
    health_checks: Counter[str] = field(default_factory=Counter)  # by the label of their end
    health_check_seconds: float = 0.0  # in all
    in_flight: int = 0
    unanswered_since: float | None = None  # the first message sent after the last answer
    last_sent_at: float = 0.0
    reported_at: float | None = None
    report: tuple[float, ...] = ()


class Statistics:
    """All endpoints on the list, and all classes. An endpoint that is gone takes its statistics with it."""

    def __init__(self) -> None:
        self.endpoints: dict[api.EndpointId, EndpointStatistics] = {}
        self.answers: Counter[tuple[str, str]] = Counter()  # by class and kind
        self.attempts: Counter[str] = Counter()  # by class
        self.forwarded = 0  # attempts that were written completely
        self.classes: dict[str, None] = {}  # that are counted, the oldest first

    def retain_endpoints(self, endpoints: dict[api.EndpointId, api.Endpoint]) -> None:
        """Guards memory where endpoints are replaced under new ids again and again."""
        for endpoint in self.endpoints.keys() - endpoints.keys():
            del self.endpoints[endpoint]
        for endpoint in endpoints:
            if endpoint not in self.endpoints:
                self.endpoints[endpoint] = EndpointStatistics()

    def retain_classes(self, names: Iterable[str], in_use: Iterable[str]) -> None:
        """Guards memory against classes that come and go under new names: the oldest are dropped."""
        self.classes |= dict.fromkeys(names)
        kept = {*names, *in_use}
        excess = max(0, len(self.classes) - MAX_CLASSES)
        for name in [name for name in self.classes if name not in kept][:excess]:
            del self.classes[name]
        self.attempts = Counter({name: n for name, n in self.attempts.items() if name in self.classes})
        self.answers = Counter({key: n for key, n in self.answers.items() if key[0] in self.classes})

    def record_answer(self, request_class: str, kind: str) -> None:
        """A request was answered; `kind` is the published label."""
        self.answers[request_class, kind] += 1

    def record_written(self) -> None:
        """The last byte of an attempt was written."""
        self.forwarded += 1

    def record_started(self, endpoint: api.EndpointId, now: float, request_class: str | None = None) -> None:
        """An attempt starts, or with no class a health check."""
        if request_class is not None:
            self.attempts[request_class] += 1
        statistics = self.endpoints.get(endpoint)
        if statistics is None:
            return  # gone since the decision
        if request_class is not None:
            statistics.in_flight += 1
        statistics.last_sent_at = now
        if statistics.unanswered_since is None:
            statistics.unanswered_since = now

    def record_ended(self, endpoint: api.EndpointId, reason: EndReason) -> None:
        """An attempt has ended."""
        statistics = self.endpoints.get(endpoint)
        if statistics is None:
            return
        statistics.attempts[reason.value] += 1
        # An endpoint that left and came back under its id starts at 0, with attempts of before in flight.
        statistics.in_flight = max(0, statistics.in_flight - 1)
        self._record_sign_of_life(statistics, reason)

    def record_health_check(
        self,
        endpoint: api.EndpointId,
        reason: EndReason,
        duration: float,
        report: tuple[float, ...],
        now: float,
    ) -> None:
        """A health check has ended after `duration` seconds, with a load report where there is one."""
        statistics = self.endpoints.get(endpoint)
        if statistics is None:
            return
        statistics.health_checks[reason.value] += 1
        statistics.health_check_seconds += duration
        if report:
            statistics.report, statistics.reported_at = report, now
        self._record_sign_of_life(statistics, reason)

    @staticmethod
    def _record_sign_of_life(statistics: EndpointStatistics, reason: EndReason) -> None:
        if reason in ALIVE_ENDS or (reason in NEVER_ASKED_ENDS and not statistics.in_flight):
            statistics.unanswered_since = None

    def silent_seconds(self, endpoint: api.EndpointId, now: float) -> float:
        """Seconds for which an endpoint was asked and did not answer; 0 if no answer is outstanding.

        Guards endpoints that get no more requests: a cancelled attempt says little by itself, so the time
        stops at the last message, and is forgotten where none follows.
        """
        statistics = self.endpoints[endpoint]
        if statistics.unanswered_since is None:
            return 0.0
        if not statistics.in_flight:
            if now - statistics.last_sent_at > SILENCE_MEMORY_SECONDS:
                return 0.0
            now = statistics.last_sent_at
        return max(0.0, now - statistics.unanswered_since)
