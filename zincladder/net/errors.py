"""Errors of the package's connections and codecs."""

from __future__ import annotations

from zincladder.core.attempt_end import EndReason


class ConnectionEndedError(Exception):
    """The connection has ended, or cannot be used any more; `reason` says in which way."""

    def __init__(self, reason: EndReason, detail: str = "") -> None:
        super().__init__(detail or reason.value)
        self.reason = reason


class InvalidFieldsError(Exception):
    """A request whose fields cannot be used; the text names the field."""
