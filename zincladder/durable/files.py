"""The seam between what is kept and the disk, so that tests can make every call fail. All methods block."""

from __future__ import annotations

import errno
import fcntl
import os
from pathlib import Path


class FileSystem:
    """Calls that write, each whole or an OSError."""

    def create(self, path: Path) -> int:
        """An empty file to append to; what stood there goes."""
        return os.open(path, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC, 0o600)

    def reopen(self, path: Path) -> int:
        return os.open(path, os.O_RDWR | os.O_APPEND | os.O_CLOEXEC)

    def append(self, file: int, data: bytes) -> None:
        left = memoryview(data)
        while left:
            written = os.write(file, left)
            if not written:
                raise OSError(errno.ENOSPC, "no space left on device")
            left = left[written:]

    def sync(self, file: int) -> None:
        """Once this has returned, what was appended outlives a loss of power."""
        os.fdatasync(file)

    def truncate(self, file: int, size: int) -> None:
        os.ftruncate(file, size)

    def rename(self, old: Path, new: Path) -> None:
        """At one moment, and for good: the folder is synced too."""
        os.rename(old, new)
        self.sync_folder(new.parent)

    def sync_folder(self, folder: Path) -> None:
        file = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(file)
        finally:
            os.close(file)

    def lock(self, path: Path) -> int:
        """Held until it is closed or the process ends. BlockingIOError while another process holds it."""
        file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(file)
            raise
        return file
