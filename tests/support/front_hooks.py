"""Hooks into a front that runs in the test's own process."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

import pytest

from zincladder.core.engine import Core
from zincladder.net import cache_pool
from zincladder.net.sockets import connect


def cores_of(monkeypatch: pytest.MonkeyPatch) -> list[Core]:
    """The cores of the fronts that are started from now on."""
    made: list[Core] = []
    init = Core.__init__

    def keep(self: Core, *how: Any, **more: Any) -> None:
        made.append(self)
        init(self, *how, **more)

    monkeypatch.setattr(Core, "__init__", keep)
    return made


def on_connect(monkeypatch: pytest.MonkeyPatch, act: Callable[[int], None]) -> None:
    """Calls `act` with the connection's number when one to a member has come up, before anything is sent."""
    made = 0

    async def connecting(host: str, port: int) -> socket.socket:
        nonlocal made
        sock = await connect(host, port)
        made += 1
        act(made)
        return sock

    monkeypatch.setattr(cache_pool, "connect", connecting)
