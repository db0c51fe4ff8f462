"""Throttles of fills, by source and for all sources together. No I/O.

A source that is asked for more than it can do answers late or rejects. One such source is passed by: the next
one on the ring serves its objects meanwhile. An overload of several sources is that of the origin behind
them, which no other source relieves: then a share of the requests takes only copies that caches and sources
have.
"""

from __future__ import annotations

from collections.abc import Callable, Container
from math import exp

from zincladder.routing import interface as api

# Each overloaded fill takes this share off the admitted share: multiplicative decrease, as in AIMD. In a
# large fleet a router sees about one fill a second and has to react within one or two of them.
OVERLOAD_DECREASE = 0.75
MANY_FILLS = 20.0  # in a recovery time: from here on each counts for less, as the share is known to a tenth
# Share of overloaded fills that changes nothing: some are slow on any day, and where sizes are not announced
# one in nine takes twice the mean by its size alone (lognormal, spread 1).
TOLERATED_OVERLOADED_SHARE = 0.3
# What a good fill multiplies the admitted share by: decreases and increases cancel out at the tolerated
# share.
GOOD_FILL_FACTOR = (1 - OVERLOAD_DECREASE) ** (-TOLERATED_OVERLOADED_SHARE / (1 - TOLERATED_OVERLOADED_SHARE))
# An overloaded fill that no other source confirms counts by half weight: it may be the source's own fault.
UNCONFIRMED_WEIGHT = 0.5
# A fill is overloaded when it waits for more than this share of its slack (what the latency objective leaves
# beside the transfer). The share is lower where fills are few: the next one, which would show a longer queue,
# comes a second later.
SLACK_SHARE_FEW_FILLS, SLACK_SHARE_MANY_FILLS = 0.5, 0.75
MIN_ADMITTED_SHARE = 0.05  # under the worst overload: these fills show that it is over
OVERLOADED_BELOW = 0.5  # admitted share below which fills are slow for sure
# Outcomes that show an overload where they come late; a cache gives slow fills up with an error.
LATE_OUTCOMES = (
    api.AttemptOutcome.OK,
    api.AttemptOutcome.TIMED_OUT,
    api.AttemptOutcome.CANCELLED,
    api.AttemptOutcome.ERROR,
)
OVERLOADED_FILLS = (api.FillOutcome.SOURCE_REJECTED, api.FillOutcome.ORIGIN_FAILED)


class FillThrottle:
    """The admitted share of the fills that ask one resource.

    Each overloaded fill decreases it and each good one increases it, by less where there are many. What is
    throttled fades with the time constant `recovery_seconds`: the longest time for which clients come again
    with what was rejected.
    """

    def __init__(self, recovery_seconds: float) -> None:
        self._recovery_seconds = max(recovery_seconds, 1e-3)
        self._throttled_share = 0.0
        self._recent_fills = 0.0  # in about a recovery time
        self._updated_at = 0.0

    def record_fill(self, overloaded: bool, now: float, weight: float = 1.0) -> None:
        """Counts a fill: rejected, failed or late, or good; `weight` is 1 for a fill that counts in full."""
        fade = self._fade(now)
        self._recent_fills = self._recent_fills * fade + 1
        factor = 1 - OVERLOAD_DECREASE if overloaded else GOOD_FILL_FACTOR
        factor = factor ** (weight * min(1.0, MANY_FILLS / self._recent_fills))
        admitted = (1 - self._throttled_share * fade) * factor
        self._throttled_share = 1 - min(1.0, max(MIN_ADMITTED_SHARE, admitted))
        self._updated_at = now

    def admitted_share(self, now: float) -> float:
        """The share of fills admitted at this time, from `MIN_ADMITTED_SHARE` to 1."""
        return 1 - self._throttled_share * self._fade(now)

    def has_few_fills(self, now: float) -> bool:
        """Whether each fill counts in full."""
        return self._recent_fills * self._fade(now) < MANY_FILLS

    def is_overloaded(self, now: float) -> bool:
        """Whether fills are slow for sure."""
        return self.admitted_share(now) < OVERLOADED_BELOW

    def _fade(self, now: float) -> float:
        return exp((self._updated_at - now) / self._recovery_seconds)


