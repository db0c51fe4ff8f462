"""A store of unsent batches in segment files, which stay readable after a crash.

All methods block. They are called in a worker thread, one at a time, by the process that holds the lock of
the folder (`zincladder.durable.folder_lock`): two processes that write to it remove each other's segments.
"""

from __future__ import annotations

import contextlib
import errno
import os
import re
import stat
from collections import deque
from dataclasses import dataclass
from itertools import pairwise
from pathlib import Path

from zincladder.durable import records
from zincladder.durable.folder_lock import LOCK_NAME
from zincladder.export.batch_store import SpooledBatch
from zincladder.export.errors import spool_error
from zincladder.export.spool_cursor import (
    CURSOR_NAME,
    CURSOR_SLOTS,
    FILE_MODE,
    SpoolCursor,
    sync_and_close,
    write_all,
)

SEGMENT_NAME = re.compile(r"(\d{20})\.seg")
SEGMENTS_OF_FULL_SPOOL = 8  # the oldest segment of a full spool is dropped
MIN_SEGMENT_BYTES = 64 << 10
MAX_TAKEN_NAMES = 1000  # names of foreign files that are skipped when a segment is started
FOLDER_MODE = 0o700


@dataclass(slots=True)
class _Segment:
    """A segment file: the numbers of its first and last batch, and its size in bytes."""

    first: int
    last: int
    size: int

    def unsent(self, acknowledged: int) -> int:
        """Returns how many of its batches have a number above `acknowledged`."""
        return max(0, self.last - max(acknowledged, self.first - 1))


