"""A front as a real process: its start."""

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


async def test_fronts_started_anew_beside_a_crowd_and_without_discovery_are_ready_in_time(
    tmp_path: Path,
) -> None:
    # nine in ten are ready within 10 s; idle clients take what descriptors they get as soon as one listens
    where = ("127.0.0.1", free_port())
    listen = f"{where[0]}:{where[1]}"
    endpoint = StubCache("s-00000001", 0, port=free_port()).endpoint()
    config = configuration([endpoint], free_port(), limits={"sockets": 16}) | {"listen": listen}

    def filled(crowd: list[socket.socket]) -> bool:
        with contextlib.suppress(OSError):
            while len(crowd) < 64:
                crowd.append(socket.create_connection(where, 0.2))
        return len(crowd) == 64

    for _ in range(3):
        crowd: list[socket.socket] = []
        began = anyio.current_time()
        front = FrontProcess(tmp_path, config)
        try:
            await front.until(partial(filled, crowd))
            await front.until(front.ready)
            assert anyio.current_time() - began < 10
        finally:
            front.process.kill()
            front.process.wait()
            for sock in crowd:
                sock.close()
