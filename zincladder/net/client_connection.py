"""One client's connection: its state, the requests that are open on it, and what its socket says of both."""

from __future__ import annotations

import socket
from dataclasses import dataclass, field
from time import monotonic

import anyio

from zincladder.admission.interface import Admission
from zincladder.admission.model import ConnectionSlot
from zincladder.core.arrival import ArrivalBound
from zincladder.core.attempt import ClientRequest
from zincladder.net import thrift
from zincladder.net.read_buffer import ReadBuffer
from zincladder.net.sockets import newest_byte_age_seconds, peek_unread
from zincladder.net.write_queue import WriteQueue


@dataclass(slots=True, eq=False)
class OpenRequest:
    """One request that was read from a client and has no answer yet."""

    seq: int
    request: ClientRequest
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    started: bool = False
    withdrawn: bool = False


@dataclass(slots=True, eq=False)
class ClientConnection:
    """One connection of a client and the requests that are open on it."""

    sock: socket.socket
    slot: ConnectionSlot
    read_buffer: ReadBuffer
    write_queue: WriteQueue
    arrival: ArrivalBound
    connected_at: float
    used_at: float
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    open: dict[int, OpenRequest] = field(default_factory=dict)
    request_ended: anyio.Event = field(default_factory=anyio.Event)
    may_read: anyio.Event = field(default_factory=anyio.Event)  # set when it may be read after a wait
    closed: bool = False
    has_sent_message: bool = False  # a complete one
    message_started_at: float = 0.0  # of the message that is coming; 0: none
    withdrawn_before_start: int = 0  # requests, with no answer between them
    linger_seconds: float | None = None  # to send and to wait for the client's close; None: close at once
    linger_scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)  # cancelled, it closes at once

    def close(self, linger_seconds: float | None = None) -> None:
        """Closes it and cancels its tasks: none of its requests is forwarded from here on."""
        if not self.closed:
            self.closed, self.linger_seconds = True, linger_seconds
            self.scope.cancel()

    def waits_for(self, opened: OpenRequest) -> bool:
        """Whether the client still waits for this request, by what its system sent and what was read.

        Its last message may lie unread: the reader's turn comes late where the event loop lags.
        """
        if self.closed or opened.withdrawn:
            return False
        unread = peek_unread(self.sock)
        buffered = self.read_buffer.peek()
        if unread.data or buffered:
            withdrawn = thrift.find_withdrawn(buffered + unread.data, self.read_buffer.missing)
            if opened.seq in withdrawn:
                opened.withdrawn = True
                opened.scope.cancel()
        if unread.closed_by_peer:
            self.close()
        return not (self.closed or opened.withdrawn)

    async def wait_for_message(self) -> None:
        """Waits until the next message begins; what bounds its arrival is noted."""
        if self.read_buffer.buffered():
            return  # it came with the one before
        self.arrival.reader_waits(monotonic())
        await self.read_buffer.wait_for()
        now = monotonic()
        self.arrival.reader_woke(now)
        self.arrival.reader_drained(now)

    def unread_seconds(self, noticed_at: float) -> float:
        """For how many seconds the message that was just read had lain unread when it was noticed."""

        def newest_byte_age() -> float | None:
            if self.read_buffer.buffered() or peek_unread(self.sock, 1).data:
                return None  # of a later message
            age = newest_byte_age_seconds(self.sock)
            return None if age is None else age - (monotonic() - noticed_at)

        return self.arrival.unread_seconds(noticed_at, newest_byte_age)


class UnreadAnswersCounter:
    """Reports to admission the bytes that one client leaves unread."""

    __slots__ = ("_admission", "_size", "_slot")

    def __init__(self, admission: Admission, slot: ConnectionSlot) -> None:
        self._admission, self._slot = admission, slot
        self._size = 0

    def add(self, change: int) -> None:
        """Adds a number of bytes, which may be negative."""
        self._size += change
        self._admission.add_unread_bytes(self._slot, change)
        if self._size == 0:
            self._admission.answers_read(self._slot, monotonic())
