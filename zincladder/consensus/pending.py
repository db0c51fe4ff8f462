"""Outcomes that requests wait for: of a log entry, or of a leadership confirmation. Uses anyio."""

from __future__ import annotations

from typing import Generic, TypeVar

import anyio

from zincladder.consensus.errors import CommitUnknownError
from zincladder.consensus.key_value_state import CompareAndSwapResult

COMMIT_TIMEOUT_SECONDS = 5.0
T = TypeVar("T")


class Pending(Generic[T]):
    """An outcome that is not known yet."""

    def __init__(self, initial: T) -> None:
        self._outcome = initial
        self._resolved = anyio.Event()

    def resolve(self, outcome: T) -> None:
        """Sets the outcome and wakes the waiting task."""
        self._outcome = outcome
        self._resolved.set()

    async def wait(self) -> T:
        """Waits for the outcome and returns it. Raises CommitUnknownError after COMMIT_TIMEOUT_SECONDS."""
        with anyio.move_on_after(COMMIT_TIMEOUT_SECONDS):
            await self._resolved.wait()
        if not self._resolved.is_set():
            raise CommitUnknownError("no majority has answered yet")
        return self._outcome


class PendingEntry(Pending[CompareAndSwapResult | None]):
    """The result of an entry appended in `term`.

    It is None if the entry changes the membership, if an entry of another term is applied at its index, or
    if a snapshot covers that index.
    """

    def __init__(self, term: int) -> None:
        super().__init__(None)
        self.term = term


class PendingConfirmation(Pending[bool]):
    """Whether a majority has confirmed that this replica leads."""

    def __init__(self) -> None:
        super().__init__(False)
