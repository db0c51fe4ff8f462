"""One client's connection: its state, the requests that are open on it, and what its socket tells."""

from __future__ import annotations

import socket
from dataclasses import dataclass, field
from time import monotonic

import anyio

from zincladder.admission.interface import Admission
from zincladder.admission.model import Seat
from zincladder.core.arrival import ArrivalBound
from zincladder.core.attempt import ClientRequest
from zincladder.net import thrift
from zincladder.net.read_buffer import ReadBuffer
from zincladder.net.sockets import newest_byte_age_seconds, peek_unread
from zincladder.net.write_queue import WriteQueue


@dataclass(slots=True, eq=False)
class TakenRequest:
    """One request that was taken from a client."""

    seq: int
    ask: ClientRequest
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    begun: bool = False
    back: bool = False  # taken back


@dataclass(slots=True, eq=False)
class ClientConnection:
    """One connection of a client and the requests that are open on it."""

    sock: socket.socket
    seat: Seat
    read_buffer: ReadBuffer
    write_queue: WriteQueue
    arrival: ArrivalBound
    since: float
    used_at: float
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    open: dict[int, TakenRequest] = field(default_factory=dict)
    room: anyio.Event = field(default_factory=anyio.Event)
    turn: anyio.Event = field(default_factory=anyio.Event)  # set when it may be read after a wait
    ended: bool = False
    spoke: bool = False  # a whole message has come
    frame_at: float = 0.0  # when the message that is coming began
    taken_back: int = 0
    linger: float | None = None  # seconds for which its own end is waited for; None: it has come
    lingering: anyio.CancelScope = field(default_factory=anyio.CancelScope)  # cancelled, it closes at once

    def end(self, linger: float | None = None) -> None:
        """Guards what is to come: nothing of this client is passed on from here."""
        if not self.ended:
            self.ended, self.linger = True, linger
            self.scope.cancel()

    def waits(self, taken: TakenRequest) -> bool:
        """Whether the client still waits for this request, as its system and what was read say now.

        What it said last may lie unread: the reader's turn comes late where the event loop is late.
        """
        if self.ended or taken.back:
            return False
        lies = peek_unread(self.sock)
        here = self.read_buffer.peek()
        if (lies.data or here) and taken.seq in thrift.withdrawn(here + lies.data, self.read_buffer.missing):
            taken.back = True
            taken.scope.cancel()
        if lies.closed_by_peer:
            self.end()
        return not (self.ended or taken.back)

    async def next_message(self) -> None:
        """Waits until the next message begins; what bounds its arrival is kept."""
        if self.read_buffer.buffered():
            return  # it came with the one before
        self.arrival.reader_waits(monotonic())
        await self.read_buffer.wait_for()
        now = monotonic()
        self.arrival.reader_woke(now)
        self.arrival.reader_drained(now)

    def age(self, noticed: float) -> float:
        """For how many seconds the message that was just read had lain unread when it was noticed."""

        def newest() -> float | None:
            if self.read_buffer.buffered() or peek_unread(self.sock, 1).data:
                return None  # of a later message
            age = newest_byte_age_seconds(self.sock)
            return None if age is None else age - (monotonic() - noticed)

        return self.arrival.unread_seconds(noticed, newest)


class UnreadAnswers:
    """Tells admission of the bytes that one client leaves unread."""

    __slots__ = ("_admission", "_seat", "_size")

    def __init__(self, admission: Admission, seat: Seat) -> None:
        self._admission, self._seat = admission, seat
        self._size = 0

    def add(self, change: int) -> None:
        self._size += change
        self._admission.unread(self._seat, change)
        if self._size == 0:
            self._admission.read_out(self._seat, monotonic())
