"""Read buffers and write queues on the two ends of a socket pair."""

from __future__ import annotations

import socket

import anyio
import pytest

from zincladder.core.attempt_end import EndReason
from zincladder.net.errors import ConnectionEndedError
from zincladder.net.read_buffer import ReadBuffer
from zincladder.net.write_queue import WriteQueue

pytestmark = pytest.mark.anyio


async def test_a_queued_message_may_be_dropped_until_its_first_byte_is_written() -> None:
    ours, theirs = socket.socketpair()
    with ours, theirs:
        ours.setblocking(False)
        theirs.setblocking(False)
        write_queue, read_buffer, allowed = WriteQueue(ours), ReadBuffer(theirs), True
        done_late: list[bool] = []
        done_large: list[bool] = []
        # This message is larger than the socket buffers, so only a part of it is written at once.
        large = write_queue.put([b"head\r\n", bytes(4_000_000)], None, done_large.append)
        late = write_queue.put([b"late\r\n"], lambda: allowed, done_late.append)
        cancelled = write_queue.put([b"dropped\r\n"])
        write_queue.put([b"last\r\n"])
        assert large.started and not late.started and done_large == []  # `on_done` waits for the last byte
        assert not write_queue.cancel(large) and write_queue.cancel(cancelled)
        allowed = False
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(write_queue.run, 5.0)
            assert await read_buffer.read_line(100) == b"head"
            assert len(await read_buffer.read_exactly(4_000_000)) == 4_000_000
            assert await read_buffer.read_line(100) == b"last"
            tasks.cancel_scope.cancel()
        assert done_late == [False] and done_large == [True] and not late.started and write_queue.size == 0


@pytest.mark.parametrize("data", [b"x" * 9000, b"\r" * 9000])
async def test_an_endless_line_is_a_protocol_error(data: bytes) -> None:
    ours, theirs = socket.socketpair()
    with ours, theirs:
        theirs.setblocking(False)
        ours.sendall(data)
        with pytest.raises(ConnectionEndedError) as caught:
            await ReadBuffer(theirs).read_line(4096)
        assert caught.value.reason is EndReason.PROTOCOL_ERROR
