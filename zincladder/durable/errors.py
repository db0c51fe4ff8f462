"""Errors of durable storage."""

from __future__ import annotations


class JournalError(Exception):
    """A journal's folder can't be used, or its data can't be trusted. The text gives path and reason."""
