"""Outcomes that callers wait for: of an entry, or of a confirmation of the leadership. On anyio."""

from __future__ import annotations

from typing import Generic, TypeVar

import anyio

from zincladder.consensus.errors import CommitUnknownError
from zincladder.consensus.key_value_state import CompareAndSwapResult

COMMIT_TIMEOUT_SECONDS = 5.0
T = TypeVar("T")


class Pending(Generic[T]):
    """An outcome that is not known yet."""

    def __init__(self, unresolved: T) -> None:
        self._outcome = unresolved
        self._resolved = anyio.Event()

    def resolve(self, outcome: T) -> None:
        """The outcome is known."""
        self._outcome = outcome
        self._resolved.set()

    async def wait(self) -> T:
        """The outcome. CommitUnknownError where no majority answers in time."""
        with anyio.move_on_after(COMMIT_TIMEOUT_SECONDS):
            await self._resolved.wait()
        if not self._resolved.is_set():
            raise CommitUnknownError("no majority has answered yet")
        return self._outcome


class PendingEntry(Pending[CompareAndSwapResult | None]):
    """An entry of a term. Its result; None where it has none, or another entry stands in its place."""

    def __init__(self, term: int) -> None:
        super().__init__(None)
        self.term = term


class PendingConfirmation(Pending[bool]):
    """Whether a majority has confirmed that this replica leads."""

    def __init__(self) -> None:
        super().__init__(False)
