"""Fill throttles, for each source and for all sources together. No I/O.

An overloaded source answers late or rejects fills. If one source is overloaded, it is skipped, and the next
source on the ring fills its objects. If several sources are overloaded, the cause is the origin behind them,
and no other source can help: then a share of the requests gets only copies that caches or sources already
have.
"""

from __future__ import annotations

from collections.abc import Callable, Container
from math import exp

from zincladder.routing import interface as api

# Each overloaded fill takes off this part of the admitted share: multiplicative decrease, as in AIMD. It is
# large because a router of a large fleet has about one fill a second, and has to react within one or two.
OVERLOAD_DECREASE = 0.75
# With more fills in a recovery time each counts for less: the share is then known to within a tenth.
MANY_FILLS = 20.0
# Share of overloaded fills that leaves the admitted share unchanged. Some fills are always slow, and without
# announced sizes one in nine takes twice the mean because of its size alone (lognormal, spread 1).
TOLERATED_OVERLOADED_SHARE = 0.3
# A timely fill multiplies the admitted share by this factor, so that increases and decreases cancel out at
# the tolerated share.
TIMELY_FILL_FACTOR = (1 - OVERLOAD_DECREASE) ** (
    -TOLERATED_OVERLOADED_SHARE / (1 - TOLERATED_OVERLOADED_SHARE)
)
# Weight of an overloaded fill while no other source is overloaded: the source itself may be the cause.
UNCONFIRMED_WEIGHT = 0.5
# A fill counts as overloaded if it waits longer than this share of its slack (the part of the latency
# objective that its transfer does not need). The share is lower if fills are few, because the next fill,
# which would show a longer queue, comes only a second later.
SLACK_SHARE_FEW_FILLS, SLACK_SHARE_MANY_FILLS = 0.5, 0.75
MIN_ADMITTED_SHARE = 0.05  # admitted even under the worst overload, to detect its end
OVERLOADED_BELOW_SHARE = 0.5  # a source counts as overloaded if its admitted share is lower
# Outcomes that indicate an overload if they come late; a cache abandons slow fills with an error.
OVERLOADED_IF_LATE = (
    api.AttemptOutcome.OK,
    api.AttemptOutcome.TIMED_OUT,
    api.AttemptOutcome.CANCELLED,
    api.AttemptOutcome.ERROR,
)
OVERLOADED_FILL_OUTCOMES = (api.FillOutcome.SOURCE_REJECTED, api.FillOutcome.ORIGIN_FAILED)


class FillThrottle:
    """The share of the fills from one resource that is admitted.

    Each overloaded fill decreases it and each timely one increases it, by less if fills are many. The
    throttled share (the rest) decays with the time constant `recovery_seconds`, the longest time for which
    clients retry rejected requests.
    """

    def __init__(self, recovery_seconds: float) -> None:
        self._recovery_seconds = max(recovery_seconds, 1e-3)
        self._throttled_share = 0.0
        self._recent_fills = 0.0  # decaying count over about one recovery time
        self._updated_at = 0.0

    def record_fill(self, overloaded: bool, now: float, weight: float = 1.0) -> None:
        """Counts a fill, which is overloaded if it was rejected, failed or late; `weight` is from 0 to 1."""
        decay = self._decay(now)
        self._recent_fills = self._recent_fills * decay + 1
        factor = 1 - OVERLOAD_DECREASE if overloaded else TIMELY_FILL_FACTOR
        factor = factor ** (weight * min(1.0, MANY_FILLS / self._recent_fills))
        admitted = (1 - self._throttled_share * decay) * factor
        self._throttled_share = 1 - min(1.0, max(MIN_ADMITTED_SHARE, admitted))
        self._updated_at = now

    def admitted_share(self, now: float) -> float:
        """Returns the share of fills that is admitted now, from `MIN_ADMITTED_SHARE` to 1."""
        return 1 - self._throttled_share * self._decay(now)

    def has_few_fills(self, now: float) -> bool:
        """Whether there are so few fills that each one has its full effect."""
        return self._recent_fills * self._decay(now) < MANY_FILLS

    def is_overloaded(self, now: float) -> bool:
        """Whether so many fills were overloaded that the resource counts as overloaded."""
        return self.admitted_share(now) < OVERLOADED_BELOW_SHARE

    def _decay(self, now: float) -> float:
        return exp((self._updated_at - now) / self._recovery_seconds)


