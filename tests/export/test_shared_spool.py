"""Tests upgrades of fronts whose remote write has a spool: both processes name the same folder."""

from __future__ import annotations

import os
import signal
from collections import Counter
from pathlib import Path
from typing import Any

import anyio
import cramjam
import pytest

from tests.export.samples import SAMPLES
from tests.export.test_sender import FAST_RULES, Receiver
from tests.processes import free_port
from tests.support.front_configuration import configuration
from tests.support.front_process import FrontProcess
from tests.support.service_client import Client
from tests.support.stub_cache import StubCache
from zincladder.config import RemoteWriteConfig
from zincladder.export import messages
from zincladder.export.sender import RemoteWrite

pytestmark = pytest.mark.anyio
WAIT_SECONDS = 10.0


def pushed_times(receiver: Receiver) -> list[int]:
    """The sample time of each push, in the order of arrival."""
    requests = [messages.parse_v2(bytes(cramjam.snappy.decompress_raw(body))) for _, body in receiver.pushes]
    return [request.timeseries[0].samples[0].timestamp for request in requests]


async def pushed(receiver: Receiver, count: int) -> None:
    """Waits until the receiver has got `count` more pushes."""
    count += len(receiver.pushes)
    with anyio.fail_after(WAIT_SECONDS):
        while len(receiver.pushes) < count:
            await anyio.sleep(0.01)


@pytest.mark.parametrize("failing_pushes", [0, 20])
async def test_two_senders_with_one_spool_send_each_batch_once_and_in_order(
    tmp_path: Path, failing_pushes: int
) -> None:
    # Guards against a new process that removes the segment which the old one writes to: the old one ended.
    receiver = Receiver(*[503] * failing_pushes)
    counts: Counter[str] = Counter()
    async with anyio.create_task_group() as tasks:
        await tasks.start(receiver.run)
        config = RemoteWriteConfig(
            "127.0.0.1", receiver.port, "/api/v1/write", 0.02, spool_folder=str(tmp_path)
        )

        def start(scope: anyio.CancelScope) -> RemoteWrite:
            sender = RemoteWrite(
                config, lambda: iter(SAMPLES), lambda name, n: counts.update({name: n}), FAST_RULES
            )

            async def run() -> None:
                with scope:
                    await sender.run()

            tasks.start_soon(run)
            return sender

        old_scope, new_scope = anyio.CancelScope(), anyio.CancelScope()
        old = start(old_scope)
        await pushed(receiver, 3)
        new = start(new_scope)
        await pushed(receiver, failing_pushes + 10)
        await old.finish(WAIT_SECONDS)  # as a front does when it ends
        old_scope.cancel()
        await pushed(receiver, 10)
        await new.finish(WAIT_SECONDS)
        tasks.cancel_scope.cancel()
    times = pushed_times(receiver)[failing_pushes:]
    assert times == sorted(set(times))
    assert counts["overflowed"] == counts["refused"] == 0


async def serve_one(address: tuple[str, int], trace: str) -> str:
    async with await anyio.connect_tcp(*address) as stream:
        client = Client(stream)
        await client.ask(trace=trace)
        with anyio.fail_after(WAIT_SECONDS):
            return (await client.reply()).kind


@pytest.mark.parametrize("hangs", [False, True])
async def test_an_upgrade_with_a_spool_ends_no_process_and_pushes_in_order(
    tmp_path: Path, hangs: bool
) -> None:
    # Guards against an old process that ends by itself, under open requests, at its first push after the
    # new one has started.
    cache, origin, receiver = StubCache("s-00000001", 0), StubCache("s-000000b0", 2), Receiver()
    async with anyio.create_task_group() as tasks:
        for server in (cache, origin, receiver):
            await tasks.start(server.run)
        operator = tmp_path / "operator.toml"
        operator.write_text(
            f'[remote_write]\nurl = "http://127.0.0.1:{receiver.port}/api/v1/write"\n'
            f'every_s = 0.1\nspool = "{tmp_path}/spool"\n'
        )
        address = ("127.0.0.1", free_port())
        config: dict[str, Any] = configuration([cache.endpoint(), origin.endpoint()])
        config["listen"] = f"{address[0]}:{address[1]}"
        fronts: list[FrontProcess] = []
        try:
            old = FrontProcess(tmp_path, config, ZINCLADDER_OPERATOR=str(operator))
            fronts.append(old)
            await old.until(old.ready)
            await pushed(receiver, 2)
            new = FrontProcess(tmp_path, config, ZINCLADDER_OPERATOR=str(operator))
            fronts.append(new)
            await new.until(new.ready)
            await pushed(receiver, 5)
            assert old.process.poll() is None, old.log.read_text()
            if hangs:
                os.kill(old.process.pid, signal.SIGSTOP)
                assert [await serve_one(address, f"{i + 1:016x}") for i in range(3)] == ["served"] * 3
                old.process.kill()
                assert await old.ended() == -signal.SIGKILL
            else:
                old.process.send_signal(signal.SIGTERM)
                assert await old.ended() == 0, old.log.read_text()
            await pushed(receiver, 5)
            assert new.process.poll() is None, new.log.read_text()
            new.process.send_signal(signal.SIGTERM)
            assert await new.ended() == 0
        finally:
            for front in fronts:
                front.process.kill()
        tasks.cancel_scope.cancel()
    times = pushed_times(receiver)
    # After SIGKILL the batch that was in flight may come a second time, but none before it.
    assert times == sorted(times) and len(times) - len(set(times)) <= hangs
