"""A link on a TCP connection: greets, sends and receives bodies. On anyio."""

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
from zincladder.links.frames import (
    MAX_BODY_BYTES,
    MAX_GREETING_BYTES,
    FrameDecoder,
    FrameError,
    Greeting,
    HandshakeRejectedError,
    Hello,
    Rejected,
    Welcome,
    encode_frame,
)

IO_TIMEOUT_SECONDS = 2.0  # seconds for a connection and its greeting, and for a write that makes no way
READ_BYTES = 64 << 10
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
    """One connection to another process, after the greeting or before it."""

    def __init__(self, stream: anyio.abc.ByteStream) -> None:
        self._stream, self._frames = stream, FrameDecoder(MAX_GREETING_BYTES)
        self._bodies: deque[bytes] = deque()
        self._turn = anyio.Lock()

    async def send(self, message: Any) -> None:
        """One message; TimeoutError where the other side does not take it."""
        data = encode_frame(msgspec.msgpack.encode(message))
        async with self._turn:
            with anyio.fail_after(IO_TIMEOUT_SECONDS):
                await self._stream.send(data)

    async def receive(self, kind: type[T] | Any) -> T | Any:
        """The next message, as one of the kind. Spoilt for anything else."""
        while not self._bodies:
            self._bodies.extend(self._frames.feed(await self._stream.receive(READ_BYTES)))
        try:
            return msgspec.msgpack.decode(self._bodies.popleft(), type=kind)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as fault:
            raise FrameError(f"a message that cannot be read: {fault}") from None

    def met(self) -> None:
        """Whoever is at the other end has been greeted, and may say more."""
        self._frames.most = MAX_BODY_BYTES

    async def close(self) -> None:
        with anyio.CancelScope(shield=True), contextlib.suppress(*CONNECTION_ERRORS):
            await anyio.aclose_forcefully(self._stream)


async def connect(where: Address, hello: Hello) -> tuple[Link, Welcome]:
    """A link to whoever listens there. Stranger where that one refuses, else one of ENDED or Spoilt."""
    with anyio.fail_after(IO_TIMEOUT_SECONDS):
        link = Link(await anyio.connect_tcp(*where))
        try:
            await link.send(hello)
            answer = await link.receive(Greeting)
        except BaseException:
            await link.close()
            raise
    if isinstance(answer, Rejected):
        await link.close()
        raise HandshakeRejectedError(answer.why[:300])
    link.met()
    return link, answer


async def accept_handshake(link: Link, me: Welcome, why_not: Callable[[Hello], str]) -> Hello:
    """The greeting of whoever has connected. Stranger, after telling it why, where `why_not` says so."""
    with anyio.fail_after(IO_TIMEOUT_SECONDS):
        hello: Hello = await link.receive(Hello)
        if why := why_not(hello):
            await link.send(Rejected(why))
            raise HandshakeRejectedError(f"{hello.role[:20]} {hello.name[:40]!r}: {why}")
        await link.send(me)
    link.met()
    return hello


class SendQueue:
    """Messages that wait for a link, bounded; where they are too many, the oldest are lost."""

    def __init__(self, most: int) -> None:
        self._waiting: deque[Any] = deque(maxlen=most)
        self._came = anyio.Event()

    def put(self, message: Any) -> None:
        self._waiting.append(message)
        self._came.set()

    def clear(self) -> None:
        self._waiting.clear()

    @property
    def waiting(self) -> int:
        return len(self._waiting)

    async def send_to(self, link: Link) -> None:
        """Sends all that comes, until the link fails."""
        while True:
            while self._waiting:
                await link.send(self._waiting.popleft())
            self._came = anyio.Event()
            await self._came.wait()


class ReconnectBackoff:
    """Waits between attempts to connect: doubled from 0.05 s to 1 s, each spread by a draw of its own."""

    def __init__(self, draw: Callable[[], float]) -> None:
        self._draw, self._tries = draw, 0

    def met(self) -> None:
        self._tries = 0

    def wait(self) -> float:
        self._tries = min(self._tries + 1, 6)
        return min(1.0, 0.05 * math.ldexp(1, self._tries - 1)) * (0.5 + self._draw())
