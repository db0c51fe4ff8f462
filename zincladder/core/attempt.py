"""Requests as a front passes them to the core, and the attempts at them that a transport sends."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from zincladder.core.attempt_end import AttemptEnd
from zincladder.routing import interface as api


@dataclass(slots=True)
class ClientRequest:
    """A request as a front passes it to the core; `deadline` is a time of the core's clock."""

    trace: str
    request_class: int
    object: int
    part: int | None
    group: int
    deadline: float
    repeat: bool = False
    write: bool = False
    tag: str = ""  # entity tag of the client's cached copy
    key: str = ""  # idempotency key: the same in all attempts
    body: bytes = b""
    size_kb: float = 0.0
    client_is_waiting: Callable[[], bool] = lambda: True  # called again just before an attempt's first byte
    # For a request that must not run twice: an attempt was sent, and one has ended that may have run.
    was_sent: bool = False
    may_have_run: bool = False
    answer_goes_first: Callable[[], bool] = lambda: True  # whether others' answers wait for memory behind it

    def forget_client(self) -> None:
        """Marks the client as not waiting any more; the request then refers to its connection no longer."""
        self.client_is_waiting = self.answer_goes_first = lambda: False


class AbortReason(Enum):
    """Why an attempt must not be sent any more. If several reasons apply, the first one checked is reported.

    The value is the label in metrics, `description` the text in log lines.
    """

    CANCELLED = "called_off", "cancelled"
    DEADLINE_EXCEEDED = "time_over", "deadline exceeded"
    CLIENT_DISCONNECTED = "client_left", "client disconnected"
    DEDUPLICATION_EXPIRED = "window_over", "deduplication window expired"
    ENDPOINT_NOT_READY = "member_drains", "endpoint not ready"
    LIST_OUT_OF_DATE = "out_of_date", "endpoint list may be out of date"
    SOURCE_NOT_READY = "source_drains", "fill source not ready"

    description: str

    def __new__(cls, label: str, description: str) -> AbortReason:
        """Creates a member whose value is the label alone."""
        member = object.__new__(cls)
        member._value_ = label
        member.description = description
        return member


class AttemptGuard(Protocol):
    """Checks just before the first byte of an attempt whether it may still be sent.

    Time passes between the router's decision and that byte, for example while a connection is established.
    """

    def abort_reason(self, attempt: AttemptRequest) -> AbortReason | None:
        """Returns why the attempt must not be sent now, or None if it may be sent."""

    def record_abort(self, attempt: AttemptRequest, reason: AbortReason) -> None:
        """Records that an attempt was not sent for this reason."""

    def max_copy_age(self, attempt: AttemptRequest) -> float:
        """Returns the maximum age in seconds of a copy that may be served now; 0: any fresh copy."""

    def sending(self, attempt: AttemptRequest) -> None:
        """Records that the first byte of an attempt is about to be written."""

    def written(self) -> None:
        """Records that the last byte of an attempt has been written."""


class NoAttemptGuard:
    """A guard that allows every attempt and records nothing."""

    def abort_reason(self, attempt: AttemptRequest) -> AbortReason | None:
        """Returns None: the attempt may be sent."""
        return None

    def record_abort(self, attempt: AttemptRequest, reason: AbortReason) -> None:
        """Does nothing."""

    def max_copy_age(self, attempt: AttemptRequest) -> float:
        """Returns the maximum age that the router decided."""
        return attempt.max_age

    def sending(self, attempt: AttemptRequest) -> None:
        """Does nothing."""

    def written(self) -> None:
        """Does nothing."""


NO_ATTEMPT_GUARD = NoAttemptGuard()


@dataclass(slots=True)
class AttemptRequest:
    """One attempt, with all that the transport needs to send it."""

    request: ClientRequest
    endpoint: api.EndpointId
    source: api.EndpointId | None = None  # where a miss is filled from; None: it is not filled
    cache_rank: int = 0
    max_age: float = 0.0  # maximum seconds, for a served copy; 0: any fresh copy
    coalesce: bool = False  # may join a fill that is in progress
    cached_only: bool = False  # the source serves cached copies only
    parent_proxies: bool = False  # the source does not cache a copy
    renew: bool = False  # a stale copy is served, and renewed afterwards
    deadline: float = 0.0  # when the wait for the answer ends
    start_before: float = math.inf  # end of the deduplication window; the first byte must be sent before
    cancelled: bool = False  # set at once; the event loop delivers the cancellation itself later
    stalled_seconds_at_decision: float = 0.0  # `LoopMonitor.stalled_seconds` when the router decided
    guard: AttemptGuard = NO_ATTEMPT_GUARD

    def abort_reason(self) -> AbortReason | None:
        """Returns why the attempt must not be sent now, or None; called again just before its first byte."""
        return self.guard.abort_reason(self)

    def may_start(self) -> bool:
        """Returns whether the attempt may be sent now."""
        return self.abort_reason() is None

    def max_age_now(self) -> float:
        """Returns the maximum age in seconds of a copy that may be served now; 0: any fresh copy."""
        return self.guard.max_copy_age(self)


class Transport(Protocol):
    """Sends attempts and health checks to the endpoints."""

    async def send(self, attempt: AttemptRequest) -> AttemptEnd:
        """Sends one attempt and waits for its end. Cancelling the call cancels the attempt."""

    async def check_health(self, endpoint: api.EndpointId) -> AttemptEnd:
        """Asks an endpoint for its load report and waits for the end of the exchange."""
