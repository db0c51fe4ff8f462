"""What is counted by class and by member: a few additions to a request, read off at the moment of asking."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from zincladder.core.attempt_end import EndReason
from zincladder.routing import interface as api

# Ends by which a member has shown that it is there: it said something that could be read.
ANSWERED = frozenset(
    (
        EndReason.SERVED,
        EndReason.NOT_MODIFIED,
        EndReason.MISS,
        EndReason.REJECTED,
        EndReason.SERVER_ERROR,
        EndReason.DEADLINE_EXCEEDED,
    )
)
MOST_CLASSES = 64  # that are counted, with those dropped
FORGOTTEN = 30.0  # seconds after the last question


@dataclass(slots=True)
class EndpointStatistics:
    """One member."""

    ends: Counter[str] = field(default_factory=Counter)  # attempts by how they ended
    probes: Counter[str] = field(default_factory=Counter)
    probe_seconds: float = 0.0
    open: int = 0
    owes_since: float | None = None  # when it was first asked something since it last answered anything
    asked_at: float = 0.0  # last
    reported_at: float | None = None
    report: tuple[float, ...] = ()


class Statistics:
    """All members on the list, and all classes. A member that is gone takes its figures with it."""

    def __init__(self) -> None:
        self.endpoints: dict[api.EndpointId, EndpointStatistics] = {}
        self.answers: Counter[tuple[str, str]] = Counter()  # by class and kind
        self.attempts: Counter[str] = Counter()  # by class
        self.forwards = 0  # attempts written whole
        self.classes: dict[str, None] = {}  # that are counted, the oldest first

    def keep_only(self, endpoints: dict[api.EndpointId, api.Endpoint]) -> None:
        """Guards memory through a day in which members are replaced under new ids."""
        for endpoint in self.endpoints.keys() - endpoints.keys():
            del self.endpoints[endpoint]
        for endpoint in endpoints:
            if endpoint not in self.endpoints:
                self.endpoints[endpoint] = EndpointStatistics()

    def keep_classes(self, names: Iterable[str], held: Iterable[str]) -> None:
        """Guards memory against classes that come and go under new names: the oldest are forgotten."""
        self.classes |= dict.fromkeys(names)
        kept = {*names, *held}
        for name in [n for n in self.classes if n not in kept][: max(0, len(self.classes) - MOST_CLASSES)]:
            del self.classes[name]
        self.attempts = Counter({k: n for k, n in self.attempts.items() if k in self.classes})
        self.answers = Counter({k: n for k, n in self.answers.items() if k[0] in self.classes})

    def answered(self, request_class: str, kind: str) -> None:
        """A request has got its answer: 'served', 'refused' or 'failed'."""
        self.answers[request_class, kind] += 1

    def written(self) -> None:
        """The last byte of an attempt is on its way."""
        self.forwards += 1

    def asked(self, endpoint: api.EndpointId, now: float, request_class: str | None = None) -> None:
        """An attempt, or with no class a probe, is on its way."""
        if request_class is not None:
            self.attempts[request_class] += 1
        found = self.endpoints.get(endpoint)
        if found is None:
            return  # gone since the decision
        if request_class is not None:
            found.open += 1
        found.asked_at = now
        if found.owes_since is None:
            found.owes_since = now

    def ended(self, endpoint: api.EndpointId, reason: EndReason) -> None:
        """An attempt has ended."""
        found = self.endpoints.get(endpoint)
        if found is None:
            return
        found.ends[reason.value] += 1
        # A member that went and came back under its id begins anew, with what was open before.
        found.open = max(0, found.open - 1)
        self._heard(found, reason)

    def probed(
        self, endpoint: api.EndpointId, reason: EndReason, took: float, report: tuple[float, ...], now: float
    ) -> None:
        found = self.endpoints.get(endpoint)
        if found is None:
            return
        found.probes[reason.value] += 1
        found.probe_seconds += took
        if report:
            found.report, found.reported_at = report, now
        self._heard(found, reason)

    @staticmethod
    def _heard(found: EndpointStatistics, reason: EndReason) -> None:
        if reason in ANSWERED:
            found.owes_since = None
        elif reason in (EndReason.NOT_SENT, EndReason.DRAINING) and not found.open:
            found.owes_since = None  # it was never asked

    def silent(self, endpoint: api.EndpointId, now: float) -> float:
        """Seconds through which a member was asked and said nothing; 0 if it owes no answer.

        Guards members that are not asked any more: an attempt that was called off says little by itself, so
        the time stands still with the last question, and is forgotten when none follows.
        """
        found = self.endpoints[endpoint]
        if found.owes_since is None:
            return 0.0
        if not found.open:
            if now - found.asked_at > FORGOTTEN:
                return 0.0
            now = found.asked_at
        return max(0.0, now - found.owes_since)
