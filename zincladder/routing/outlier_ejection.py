"""Outliers: endpoints that fail are ejected, caches that are slow by themselves are passed by. No I/O.

An endpoint is ejected when the moving average of its failures, silences among them, exceeds
`EJECTION_FAILURE_RATE`, unless `MAX_EJECTED_SHARE` of its ring are ejected. A success brings it back: of an
attempt in flight, or of the trial request that it is sent every `TRIAL_INTERVAL_SECONDS`. So does a new start
time on the list.
"""

from __future__ import annotations

from statistics import median_low

from zincladder.routing import interface as api
from zincladder.routing.endpoints import EndpointStats
from zincladder.routing.requests import Attempt, PendingRequest
from zincladder.routing.retry import BLAMES_SOURCE
from zincladder.routing.state import RouterState

FAILURE_EWMA_WEIGHT = 0.3  # of the newest outcome
# One of two endpoints is blamed alone only where its failure rate exceeds the other's by this much.
MIN_FAILURE_RATE_DIFFERENCE = 0.1
EJECTION_FAILURE_RATE = 0.6  # three failures in a row, or most of many
# Ejection stops once this share of the ring is ejected; a ring of one may be emptied.
MAX_EJECTED_SHARE = 0.5
TRIAL_INTERVAL_SECONDS = 2.0  # each trial may cost one request a silence timeout
# An attempt at a cache that says nothing at all for longer than this many latency objectives of its class
# plus transfer times of its own is silent; answers share links, and fills come before them.
SILENCE_TIMEOUT_OBJECTIVES = 1.5
SILENCE_TIMEOUT_TRANSFERS = 3.0
# Times the median slowdown of the location's caches: above it a cache is slow by itself, and so are its
# fills.
SLOW_OUTLIER_RATIO = 4.0
SLOWDOWN_EWMA_WEIGHT = 0.3  # of the newest answer
SLOWDOWN_EWMA_WEIGHT_UNSIZED = 0.02  # where sizes, which are noise then, are not announced
MIN_TRANSFER_SECONDS = 1e-3

# Outcomes that may be a rejection or a fault of the source, where caches do not report those of fills.
AMBIGUOUS_OUTCOMES = (api.AttemptOutcome.REJECTED, api.AttemptOutcome.ERROR)


def attribute_failure(state: RouterState, event: api.AttemptEnded, attempt: Attempt) -> api.EndpointIds:
    """The endpoints to blame if the attempt failed: the cache, its source, or both where it is not known.

    Guards against a source that rejects without a note: all its caches would be asked in vain, and ejected.
    """
    missed_at_sibling = event.outcome is api.AttemptOutcome.MISS and state.endpoints.is_sibling_fill(
        attempt.target, attempt.source
    )
    if event.fill_outcome in BLAMES_SOURCE or missed_at_sibling:
        return {attempt.source}
    if state.settings.fill_faults_reported or event.outcome not in AMBIGUOUS_OUTCOMES:
        return {attempt.target}
    cache = state.endpoints.stats.get(attempt.target)
    source = state.endpoints.stats.get(attempt.source)
    if cache is None or source is None:
        return {attempt.target}
    if cache.failure_rate > source.failure_rate + MIN_FAILURE_RATE_DIFFERENCE:
        return {attempt.target}
    if source.failure_rate > cache.failure_rate + MIN_FAILURE_RATE_DIFFERENCE:
        return {attempt.source}
    return {attempt.target, attempt.source}


def record_outcome(
    state: RouterState, stats: EndpointStats | None, failed: bool, now: float, fails_fast: bool = False
) -> None:
    """Counts a success or a failure of an endpoint, and ejects it or brings it back.

    Guards against endpoints that do not answer, whatever the cause: silence, errors or rejections.
    `fails_fast` says that a failure came at once.
    """
    if stats is None:
        return
    stats.failure_rate += FAILURE_EWMA_WEIGHT * (failed - stats.failure_rate)
    stats.fails_fast = fails_fast
    if stats.is_ejected and not failed:
        stats.is_ejected = False
        stats.failure_rate = 0.0
    elif stats.is_ejected or (
        stats.failure_rate > EJECTION_FAILURE_RATE and _may_eject_one_more(state, stats.endpoint.id)
    ):
        stats.is_ejected = True
        stats.next_trial_at = now + TRIAL_INTERVAL_SECONDS


def _may_eject_one_more(state: RouterState, endpoint_id: api.EndpointId) -> bool:
    endpoints = state.endpoints
    # An endpoint on neither ring (the origin, a cache of another location) counts by the ring of parents.
    ring = endpoints.caches if endpoint_id in endpoints.caches.ids else endpoints.parents
    ejected = sum(endpoints.stats[i].is_ejected for i in ring.ids)
    return ejected < MAX_EJECTED_SHARE * len(ring.ids)


def silence_timeout(pending: PendingRequest) -> float:
    """The seconds for which a cache may say nothing while an attempt of this request is in flight."""
    objectives = SILENCE_TIMEOUT_OBJECTIVES * pending.request_class.latency_objective
    return objectives + SILENCE_TIMEOUT_TRANSFERS * pending.transfer_seconds


def is_silent(state: RouterState, cache: EndpointStats, attempt: Attempt, now: float) -> bool:
    """Whether a cache is silent after its silence timeout: it answered nothing else meanwhile.

    Slow fills look like silence: no cache counts as silent while the fills of its source are slow, or while
    there is no retry left.
    """
    if cache.last_answer_at > attempt.checked_at or not state.retry_budget.available():
        return False
    return not state.fill_throttles.is_overloaded(attempt.source, now)


def is_slow_outlier(stats: EndpointStats, median_slowdown: float) -> bool:
    """Whether a cache is slow by itself, and not because the location is."""
    return stats.slowdown > SLOW_OUTLIER_RATIO * median_slowdown


def record_slowdown(
    state: RouterState,
    stats: EndpointStats,
    filling_cache: EndpointStats | None,
    transfer_times: float,
    sized: bool,
) -> None:
    """Counts the transfer times that a success took of the endpoint that sent the content.

    `filling_cache` is the cache through which a source was measured: what a slow outlier adds is taken off.
    `sized` says that the size of the answer was announced.
    """
    endpoints = state.endpoints
    slowdowns = [max(1.0, endpoints.stats[i].slowdown) for i in endpoints.caches.ids]
    state.median_slowdown = median = median_low([1.0, *slowdowns])
    if filling_cache and is_slow_outlier(filling_cache, median):
        transfer_times *= median / filling_cache.slowdown
    weight = SLOWDOWN_EWMA_WEIGHT if sized else SLOWDOWN_EWMA_WEIGHT_UNSIZED
    stats.slowdown += weight * (transfer_times - stats.slowdown)
