"""Converts the core's requests and attempts to events of the router, and its actions to attempts."""

from __future__ import annotations

from zincladder.core.attempt import AttemptGuard, AttemptRequest, ClientRequest
from zincladder.core.attempt_end import AttemptEnd
from zincladder.core.request_context import InFlightAttempt, RequestContext
from zincladder.routing import interface as api


def request_event(number: int, request: ClientRequest) -> api.Request:
    """Returns the event for a new request; `number` identifies the request in later events and actions."""
    return api.Request(
        number,
        request.object,
        request.group,
        request.part or 0,
        request.request_class,
        request.size_kb,
        request.deadline,
        request.repeat,
        request.write,
    )


def attempt_request(
    action: api.Fetch | api.Lookup, context: RequestContext, guard: AttemptGuard
) -> AttemptRequest:
    """Returns the attempt for an action; it has the deadline of the request."""
    request = context.request
    attempt = AttemptRequest(
        request, action.endpoint, deadline=request.deadline, start_before=context.resend_before, guard=guard
    )
    if isinstance(action, api.Fetch):
        attempt.source = None if action.source == action.endpoint else action.source
        attempt.cache_rank, attempt.max_age = action.cache_rank, action.max_age
        attempt.coalesce, attempt.cached_only = action.coalesce, action.cached_only
        attempt.renew, attempt.parent_proxies = action.renew, action.parent_proxies
    return attempt


def attempt_ended_event(
    request_number: int, in_flight: InFlightAttempt, end: AttemptEnd, latency: float, answered: bool
) -> api.AttemptEnded:
    """Returns the event for an attempt that ended `latency` seconds after it was decided.

    `answered` is true if the request needs no further attempt.
    """
    return api.AttemptEnded(
        request_number,
        in_flight.number,
        in_flight.attempt.endpoint,
        end.outcome,
        latency,
        answered,
        end.fill_outcome,
        end.fill_wait,
        end.report,
    )
