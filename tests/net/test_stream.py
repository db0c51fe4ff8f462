"""Reading and writing over the two ends of a socket."""

from __future__ import annotations

import socket

import anyio
import pytest

from zincladder.core.attempt_end import EndReason
from zincladder.net.errors import ConnectionEndedError
from zincladder.net.stream import Inbox, Outbox

pytestmark = pytest.mark.anyio


async def test_a_message_that_waits_is_asked_again_and_one_that_began_is_written_whole() -> None:
    ours, theirs = socket.socketpair()
    with ours, theirs:
        ours.setblocking(False)
        theirs.setblocking(False)
        outbox, inbox, allowed = Outbox(ours), Inbox(theirs), True
        heard: list[bool] = []
        whole: list[bool] = []
        large = outbox.put([b"head\r\n", bytes(4_000_000)], None, whole.append)  # more than the system takes
        late = outbox.put([b"late\r\n"], lambda: allowed, heard.append)
        dropped = outbox.put([b"dropped\r\n"])
        outbox.put([b"last\r\n"])
        assert large.begun and not late.begun and whole == []  # not counted before its last byte
        assert not outbox.drop(large) and outbox.drop(dropped)
        allowed = False
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(outbox.run, 5.0)
            assert await inbox.line(100) == b"head"
            assert len(await inbox.exactly(4_000_000)) == 4_000_000
            assert await inbox.line(100) == b"last"
            tasks.cancel_scope.cancel()
        assert heard == [False] and whole == [True] and not late.begun and outbox.size == 0


@pytest.mark.parametrize("data", [b"x" * 9000, b"\r" * 9000])
async def test_a_line_without_end_is_malformed(data: bytes) -> None:
    ours, theirs = socket.socketpair()
    with ours, theirs:
        theirs.setblocking(False)
        ours.sendall(data)
        with pytest.raises(ConnectionEndedError) as caught:
            await Inbox(theirs).line(4096)
        assert caught.value.reason is EndReason.PROTOCOL_ERROR
