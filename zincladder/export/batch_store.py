"""Batches that wait to be sent, and the store that holds them in memory."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class SpooledBatch:
    """A batch that waits. Its number rises by one from batch to batch."""

    number: int
    unix_ms: int
    payload: bytes


class BatchStore(Protocol):
    """A queue of batches, bounded in bytes: the oldest are dropped when there are too many."""

    lost_batches: int  # dropped or unreadable, and never sent

    def __len__(self) -> int:
        """How many batches wait."""

    def append(self, unix_ms: int, payload: bytes) -> None:
        """Add a batch. Raises OSError if it cannot be stored; the store is as before then."""

    def oldest(self) -> SpooledBatch | None:
        """The batch to send next; None if there is none."""

    def acknowledge(self, batch: SpooledBatch) -> None:
        """Remove a batch that was sent or will never be. It may have been dropped meanwhile."""


class MemoryStore:
    """Batches in memory, which a crash loses."""

    def __init__(self, max_bytes: int) -> None:
        """Create an empty store. `max_bytes` bounds the payloads of all batches together."""
        self.size_bytes = 0
        self.lost_batches = 0
        self._max_bytes = max_bytes
        self._batches: deque[SpooledBatch] = deque()
        self._last_number = 0

    def __len__(self) -> int:
        """How many batches wait."""
        return len(self._batches)

    def append(self, unix_ms: int, payload: bytes) -> None:
        """Add a batch, and drop the oldest while the bound is exceeded."""
        self._last_number += 1
        self._batches.append(SpooledBatch(self._last_number, unix_ms, payload))
        self.size_bytes += len(payload)
        while self.size_bytes > self._max_bytes and self._batches:
            self._remove_oldest()
            self.lost_batches += 1

    def _remove_oldest(self) -> None:
        self.size_bytes -= len(self._batches.popleft().payload)

    def oldest(self) -> SpooledBatch | None:
        """The batch to send next; None if there is none."""
        return self._batches[0] if self._batches else None

    def acknowledge(self, batch: SpooledBatch) -> None:
        """Remove a batch that was sent or will never be. It may have been dropped meanwhile."""
        if self._batches and self._batches[0].number == batch.number:
            self._remove_oldest()
