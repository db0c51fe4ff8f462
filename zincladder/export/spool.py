"""What keeps batches until they are sent: in memory, or in segment files that a crash leaves whole.

All methods block; the sender calls those that touch files in a worker thread, one at a time.
"""

from __future__ import annotations

import contextlib
import os
import re
from collections import deque
from dataclasses import dataclass
from pathlib import Path

from zincladder.durable import records

SEGMENT = re.compile(r"(\d{20})\.seg")
SEGMENTS = 8  # of a full spool: what is dropped at its bound is one of them
LEAST_SEGMENT = 64 << 10


@dataclass(frozen=True, slots=True)
class Kept:
    """A batch that waits: its number rises by one from batch to batch."""

    number: int
    unix_ms: int
    payload: bytes


class MemoryStore:
    """Batches in memory, bounded in bytes; the oldest goes when there are too many."""

    def __init__(self, most: int) -> None:
        self.most, self.size, self.lost = most, 0, 0
        self._kept: deque[Kept] = deque()
        self._number = 0

    def __len__(self) -> int:
        return len(self._kept)

    def put(self, unix_ms: int, payload: bytes) -> None:
        self._number += 1
        self._kept.append(Kept(self._number, unix_ms, payload))
        self.size += len(payload)
        while self.size > self.most and self._kept:
            self._drop()
            self.lost += 1

    def _drop(self) -> None:
        self.size -= len(self._kept.popleft().payload)

    def first(self) -> Kept | None:
        return self._kept[0] if self._kept else None

    def done(self, kept: Kept) -> None:
        """The batch has been sent, or will never be. It may have been dropped meanwhile."""
        if self._kept and self._kept[0].number == kept.number:
            self._drop()

    def close(self) -> None:
        """Nothing is left behind."""


class SpoolError(Exception):
    """The directory cannot be used; the text says why."""


