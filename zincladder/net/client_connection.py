"""State of a client's connection and of the requests that are open on it."""

from __future__ import annotations

import socket
from dataclasses import dataclass, field
from time import monotonic
from typing import TYPE_CHECKING

import anyio

from zincladder.admission.interface import Admission
from zincladder.admission.message_memory import ByteBudget
from zincladder.admission.model import ConnectionSlot
from zincladder.core.arrival import ArrivalBound
from zincladder.core.attempt import ClientRequest
from zincladder.net import thrift
from zincladder.net.read_buffer import ReadBuffer
from zincladder.net.read_progress import ReadProgress
from zincladder.net.sockets import newest_byte_age_seconds, peek_unread
from zincladder.net.write_queue import WriteQueue

if TYPE_CHECKING:
    from zincladder.net.read_ahead import ReadAhead

MAX_REQUESTS_TO_GO_FIRST = 8  # a quarter of the requests that may be open on one connection


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request that was read from a client and is not answered yet."""

    seq: int
    request: ClientRequest
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    started: bool = False
    withdrawn: bool = False


@dataclass(slots=True, eq=False)
class ClientConnection:
    """A client's connection and the requests that are open on it."""

    sock: socket.socket
    slot: ConnectionSlot
    read_buffer: ReadBuffer
    write_queue: WriteQueue
    arrival: ArrivalBound
    connected_at: float
    last_used_at: float
    read_progress: ReadProgress = field(init=False)
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)  # of the reading
    open_requests: dict[int, OpenRequest] = field(default_factory=dict)  # by sequence number
    request_ended: anyio.Event = field(default_factory=anyio.Event)
    read_ahead: ReadAhead | None = None  # set while the connection is read
    may_read: anyio.Event = field(default_factory=anyio.Event)  # set when admission allows reading again
    closed: bool = False
    overhead_seconds: float = 0.0  # time that the last message took, if it concerned no request
    overhead_reserved: float = 0.0  # time that is charged already for the next such message
    last_seq: int = 0  # the sequence number of the last request
    has_sent_message: bool = False  # the client has sent at least one complete message
    message_started_at: float = 0.0  # when reading of an incomplete message began; 0 if there is none
    withdrawn_before_start: int = 0  # requests withdrawn before their start since the last answer
    linger_seconds: float | None = None  # time to flush and to wait for the client's close; None: no wait
    linger_scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)  # cancel to end that wait

    def __post_init__(self) -> None:
        """Begins to follow what the client reads."""
        self.read_progress = ReadProgress(self.sock, self.write_queue)

    def close(self, linger_seconds: float | None = None) -> None:
        """Closes the connection and ends its tasks; none of its requests is forwarded from now on."""
        if self.closed:
            return
        self.closed, self.linger_seconds = True, linger_seconds
        self.scope.cancel()
        self.write_queue.stop()
        for open_request in self.open_requests.values():
            open_request.scope.cancel()

    def is_waiting_for(self, open_request: OpenRequest) -> bool:
        """Returns whether the client still waits for the answer to this request.

        Also looks for a `withdraw` among the bytes that are not read yet, and for a close after them, because
        the read task may run late when the event loop lags.
        """
        if self.closed or open_request.withdrawn:
            return False
        unread = peek_unread(self.sock)
        buffered = self.read_buffer.peek()
        if unread.data or buffered:
            withdrawn = thrift.find_withdrawn(buffered + unread.data, self.read_buffer.missing)
            if open_request.seq in withdrawn:
                open_request.withdrawn = True
                open_request.scope.cancel()
        if unread.closed_by_peer:
            self.close()
        return not (self.closed or open_request.withdrawn)

    def answers_go_first(self) -> bool:
        """Returns whether the client will probably take an answer at once: it has few to take, if any."""
        return not self.has_many_requests and not self.read_progress.has_unread(monotonic())

    @property
    def has_many_requests(self) -> bool:
        """Whether more requests are open than a client will probably take the answers of at once."""
        return len(self.open_requests) > MAX_REQUESTS_TO_GO_FIRST

    def has_received(self, size: int) -> bool:
        """Returns whether this many bytes of the next message have arrived, read or not."""
        buffered = self.read_buffer.buffered()
        return buffered >= size or buffered + len(peek_unread(self.sock, size - buffered).data) >= size

    async def wait_for_message(self) -> None:
        """Waits until the next message begins, and updates the bound of its time of arrival."""
        if self.read_buffer.buffered():
            return  # it arrived together with the previous message, whose bound holds for it too
        self.arrival.record_reader_waiting(monotonic())
        await self.read_buffer.wait_for()
        now = monotonic()
        self.arrival.record_reader_woken(now)
        self.arrival.record_reader_drained(now)

    def unread_seconds(self, noticed_at: float) -> float:
        """Returns for how many seconds the newest message had been unread when its arrival was noticed."""

        def newest_byte_age() -> float | None:
            if self.read_buffer.buffered() or peek_unread(self.sock, 1).data:
                return None  # the newest byte belongs to a later message
            age = newest_byte_age_seconds(self.sock)
            return None if age is None else age - (monotonic() - noticed_at)

        return self.arrival.unread_seconds(noticed_at, newest_byte_age)


class UnreadAnswersCounter:
    """Counts the bytes of answers that one client has not read yet, for admission and for their budget."""

    __slots__ = ("_admission", "_budget", "_size", "_slot")

    def __init__(self, admission: Admission, slot: ConnectionSlot, budget: ByteBudget) -> None:
        self._admission, self._slot, self._budget = admission, slot, budget
        self._size = 0

    def add(self, change: int) -> None:
        """Adds a number of bytes; a negative one subtracts."""
        self._size += change
        self._budget.take(change)
        self._admission.add_unread_bytes(self._slot, change)
        if self._size == 0:
            self._admission.answers_read(self._slot, monotonic())
