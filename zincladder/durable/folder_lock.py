"""A lock by which one process at a time uses a folder. All methods block.

The lock is flock(2) on a file in the folder. The kernel releases it when the process ends, however it ends,
and not before: a process that hangs keeps the folder until it is killed.
"""

from __future__ import annotations

import os
from pathlib import Path

from zincladder.durable.files import FileSystem

LOCK_NAME = "lock"


class FolderLock:
    """The lock of one folder. Two locks of the same folder exclude each other, also within a process."""

    def __init__(self, folder: Path, file_system: FileSystem | None = None) -> None:
        self._path, self._file_system = folder / LOCK_NAME, file_system or FileSystem()
        self._descriptor = -1

    def acquire(self) -> bool:
        """Returns whether this lock is held now; False if another process holds it.

        Raises OSError if the folder does not exist or the file cannot be opened.
        """
        if self.is_held():
            return True
        self.release()
        try:
            self._descriptor = self._file_system.lock(self._path)
        except BlockingIOError:
            return False
        if not self.is_held():  # the file was removed between the calls that opened and locked it
            self.release()
            return False
        return True

    def is_held(self) -> bool:
        """Returns whether this lock is held and its file is still the one that other processes would open.

        If the file was removed or replaced, another process may have locked the new one.
        """
        if self._descriptor < 0:
            return False
        try:
            return os.path.samestat(os.fstat(self._descriptor), os.stat(self._path))
        except OSError:
            return False

    def was_replaced(self) -> bool:
        """Returns whether another process has created a new file since this lock was acquired."""
        return self._descriptor >= 0 and not self.is_held() and self._path.exists()

    def release(self) -> None:
        """Releases the lock; the file stays, since removing it would let two processes lock two files."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1
