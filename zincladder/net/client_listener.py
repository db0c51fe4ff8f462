"""The client listener: takes connections, and carries out what admission says of each."""

from __future__ import annotations

import contextlib
import errno
import itertools
import os
import resource
import socket
import struct
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from time import monotonic

import anyio
import anyio.lowlevel

from zincladder.admission.gate import Gate
from zincladder.admission.interface import Admission
from zincladder.admission.model import Decision, Seat, Verdict, Why
from zincladder.config import Address
from zincladder.core.arrival import ArrivalBound, LoopTurns
from zincladder.net.sockets import address_family
from zincladder.support.rate_limited_log import RateLimitedLog

TURN = 64  # connections taken before the other tasks have their turn
SHORT = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)  # accept(2): the system has none to give
PAUSES = (0.01, 0.2)  # seconds for which the listener rests then, doubled from the first to the second
SHORT_BY = 4  # descriptors that are made free then, for members and the feed too
WAIT = 0.005
LOBBY_FOR = 0.5  # seconds that a connection may wait for a seat
TURN_AWAY = Verdict.TURN_AWAY
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: an end that leaves nothing behind (no TIME_WAIT)


def listener(where: Address) -> socket.socket:
    """A listening socket over IPv4 or IPv6; '::' takes both."""
    sock = socket.socket(address_family(where[0]), socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # At an upgrade the next process listens here before this one ends.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        if sock.family == socket.AF_INET6:
            sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, where[0] != "::")
        sock.setblocking(False)
        sock.bind(where)
        sock.listen(1024)
    except OSError:
        sock.close()
        raise
    return sock


def turn_away(sock: socket.socket) -> None:
    """Ends a connection at the least cost to this side."""
    try:  # noqa: SIM105  (this is done for every connection of a flood)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    except OSError:
        pass
    sock.close()


@dataclass(frozen=True, slots=True)
class _InLobby:
    """A connection that was taken and has no seat yet."""

    sock: socket.socket
    decision: Decision
    since: float
    came_after: float  # it connected later than this


