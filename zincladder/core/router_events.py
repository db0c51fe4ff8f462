"""The router's events for what happens to requests and attempts."""

from __future__ import annotations

from zincladder.core.attempt import ClientRequest
from zincladder.core.attempt_end import AttemptEnd
from zincladder.core.request_context import InFlightAttempt
from zincladder.routing import interface as api


def request_event(number: int, request: ClientRequest) -> api.Request:
    """A request that is to be decided, under the number that names it to the router."""
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


def attempt_ended_event(
    request_number: int, in_flight: InFlightAttempt, end: AttemptEnd, latency: float, answered: bool
) -> api.AttemptEnded:
    """The end of an attempt, `latency` seconds after its decision; `answered`: no more is needed."""
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
