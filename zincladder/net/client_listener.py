"""The listener for clients: accepts connections and applies the decision of admission to each."""

from __future__ import annotations

import contextlib
import itertools
import os
import resource
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from time import monotonic

import anyio
import anyio.lowlevel

from zincladder.admission.interface import Admission
from zincladder.admission.model import ConnectionSlot, Decision, RejectionReason, Verdict
from zincladder.admission.source_admission import SourceAdmission
from zincladder.config import Address
from zincladder.core.arrival import ArrivalBound, LoopIterations
from zincladder.net.sockets import RESET_ON_CLOSE
from zincladder.support.listeners import SHORTAGE_ERRORS, open_listener
from zincladder.support.rate_limited_log import RateLimitedLog

CONNECTIONS_PER_TURN = 64  # accepted before other tasks may run
# After a shortage the listener pauses; the pause is doubled while the shortage lasts.
MIN_SHORTAGE_PAUSE_SECONDS, MAX_SHORTAGE_PAUSE_SECONDS = 0.01, 0.2
DESCRIPTORS_TO_FREE = 4  # freed after a shortage for connections to caches and to the coordinator
LAST_ACCEPT_SECONDS = 0.1  # for the connections left in the listen queue when accepting ends
ACCEPT_RETRY_SECONDS = 0.005  # delay after a rejection, and while there is no room for a connection
MAX_PENDING_SECONDS = 0.5  # an accepted connection may wait so long for a slot
REJECT = Verdict.REJECT


def reject_connection(sock: socket.socket) -> None:
    """Resets a connection, which is the cheapest way to end it and leaves no socket in TIME_WAIT."""
    try:  # noqa: SIM105  (avoids the cost of a context manager for each connection of a flood)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    except OSError:
        pass
    sock.close()


@dataclass(frozen=True, slots=True)
class _PendingConnection:
    """An accepted connection that waits for a slot of admission."""

    sock: socket.socket
    decision: Decision
    accepted_at: float
    connected_after: float


