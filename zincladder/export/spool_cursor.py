"""The cursor of a spool: a file that holds the number of the last acknowledged batch. All methods block."""

from __future__ import annotations

import errno
import os
from pathlib import Path

from zincladder.durable import records

CURSOR_NAME = "cursor"
CURSOR_SLOTS = 2
FILE_MODE = 0o600


class SpoolCursor:
    """The cursor file. Its two slots are written in turn, so that a torn write leaves the other one valid."""

    def __init__(self, folder: Path) -> None:
        """Opens the file, or creates an empty one. Raises OSError if that fails."""
        self._path = folder / CURSOR_NAME
        self.generation = 0  # rises with each write; the slots alternate
        self._file = self._open()

    def _open(self) -> int:
        return os.open(self._path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)

    def read(self) -> int | None:
        """Returns the number of the last acknowledged batch; None if no slot is valid."""
        cursor = records.read_cursor(os.pread(self._file, CURSOR_SLOTS * records.CURSOR_SLOT.size, 0))
        if cursor is None:
            return None
        self.generation, acknowledged = cursor
        return acknowledged

    def is_removed(self) -> bool:
        """Returns whether the file was removed. The next write creates another one."""
        return not os.fstat(self._file).st_nlink

    def write(self, acknowledged: int) -> None:
        """Writes the older one of the two slots. Raises OSError if that fails."""
        if self.is_removed():
            file = self._open()
            os.close(self._file)
            self._file = file
        generation = self.generation + 1
        offset = generation % CURSOR_SLOTS * records.CURSOR_SLOT.size
        write_all(self._file, records.pack_cursor(generation, acknowledged), offset)
        self.generation = generation

    def close(self) -> None:
        """Syncs and closes the file."""
        sync_and_close(self._file)


def write_all(file: int, data: bytes, offset: int) -> None:
    """Writes all of `data`. Raises OSError if it fails; a short write means that the disk is full."""
    if os.pwrite(file, data, offset) < len(data):
        raise OSError(errno.ENOSPC, "no space left on device")


def sync_and_close(file: int) -> None:
    """Closes a file, and syncs it to disk if that is possible."""
    try:
        os.fdatasync(file)
    except OSError:
        pass  # its data survive the end of the process, and may not survive a power failure
    finally:
        os.close(file)
