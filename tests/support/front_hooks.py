"""Hooks into a front that runs in the test's own process."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

import pytest

from zincladder.core.engine import Core
from zincladder.net import cache_pool
from zincladder.net.sockets import connect


def record_cores(monkeypatch: pytest.MonkeyPatch) -> list[Core]:
    """Returns a list to which the core of each front started from now on is appended."""
    made: list[Core] = []
    init = Core.__init__

    def record_and_init(self: Core, *how: Any, **more: Any) -> None:
        made.append(self)
        init(self, *how, **more)

    monkeypatch.setattr(Core, "__init__", record_and_init)
    return made


def on_connect(monkeypatch: pytest.MonkeyPatch, callback: Callable[[int], None]) -> None:
    """Calls `callback` when a connection to a cache has opened, before anything is sent on it.

    Its argument is the number of connections to caches that have opened since the hook was set.
    """
    made = 0

    async def connect_and_notify(host: str, port: int) -> socket.socket:
        nonlocal made
        sock = await connect(host, port)
        made += 1
        callback(made)
        return sock

    monkeypatch.setattr(cache_pool, "connect", connect_and_notify)
