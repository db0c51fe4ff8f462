"""The state that the core keeps of each open request and of its attempts in flight."""

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

    number: int  # from 0, within its request
    attempt: AttemptRequest
    scope: anyio.CancelScope
    decided_at: float  # when the router decided it, on the core's clock
    end: AttemptEnd | None = None

    def cancel(self) -> None:
        """Cancels the attempt; the flag takes effect before the event loop delivers the cancellation."""
        self.attempt.cancelled = True
        self.scope.cancel()


@dataclass(slots=True, eq=False)
class RequestContext:
    """One open request and its attempts."""

    request: ClientRequest
    attempts_started: int = 0
    in_flight: dict[int, InFlightAttempt] = field(default_factory=dict)  # by number
    ended_attempts: list[InFlightAttempt] = field(default_factory=list)  # the router is not notified yet
    next_attempt: InFlightAttempt | None = None  # to be run in the request's own task
    running_attempt: InFlightAttempt | None = None  # runs in the request's own task
    # End of the deduplication window, for a request with an idempotency key that may have run: a retry that
    # is sent later could run it twice.
    resend_before: float = math.inf
    changed: anyio.Event = field(default_factory=anyio.Event)  # an attempt ended, or the answer is known
    answer: Answer | None = None
