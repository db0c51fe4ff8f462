"""Decides whether the router, or its client, may send a request again. No I/O.

A retry after an outcome that load may have caused takes a token of the retry budget (`budgets.RetryBudget`),
unless it needs no fill or counts against the origin budget (`selection.is_exempt_from_throttling`).
"""

from __future__ import annotations

from zincladder.routing import interface as api
from zincladder.routing.requests import Attempt, PendingRequest

MAX_ATTEMPTS = 4  # a request's attempts: enough to get past a few dead endpoints, too few to feed an overload
MAX_ERRORS = 2  # endpoints rarely cause errors, so after two of them the request itself is taken for faulty

# Outcomes after which the endpoint has certainly not executed the request.
NEVER_RAN = (
    api.AttemptOutcome.REJECTED,
    api.AttemptOutcome.UNREACHABLE,
    api.AttemptOutcome.NOT_SENT,
    api.AttemptOutcome.MISS,
)
# Fill outcomes for which the source is to blame.
SOURCE_FAULTS = (api.FillOutcome.SOURCE_REJECTED, api.FillOutcome.SOURCE_FAILED)
# Fill outcomes for which the cache that was asked is not to blame.
FAULTS_BEHIND_CACHE = (*SOURCE_FAULTS, api.FillOutcome.SOURCE_MISS, api.FillOutcome.ORIGIN_FAILED)


def has_attempts_left(pending: PendingRequest, now: float) -> bool:
    """Whether the limit of attempts and the client's deadline allow another attempt."""
    limit = min(MAX_ATTEMPTS, pending.max_attempts)
    return pending.attempts_sent < limit and now < pending.request.deadline


def router_may_retry(pending: PendingRequest, now: float) -> bool:
    """Whether another attempt is certain not to execute the request twice.

    A request that is not idempotent is sent again only if none of its attempts may have been executed, or
    while all endpoints drop duplicates of its idempotency key.
    """
    request_class = pending.request_class
    if request_class.idempotency is api.Idempotency.IDEMPOTENT or not pending.may_have_run_at:
        return True
    window_ends_at = pending.may_have_run_at[0] + request_class.deduplication_window
    return _drops_duplicates(request_class) and now < window_ends_at


def client_may_retry(pending: PendingRequest) -> bool:
    """Whether the client may safely send the request again; if so, it is rejected, otherwise it fails."""
    request_class = pending.request_class
    if request_class.idempotency is api.Idempotency.IDEMPOTENT or _drops_duplicates(request_class):
        return True
    return not pending.may_have_run_at


def must_not_run_twice(request_class: api.RequestClass) -> bool:
    """Whether a second run of a request could have an effect of its own."""
    return request_class.idempotency is not api.Idempotency.IDEMPOTENT and not _drops_duplicates(
        request_class
    )


def _drops_duplicates(request_class: api.RequestClass) -> bool:
    """Whether all endpoints drop duplicates; if only some do, the next attempt may reach another one."""
    return request_class.idempotency is api.Idempotency.WITH_KEY and request_class.scope is api.Scope.ALL


def record_end_for_retry(
    pending: PendingRequest, event: api.AttemptEnded, attempt: Attempt, blamed: api.EndpointIds
) -> None:
    """Updates a pending request after an attempt has ended; `blamed` are the endpoints at fault."""
    missed = event.outcome is api.AttemptOutcome.MISS
    if event.outcome not in NEVER_RAN:
        pending.may_have_run_at.append(attempt.sent_at)
    pending.waits_for_fill = missed and event.fill_outcome is api.FillOutcome.COALESCED
    # A connection can be lost at any cache, so the cache that has the copy is asked once more.
    truncated = event.outcome is api.AttemptOutcome.RESET and not blamed <= pending.truncated_by
    if truncated:
        pending.truncated_by |= blamed
    lookup_missed = missed and attempt.source == attempt.target
    if not lookup_missed and not truncated and not pending.request_class.uncacheable:
        pending.failed_endpoints |= blamed
    if event.outcome is api.AttemptOutcome.ERROR and event.fill_outcome not in FAULTS_BEHIND_CACHE:
        pending.errors += 1


def plan_retry(
    pending: PendingRequest,
    event: api.AttemptEnded,
    attempt: Attempt,
    blamed: api.EndpointIds,
    origin_id: api.EndpointId | None,
) -> bool:
    """Whether another attempt can succeed; if the origin failed, the attempt accepts a stale copy.

    Another parent would ask the same failed origin, so a request whose class permits no stale copies ends.
    """
    missed = event.outcome is api.AttemptOutcome.MISS
    throttled_fill_missed = pending.cached_only and missed and not pending.waits_for_fill
    if throttled_fill_missed or pending.errors >= MAX_ERRORS or pending.accepts_stale:
        return False
    pending.accepts_stale = _has_origin_failed(event, attempt, blamed, origin_id)
    return not pending.accepts_stale or bool(pending.request_class.stale_if_error_seconds)


def _has_origin_failed(
    event: api.AttemptEnded, attempt: Attempt, blamed: api.EndpointIds, origin_id: api.EndpointId | None
) -> bool:
    """Whether the origin failed a fill; its answers to requests that bypass the caches are not fills."""
    if event.fill_outcome is api.FillOutcome.ORIGIN_FAILED:
        return True
    refused = event.fill_outcome in SOURCE_FAULTS or event.outcome is api.AttemptOutcome.REJECTED
    return refused and blamed == {origin_id} and attempt.target != origin_id
