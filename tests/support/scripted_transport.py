"""A transport whose attempts end when and how the test chooses."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from zincladder.core.attempt import AttemptRequest
from zincladder.core.attempt_end import AttemptEnd, EndReason
from zincladder.routing import interface as api


class ScriptedTransport:
    """Keeps each attempt in flight until the test ends it; health checks time out at once."""

    def __init__(self) -> None:
        self.attempts: list[AttemptRequest] = []
        self.ends: dict[int, AttemptEnd] = {}
        self._changed = anyio.Event()

    async def send(self, attempt: AttemptRequest) -> AttemptEnd:
        number = len(self.attempts)
        self.attempts.append(attempt)
        self.notify_changed()
        while number not in self.ends:
            await self._changed.wait()
        return self.ends[number]

    def end(self, number: int, reason: EndReason) -> None:
        self.ends[number] = AttemptEnd(reason)
        self.notify_changed()

    def notify_changed(self) -> None:
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    async def until(self, condition: Callable[[], bool]) -> None:
        with anyio.fail_after(5):
            while not condition():
                await self._changed.wait()

    async def check_health(self, endpoint: api.EndpointId) -> AttemptEnd:
        return AttemptEnd(EndReason.TIMED_OUT)
