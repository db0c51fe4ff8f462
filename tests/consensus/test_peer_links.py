"""Messages to a replica that has several links open for a moment."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import anyio
import anyio.lowlevel
import pytest

from tests.support.coordinator_frames import until
from zincladder.consensus.peer_links import PeerLinks
from zincladder.links.frames import VERSION, Hello

pytestmark = pytest.mark.anyio


class OpenLink:
    """A link that receives nothing until it ends, and keeps what is sent."""

    def __init__(self) -> None:
        self.sent: list[Any] = []
        self.end = anyio.Event()

    async def send(self, message: Any) -> None:
        self.sent.append(message)

    async def receive(self, _: Any) -> Any:
        await self.end.wait()
        raise anyio.EndOfStream


async def remember_peer(name: str, instance_id: str) -> bool:
    return True


async def test_messages_go_over_the_link_that_is_left_when_a_newer_one_ends() -> None:
    # Guards against a replica that answered several connections of a peer and then sent it nothing, because
    # the newest of them, whose queue it used, was closed as surplus.
    links: Any = PeerLinks(
        SimpleNamespace(group="g", name="k1"),  # type: ignore[arg-type]
        SimpleNamespace(identity=SimpleNamespace(instance_id="id1"), peer_instances={"k2": "id2"}),  # type: ignore[arg-type]
        SimpleNamespace(remember_peer=remember_peer),  # type: ignore[arg-type]
        lambda name, message: None,
        lambda: 0.5,
    )
    older, newer = OpenLink(), OpenLink()
    async with anyio.create_task_group() as tasks:
        for link in (older, newer):
            tasks.start_soon(links.serve, link, Hello(VERSION, "g", "keeper", "k2", "id2"))
            await anyio.lowlevel.checkpoint()
        await anyio.sleep(0.01)
        links.send("k2", "first")
        await until(lambda: newer.sent == ["first"])
        newer.end.set()
        await anyio.sleep(0.01)
        links.send("k2", "second")
        await until(lambda: older.sent == ["second"])
        tasks.cancel_scope.cancel()
