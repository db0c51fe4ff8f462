"""The interface between the listeners and admission.

Admission works either by source or, without regard to addresses, by connection.
"""

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
    """Limits for all clients together; a reload may change them."""

    max_open: int  # requests
    max_unread_bytes: int


@dataclass(slots=True)
class TickResult:
    """What the caller of `Admission.tick` has to do."""

    to_read: list[ConnectionSlot] = field(default_factory=list)  # slots whose next message may be read now
    to_evict: list[Eviction] = field(default_factory=list)


# Shared instances of the most frequent results, which callers must not modify: creating one for every
# connection and tick would cost time.
ADMITTED = Decision(Verdict.ADMIT)
EMPTY_TICK_RESULT = TickResult()


class Admission(Protocol):
    """Decides which connections are admitted, when messages are read and which requests are opened.

    Times are in seconds on the caller's monotonic clock.
    """

    bounds: RequestBounds
    descriptors: DescriptorBudget
    counters: AdmissionCounters

    def may_accept(self, now: float) -> Decision:
        """Return whether a connection may be accepted from the kernel's accept queue."""

    def connect(self, host: str, now: float) -> Decision:
        """Decide whether a connection that was accepted from the kernel's queue is admitted.

        Raises:
            ValueError: `host` is not an address.
        """

    def open_slot(self, decision: Decision, now: float) -> ConnectionSlot:
        """Create the slot of an admitted connection and count its descriptor in the budget."""

    def release_slot(self, slot: ConnectionSlot, now: float) -> None:
        """Release the slot and the descriptor of a connection that was closed."""

    def cancel_eviction(self, slot: ConnectionSlot, now: float) -> None:
        """Keep a connection that was chosen for eviction, because a message has arrived on it since."""

    def may_read(self, slot: ConnectionSlot, now: float) -> bool:
        """Return whether a message may be read now; if not, the slot waits until `tick` returns it."""

    def record_message(self, slot: ConnectionSlot, now: float) -> None:
        """Record a message that was read and does not open a request."""

    def may_open(self, slot: ConnectionSlot, now: float) -> RejectionReason:
        """Decide whether a request that was read may be opened; NONE means that it may."""

    def request_opened(self, slot: ConnectionSlot) -> None:
        """Count a request as open."""

    def request_closed(self, slot: ConnectionSlot, now: float, served: bool, size: int = 0) -> None:
        """Count a request as closed.

        `size` is the length of the answer's body in bytes, or 0 if there was none.
        """

    def add_unread_bytes(self, slot: ConnectionSlot, change: int) -> None:
        """Add `change`, which may be negative, to the answer bytes that the client has not read."""

    def answers_read(self, slot: ConnectionSlot, now: float) -> None:
        """Record that the client has read all its answers."""

    def record_offense(self, slot: ConnectionSlot, offense: Offense, now: float) -> None:
        """Record an offense of the client."""

    def tick(self, now: float, loop_lag: float) -> TickResult:
        """Return the slots to read from and those to evict; called every few milliseconds.

        `loop_lag` is the delay of the event loop in seconds.
        """

    def record_cpu_seconds(self, cpu_seconds: float) -> None:
        """Record the CPU time that the process has used since the last call."""

    def open_connection(self, use: DescriptorUse, host: str, now: float) -> RejectionReason:
        """Decide whether a connection to a listener that does not serve clients is admitted.

        NONE means that it is; an admitted connection has to be released by `close_connection`.
        """

    def close_connection(self, use: DescriptorUse, host: str) -> None:
        """Release a connection that `open_connection` admitted."""

    def judge_datagram(self, host: str, now: float) -> DatagramVerdict:
        """Decide how one more datagram from a host is answered."""
