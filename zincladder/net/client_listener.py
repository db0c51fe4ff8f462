"""The client listener: takes connections, and carries out what admission decides on each."""

from __future__ import annotations

import contextlib
import errno
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
from zincladder.core.arrival import ArrivalBound, LoopTurns
from zincladder.net.sockets import RESET_ON_CLOSE, address_family
from zincladder.support.rate_limited_log import RateLimitedLog

BACKLOG = 1024  # connections in the system's queue
CONNECTIONS_PER_TURN = 64  # taken before the other tasks have their turn
SHORTAGE_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)  # accept(2): nothing is left
MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS = 0.01, 0.2  # of the listener then, doubled from the first to the second
FREED_DESCRIPTORS = 4  # by a shortage, for caches and the coordinator's watch
WAIT_SECONDS = 0.005
MAX_PENDING_SECONDS = 0.5  # for which a connection may wait for a slot
REJECT = Verdict.REJECT


def open_listener(address: Address) -> socket.socket:
    """A listening socket over IPv4 or IPv6; '::' takes both.

    Raises:
        OSError: The address cannot be listened on.
    """
    sock = socket.socket(address_family(address[0]), socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # At an upgrade the next process listens here before this one ends.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        if sock.family == socket.AF_INET6:
            sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, address[0] != "::")
        sock.setblocking(False)
        sock.bind(address)
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock


def reject_connection(sock: socket.socket) -> None:
    """Ends a connection at the least cost to this side; it leaves nothing behind (no TIME_WAIT)."""
    try:  # noqa: SIM105  (this is done for every connection of a flood)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    except OSError:
        pass
    sock.close()


@dataclass(frozen=True, slots=True)
class _Pending:
    """A connection that was taken and has no slot yet."""

    sock: socket.socket
    decision: Decision
    taken_at: float
    connected_after: float


