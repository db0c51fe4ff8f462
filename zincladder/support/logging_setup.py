"""Logging of all processes of the project: one JSON object per line, on standard error.

A process outlives whatever reads its log: lines that standard error does not take are dropped and counted.
"""

from __future__ import annotations

import json
import logging
import os
import select
import stat
from typing import Any

import structlog

STANDARD_ERROR = 2  # file descriptor


def configure_logging() -> None:
    """Configures structlog for this process. A program calls it once, before it logs anything."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=LineLogger(STANDARD_ERROR),
    )


class LineLogger:
    """A structlog logger, and the factory of itself, that writes lines to a file descriptor.

    It raises nothing and does not wait: not for a disk that is full, a reader that has ended or one that has
    stopped reading.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._dropped_lines = 0  # since the last one that was written

    def __call__(self, *args: Any) -> LineLogger:
        """Returns this logger, for each logger that structlog creates."""
        return self

    def msg(self, message: str) -> None:
        """Writes one line, after the number of dropped ones if there are any."""
        if self._dropped_lines:
            message = (
                json.dumps({"event": "log lines dropped", "lines": self._dropped_lines}) + "\n" + message
            )
        try:
            self._write(message.encode(errors="backslashreplace") + b"\n")
            self._dropped_lines = 0
        except OSError:
            self._dropped_lines += 1

    debug = info = warning = error = critical = exception = log = msg

    def _write(self, data: bytes) -> None:
        remaining = memoryview(data)
        may_block = not stat.S_ISREG(os.fstat(self._descriptor).st_mode)
        while remaining:
            size = len(remaining)
            if may_block:
                self._check_writable()
                size = min(size, select.PIPE_BUF)  # a pipe that is writable takes that much without blocking
            remaining = remaining[os.write(self._descriptor, remaining[:size]) :]

    def _check_writable(self) -> None:
        """Raises BlockingIOError if a write would block."""
        poll = select.poll()
        poll.register(self._descriptor, select.POLLOUT)
        if not poll.poll(0):
            raise BlockingIOError