class ClientListener:
    """Takes what waits in the system's queue and hands on what gets a seat."""

    def __init__(
        self,
        listen: Address,
        admission: Admission,
        sockets: Callable[[], int],
        seat: Callable[[socket.socket, Decision, float], None],
        evict: Callable[[Seat, Why], None],
        turns: LoopTurns,
        listening: socket.socket | None = None,
    ) -> None:
        """`listening` is the socket of another process of this front; without one it listens anew.

        `seat` is given what has a seat, and the time after which it connected.
        """
        self._queue = ArrivalBound(turns, monotonic())
        self.listener = listening or listener(listen)
        self.hand_on = False  # another process takes what still waits
        self._admission, self._sockets, self._seat, self._evict = admission, sockets, seat, evict
        self._spare: int | None = os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)
        self._pause = PAUSES[0]
        self._turned = 0  # since the last look
        self._lobby: deque[_InLobby] = deque()
        self._warn = RateLimitedLog()

    @property
    def address(self) -> Address:
        host, port, *_ = self.listener.getsockname()
        return host, port

    async def run(self, accepting: anyio.CancelScope) -> None:
        """Takes connections until `accepting` is cancelled, and what the system had taken before that."""
        try:
            with accepting:
                while True:
                    turned = await self._admit()
                    self._queue.reader_waits(monotonic())
                    if turned:
                        # Guards the loop: whoever is turned away comes again at once, and a wake-up for each
                        # costs more than the turning away. They come in handfuls; nobody waits for long.
                        await anyio.sleep(WAIT)
                    else:
                        await anyio.wait_readable(self.listener)
                    self._queue.reader_woke(monotonic())
            if not self.hand_on:
                self._queue.reader_woke(monotonic())
                await self._admit()
        finally:
            self.listener.close()
            while self._lobby:
                turn_away(self._lobby.popleft().sock)
            if self._spare is not None:
                os.close(self._spare)
                self._spare = None

    async def _admit(self) -> bool:
        """Takes all that waits; whether any of it was turned away."""
        admission, turned = self._admission, False
        for taken in itertools.count(1):
            now = monotonic()
            first = admission.ready(now)
            if first.verdict is not Verdict.ADMIT:
                if first.evict is not None:
                    self._evict(first.evict, Why.FULL)
                if first.why is Why.NONE:  # a descriptor is about to be free
                    await anyio.lowlevel.checkpoint()
                    continue
                self._warn.warning("too many clients")
                await anyio.sleep(WAIT)  # they wait in the system's queue: nothing of theirs is lost there
                return False
            try:
                sock, peer = self.listener.accept()
            except (BlockingIOError, InterruptedError):
                self._queue.reader_drained(now)
                return turned
            except OSError as fault:
                if fault.errno in SHORT:
                    await self._short(fault)
                    return False
                # A client that left again; accept(2) names more such faults, and all concern that one alone.
                self._warn.warning("accept failed", why=str(fault))
                await anyio.lowlevel.checkpoint()
                continue
            decision = admission.connect(peer[0], now)
            if decision.verdict is TURN_AWAY:
                turned = True
                turn_away(sock)
                self._turned += 1
            else:
                self._judge(_InLobby(sock, decision, now, self._queue.arrived_after))
            if taken % TURN == 0:
                await anyio.lowlevel.checkpoint()
        return turned

    def _judge(self, taken: _InLobby) -> None:
        sock, decision = taken.sock, taken.decision
        if decision.verdict is Verdict.ADMIT:
            # Before anybody else sees it: a look at an accepted socket that blocks halts the whole process.
            sock.setblocking(False)
            self._seat(sock, decision, taken.came_after)
        elif decision.verdict is TURN_AWAY:
            turn_away(sock)
            self._turned += 1
        else:
            if decision.evict is not None:
                self._evict(decision.evict, decision.why)
            assert isinstance(self._admission, Gate)
            if len(self._lobby) < self._admission.limits.lobby:
                self._lobby.append(taken)
            else:
                self._admission.given_up(decision)
                turn_away(sock)

    def look(self) -> None:
        """Tries the lobby again, oldest first, and ends who has waited for too long."""
        if self._turned:
            by = dict(self._admission.tallies.turned)
            self._warn.warning("connections turned away", so_far=by)
            self._turned = 0
        for _ in range(len(self._lobby)):
            taken = self._lobby.popleft()
            now = monotonic()
            assert isinstance(self._admission, Gate)
            again = self._admission.again(taken.decision, now)
            if again.verdict is Verdict.WAIT and now - taken.since <= LOBBY_FOR:
                if again.evict is not None:
                    self._evict(again.evict, again.why)
                self._lobby.append(taken)
            elif again.verdict is Verdict.WAIT:
                self._admission.given_up(taken.decision)
                turn_away(taken.sock)
            else:
                self._judge(replace(taken, decision=again))

    def measure(self) -> None:
        """Guards against a limit that was changed from outside: the lesser of it and the configured one
        holds.
        """
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        total = min(self._sockets(), soft) if soft >= 0 else self._sockets()
        if total != self._admission.ledger.total:
            self._admission.ledger.resize(total)

    async def _short(self, fault: OSError) -> None:
        """No descriptor is left. One that waits is ended by the spare, so that the queue doesn't stay as it
        is.

        Guards against going round for ever on a listener that stays readable: it rests, longer each time.
        """
        self._warn.warning("no descriptor left", why=str(fault), used=self._admission.ledger.used)
        tallies = self._admission.tallies
        tallies.turned[Why.EXHAUSTED.value] = tallies.turned.get(Why.EXHAUSTED.value, 0) + 1
        ledger = self._admission.ledger
        ledger.resize(min(ledger.total, ledger.used - SHORT_BY))  # evicts; `measure` restores it
        if self._spare is not None:
            os.close(self._spare)
            self._spare = None
        with contextlib.suppress(OSError):
            for _ in range(TURN):
                turn_away(self.listener.accept()[0])
        with contextlib.suppress(OSError):
            self._spare = os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)
        await anyio.sleep(self._pause)
        self._pause = min(2 * self._pause, PAUSES[1]) if self._spare is None else PAUSES[0]
