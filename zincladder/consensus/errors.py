"""Errors that replicas and their clients raise."""

from __future__ import annotations


class NotLeaderError(Exception):
    """Raised by a replica that is not the leader; nothing was done. The text names the leader if known."""


class BusyError(Exception):
    """Raised by a replica that rejects a request; nothing was done. The text says why."""


class CommitUnknownError(Exception):
    """Raised by a replica if an entry that it appended may be committed or lost. The text says why.

    Also raised if no majority confirms the replica's leadership in time.
    """


class RequestFailedError(Exception):
    """Raised by a client if nothing was done. The text gives the leader's reason, or each replica's."""


class OutcomeUnknownError(Exception):
    """Raised by a client if a request was sent and it is unknown whether it was done."""