class Spool:
    """A BatchStore in segment files, with a cursor file that holds the number of the last acknowledged batch.

    The cursor is written before the next batch is sent. If the process is killed, at whatever point, at most
    the batch that it was writing is lost. After a restart only the batch that was in flight can be sent a
    second time, never one before it.
    """

    def __init__(self, folder: Path, max_bytes: int, min_acknowledged: int = 0) -> None:
        """Opens a spool, or creates an empty one.

        Args:
            folder: The folder of the files, which is created if it does not exist.
            max_bytes: The limit on all segments together. The segment that is written to is never dropped.
            min_acknowledged: The number of a batch that this process has sent, also if no cursor says so.

        Raises:
            SpoolError: The folder cannot be used.
        """
        self.lost_batches = 0
        self.newest_unix_ms = 0  # the latest time of the batches in the files when the spool was opened
        self.foreign_files: list[str] = []  # files that are not part of the spool; they are left as they are
        self._folder = folder
        self._max_bytes = max_bytes
        self._max_segment_bytes = max(MIN_SEGMENT_BYTES, max_bytes // SEGMENTS_OF_FULL_SPOOL)
        self._segments: deque[_Segment] = deque()  # in the order of their batches
        self._next_number = 1
        self.acknowledged = min_acknowledged  # number of the last batch that was sent or given up
        self._cursor: SpoolCursor | None = None
        self._cursor_behind = False  # the last write of the cursor failed
        self._segment_file: int | None = None  # file descriptor of the segment that is written to, the last
        self._read_ahead: deque[SpooledBatch] = deque()  # unsent batches of the oldest segment
        try:
            self._open()
        except OSError as error:
            self.close()
            raise spool_error(folder, error) from None

    def __len__(self) -> int:
        """Returns the number of batches that wait to be sent."""
        return sum(segment.unsent(self.acknowledged) for segment in self._segments)

    @property
    def size_bytes(self) -> int:
        """The size of all segments together."""
        return sum(segment.size for segment in self._segments)

    # Opening --------------------------------------------------------------------------------------

    def _open(self) -> None:
        """Reads the cursor and the segments, and repairs both after a crash."""
        self._folder.mkdir(mode=FOLDER_MODE, parents=True, exist_ok=True)
        self._cursor = SpoolCursor(self._folder)
        acknowledged = self._cursor.read()
        self._recover_segments()
        last = self._segments[-1].last if self._segments else 0
        first = self._segments[0].first if self._segments else 1
        if acknowledged is not None or self.acknowledged:
            self.acknowledged = max(self.acknowledged, acknowledged or 0)
            self.lost_batches = self._missing_batches()
        else:
            # Without a valid cursor it is unknown which batches were sent, and the receiver must not get old
            # samples after newer ones. So all stored batches are given up.
            self.acknowledged = last
            self.lost_batches = max(0, last - first + 1)
        self.acknowledged = max(self.acknowledged, first - 1)
        self._next_number = max(last, self.acknowledged) + 1
        for _ in range(CURSOR_SLOTS):  # make both valid: if a write to one is torn, the other is used
            self._write_cursor()
        self._remove_acknowledged_segments()

    def _missing_batches(self) -> int:
        """Returns how many unsent batches are missing between the segments."""
        return sum(
            max(0, following.first - 1 - max(segment.last, self.acknowledged))
            for segment, following in pairwise(self._segments)
        )

    def _recover_segments(self) -> None:
        """Reads the segments in the folder."""
        for path in sorted(self._folder.iterdir()):
            if path.name in (CURSOR_NAME, LOCK_NAME):
                continue
            name = SEGMENT_NAME.fullmatch(path.name)
            if name is None or not stat.S_ISREG(path.lstat().st_mode):
                self.foreign_files.append(path.name)
            else:
                self._recover_segment(path, int(name[1]))

    def _recover_segment(self, path: Path, first: int) -> None:
        """Reads one segment, and truncates it after its last complete batch.

        Args:
            path: The segment's file.
            first: The number of its first batch, from the file's name.
        """
        data = path.read_bytes()
        overlaps = bool(self._segments) and first <= self._segments[-1].last
        if records.first_record_number(data, records.SPOOL_MAGIC) != first or overlaps:
            if len(data) < records.SEGMENT_HEADER.size:  # the process was killed while it wrote the header
                path.unlink()
            else:
                self.foreign_files.append(path.name)
            return
        segment = _Segment(first, first - 1, records.SEGMENT_HEADER.size)
        for record in records.scan_records(data, records.SPOOL_MAGIC):
            segment.last, segment.size = record.number, record.offset + record.size
            self.newest_unix_ms = max(self.newest_unix_ms, record.stamp)
        if segment.size < len(data):
            os.truncate(path, segment.size)
        if segment.last < first:
            path.unlink()
        else:
            self._segments.append(segment)

    # Writing --------------------------------------------------------------------------------------

    def append(self, unix_ms: int, payload: bytes) -> None:
        """Adds a batch, and drops the oldest segments while the limit is exceeded.

        Raises:
            OSError: The batch cannot be written; it is not in the spool then.
        """
        self._restore_removed_segment()
        record_bytes = records.RECORD_HEADER.size + len(payload)
        if self._segment_file is None or self._segments[-1].size + record_bytes > self._max_segment_bytes:
            self._start_segment()
        assert self._segment_file is not None
        segment = self._segments[-1]
        try:
            write_all(self._segment_file, records.pack(self._next_number, unix_ms, payload), segment.size)
        except OSError:
            with contextlib.suppress(OSError):
                os.ftruncate(self._segment_file, segment.size)
            raise
        segment.last, segment.size = self._next_number, segment.size + record_bytes
        self._next_number += 1
        while self.size_bytes > self._max_bytes and len(self._segments) > 1:
            self._drop_oldest_segment()

    def _start_segment(self) -> None:
        """Starts a new segment. Syncs the previous one to disk, so that it survives a power failure."""
        if self._segment_file is not None:
            os.fdatasync(self._segment_file)
            self._close_segment()
        self._next_number = self._first_free_number()
        self._segment_file = self._create_segment(self._next_number, b"")
        self._segments.append(_Segment(self._next_number, self._next_number - 1, records.SEGMENT_HEADER.size))

    def _first_free_number(self) -> int:
        """Returns the first number from the next one on whose segment name no foreign file has."""
        for number in range(self._next_number, self._next_number + MAX_TAKEN_NAMES):
            if not os.path.lexists(self._segment_path(number)):
                return number
        raise FileExistsError(errno.EEXIST, "foreign files have the names of the next segments")

    def _create_segment(self, first: int, data: bytes) -> int:
        """Creates the file of a segment with these records; returns its descriptor.

        Raises OSError if that fails, or if another file has its name; there is no new file then.
        """
        path = self._segment_path(first)
        file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, FILE_MODE)
        try:
            write_all(file, records.segment_header(records.SPOOL_MAGIC, first) + data, 0)
        except OSError:
            os.close(file)
            with contextlib.suppress(OSError):
                path.unlink()
            raise
        return file

    def _restore_removed_segment(self) -> None:
        """Writes the unsent batches of the open segment to a new file if its file was removed.

        Raises:
            OSError: The new file cannot be written.
        """
        if self._segment_file is None or not self._is_removed(self._segments[-1]):
            return
        removed = self._segments[-1]
        first = max(removed.first, self.acknowledged + 1)
        unsent = [record for record in self._records_of(removed) if record.number >= first]
        lost_batches = removed.unsent(self.acknowledged) - len(unsent)
        if unsent:
            data = b"".join(records.pack(batch.number, batch.stamp, batch.payload) for batch in unsent)
            file = self._create_segment(first, data)
            self._close_segment()
            self._segment_file = file
            self._segments[-1] = _Segment(first, unsent[-1].number, records.SEGMENT_HEADER.size + len(data))
        else:
            self._close_segment()
            self._segments.pop()
        self.lost_batches += lost_batches

    def _close_segment(self) -> None:
        """Closes the open segment, so that the next batch starts another one."""
        if self._segment_file is not None:
            os.close(self._segment_file)
            self._segment_file = None

    def _segment_path(self, first: int) -> Path:
        return self._folder / f"{first:020d}.seg"

    def _drop_oldest_segment(self) -> None:
        """Removes the oldest segment, and counts its unsent batches as lost."""
        unsent_batches = self._segments[0].unsent(self.acknowledged)
        if unsent_batches:
            self._give_up(self._segments[0].last, unsent_batches)
        self._remove_acknowledged_segments()

    def _give_up(self, last: int, unsent_batches: int) -> None:
        """Gives up the batches up to number `last`, and continues with the one after it."""
        self.lost_batches += unsent_batches
        self._read_ahead.clear()
        self.acknowledged = last
        self._record_cursor()

    def _remove_acknowledged_segments(self) -> None:
        """Removes the segments without unsent batches, except the one that is written to."""
        while self._segments and not self._segments[0].unsent(self.acknowledged):
            if len(self._segments) == 1 and self._segment_file is not None:
                return
            with contextlib.suppress(OSError):  # a file that stays is removed when the spool is opened
                self._segment_path(self._segments[0].first).unlink()
            self._segments.popleft()

    # Sending --------------------------------------------------------------------------------------

    def oldest(self) -> SpooledBatch | None:
        """Returns the batch to send next; None if there is none.

        Raises:
            OSError: A segment cannot be read now, or the cursor cannot be written, so that a batch that was
                sent could be sent again after a crash. The call may succeed later.
        """
        while self._read_ahead and self._read_ahead[0].number <= self.acknowledged:
            self._read_ahead.popleft()
        while not self._read_ahead and len(self):
            self._read_segment()
        if self._read_ahead and (self._cursor_behind or self._cursor_is_removed()):
            self._write_cursor()
        return self._read_ahead[0] if self._read_ahead else None

    def _read_segment(self) -> None:
        """Reads the segment of the next batch into memory, which holds at most one segment."""
        segment = next(segment for segment in self._segments if segment.unsent(self.acknowledged))
        next_to_send = max(segment.first, self.acknowledged + 1)
        for record in self._records_of(segment):
            if next_to_send <= record.number <= segment.last:
                self._read_ahead.append(SpooledBatch(record.number, record.stamp, record.payload))
        if not self._read_ahead or self._read_ahead[0].number != next_to_send:
            # The segment was corrupted or removed after it was written. Its other batches are given up, and
            # reading continues with the next segment.
            if segment is self._segments[-1]:
                self._close_segment()
            self._give_up(segment.last, segment.unsent(self.acknowledged))

    def _records_of(self, segment: _Segment) -> list[records.Record]:
        """Returns the records of a segment up to the first invalid one; none if its file was removed.

        The segment that is written to is read through its descriptor, also after its file was removed.
        """
        if segment is self._segments[-1] and self._segment_file is not None:
            data = os.pread(self._segment_file, segment.size, 0)
        else:
            try:
                data = self._segment_path(segment.first).read_bytes()
            except FileNotFoundError:
                data = b""
        return list(records.scan_records(data, records.SPOOL_MAGIC))

    def take_removed_batches(self) -> list[SpooledBatch]:
        """Gives up the segments whose files were removed.

        Returns their unsent batches that can still be read, and counts the others as lost. The spool has to
        be closed after this.
        """
        taken: list[SpooledBatch] = []
        for segment in self._segments:
            unsent_batches = segment.unsent(self.acknowledged)
            if not unsent_batches or not self._is_removed(segment):
                continue
            readable = self._still_readable(segment)
            self.lost_batches += unsent_batches - len(readable)
            taken += readable
        return taken

    def _is_removed(self, segment: _Segment) -> bool:
        if segment is self._segments[-1] and self._segment_file is not None:
            return not os.fstat(self._segment_file).st_nlink
        return not os.path.lexists(self._segment_path(segment.first))

    def _still_readable(self, segment: _Segment) -> list[SpooledBatch]:
        """Returns the unsent batches of a removed segment that are in memory or in an open file."""
        if segment is self._segments[-1] and self._segment_file is not None:
            return [
                SpooledBatch(record.number, record.stamp, record.payload)
                for record in self._records_of(segment)
                if record.number > self.acknowledged
            ]
        return [batch for batch in self._read_ahead if segment.first <= batch.number <= segment.last]

    def acknowledge(self, batch: SpooledBatch) -> None:
        """Removes a batch that was sent or was rejected. Has no effect if the batch was dropped meanwhile.

        If the cursor cannot be written now, it is written before the next batch is returned by `oldest`.
        """
        if not self._read_ahead or self._read_ahead[0].number != batch.number:
            return
        self._read_ahead.popleft()
        self.acknowledged = batch.number
        self._record_cursor()
        self._remove_acknowledged_segments()

    def _record_cursor(self) -> None:
        """Writes the cursor, or leaves that to `oldest` if it fails now."""
        with contextlib.suppress(OSError):
            self._write_cursor()

    def _write_cursor(self) -> None:
        assert self._cursor is not None
        self._cursor_behind = True  # also if the file was removed and its new one is still empty
        self._cursor.write(self.acknowledged)
        self._cursor_behind = False

    def restore_removed_files(self) -> None:
        """Writes the cursor and the open segment again if their files were removed.

        Raises OSError if they cannot be written.
        """
        if self._cursor_behind or self._cursor_is_removed():
            self._write_cursor()
        self._restore_removed_segment()

    def _cursor_is_removed(self) -> bool:
        return self._cursor is not None and self._cursor.is_removed()

    def close(self) -> None:
        """Syncs and closes the files."""
        if self._segment_file is not None:
            sync_and_close(self._segment_file)
        if self._cursor is not None:
            self._cursor.close()
        self._segment_file = self._cursor = None
