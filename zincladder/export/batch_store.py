"""The interface of a store for unsent batches, and a store that keeps them in memory."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class SpooledBatch:
    """An encoded batch that waits to be sent. Batches of a store are numbered consecutively."""

    number: int
    unix_ms: int  # the time of its samples
    payload: bytes


class BatchStore(Protocol):
    """A queue of batches with a limit in bytes. The oldest batches are dropped if the limit is exceeded."""

    lost_batches: int  # number of batches that were dropped or became unreadable before they were sent

    def __len__(self) -> int:
        """Returns the number of batches that wait to be sent."""

    def append(self, unix_ms: int, payload: bytes) -> None:
        """Adds a batch. Raises OSError if it cannot be stored; the store is unchanged then."""

    def oldest(self) -> SpooledBatch | None:
        """Returns the batch to send next; None if there is none."""

    def acknowledge(self, batch: SpooledBatch) -> None:
        """Removes a batch that was sent or was rejected. Has no effect if the batch was dropped meanwhile."""


class MemoryStore:
    """A BatchStore in memory. Its batches are lost in a crash."""

    def __init__(self, max_bytes: int) -> None:
        """Creates an empty store. `max_bytes` limits the total size of the payloads."""
        self.size_bytes = 0
        self.lost_batches = 0
        self._max_bytes = max_bytes
        self._batches: deque[SpooledBatch] = deque()
        self._last_number = 0

    def __len__(self) -> int:
        """Returns the number of batches that wait to be sent."""
        return len(self._batches)

    def append(self, unix_ms: int, payload: bytes) -> None:
        """Adds a batch, and drops the oldest ones while the limit is exceeded."""
        self._batches.append(self._numbered(unix_ms, payload))
        self._apply_limit()

    def prepend(self, batches: Sequence[SpooledBatch]) -> list[SpooledBatch]:
        """Adds batches that are older than those in memory; returns them with their new numbers.

        The oldest ones are dropped while the limit is exceeded.
        """
        added = [self._numbered(batch.unix_ms, batch.payload) for batch in batches]
        self._batches.extendleft(reversed(added))
        self._apply_limit()
        return added

    def drop_until(self, unix_ms: int) -> int:
        """Removes the batches that are not newer than a time; returns how many. They do not count as lost."""
        kept = [batch for batch in self._batches if batch.unix_ms > unix_ms]
        dropped = len(self._batches) - len(kept)
        self._batches = deque(kept)
        self.size_bytes = sum(len(batch.payload) for batch in kept)
        return dropped

    def _numbered(self, unix_ms: int, payload: bytes) -> SpooledBatch:
        self._last_number += 1
        self.size_bytes += len(payload)
        return SpooledBatch(self._last_number, unix_ms, payload)

    def _apply_limit(self) -> None:
        while self.size_bytes > self._max_bytes and self._batches:
            self._remove_oldest()
            self.lost_batches += 1

    def _remove_oldest(self) -> None:
        self.size_bytes -= len(self._batches.popleft().payload)

    def oldest(self) -> SpooledBatch | None:
        """Returns the batch to send next; None if there is none."""
        return self._batches[0] if self._batches else None

    def acknowledge(self, batch: SpooledBatch) -> None:
        """Removes a batch that was sent or was rejected. Has no effect if the batch was dropped meanwhile."""
        if self._batches and self._batches[0].number == batch.number:
            self._remove_oldest()
