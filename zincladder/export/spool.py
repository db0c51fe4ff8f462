"""A store of unsent batches in segment files, which stay readable after a crash.

All methods block. The sender calls `append`, `oldest` and `acknowledge` in a worker thread, one at a time.
"""

from __future__ import annotations

import contextlib
import errno
import os
import re
from collections import deque
from pathlib import Path

from zincladder.durable import records
from zincladder.export.batch_store import SpooledBatch

SEGMENT_NAME = re.compile(r"(\d{20})\.seg")
CURSOR_NAME = "cursor"
CURSOR_SLOTS = 2
SEGMENTS_OF_FULL_SPOOL = 8  # the oldest segment of a full spool is dropped
MIN_SEGMENT_BYTES = 64 << 10
FOLDER_MODE, FILE_MODE = 0o700, 0o600


class SpoolError(Exception):
    """The spool's folder cannot be used; the text gives the reason."""


class Spool:
    """A BatchStore in segment files, with a cursor file that holds the number of the last acknowledged batch.

    The cursor is written before the next batch is sent. If the process is killed, at whatever point, at most
    the batch that it was writing is lost. After a restart only the batch that was in flight can be sent a
    second time, never one before it.
    """

    def __init__(self, folder: Path, max_bytes: int) -> None:
        """Opens a spool, or creates an empty one.

        Args:
            folder: The folder of the files, which is created if it does not exist.
            max_bytes: The limit on all segments together. The segment that is written to is never dropped.

        Raises:
            SpoolError: The folder cannot be used.
        """
        self.lost_batches = 0
        self.foreign_files: list[str] = []  # files that are not part of the spool; they are left as they are
        self._folder = folder
        self._max_bytes = max_bytes
        self._max_segment_bytes = max(MIN_SEGMENT_BYTES, max_bytes // SEGMENTS_OF_FULL_SPOOL)
        self._segment_bytes: dict[int, int] = {}  # size of each segment by its first batch number, ascending
        self._next_number = 1
        self._acknowledged = 0  # number of the last batch that was sent or given up
        self._cursor_generation = 0
        self._segment_file: int | None = None  # file descriptor of the segment that is written to
        self._cursor_file: int | None = None  # file descriptor
        self._read_ahead: deque[SpooledBatch] = deque()  # unsent batches of the oldest segment
        try:
            self._open()
        except OSError as error:
            self.close()
            raise SpoolError(f"{folder}: {error.strerror or error}") from None

    def __len__(self) -> int:
        """Returns the number of batches that wait to be sent."""
        return self._next_number - 1 - self._acknowledged

    @property
    def size_bytes(self) -> int:
        """The size of all segments together."""
        return sum(self._segment_bytes.values())

    # Opening --------------------------------------------------------------------------------------

    def _open(self) -> None:
        """Reads the cursor and the segments, and repairs both after a crash."""
        self._folder.mkdir(mode=FOLDER_MODE, parents=True, exist_ok=True)
        flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
        self._cursor_file = os.open(self._folder / CURSOR_NAME, flags, FILE_MODE)
        cursor = records.read_cursor(os.pread(self._cursor_file, CURSOR_SLOTS * records.CURSOR_SLOT.size, 0))
        last = self._recover_segments()
        first = next(iter(self._segment_bytes), None)
        if cursor is not None:
            self._cursor_generation, self._acknowledged = cursor
        else:
            # Without a valid cursor it is unknown which batches were sent, and the receiver must not get old
            # samples after newer ones. So all stored batches are given up.
            self._acknowledged = last
            self.lost_batches = 0 if first is None else last - first + 1
        if first is not None:
            self._acknowledged = max(self._acknowledged, first - 1)
        self._next_number = max(last, self._acknowledged) + 1
        for _ in range(CURSOR_SLOTS):  # make both valid: if a write to one is torn, the other is used
            self._write_cursor(self._acknowledged)
        self._remove_acknowledged_segments()

    def _recover_segments(self) -> int:
        """Reads the segments in the folder; returns the number of their last batch, 0 if there is none."""
        last = 0
        for path in sorted(self._folder.iterdir()):
            if path.name == CURSOR_NAME:
                continue
            name = SEGMENT_NAME.fullmatch(path.name)
            if name is None:
                self.foreign_files.append(path.name)
            else:
                last = self._recover_segment(path, int(name[1]), last)
        return last

    def _recover_segment(self, path: Path, first: int, last: int) -> int:
        """Reads one segment, and truncates it after its last complete batch.

        Args:
            path: The segment's file.
            first: The number of its first batch, from the file's name.
            last: The number of the last batch in the segments before it.

        Returns:
            The number of the last batch in this segment, or `last` if it holds none.
        """
        data = path.read_bytes()
        if records.first_record_number(data, records.SPOOL_MAGIC) != first or first <= last:
            if len(data) < records.SEGMENT_HEADER.size:  # the process was killed while it wrote the header
                path.unlink()
            else:
                self.foreign_files.append(path.name)
            return last
        complete_bytes = records.SEGMENT_HEADER.size
        for record in records.scan_records(data, records.SPOOL_MAGIC):
            complete_bytes = record.offset + record.size
            last = record.number
        if complete_bytes < len(data):
            os.truncate(path, complete_bytes)
        if complete_bytes == records.SEGMENT_HEADER.size:
            path.unlink()
        else:
            self._segment_bytes[first] = complete_bytes
        return last

    # Writing --------------------------------------------------------------------------------------

    def append(self, unix_ms: int, payload: bytes) -> None:
        """Adds a batch, and drops the oldest segments while the limit is exceeded.

        Raises:
            OSError: The batch cannot be written; the spool is unchanged then.
        """
        data = records.pack(self._next_number, unix_ms, payload)
        segment = next(reversed(self._segment_bytes), None)
        if (
            self._segment_file is None
            or segment is None
            or self._segment_bytes[segment] + len(data) > self._max_segment_bytes
        ):
            self._start_segment()
            segment = self._next_number
        assert self._segment_file is not None
        offset = self._segment_bytes[segment]
        try:
            _write_all(self._segment_file, data, offset)
        except OSError:
            with contextlib.suppress(OSError):
                os.ftruncate(self._segment_file, offset)
            raise
        self._segment_bytes[segment] = offset + len(data)
        self._next_number += 1
        while self.size_bytes > self._max_bytes and len(self._segment_bytes) > 1:
            self._drop_oldest_segment()

    def _start_segment(self) -> None:
        """Starts a new segment. Syncs the previous one to disk, so that it survives a power failure."""
        if self._segment_file is not None:
            os.fdatasync(self._segment_file)
            os.close(self._segment_file)
            self._segment_file = None
        path = self._segment_path(self._next_number)
        file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, FILE_MODE)
        try:
            _write_all(file, records.segment_header(records.SPOOL_MAGIC, self._next_number), 0)
        except OSError:
            os.close(file)
            with contextlib.suppress(OSError):
                path.unlink()
            raise
        self._segment_file = file
        self._segment_bytes[self._next_number] = records.SEGMENT_HEADER.size

    def _segment_path(self, first: int) -> Path:
        return self._folder / f"{first:020d}.seg"

    def _drop_oldest_segment(self) -> None:
        """Removes the oldest segment, and counts its unsent batches as lost."""
        first, second = list(self._segment_bytes)[:2]
        unsent_batches = max(0, second - 1 - max(self._acknowledged, first - 1))
        self.lost_batches += unsent_batches
        if unsent_batches:
            self._skip_to(second)
        self._remove_acknowledged_segments()

    def _skip_to(self, number: int) -> None:
        """Continues with batch `number`, and gives up the batches before it."""
        self._read_ahead.clear()
        self._acknowledged = number - 1
        self._write_cursor(self._acknowledged)

    def _remove_acknowledged_segments(self) -> None:
        """Removes the segments without unsent batches, except the one that is written to."""
        firsts = list(self._segment_bytes)
        for first, following in zip(firsts, [*firsts[1:], self._next_number], strict=False):
            is_written_to = first == firsts[-1] and self._segment_file is not None
            if following - 1 > self._acknowledged or is_written_to:
                break
            with contextlib.suppress(FileNotFoundError):
                self._segment_path(first).unlink()
            del self._segment_bytes[first]

    # Sending --------------------------------------------------------------------------------------

    def oldest(self) -> SpooledBatch | None:
        """Returns the batch to send next; None if there is none."""
        while self._read_ahead and self._read_ahead[0].number <= self._acknowledged:
            self._read_ahead.popleft()
        while not self._read_ahead and len(self):
            self._read_segment()
        return self._read_ahead[0] if self._read_ahead else None

    def _read_segment(self) -> None:
        """Reads the segment of the next batch into memory, which holds at most one segment."""
        next_to_send = self._acknowledged + 1
        first = max((first for first in self._segment_bytes if first <= next_to_send), default=None)
        data = b"" if first is None else self._segment_path(first).read_bytes()
        for record in records.scan_records(data, records.SPOOL_MAGIC):
            if record.number >= next_to_send:
                self._read_ahead.append(SpooledBatch(record.number, record.stamp, record.payload))
        if not self._read_ahead or self._read_ahead[0].number != next_to_send:
            # The segment was corrupted after it was written. Its other batches are given up, and reading
            # continues with the next segment.
            later_firsts = (first for first in self._segment_bytes if first > next_to_send)
            following = min(later_firsts, default=self._next_number)
            self.lost_batches += following - next_to_send
            self._skip_to(following)

    def acknowledge(self, batch: SpooledBatch) -> None:
        """Removes a batch that was sent or was rejected. Has no effect if the batch was dropped meanwhile."""
        if batch.number != self._acknowledged + 1:
            return
        self._write_cursor(batch.number)
        self._acknowledged = batch.number
        if self._read_ahead and self._read_ahead[0].number == batch.number:
            self._read_ahead.popleft()
        self._remove_acknowledged_segments()

    def _write_cursor(self, acknowledged: int) -> None:
        """Writes the older of the two slots, so that a torn write leaves the other one valid."""
        assert self._cursor_file is not None
        self._cursor_generation += 1
        offset = self._cursor_generation % CURSOR_SLOTS * records.CURSOR_SLOT.size
        os.pwrite(self._cursor_file, records.pack_cursor(self._cursor_generation, acknowledged), offset)

    def close(self) -> None:
        """Syncs and closes the files."""
        for file in (self._segment_file, self._cursor_file):
            if file is not None:
                with contextlib.suppress(OSError):
                    os.fdatasync(file)
                os.close(file)
        self._segment_file = self._cursor_file = None


def _write_all(file: int, data: bytes, offset: int) -> None:
    """Writes all of `data`. Raises OSError if it fails; a short write means that the disk is full."""
    if os.pwrite(file, data, offset) < len(data):
        raise OSError(errno.ENOSPC, "no space left on device")
