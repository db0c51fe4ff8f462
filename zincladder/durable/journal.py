"""A journal: an ordered list of records of several kinds, written and synced to disk in batches.

The journal is a single file, named by a number: `00000000000000000001.log` at first. `rewrite` writes the
records that are still needed to a file with a temporary name, syncs it and renames it to the next number. If
the process is killed at any instruction, either the old or the new file is complete.

Steps of `append`: write, sync, return. Steps of `rewrite`: write, sync, rename, sync the folder, remove the
older file, return.

After a failed write or sync the journal is closed and stays closed: the kernel may have dropped the data that
it could not write, and a second sync would still report success. A process that relies on the journal has to
stop then.
"""

from __future__ import annotations

import contextlib
import os
import re
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import NamedTuple

from zincladder.durable import records
from zincladder.durable.errors import JournalError
from zincladder.durable.files import FileSystem

FILE_NAME = re.compile(r"(\d{20})\.log")
# A record's stamp is (batch number * 2 + (1 if it is the last record of the batch)) * RECORD_KINDS + kind.
RECORD_KINDS = 128


class Item(NamedTuple):
    """The kind of a record, below RECORD_KINDS, and its payload."""

    kind: int
    payload: bytes


def _batch_number(record: records.Record) -> int:
    return record.stamp // RECORD_KINDS // 2


def _ends_batch(record: records.Record) -> bool:
    """Whether the record is the last one of its batch."""
    return bool(record.stamp // RECORD_KINDS % 2)


class Journal:
    """The journal in a folder, which it locks. Raises JournalError if the journal can't be opened."""

    def __init__(self, folder: Path, file_system: FileSystem | None = None) -> None:
        self._folder, self._file_system = folder, file_system or FileSystem()
        self._lock_descriptor = self._descriptor = -1
        self._generation = self._last_batch = self._last_record = 0
        self.size_bytes = 0  # size of the current file
        self.torn_bytes = 0  # bytes cut off when opening: a batch that was being written when a process died
        self.items: list[Item] = []  # the records read when opening; the caller clears the list after use
        try:
            self._open()
        except OSError as error:
            self.close()
            raise JournalError(f"{folder}: {error.strerror or error}") from None
        except JournalError:
            self.close()
            raise

    # Opening --------------------------------------------------------------------------------------

    def _open(self) -> None:
        self._folder.mkdir(mode=0o700, parents=True, exist_ok=True)
        try:
            self._lock_descriptor = self._file_system.lock(self._folder / "lock")
        except BlockingIOError:
            raise JournalError(f"{self._folder}: another process is using this folder") from None
        generations: list[int] = []
        for path in self._folder.iterdir():
            if name := FILE_NAME.fullmatch(path.name):
                generations.append(int(name[1]))
            elif path.suffix == ".new":
                path.unlink()  # the file of an unfinished rewrite
            elif path.name != "lock":
                raise JournalError(f"{path}: unexpected file: it is none of a journal's files")
        if not generations:
            return
        self._generation = max(generations)
        path = self._path(self._generation)
        self._read(path, path.read_bytes())
        for older in generations:
            if older != self._generation:
                self._path(older).unlink()

    def _read(self, path: Path, data: bytes) -> None:
        if records.first_record_number(data, records.JOURNAL_MAGIC) != 1:
            raise JournalError(f"{path}: the file is no journal of a supported format version")
        valid_bytes, batch_ended = records.SEGMENT_HEADER.size, True
        for record in records.scan_records(data, records.JOURNAL_MAGIC):
            self._last_record, self._last_batch = record.number, _batch_number(record)
            valid_bytes, batch_ended = record.offset + record.size, _ends_batch(record)
            self.items.append(Item(record.stamp % RECORD_KINDS, record.payload))
        if valid_bytes < len(data):
            self._check_tail(path, data, valid_bytes, self._last_batch + batch_ended)
            self.torn_bytes = len(data) - valid_bytes
        self._descriptor = self._file_system.open_for_append(path)
        if self.torn_bytes:
            self._file_system.truncate(self._descriptor, valid_bytes)
            self._file_system.sync(self._descriptor)
        self.size_bytes = valid_bytes

    def _check_tail(self, path: Path, data: bytes, valid_bytes: int, torn_batch: int) -> None:
        """Raises JournalError if the bytes after the last valid record are not just an unfinished batch.

        Only the last batch can be incomplete after a crash, because each batch is synced before the next is
        written. An intact record of a later batch therefore shows that the disk has lost synced data, such as
        a vote.
        """
        for offset in range(valid_bytes + 1, len(data) - records.RECORD_HEADER.size + 1):
            record = records.record_at(data, offset)
            if (
                record is not None
                and record.number > self._last_record
                and _batch_number(record) > torn_batch
            ):
                raise JournalError(f"{path}: corrupt at byte {valid_bytes}, followed by intact records")

    def _path(self, generation: int) -> Path:
        return self._folder / f"{generation:020d}.log"

    # Writing --------------------------------------------------------------------------------------

    def append(self, items: Iterable[Item]) -> None:
        """Appends the records as one batch and returns once it is synced to disk.

        Raises JournalError if that fails. The journal is then closed, and every later call raises it too.
        """
        with self._closing_on_failure():
            data = self._pack_batch(items)
            if self._descriptor < 0:
                raise JournalError(f"{self._folder}: the journal is closed or has no file yet")
            self._file_system.append(self._descriptor, data)
            self._file_system.sync(self._descriptor)
            self.size_bytes += len(data)

    def rewrite(self, items: Iterable[Item]) -> None:
        """Replaces all records of the journal by these, atomically."""
        with self._closing_on_failure():
            if self._lock_descriptor < 0:
                raise JournalError(f"{self._folder}: the journal is closed")
            self._last_record = 0
            data = records.segment_header(records.JOURNAL_MAGIC, 1) + self._pack_batch(items)
            new_path, path = self._folder / "next.new", self._path(self._generation + 1)
            descriptor = self._file_system.create(new_path)
            try:
                self._file_system.append(descriptor, data)
                self._file_system.sync(descriptor)
                self._file_system.rename(new_path, path)
            except BaseException:
                os.close(descriptor)
                raise
            old_descriptor, self._descriptor = self._descriptor, descriptor
            if old_descriptor >= 0:
                os.close(old_descriptor)
                # A file that can't be removed does no harm: opening uses the highest number.
                with contextlib.suppress(OSError):
                    self._path(self._generation).unlink()
            self._generation += 1
            self.size_bytes = len(data)

    def _pack_batch(self, items: Iterable[Item]) -> bytes:
        self._last_batch += 1
        data, batch = bytearray(), list(items)
        for position, (kind, payload) in enumerate(batch, 1):
            self._last_record += 1
            stamp = (self._last_batch * 2 + (position == len(batch))) * RECORD_KINDS + kind
            data += records.pack(self._last_record, stamp, payload)
        return bytes(data)

    @contextlib.contextmanager
    def _closing_on_failure(self) -> Iterator[None]:
        try:
            yield
        except OSError as error:
            self.close()
            raise JournalError(f"{self._folder}: {error.strerror or error}; the journal is closed") from None

    def close(self) -> None:
        """Closes the journal. Nothing more can be written, and another process may open the folder."""
        for descriptor in (self._descriptor, self._lock_descriptor):
            if descriptor >= 0:
                with contextlib.suppress(OSError):
                    os.close(descriptor)
        self._descriptor = self._lock_descriptor = -1
