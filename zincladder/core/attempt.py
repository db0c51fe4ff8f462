"""One attempt of a request, as the core orders it and a carrier makes it."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from zincladder import interface as api


@dataclass(slots=True)
class Ask:
    """A request as a front hands it over; `due` is a time on the core's clock."""

    trace: str
    klass: int
    object: int
    part: int | None
    group: int
    due: float
    repeat: bool = False
    write: bool = False
    tag: str = ""  # of a copy that the client holds
    key: str = ""  # idempotency key: the same for all tries of one keyed request
    body: bytes = b""
    size_kb: float = 0.0
    wanted: Callable[[], bool] = lambda: True  # whether its client still waits for it, as of that moment


class Hold(Enum):
    """Why an attempt may not begin any more; the first that holds is told."""

    CALLED_OFF = "it was called off"
    TIME_OVER = "its time is over"
    CLIENT_LEFT = "its client has left"
    WINDOW_OVER = "its repeats are no longer dropped"
    MEMBER_DRAINS = "its member is no longer ready"
    OUT_OF_DATE = "what is known of the fleet may be out of date"
    SOURCE_DRAINS = "the source of its fill is no longer ready"


class Guard(Protocol):
    """What can change between the decision for an attempt and its first byte."""

    def hold(self, order: Order) -> Hold | None:
        """Why the attempt may not begin at this moment; `None` where it may."""

    def held_back(self, order: Order, hold: Hold) -> None:
        """Counts an attempt that was not sent for this cause."""

    def oldest_copy(self, order: Order) -> float:
        """The age in seconds of the oldest copy that will do at this moment; 0: any that is fresh."""

    def written(self) -> None:
        """Counts an attempt whose last byte has gone out."""


class NoGuard:
    """The guard of an attempt whose decision nothing can change."""

    def hold(self, order: Order) -> Hold | None:
        return None

    def held_back(self, order: Order, hold: Hold) -> None:
        """Counts nothing."""

    def oldest_copy(self, order: Order) -> float:
        return order.max_age

    def written(self) -> None:
        """Counts nothing."""


NO_GUARD = NoGuard()


@dataclass(slots=True)
class Order:
    """One attempt, as the carrier is to make it."""

    ask: Ask
    member: api.MemberId
    source: api.MemberId | None = None  # None: no fill
    keep: int = 0
    max_age: float = 0.0
    join: bool = False
    held_only: bool = False
    parent_passes: bool = False
    renew: bool = False
    until: float = 0.0  # when the wait for it ends
    begin_by: float = math.inf  # its first byte goes before this: repeats are dropped for that long only
    called_off: bool = False  # its cancellation may still wait for its turn of the event loop
    halted_before: float = 0.0  # seconds in which the process had stood still when it was ordered
    guard: Guard = NO_GUARD

    def hold(self) -> Hold | None:
        """Why it may not begin at this moment; asked again just before its first byte."""
        return self.guard.hold(self)

    def may_go(self) -> bool:
        """Whether it may begin at this moment."""
        return self.hold() is None

    def age_now(self) -> float:
        """The age in seconds of the oldest copy that will do, as of this moment."""
        return self.guard.oldest_copy(self)
