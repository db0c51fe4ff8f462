"""A connection to an endpoint that gives each call its own reply and drops what belongs to no open call.

A connection may hold more than the reply that is awaited: a second copy of an earlier one, or a reply that no
call asked for, also one that arrives between a look at the connection and the next call. So each call is sent
under a random sequence number of its own, and the reply is known by it. A server that answers every call with
number 0, as simple implementations do, is recognized by its first reply; its connection is
used for that call alone, as there a reply can be no other call's. The library gets its own number back.
"""

from __future__ import annotations

import secrets
import socket
from collections.abc import Callable
from dataclasses import dataclass

from thrift.Thrift import TMessageType
from thrift.transport.TTransport import TTransportBase, TTransportException

from zincladder.plugin.messages import (
    FRAME_LENGTH_BYTES,
    MessageHead,
    UnreadableMessageError,
    frame,
    is_framed,
    message_size,
    read_head,
    skip_message,
    with_number,
    without_frame,
)

MAX_NUMBER = 2**31 - 1
NO_NUMBER = 0  # in replies of servers that don't return the number of the call
MAX_REPLY_BYTES = 100 << 20  # the limit that Thrift's libraries set for a message by default
MIN_READ_BYTES, MAX_READ_BYTES = 1 << 14, 1 << 18  # of one read; a larger buffer costs time to allocate
CALL_TYPES = (TMessageType.CALL, TMessageType.ONEWAY)
REPLY_TYPES = (TMessageType.REPLY, TMessageType.EXCEPTION)


@dataclass(frozen=True, slots=True)
class Call:
    """A call as the library has written it."""

    data: bytes
    message: bytes  # without frame
    is_framed: bool
    head: MessageHead | None  # None: the call is of a protocol that can't be read

    @classmethod
    def parse(cls, data: bytes) -> Call:
        """Reads the head of a call."""
        message = without_frame(data)
        head = read_head(message)
        is_call = head is not None and head.message_type in CALL_TYPES
        return cls(data, message, is_framed(data), head if is_call else None)

    @property
    def expects_reply(self) -> bool:
        """Whether the server replies to the call."""
        return self.head is None or self.head.message_type == TMessageType.CALL

    def numbered(self, number: int) -> bytes:
        """Returns the bytes to send under a sequence number; a call that can't be read stays as it is."""
        if self.head is None:
            return self.data
        return with_number(self.message, self.head, number, len(self.message), self.is_framed)


