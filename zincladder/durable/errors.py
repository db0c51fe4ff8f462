"""Errors of durable storage."""

from __future__ import annotations


class JournalError(Exception):
    """A journal can't be read or written, or its data is corrupt. The text gives the path and the reason."""
