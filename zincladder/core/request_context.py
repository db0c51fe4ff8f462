"""What the core keeps of a request while its answer is outstanding."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

import anyio

from zincladder.core.answers import Answer
from zincladder.core.attempt import AttemptRequest, ClientRequest
from zincladder.core.attempt_end import AttemptEnd


@dataclass(slots=True, eq=False)
class InFlightAttempt:
    """One attempt from its decision until the router is notified of its end."""

    number: int  # counted within its request
    attempt: AttemptRequest
    scope: anyio.CancelScope
    sent_at: float  # on the core's clock
    end: AttemptEnd | None = None

    def cancel(self) -> None:
        """Cancels the attempt; one that is about to start sees it without a turn of the event loop."""
        self.attempt.cancelled = True
        self.scope.cancel()


@dataclass(slots=True, eq=False)
class RequestContext:
    """One open request and its attempts."""

    request: ClientRequest
    attempts_started: int = 0
    in_flight: dict[int, InFlightAttempt] = field(default_factory=dict)  # by number
    ended: list[InFlightAttempt] = field(default_factory=list)  # of which the router is not notified yet
    next_attempt: InFlightAttempt | None = None  # to be made by the request's own task
    running_attempt: InFlightAttempt | None = None  # being made by the request's own task
    repeat_before: float = math.inf  # a keyed request that may have run is sent again before this or never
    changed: anyio.Event = field(default_factory=anyio.Event)  # an attempt ended, or there is an answer
    answer: Answer | None = None
