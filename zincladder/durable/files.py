"""The calls that change files, in one place, so that tests can make each of them fail. All block."""

from __future__ import annotations

import errno
import fcntl
import os
from pathlib import Path


class FileSystem:
    """Calls that write; each does all of it, or raises OSError."""

    def create(self, path: Path) -> int:
        """An empty file to append to, in place of any that is there."""
        return os.open(path, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC, 0o600)

    def reopen(self, path: Path) -> int:
        """A file that is there, to append to."""
        return os.open(path, os.O_RDWR | os.O_APPEND | os.O_CLOEXEC)

    def append(self, file: int, data: bytes) -> None:
        """All of `data`, in as many writes as it takes."""
        remaining = memoryview(data)
        while remaining:
            written = os.write(file, remaining)
            if not written:
                raise OSError(errno.ENOSPC, "no space left on device")
            remaining = remaining[written:]

    def sync(self, file: int) -> None:
        """Once this has returned, what was appended survives a loss of power."""
        os.fdatasync(file)

    def truncate(self, file: int, size: int) -> None:
        """Cuts the file off at a size in bytes."""
        os.ftruncate(file, size)

    def rename(self, old: Path, new: Path) -> None:
        """Atomic and durable: the folder is synced too."""
        os.rename(old, new)
        self.sync_folder(new.parent)

    def sync_folder(self, folder: Path) -> None:
        """Once this has returned, names of files in the folder survive a loss of power."""
        file = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(file)
        finally:
            os.close(file)

    def lock(self, path: Path) -> int:
        """Locked until it is closed or the process ends. BlockingIOError if another process has the lock."""
        file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(file)
            raise
        return file
