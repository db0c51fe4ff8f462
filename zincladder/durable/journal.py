"""A journal: records of several kinds in order, each batch on the disk before `append` returns.

One file at a time holds all that counts, `00000000000000000001.log` and so on. `rewrite` begins the next one
with what still counts, under another name until it is whole and synced; the rename is the moment from which
it is the journal. A process that is killed at any instruction leaves one of the two, never a mixture.

Order of one batch: written, synced, returned. Of a rewrite: written, synced, renamed, folder synced, the
older file removed, returned.

After any failed write or sync the journal is closed for good: the kernel may have dropped what it could not
write, and a second sync would say that all is well. Who kept a promise on it has to end.
"""

from __future__ import annotations

import contextlib
import os
import re
from collections.abc import Iterable, Iterator
from pathlib import Path

from zincladder.durable import records
from zincladder.durable.files import FileSystem

NAME = re.compile(r"(\d{20})\.log")
RECORD_KINDS = 128  # a stamp is (batch * 2 + whether it is the batch's last record) * KINDS + kind
Item = tuple[int, bytes]  # a record's kind, below KINDS, and what it holds


def _batch(record: records.Record) -> int:
    return record.stamp // RECORD_KINDS // 2


def _ends(record: records.Record) -> bool:
    """Whether it is its batch's last."""
    return bool(record.stamp // RECORD_KINDS % 2)


class JournalError(Exception):
    """The folder cannot be used, or can't be relied on any more; the text names the file and says why."""


class Journal:
    """The records of a folder, which is this process's alone while it is open."""

    def __init__(self, folder: Path, files: FileSystem | None = None) -> None:
        self._folder, self._files = folder, files or FileSystem()
        self._lock = self._file = -1
        self._generation = self._batch = self._number = 0
        self.size = 0  # bytes of the file
        self.torn = 0  # bytes cut off at the end: what was being written when the process was killed
        self.items: list[Item] = []  # as found; to be cleared by whoever has read them
        try:
            self._open()
        except OSError as fault:
            self.close()
            raise JournalError(f"{folder}: {fault.strerror or fault}") from None
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
        found: list[int] = []
        for path in self._folder.iterdir():
            if name := NAME.fullmatch(path.name):
                found.append(int(name[1]))
            elif path.suffix == ".new":
                path.unlink()  # a rewrite that was not finished
            elif path.name != "lock":
                raise JournalError(f"{path}: it is none of a journal's files")
        if not found:
            return
        self._generation = max(found)
        path = self._path(self._generation)
        self._read(path, path.read_bytes())
        for older in found:
            if older != self._generation:
                self._path(older).unlink()

    def _read(self, path: Path, data: bytes) -> None:
        if records.first_of(data, records.JOURNAL) != 1:
            raise JournalError(f"{path}: it is no journal, or one of another version")
        whole, ended = records.HEADER.size, True
        for record in records.scan(data, records.JOURNAL):
            self._number, self._batch = record.number, _batch(record)
            whole, ended = record.at + record.size, _ends(record)
            self.items.append((record.stamp % RECORD_KINDS, record.payload))
        if whole < len(data):
            self._check_tail(path, data, whole, self._batch + ended)
            self.torn = len(data) - whole
        self._file = self._files.reopen(path)
        if self.torn:
            self._files.truncate(self._file, whole)
            self._files.sync(self._file)
        self.size = whole

    def _check_tail(self, path: Path, data: bytes, whole: int, torn: int) -> None:
        """Guards promises: only the last batch can be torn, since each was synced before the next.

        A whole record of a batch later than the torn one shows that the disk has lost what it had.
        """
        for at in range(whole + 1, len(data) - records.HEAD.size + 1):
            record = records.record_at(data, at)
            if record is not None and record.number > self._number and _batch(record) > torn:
                raise JournalError(f"{path}: spoilt at byte {whole}, with whole records behind it")

    def _path(self, generation: int) -> Path:
        return self._folder / f"{generation:020d}.log"

    # Writing --------------------------------------------------------------------------------------

    def append(self, items: Iterable[Item]) -> None:
        """One batch, on the disk when this returns. JournalError if it isn't, and from then on."""
        with self._or_closed():
            data = self._packed(items)
            if self._file < 0:
                raise JournalError(f"{self._folder}: closed, or not begun")
            self._files.append(self._file, data)
            self._files.sync(self._file)
            self.size += len(data)

    def rewrite(self, items: Iterable[Item]) -> None:
        """These take the place of all that was written before, at one moment."""
        with self._or_closed():
            if self._lock < 0:
                raise JournalError(f"{self._folder}: closed")
            self._number = 0
            data = records.segment_header(records.JOURNAL, 1) + self._packed(items)
            new, path = self._folder / "next.new", self._path(self._generation + 1)
            file = self._files.create(new)
            try:
                self._files.append(file, data)
                self._files.sync(file)
                self._files.rename(new, path)
            except BaseException:
                os.close(file)
                raise
            old, self._file = self._file, file
            if old >= 0:
                os.close(old)
                with contextlib.suppress(OSError):  # the higher number counts, whatever is left beside it
                    self._path(self._generation).unlink()
            self._generation += 1
            self.size = len(data)

    def _packed(self, items: Iterable[Item]) -> bytes:
        self._batch += 1
        data, batch = bytearray(), list(items)
        for n, (kind, payload) in enumerate(batch, 1):
            self._number += 1
            stamp = (self._batch * 2 + (n == len(batch))) * RECORD_KINDS + kind
            data += records.pack(self._number, stamp, payload)
        return bytes(data)

    @contextlib.contextmanager
    def _or_closed(self) -> Iterator[None]:
        try:
            yield
        except OSError as fault:
            self.close()
            raise JournalError(f"{self._folder}: {fault.strerror or fault}: nothing more is kept") from None

    def close(self) -> None:
        for file in (self._file, self._lock):
            if file >= 0:
                with contextlib.suppress(OSError):
                    os.close(file)
        self._file = self._lock = -1
