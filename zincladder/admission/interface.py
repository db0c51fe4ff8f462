"""What the listeners ask of admission, whether it judges by source or by connection alone."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from zincladder.admission.descriptor_budget import DescriptorBudget, DescriptorUse
from zincladder.admission.model import (
    AdmissionCounters,
    ConnectionSlot,
    Decision,
    Eviction,
    Offense,
    RejectionReason,
    Verdict,
)
from zincladder.admission.response_rate_limiter import DatagramVerdict


@dataclass(slots=True)
class RequestBounds:
    """What all clients together may have open; a reload may change it."""

    max_open: int  # requests
    max_unread_bytes: int


@dataclass(slots=True)
class TickResult:
    """What one tick of the clock brought."""

    to_wake: list[ConnectionSlot] = field(default_factory=list)  # their next message may be read
    to_evict: list[Eviction] = field(default_factory=list)


# The usual results, made once: they are returned for every connection and tick, and never changed.
ADMITTED = Decision(Verdict.ADMIT)
NOTHING_DUE = TickResult()


class Admission(Protocol):
    """Decides over connections, reads and requests.

    Times are seconds on the caller's monotonic clock.
    """

    bounds: RequestBounds
    descriptors: DescriptorBudget
    counters: AdmissionCounters

    def may_accept(self, now: float) -> Decision:
        """Whether a connection may be accepted from the system's queue."""

    def connect(self, host: str, now: float) -> Decision:
        """Judge a connection that was accepted.

        Raises:
            ValueError: `host` is no address.
        """

    def open_slot(self, decision: Decision, now: float) -> ConnectionSlot:
        """Give an admitted connection its slot, and its descriptor a place in the budget."""

    def release_slot(self, slot: ConnectionSlot, now: float) -> None:
        """Take back the slot of a connection that was closed: its descriptor is free."""

    def cancel_eviction(self, slot: ConnectionSlot, now: float) -> None:
        """Keep a connection that was chosen to make room, as it has sent something meanwhile."""

    def may_read(self, slot: ConnectionSlot, now: float) -> bool:
        """Whether a message may be read. If not, the slot waits until `tick` names it."""

    def record_message(self, slot: ConnectionSlot, now: float) -> None:
        """Count a message that was read and asks for no work."""

    def may_open(self, slot: ConnectionSlot, now: float) -> RejectionReason:
        """Judge a request that was read: NONE if it may be worked on."""

    def request_opened(self, slot: ConnectionSlot) -> None:
        """Count a request that is worked on from now."""

    def request_closed(self, slot: ConnectionSlot, now: float, served: bool, size: int = 0) -> None:
        """Count a request that ended, by an answer whose body has `size` bytes or without one."""

    def add_unread_bytes(self, slot: ConnectionSlot, change: int) -> None:
        """Count bytes of answers that the client has not read: more, or fewer where `change` is negative."""

    def answers_read(self, slot: ConnectionSlot, now: float) -> None:
        """Note that a client has read all its answers."""

    def record_offense(self, slot: ConnectionSlot, offense: Offense, now: float) -> None:
        """Count what a client did against it."""

    def tick(self, now: float, loop_lag: float) -> TickResult:
        """Say whose turn it is and who has to leave; called every few milliseconds.

        `loop_lag` is the seconds by which the event loop runs late.
        """

    def record_cpu_seconds(self, cpu_seconds: float) -> None:
        """Take in the process's CPU time since the last call."""

    def open_connection(self, use: DescriptorUse, host: str, now: float) -> RejectionReason:
        """Judge a connection to another listener than the clients': NONE if it is taken.

        One that is taken is given back by `close_connection`.
        """

    def close_connection(self, use: DescriptorUse, host: str) -> None:
        """Give back a connection to another listener."""

    def judge_datagram(self, host: str, now: float) -> DatagramVerdict:
        """What the sender of one more datagram gets."""
