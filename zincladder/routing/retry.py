"""Whether a request may be sent again, and whether its client may. No I/O.

A retry that load may have caused needs a token of the retry budget (`budgets.RetryBudget`), unless it needs
no fill, or the origin budget pays for it (`selection.has_other_limit`).
"""

from __future__ import annotations

from zincladder.routing import interface as api
from zincladder.routing.requests import Attempt, PendingRequest

MAX_ATTEMPTS = 4  # of one request: enough for a few dead endpoints, too few to feed an overload
MAX_ERRORS = 2  # then no endpoint can use the request: errors of their own are rare

# Outcomes after which it is certain that the request took no effect at the endpoint it was sent to.
NEVER_RAN = (
    api.AttemptOutcome.REJECTED,
    api.AttemptOutcome.UNREACHABLE,
    api.AttemptOutcome.NOT_SENT,
    api.AttemptOutcome.MISS,
)
# Faults of the source of a fill.
SOURCE_FAULTS = (api.FillOutcome.SOURCE_REJECTED, api.FillOutcome.SOURCE_FAILED)
# Fill outcomes for which the cache is not to blame.
BLAMES_SOURCE = (*SOURCE_FAULTS, api.FillOutcome.SOURCE_MISS, api.FillOutcome.ORIGIN_FAILED)


def has_attempts_left(pending: PendingRequest, now: float) -> bool:
    """Whether the limit of attempts and the client's deadline leave room for another attempt."""
    limit = min(MAX_ATTEMPTS, pending.max_attempts)
    return pending.attempts_sent < limit and now < pending.request.deadline


def router_may_retry(pending: PendingRequest, now: float) -> bool:
    """Whether another attempt cannot make the request take effect twice.

    Guards requests that are not idempotent: they are sent again only while none may have run, or while the
    endpoints drop duplicates of their idempotency key.
    """
    request_class = pending.request_class
    if request_class.idempotency is api.Idempotency.IDEMPOTENT or not pending.may_have_run_at:
        return True
    window_ends_at = pending.may_have_run_at[0] + request_class.deduplication_window
    return _drops_duplicates(request_class) and now < window_ends_at


def client_may_retry(pending: PendingRequest) -> bool:
    """Whether a client may send the request again: then it is rejected, else it fails."""
    request_class = pending.request_class
    if request_class.idempotency is api.Idempotency.IDEMPOTENT or _drops_duplicates(request_class):
        return True
    return not pending.may_have_run_at


def _drops_duplicates(request_class: api.RequestClass) -> bool:
    """Whether all endpoints drop duplicates; where only some do, the next attempt may reach another one."""
    return request_class.idempotency is api.Idempotency.WITH_KEY and request_class.scope is api.Scope.ALL


def record_end(
    pending: PendingRequest, event: api.AttemptEnded, attempt: Attempt, blamed: api.EndpointIds
) -> None:
    """Notes what an attempt's end means for the next attempt; `blamed` are the endpoints at fault."""
    missed = event.outcome is api.AttemptOutcome.MISS
    if event.outcome not in NEVER_RAN:
        pending.may_have_run_at.append(attempt.sent_at)
    pending.waits_for_fill = missed and event.fill_outcome is api.FillOutcome.COALESCED
    # Connections are lost at any cache alike, so the one that has the copy is asked once more.
    truncated = event.outcome is api.AttemptOutcome.RESET and not blamed <= pending.truncated_by
    if truncated:
        pending.truncated_by |= blamed
    lookup_missed = missed and attempt.source == attempt.target
    if not lookup_missed and not truncated and not pending.request_class.uncacheable:
        pending.failed_endpoints |= blamed
    if event.outcome is api.AttemptOutcome.ERROR and event.fill_outcome not in BLAMES_SOURCE:
        pending.errors += 1


def plan_retry(
    pending: PendingRequest,
    event: api.AttemptEnded,
    attempt: Attempt,
    blamed: api.EndpointIds,
    origin_id: api.EndpointId | None,
) -> bool:
    """Whether another attempt has a point; where the origin failed, it accepts a stale copy.

    Guards the origin: another parent would ask the same origin, so without stale copies the request ends.
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
    """Whether the origin failed a fill; its answers to requests that pass by the caches are not fills."""
    if event.fill_outcome is api.FillOutcome.ORIGIN_FAILED:
        return True
    refused = event.fill_outcome in SOURCE_FAULTS or event.outcome is api.AttemptOutcome.REJECTED
    return refused and blamed == {origin_id} and attempt.target != origin_id
