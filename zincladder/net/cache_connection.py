"""One connection to a cache: many exchanges at a time, answered in any order."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from time import monotonic

import anyio

from zincladder.core.attempt_end import AttemptEnd, EndReason
from zincladder.net.cache_answers import MAX_HEAD_BYTES, read_attempt_end, read_head
from zincladder.net.errors import ConnectionEndedError
from zincladder.net.read_buffer import ReadBuffer
from zincladder.net.sockets import RESET_ON_CLOSE, has_unsent_bytes
from zincladder.net.write_queue import QueuedWrite, WriteQueue
from zincladder.support.lingering_close import LINGER_SECONDS, lingering_close

WRITE_STALL_SECONDS = 10.0  # for which a cache may read nothing
ANSWER_STALL_SECONDS = 0.3  # without a byte inside an answer: those come in one piece, in under 50 ms
ID_REUSE_SECONDS = 10.0  # for which an id is not used again on its connection, past the longest deadline


@dataclass(slots=True, eq=False)
class PendingExchange:
    """One request or health check that is open on a connection."""

    is_health_check: bool
    copy_tag: str = ""  # of the copy that the client holds, if the request named one
    ended: anyio.Event = field(default_factory=anyio.Event)
    write: QueuedWrite | None = None
    end: AttemptEnd | None = None

    def finish(self, end: AttemptEnd) -> None:
        """Set the end, unless there is one, and wake who waits for it."""
        if self.end is None:
            self.end = end
            self.ended.set()


def ignore_idle(connection: CacheConnection) -> None:
    """Nobody waits for a connection that has fallen idle."""


class CacheConnection:
    """One connection to a cache.

    An exchange is open from `register` on, under an id that its answer repeats. A retired connection takes
    no new exchange and closes when none is open; a closing one ends all that is open on it.
    """

    def __init__(
        self,
        sock: socket.socket,
        report_names: Callable[[], Sequence[str]] = tuple,
        on_idle: Callable[[CacheConnection], None] = ignore_idle,
    ) -> None:
        """Args: `on_idle` runs when an answer has left nothing open here."""
        self.sock, self._report_names, self._on_idle = sock, report_names, on_idle
        self.read_buffer, self.write_queue = ReadBuffer(sock), WriteQueue(sock)
        self.open: dict[bytes, PendingExchange] = {}
        self.recent_ids: dict[bytes, float] = {}  # a second answer to one of them must find nobody
        self.closed = self.retired = self.closing = False
        self.reserved = False  # for a request that has not begun here yet
        self.reading = False  # an answer, or what may be one, has begun and is not complete
        self.used_at = monotonic()
        self._scope = anyio.CancelScope()
        self.linger_scope = anyio.CancelScope()  # cancelled, it closes at once

    async def run(self) -> AttemptEnd:
        """Reads answers until the connection ends; what is open ends with it."""
        reason, detail = EndReason.IDLE_CLOSED, ""
        try:
            with self._scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self.write_queue.run, WRITE_STALL_SECONDS)
                    await self._read_answers()
        except* ConnectionEndedError as group:
            error = group.exceptions[0]
            while isinstance(error, BaseExceptionGroup):
                error = error.exceptions[0]
            assert isinstance(error, ConnectionEndedError)
            reason, detail = error.reason, str(error)
        finally:
            self.closed = True
            self._end_exchanges(reason, detail)
            try:
                if has_unsent_bytes(self.sock):
                    # Guards abandoned requests: after a usual close the system goes on sending them.
                    with contextlib.suppress(OSError):
                        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                elif reason is EndReason.IDLE_CLOSED:
                    # This side closes, and the cache may be in the middle of a line.
                    with self.linger_scope:
                        await lingering_close(self.sock, LINGER_SECONDS)
            finally:
                self.sock.close()
        return AttemptEnd(reason, detail=detail)

    def _end_exchanges(self, reason: EndReason, detail: str) -> None:
        lost = reason
        if reason in (EndReason.CLOSED_BY_PEER, EndReason.IDLE_CLOSED):
            lost = EndReason.CONNECTION_LOST
        for exchange in list(self.open.values()):
            # Only an exchange of which no byte was written is proved never to have run.
            unwritten = exchange.write is not None and not exchange.write.started
            exchange.finish(AttemptEnd(EndReason.LOST_BEFORE_SEND if unwritten else lost, detail=detail))

    async def _read_answers(self) -> None:
        while True:
            self.reading = False
            await self.read_buffer.wait_for()
            self.reading = True
            # Guards all that is open here against an answer that stops short: nothing after it can be read.
            line = await self.read_buffer.read_line(MAX_HEAD_BYTES, ANSWER_STALL_SECONDS)
            if not line:
                continue
            head = read_head(line)
            body = bytearray()
            if head.body_bytes:
                body = await self.read_buffer.read_exactly(head.body_bytes, ANSWER_STALL_SECONDS)
                if await self.read_buffer.read_exactly(2, ANSWER_STALL_SECONDS) != b"\r\n":
                    raise ConnectionEndedError(EndReason.PROTOCOL_ERROR, "a body without its end")
            self.used_at = monotonic()
            exchange = self.open.get(head.exchange_id)
            if exchange is None or exchange.write is None or not exchange.write.started:
                continue  # no exchange waits for it: late, a duplicate, or before its request was sent
            # One that cannot be read ends as all others here.
            end = read_attempt_end(
                head, body, exchange.is_health_check, exchange.copy_tag, self._report_names()
            )
            exchange.finish(end)
            del self.open[head.exchange_id]
            self.reading = self.read_buffer.buffered() > 0
            if not self.open:
                self._on_idle(self)

    def register(self, exchange_id: bytes, exchange: PendingExchange) -> None:
        """Opens an exchange.

        Guards against a late answer or a second copy: an id is used once on a connection.
        """
        self.open[exchange_id] = exchange
        now = monotonic()
        self.recent_ids[exchange_id] = now
        while (oldest := next(iter(self.recent_ids))) != exchange_id:
            if self.recent_ids[oldest] >= now - ID_REUSE_SECONDS:
                break
            del self.recent_ids[oldest]

    def close(self) -> None:
        """Nothing new goes out here from now on, and what is open ends with it."""
        self.closing = True  # a flag of its own: CancelScope.cancel_called reads the clock
        self._scope.cancel()

    def close_if_retired(self) -> None:
        """Closes a connection that is not used again once nothing is open on it."""
        if self.retired and not self.open:
            self.close()
