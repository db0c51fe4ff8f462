"""The end of an attempt is counted by each rule: budgets, throttles, outlier ejection. No I/O."""

from __future__ import annotations

from zincladder.routing import interface as api
from zincladder.routing.endpoints import EndpointStats
from zincladder.routing.fill_throttle import is_overloaded_fill
from zincladder.routing.health_checks import record_load_report
from zincladder.routing.outlier_ejection import MIN_TRANSFER_SECONDS, record_outcome, record_slowdown
from zincladder.routing.requests import Attempt
from zincladder.routing.retry import BLAMES_SOURCE, SOURCE_FAULTS
from zincladder.routing.state import RouterState

SIBLING_HIT_EWMA_WEIGHT = 0.3  # of the newest fill from a sibling cache
MIN_SIBLING_HIT = (
    0.1  # what a miss counts for: siblings are asked now and then even if they lacked all lately
)
MAX_FAST_FAILURE_OBJECTIVES = 0.5  # latency objectives within which a failure comes at once

# Outcomes that show nothing about the endpoint.
NO_EVIDENCE = (api.AttemptOutcome.CANCELLED, api.AttemptOutcome.NOT_SENT)
# Outcomes that are answers of the cache itself.
ANSWERS = (
    api.AttemptOutcome.OK,
    api.AttemptOutcome.MISS,
    api.AttemptOutcome.REJECTED,
    api.AttemptOutcome.ERROR,
)
SUCCESSES = (api.AttemptOutcome.OK, api.AttemptOutcome.MISS)
# The request's own fault, or its connection's: not counted against the endpoint.
NOT_COUNTED = (api.AttemptOutcome.ERROR, api.AttemptOutcome.RESET)
FILLS = (api.FillOutcome.FILLED, api.FillOutcome.FILLED_VIA_ORIGIN)


def learn_from(
    state: RouterState, event: api.AttemptEnded, attempt: Attempt, blamed: api.EndpointIds, now: float
) -> None:
    """Counts the end of an attempt with every rule that it concerns.

    `blamed` are the endpoints at fault if it failed.
    """
    stats = state.endpoints.stats
    target, source = stats.get(attempt.target), stats.get(attempt.source)
    record_load_report(state, attempt.target, event.report)
    state.retry_budget.record_outcome(event.outcome)
    _learn_of_fill(state, event, attempt, blamed, now)
    if target and target.in_flight:  # an endpoint that was off the list for a while starts from none
        state.endpoints.track_in_flight(target, -1)
    if event.outcome in NO_EVIDENCE:
        return
    if target and event.outcome in ANSWERS:
        target.last_answer_at = now
    if event.fill_outcome in BLAMES_SOURCE:
        _learn_of_source_fault(state, event, attempt, target, source, now)
        return
    if event.outcome is api.AttemptOutcome.OK:
        _learn_of_pace(state, event, attempt, target, source, now)
    _learn_of_endpoints(state, event, attempt, target, blamed, now)


def record_fill(state: RouterState, attempt: Attempt, overloaded: bool, now: float) -> None:
    """Counts a fill with its source's throttle.

    An overloaded fill counts once, a good one only if it was not throttled itself.
    """
    at_origin = attempt.target == state.endpoints.origin_id
    from_source = attempt.source != attempt.target and attempt.source not in state.endpoints.caches.ids
    already_counted = attempt.counted_as_overloaded if overloaded else attempt.pending.cached_only
    if (at_origin or from_source) and not already_counted:
        attempt.counted_as_overloaded = overloaded
        state.fill_throttles.record_fill(None if at_origin else attempt.source, overloaded, now)


def _learn_of_fill(
    state: RouterState, event: api.AttemptEnded, attempt: Attempt, blamed: api.EndpointIds, now: float
) -> None:
    pending = attempt.pending
    overloaded = is_overloaded_fill(
        event,
        pending.request_class,
        pending.transfer_seconds,
        caches_own_fault=blamed <= state.endpoints.caches.ids,
        slack_share=state.fill_throttles.slack_share(now),
    )
    if overloaded is not None:
        record_fill(state, attempt, overloaded, now)
    # No other outcome shows whether a sibling has copies.
    if event.outcome in SUCCESSES and state.endpoints.is_sibling_fill(attempt.target, attempt.source):
        hit = max(MIN_SIBLING_HIT, event.outcome is api.AttemptOutcome.OK)
        state.sibling_hit_share += SIBLING_HIT_EWMA_WEIGHT * (hit - state.sibling_hit_share)


def _learn_of_source_fault(
    state: RouterState,
    event: api.AttemptEnded,
    attempt: Attempt,
    target: EndpointStats | None,
    source: EndpointStats | None,
    now: float,
) -> None:
    """The cache did its part; a source that rejected or failed is counted, one that missed is not."""
    record_outcome(state, target, False, now)
    if event.fill_outcome in SOURCE_FAULTS:
        at_once = MAX_FAST_FAILURE_OBJECTIVES * attempt.pending.request_class.latency_objective
        fails_fast = event.fill_outcome is api.FillOutcome.SOURCE_FAILED and event.fill_wait < at_once
        record_outcome(state, source, True, now, fails_fast)


def _learn_of_pace(
    state: RouterState,
    event: api.AttemptEnded,
    attempt: Attempt,
    target: EndpointStats | None,
    source: EndpointStats | None,
    now: float,
) -> None:
    """Measures the endpoint that sent the content: the cache on a hit, else the source of its fill."""
    pending, endpoints = attempt.pending, state.endpoints
    sized = pending.request.size_kb > 0
    hit = event.fill_outcome is api.FillOutcome.HIT
    if hit and not sized:
        state.transfer_times[pending.request.request_class].record_hit(event.latency)
    sent_by_cache = hit or attempt.target in endpoints.parents.ids
    sender = target if sent_by_cache else source
    if sender is None or not (sent_by_cache or event.fill_outcome in FILLS):
        return
    transfer_times = (event.latency - event.fill_wait) / max(pending.transfer_seconds, MIN_TRANSFER_SECONDS)
    record_slowdown(state, sender, None if sent_by_cache else target, transfer_times, sized)
    if not (
        sent_by_cache and attempt.target in endpoints.caches.ids
    ):  # a cache's own success is counted below
        record_outcome(state, sender, False, now)


def _learn_of_endpoints(
    state: RouterState,
    event: api.AttemptEnded,
    attempt: Attempt,
    target: EndpointStats | None,
    blamed: api.EndpointIds,
    now: float,
) -> None:
    """Counts the success of the cache (a miss is one), or the failure of who is to blame."""
    if event.outcome in SUCCESSES:
        record_outcome(state, target, False, now)
        return
    answered_meanwhile = target is not None and target.last_answer_at > attempt.sent_at
    slow_not_silent = event.outcome is api.AttemptOutcome.TIMED_OUT and answered_meanwhile
    if event.outcome in NOT_COUNTED or slow_not_silent:
        return
    for endpoint_id in sorted(blamed):
        record_outcome(state, state.endpoints.stats.get(endpoint_id), True, now)
