"""Errors of what is kept on disk."""

from __future__ import annotations


class JournalError(Exception):
    """The folder can't be used, or can't be relied on any more; the text names the file and the reason."""
