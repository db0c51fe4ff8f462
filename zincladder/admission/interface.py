"""What the listeners ask of admission, whether it judges by source (`Gate`) or lets all pass (`Plain`)."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from zincladder.admission.descriptor_budget import DescriptorBudget, DescriptorUse
from zincladder.admission.model import (
    AdmissionCounters,
    ConnectionSlot,
    Decision,
    Offense,
    RejectionReason,
    Verdict,
)
from zincladder.admission.response_rate_limiter import DatagramVerdict


@dataclass(slots=True)
class RequestBounds:
    """What all clients together may hold; a reload may change it."""

    max_open: int
    max_unread_bytes: int


@dataclass(slots=True)
class TickResult:
    """What one look at the clock found: seats whose turn it is to be read, and seats to end."""

    to_wake: list[ConnectionSlot] = field(default_factory=list)
    to_evict: list[tuple[ConnectionSlot, RejectionReason]] = field(default_factory=list)


ADMITTED, NOTHING_DUE = Decision(Verdict.ADMIT), TickResult()  # said so often that they are made once


class Admission(Protocol):
    """What the client side asks; `Gate` and `Plain` answer it."""

    bounds: RequestBounds
    descriptors: DescriptorBudget
    counters: AdmissionCounters

    def may_accept(self, now: float) -> Decision:
        """Before a connection is taken from the system's queue: may one be?"""

    def connect(self, host: str, now: float) -> Decision:
        """A connection has been taken."""

    def open_slot(self, decision: Decision, now: float) -> ConnectionSlot:
        """An admitted connection is set up."""

    def release_slot(self, seat: ConnectionSlot, now: float) -> None:
        """A connection has been closed: its descriptor is free."""

    def cancel_eviction(self, seat: ConnectionSlot, now: float) -> None:
        """A connection that was chosen to make room has something to say: it is not closed."""

    def may_read(self, seat: ConnectionSlot, now: float) -> bool:
        """May a message be read? If not, the seat waits until `look` names it."""

    def record_message(self, seat: ConnectionSlot, now: float) -> None:
        """A message that asks for no work was read."""

    def may_open(self, seat: ConnectionSlot, now: float) -> RejectionReason:
        """A request was read: NONE if it may be worked on, else why it is refused."""

    def request_opened(self, seat: ConnectionSlot) -> None: ...

    def request_closed(self, seat: ConnectionSlot, now: float, served: bool, size: int = 0) -> None:
        """A request has ended, by an answer whose body has `size` bytes or without."""

    def add_unread_bytes(self, seat: ConnectionSlot, change: int) -> None:
        """Bytes of answers that wait to be read by the client: more or less of them."""

    def answers_read(self, seat: ConnectionSlot, now: float) -> None:
        """A client has read all its answers."""

    def record_offense(self, seat: ConnectionSlot, act: Offense, now: float) -> None: ...

    def tick(self, now: float, behind: float) -> TickResult: ...

    def record_cpu_seconds(self, cpu: float) -> None:
        """The process's time since the last call, in seconds."""

    def open_connection(self, use: DescriptorUse, host: str, now: float) -> RejectionReason:
        """A connection to another listener than the clients': NONE if it is taken, to be given back by
        `left`.
        """

    def close_connection(self, use: DescriptorUse, host: str) -> None: ...

    def judge_datagram(self, host: str, now: float) -> DatagramVerdict:
        """What the sender of one more datagram gets."""
