"""Tests that no message over a link ends the process that sends or receives it."""

from __future__ import annotations

import random
from typing import Any

import anyio
import anyio.abc
import msgspec
import pytest

from zincladder.links.connection import Link, SendQueue, accept_handshake
from zincladder.links.frames import MAX_BODY_BYTES, VERSION, Hello, Welcome
from zincladder.links.leader_link import LeaderLink

pytestmark = pytest.mark.anyio


class Text(msgspec.Struct, frozen=True, array_like=True, tag="text"):
    text: str


async def test_a_message_that_is_too_large_is_dropped_and_the_next_one_is_sent() -> None:
    # Guards against a report of counters over 1 MB that ended the front which sent it.
    received: list[str] = []
    done = anyio.Event()

    async def receive(stream: anyio.abc.SocketStream) -> None:
        link = Link(stream)
        link.handshake_done()
        while len(received) < 2:
            received.append((await link.receive(Text)).text)
        done.set()

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, receive)
        link, queue = Link(await anyio.connect_tcp("127.0.0.1", port)), SendQueue(8)
        for text in ("first", "x" * MAX_BODY_BYTES, "last"):
            queue.put(Text(text))
        tasks.start_soon(queue.send_to, link)
        with anyio.fail_after(5):
            await done.wait()
        tasks.cancel_scope.cancel()
    assert received == ["first", "last"]


class FailingHandler:
    """Raises an error at every first message of a link."""

    def __init__(self) -> None:
        self.messages: list[str] = []
        self.links = 0

    def link_changed(self, up: bool) -> None:
        self.links += up

    def message_received(self, message: Any) -> str | None:
        self.messages.append(message.text)
        raise ZeroDivisionError("a fault in the handling of a message")

    def silence_timeout_seconds(self) -> float:
        return 5.0


async def test_an_error_over_a_message_of_the_leader_ends_the_link_and_another_one_follows() -> None:
    handler = FailingHandler()

    async def lead(stream: anyio.abc.SocketStream) -> None:
        link = Link(stream)
        await accept_handshake(link, Welcome("k1", "id"), lambda hello: "")
        await link.send(Text("hello"))
        await anyio.sleep_forever()

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, lead)
        hello = Hello(VERSION, "test", "front", "f0", "1")
        link = LeaderLink({"k1": f"127.0.0.1:{port}"}, hello, Text, handler, random.Random(1))
        tasks.start_soon(link.run)
        with anyio.fail_after(10):
            while len(handler.messages) < 3:
                await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()
    assert handler.links >= 3
