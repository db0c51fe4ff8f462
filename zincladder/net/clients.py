"""The client side: accepts connections, reads calls, and writes each request's one answer."""

from __future__ import annotations

import itertools
import math
import re
import socket
from collections.abc import Mapping
from dataclasses import dataclass, field
from time import monotonic

import anyio
import anyio.lowlevel
import structlog
from anyio.abc import TaskGroup

from zincladder.config import Config
from zincladder.core.ends import How
from zincladder.core.engine import DUE_MARGIN, Answer, Ask, Core
from zincladder.net import thrift
from zincladder.net.sparing import Sparing
from zincladder.net.stream import Ended, Inbox, Outbox, Tally

OPEN_AT_MOST = 32  # requests on one connection, as the protocol says
TAKEN_BACK_MOST = 64  # requests taken back before they began, with no answer between them
UNREAD_AT_MOST = 1 << 20  # bytes of answers that a client leaves unread before its next request is read
FIRST = 2.2  # seconds from connecting to the first whole message: a close is owed within 3
STALL = 2.2  # for the rest of a frame, or for a reader of answers, to move on
IDLE = 5.0  # without a request; clients close after 4 s, and one that keeps its connection is closed here
SETTLED = 0.1  # seconds for which a connection is left alone whatever the crowd
SWEEP = 0.2  # seconds between two looks at these
CLIENTS_SHARE = 0.55  # of the descriptors; usual clients hold a third
TURN = 32  # messages of one client, or connections, taken before the other tasks have their turn
STAY = 0.8  # after SIGTERM clients go on coming for 0.6 s
BEHIND = 0.04  # seconds that the event loop may be late before new requests are refused at once
ID = re.compile(r"[0-9a-f]{16}", re.ASCII)
TAG = re.compile(r"[0-9A-Za-z_-]{1,64}", re.ASCII)
MOST_WRITE = 48_000  # bytes of a request's body
MOST_PART = 1 << 20
log = structlog.get_logger()


class BadFields(Exception):
    """A request whose fields cannot be used; the text names the field."""


@dataclass(slots=True, eq=False)
class _Taken:
    """One request that was taken from a client."""

    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    begun: bool = False
    back: bool = False  # taken back


@dataclass(slots=True, eq=False)
class _Client:
    """One connection of a client and the requests that are open on it."""

    sock: socket.socket
    inbox: Inbox
    outbox: Outbox
    since: float
    used_at: float
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    open: dict[int, _Taken] = field(default_factory=dict)
    room: anyio.Event = field(default_factory=anyio.Event)
    ended: bool = False
    spoke: bool = False  # a whole message has come
    frame_at: float = 0.0  # when the message that is coming began
    taken_back: int = 0

    def end(self) -> None:
        """Guards what is to come: nothing of this client is passed on from here."""
        self.ended = True
        self.scope.cancel()


