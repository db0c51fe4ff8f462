"""The cache side: attempts and probes as lines of words over shared connections."""

from __future__ import annotations

import contextlib
import errno
import re
import socket
import struct
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from time import monotonic

import anyio
import structlog
from anyio.abc import TaskGroup

from zincladder.admission.ledger import Ledger, Use
from zincladder.config import MAX_BODY_BYTES, Address, Config
from zincladder.core.attempt import AbortReason, AttemptRequest
from zincladder.core.attempt_end import AttemptEnd, EndReason
from zincladder.net import protocol
from zincladder.net.errors import ConnectionEndedError
from zincladder.net.stream import Entry, Inbox, Outbox, connect, left, unsent
from zincladder.routing import interface as api
from zincladder.support.lingering_close import LINGER_SECONDS, lingering_close
from zincladder.support.rate_limited_log import RateLimitedLog

MOST_HEAD = 2048
MOST_BODY = MAX_BODY_BYTES
IDLE_SHARE = 0.7  # of the caches' own idle time: this side closes first, so that no request crosses a close
PROBE_LIMIT = 1.0  # seconds for the answer to a probe
STALL = 10.0
BROKEN_OFF = 0.3  # seconds without a byte inside an answer: those come in one piece, in under 50 ms
SILENT_AFTER = (
    0.8  # seconds without a byte from a member that owes an answer: its connection is not used again
)
UNTAKEN_AFTER = 0.2  # seconds, the least time in which a system sends again what was not acknowledged
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: an end that drops what was not sent
NAMES_FOR = 10.0  # seconds for which an id is not used again on its connection, past the longest deadline
SHORT_BY, SHORT_FOR = 4, 0.03  # descriptors made free when the system has none, and seconds to wait for them
CONNECT_LIMIT = 0.4  # where the settings name none
FIELD = re.compile(r"[a-z_]{1,16}", re.ASCII)
log = structlog.get_logger()


@dataclass(slots=True, eq=False)
class _Waiting:
    """One request or probe that is open on a connection."""

    probe: bool
    tag: str = ""  # of the copy that the client holds, if the request named one
    news: anyio.Event = field(default_factory=anyio.Event)
    entry: Entry | None = None
    end: AttemptEnd | None = None

    def finish(self, end: AttemptEnd) -> None:
        if self.end is None:
            self.end = end
            self.news.set()


def nobody(link: _Link) -> None:
    """Nobody waits for a connection that has fallen idle."""


