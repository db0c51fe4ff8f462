"""A connection to a cache, which carries several exchanges at a time, answered in any order."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from time import monotonic

import anyio

from zincladder.core.attempt_end import AttemptEnd, EndReason
from zincladder.net.cache_answers import MAX_HEAD_BYTES, AnswerHead, read_attempt_end, read_head
from zincladder.net.errors import ConnectionEndedError
from zincladder.net.read_buffer import ReadBuffer
from zincladder.net.sockets import RESET_ON_CLOSE, has_unsent_bytes
from zincladder.net.write_queue import QueuedWrite, WriteQueue
from zincladder.support.lingering_close import LINGER_SECONDS, lingering_close

WRITE_STALL_SECONDS = 10.0  # a connection to a cache that reads nothing for this long is closed
# The longest time without a byte in the middle of an answer; caches send one in one piece, in under 50 ms.
ANSWER_STALL_SECONDS = 0.3
ID_REUSE_SECONDS = 10.0  # an id is not reused on its connection for this long, which exceeds any deadline


@dataclass(slots=True, eq=False)
class PendingExchange:
    """An attempt or a health check that waits for its answer on a connection."""

    is_health_check: bool
    copy_tag: str = ""  # tag of the copy that the client holds; "" if the request named none
    answer_goes_first: Callable[[], bool] = lambda: True  # whether others' answers wait for memory behind it
    ended: anyio.Event = field(default_factory=anyio.Event)
    write: QueuedWrite | None = None
    end: AttemptEnd | None = None

    def finish(self, end: AttemptEnd) -> None:
        """Sets the end, unless it is set already, and wakes the task that waits for it."""
        if self.end is None:
            self.end = end
            self.ended.set()


def ignore_idle(connection: CacheConnection) -> None:
    """The default for `on_idle`: does nothing."""


async def allocate_at_once(size: int, goes_first: bool) -> bytearray:
    """The default for `allocate`: returns a body of this size without waiting."""
    return bytearray(size)


class CacheConnection:
    """A connection to a cache.

    `register` opens an exchange under an id, which the answer repeats. A retired connection takes no new
    exchange and is closed once none is open. A closing connection ends its open exchanges at once.
    """

    def __init__(
        self,
        sock: socket.socket,
        report_names: Callable[[], Sequence[str]] = tuple,
        on_idle: Callable[[CacheConnection], None] = ignore_idle,
        allocate: Callable[[int, bool], Awaitable[bytearray]] = allocate_at_once,
    ) -> None:
        """Wraps a connected socket.

        Args:
            sock: The socket.
            report_names: Returns the names of the load report's figures, in the order of the settings.
            on_idle: Called after an answer that leaves no exchange open on the connection.
            allocate: Waits for the memory for a body of this size, and returns one to fill. The second
                argument tells whether it goes before others that wait.
        """
        self._allocate = allocate
        self.sock, self._report_names, self._on_idle = sock, report_names, on_idle
        self.read_buffer, self.write_queue = ReadBuffer(sock), WriteQueue(sock)
        self.open_exchanges: dict[bytes, PendingExchange] = {}
        # When each id was last used. An id is not reused soon, because a duplicate of the first exchange's
        # answer would match the new exchange.
        self.recent_ids: dict[bytes, float] = {}
        self.closed = self.retired = self.closing = False
        self.abandoned = False  # another process may be at its address, so nothing more may be written
        self.reserved = False  # promised to a request that has not begun an exchange here yet
        self.reading = False  # an incomplete answer, or other input, has been received
        self.last_used_at = monotonic()
        self._end = AttemptEnd(EndReason.IDLE_CLOSED)  # why the connection has ended, once it has
        self._scope = anyio.CancelScope()  # of the reading
        self.linger_scope = anyio.CancelScope()  # cancel to close without waiting for the cache's close

    async def run(self) -> AttemptEnd:
        """Reads answers until the connection ends, and ends the open exchanges with it.

        Returns:
            Why the connection ended.
        """
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._write)
                with self._scope:
                    await self._read()
                self.write_queue.stop()
        finally:
            self.closed = True
            self._end_exchanges(self._end.reason, self._end.detail)
            try:
                if has_unsent_bytes(self.sock):
                    # After a normal close the kernel would go on sending requests that were abandoned; a
                    # reset drops them.
                    with contextlib.suppress(OSError):
                        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                elif self._end.reason is EndReason.IDLE_CLOSED:
                    # The cache may be sending a line while this side closes, and must not get a reset.
                    with self.linger_scope:
                        await lingering_close(self.sock, LINGER_SECONDS)
            finally:
                self.sock.close()
        return self._end

    async def _read(self) -> None:
        try:
            await self._read_answers()
        except ConnectionEndedError as error:
            self._end = AttemptEnd(error.reason, detail=str(error))

    async def _write(self) -> None:
        try:
            await self.write_queue.run(WRITE_STALL_SECONDS)
        except ConnectionEndedError as error:
            self._end = AttemptEnd(error.reason, detail=str(error))
            self._scope.cancel()

    def _end_exchanges(self, reason: EndReason, detail: str) -> None:
        lost_reason = reason
        if reason in (EndReason.CLOSED_BY_PEER, EndReason.IDLE_CLOSED):
            lost_reason = EndReason.CONNECTION_LOST
        for exchange in list(self.open_exchanges.values()):
            # The cache has certainly not run a request only if no byte of it was written.
            unwritten = exchange.write is not None and not exchange.write.started
            exchange.finish(
                AttemptEnd(EndReason.LOST_BEFORE_SEND if unwritten else lost_reason, detail=detail)
            )

    async def _read_answers(self) -> None:
        while True:
            self.reading = False
            await self.read_buffer.wait_for()
            self.reading = True
            await self._read_answer()

    async def _read_answer(self) -> None:
        """Reads one answer and ends its exchange; nothing refers to the body here once it returns."""
        # The timeout protects all open exchanges: no other answer can be read while one is incomplete.
        line = await self.read_buffer.read_line(MAX_HEAD_BYTES, ANSWER_STALL_SECONDS)
        if not line:
            return
        head = read_head(line)
        body = await self._read_body(head)
        self.last_used_at = monotonic()
        exchange = self.open_exchanges.get(head.exchange_id)
        if exchange is None or exchange.write is None or not exchange.write.started:
            return  # late, a duplicate, or sent before the request itself: no exchange waits for it
        # An answer that cannot be parsed ends the connection, and its exchange with all others.
        end = read_attempt_end(head, body, exchange.is_health_check, exchange.copy_tag, self._report_names())
        exchange.finish(end)
        del self.open_exchanges[head.exchange_id]
        self.reading = self.read_buffer.buffered() > 0
        if not self.open_exchanges:
            self._on_idle(self)

    async def _read_body(self, head: AnswerHead) -> bytearray:
        if not head.body_bytes:
            return bytearray()
        exchange = self.open_exchanges.get(head.exchange_id)
        goes_first = exchange is not None and exchange.answer_goes_first()
        body = await self._allocate(head.body_bytes, goes_first)
        await self.read_buffer.read_into(body, ANSWER_STALL_SECONDS)
        if await self.read_buffer.read_exactly(2, ANSWER_STALL_SECONDS) != b"\r\n":
            raise ConnectionEndedError(EndReason.PROTOCOL_ERROR, "answer's body is not followed by CR LF")
        return body

    def register(self, exchange_id: bytes, exchange: PendingExchange) -> None:
        """Opens an exchange under an id.

        The id is remembered as recently used, so that a late or duplicate answer matches no other exchange.
        """
        self.open_exchanges[exchange_id] = exchange
        now = monotonic()
        self.recent_ids[exchange_id] = now
        while (oldest := next(iter(self.recent_ids))) != exchange_id:
            if self.recent_ids[oldest] >= now - ID_REUSE_SECONDS:
                break
            del self.recent_ids[oldest]

    def close(self) -> None:
        """Closes the connection: it takes no new exchange, and the open ones end."""
        self.closing = True  # cheaper to test than CancelScope.cancel_called, which reads the clock
        self._scope.cancel()

    def close_if_retired(self) -> None:
        """Closes the connection if it is retired and no exchange is open."""
        if self.retired and not self.open_exchanges:
            self.close()
