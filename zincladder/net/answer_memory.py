"""Memory for the bodies of answers, which is bounded over all caches and clients."""

from __future__ import annotations

from zincladder.admission.message_memory import ByteBudget
from zincladder.net.budget_queue import BudgetQueue


class AnswerBody(bytearray):
    """The body of an answer; its bytes count as held until the last reference to it is gone.

    A body passes from the connection to the cache through the request to the client's write queue, and may be
    dropped anywhere between. Counting its lifetime covers all these ways.
    """

    __slots__ = ("_queue", "_size")

    def __init__(self, queue: BudgetQueue, size: int) -> None:
        super().__init__(size)
        self._queue, self._size = queue, size

    def __del__(self) -> None:
        self._queue.release(self._size)


class AnswerMemory:
    """Allocates the bodies of answers."""

    def __init__(self, budget: ByteBudget) -> None:
        self._queue = BudgetQueue(budget)

    @property
    def is_waited_for(self) -> bool:
        """Whether an answer waits for memory."""
        return self._queue.is_waited_for

    async def allocate(self, size: int, goes_first: bool) -> bytearray:
        """Waits until `size` bytes fit the budget, and returns a body of this size to be filled.

        Meanwhile the answer stays in the socket's receive buffer, and flow control stops the cache.
        """
        await self._queue.take(size, goes_first)
        return AnswerBody(self._queue, size)
