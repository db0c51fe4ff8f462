"""A queue of messages to a socket: writes them in order, unless one is dropped before its first byte."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable, Sequence
from time import monotonic
from typing import Protocol, TypeVar

import anyio

from zincladder.core.attempt_end import EndReason
from zincladder.net.errors import ConnectionEndedError
from zincladder.support.lingering_close import DELIVERY_CHECK_SECONDS
from zincladder.support.read_pace import ReadPace
from zincladder.support.send_buffer import unacknowledged_bytes

Part = bytes | bytearray | memoryview
Result = TypeVar("Result")
MAX_PARTS = 64  # buffers in one gathered write; the kernel's limit is 1,024
QUEUED_WRITE_BYTES = 600  # memory of a queued message beside its bytes
MAX_JOINED_BYTES = 4096  # parts of a queued message up to this size are joined
MAX_CHECK_SECONDS = 0.01  # a check that took longer is repeated, since its result may be outdated
MAX_CONSECUTIVE_CHECKS = 3  # the last result counts even if it took too long


def _views(parts: Sequence[Part]) -> list[memoryview]:
    return [memoryview(part) for part in parts if len(part)]


def _check_promptly(check: Callable[[], Result]) -> Result:
    """Returns the result of a check just before a write, and repeats it if the process stalled meanwhile."""
    for _ in range(MAX_CONSECUTIVE_CHECKS):
        started_at = monotonic()
        result = check()
        if monotonic() - started_at < MAX_CHECK_SECONDS:
            break
    return result


class QueuedWrite:
    """A message in the queue: its parts, and the functions to call before its first byte is written."""

    __slots__ = ("fallback", "may_start", "on_done", "parts", "serialize", "started")

    def __init__(
        self,
        parts: Sequence[Part],
        may_start: Callable[[], bool] | None,
        serialize: Callable[[], Sequence[Part]] | None,
    ) -> None:
        self.may_start, self.serialize = may_start, serialize
        self.started = False
        self.on_done: Callable[[bool], None] | None = None  # called with whether the message was written
        self.fallback: Callable[[], Sequence[Part]] | None = None  # returns what may be written instead
        self.parts = _views(parts)

    def prepare(self) -> bool:
        """Returns whether the message may be written; calls `serialize`, if given, to get its parts."""
        if self.started:
            return True
        if self.may_start and not self.may_start():
            return False
        if self.serialize:
            self.parts = _views(self.serialize())
        return True

    def size(self) -> int:
        """Returns the number of bytes that are not written yet."""
        return sum(map(len, self.parts))

    def join_small_parts(self) -> None:
        """Joins the parts of a short message, since each part takes more memory than its bytes."""
        if len(self.parts) > 1 and self.size() <= MAX_JOINED_BYTES:
            self.parts = [memoryview(b"".join(self.parts))]

    def consume(self, sent: int) -> int:
        """Removes written bytes from the parts; returns how many of them belong to later messages."""
        while self.parts and sent:
            self.started = True
            step = min(sent, len(self.parts[0]))
            sent -= step
            if step == len(self.parts[0]):
                del self.parts[0]
            else:
                self.parts[0] = self.parts[0][step:]
        return sent

    def notify(self, written: bool) -> None:
        """Calls `on_done` once and drops it.

        The callback refers to the message. If it were kept, the reference cycle would hold an answer in
        memory until the next garbage collection.
        """
        on_done, self.on_done = self.on_done, None
        if on_done:
            on_done(written)


class ByteCounter(Protocol):
    """Counts the bytes that wait in a write queue."""

    def add(self, change: int) -> None:
        """Adds a number of bytes; a negative one subtracts."""


class NullByteCounter:
    """A counter for queues whose bytes are not counted."""

    def add(self, change: int) -> None:
        """Does nothing."""


class WriteQueue:
    """The messages to one peer, in order.

    A message whose first byte was written is written completely, or the connection ends.
    """

    def __init__(self, sock: socket.socket, counter: ByteCounter | None = None) -> None:
        self._sock = sock
        self._counter: ByteCounter = counter or NullByteCounter()
        self._queue: deque[QueuedWrite] = deque()
        self._not_empty = anyio.Event()
        self._stopped = False
        self._waiting_scope = anyio.CancelScope()
        self.error: ConnectionEndedError | None = None
        self.size = 0  # bytes that the queue holds, with the memory for its messages
        self.written = 0  # bytes written so far

    def put(
        self,
        parts: Sequence[Part],
        may_start: Callable[[], bool] | None = None,
        on_done: Callable[[bool], None] | None = None,
        serialize: Callable[[], Sequence[Part]] | None = None,
    ) -> QueuedWrite:
        """Adds a message and writes what the socket accepts at once; `run` writes the rest.

        Args:
            parts: The message, unless `serialize` is given.
            may_start: Called just before the first byte is written; False drops the message.
            on_done: Called with True once the message is written, or with False if `may_start` dropped it.
            serialize: Returns the message; called just before the first byte is written.
        """
        write = QueuedWrite(parts, may_start, serialize)
        write.on_done = on_done
        if not self._queue and self._write_at_once(write):
            return write
        write.join_small_parts()
        self._queue.append(write)
        self._change_size(write.size() + QUEUED_WRITE_BYTES)
        if len(self._queue) == 1:
            self._flush()
        if self._queue:
            self._not_empty.set()
        return write

    def _write_at_once(self, write: QueuedWrite) -> bool:
        """Writes a message while the queue is empty, usually all of it; returns whether all was written."""
        if self.error or not _check_promptly(write.prepare) or not write.parts:
            return False
        try:
            sent = self._sock.sendmsg(write.parts)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as fault:
            self.error = ConnectionEndedError(EndReason.CONNECTION_LOST, str(fault))
            return False
        self.written += sent
        write.consume(sent)
        if write.parts:
            return False
        write.notify(True)
        return True

    def _change_size(self, change: int) -> None:
        self.size += change
        self._counter.add(change)

    def __len__(self) -> int:
        """Returns the number of messages of which a part is not written."""
        return len(self._queue)

    def use_fallbacks(self) -> int:
        """Replaces the messages of which no byte is written by their fallbacks; returns how many."""
        replaced = 0
        for write in self._queue:
            if write.started or write.fallback is None:
                continue
            size_before = write.size()
            write.parts, write.fallback = _views(write.fallback()), None
            self._change_size(write.size() - size_before)
            replaced += 1
        return replaced

    def flush(self) -> None:
        """Writes what the system takes now, which may be less than makes the socket writable."""
        self._flush()

    def clear(self) -> None:
        """Drops all messages, after the connection has ended."""
        self._queue.clear()
        if self.size:
            self._change_size(-self.size)

    def cancel(self, write: QueuedWrite) -> bool:
        """Removes a message from the queue; returns False if some of it was written already."""
        if write.started:
            return False
        write.on_done = None
        if write in self._queue:
            self._queue.remove(write)
            self._change_size(-write.size() - QUEUED_WRITE_BYTES)
        return True

    def _flush(self) -> None:
        while self._queue and not self.error:
            parts = _check_promptly(self._next_parts)
            if not parts:
                continue
            try:
                sent = self._sock.sendmsg(parts)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as fault:
                self.error = ConnectionEndedError(EndReason.CONNECTION_LOST, str(fault))
                return
            self._consume(sent)

    def _next_parts(self) -> list[memoryview]:
        """Returns the parts to write next; removes the messages that may not be written any more."""
        parts: list[memoryview] = []
        rejected: list[QueuedWrite] = []
        for write in self._queue:
            size_before = write.size()
            if not write.prepare():
                rejected.append(write)
                continue
            self._change_size(write.size() - size_before)
            if parts and len(parts) + len(write.parts) > MAX_PARTS:
                break
            parts.extend(write.parts)
        for write in rejected:
            self._queue.remove(write)  # `may_start` has become false since the message was queued
            self._change_size(-write.size() - QUEUED_WRITE_BYTES)
            write.notify(False)
        return parts

    def _consume(self, sent: int) -> None:
        self.written += sent
        self._change_size(-sent)
        while self._queue:
            write = self._queue[0]
            sent = write.consume(sent)
            if write.parts:
                return
            self._queue.popleft()
            self._change_size(-QUEUED_WRITE_BYTES)
            write.notify(True)

    def acknowledged_bytes(self) -> int:
        """Returns how many of the written bytes the peer's system has acknowledged."""
        return self.written - unacknowledged_bytes(self._sock)

    async def drain(self, max_behind_seconds: float) -> None:
        """Writes the queued messages until none is left, or the peer is this far behind the least pace.

        No message may be added meanwhile.
        """
        pace = ReadPace(self.acknowledged_bytes(), monotonic())
        while self._queue and not self.error:
            self._flush()
            pace.record(self.acknowledged_bytes(), monotonic())
            if not self._queue or pace.behind_seconds(monotonic()) >= max_behind_seconds:
                return
            try:
                with anyio.move_on_after(DELIVERY_CHECK_SECONDS):
                    await anyio.wait_writable(self._sock)
            except (OSError, ValueError, anyio.ClosedResourceError):
                return

    def stop(self) -> None:
        """Makes `run` return.

        A task that is cancelled instead leaves a reference cycle through its exception, which keeps the whole
        connection in memory until the next full garbage collection.
        """
        self._stopped = True
        self._not_empty.set()
        self._waiting_scope.cancel()

    async def run(self, stall_timeout_seconds: float) -> None:
        """Writes the queued messages until `stop` is called.

        Raises:
            ConnectionEndedError: The connection has ended, or the peer read nothing for
                `stall_timeout_seconds`.
        """
        while not self._stopped:
            if self.error:
                raise self.error
            if not self._queue:
                self._not_empty = anyio.Event()
                await self._not_empty.wait()
                continue
            await self._write_when_possible(stall_timeout_seconds)

    async def _write_when_possible(self, stall_timeout_seconds: float) -> None:
        with anyio.move_on_after(stall_timeout_seconds) as self._waiting_scope:
            try:
                await anyio.wait_writable(self._sock)
            except (OSError, ValueError, anyio.ClosedResourceError):
                raise ConnectionEndedError(EndReason.CONNECTION_LOST) from None
        if self._stopped:
            return
        written_before = self.written
        self._flush()  # after a time-out too: it takes less room than the system asks for to report writable
        timed_out = self._waiting_scope.cancelled_caught
        if timed_out and self._queue and self.written == written_before:
            raise ConnectionEndedError(EndReason.PEER_STALLED, "peer does not read what it is sent")