class _Link:
    """One connection to a member: many requests, answers in any order."""

    def __init__(
        self,
        sock: socket.socket,
        report_names: Callable[[], Sequence[str]] = tuple,
        freed: Callable[[_Link], None] = nobody,
    ) -> None:
        self.sock, self._names = sock, report_names
        self._freed = freed  # told when an answer has left nothing open here
        self.inbox, self.outbox = Inbox(sock), Outbox(sock)
        self.open: dict[bytes, _Waiting] = {}
        self.names: dict[bytes, float] = {}  # used here lately: a second answer to one must find nobody
        self.closed = self.retired = self.ending = False
        self.reserved = False  # for a request that has not begun here yet
        self.reading = False  # an answer, or what may be one, has begun and is not whole
        self.used_at = monotonic()
        self.scope = anyio.CancelScope()
        self.lingering = anyio.CancelScope()  # cancelled, it closes at once

    async def run(self) -> AttemptEnd:
        """Reads answers until the connection ends; what is open ends with it."""
        reason, detail = EndReason.IDLE_CLOSED, ""
        try:
            with self.scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self.outbox.run, STALL)
                    await self._read()
        except* ConnectionEndedError as group:
            first = group.exceptions[0]
            while isinstance(first, BaseExceptionGroup):
                first = first.exceptions[0]
            assert isinstance(first, ConnectionEndedError)
            reason, detail = first.reason, str(first)
        finally:
            self.closed = True
            for waiting in list(self.open.values()):
                # Only an id of which no byte was written is proved never to have run.
                unwritten = waiting.entry is not None and not waiting.entry.begun
                cut = (
                    EndReason.CONNECTION_LOST
                    if reason in (EndReason.CLOSED_BY_PEER, EndReason.IDLE_CLOSED)
                    else reason
                )
                waiting.finish(AttemptEnd(EndReason.NOT_SENT if unwritten else cut, detail=detail))
            try:
                if unsent(self.sock):
                    # Guards requests that were given up: after a usual end the system goes on sending them.
                    with contextlib.suppress(OSError):
                        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                elif (
                    reason is EndReason.IDLE_CLOSED
                ):  # this side's own end: the member may be in the middle of a line
                    with self.lingering:
                        await lingering_close(self.sock, LINGER_SECONDS)
            finally:
                self.sock.close()
        return AttemptEnd(reason, detail=detail)

    async def _read(self) -> None:
        while True:
            self.reading = False
            await self.inbox.some()
            self.reading = True
            # Guards all that is open here against an answer that stops short: nothing after it can be read.
            line = await self.inbox.line(MOST_HEAD, BROKEN_OFF)
            if not line:
                continue
            words = line.split(b" ")
            if len(words) < 2 or words[1] not in protocol.WORDS:
                raise ConnectionEndedError(EndReason.PROTOCOL_ERROR, f"not an answer: {line[:60]!r}")
            length, fields = 0, b"-"
            if len(words) > 2:
                fields = words[2]
                if len(words) != 4 or not words[3].isdigit() or int(words[3]) > MOST_BODY:
                    raise ConnectionEndedError(EndReason.PROTOCOL_ERROR, f"not an answer: {line[:60]!r}")
                length = int(words[3])
            body = bytearray()
            if length:
                body = await self.inbox.exactly(length, BROKEN_OFF)
                if await self.inbox.exactly(2, BROKEN_OFF) != b"\r\n":
                    raise ConnectionEndedError(EndReason.PROTOCOL_ERROR, "a body without its end")
            self.used_at = monotonic()
            waiting = self.open.get(words[0])
            if waiting is None or waiting.entry is None or not waiting.entry.begun:
                continue  # late, a second copy, or an answer ahead: nobody's here, nor taken for another's
            waiting.finish(
                self._end(words[1], fields, body, waiting)
            )  # if spoilt, it ends as all others here
            del self.open[words[0]]
            self.reading = self.inbox.buffered() > 0
            if not self.open:
                self._freed(self)

    def take(self, name: bytes) -> None:
        """Guards against a late answer or a second copy: an id is used once on a connection."""
        now = monotonic()
        self.names[name] = now
        while (first := next(iter(self.names))) != name and self.names[first] < now - NAMES_FOR:
            del self.names[first]

    def end(self) -> None:
        """Nothing new goes out here from now on, and what is open ends with it."""
        self.ending = True  # asking the scope costs a look at the clock, for each connection and request
        self.scope.cancel()

    def settle(self) -> None:
        """Ends a connection that is not used again once nothing is open on it."""
        if self.retired and not self.open:
            self.end()

    def _end(self, word: bytes, raw: bytes, body: bytearray, waiting: _Waiting) -> AttemptEnd:
        """The answer, checked in full; an error where a part of it cannot be what the member meant."""
        fields: dict[str, str] = {}
        if raw != b"-":
            for pair in raw.decode("latin-1").split(","):
                name, equals, value = pair.partition("=")
                if not equals or not FIELD.fullmatch(name) or not value.isprintable():
                    raise ConnectionEndedError(
                        EndReason.PROTOCOL_ERROR, f"a field that is none: {pair[:40]!r}"
                    )
                fields[name] = value
        reason = protocol.WORDS[word]
        # Guards the client's copy: it is the one only if the member named it, by the tag that it was sent.
        named = reason is not EndReason.NOT_MODIFIED or (
            waiting.tag != "" and fields.get("rev") == waiting.tag
        )
        fits = (word in (b"alive", b"dead")) == waiting.probe and named
        if not fits or (body and reason is not EndReason.SERVED):
            raise ConnectionEndedError(
                EndReason.PROTOCOL_ERROR,
                f"{word.decode()} with {len(body)} bytes is no answer to what was asked",
            )
        try:
            told = protocol.read_answer(fields)
        except ValueError as fault:
            raise ConnectionEndedError(EndReason.PROTOCOL_ERROR, str(fault)) from None
        # A load report counts whole or not at all, in the order of the settings that are in force by now.
        report, names = told.pop("report", {}), self._names()
        figures = tuple(report[n] for n in names) if report.keys() >= set(names) else ()
        return AttemptEnd(reason, body, report=figures, **told)