class FillThrottles:
    """A throttle for each fill source, and a common one for the origin behind all of them."""

    def __init__(self, recovery_seconds: float) -> None:
        self._recovery_seconds = recovery_seconds
        self._common = FillThrottle(recovery_seconds)
        self._by_source: dict[api.EndpointId, FillThrottle] = {}

    def record_fill(self, source: api.EndpointId | None, overloaded: bool, now: float) -> None:
        """Counts a fill from a source, or from the origin if `source` is `None`.

        An overload of a single source may be its own fault. It counts in full for the common throttle only
        while another source is overloaded too.
        """
        weight = 1.0
        if source is not None:
            throttle = self._by_source.setdefault(source, FillThrottle(self._recovery_seconds))
            throttle.record_fill(overloaded, now)
            if overloaded and not self._is_another_overloaded(source, now):
                weight = UNCONFIRMED_WEIGHT
        self._common.record_fill(overloaded, now, weight)

    def slack_share(self, now: float) -> float:
        """Returns the share of its slack above which the wait of a fill counts as overload."""
        return SLACK_SHARE_FEW_FILLS if self._common.has_few_fills(now) else SLACK_SHARE_MANY_FILLS

    def retain_sources(self, sources: Container[api.EndpointId]) -> None:
        """Removes the throttles of all other sources, which have left the endpoint list."""
        self._by_source = {i: throttle for i, throttle in self._by_source.items() if i in sources}

    def admitted_share(self, now: float) -> float:
        """Returns the share of requests whose fill may reach the origin, through any source."""
        return self._common.admitted_share(now)

    def admits(self, source: api.EndpointId, now: float, random: Callable[[], float]) -> bool:
        """Whether a request may use this source; otherwise the next available one is asked.

        `random` returns a number from 0 to 1; it is called only if the source is overloaded.
        """
        throttle = self._by_source.get(source)
        if throttle is None or not throttle.is_overloaded(now):
            return True
        common = self._common.admitted_share(now) if self._is_another_overloaded(source, now) else 1.0
        own = throttle.admitted_share(now)
        return own >= common or random() * common <= own

    def is_overloaded(self, source: api.EndpointId, now: float) -> bool:
        """Whether a source or the origin is overloaded, so that a silent cache may be waiting for a fill."""
        throttle = self._by_source.get(source)
        return self._common.is_overloaded(now) or (throttle is not None and throttle.is_overloaded(now))

    def _is_another_overloaded(self, source: api.EndpointId, now: float) -> bool:
        return any(throttle.is_overloaded(now) for i, throttle in self._by_source.items() if i != source)


def is_overloaded_fill(
    event: api.AttemptEnded,
    request_class: api.RequestClass,
    transfer_seconds: float,
    cache_at_fault: bool,
    slack_share: float,
) -> bool | None:
    """Whether an attempt's end shows that its source is overloaded; `None` if it shows nothing about a fill.

    `cache_at_fault` is true if a rejection came from the cache itself and not from its source. A fill is
    overloaded if it takes more than `slack_share` of the time that the latency objective leaves beside the
    transfer.
    """
    if event.fill_outcome in OVERLOADED_FILL_OUTCOMES:
        return True
    source_failed = event.fill_outcome is api.FillOutcome.SOURCE_FAILED
    if event.outcome is api.AttemptOutcome.REJECTED and not source_failed:
        return None if cache_at_fault else True
    if event.fill_outcome is api.FillOutcome.HIT:
        return None
    objective = request_class.latency_objective
    slack = max(0.0, objective + (request_class.objective_per_transfer - 1) * transfer_seconds)
    if event.latency > transfer_seconds + slack_share * slack:
        return True if event.outcome in OVERLOADED_IF_LATE or source_failed else None
    return False if event.outcome is api.AttemptOutcome.OK else None
