"""Throttles of fills, by source and for all sources together. No I/O.

A source that is asked for more than it can do answers late or refuses. One such source is passed by: the next
one on the ring serves its objects meanwhile. A strain that several sources show is that of the origin behind
them, which no other source relieves: then a share of the requests takes only what caches and sources hold.
"""

from __future__ import annotations

from collections.abc import Callable, Container
from math import exp

from zincladder.routing import interface as api

# Of the admitted share, taken off by each strained fill: multiplicative decrease, as in AIMD. In a large
# fleet a router meets about one fill a second and has to answer within one or two of them.
STRAIN_CUT = 0.75
MANY_FILLS = 20.0  # in a recovery time: from here on each one counts for less, as a share is known to a tenth
# Strained share of the fills that changes nothing. Where sizes are not told, one fill in nine takes twice the
# mean by its size alone (lognormal, spread 1), and some are slow on any day.
STRAIN_BORNE = 0.3
# What a good fill multiplies the share by: at the strained share that is borne, cuts and raises cancel out.
GOOD_RAISE = (1 - STRAIN_CUT) ** (-STRAIN_BORNE / (1 - STRAIN_BORNE))
UNCONFIRMED = 0.5  # weight of a strained fill that no other source confirms: it is common or not, even odds
# Of a fill's spare time, past which it is strained. What a fill tells of a queue is as old as the fill is;
# where fills are few, the next one comes a second later, and what has joined by then needs the other half.
SPARE_OF_FEW, SPARE_OF_MANY = 0.5, 0.75
LEAST_ADMITTED = 0.05  # admitted even under the worst strain: what shows that the strain is over
STRAIN_SURE = 0.5  # admitted share below which fills are slow for sure
# Ends that tell of a strain where they come late; an error does too, as a cache gives slow fills up with one.
LATE = (
    api.AttemptOutcome.OK,
    api.AttemptOutcome.TIMED_OUT,
    api.AttemptOutcome.CANCELLED,
    api.AttemptOutcome.ERROR,
)
SOURCE_STRAINED = (api.FillOutcome.SOURCE_REJECTED, api.FillOutcome.ORIGIN_FAILED)


class FillThrottle:
    """The admitted share of the fills that ask one resource.

    Each strained fill cuts it and each good one raises it, by less where there are many: a router of three
    meets fifty a second, one of a large fleet one. What is withheld fades with the time constant `recovery`,
    in seconds: the longest time for which clients come again with what was turned away.
    """

    def __init__(self, recovery: float) -> None:
        self._recovery = max(recovery, 1e-3)
        self._withheld = 0.0
        self._fills = 0.0  # in about a recovery time
        self._since = 0.0

    def ended(self, strained: bool, now: float, weight: float = 1.0) -> None:
        """Counts a fill: refused, failed or late, or good; `weight` is that of a whole one."""
        fade = self._fade(now)
        self._fills = self._fills * fade + 1
        step = (1 - STRAIN_CUT if strained else GOOD_RAISE) ** (weight * min(1.0, MANY_FILLS / self._fills))
        self._withheld = 1 - min(1.0, max(LEAST_ADMITTED, (1 - self._withheld * fade) * step))
        self._since = now

    def admitted(self, now: float) -> float:
        """The share that is admitted at this time, from `LEAST_ADMITTED` to 1."""
        return 1 - self._withheld * self._fade(now)

    def is_sparse(self, now: float) -> bool:
        """Whether it is told of few fills."""
        return self._fills * self._fade(now) < MANY_FILLS

    def is_strained(self, now: float) -> bool:
        """Whether fills are slow for sure."""
        return self.admitted(now) < STRAIN_SURE

    def _fade(self, now: float) -> float:
        return exp((self._since - now) / self._recovery)


class SourceThrottles:
    """A throttle for each source of fills, and one for what they have in common: the origin behind them."""

    def __init__(self, recovery: float) -> None:
        self._recovery = recovery
        self._common = FillThrottle(recovery)
        self._sources: dict[api.EndpointId, FillThrottle] = {}

    def ended(self, source: api.EndpointId | None, strained: bool, now: float) -> None:
        """Counts the end of a fill from a source, or (`None`) from the origin.

        What one source shows may be its own fault: it counts in full as common once another one shows it too.
        """
        weight = 1.0
        if source is not None:
            self._sources.setdefault(source, FillThrottle(self._recovery)).ended(strained, now)
            weight = UNCONFIRMED if strained and not self._confirmed(source, now) else 1.0
        self._common.ended(strained, now, weight)

    def spare_share(self, now: float) -> float:
        """The share of its spare time past which a fill is strained."""
        return SPARE_OF_FEW if self._common.is_sparse(now) else SPARE_OF_MANY

    def keep_only(self, sources: Container[api.EndpointId]) -> None:
        """Forgets the sources that are not on the list any more."""
        self._sources = {i: kept for i, kept in self._sources.items() if i in sources}

    def admitted(self, now: float) -> float:
        """The share of requests that may make any source ask the origin."""
        return self._common.admitted(now)

    def keeps(self, source: api.EndpointId, now: float, lot: Callable[[], float]) -> bool:
        """Whether a request stays at its own source; else the next fit one is asked. `lot`: from 0 to 1."""
        throttle = self._sources.get(source)
        if throttle is None or not throttle.is_strained(now):
            return True
        elsewhere = self._common.admitted(now) if self._confirmed(source, now) else 1.0
        own = throttle.admitted(now)
        return own >= elsewhere or lot() * elsewhere <= own

    def is_strained(self, source: api.EndpointId, now: float) -> bool:
        """Whether fills from a source are slow for sure: then a cache that says nothing may wait for one."""
        throttle = self._sources.get(source)
        return self._common.is_strained(now) or (throttle is not None and throttle.is_strained(now))

    def _confirmed(self, source: api.EndpointId, now: float) -> bool:
        """Whether a source other than this one is strained."""
        return any(kept.is_strained(now) for i, kept in self._sources.items() if i != source)


def fill_strained(
    event: api.AttemptEnded, request_class: api.RequestClass, work: float, own_fault: bool, spare_share: float
) -> bool | None:
    """Whether an attempt's end tells of a strain of its source; `None` where it tells nothing of a fill.

    `work` is the request's sending time in seconds; `own_fault` says that a refusal was the cache's own, not
    its source's. What was not held and takes more than `spare_share` of the time that an answer of full worth
    has beside its sending is strained.
    """
    if event.fill_outcome in SOURCE_STRAINED:
        return True
    if (
        event.outcome is api.AttemptOutcome.REJECTED
        and event.fill_outcome is not api.FillOutcome.SOURCE_FAILED
    ):
        return None if own_fault else True
    if event.fill_outcome is api.FillOutcome.HIT:
        return None
    spare = max(0.0, request_class.latency_objective + (request_class.objective_per_transfer - 1) * work)
    if event.latency > work + spare_share * spare:
        return True if event.outcome in LATE or event.fill_outcome is api.FillOutcome.SOURCE_FAILED else None
    return False if event.outcome is api.AttemptOutcome.OK else None