@dataclass(slots=True, eq=False)
class _Waiter:
    """A request that waits for its connection to come up, or for another one that falls idle before."""

    name: bytes
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    link: _Link | None = None


END_OF_ABORT = {
    AbortReason.CANCELLED: EndReason.CANCELLED,
    AbortReason.DEADLINE_EXCEEDED: EndReason.DEADLINE_EXCEEDED,
    AbortReason.CLIENT_DISCONNECTED: EndReason.CANCELLED,
    AbortReason.DEDUPLICATION_EXPIRED: EndReason.DEADLINE_EXCEEDED,
    AbortReason.ENDPOINT_NOT_READY: EndReason.DRAINING,
    AbortReason.LIST_OUT_OF_DATE: EndReason.DEADLINE_EXCEEDED,
    AbortReason.SOURCE_NOT_READY: EndReason.DRAINING,
}


def _held_back(order: AttemptRequest, hold: AbortReason) -> AttemptEnd:
    """The end of an attempt that was not sent: what it was decided by has changed since."""
    order.guard.aborted_before_send(order, hold)
    note = api.FillOutcome.SOURCE_FAILED if hold is AbortReason.SOURCE_NOT_READY else api.FillOutcome.NONE
    return AttemptEnd(END_OF_ABORT[hold], fill_outcome=note, detail=hold.description)


