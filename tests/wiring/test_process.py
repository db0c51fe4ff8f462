"""The start of a front as a real process."""

from __future__ import annotations

import contextlib
import socket
from functools import partial
from pathlib import Path

import anyio
import anyio.abc
import anyio.lowlevel
import pytest

from tests.processes import free_port
from tests.support.front_configuration import configuration
from tests.support.front_process import FrontProcess
from tests.support.stub_cache import StubCache

pytestmark = pytest.mark.anyio


async def test_a_front_is_ready_in_time_while_clients_connect_and_the_coordinator_is_unreachable(
    tmp_path: Path,
) -> None:
    # Nine of ten fronts must be ready within 10 s. Idle clients take all descriptors once the front listens.
    address = ("127.0.0.1", free_port())
    listen = f"{address[0]}:{address[1]}"
    endpoint = StubCache("s-00000001", 0, port=free_port()).endpoint()
    config = configuration([endpoint], free_port(), limits={"sockets": 16}) | {"listen": listen}

    def all_connected(clients: list[socket.socket]) -> bool:
        with contextlib.suppress(OSError):
            while len(clients) < 64:
                clients.append(socket.create_connection(address, 0.2))
        return len(clients) == 64

    for _ in range(3):
        clients: list[socket.socket] = []
        started_at = anyio.current_time()
        front = FrontProcess(tmp_path, config)
        try:
            await front.until(partial(all_connected, clients))
            await front.until(front.ready)
            assert anyio.current_time() - started_at < 10
        finally:
            front.process.kill()
            front.process.wait()
            for sock in clients:
                sock.close()
