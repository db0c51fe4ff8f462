"""Errors of the replicated log and its callers."""

from __future__ import annotations


class NotLeaderError(Exception):
    """Only the leader can do this, and nothing was done; the text is the leader's name, if it is known."""


class BusyError(Exception):
    """Nothing was done, as it can't be done at this moment; the text says what stands in the way."""


class CommitUnknownError(Exception):
    """An entry was appended and may be committed or lost; the text says what is known. For a replica."""


class RequestFailedError(Exception):
    """Nothing was done; the text says why, by each replica that was asked. For a caller."""


class OutcomeUnknownError(Exception):
    """The link or the leader was lost after the request: it may have been done. For a caller."""