class FillThrottles:
    """A throttle for each source of fills, and one for what they have in common: the origin behind them."""

    def __init__(self, recovery_seconds: float) -> None:
        self._recovery_seconds = recovery_seconds
        self._common = FillThrottle(recovery_seconds)
        self._by_source: dict[api.EndpointId, FillThrottle] = {}

    def record_fill(self, source: api.EndpointId | None, overloaded: bool, now: float) -> None:
        """Counts the end of a fill from a source, or (`None`) from the origin.

        What one source shows may be its own fault: it counts in full as common once another one shows it too.
        """
        weight = 1.0
        if source is not None:
            throttle = self._by_source.setdefault(source, FillThrottle(self._recovery_seconds))
            throttle.record_fill(overloaded, now)
            if overloaded and not self._is_another_overloaded(source, now):
                weight = UNCONFIRMED_WEIGHT
        self._common.record_fill(overloaded, now, weight)

    def slack_share(self, now: float) -> float:
        """The share of its slack above which a fill is overloaded."""
        return SLACK_SHARE_FEW_FILLS if self._common.has_few_fills(now) else SLACK_SHARE_MANY_FILLS

    def keep_only(self, sources: Container[api.EndpointId]) -> None:
        """Forgets the sources that are not on the list any more."""
        self._by_source = {i: throttle for i, throttle in self._by_source.items() if i in sources}

    def admitted_share(self, now: float) -> float:
        """The share of requests that may make any source ask the origin."""
        return self._common.admitted_share(now)

    def stays_at(self, source: api.EndpointId, now: float, random: Callable[[], float]) -> bool:
        """Whether a request stays at its own source; else the next fit one is asked.

        `random` gives a number from 0 to 1; it is drawn only where the source is overloaded.
        """
        throttle = self._by_source.get(source)
        if throttle is None or not throttle.is_overloaded(now):
            return True
        common = self._common.admitted_share(now) if self._is_another_overloaded(source, now) else 1.0
        own = throttle.admitted_share(now)
        return own >= common or random() * common <= own

    def is_overloaded(self, source: api.EndpointId, now: float) -> bool:
        """Whether fills from a source are slow for sure: then a cache that says nothing may wait for one."""
        throttle = self._by_source.get(source)
        return self._common.is_overloaded(now) or (throttle is not None and throttle.is_overloaded(now))

    def _is_another_overloaded(self, source: api.EndpointId, now: float) -> bool:
        return any(throttle.is_overloaded(now) for i, throttle in self._by_source.items() if i != source)


def is_overloaded_fill(
    event: api.AttemptEnded,
    request_class: api.RequestClass,
    transfer_seconds: float,
    caches_own_fault: bool,
    slack_share: float,
) -> bool | None:
    """Whether an attempt's end shows an overload of its source; `None` where it shows nothing of a fill.

    `caches_own_fault` says that a rejection was the cache's own, not its source's. A fill that takes more
    than `slack_share` of what the latency objective leaves beside its transfer is overloaded.
    """
    if event.fill_outcome in OVERLOADED_FILLS:
        return True
    source_failed = event.fill_outcome is api.FillOutcome.SOURCE_FAILED
    if event.outcome is api.AttemptOutcome.REJECTED and not source_failed:
        return None if caches_own_fault else True
    if event.fill_outcome is api.FillOutcome.HIT:
        return None
    objective = request_class.latency_objective
    slack = max(0.0, objective + (request_class.objective_per_transfer - 1) * transfer_seconds)
    if event.latency > transfer_seconds + slack_share * slack:
        return True if event.outcome in LATE_OUTCOMES or source_failed else None
    return False if event.outcome is api.AttemptOutcome.OK else None
