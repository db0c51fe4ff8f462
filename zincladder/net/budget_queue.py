"""Tasks that wait until a byte budget has room for them.

Those that will return their bytes soon go first, and the others get a part of the budget only. Otherwise
peers that never return theirs would make everybody wait.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

import anyio

from zincladder.admission.message_memory import ByteBudget

LATER_SHARE = 0.5  # of the budget, for tasks that do not go first


@dataclass(slots=True, eq=False)
class _Waiter:
    size: int
    goes_first: bool
    granted: anyio.Event = field(default_factory=anyio.Event)


class BudgetQueue:
    """The tasks that wait for room in one budget."""

    def __init__(self, budget: ByteBudget) -> None:
        self.budget = budget
        self._first: deque[_Waiter] = deque()
        self._later: deque[_Waiter] = deque()

    @property
    def is_waited_for(self) -> bool:
        """Whether a task waits for room."""
        return bool(self._first or self._later)

    async def take(self, size: int, goes_first: bool = True) -> None:
        """Waits until `size` bytes fit the budget, and takes them."""
        share = 1.0 if goes_first else LATER_SHARE
        if not (self._first or self._later) and self.budget.fits(size, share):
            self.budget.take(size)
            return
        waiter = _Waiter(size, goes_first)
        waiters = self._first if goes_first else self._later
        waiters.append(waiter)
        self._grant()
        if waiter.granted.is_set():
            return
        try:
            await waiter.granted.wait()
        except BaseException:
            if waiter.granted.is_set():
                self.release(size)
            else:
                waiters.remove(waiter)
            raise

    def release(self, size: int) -> None:
        """Returns bytes to the budget, and lets the tasks go on that have waited longest."""
        self.budget.release(size)
        self._grant()

    def _grant(self) -> None:
        while self._first and self.budget.fits(self._first[0].size):
            self._give(self._first.popleft())
        while self._later and not self._first and self.budget.fits(self._later[0].size, LATER_SHARE):
            self._give(self._later.popleft())

    def _give(self, waiter: _Waiter) -> None:
        self.budget.take(waiter.size)
        waiter.granted.set()