class Spool:
    """Batches in segment files. What was acknowledged is marked before the next batch goes out.

    So a process that is killed at any byte loses at most the batch that it was writing, and sends at most the
    batch that was out once more; never one before it. `lost` counts batches that were dropped unsent.
    """

    def __init__(self, folder: Path, most: int) -> None:
        self._folder, self.most, self.lost = folder, most, 0
        self.foreign: list[str] = []  # files that are none of a spool's, left alone
        self._segment_size = max(LEAST_SEGMENT, most // SEGMENTS)
        self._sizes: dict[int, int] = {}  # segments by their first number, in order
        self._next = 1
        self._done = self._generation = 0
        self._file: int | None = None
        self._cursor: int | None = None
        self._ahead: deque[Kept] = deque()  # read from the first segment, not sent yet
        self._read_to = 0
        try:
            self._open()
        except OSError as fault:
            self.close()
            raise SpoolError(f"{folder}: {fault.strerror or fault}") from None

    def __len__(self) -> int:
        return self._next - 1 - self._done

    @property
    def size(self) -> int:
        return sum(self._sizes.values())

    # Opening --------------------------------------------------------------------------------------

    def _open(self) -> None:
        self._folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        self._cursor = os.open(self._folder / "cursor", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        found = records.read_cursor(os.pread(self._cursor, 2 * records.SLOT.size, 0))
        last, begun = 0, 0
        for path in sorted(self._folder.iterdir()):
            name = SEGMENT.fullmatch(path.name)
            if name is None:
                if path.name != "cursor":
                    self.foreign.append(path.name)
                continue
            data = path.read_bytes()
            first = records.first_of(data, records.SPOOL)
            if first != int(name[1]) or first <= last:
                # A front that was killed before the header was whole leaves this; else it's no segment of
                # ours.
                if len(data) < records.HEADER.size:
                    path.unlink()
                else:
                    self.foreign.append(path.name)
                continue
            whole, count = records.HEADER.size, 0
            for record in records.scan(data, records.SPOOL):
                whole, count, last = record.offset + record.size, count + 1, record.number
            if whole < len(data):
                os.truncate(path, whole)  # what was being written when the process was killed
            if count == 0:
                path.unlink()
                continue
            begun = begun or first
            self._sizes[first] = whole
        if found is not None:
            self._generation, self._done = found
        else:
            # Guards the order: without a cursor nobody knows what the receiver has, and an old sample after a
            # newer one is worse than none.
            self.lost, self._done = max(0, last - begun + 1) if begun else 0, last
        if begun and self._done < begun - 1:
            self._done = begun - 1
        self._next = max(last, self._done) + 1
        self._done = min(self._done, self._next - 1)
        for _ in range(2):  # both slots are whole from here on, whatever is torn later
            self._mark(self._done)
        self._clear()

    # Writing --------------------------------------------------------------------------------------

    def put(self, unix_ms: int, payload: bytes) -> None:
        """Appends a batch. OSError if the disk will not have it: the spool is as before then."""
        data = records.pack(self._next, unix_ms, payload)
        current = next(reversed(self._sizes), None)
        if self._file is None or current is None or self._sizes[current] + len(data) > self._segment_size:
            self._roll()
            current = self._next
        assert self._file is not None
        at = self._sizes[current]
        try:
            written = os.pwrite(self._file, data, at)
            if written < len(data):
                raise OSError(28, "no space left on device")
        except OSError:
            with contextlib.suppress(OSError):
                os.ftruncate(self._file, at)
            raise
        self._sizes[current] = at + len(data)
        self._next += 1
        while self.size > self.most and len(self._sizes) > 1:
            self._drop_oldest()

    def _roll(self) -> None:
        """Begins a segment. The one before is put on the disk itself, for what outlives a power cut."""
        if self._file is not None:
            os.fdatasync(self._file)
            os.close(self._file)
            self._file = None
        path = self._path(self._next)
        file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            header = records.segment_header(records.SPOOL, self._next)
            if os.pwrite(file, header, 0) < len(header):
                raise OSError(28, "no space left on device")
        except OSError:
            os.close(file)
            with contextlib.suppress(OSError):
                path.unlink()
            raise
        self._file = file
        self._sizes[self._next] = records.HEADER.size

    def _path(self, first: int) -> Path:
        return self._folder / f"{first:020d}.seg"

    def _drop_oldest(self) -> None:
        first, second = list(self._sizes)[:2]
        lost = max(0, second - 1 - max(self._done, first - 1))
        self.lost += lost
        if lost:
            self._ahead.clear()
            self._done = second - 1
            self._mark(self._done)
        self._clear()

    def _clear(self) -> None:
        """Removes the segments of which all has been sent, but for the one that is written to."""
        firsts = list(self._sizes)
        for first, following in zip(firsts, [*firsts[1:], self._next], strict=False):
            if following - 1 > self._done or (first == firsts[-1] and self._file is not None):
                break
            with contextlib.suppress(FileNotFoundError):
                self._path(first).unlink()
            del self._sizes[first]

    # Sending --------------------------------------------------------------------------------------

    def first(self) -> Kept | None:
        """The oldest batch that has not been sent."""
        while self._ahead and self._ahead[0].number <= self._done:
            self._ahead.popleft()
        while not self._ahead and len(self):
            self._read()
        return self._ahead[0] if self._ahead else None

    def _read(self) -> None:
        """Reads the segment that holds the next batch; at most a segment is in memory."""
        wanted = self._done + 1
        first = max((f for f in self._sizes if f <= wanted), default=None)
        data = b"" if first is None else self._path(first).read_bytes()
        for record in records.scan(data, records.SPOOL):
            if record.number >= wanted:
                self._ahead.append(Kept(record.number, record.stamp, record.payload))
        if not self._ahead or self._ahead[0].number != wanted:
            # Spoilt under us: what cannot be read is lost, and what follows goes on.
            following = min((f for f in self._sizes if f > wanted), default=self._next)
            self.lost += following - wanted
            self._ahead.clear()
            self._done = following - 1
            self._mark(self._done)

    def done(self, kept: Kept) -> None:
        """The batch has been sent, or will never be: marked before another one goes out."""
        if kept.number != self._done + 1:
            return  # dropped meanwhile
        self._mark(kept.number)
        self._done = kept.number
        if self._ahead and self._ahead[0].number == kept.number:
            self._ahead.popleft()
        self._clear()

    def _mark(self, done: int) -> None:
        assert self._cursor is not None
        self._generation += 1
        slot = self._generation % 2 * records.SLOT.size
        os.pwrite(self._cursor, records.pack_cursor(self._generation, done), slot)

    def close(self) -> None:
        for file in (self._file, self._cursor):
            if file is not None:
                with contextlib.suppress(OSError):
                    os.fdatasync(file)
                os.close(file)
        self._file = self._cursor = None