class Clients:
    """The front's service on one listening socket."""

    def __init__(self, config: Config, core: Core) -> None:
        self._core, self._config = core, config
        self._classes = {name: i for i, name in enumerate(config.names.classes)}
        self._listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.setblocking(False)
        self._listener.bind(config.listen)
        self._listener.listen(1024)
        self._clients: set[_Client] = set()
        self._traces: set[str] = set()  # of the requests that are open
        self._unread = Tally()
        self._active = 0  # clients with open requests
        self._changed = anyio.Event()
        self._accepting = anyio.CancelScope()
        self._warn = Sparing()
        self.stopping = False

    def use(self, config: Config) -> None:
        """A configuration that was read again: its limits hold from now on."""
        self._config = config

    @property
    def address(self) -> tuple[str, int]:
        host, port = self._listener.getsockname()
        return host, port

    async def run(self) -> None:
        """Accepts clients until `stop` has let the last request be answered."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._sweep)
            await self._accept(tasks)
            while self._traces:  # each ends by its own deadline
                self._changed = anyio.Event()
                await self._changed.wait()
            with anyio.move_on_after(1.0):
                while any(c.outbox.size for c in self._clients):
                    await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()

    async def stop(self, stopping: anyio.Event) -> None:
        """Guards a planned restart: says so to `status`, but takes what still comes for a while."""
        await stopping.wait()
        self.stopping = True
        log.info("stopping", open=len(self._traces))
        await anyio.sleep(STAY)
        self._accepting.cancel()

    async def _accept(self, tasks: TaskGroup) -> None:
        with self._accepting:
            while True:
                await self._admit(tasks)
                await anyio.wait_readable(self._listener)
        await self._admit(tasks)  # what the system had accepted before is served too
        self._listener.close()

    async def _admit(self, tasks: TaskGroup) -> None:
        """Takes the connections that wait, as far as there is room for them."""
        for taken in itertools.count(1):
            most = max(1, int(self._config.sockets * CLIENTS_SHARE))
            if len(self._clients) >= most:
                if any(c.ended for c in self._clients):  # its descriptor is free only once it is closed
                    await anyio.lowlevel.checkpoint()
                elif not self._make_room():
                    await anyio.sleep(
                        0.005
                    )  # they wait in the system's queue: nothing of theirs is lost there
                    return
                continue
            try:
                sock, _ = self._listener.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as fault:  # a client that left again, or no descriptor: the rest goes on
                self._warn.warning("accept failed", why=str(fault))
                await anyio.sleep(0.01)
                return
            now = monotonic()
            client = _Client(sock, Inbox(sock), Outbox(sock, self._unread), now, now)
            self._clients.add(client)
            tasks.start_soon(self._client, client)
            if taken % TURN == 0:
                await anyio.lowlevel.checkpoint()

    def _make_room(self) -> bool:
        """Guards the descriptors: whoever said nothing longest goes first, then whoever is idle longest.

        Not a client that has just come or just been answered, whose request may be on its way or not read
        yet; and never one with a request open, which would be lost.
        """
        recent = monotonic() - SETTLED
        idle = [c for c in self._clients if not c.open and not c.outbox.size and c.used_at < recent]
        if not idle:
            self._warn.warning("too many clients", most=len(self._clients))
            return False
        client = min(idle, key=lambda c: (c.spoke, c.used_at))
        self._core.counts["client_ends", "crowded"] += 1
        client.end()
        return True

    async def _sweep(self) -> None:
        """Ends connections that say nothing, stop inside a message, or are used no more."""
        while True:
            await anyio.sleep(SWEEP)
            now = monotonic()
            for c in [c for c in self._clients if not c.ended]:
                if (c.frame_at and now - c.frame_at > STALL) or (not c.spoke and now - c.since > FIRST):
                    self._warn.warning("client sent no whole message", open=len(c.open))
                    self._core.counts["client_ends", How.STALLED.name.lower()] += 1
                    c.end()
                elif not c.open and not c.outbox.size and now - c.used_at > IDLE:
                    self._core.counts["client_ends", How.IDLE.name.lower()] += 1
                    c.end()

    async def _client(self, client: _Client) -> None:
        sock = client.sock
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._core.counts["clients", "accepted"] += 1
            with client.scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._writer, client)
                    try:
                        await self._reader(client, tasks)
                    except Ended as end:
                        self._core.counts["client_ends", end.how.name.lower()] += 1
                        if end.how is How.GARBLED:
                            self._warn.warning("client ended", why=str(end), open=len(client.open))
                    client.end()  # the client is gone: nobody waits for what is open
        except Exception:  # guards all other clients: what goes wrong with one ends its connection only
            log.exception("client failed")
        finally:
            self._clients.discard(client)
            client.outbox.forget()
            sock.close()

    async def _writer(self, client: _Client) -> None:
        try:
            await client.outbox.run(STALL)
        except Ended as end:
            self._core.counts["client_ends", end.how.name.lower()] += 1
            if end.how is How.STALLED:
                self._warn.warning("client does not read", why=str(end), open=len(client.open))
            client.end()

    async def _reader(self, client: _Client, tasks: TaskGroup) -> None:
        inbox, last, turn = client.inbox, 0, 0
        while True:
            while client.outbox.size > UNREAD_AT_MOST:
                client.room = anyio.Event()
                with anyio.move_on_after(0.1):
                    await client.room.wait()
            turn += 1
            if turn % TURN == 0:
                await anyio.lowlevel.checkpoint()
            await inbox.some()
            client.frame_at = monotonic()
            size = int.from_bytes(await inbox.exactly(4), "big")
            if not 0 < size <= thrift.MOST_FRAME:
                raise Ended(How.GARBLED, f"a frame of {size} bytes")
            frame = await inbox.exactly(size)
            try:
                call = thrift.read_call(frame)
            except thrift.Malformed as fault:
                raise Ended(How.GARBLED, str(fault)) from None
            client.frame_at, client.spoke, client.used_at = 0.0, True, monotonic()
            if call.verb == "withdraw":
                self._withdraw(client, call.number)
            elif call.verb == "status":
                client.outbox.put(thrift.answer("status", call.seq, b"", {}, not self.stopping))
            elif call.verb != "handle":
                if call.kind != thrift.ONEWAY:
                    text = f"no method {call.verb[:40]!r}"
                    client.outbox.put(
                        thrift.application_exception(call.verb, call.seq, thrift.UNKNOWN_METHOD, text)
                    )
            elif call.kind != thrift.CALL:
                raise Ended(How.GARBLED, f"a 'handle' of message type {call.kind}")
            elif call.seq <= last:
                # Guards against two requests under one number: nobody could tell their answers apart.
                raise Ended(How.GARBLED, f"sequence number {call.seq} after {last}")
            elif len(client.open) >= OPEN_AT_MOST:
                # Guards the usual clients: what has not begun is never passed on, and the rest is given up.
                raise Ended(How.GARBLED, f"more than {OPEN_AT_MOST} requests open")
            else:
                last = call.seq
                self._take(client, call, tasks)

    def _withdraw(self, client: _Client, seq: int) -> None:
        taken = client.open.pop(seq, None)
        if taken is None:  # it crossed the answer, which stands
            return
        self._active -= not client.open
        taken.back = True
        if taken.begun:
            taken.scope.cancel()
        # Guards usual clients, who take back what has run out of time, however many they are.
        client.taken_back += not taken.begun
        if client.taken_back > TAKEN_BACK_MOST:
            raise Ended(How.GARBLED, f"{client.taken_back} requests taken back before they began")

    def _take(self, client: _Client, call: thrift.Call, tasks: TaskGroup) -> None:
        arrived = self._core.clock.now()
        try:
            ask = self._ask(call.fields, call.body, arrived)
        except BadFields as fault:
            self._warn.warning("request not understood", why=str(fault))
            self._core.counts["answers", "unusable"] += 1
            client.outbox.put(
                thrift.application_exception("handle", call.seq, thrift.PROTOCOL_ERROR, str(fault))
            )
            return
        if self._crowded(client):
            # Guards the memory limit, which a request with its body counts against. The settings' own ceiling
            # is kept here too: what is past it never reaches the module.
            open_now, behind = len(self._traces), round(self._core.behind, 3)
            self._warn.warning("too much to do", open=open_now, most=self._config.most_open, behind=behind)
            self._core.counts["answers", "refused"] += 1
            pause = self._core.settings.max_retry_after
            client.outbox.put(_reply(call.seq, Answer("refused", retry_after=pause)))
            return
        self._active += not client.open
        taken = client.open[call.seq] = _Taken()
        self._traces.add(ask.trace)
        tasks.start_soon(self._request, client, call.seq, ask, taken)

    def _crowded(self, client: _Client) -> bool:
        """Past half of what may be open each client has an even share of the whole, and at least one."""
        most, here = self._config.most_open, len(client.open)
        if self._core.behind > BEHIND:
            # Guards what is open against a rate past this front's part of a core: a refusal costs far less
            # than a request, and one that waits for its turn ends too late for anybody.
            return True
        if len(self._traces) >= most or self._unread.size > self._config.most_unread:
            return True
        return len(self._traces) >= most / 2 and here > 0 and here >= most / max(1, self._active)

    def _ask(self, fields: Mapping[str, str], body: bytes, arrived: float) -> Ask:
        def number(name: str, least: int, most: int) -> int:
            text = fields.get(name, "")
            if not text.isascii() or not text.isdigit() or len(text) > 12 or not least <= int(text) <= most:
                raise BadFields(f"'{name}' must be a number from {least} to {most}, not {text[:20]!r}")
            return int(text)

        def name(key: str) -> str:
            if not ID.fullmatch(fields.get(key, "")):
                raise BadFields(f"'{key}' must be 16 hex digits, not {fields.get(key, '')[:20]!r}")
            return fields[key]

        route = fields.get("route", "")
        if route not in self._classes:
            raise BadFields(f"'route' names no class: {route[:20]!r}")
        klass = self._classes[route]
        tag, trace = fields.get("seen", ""), name("trace")
        if "seen" in fields and not TAG.fullmatch(tag):
            raise BadFields(f"'seen' must be a tag, not {tag[:20]!r}")
        if fields.get("redo", "1") != "1":
            raise BadFields(f"'redo' must be 1 or absent, not {fields['redo'][:20]!r}")
        if len(body) > MOST_WRITE:
            raise BadFields(f"a body of {len(body)} bytes, {MOST_WRITE} at most")
        settings = self._core.settings.classes[klass]
        # Guards the time that a request may hold memory: nobody waits past the class's own deadline.
        patience = number("patience", 1, math.ceil(2000 * settings.deadline)) / 1000
        ask = Ask(
            trace=trace,
            klass=klass,
            object=int(name("entity"), 16),
            part=number("slice", 0, MOST_PART),
            group=number("set", 0, 255),
            due=arrived + max(0.001, patience - DUE_MARGIN),
            repeat="redo" in fields,
            write=settings.never_kept,
            tag=tag,
            body=body,
        )
        if trace in self._traces:
            # Guards every request against another's answer: an id names one request at the caches too.
            raise BadFields(f"'trace' is the id of a request that is open: {trace}")
        return ask

    async def _request(self, client: _Client, seq: int, ask: Ask, taken: _Taken) -> None:
        try:
            if taken.back or client.ended:
                return  # taken back, or its client turned away, before it began: the module never hears of it
            taken.begun = True
            with taken.scope:
                answer = await self._core.serve(ask)
                if client.open.get(seq) is taken:  # else it was withdrawn meanwhile: no answer is owed
                    client.taken_back = 0
                    client.outbox.put(_reply(seq, answer))
        except Exception:
            log.exception("request failed", trace=ask.trace)  # the process and its other requests go on
            client.outbox.put(thrift.thrown("handle", seq, 2, {}))
        finally:
            if client.open.get(seq) is taken:
                del client.open[seq]
                self._active -= not client.open
            client.used_at = monotonic()
            self._traces.discard(ask.trace)
            client.room.set()
            self._changed.set()


def _reply(seq: int, answer: Answer) -> list[bytes | bytearray]:
    if answer.end is not None:
        if answer.end.how is How.SAME:
            return thrift.answer("handle", seq, b"", {"current": "1"}, True)
        return thrift.answer("handle", seq, answer.end.body, {}, True)
    if answer.kind == "refused":
        pause = {"pause": str(round(answer.retry_after * 1000))} if answer.retry_after > 0 else {}
        return thrift.thrown("handle", seq, 1, pause)
    return thrift.thrown("handle", seq, 2, {})
