"""The maximum age of the copies that may answer a request. No I/O."""

from __future__ import annotations

from zincladder.routing.requests import PendingRequest
from zincladder.routing.state import RouterState

MIN_AGE_SECONDS = 1e-3  # above 0, because 0 stands for the fresh time of the class


def max_copy_age(state: RouterState, pending: PendingRequest, now: float) -> float:
    """Returns the maximum age of an acceptable copy in seconds; 0 stands for the fresh time of the class.

    After a purge the age is limited to the time since then, until all endpoints have dropped older copies.
    """
    request, request_class = pending.request, pending.request_class
    limit = request_class.fresh_seconds
    if pending.accepts_stale:
        limit += request_class.stale_if_error_seconds
    since_purge = state.purges.age(request.object, request.group, now)
    if since_purge > state.settings.purge_done:
        return limit if pending.accepts_stale else 0.0
    return max(MIN_AGE_SECONDS, min(since_purge, limit or float("inf")))
