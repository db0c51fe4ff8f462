"""SIGHUP at a real process."""

from __future__ import annotations

import json
import signal
import struct
from pathlib import Path
from typing import Any

import anyio
import anyio.abc
import anyio.lowlevel
import pytest

from tests.processes import free_port
from tests.support.front_configuration import SETTINGS, configuration
from tests.support.front_process import FrontProcess
from tests.support.service_client import Client
from tests.support.stub_cache import Fetch, StubCache, serve
from tests.support.stub_coordinator import Coordinator

pytestmark = pytest.mark.anyio


def with_classes(*classes: dict[str, Any], **ceilings: Any) -> dict[str, Any]:
    return SETTINGS | {
        "categories": [*SETTINGS["categories"], *classes],
        "ceilings": SETTINGS["ceilings"] | ceilings,
    }


async def test_sighup_adds_a_class_rejects_broken_files_and_keeps_open_requests(tmp_path: Path) -> None:
    gate = anyio.Event()

    async def late(_: StubCache, fetch: Fetch) -> None:
        await gate.wait()
        await serve(_, fetch)

    caches = [StubCache("s-00000001", 0, late), StubCache("s-000000b0", 2)]
    coordinator, moved = Coordinator(), Coordinator()
    async with anyio.create_task_group() as tasks:
        for stub in caches:
            await tasks.start(stub.run)
        await tasks.start(coordinator.run)
        await tasks.start(moved.run)
        listen = f"127.0.0.1:{free_port()}"
        plain = configuration([c.endpoint() for c in caches], coordinator.port) | {"listen": listen}
        front = FrontProcess(tmp_path, plain)
        try:
            await front.until(front.ready)
            host, _, port = listen.partition(":")
            async with await anyio.connect_tcp(host, int(port)) as stream:
                c = Client(stream)
                open_one = await c.ask(patience="5000")
                while not caches[0].fetches:
                    await caches[0].came.wait()
                while not coordinator.streams:
                    await coordinator.followed.wait()
                await coordinator.tell(4, struct.pack(">HQ", 3, 5))
                stamp = {"name": "stamp", "onTime": 0.8, "deadline": 3.0, "effect": "at_most_once"}
                plain["coordinator"] = f"127.0.0.1:{moved.port}"
                good = plain | {"settings": with_classes(stamp, attemptsCap=2)}
                good["settings"]["domain"] = SETTINGS["domain"] | {"neverKept": [False, False, True, True]}
                broken = (
                    "",
                    "[" * 100_000,
                    json.dumps(good)[:-9],
                    json.dumps(plain | {"settings": with_classes(attemptsCap=0)}),
                )
                for i, text in enumerate((*broken, json.dumps(good))):
                    assert not moved.after  # no broken file's coordinator is followed
                    front.path.write_text(text)
                    front.process.send_signal(signal.SIGHUP)
                    name = b"applied=1\n" if i == len(broken) else b"rejected=%d\n" % (i + 1)
                    await front.until(lambda name=name: name in front.ask(b"STATS\n"))  # type: ignore[misc]
                with anyio.fail_after(5):
                    while not moved.after:
                        await moved.followed.wait()
                assert moved.after == [2]  # from the last event on
                assert b"app.succeeded.stamp=0\n" in front.ask(b"STATS\n")
                new = await c.ask(route="stamp")
                assert (await c.reply()).seq == new and len(caches[1].fetches) == 1
                gate.set()
                assert (await c.reply()).seq == open_one
            front.process.send_signal(signal.SIGTERM)
            assert await front.ended() == 0
        finally:
            front.process.kill()
        tasks.cancel_scope.cancel()
