"""Errors of the export of samples."""

from __future__ import annotations

from pathlib import Path

MISCONFIGURED = (FileExistsError, IsADirectoryError, NotADirectoryError, PermissionError)


class SpoolError(Exception):
    """The spool's folder cannot be used; the text gives the reason.

    `misconfigured` is False if the same folder may be usable later, as after a full disk.
    """

    def __init__(self, reason: str, misconfigured: bool) -> None:
        super().__init__(reason)
        self.misconfigured = misconfigured


def spool_error(folder: Path, error: OSError) -> SpoolError:
    """Returns the SpoolError for a system error in a spool's folder."""
    return SpoolError(f"{folder}: {error.strerror or error}", isinstance(error, MISCONFIGURED))
