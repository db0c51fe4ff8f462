"""Errors that replicas and their clients raise."""

from __future__ import annotations


class NotLeaderError(Exception):
    """Raised by a replica that is not the leader; nothing was done. The text names the leader if known."""


class BusyError(Exception):
    """Raised by a replica that can't do the request at the moment; nothing was done. The text says why."""


class CommitUnknownError(Exception):
    """Raised by a replica after it appended an entry that may be committed or lost; the text says why."""


class RequestFailedError(Exception):
    """Raised by a client: nothing was done. The text gives the reason of each replica that was tried."""


class OutcomeUnknownError(Exception):
    """Raised by a client that lost the connection or the leader after a request, which may have been done."""
