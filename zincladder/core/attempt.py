"""Requests as the fronts pass them on, and single attempts at them as a transport sends them."""

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
    """A request as a front hands it over; `deadline` is a time on the core's clock."""

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
    client_is_waiting: Callable[[], bool] = lambda: True  # asked again just before an attempt's first byte


class AbortReason(Enum):
    """Why an attempt may not start any more; the first that applies is reported.

    The value is the published label of the metric, `description` the text for the log.
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
        """Make a member whose value is its label."""
        member = object.__new__(cls)
        member._value_ = label
        member.description = description
        return member


class AttemptGuard(Protocol):
    """What can change between the decision for an attempt and its first byte."""

    def abort_reason(self, attempt: AttemptRequest) -> AbortReason | None:
        """Why the attempt may not start at this moment; `None` where it may."""

    def aborted_before_send(self, attempt: AttemptRequest, reason: AbortReason) -> None:
        """Counts an attempt that was not sent for this reason."""

    def max_copy_age(self, attempt: AttemptRequest) -> float:
        """The age in seconds of the oldest acceptable copy at this moment; 0: any that is fresh."""

    def written(self) -> None:
        """Counts an attempt whose last byte has been written."""


class NoAttemptGuard:
    """The guard of an attempt whose decision nothing can change."""

    def abort_reason(self, attempt: AttemptRequest) -> AbortReason | None:
        """Allows every attempt."""
        return None

    def aborted_before_send(self, attempt: AttemptRequest, reason: AbortReason) -> None:
        """Counts nothing."""

    def max_copy_age(self, attempt: AttemptRequest) -> float:
        """The age of the decision."""
        return attempt.max_age

    def written(self) -> None:
        """Counts nothing."""


NO_ATTEMPT_GUARD = NoAttemptGuard()


@dataclass(slots=True)
class AttemptRequest:
    """One attempt, as the transport is to send it."""

    request: ClientRequest
    endpoint: api.EndpointId
    source: api.EndpointId | None = None  # None: no fill
    cache_rank: int = 0
    max_age: float = 0.0
    coalesce: bool = False
    cached_only: bool = False
    parent_proxies: bool = False
    renew: bool = False
    deadline: float = 0.0  # when the wait for its answer ends
    start_before: float = math.inf  # repeats are deduplicated until then: its first byte goes out before
    cancelled: bool = False  # set before the cancellation itself had its turn of the event loop
    stalled_seconds_before: float = 0.0  # for which the process had stalled when the attempt was decided
    guard: AttemptGuard = NO_ATTEMPT_GUARD

    def abort_reason(self) -> AbortReason | None:
        """Why it may not start at this moment; asked again just before its first byte."""
        return self.guard.abort_reason(self)

    def may_start(self) -> bool:
        """Whether it may start at this moment."""
        return self.abort_reason() is None

    def max_age_now(self) -> float:
        """The age in seconds of the oldest acceptable copy, as of this moment."""
        return self.guard.max_copy_age(self)


class Transport(Protocol):
    """What reaches the endpoints."""

    async def send(self, attempt: AttemptRequest) -> AttemptEnd:
        """Makes one attempt. Cancelling it abandons the attempt."""

    async def check_health(self, endpoint: api.EndpointId) -> AttemptEnd:
        """Asks an endpoint for its load report."""
