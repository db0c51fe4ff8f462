"""The file system calls of the journal in one class, so that tests can make each of them fail. All block."""

from __future__ import annotations

import errno
import fcntl
import os
from pathlib import Path


class FileSystem:
    """Calls that open and change files. Each raises OSError unless it succeeds completely."""

    def create(self, path: Path) -> int:
        """Creates an empty file, or empties an existing one, and returns a descriptor for appending."""
        return os.open(path, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC, 0o600)

    def open_for_append(self, path: Path) -> int:
        """Opens an existing file and returns a descriptor for reading and appending."""
        return os.open(path, os.O_RDWR | os.O_APPEND | os.O_CLOEXEC)

    def append(self, descriptor: int, data: bytes) -> None:
        """Appends all of `data`, in as many writes as needed."""
        remaining = memoryview(data)
        while remaining:
            written = os.write(descriptor, remaining)
            if not written:
                raise OSError(errno.ENOSPC, "no space left on device")
            remaining = remaining[written:]

    def sync(self, descriptor: int) -> None:
        """Syncs the file's data: once this returns, it survives a power loss."""
        os.fdatasync(descriptor)

    def truncate(self, descriptor: int, size: int) -> None:
        """Truncates the file to `size` bytes."""
        os.ftruncate(descriptor, size)

    def rename(self, old: Path, new: Path) -> None:
        """Renames a file atomically, and syncs the folder so that the rename survives a power loss."""
        os.rename(old, new)
        self.sync_folder(new.parent)

    def sync_folder(self, folder: Path) -> None:
        """Syncs the folder: once this returns, the names of its files survive a power loss."""
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def lock(self, path: Path) -> int:
        """Locks a file until the returned descriptor is closed or the process ends.

        Raises BlockingIOError if another process holds the lock.
        """
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            raise
        return descriptor
