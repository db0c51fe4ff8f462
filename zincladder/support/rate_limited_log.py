"""Limits the rate of log lines that a peer could otherwise cause without limit."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import structlog

MIN_INTERVAL_SECONDS = 1.0  # between two lines with the same event
log = structlog.get_logger()


@dataclass(slots=True)
class _EventState:
    """When an event was last logged, and how many lines with it have been suppressed since then."""

    logged_at: float = float("-inf")
    suppressed: int = 0


class RateLimitedLog:
    """Logs each event at most once per interval; the next line counts the others as `suppressed`."""

    def __init__(self, min_interval_seconds: float = MIN_INTERVAL_SECONDS) -> None:
        self._min_interval_seconds = min_interval_seconds
        self._events: dict[str, _EventState] = {}  # by event text; the program has few of them

    def warning(self, event: str, **fields: Any) -> None:
        """Logs a warning, unless a line with the same event was logged within the interval."""
        self._log(log.warning, event, fields)

    def exception(self, event: str, **fields: Any) -> None:
        """Logs an error with the traceback of the current exception, at the same rate."""
        self._log(log.exception, event, fields)

    def info(self, event: str, **fields: Any) -> None:
        """Logs an informational line, unless a line with the same event was logged within the interval."""
        self._log(log.info, event, fields)

    def _log(self, write: Callable[..., Any], event: str, fields: dict[str, Any]) -> None:
        now = time.monotonic()
        state = self._events.get(event)
        if state is None:
            state = self._events[event] = _EventState()
        if now - state.logged_at < self._min_interval_seconds:
            state.suppressed += 1
            return
        suppressed, state.logged_at, state.suppressed = state.suppressed, now, 0
        write(event, **fields, **({"suppressed": suppressed} if suppressed else {}))
