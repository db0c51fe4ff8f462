"""Reload at SIGHUP, in a front that runs as a process."""

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


async def test_sighup_adds_a_class_rejects_invalid_files_and_keeps_open_requests(tmp_path: Path) -> None:
    release = anyio.Event()

    async def serve_when_released(_: StubCache, fetch: Fetch) -> None:
        await release.wait()
        await serve(_, fetch)

    caches = [StubCache("s-00000001", 0, serve_when_released), StubCache("s-000000b0", 2)]
    coordinator, new_coordinator = Coordinator(), Coordinator()
    async with anyio.create_task_group() as tasks:
        for stub in caches:
            await tasks.start(stub.run)
        await tasks.start(coordinator.run)
        await tasks.start(new_coordinator.run)
        listen = f"127.0.0.1:{free_port()}"
        front_config = configuration([c.endpoint() for c in caches], coordinator.port) | {"listen": listen}
        front = FrontProcess(tmp_path, front_config)
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
                front_config["coordinator"] = f"127.0.0.1:{new_coordinator.port}"
                valid = front_config | {"settings": with_classes(stamp, attemptsCap=2)}
                valid["settings"]["domain"] = SETTINGS["domain"] | {"neverKept": [False, False, True, True]}
                invalid = (
                    "",
                    "[" * 100_000,
                    json.dumps(valid)[:-9],
                    json.dumps(front_config | {"settings": with_classes(attemptsCap=0)}),
                )
                for i, text in enumerate((*invalid, json.dumps(valid))):
                    # The coordinator that an invalid file names is not followed.
                    assert not new_coordinator.after
                    front.path.write_text(text)
                    front.process.send_signal(signal.SIGHUP)
                    name = b"applied=1\n" if i == len(invalid) else b"rejected=%d\n" % (i + 1)
                    await front.until(lambda name=name: name in front.ask(b"STATS\n"))  # type: ignore[misc]
                with anyio.fail_after(5):
                    while not new_coordinator.after:
                        await new_coordinator.followed.wait()
                # The new coordinator is asked for the events after the last one received.
                assert new_coordinator.after == [2]
                assert b"app.succeeded.stamp=0\n" in front.ask(b"STATS\n")
                new = await c.ask(route="stamp")
                assert (await c.reply()).seq == new and len(caches[1].fetches) == 1
                release.set()
                assert (await c.reply()).seq == open_one
            front.process.send_signal(signal.SIGTERM)
            assert await front.ended() == 0
        finally:
            front.process.kill()
        tasks.cancel_scope.cancel()
