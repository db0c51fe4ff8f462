"""A link on a TCP connection: greets, sends and receives messages. On anyio."""

from __future__ import annotations

import contextlib
import math
from collections import deque
from collections.abc import Callable
from typing import Any, TypeVar

import anyio
import anyio.abc
import msgspec

from zincladder.config import Address
from zincladder.links.errors import FrameError, HandshakeRejectedError
from zincladder.links.frames import (
    MAX_BODY_BYTES,
    MAX_GREETING_BYTES,
    FrameDecoder,
    Greeting,
    Hello,
    Rejected,
    Welcome,
    encode_frame,
)

IO_TIMEOUT_SECONDS = 2.0  # for a connection with its greeting, and for a write that makes no progress
READ_BYTES = 64 << 10
MAX_REASON_LENGTH = 300
MIN_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 1.0
MAX_BACKOFF_DOUBLINGS = 5
T = TypeVar("T")
CONNECTION_ERRORS = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    TimeoutError,
)
LINK_ERRORS = (*CONNECTION_ERRORS, FrameError, HandshakeRejectedError)


class Link:
    """One connection to another process, before the greeting or after it."""

    def __init__(self, stream: anyio.abc.ByteStream) -> None:
        self._stream, self._decoder = stream, FrameDecoder(MAX_GREETING_BYTES)
        self._bodies: deque[bytes] = deque()
        self._send_lock = anyio.Lock()

    async def send(self, message: Any) -> None:
        """One message. TimeoutError where the other side does not take it."""
        data = encode_frame(msgspec.msgpack.encode(message))
        async with self._send_lock:
            with anyio.fail_after(IO_TIMEOUT_SECONDS):
                await self._stream.send(data)

    async def receive(self, kind: type[T] | Any) -> T | Any:
        """The next message, of that type. FrameError for anything else."""
        while not self._bodies:
            self._bodies.extend(self._decoder.feed(await self._stream.receive(READ_BYTES)))
        try:
            return msgspec.msgpack.decode(self._bodies.popleft(), type=kind)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            raise FrameError(f"a message that cannot be read: {error}") from None

    def handshake_done(self) -> None:
        """The other side was accepted, and may send messages of full size."""
        self._decoder.max_body_bytes = MAX_BODY_BYTES

    async def close(self) -> None:
        """Ends the connection at once, whatever was not sent."""
        with anyio.CancelScope(shield=True), contextlib.suppress(*CONNECTION_ERRORS):
            await anyio.aclose_forcefully(self._stream)


async def connect(address: Address, hello: Hello) -> tuple[Link, Welcome]:
    """A link to whoever listens at an address, and its greeting.

    HandshakeRejectedError where it rejects this one, else one of CONNECTION_ERRORS or FrameError.
    """
    with anyio.fail_after(IO_TIMEOUT_SECONDS):
        link = Link(await anyio.connect_tcp(*address))
        try:
            await link.send(hello)
            answer = await link.receive(Greeting)
        except BaseException:
            await link.close()
            raise
    if isinstance(answer, Rejected):
        await link.close()
        raise HandshakeRejectedError(answer.reason[:MAX_REASON_LENGTH])
    link.handshake_done()
    return link, answer


async def accept_handshake(link: Link, welcome: Welcome, rejection: Callable[[Hello], str]) -> Hello:
    """The greeting of the side that has connected.

    Where `rejection` gives a reason, it is sent, and HandshakeRejectedError is raised.
    """
    with anyio.fail_after(IO_TIMEOUT_SECONDS):
        hello: Hello = await link.receive(Hello)
        if reason := rejection(hello):
            await link.send(Rejected(reason))
            raise HandshakeRejectedError(f"{hello.role[:20]} {hello.name[:40]!r}: {reason}")
        await link.send(welcome)
    link.handshake_done()
    return hello


class SendQueue:
    """Messages that wait for a link, bounded; where there are too many, the oldest are dropped."""

    def __init__(self, max_messages: int) -> None:
        self._messages: deque[Any] = deque(maxlen=max_messages)
        self._message_came = anyio.Event()

    def put(self, message: Any) -> None:
        """Adds a message."""
        self._messages.append(message)
        self._message_came.set()

    def clear(self) -> None:
        """Drops all messages."""
        self._messages.clear()

    @property
    def is_empty(self) -> bool:
        """Whether all messages are on their way."""
        return not self._messages

    async def send_to(self, link: Link) -> None:
        """Sends all messages as they come, until the link fails."""
        while True:
            while self._messages:
                await link.send(self._messages.popleft())
            self._message_came = anyio.Event()
            await self._message_came.wait()


class ReconnectBackoff:
    """Waits between attempts to connect: doubled each time up to a bound, each spread by half either way."""

    def __init__(self, draw: Callable[[], float]) -> None:
        self._draw, self._attempts = draw, 0

    def reset(self) -> None:
        """The link has worked."""
        self._attempts = 0

    def next_seconds(self) -> float:
        """How long to wait before the next attempt."""
        doublings = min(self._attempts, MAX_BACKOFF_DOUBLINGS)
        self._attempts += 1
        seconds = min(MAX_BACKOFF_SECONDS, math.ldexp(MIN_BACKOFF_SECONDS, doublings))
        return seconds * (0.5 + self._draw())
