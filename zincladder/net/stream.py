"""Sockets with parsing in place and gathered writes."""

from __future__ import annotations

import errno
import fcntl
import math
import select
import socket
import struct
import termios
from array import array
from collections import deque
from collections.abc import Callable, Sequence
from time import monotonic
from typing import NamedTuple, Protocol, TypeVar

import anyio

from zincladder.core.attempt_end import EndReason
from zincladder.net.errors import ConnectionEndedError

Part = bytes | bytearray | memoryview
Looked = TypeVar("Looked")
FIRST_BUFFER = 8192
STEP = 1 << 16  # room made for a body that has not come yet
MOST_PARTS = 64  # of one gathered write; the system takes 1,024
LOOK = 1 << 16  # bytes that a look at what lies unread sees
_PEEKED = bytearray(LOOK)
PROMPT, MOST_LOOKS = 0.01, 3  # seconds for which a last look is good, and looks in a row on a slow machine
TCP_INFO_SIZE, LAST_DATA_RECV_AT, _LAST_DATA_RECV = 104, 52, struct.Struct("=I")
GONE = (errno.ECONNRESET, errno.EPIPE, errno.ETIMEDOUT, errno.EBADF, errno.ENOTCONN, errno.ECONNABORTED)


class Inbox:
    """What a peer sends. Heads stay in one buffer and are parsed there; bodies are received in place."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._buffer = bytearray(FIRST_BUFFER)
        self._start = self._end = 0
        self._drained = False
        self.received = 0
        self.lacking = 0  # bytes of what `exactly` waits for that have not come

    def buffered(self) -> int:
        return self._end - self._start

    async def _recv(self, into: memoryview, patience: float = math.inf) -> int:
        while True:
            if self._drained:  # the last read took all there was: asking at once would be in vain
                await self._readable(patience)
            try:
                got = self._sock.recv_into(into)
            except (BlockingIOError, InterruptedError):
                self._drained = True
                continue
            except OSError as fault:
                raise ConnectionEndedError(EndReason.CONNECTION_LOST, str(fault)) from None
            self._drained = got < len(into)
            if not got:
                raise ConnectionEndedError(EndReason.CLOSED_BY_PEER)
            self.received += got
            return got

    async def _readable(self, patience: float) -> None:
        try:
            if patience < math.inf:
                with anyio.fail_after(patience):
                    await anyio.wait_readable(self._sock)
            else:
                await anyio.wait_readable(self._sock)
        except TimeoutError:
            # Guards the peer against a halt of this process, whose timers go before what lies there unread.
            lies = unread(self._sock, 1)
            if not (lies.data or lies.ended):
                raise ConnectionEndedError(EndReason.PROTOCOL_ERROR, "a message that broke off") from None
        except (OSError, ValueError, anyio.ClosedResourceError):
            raise ConnectionEndedError(EndReason.CONNECTION_LOST) from None

    async def _more(self, most: int, patience: float = math.inf) -> None:
        """Reads on, making room first: the unread part moves to the front or the buffer grows."""
        if self._start == self._end:
            self._start = self._end = 0
        if self._end == len(self._buffer):
            if self._start:
                unread = self._buffer[self._start : self._end]
                self._buffer[: len(unread)] = unread
                self._start, self._end = 0, len(unread)
            elif len(self._buffer) >= most:
                raise ConnectionEndedError(EndReason.PROTOCOL_ERROR, f"a head of over {most} bytes")
            else:
                self._buffer.extend(bytes(len(self._buffer)))
        with memoryview(self._buffer) as view:
            self._end += await self._recv(view[self._end :], patience)

    async def some(self, size: int = 1) -> None:
        """Waits until so many bytes are here and takes none: cancelling it loses nothing."""
        while self.buffered() < size:
            await self._more(FIRST_BUFFER)

    def held(self) -> bytes:
        """What is here and was not taken yet."""
        return bytes(memoryview(self._buffer)[self._start : self._end])

    async def line(self, most: int, patience: float = math.inf) -> bytes:
        """The next line without its CR LF; `patience` is for a stretch without a byte."""
        seen = 0
        while True:
            at = self._buffer.find(b"\r\n", self._start + seen, self._end)
            if at >= 0:
                found = bytes(memoryview(self._buffer)[self._start : at])
                self._start = at + 2
                return found
            seen = max(0, self.buffered() - 1)
            if seen >= most:
                raise ConnectionEndedError(EndReason.PROTOCOL_ERROR, f"a line of over {most} bytes")
            await self._more(2 * most, patience)

    async def exactly(self, size: int, patience: float = math.inf) -> bytearray:
        """The next `size` bytes; what is not here yet is received straight into its place."""
        have = min(size, self.buffered())
        body = self._buffer[self._start : self._start + have]
        self._start += have
        while have < size:
            # Guards the memory against a length that is only claimed: room is made as the bytes come.
            body.extend(bytes(min(size - have, max(STEP, have))))
            with memoryview(body) as view:
                while have < len(body):
                    self.lacking = size - have
                    have += await self._recv(view[have:], patience)
        self.lacking = 0
        return body


def _views(parts: Sequence[Part]) -> list[memoryview]:
    return [memoryview(p) for p in parts if len(p)]


def _promptly(look: Callable[[], Looked]) -> Looked:
    """What a look gives just before a write; a process that stood still meanwhile looks again."""
    for _ in range(MOST_LOOKS):
        began = monotonic()
        found = look()
        if monotonic() - began < PROMPT:
            break
    return found


class Entry:
    """One message on its way out: its parts, and what to ask when its first byte is about to go."""

    __slots__ = ("begun", "done", "may_go", "parts", "write")

    def __init__(
        self,
        parts: Sequence[Part],
        may_go: Callable[[], bool] | None,
        write: Callable[[], Sequence[Part]] | None,
    ) -> None:
        self.may_go, self.write = may_go, write
        self.begun = False
        self.done: Callable[[bool], None] | None = None  # told whether it was written
        self.parts = _views(parts)

    def look(self) -> bool:
        """Whether it may go; it is then written down as of this moment, if it was given that way."""
        if self.begun:
            return True
        if self.may_go and not self.may_go():
            return False
        if self.write:
            self.parts = _views(self.write())
        return True

    def size(self) -> int:
        """Bytes that are not written yet."""
        return sum(map(len, self.parts))

    def take(self, sent: int) -> int:
        """Takes written bytes off; gives how many were not this message's."""
        while self.parts and sent:
            self.begun = True
            step = min(sent, len(self.parts[0]))
            sent -= step
            if step == len(self.parts[0]):
                del self.parts[0]
            else:
                self.parts[0] = self.parts[0][step:]
        return sent

    def over(self, written: bool) -> None:
        """Tells whoever waits for it, once.

        Guards memory: who is told holds the message, and a circle of the two would keep an answer until
        the next collection.
        """
        done, self.done = self.done, None
        if done:
            done(written)