class Caches:
    """Connections to all members: the carrier of the core."""

    def __init__(
        self, config: Config, now: Callable[[], float], ledger: Ledger, class_names: Sequence[str]
    ) -> None:
        self._config, self._now, self._ledger = config, now, ledger
        self._class_names = class_names  # by number; new settings change it in place
        self._addresses: dict[api.EndpointId, Address] = {}
        self._links: dict[api.EndpointId, list[_Link]] = {}
        self._waiters: dict[api.EndpointId, list[_Waiter]] = {}  # oldest first
        self._tasks: TaskGroup | None = None
        self._warn = RateLimitedLog()
        self._probes = 0

    async def run(self) -> None:
        """Keeps the connections until it is cancelled."""
        async with anyio.create_task_group() as self._tasks:
            while True:
                await anyio.sleep(1.0)
                oldest = monotonic() - IDLE_SHARE * self._config.idle_close_seconds
                for links in list(self._links.values()):
                    for link in links:
                        if not (link.open or link.reserved) and link.used_at < oldest:
                            link.end()

    def use(self, config: Config) -> None:
        """A configuration that was read again: its limits hold from now on."""
        self._config = config

    def _report_names(self) -> Sequence[str]:
        return self._config.settings.report_names

    def know(self, endpoint: api.EndpointId, address: Address) -> None:
        """Where a member listens. An id is one process, so an address used again is another member's."""
        self._addresses[endpoint] = address

    def where(self, endpoint: api.EndpointId) -> Address | None:
        return self._addresses.get(endpoint)

    def keep_only(self, endpoints: set[api.EndpointId]) -> None:
        """Forgets all that a whole list does not name: they are gone."""
        for endpoint in self._addresses.keys() - endpoints:
            self.forget(endpoint)

    def forget(self, endpoint: api.EndpointId) -> None:
        """A member that is gone: what is open on it may still end by itself, nothing new is opened."""
        self._addresses.pop(endpoint, None)
        self.close_idle(endpoint)

    def close_idle(self, endpoint: api.EndpointId) -> None:
        for link in self._links.get(endpoint, ()):
            if not link.open:
                link.end()

    async def send(self, order: AttemptRequest) -> AttemptEnd:
        if hold := order.abort_reason():
            return _held_back(order, hold)
        try:
            link = await self._link(order.endpoint, order.request.trace.encode())
        except (OSError, TimeoutError) as fault:
            return AttemptEnd(EndReason.CONNECT_FAILED, detail=str(fault))
        return await self._exchange(link, order.request.trace.encode(), partial(self._fetch, order), order)

    async def check_health(self, endpoint: api.EndpointId) -> AttemptEnd:
        self._probes += 1
        tag = b"p%d" % self._probes
        end = AttemptEnd(EndReason.TIMED_OUT)
        with anyio.move_on_after(PROBE_LIMIT):
            try:
                link = await self._link(endpoint, tag)
            except (OSError, TimeoutError) as fault:
                return AttemptEnd(EndReason.CONNECT_FAILED, detail=str(fault))
            end = await self._exchange(link, tag, lambda: [b"stats " + tag + b"\r\n"], None)
        return end

    async def _exchange(
        self, link: _Link, name: bytes, write: Callable[[], Sequence[bytes]], order: AttemptRequest | None
    ) -> AttemptEnd:
        """One message and the wait for its answer; cancelled, it is given up on the wire too.

        `write` gives the message as of the moment in which its first byte goes.
        """
        waiting = link.open[name] = _Waiting(order is None, order.request.tag if order else "")
        link.take(name)
        began, received = monotonic(), link.inbox.received

        def gone(written: bool) -> None:
            if order is not None and written:
                order.guard.written()
            elif order is not None:
                # Guards the request: it was held back at the last look, and nobody else says so.
                waiting.finish(_held_back(order, order.abort_reason() or AbortReason.ENDPOINT_NOT_READY))

        # Guards the time that the member is told: it is what is left as the first byte goes.
        entry = waiting.entry = link.outbox.put((), order.may_start if order else None, gone, write)
        try:
            while waiting.end is None:
                await waiting.news.wait()
            return waiting.end
        finally:
            if link.open.get(name) is waiting:  # given up, or held back
                del link.open[name]
            if waiting.end is None:
                # Guards the next request here: what comes of an answer that has begun would be read before
                # its own, for as long as the rest takes to come.
                link.retired |= link.reading
                if not link.closed and not link.outbox.drop(entry):
                    if entry.parts and not link.open:
                        # Guards a request that has not wholly arrived, and so never ran: the rest of it,
                        # written behind, would have it run after all.
                        link.end()
                    elif order is not None:
                        link.outbox.put([b"abort " + name + b"\r\n"])
                    # Guards against a machine that is cut off: its connection stays up and silent, and only a
                    # new one, which does not come up, proves that the next request never ran.
                    silent, waited = link.inbox.received == received, monotonic() - began
                    link.retired |= silent and waited > SILENT_AFTER
                    # What the member's system has not taken goes out whenever it does: ended at once, if
                    # nothing else is open here, this side's system drops it.
                    link.retired |= waited > UNTAKEN_AFTER and unsent(link.sock)
            link.settle()

    def _fetch(self, order: AttemptRequest) -> list[bytes]:
        """The attempt as of this moment: the time that is left, and the oldest copy that a purge allows."""
        ask = order.request
        fields = protocol.write_fetch(
            order, self._class_names[ask.request_class], order.deadline - self._now()
        )
        head = f"fetch {ask.trace} {fields} {len(ask.body)}\r\n".encode()
        return [head, ask.body, b"\r\n"]

    async def _link(self, endpoint: api.EndpointId, name: bytes) -> _Link:
        """A connection with nothing else open on it where the descriptors allow, else the least busy one.

        Guards each request against what happens to others: one spoilt answer or reset ends all that is open
        on its connection. All that wait for a member that does not come up wait at the same time, and
        none of them longer than until another connection falls idle.
        """
        usable = self._usable(endpoint, name)
        if usable and not usable.open:
            return usable
        if self._ledger.room(Use.CACHES) <= 0 and not self._make_room():
            if usable:
                return usable
            self._warn.warning("no descriptor for a member", used=self._ledger.used)
            raise OSError("no descriptor is left for one more connection")
        where = self._addresses.get(endpoint)
        if where is None:
            raise OSError("the member is gone")
        self._ledger.force(Use.CACHES)  # past its most by those that are making room, which close at once
        waiter, sock = _Waiter(name), None
        self._waiters.setdefault(endpoint, []).append(waiter)
        try:
            with waiter.scope, anyio.fail_after(self._config.settings.connect_timeout or CONNECT_LIMIT):
                sock = await self._connect(where)
        except OSError:
            if waiter.link is None:
                raise
        except BaseException:  # the request was given up
            if waiter.link is not None:
                self._hand_on(endpoint, waiter.link)
            raise
        finally:
            self._waiters[endpoint].remove(waiter)
            if not self._waiters[endpoint]:
                del self._waiters[endpoint]
            if sock is None:
                self._ledger.give(Use.CACHES)
        if sock is not None:
            link = _Link(sock, self._report_names, partial(self._hand_on, endpoint))
            self._links.setdefault(endpoint, []).append(link)
            assert self._tasks is not None
            self._tasks.start_soon(self._keep, endpoint, link)
            if waiter.link is None:
                return link
            self._hand_on(endpoint, link)  # both came at once
        assert waiter.link is not None
        waiter.link.reserved = False
        if waiter.link.closed or waiter.link.ending:
            raise OSError("the connection that fell idle has ended")
        return waiter.link

    def _hand_on(self, endpoint: api.EndpointId, link: _Link) -> None:
        """A connection on which nothing is open any more: it is for the request that has waited longest.

        Only an answer makes it one: a connection that was given up on may be that of a machine that is cut
        off, and there only a new one, which does not come up, proves that the request never ran.
        """
        link.reserved = False
        for waiter in self._waiters.get(endpoint, ()):
            if waiter.link is None and self._fits(link, waiter.name) and self._rests(link):
                waiter.link, link.reserved = link, True
                waiter.scope.cancel()
                return

    async def _connect(self, where: Address) -> socket.socket:
        try:
            return await connect(*where)
        except OSError as fault:
            if fault.errno not in (errno.EMFILE, errno.ENFILE):
                raise
        # The limit was lowered, or the system is short: idle clients leave within a tick, and this is for
        # one.
        self._warn.warning("no descriptor for a member", used=self._ledger.used)
        self._ledger.resize(min(self._ledger.total, self._ledger.used - SHORT_BY))
        await anyio.sleep(SHORT_FOR)
        return await connect(*where)

    def _usable(self, endpoint: api.EndpointId, name: bytes) -> _Link | None:
        """The first with nothing open on it, so that the later ones end idle; else that with the least."""
        best: _Link | None = None
        for link in self._links.get(endpoint, ()):
            if link.open and best is not None and len(link.open) >= len(best.open):
                continue
            if not self._fits(link, name):
                continue
            if not link.open:
                if self._rests(link):
                    return link
                if left(link.sock):  # its end has come and was not read yet: what is written now may be lost
                    link.end()
                continue
            best = link
        return best

    def _fits(self, link: _Link, name: bytes) -> bool:
        """Whether one more request, of this name, may go out there.

        Guards it against what was left over: bytes that are nobody's may be half of a line without end.
        """
        full = len(link.open) >= self._config.max_streams or link.reserved or name in link.names
        left_over = link.reading and not link.open
        return not (full or left_over or link.closed or link.retired or link.ending or link.outbox.ended)

    def _rests(self, link: _Link) -> bool:
        """Whether nothing has come there that was not read yet: what was left over, or the member's end."""
        try:
            link.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            pass
        return False

    def _make_room(self) -> bool:
        """Guards the descriptors: the connection that was idle longest makes room, or one that lingers."""
        idle = [
            link
            for links in self._links.values()
            for link in links
            if not (link.open or link.reserved or link.lingering.cancel_called)
        ]
        if idle:
            first = min(idle, key=lambda link: link.used_at)
            first.lingering.cancel()  # what is here already is read all the same
            first.end()
        return bool(idle)

    async def _keep(self, endpoint: api.EndpointId, link: _Link) -> None:
        try:
            end = await link.run()
        except Exception:  # guards all other connections: what goes wrong with one ends that one only
            log.exception("cache connection failed", endpoint=endpoint.decode("latin-1"))
            end = AttemptEnd(EndReason.CONNECTION_LOST)
        self._ledger.give(Use.CACHES)
        links = self._links[endpoint]
        links.remove(link)
        if not links:
            del self._links[endpoint]
        if end.reason in (EndReason.PROTOCOL_ERROR, EndReason.PEER_STALLED):
            name = endpoint.decode()
            self._warn.warning(
                "cache connection ended", endpoint=name, reason=end.reason.name, detail=end.detail
            )
