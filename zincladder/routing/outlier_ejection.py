"""Outlier ejection: endpoints that fail are ejected, and caches slower than the others are skipped. No I/O.

An endpoint is ejected when the moving average of its failures, including silences, exceeds
`EJECTION_FAILURE_RATE`, unless `MAX_EJECTED_SHARE` of its ring is ejected already. While it is ejected, it is
sent one trial request every `TRIAL_INTERVAL_SECONDS`. It is reinstated by a success, of a trial or of an
attempt still in flight, or by a new start time in the endpoint list.
"""

from __future__ import annotations

from statistics import median_low

from zincladder.routing import interface as api
from zincladder.routing.endpoints import EndpointStats
from zincladder.routing.requests import Attempt, PendingRequest
from zincladder.routing.retry import FAULTS_BEHIND_CACHE
from zincladder.routing.state import RouterState

FAILURE_EWMA_WEIGHT = 0.3  # the weight of the latest outcome
# Either the cache or its source is blamed alone only if its failure rate exceeds the other's by this much.
MIN_FAILURE_RATE_DIFFERENCE = 0.1
EJECTION_FAILURE_RATE = 0.6  # reached by three failures in a row, or if most attempts fail
# No endpoint is ejected once this share of its ring is; the only endpoint of a ring may be ejected.
MAX_EJECTED_SHARE = 0.5
TRIAL_INTERVAL_SECONDS = 2.0  # each trial may cost one request a silence timeout
# The silence timeout of an attempt: latency objectives of its class plus transfer times of its request.
# More than one of each, because answers share links and may have to wait for a fill.
SILENCE_TIMEOUT_OBJECTIVES = 1.5
SILENCE_TIMEOUT_TRANSFERS = 3.0
# A cache is a slow outlier if its slowdown exceeds the median of the location's caches by this factor; fills
# through it are slow as well.
SLOW_OUTLIER_RATIO = 4.0
SLOWDOWN_EWMA_WEIGHT = 0.3  # the weight of the latest answer
SLOWDOWN_EWMA_WEIGHT_UNSIZED = 0.02  # lower: if sizes are not announced, their variation is noise
MIN_TRANSFER_SECONDS = 1e-3

# Outcomes that the cache or its source may have caused, if caches do not report the faults of fills.
AMBIGUOUS_OUTCOMES = (api.AttemptOutcome.REJECTED, api.AttemptOutcome.ERROR)


def attribute_failure(state: RouterState, event: api.AttemptEnded, attempt: Attempt) -> api.EndpointIds:
    """Returns the endpoints at fault if the attempt failed: the cache, its source, or both if it is unclear.

    If only the cache were blamed, a source whose rejections the caches do not report would get all of them
    ejected.
    """
    missed_at_sibling = event.outcome is api.AttemptOutcome.MISS and state.endpoints.is_sibling_fill(
        attempt.target, attempt.source
    )
    if event.fill_outcome in FAULTS_BEHIND_CACHE or missed_at_sibling:
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
    """Counts a success or a failure of an endpoint, and ejects or reinstates the endpoint.

    All failures count alike, whether the endpoint was silent, returned errors or rejected requests.
    `fails_fast` is true if the failure was immediate.
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
    # An endpoint on neither ring (the origin, a cache of another location) is limited by the ring of parents.
    ring = endpoints.caches if endpoint_id in endpoints.caches.ids else endpoints.parents
    ejected = sum(endpoints.stats[i].is_ejected for i in ring.ids)
    return ejected < MAX_EJECTED_SHARE * len(ring.ids)


def silence_timeout(pending: PendingRequest) -> float:
    """Returns the seconds after which a cache counts as silent if it answered no attempt of this router."""
    objectives = SILENCE_TIMEOUT_OBJECTIVES * pending.request_class.latency_objective
    return objectives + SILENCE_TIMEOUT_TRANSFERS * pending.transfer_seconds


def is_silent(state: RouterState, cache: EndpointStats, attempt: Attempt, now: float) -> bool:
    """Whether a cache is silent at the end of the silence timeout: it has answered no other attempt either.

    A slow fill looks like silence, so a cache does not count as silent while the source of the fill is
    overloaded. It does not count as silent either while the retry budget is empty.
    """
    if cache.last_answer_at > attempt.silence_timer_set_at or not state.retry_budget.available():
        return False
    return not state.fill_throttles.is_overloaded(attempt.source, now)


def is_slow_outlier(stats: EndpointStats, median_slowdown: float) -> bool:
    """Whether a cache is much slower than the other caches of its location."""
    return stats.slowdown > SLOW_OUTLIER_RATIO * median_slowdown


def record_slowdown(
    state: RouterState,
    stats: EndpointStats,
    filling_cache: EndpointStats | None,
    transfer_times: float,
    sized: bool,
) -> None:
    """Updates the slowdown of the endpoint that sent the content of a successful answer.

    `transfer_times` is the duration of the answer in transfer times. `filling_cache` is the cache through
    which a fill source was measured; if that is a slow outlier, its slowdown is divided out. `sized` is
    true if the size of the answer was announced.
    """
    endpoints = state.endpoints
    slowdowns = [max(1.0, endpoints.stats[i].slowdown) for i in endpoints.caches.ids]
    state.median_slowdown = median = median_low([1.0, *slowdowns])
    if filling_cache and is_slow_outlier(filling_cache, median):
        transfer_times *= median / filling_cache.slowdown
    weight = SLOWDOWN_EWMA_WEIGHT if sized else SLOWDOWN_EWMA_WEIGHT_UNSIZED
    stats.slowdown += weight * (transfer_times - stats.slowdown)