class Counter(Protocol):
    """Counts the bytes that wait in an outbox."""

    def add(self, change: int) -> None: ...


class Nobody:
    """Counts nothing."""

    def add(self, change: int) -> None:
        """What waits here concerns no one else."""


class Outbox:
    """Messages to one peer, in order. One that has begun is written whole or the connection ends."""

    def __init__(self, sock: socket.socket, counter: Counter | None = None) -> None:
        self._sock = sock
        self._counter: Counter = counter or Nobody()
        self._queue: deque[Entry] = deque()
        self._news = anyio.Event()
        self.ended: ConnectionEndedError | None = None
        self.size = self.written = 0  # bytes that wait here, and that went out of those

    def put(
        self,
        parts: Sequence[Part],
        may_go: Callable[[], bool] | None = None,
        done: Callable[[bool], None] | None = None,
        write: Callable[[], Sequence[Part]] | None = None,
    ) -> Entry:
        """Writes what the socket takes at once; `run` writes the rest. `done` hears of the last byte, or that
        `may_go` turned it back. `write` gives the parts as of the moment in which the first byte goes.
        """
        entry = Entry(parts, may_go, write)
        entry.done = done
        if not self._queue and self._at_once(entry):
            return entry
        self._queue.append(entry)
        self._grow(entry.size())
        if len(self._queue) == 1:
            self._flush()
        if self._queue:
            self._news.set()
        return entry

    def _at_once(self, entry: Entry) -> bool:
        """Writes a message that nothing is before; True if all of it went, as it nearly always does."""
        if self.ended or not _promptly(entry.look) or not entry.parts:
            return False
        try:
            sent = self._sock.sendmsg(entry.parts)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as fault:
            self.ended = ConnectionEndedError(EndReason.CONNECTION_LOST, str(fault))
            return False
        entry.take(sent)
        if entry.parts:
            return False
        entry.over(True)
        return True

    def _grow(self, change: int) -> None:
        self.size += change
        self._counter.add(change)

    def forget(self) -> None:
        """The connection has ended: what still waits will not be written."""
        self._queue.clear()
        if self.size:
            self._grow(-self.size)

    def drop(self, entry: Entry) -> bool:
        """Takes back a message of which no byte was written; False if one was."""
        if entry.begun:
            return False
        entry.done = None
        if entry in self._queue:
            self._queue.remove(entry)
            self._grow(-entry.size())
        return True

    def _flush(self) -> None:
        while self._queue and not self.ended:
            parts = _promptly(self._next)
            if not parts:
                continue
            try:
                sent = self._sock.sendmsg(parts)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as fault:
                self.ended = ConnectionEndedError(EndReason.CONNECTION_LOST, str(fault))
                return
            self._sent(sent)

    def _next(self) -> list[memoryview]:
        """What goes next, as of this moment; what may not go any more is taken out of the queue."""
        parts: list[memoryview] = []
        turned: list[Entry] = []
        for entry in self._queue:
            before = entry.size()
            if not entry.look():
                turned.append(entry)
                continue
            self._grow(entry.size() - before)
            if parts and len(parts) + len(entry.parts) > MOST_PARTS:
                break
            parts.extend(entry.parts)
        for entry in turned:
            self._queue.remove(entry)  # told otherwise since it was queued
            self._grow(-entry.size())
            entry.over(False)
        return parts

    def _sent(self, sent: int) -> None:
        self.written += sent
        self._grow(-sent)
        while self._queue:
            entry = self._queue[0]
            sent = entry.take(sent)
            if entry.parts:
                return
            self._queue.popleft()
            entry.over(True)

    async def finish(self, patience: float) -> None:
        """Writes what still waits, for a bounded time; nothing is put any more."""
        with anyio.move_on_after(patience):
            while self._queue and not self.ended:
                try:
                    await anyio.wait_writable(self._sock)
                except (OSError, ValueError, anyio.ClosedResourceError):
                    return
                self._flush()

    async def run(self, patience: float) -> None:
        """Writes what `put` could not; ends with an error when the peer reads nothing for too long."""
        while True:
            if self.ended:
                raise self.ended
            if not self._queue:
                self._news = anyio.Event()
                await self._news.wait()
                continue
            with anyio.move_on_after(patience) as waiting:
                try:
                    await anyio.wait_writable(self._sock)
                except (OSError, ValueError, anyio.ClosedResourceError):
                    raise ConnectionEndedError(EndReason.CONNECTION_LOST) from None
            before = self.written
            self._flush()
            if waiting.cancelled_caught and self._queue and self.written == before:
                raise ConnectionEndedError(EndReason.PEER_STALLED, "the peer does not read")


