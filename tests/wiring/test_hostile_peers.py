"""Tests that no peer and no file of a running front can end it: each listener and file gets its worst."""

from __future__ import annotations

import contextlib
import json
import random
import shutil
import signal
import socket
import struct
from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
import anyio.abc
import anyio.to_thread
import pytest

from tests.processes import free_port
from tests.support.front_configuration import DNS, DNS_HOSTS, configuration
from tests.support.front_process import FrontProcess
from tests.support.service_client import Client
from tests.support.stub_cache import StubCache
from zincladder.config import Address

pytestmark = pytest.mark.anyio
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # value of SO_LINGER
CONNECTIONS = 12  # of each kind and listener


async def is_served(address: Address, trace: str) -> bool:
    async with await anyio.connect_tcp(*address) as stream:
        client = Client(stream)
        await client.ask(trace=trace)
        with anyio.fail_after(5):
            return (await client.reply()).kind == "served"


def visit(family: socket.AddressFamily, address: Any, data: bytes, reset: bool) -> None:
    with socket.socket(family, socket.SOCK_STREAM) as sock:
        sock.settimeout(5.0)
        try:
            sock.connect(address)
        except BlockingIOError:  # the queue of the unix socket is full
            return
        with contextlib.suppress(OSError):
            sock.sendall(data)
        if reset and family != socket.AF_UNIX:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


def visit_all(listeners: list[tuple[socket.AddressFamily, Any]], generator: random.Random) -> None:
    parts = [b"", b"\0", b"GET /metrics HTTP/1.1\r\n\r\n", b"READY\nSTATS\n", b'{"do": "admission.top"}\n[[[']
    for family, address in listeners:
        for i in range(CONNECTIONS):
            data = parts[i % len(parts)] if i % 2 else generator.randbytes(generator.randrange(300))
            visit(family, address, data, reset=i % 3 > 0)


def send_datagrams(address: Address, generator: random.Random) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for _ in range(100):
            sock.sendto(generator.randbytes(generator.randrange(600)), address)


@pytest.mark.parametrize("seed", range(2))
async def test_resets_and_garbage_at_every_listener_end_no_front(tmp_path: Path, seed: int) -> None:
    # Guards against an error over one connection or datagram that ended the whole front.
    generator = random.Random(seed)
    cache, origin = StubCache("s-00000001", 0), StubCache("s-000000b0", 2)
    async with anyio.create_task_group() as tasks:
        for server in (cache, origin):
            await tasks.start(server.run)
        address, metrics, dns = (("127.0.0.1", free_port()) for _ in range(3))
        config = configuration([cache.endpoint(), origin.endpoint()])
        config["listen"] = f"127.0.0.1:{address[1]}"
        operator = tmp_path / "operator.toml"
        host = DNS_HOSTS[0]
        operator.write_text(
            f'[metrics]\nlisten = "127.0.0.1:{metrics[1]}"\n[control]\nsocket = "{tmp_path}/c"\n'
            f'[dns]\nlisten = "127.0.0.1:{dns[1]}"\nzone = "{DNS["zone"]}"\n'
            f'[[dns.host]]\nname = "{host["name"]}"\nclass = "{host["class"]}"\n'
        )
        front = FrontProcess(tmp_path, config, ZINCLADDER_OPERATOR=str(operator))
        try:
            await front.until(front.ready)
            control = ("127.0.0.1", int(front.control.rpartition(":")[2]))
            listeners: list[tuple[socket.AddressFamily, Any]] = [
                (socket.AF_INET, where) for where in (address, control, metrics, dns)
            ]
            listeners.append((socket.AF_UNIX, f"{tmp_path}/c"))
            for i in range(3):
                await anyio.to_thread.run_sync(visit_all, listeners, generator)
                await anyio.to_thread.run_sync(send_datagrams, dns, generator)
                assert front.process.poll() is None, front.log.read_text()
                assert await is_served(address, f"{i + 1:016x}")
            front.process.send_signal(signal.SIGTERM)
            assert await front.ended() == 0
        finally:
            front.process.kill()
        assert "Traceback" not in front.log.read_text()
        tasks.cancel_scope.cancel()


def remove(path: Path) -> None:
    path.unlink()


def replace_by_a_folder(path: Path) -> None:
    path.unlink()
    path.mkdir()


def fill_with_random_bytes(path: Path) -> None:
    path.write_bytes(random.Random(1).randbytes(5000))


def nest_deeply(path: Path) -> None:
    nested = "[" * 20_000 + "]" * 20_000
    path.write_text(f"a = {nested}" if path.suffix == ".toml" else nested)


def empty(path: Path) -> None:
    path.write_text("")


def truncate(path: Path) -> None:
    path.write_bytes(path.read_bytes()[:-5])


CHANGES: list[Callable[[Path], None]] = [
    remove, replace_by_a_folder, fill_with_random_bytes, nest_deeply, empty, truncate
]  # fmt: skip


async def test_a_reload_of_files_that_cannot_be_used_ends_no_front(tmp_path: Path) -> None:
    # Guards against a file that cannot be parsed and ended the front at SIGHUP.
    cache, origin = StubCache("s-00000001", 0), StubCache("s-000000b0", 2)
    async with anyio.create_task_group() as tasks:
        for server in (cache, origin):
            await tasks.start(server.run)
        address = ("127.0.0.1", free_port())
        config = configuration([cache.endpoint(), origin.endpoint()])
        config["listen"] = f"127.0.0.1:{address[1]}"
        operator = tmp_path / "operator.toml"
        operator.write_text("[admission]\nper_address = 100\n")
        front = FrontProcess(tmp_path, config, ZINCLADDER_OPERATOR=str(operator))
        try:
            await front.until(front.ready)
            rejected = 0
            for path in (front.path, operator):
                good = path.read_text()
                for change in CHANGES:
                    change(path)
                    rejected += not (path == operator and change is empty)  # that is a valid operator's file
                    front.process.send_signal(signal.SIGHUP)
                    line = b"app.sighup_rejected=%d\n" % rejected
                    await front.until(lambda line=line: line in front.ask(b"STATS\n"))  # type: ignore[misc]
                    if path.is_dir():
                        shutil.rmtree(path)
                    path.write_text(good)
            assert json.loads(front.path.read_text()) == config
            assert await is_served(address, "1".zfill(16))
            front.process.send_signal(signal.SIGTERM)
            assert await front.ended() == 0
        finally:
            front.process.kill()
        tasks.cancel_scope.cancel()
