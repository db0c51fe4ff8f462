"""A journal: records of several kinds in order, each batch synced to disk before `append` returns.

One file at a time holds all that counts, `00000000000000000001.log` and so on. `rewrite` begins the next one
with what still counts, under another name until it is complete and synced; with the rename it becomes the
journal. A process that is killed at any instruction leaves one of the two, never a mixture.

Order of one batch: written, synced, returned. Of a rewrite: written, synced, renamed, folder synced, the
older file removed, returned.

After any failed write or sync the journal is closed for good: the kernel may have dropped what it could not
write, and a second sync would report success. A process whose promises rest on it has to end.
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
RECORD_KINDS = 128  # a stamp is (batch * 2 + whether the record is its batch's last) * RECORD_KINDS + kind


class Item(NamedTuple):
    """A record's kind, below RECORD_KINDS, and its payload."""

    kind: int
    payload: bytes


def _batch(record: records.Record) -> int:
    return record.stamp // RECORD_KINDS // 2


def _ends_batch(record: records.Record) -> bool:
    """Whether it is its batch's last."""
    return bool(record.stamp // RECORD_KINDS % 2)


class Journal:
    """The records of a folder, which no other process can open. JournalError if it can't be used."""

    def __init__(self, folder: Path, files: FileSystem | None = None) -> None:
        self._folder, self._files = folder, files or FileSystem()
        self._lock = self._file = -1
        self._generation = self._batch = self._number = 0
        self.size_bytes = 0  # of the file
        self.torn_bytes = 0  # cut off at the end: what was being written when the process was killed
        self.items: list[Item] = []  # as read; to be cleared by the caller that has used them
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
            self._lock = self._files.lock(self._folder / "lock")
        except BlockingIOError:
            raise JournalError(f"{self._folder}: another process uses it") from None
        generations: list[int] = []
        for path in self._folder.iterdir():
            if name := FILE_NAME.fullmatch(path.name):
                generations.append(int(name[1]))
            elif path.suffix == ".new":
                path.unlink()  # a rewrite that was not finished
            elif path.name != "lock":
                raise JournalError(f"{path}: it is none of a journal's files")
        if not generations:
            return
        self._generation = max(generations)
        path = self._path(self._generation)
        self._read(path, path.read_bytes())
        for older in generations:
            if older != self._generation:
                self._path(older).unlink()

    def _read(self, path: Path, data: bytes) -> None:
        if records.first_of(data, records.JOURNAL) != 1:
            raise JournalError(f"{path}: it is no journal, or one of another version")
        valid_bytes, batch_ended = records.HEADER.size, True
        for record in records.scan(data, records.JOURNAL):
            self._number, self._batch = record.number, _batch(record)
            valid_bytes, batch_ended = record.offset + record.size, _ends_batch(record)
            self.items.append(Item(record.stamp % RECORD_KINDS, record.payload))
        if valid_bytes < len(data):
            self._check_tail(path, data, valid_bytes, self._batch + batch_ended)
            self.torn_bytes = len(data) - valid_bytes
        self._file = self._files.reopen(path)
        if self.torn_bytes:
            self._files.truncate(self._file, valid_bytes)
            self._files.sync(self._file)
        self.size_bytes = valid_bytes

    def _check_tail(self, path: Path, data: bytes, valid_bytes: int, torn_batch: int) -> None:
        """Guards promises: only the last batch can be torn, since each was synced before the next.

        A complete record of a batch later than the torn one shows that the disk has lost data: JournalError.
        """
        for offset in range(valid_bytes + 1, len(data) - records.HEAD.size + 1):
            record = records.record_at(data, offset)
            if record is not None and record.number > self._number and _batch(record) > torn_batch:
                raise JournalError(f"{path}: spoilt at byte {valid_bytes}, with whole records behind it")

    def _path(self, generation: int) -> Path:
        return self._folder / f"{generation:020d}.log"

    # Writing --------------------------------------------------------------------------------------

    def append(self, items: Iterable[Item]) -> None:
        """One batch, synced to disk when this returns. JournalError if it isn't, and from then on."""
        with self._closing_on_failure():
            data = self._packed(items)
            if self._file < 0:
                raise JournalError(f"{self._folder}: closed, or not begun")
            self._files.append(self._file, data)
            self._files.sync(self._file)
            self.size_bytes += len(data)

    def rewrite(self, items: Iterable[Item]) -> None:
        """These replace all that was written before, atomically."""
        with self._closing_on_failure():
            if self._lock < 0:
                raise JournalError(f"{self._folder}: closed")
            self._number = 0
            data = records.segment_header(records.JOURNAL, 1) + self._packed(items)
            new_path, path = self._folder / "next.new", self._path(self._generation + 1)
            file = self._files.create(new_path)
            try:
                self._files.append(file, data)
                self._files.sync(file)
                self._files.rename(new_path, path)
            except BaseException:
                os.close(file)
                raise
            old_file, self._file = self._file, file
            if old_file >= 0:
                os.close(old_file)
                with contextlib.suppress(OSError):  # the higher number counts, whatever is left beside it
                    self._path(self._generation).unlink()
            self._generation += 1
            self.size_bytes = len(data)

    def _packed(self, items: Iterable[Item]) -> bytes:
        self._batch += 1
        data, batch = bytearray(), list(items)
        for position, (kind, payload) in enumerate(batch, 1):
            self._number += 1
            stamp = (self._batch * 2 + (position == len(batch))) * RECORD_KINDS + kind
            data += records.pack(self._number, stamp, payload)
        return bytes(data)

    @contextlib.contextmanager
    def _closing_on_failure(self) -> Iterator[None]:
        try:
            yield
        except OSError as error:
            self.close()
            raise JournalError(f"{self._folder}: {error.strerror or error}: nothing more is kept") from None

    def close(self) -> None:
        """Nothing more can be written; another process may open the folder."""
        for file in (self._file, self._lock):
            if file >= 0:
                with contextlib.suppress(OSError):
                    os.close(file)
        self._file = self._lock = -1