class Unread(NamedTuple):
    """What the system holds of a connection that was not read yet."""

    data: bytes  # the first LOOK of it
    ended: bool  # whether the peer has ended its side


def unread(sock: socket.socket, most: int = LOOK) -> Unread:
    """What lies unread, asked of the system and not of what was read. Nothing is taken from the socket.

    With bytes unread before the peer's end only RDHUP tells of it.
    """
    try:
        got = sock.recv_into(_PEEKED, most, socket.MSG_PEEK)
    except (BlockingIOError, InterruptedError):
        return Unread(b"", False)
    except OSError:
        return Unread(b"", True)
    if not got:
        return Unread(b"", True)
    asked = select.poll()
    asked.register(sock, select.POLLRDHUP)
    return Unread(bytes(memoryview(_PEEKED)[:got]), bool(asked.poll(0)))


def left(sock: socket.socket) -> bool:
    """Whether the peer has ended its side of the connection, as the system knows it."""
    return unread(sock, 1).ended


def newest_byte_age(sock: socket.socket) -> float | None:
    """Seconds since the newest byte of a connection came in, read or not; None where the system tells none.

    From `tcpi_last_data_recv` of TCP_INFO (tcp(7), linux/tcp.h), which counts in milliseconds.
    """
    try:
        told = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
    except OSError:
        return None
    if len(told) < TCP_INFO_SIZE or not told[0]:  # a state of 0 is none: whoever answers does not know
        return None
    return int(_LAST_DATA_RECV.unpack_from(told, LAST_DATA_RECV_AT)[0]) / 1000


def unsent(sock: socket.socket) -> bool:
    """Whether the peer's system has not taken all that was written; False where this system tells none."""
    waiting = array("i", [0])
    try:
        fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, waiting)  # SIOCOUTQ of tcp(7)
    except OSError:
        return False
    return waiting[0] > 0


def family(host: str) -> socket.AddressFamily:
    """The family of an address in text."""
    return socket.AF_INET6 if ":" in host else socket.AF_INET


async def connect(host: str, port: int) -> socket.socket:
    """A connection, or OSError; cancelling it closes the socket."""
    sock = socket.socket(family(host), socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            sock.connect((host, port))
        except BlockingIOError:
            await anyio.wait_writable(sock)
            fault = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if fault:
                raise OSError(fault, "connect") from None
    except BaseException:
        sock.close()
        raise
    return sock