class ClientListener:
    """Accepts connections from the listen queue and passes on those that admission gives a slot."""

    def __init__(
        self,
        address: Address,
        admission: Admission,
        max_descriptors: Callable[[], int],
        on_connection: Callable[[socket.socket, Decision, float], None],
        evict: Callable[[ConnectionSlot, RejectionReason], None],
        loop_iterations: LoopIterations,
        listening: socket.socket | None = None,
    ) -> None:
        """Opens the listening socket, unless one is given.

        Args:
            address: Where to listen.
            admission: Decides on each connection.
            max_descriptors: Returns the configured maximum of file descriptors.
            on_connection: Called with the socket of each admitted connection, the decision, and the
                monotonic time after which the client connected.
            evict: Closes the connection of a slot, for a reason.
            loop_iterations: Records the iterations of the event loop.
            listening: The listening socket of another process of this front; None opens one.
        """
        self._arrival = ArrivalBound(loop_iterations, monotonic())
        self.listener = listening or open_listener(address)
        self.has_successor = False  # another process accepts the connections left in the listen queue
        self._admission, self._max_descriptors = admission, max_descriptors
        self._on_connection, self._evict = on_connection, evict
        self._spare_descriptor: int | None = os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)
        self._shortage_pause_seconds = MIN_SHORTAGE_PAUSE_SECONDS
        self._rejected = 0  # number of connections rejected since the last tick
        self._pending: deque[_PendingConnection] = deque()
        self._rate_limited_log = RateLimitedLog()

    @property
    def address(self) -> Address:
        """The host and port of the listening socket."""
        host, port, *_ = self.listener.getsockname()
        return host, port

    async def run(self, accepting: anyio.CancelScope) -> None:
        """Accepts connections until `accepting` is cancelled.

        Then accepts those left in the listen queue, unless another process does, for a limited time: clients
        that connect again and again would keep the queue full until the process is killed.
        """
        try:
            with accepting:
                while True:
                    rejected_any = await self._accept_all()
                    self._arrival.record_reader_waiting(monotonic())
                    if rejected_any:
                        # Rejected clients reconnect at once, and waking up for each of them costs the event
                        # loop more than the rejection. The short delay lets several be accepted together.
                        await anyio.sleep(ACCEPT_RETRY_SECONDS)
                    else:
                        await anyio.wait_readable(self.listener)
                    self._arrival.record_reader_woken(monotonic())
            if not self.has_successor:
                self._arrival.record_reader_woken(monotonic())
                with anyio.move_on_after(LAST_ACCEPT_SECONDS):
                    await self._accept_all()
        finally:
            self.listener.close()
            while self._pending:
                reject_connection(self._pending.popleft().sock)
            if self._spare_descriptor is not None:
                os.close(self._spare_descriptor)
                self._spare_descriptor = None

    async def _accept_all(self) -> bool:
        """Accepts all connections in the listen queue; returns whether any was rejected."""
        admission, rejected_any = self._admission, False
        for accepted in itertools.count(1):
            now = monotonic()
            room = admission.may_accept(now)
            if room.verdict is not Verdict.ADMIT:
                if room.evict is not None:
                    self._evict(room.evict, RejectionReason.NO_CAPACITY)
                if room.reason is RejectionReason.NONE:  # an eviction is about to free a descriptor
                    await anyio.lowlevel.checkpoint()
                    continue
                self._rate_limited_log.warning("too many clients; new connections wait in the listen queue")
                await anyio.sleep(ACCEPT_RETRY_SECONDS)
                return False
            try:
                sock, peer = self.listener.accept()
            except (BlockingIOError, InterruptedError):
                self._arrival.record_reader_drained(now)
                return rejected_any
            except OSError as fault:
                if fault.errno in SHORTAGE_ERRORS:
                    await self._handle_shortage(fault)
                    return False
                # The client has disconnected already, or the network failed. accept(2) lists such errors;
                # each concerns one connection only, so accepting goes on.
                self._rate_limited_log.warning("accepting a client connection failed", reason=str(fault))
                await anyio.lowlevel.checkpoint()
                continue
            decision = admission.connect(peer[0], now)
            if decision.verdict is REJECT:
                rejected_any = True
                reject_connection(sock)
                self._rejected += 1
            else:
                self._apply(_PendingConnection(sock, decision, now, self._arrival.arrived_after))
            if accepted % CONNECTIONS_PER_TURN == 0:
                await anyio.lowlevel.checkpoint()
        return rejected_any

    def _apply(self, pending: _PendingConnection) -> None:
        """Applies the decision of admission to a connection."""
        sock, decision = pending.sock, pending.decision
        if decision.verdict is Verdict.ADMIT:
            # The socket has to be made non-blocking before any read: a blocking read of an accepted socket
            # would stall the whole process.
            sock.setblocking(False)
            self._on_connection(sock, decision, pending.connected_after)
        elif decision.verdict is REJECT:
            reject_connection(sock)
            self._rejected += 1
        else:
            if decision.evict is not None:
                self._evict(decision.evict, decision.reason)
            assert isinstance(self._admission, SourceAdmission)
            if len(self._pending) < self._admission.limits.max_pending:
                self._pending.append(pending)
            else:
                self._admission.record_expired(decision)
                reject_connection(sock)

    def tick(self) -> None:
        """Reconsiders pending connections, oldest first, and resets those that have waited too long."""
        if self._rejected:
            self._rate_limited_log.warning(
                "client connections rejected",
                total_by_reason=dict(self._admission.counters.rejected_connections),
            )
            self._rejected = 0
        for _ in range(len(self._pending)):
            pending = self._pending.popleft()
            now = monotonic()
            assert isinstance(self._admission, SourceAdmission)
            decision = self._admission.reconsider(pending.decision, now)
            if decision.verdict is not Verdict.WAIT:
                self._apply(replace(pending, decision=decision))
            elif now - pending.accepted_at <= MAX_PENDING_SECONDS:
                if decision.evict is not None:
                    self._evict(decision.evict, decision.reason)
                self._pending.append(pending)
            else:
                self._admission.record_expired(pending.decision)
                reject_connection(pending.sock)

    def update_descriptor_limit(self) -> None:
        """Sets the descriptor budget to the lower of the configured maximum and the process's current limit.

        The limit (RLIMIT_NOFILE) may be changed from outside while the process runs.
        """
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        total = self._max_descriptors()
        if soft >= 0:
            total = min(total, soft)
        if total != self._admission.descriptors.total:
            self._admission.descriptors.resize(total)

    async def _handle_shortage(self, fault: OSError) -> None:
        """Recovers from a lack of file descriptors or memory in accept(2).

        Shrinks the descriptor budget, resets connections in the listen queue with the help of the spare
        descriptor, and pauses. The pause grows as long as the shortage lasts. Without a pause the listening
        socket, which stays readable, would keep the event loop busy.
        """
        descriptors, counters = self._admission.descriptors, self._admission.counters
        self._rate_limited_log.warning(
            "no file descriptor left for client connections",
            reason=str(fault),
            descriptors_used=descriptors.used,
        )
        counters.rejected_connections[RejectionReason.NO_DESCRIPTOR.value] = (
            counters.rejected_connections.get(RejectionReason.NO_DESCRIPTOR.value, 0) + 1
        )
        # Makes admission evict connections; `update_descriptor_limit` restores the budget.
        descriptors.resize(min(descriptors.total, descriptors.used - DESCRIPTORS_TO_FREE))
        if self._spare_descriptor is not None:
            os.close(self._spare_descriptor)
            self._spare_descriptor = None
        with contextlib.suppress(OSError):
            for _ in range(CONNECTIONS_PER_TURN):
                reject_connection(self.listener.accept()[0])
        with contextlib.suppress(OSError):
            self._spare_descriptor = os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)
        await anyio.sleep(self._shortage_pause_seconds)
        still_short = self._spare_descriptor is None
        self._shortage_pause_seconds = (
            min(2 * self._shortage_pause_seconds, MAX_SHORTAGE_PAUSE_SECONDS)
            if still_short
            else MIN_SHORTAGE_PAUSE_SECONDS
        )
