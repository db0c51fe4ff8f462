"""Memory for large messages of clients that have not arrived completely."""

from __future__ import annotations

from collections.abc import Callable
from time import monotonic

from zincladder.admission.message_memory import ByteBudget, MemoryGrants
from zincladder.admission.model import ConnectionSlot
from zincladder.net.budget_queue import BudgetQueue

LARGE_MESSAGE_BYTES = 4096  # a smaller one is always read; the number of connections bounds their sum
MAX_EVICTIONS_PER_TICK = 16


class IncompleteMessages:
    """Lets a connection read the rest of a large message when there is memory for it."""

    def __init__(self, budget: ByteBudget, evict: Callable[[ConnectionSlot], bool]) -> None:
        """Creates the queue of connections that wait for memory.

        Args:
            budget: What all incomplete messages together may hold.
            evict: Closes a connection whose message does not arrive; returns False if it may not be closed.
        """
        self._queue, self._grants, self._evict = BudgetQueue(budget), MemoryGrants(), evict

    def has_room(self, size: int) -> bool:
        """Returns whether `take` would not wait."""
        return not self._queue.is_waited_for and self._queue.budget.fits(size)

    async def take(self, slot: ConnectionSlot, size: int) -> None:
        """Waits until there is memory for a message of `size` bytes, of which a part has not arrived."""
        await self._queue.take(size)
        self._grants.record(slot, monotonic())

    def release(self, slot: ConnectionSlot, size: int) -> None:
        """Returns the memory once the message has arrived or its connection has ended."""
        self._grants.forget(slot)
        self._queue.release(size)

    def tick(self, now: float) -> None:
        """Ends the messages that have been incomplete for longest, while others wait for their memory."""
        if not self._queue.is_waited_for:
            return
        evicted = 0
        for slot in self._grants.overdue(now):
            evicted += self._evict(slot)
            if evicted >= MAX_EVICTIONS_PER_TICK:
                return
