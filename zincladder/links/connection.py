"""Links: TCP connections that begin with a handshake and carry messages. Uses anyio."""

from __future__ import annotations

import contextlib
import math
from collections import deque
from collections.abc import Callable
from typing import Any, TypeVar

import anyio
import anyio.abc
import msgspec
import structlog

from zincladder.config import Address
from zincladder.links.errors import FrameError, HandshakeRejectedError, MessageTooLargeError
from zincladder.links.frames import (
    MAX_BODY_BYTES,
    MAX_HANDSHAKE_BYTES,
    FrameDecoder,
    HandshakeResponse,
    Hello,
    Rejected,
    Welcome,
    encode_frame,
)

IO_TIMEOUT_SECONDS = 2.0  # connecting may take so long, and so may sending a message, or a Hello to arrive
FRAME_TIMEOUT_SECONDS = 10.0  # between two parts of one message
READ_BYTES = 64 << 10
MAX_REASON_LENGTH = 300
MIN_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 1.0
MAX_BACKOFF_DOUBLINGS = 5
T = TypeVar("T")
log = structlog.get_logger()
CONNECTION_ERRORS = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    TimeoutError,
)
LINK_ERRORS = (*CONNECTION_ERRORS, FrameError, HandshakeRejectedError)


class IncompleteFrames:
    """Counts the bytes that the incomplete frames of several links hold, and bounds their sum."""

    def __init__(self, max_bytes: float = math.inf) -> None:
        self._max_bytes, self.held_bytes = max_bytes, 0

    def change(self, by: int) -> None:
        """Adds bytes; a negative number subtracts. Raises FrameError if the sum exceeds the maximum."""
        self.held_bytes += by
        if by > 0 and self.held_bytes > self._max_bytes:
            raise FrameError(f"incomplete messages of all links exceed {self._max_bytes} bytes")


class Link:
    """A connection to another process, before or after the handshake."""

    def __init__(
        self, stream: anyio.abc.ByteStream, incomplete_frames: IncompleteFrames | None = None
    ) -> None:
        """Wraps a stream; `incomplete_frames` bounds what this link and others hold together."""
        self._stream, self._decoder = stream, FrameDecoder(MAX_HANDSHAKE_BYTES)
        self._incomplete_frames, self._incomplete_bytes = incomplete_frames or IncompleteFrames(), 0
        self._bodies: deque[bytes] = deque()
        self._send_lock = anyio.Lock()

    async def send(self, message: Any) -> None:
        """Sends one message.

        Raises TimeoutError if the peer does not read it in time, and MessageTooLargeError if it does not fit
        a frame; the link can still be used then.
        """
        data = encode_frame(msgspec.msgpack.encode(message))
        async with self._send_lock:
            with anyio.fail_after(IO_TIMEOUT_SECONDS):
                await self._stream.send(data)

    async def receive(self, message_type: type[T] | Any) -> T | Any:
        """Waits for the next message, which has to be of `message_type`. Raises FrameError if it isn't.

        Raises TimeoutError if the rest of a message does not arrive in time.
        """
        while not self._bodies:
            timeout_seconds = FRAME_TIMEOUT_SECONDS if self._incomplete_bytes else math.inf
            with anyio.fail_after(timeout_seconds):
                received = await self._stream.receive(READ_BYTES)
            self._bodies.extend(self._decoder.feed(received))
            self._count_incomplete(self._decoder.incomplete_bytes)
        try:
            return msgspec.msgpack.decode(self._bodies.popleft(), type=message_type)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            raise FrameError(f"cannot decode a message: {error}") from None

    def _count_incomplete(self, size: int) -> None:
        change, self._incomplete_bytes = size - self._incomplete_bytes, size
        self._incomplete_frames.change(change)

    def handshake_done(self) -> None:
        """Allows messages of full size, now that the peer is accepted."""
        self._decoder.max_body_bytes = MAX_BODY_BYTES

    async def close(self) -> None:
        """Closes the connection at once and discards what was not sent."""
        self._count_incomplete(0)
        with anyio.CancelScope(shield=True), contextlib.suppress(*CONNECTION_ERRORS):
            await anyio.aclose_forcefully(self._stream)


async def connect(
    address: Address, hello: Hello, handshake_timeout_seconds: float = IO_TIMEOUT_SECONDS
) -> tuple[Link, Welcome]:
    """Connects to a replica, and returns the link and the replica's Welcome.

    `handshake_timeout_seconds` is how long the replica may take to answer once the connection is established.
    Raises HandshakeRejectedError if the replica rejects the connection, and one of CONNECTION_ERRORS
    or FrameError if the connection or the handshake fails.
    """
    with anyio.fail_after(IO_TIMEOUT_SECONDS):
        link = Link(await anyio.connect_tcp(*address))
    try:
        await link.send(hello)
        with anyio.fail_after(handshake_timeout_seconds):
            answer = await link.receive(HandshakeResponse)
    except BaseException:
        await link.close()
        raise
    if isinstance(answer, Rejected):
        await link.close()
        raise HandshakeRejectedError(answer.reason[:MAX_REASON_LENGTH])
    link.handshake_done()
    return link, answer


async def accept_handshake(link: Link, welcome: Welcome, rejection_reason: Callable[[Hello], str]) -> Hello:
    """Performs the handshake with a process that has connected, and returns its Hello.

    If `rejection_reason` returns a reason, sends it to the process and raises HandshakeRejectedError.
    """
    with anyio.fail_after(IO_TIMEOUT_SECONDS):
        hello: Hello = await link.receive(Hello)
        if reason := rejection_reason(hello):
            await link.send(Rejected(reason))
            raise HandshakeRejectedError(f"{hello.role[:20]} {hello.name[:40]!r}: {reason}")
        await link.send(welcome)
    link.handshake_done()
    return hello


class SendQueue:
    """A bounded queue of messages to send over a link. If it is full, the oldest message is dropped."""

    def __init__(self, max_messages: int) -> None:
        self._messages: deque[Any] = deque(maxlen=max_messages)
        self._message_added = anyio.Event()

    def put(self, message: Any) -> None:
        """Adds a message and wakes the sending task."""
        self._messages.append(message)
        self._message_added.set()

    def clear(self) -> None:
        """Drops all messages."""
        self._messages.clear()

    @property
    def is_empty(self) -> bool:
        """Whether the sending task has taken all messages."""
        return not self._messages

    async def send_to(self, link: Link) -> None:
        """Sends messages as they are added, until the link fails. Drops those that do not fit a frame."""
        while True:
            while self._messages:
                message = self._messages.popleft()
                try:
                    await link.send(message)
                except MessageTooLargeError as error:
                    log.error("message dropped", message=type(message).__name__, reason=str(error))
            self._message_added = anyio.Event()
            await self._message_added.wait()


class ReconnectBackoff:
    """Delays between connection attempts: doubled after each one up to a limit, with a jitter of ±50%.

    `random_fraction` returns a random number between 0 and 1.
    """

    def __init__(self, random_fraction: Callable[[], float]) -> None:
        self._random_fraction, self._attempts = random_fraction, 0

    def reset(self) -> None:
        """Starts over with the shortest delay, because a connection has worked."""
        self._attempts = 0

    def next_seconds(self) -> float:
        """Returns the delay before the next attempt."""
        doublings = min(self._attempts, MAX_BACKOFF_DOUBLINGS)
        self._attempts += 1
        seconds = min(MAX_BACKOFF_SECONDS, math.ldexp(MIN_BACKOFF_SECONDS, doublings))
        return seconds * (0.5 + self._random_fraction())