class EndpointConnection:
    """One connection, and the call that is open on it."""

    def __init__(self, sock: socket.socket, remaining_seconds: Callable[[], float]) -> None:
        """Wraps a connected socket.

        `remaining_seconds` returns the time left of the call, and raises TTransportException if none is left.
        """
        self._sock, self._remaining_seconds = sock, remaining_seconds
        self._received = bytearray()  # what follows the last message that was read
        self._call: Call | None = None
        self._number = NO_NUMBER
        self._has_sent_call = False
        self._returns_numbers = False  # a reply has come back under the number of its call
        self._may_be_unnumbered = True  # nothing had arrived on the connection before its first call

    def close(self) -> None:
        """Closes the connection."""
        self._sock.close()

    # Calls ----------------------------------------------------------------------------------------

    @property
    def is_clean(self) -> bool:
        """Whether the endpoint has neither closed the connection nor sent anything beyond the last reply."""
        if self._received:
            return False
        self._sock.setblocking(False)
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    @property
    def is_used_up(self) -> bool:
        """Whether the reply to a further call could not be distinguished from an earlier one."""
        return self._has_sent_call and not self._returns_numbers

    def begin(self, call: Call) -> bytes:
        """Makes a call the open one; returns the bytes to send."""
        self._may_be_unnumbered = not self._has_sent_call and self.is_clean
        self._call, self._number = call, 1 + secrets.randbelow(MAX_NUMBER)
        self._has_sent_call |= call.expects_reply
        return call.numbered(self._number)

    def limit_time(self) -> None:
        """Gives the next operation the time that is left. Raises TTransportException if none is left."""
        self._sock.settimeout(self._remaining_seconds())

    def send_at_once(self, data: bytes) -> int:
        """Sends what the system takes of the bytes, and returns its size. Raises OSError."""
        return self._sock.send(data)

    def send(self, data: bytes) -> None:
        """Sends all bytes. Raises OSError, and TTransportException if no time is left."""
        self.limit_time()
        self._sock.sendall(data)

    # Replies --------------------------------------------------------------------------------------

    @property
    def has_begun_reply(self) -> bool:
        """Whether a part of a message has arrived and not its end."""
        return bool(self._received)

    @property
    def can_find_reply_end(self) -> bool:
        """Whether the open call's reply has an end that can be found without its protocol."""
        return self._call is not None and (self._call.is_framed or self._call.head is not None)

    def receive_reply(self) -> bytes:
        """Waits for the reply to the open call, and returns it as the library expects it.

        Raises:
            OSError: The connection has ended before the reply.
            TTransportException: No time is left, or what has arrived is no reply.
        """
        assert self._call is not None
        while True:
            message = self._next_framed_message() if self._call.is_framed else self._next_message()
            if self._call.head is None:
                self._check_that_reply_is_first()
                return frame(message)
            head = read_head(message)
            if head is None or head.message_type not in REPLY_TYPES:
                raise _unreadable("it is no reply of the call's protocol")
            if self._is_for_open_call(head.number):
                return self._as_expected(message, head, self._call)

    def _is_for_open_call(self, number: int) -> bool:
        if number == self._number:
            self._returns_numbers = True
            return True
        return number == NO_NUMBER and self._may_be_unnumbered and not self._returns_numbers

    def _as_expected(self, message: bytes, head: MessageHead, call: Call) -> bytes:
        """Returns a reply under the library's number, without what follows it in the same frame.

        The library would keep that, and take it for its next reply.
        """
        assert call.head is not None
        if not call.is_framed:
            return with_number(message, head, call.head.number, len(message), framed=False)
        try:
            size = message_size(message)
        except (UnreadableMessageError, OSError, TTransportException) as error:
            raise _unreadable(str(error)) from error
        return with_number(message, head, call.head.number, size, framed=True)

    def receive_byte(self) -> bytes:
        """Waits for the next byte of a reply whose end is unknown, so that the library gets none beyond it.

        Raises OSError and TTransportException as `receive_reply`.
        """
        self._check_that_reply_is_first()
        if not self._received:
            self._receive()
        return self._take(1)

    def _check_that_reply_is_first(self) -> None:
        """Raises TTransportException if a reply without a number may not be the open call's."""
        if not self._may_be_unnumbered:
            raise _unreadable("something had arrived on the connection before the call was sent")

    def _next_framed_message(self) -> bytes:
        self._receive_until(FRAME_LENGTH_BYTES)
        size = int.from_bytes(self._received[:FRAME_LENGTH_BYTES], "big", signed=True)
        if not 0 <= size <= MAX_REPLY_BYTES:
            raise _unreadable(f"its length is {size}")
        self._receive_until(FRAME_LENGTH_BYTES + size)
        return self._take(FRAME_LENGTH_BYTES + size, FRAME_LENGTH_BYTES)

    def _next_message(self) -> bytes:
        """Reads a message without frame to its end, which only its protocol shows."""
        self._receive_until(1)
        source = _MessageSource(self._received, self._receive_until)
        try:
            skip_message(source, bytes(self._received[:1]))
        except UnreadableMessageError as error:
            raise _unreadable(str(error)) from error
        return self._take(source.position)

    def _take(self, size: int, skipped: int = 0) -> bytes:
        """Removes the first `size` bytes that were received; returns them without the first `skipped`."""
        with memoryview(self._received) as view:
            data = bytes(view[skipped:size])
        del self._received[:size]
        return data

    def _receive_until(self, size: int) -> None:
        if size > MAX_REPLY_BYTES + FRAME_LENGTH_BYTES:
            raise _unreadable("it is too long")
        while len(self._received) < size:
            self._receive(size - len(self._received))

    def _receive(self, missing_bytes: int = 0) -> None:
        self.limit_time()
        data = self._sock.recv(min(max(MIN_READ_BYTES, missing_bytes), MAX_READ_BYTES))
        if not data:
            raise ConnectionResetError("the connection ended before the whole reply arrived")
        self._received += data


class _MessageSource(TTransportBase):  # type: ignore[misc]
    """Lets a protocol read a message from bytes that are received as it needs them."""

    def __init__(self, received: bytearray, receive_until: Callable[[int], None]) -> None:
        self._received, self._receive_until = received, receive_until
        self.position = 0

    def readAll(self, sz: int) -> bytes:  # noqa: N802 - Thrift's name
        """Returns exactly the next `sz` bytes."""
        end = self.position + sz
        self._receive_until(end)
        data = bytes(self._received[self.position : end])
        self.position = end
        return data


def _unreadable(reason: str) -> TTransportException:
    return TTransportException(
        TTransportException.END_OF_FILE, f"the call may have run, but its reply cannot be read: {reason}"
    )
