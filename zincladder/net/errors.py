"""Errors of connections and of message fields."""

from __future__ import annotations

from zincladder.core.attempt_end import EndReason


class ConnectionEndedError(Exception):
    """The connection has ended or cannot be used any more; `reason` states why."""

    def __init__(self, reason: EndReason, detail: str = "") -> None:
        super().__init__(detail or reason.value)
        self.reason = reason


class InvalidFieldsError(Exception):
    """A request has an invalid or missing field; the text names it."""
