"""Budgets for the bytes of messages that a front holds: what has arrived, waits, or is not read yet.

Each kind has a budget of its own, so that what one kind of client sends cannot keep the others from theirs.
Nothing here does I/O or reads a clock. All times are in seconds on one clock, which the caller reads.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from zincladder.admission.model import ConnectionSlot, RejectionReason

# So long may the rest of an incomplete message take before its memory can be given to another.
MIN_GRANT_SECONDS = 0.1
FREE_SHARE = 0.5  # of the memory for bodies: up to here they are accepted whoever sends them


@dataclass(frozen=True, slots=True)
class MessageLimits:
    """The maximum of each budget in bytes, over all connections."""

    incomplete: int  # large messages of clients of which a part has not arrived
    bodies: int  # bodies of open requests
    answers: int  # bodies of caches' answers, until the client has read them
    unread: int  # replies that wait because the client does not read, with their share of the queue


class ByteBudget:
    """A number of bytes that many holders share."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes, self.used = max_bytes, 0

    def fits(self, size: int, share: float = 1.0) -> bool:
        """Returns whether `size` bytes are left in a share of the budget; one holder alone may exceed it."""
        return self.used + size <= share * self.max_bytes or not self.used

    def take(self, size: int) -> None:
        """Counts bytes as held; the caller has checked that they fit."""
        self.used += size

    def release(self, size: int) -> None:
        """Counts bytes as free again."""
        self.used -= size

    @property
    def is_full(self) -> bool:
        """Whether no byte is left."""
        return self.used >= self.max_bytes


class BodyBudget(ByteBudget):
    """The budget of request bodies; past half of it, each connection is limited to an equal share."""

    def __init__(self, max_bytes: int) -> None:
        super().__init__(max_bytes)
        self._by_slot: dict[ConnectionSlot, int] = {}  # without entries of 0

    def reason_to_reject(self, slot: ConnectionSlot, size: int) -> RejectionReason:
        """Returns why a request with a body of `size` bytes may not be opened; NONE if it may."""
        held = self._by_slot.get(slot, 0)
        if not size or self.fits(size, FREE_SHARE):
            return RejectionReason.NONE
        if not self.fits(size):
            return RejectionReason.NO_CAPACITY
        if held and held + size > self.max_bytes / len(self._by_slot):
            return RejectionReason.OVER_SHARE
        return RejectionReason.NONE

    def take_for(self, slot: ConnectionSlot, size: int) -> None:
        """Counts the body of a request that was opened on a connection."""
        if size:
            self.take(size)
            self._by_slot[slot] = self._by_slot.get(slot, 0) + size

    def release_for(self, slot: ConnectionSlot, size: int) -> None:
        """Counts the body of a request that has ended as free."""
        if size:
            self.release(size)
            self._by_slot[slot] -= size
            if not self._by_slot[slot]:
                del self._by_slot[slot]


class MemoryGrants:
    """Which connections were granted memory for an incomplete message, and since when; oldest first."""

    def __init__(self) -> None:
        self._granted_at: dict[ConnectionSlot, float] = {}

    def record(self, slot: ConnectionSlot, now: float) -> None:
        """Records a grant."""
        self._granted_at[slot] = now

    def forget(self, slot: ConnectionSlot) -> None:
        """Records the end of a grant."""
        self._granted_at.pop(slot, None)

    def overdue(self, now: float) -> Iterator[ConnectionSlot]:
        """Yields the connections whose message has been incomplete for too long while others wait.

        One with an open request is left out, because closing its connection would lose that request.
        """
        for slot, granted_at in list(self._granted_at.items()):
            if now - granted_at < MIN_GRANT_SECONDS:
                return
            if not slot.open_requests:
                yield slot


class MessageMemory:
    """All budgets of a front."""

    def __init__(self, limits: MessageLimits) -> None:
        self.incomplete = ByteBudget(limits.incomplete)
        self.bodies = BodyBudget(limits.bodies)
        self.answers = ByteBudget(limits.answers)
        self.unread = ByteBudget(limits.unread)

    def apply_limits(self, limits: MessageLimits) -> None:
        """Changes the limits; bytes that are held already stay."""
        self.incomplete.max_bytes = limits.incomplete
        self.bodies.max_bytes = limits.bodies
        self.answers.max_bytes = limits.answers
        self.unread.max_bytes = limits.unread
