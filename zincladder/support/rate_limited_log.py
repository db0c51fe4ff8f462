"""Log lines that a peer can cause at will, at a bounded rate."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import structlog

EVERY = 1.0  # seconds between two lines of one kind
log = structlog.get_logger()


class RateLimitedLog:
    """Logs at most one line of each kind a second; the next one tells how many were left out."""

    def __init__(self, every: float = EVERY) -> None:
        self._every = every
        self._kinds: dict[str, tuple[float, int]] = {}  # by event, of which the program has few

    def warning(self, event: str, **more: Any) -> None:
        """Logs a line of trouble, unless one of its kind was logged lately."""
        self._line(log.warning, event, more)

    def info(self, event: str, **more: Any) -> None:
        """Logs a line of the usual course, unless one of its kind was logged lately."""
        self._line(log.info, event, more)

    def _line(self, write: Callable[..., Any], event: str, more: dict[str, Any]) -> None:
        now = time.monotonic()
        last, left_out = self._kinds.get(event, (float("-inf"), 0))
        if now - last < self._every:
            self._kinds[event] = (last, left_out + 1)
            return
        self._kinds[event] = (now, 0)
        write(event, **more, **({"left_out": left_out} if left_out else {}))