class ClientListener:
    """Takes what waits in the system's queue and passes on what gets a slot."""

    def __init__(
        self,
        address: Address,
        admission: Admission,
        max_descriptors: Callable[[], int],
        on_connection: Callable[[socket.socket, Decision, float], None],
        evict: Callable[[ConnectionSlot, RejectionReason], None],
        turns: LoopTurns,
        listening: socket.socket | None = None,
    ) -> None:
        """Args: `listening` is the socket of another process of this front; without one it listens anew.

        `on_connection` takes what has a slot, and the time after which it connected.
        """
        self._queue = ArrivalBound(turns, monotonic())
        self.listener = listening or open_listener(address)
        self.has_successor = False  # another process takes what still waits
        self._admission, self._max_descriptors = admission, max_descriptors
        self._on_connection, self._evict = on_connection, evict
        self._spare_descriptor: int | None = os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)
        self._pause_seconds = MIN_PAUSE_SECONDS
        self._rejected = 0  # connections since the last tick
        self._pending: deque[_Pending] = deque()
        self._lines = RateLimitedLog()

    @property
    def address(self) -> Address:
        """Where it listens."""
        host, port, *_ = self.listener.getsockname()
        return host, port

    async def run(self, accepting: anyio.CancelScope) -> None:
        """Takes connections until `accepting` is cancelled, and what the system had taken before that."""
        try:
            with accepting:
                while True:
                    rejected_any = await self._accept_all()
                    self._queue.reader_waits(monotonic())
                    if rejected_any:
                        # Guards the loop: who is rejected comes again at once, and a wake-up for each costs
                        # more than the rejection. They come in handfuls; nobody waits for long.
                        await anyio.sleep(WAIT_SECONDS)
                    else:
                        await anyio.wait_readable(self.listener)
                    self._queue.reader_woke(monotonic())
            if not self.has_successor:
                self._queue.reader_woke(monotonic())
                await self._accept_all()
        finally:
            self.listener.close()
            while self._pending:
                reject_connection(self._pending.popleft().sock)
            if self._spare_descriptor is not None:
                os.close(self._spare_descriptor)
                self._spare_descriptor = None

    async def _accept_all(self) -> bool:
        """Takes all that waits; whether any of it was rejected."""
        admission, rejected_any = self._admission, False
        for taken in itertools.count(1):
            now = monotonic()
            readiness = admission.may_accept(now)
            if readiness.verdict is not Verdict.ADMIT:
                if readiness.evict is not None:
                    self._evict(readiness.evict, RejectionReason.NO_CAPACITY)
                if readiness.reason is RejectionReason.NONE:  # a descriptor is about to be free
                    await anyio.lowlevel.checkpoint()
                    continue
                self._lines.warning("too many clients")
                await anyio.sleep(WAIT_SECONDS)  # they wait in the system's queue: nothing is lost there
                return False
            try:
                sock, peer = self.listener.accept()
            except (BlockingIOError, InterruptedError):
                self._queue.reader_drained(now)
                return rejected_any
            except OSError as fault:
                if fault.errno in SHORTAGE_ERRORS:
                    await self._handle_shortage(fault)
                    return False
                # A client that left again; accept(2) names more such faults, and all concern that one alone.
                self._lines.warning("accept failed", reason=str(fault))
                await anyio.lowlevel.checkpoint()
                continue
            decision = admission.connect(peer[0], now)
            if decision.verdict is REJECT:
                rejected_any = True
                reject_connection(sock)
                self._rejected += 1
            else:
                self._apply(_Pending(sock, decision, now, self._queue.arrived_after))
            if taken % CONNECTIONS_PER_TURN == 0:
                await anyio.lowlevel.checkpoint()
        return rejected_any

    def _apply(self, pending: _Pending) -> None:
        """Carries out the decision on a connection."""
        sock, decision = pending.sock, pending.decision
        if decision.verdict is Verdict.ADMIT:
            # Before anybody else sees it: a read of an accepted socket that blocks stalls the whole process.
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
        """Tries pending connections again, oldest first, and ends who has waited for too long."""
        if self._rejected:
            self._lines.warning(
                "connections rejected", so_far=dict(self._admission.counters.rejected_connections)
            )
            self._rejected = 0
        for _ in range(len(self._pending)):
            pending = self._pending.popleft()
            now = monotonic()
            assert isinstance(self._admission, SourceAdmission)
            decision = self._admission.reconsider(pending.decision, now)
            if decision.verdict is not Verdict.WAIT:
                self._apply(replace(pending, decision=decision))
            elif now - pending.taken_at <= MAX_PENDING_SECONDS:
                if decision.evict is not None:
                    self._evict(decision.evict, decision.reason)
                self._pending.append(pending)
            else:
                self._admission.record_expired(pending.decision)
                reject_connection(pending.sock)

    def measure(self) -> None:
        """Guards against a limit changed from outside: the lesser of it and the configured one holds."""
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        total = self._max_descriptors()
        if soft >= 0:
            total = min(total, soft)
        if total != self._admission.descriptors.total:
            self._admission.descriptors.resize(total)

    async def _handle_shortage(self, fault: OSError) -> None:
        """No descriptor is left: shrinks the budget, resets waiting connections with the spare, and pauses.

        Guards against going round for ever on a listener that stays readable: it pauses, longer each time.
        """
        descriptors, counters = self._admission.descriptors, self._admission.counters
        self._lines.warning("no descriptor left", reason=str(fault), used=descriptors.used)
        counters.rejected_connections[RejectionReason.NO_DESCRIPTOR.value] = (
            counters.rejected_connections.get(RejectionReason.NO_DESCRIPTOR.value, 0) + 1
        )
        descriptors.resize(
            min(descriptors.total, descriptors.used - FREED_DESCRIPTORS)
        )  # evicts; `measure` restores it
        if self._spare_descriptor is not None:
            os.close(self._spare_descriptor)
            self._spare_descriptor = None
        with contextlib.suppress(OSError):
            for _ in range(CONNECTIONS_PER_TURN):
                reject_connection(self.listener.accept()[0])
        with contextlib.suppress(OSError):
            self._spare_descriptor = os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)
        await anyio.sleep(self._pause_seconds)
        is_short = self._spare_descriptor is None
        self._pause_seconds = (
            min(2 * self._pause_seconds, MAX_PAUSE_SECONDS) if is_short else MIN_PAUSE_SECONDS
        )
