"""The maximum age of copies. No I/O."""

from __future__ import annotations

from zincladder.routing.requests import PendingRequest
from zincladder.routing.state import RouterState

MIN_AGE_SECONDS = 1e-3  # the wire reads an age of 0 as the class's own


def max_copy_age(state: RouterState, pending: PendingRequest, now: float) -> float:
    """The oldest copy that will do, in seconds; 0 for the fresh time of the class.

    Guards against copies from before a purge, until all endpoints have dropped them.
    """
    request, request_class = pending.request, pending.request_class
    limit = request_class.fresh_seconds
    if pending.accepts_stale:
        limit += request_class.stale_if_error_seconds
    since_purge = state.purges.age(request.object, request.group, now)
    if since_purge > state.settings.purge_done:
        return limit if pending.accepts_stale else 0.0
    return max(MIN_AGE_SECONDS, min(since_purge, limit or float("inf")))
