"""One attempt of a request, as the core orders it and a carrier makes it."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from zincladder.routing import interface as api


@dataclass(slots=True)
class ClientRequest:
    """A request as a front hands it over; `due` is a time on the core's clock."""

    trace: str
    request_class: int
    object: int
    part: int | None
    group: int
    deadline: float
    repeat: bool = False
    write: bool = False
    tag: str = ""  # of a copy that the client holds
    key: str = ""  # idempotency key: the same for all tries of one keyed request
    body: bytes = b""
    size_kb: float = 0.0
    wanted: Callable[[], bool] = lambda: True  # whether its client still waits for it, as of that moment


class AbortReason(Enum):
    """Why an attempt may not begin any more; the first that holds is told."""

    CALLED_OFF = "it was called off"
    TIME_OVER = "its time is over"
    CLIENT_LEFT = "its client has left"
    WINDOW_OVER = "its repeats are no longer dropped"
    MEMBER_DRAINS = "its member is no longer ready"
    OUT_OF_DATE = "what is known of the fleet may be out of date"
    SOURCE_DRAINS = "the source of its fill is no longer ready"


class AttemptGuard(Protocol):
    """What can change between the decision for an attempt and its first byte."""

    def hold(self, order: AttemptRequest) -> AbortReason | None:
        """Why the attempt may not begin at this moment; `None` where it may."""

    def aborted_before_send(self, order: AttemptRequest, hold: AbortReason) -> None:
        """Counts an attempt that was not sent for this cause."""

    def oldest_copy(self, order: AttemptRequest) -> float:
        """The age in seconds of the oldest copy that will do at this moment; 0: any that is fresh."""

    def written(self) -> None:
        """Counts an attempt whose last byte has gone out."""


class NoAttemptGuard:
    """The guard of an attempt whose decision nothing can change."""

    def hold(self, order: AttemptRequest) -> AbortReason | None:
        return None

    def aborted_before_send(self, order: AttemptRequest, hold: AbortReason) -> None:
        """Counts nothing."""

    def oldest_copy(self, order: AttemptRequest) -> float:
        return order.max_age

    def written(self) -> None:
        """Counts nothing."""


NO_ATTEMPT_GUARD = NoAttemptGuard()


@dataclass(slots=True)
class AttemptRequest:
    """One attempt, as the carrier is to make it."""

    ask: ClientRequest
    endpoint: api.EndpointId
    source: api.EndpointId | None = None  # None: no fill
    cache_rank: int = 0
    max_age: float = 0.0
    coalesce: bool = False
    cached_only: bool = False
    parent_proxies: bool = False
    renew: bool = False
    until: float = 0.0  # when the wait for it ends
    begin_by: float = math.inf  # its first byte goes before this: repeats are dropped for that long only
    cancelled: bool = False  # its cancellation may still wait for its turn of the event loop
    stalled_before: float = 0.0  # seconds in which the process had stood still when it was ordered
    guard: AttemptGuard = NO_ATTEMPT_GUARD

    def hold(self) -> AbortReason | None:
        """Why it may not begin at this moment; asked again just before its first byte."""
        return self.guard.hold(self)

    def may_go(self) -> bool:
        """Whether it may begin at this moment."""
        return self.hold() is None

    def age_now(self) -> float:
        """The age in seconds of the oldest copy that will do, as of this moment."""
        return self.guard.oldest_copy(self)
