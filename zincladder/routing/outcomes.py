"""Records the end of an attempt with the budgets, fill throttles and outlier ejection. No I/O."""

from __future__ import annotations

from zincladder.routing import interface as api
from zincladder.routing.endpoints import EndpointStats
from zincladder.routing.fill_throttle import is_overloaded_fill
from zincladder.routing.health_checks import record_load_report
from zincladder.routing.outlier_ejection import MIN_TRANSFER_SECONDS, record_outcome, record_slowdown
from zincladder.routing.requests import Attempt
from zincladder.routing.retry import FAULTS_BEHIND_CACHE, SOURCE_FAULTS
from zincladder.routing.state import RouterState

SIBLING_HIT_EWMA_WEIGHT = 0.3  # the weight of the latest fill from a sibling cache
# Value of a miss in the hit share: above 0, so that siblings are still asked occasionally after only misses.
MIN_SIBLING_HIT_SHARE = 0.1
MAX_FAST_FAILURE_OBJECTIVES = 0.5  # a failure within this many latency objectives is a fast one

# Outcomes that show nothing about the endpoint.
INCONCLUSIVE_OUTCOMES = (api.AttemptOutcome.CANCELLED, api.AttemptOutcome.NOT_SENT)
# Outcomes that prove that the cache itself answered.
ANSWERED_OUTCOMES = (
    api.AttemptOutcome.OK,
    api.AttemptOutcome.MISS,
    api.AttemptOutcome.REJECTED,
    api.AttemptOutcome.ERROR,
)
SUCCESS_OUTCOMES = (api.AttemptOutcome.OK, api.AttemptOutcome.MISS)
# Failures caused by the request or the connection, which do not count against the endpoint.
UNCOUNTED_OUTCOMES = (api.AttemptOutcome.ERROR, api.AttemptOutcome.RESET)
SUCCESSFUL_FILLS = (api.FillOutcome.FILLED, api.FillOutcome.FILLED_VIA_ORIGIN)


def record_attempt_end(
    state: RouterState, event: api.AttemptEnded, attempt: Attempt, blamed: api.EndpointIds, now: float
) -> None:
    """Records the end of an attempt with every module that it concerns.

    `blamed` are the endpoints at fault if the attempt failed.
    """
    stats = state.endpoints.stats
    target, source = stats.get(attempt.target), stats.get(attempt.source)
    record_load_report(state, attempt.target, event.report)
    state.retry_budget.record_outcome(event.outcome)
    _record_fill_end(state, event, attempt, blamed, now)
    if target and target.in_flight:  # 0 if the endpoint left the list and returned since the attempt
        state.endpoints.track_in_flight(target, -1)
    if event.outcome in INCONCLUSIVE_OUTCOMES:
        return
    if target and event.outcome in ANSWERED_OUTCOMES:
        target.last_answer_at = now
    if event.fill_outcome in FAULTS_BEHIND_CACHE:
        _record_source_fault(state, event, attempt, target, source, now)
        return
    if event.outcome is api.AttemptOutcome.OK:
        _record_sender_slowdown(state, event, attempt, target, source, now)
    _record_endpoint_outcomes(state, event, attempt, target, blamed, now)


def record_fill(state: RouterState, attempt: Attempt, overloaded: bool, now: float) -> None:
    """Records a fill with the throttle of its source.

    An overloaded fill is counted only once. A timely one is not counted if the throttle had limited its
    request to cached copies.
    """
    at_origin = attempt.target == state.endpoints.origin_id
    from_source = attempt.source != attempt.target and attempt.source not in state.endpoints.caches.ids
    already_counted = attempt.counted_as_overloaded if overloaded else attempt.pending.cached_only
    if (at_origin or from_source) and not already_counted:
        attempt.counted_as_overloaded = overloaded
        state.fill_throttles.record_fill(None if at_origin else attempt.source, overloaded, now)


def _record_fill_end(
    state: RouterState, event: api.AttemptEnded, attempt: Attempt, blamed: api.EndpointIds, now: float
) -> None:
    pending = attempt.pending
    overloaded = is_overloaded_fill(
        event,
        pending.request_class,
        pending.transfer_seconds,
        cache_at_fault=blamed <= state.endpoints.caches.ids,
        slack_share=state.fill_throttles.slack_share(now),
    )
    if overloaded is not None:
        record_fill(state, attempt, overloaded, now)
    # Other outcomes do not show whether the sibling has copies.
    if event.outcome in SUCCESS_OUTCOMES and state.endpoints.is_sibling_fill(attempt.target, attempt.source):
        hit = max(MIN_SIBLING_HIT_SHARE, event.outcome is api.AttemptOutcome.OK)
        state.sibling_hit_share += SIBLING_HIT_EWMA_WEIGHT * (hit - state.sibling_hit_share)


def _record_source_fault(
    state: RouterState,
    event: api.AttemptEnded,
    attempt: Attempt,
    target: EndpointStats | None,
    source: EndpointStats | None,
    now: float,
) -> None:
    """Records a success of the cache, and a failure of the source if it rejected or failed the fill.

    A miss of the source counts neither for nor against the source.
    """
    record_outcome(state, target, False, now)
    if event.fill_outcome in SOURCE_FAULTS:
        max_wait = MAX_FAST_FAILURE_OBJECTIVES * attempt.pending.request_class.latency_objective
        fails_fast = event.fill_outcome is api.FillOutcome.SOURCE_FAILED and event.fill_wait < max_wait
        record_outcome(state, source, True, now, fails_fast)


def _record_sender_slowdown(
    state: RouterState,
    event: api.AttemptEnded,
    attempt: Attempt,
    target: EndpointStats | None,
    source: EndpointStats | None,
    now: float,
) -> None:
    """Measures how fast the content was sent: by the cache on a hit, otherwise by the source of its fill."""
    pending, endpoints = attempt.pending, state.endpoints
    sized = pending.request.size_kb > 0
    hit = event.fill_outcome is api.FillOutcome.HIT
    if hit and not sized:
        state.transfer_times[pending.request.request_class].record_hit(event.latency)
    sent_by_cache = hit or attempt.target in endpoints.parents.ids
    sender = target if sent_by_cache else source
    if sender is None or not (sent_by_cache or event.fill_outcome in SUCCESSFUL_FILLS):
        return
    transfer_times = (event.latency - event.fill_wait) / max(pending.transfer_seconds, MIN_TRANSFER_SECONDS)
    record_slowdown(state, sender, None if sent_by_cache else target, transfer_times, sized)
    # A success of a cache of the location is recorded by `_record_endpoint_outcomes`.
    if not (sent_by_cache and attempt.target in endpoints.caches.ids):
        record_outcome(state, sender, False, now)


def _record_endpoint_outcomes(
    state: RouterState,
    event: api.AttemptEnded,
    attempt: Attempt,
    target: EndpointStats | None,
    blamed: api.EndpointIds,
    now: float,
) -> None:
    """Records a success of the cache (a miss is one), or a failure of the endpoints at fault."""
    if event.outcome in SUCCESS_OUTCOMES:
        record_outcome(state, target, False, now)
        return
    answered_meanwhile = target is not None and target.last_answer_at > attempt.sent_at
    slow_not_silent = event.outcome is api.AttemptOutcome.TIMED_OUT and answered_meanwhile
    if event.outcome in UNCOUNTED_OUTCOMES or slow_not_silent:
        return
    for endpoint_id in sorted(blamed):
        record_outcome(state, state.endpoints.stats.get(endpoint_id), True, now)
