"""The client side: accepts connections, reads calls, and writes each request's one answer."""

from __future__ import annotations

import re
import socket
from collections.abc import Mapping
from dataclasses import dataclass, field

import anyio
import structlog
from anyio.abc import TaskGroup

from zincladder.config import Config
from zincladder.core.ends import How
from zincladder.core.engine import DUE_MARGIN, Answer, Ask, Core
from zincladder.net import thrift
from zincladder.net.stream import Ended, Inbox, Outbox

OPEN_AT_MOST = 64  # requests on one connection, twice what clients promise; past it, reading waits
UNREAD_AT_MOST = 4 << 20  # bytes of answers that a client leaves unread before its next request is read
IDLE = 30.0  # clients close after 4 s; one that forgets is closed here
STALL = 10.0  # for the rest of a frame, or for a reader of answers, to move on
CLIENTS_SHARE = 0.5  # of the descriptors
STAY = 0.8  # after SIGTERM clients go on coming for 0.6 s
ID = re.compile(r"[0-9a-f]{16}", re.ASCII)
log = structlog.get_logger()


class BadFields(Exception):
    """A request whose fields cannot be used; the text names the field."""


@dataclass(slots=True, eq=False)
class _Client:
    """One connection of a client and the requests that are open on it."""

    sock: socket.socket
    inbox: Inbox
    outbox: Outbox
    open: dict[int, anyio.CancelScope] = field(default_factory=dict)
    room: anyio.Event = field(default_factory=anyio.Event)


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
        self._open = 0
        self._changed = anyio.Event()
        self._accepting = anyio.CancelScope()
        self.stopping = False

    @property
    def address(self) -> tuple[str, int]:
        host, port = self._listener.getsockname()
        return host, port

    async def run(self) -> None:
        """Accepts clients until `stop` has let the last request be answered."""
        async with anyio.create_task_group() as tasks:
            await self._accept(tasks)
            while self._open:  # each ends by its own deadline
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
        log.info("stopping", open=self._open)
        await anyio.sleep(STAY)
        self._accepting.cancel()

    async def _accept(self, tasks: TaskGroup) -> None:
        most = max(1, int(self._config.sockets * CLIENTS_SHARE))
        with self._accepting:
            while True:
                try:
                    sock, _ = self._listener.accept()
                except (BlockingIOError, InterruptedError):
                    await anyio.wait_readable(self._listener)
                    continue
                except OSError as fault:  # a client that left again, or no descriptor: the rest goes on
                    log.warning("accept failed", why=str(fault))
                    await anyio.sleep(0.01)
                    continue
                if len(self._clients) >= most:
                    idle = next((c for c in self._clients if not c.open and not c.inbox.buffered()), None)
                    if idle:  # guards the descriptors: one nobody uses makes room
                        idle.outbox.ended = Ended(How.IDLE)
                        idle.sock.shutdown(socket.SHUT_RDWR)
                    else:
                        log.warning("too many clients", most=most)
                        sock.close()
                        continue
                tasks.start_soon(self._client, sock)
        self._listener.close()

    async def _client(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client = _Client(sock, Inbox(sock), Outbox(sock))
        self._clients.add(client)
        self._core.counts["clients", "accepted"] += 1
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._writer, client, tasks)
                try:
                    await self._reader(client, tasks)
                except Ended as end:
                    self._core.counts["client_ends", end.how.name.lower()] += 1
                    if end.how in (How.GARBLED, How.STALLED):
                        log.warning(
                            "client connection ended", how=end.how.name, why=str(end), open=len(client.open)
                        )
                tasks.cancel_scope.cancel()  # the client is gone: nobody waits for what is open
        finally:
            self._clients.discard(client)
            sock.close()

    async def _writer(self, client: _Client, tasks: TaskGroup) -> None:
        try:
            await client.outbox.run(STALL)
        except Ended as end:
            if end.how is How.STALLED:
                log.warning("client connection ended", how=end.how.name, why=str(end), open=len(client.open))
            self._core.counts["client_ends", end.how.name.lower()] += 1
            tasks.cancel_scope.cancel()

    async def _reader(self, client: _Client, tasks: TaskGroup) -> None:
        inbox, last = client.inbox, 0
        while True:
            while len(client.open) >= OPEN_AT_MOST or client.outbox.size > UNREAD_AT_MOST:
                client.room = anyio.Event()
                with anyio.move_on_after(0.1):
                    await client.room.wait()
            with anyio.move_on_after(IDLE) as waiting:
                await inbox.some()
            if waiting.cancelled_caught:
                if client.open:
                    continue
                raise Ended(How.IDLE)
            with anyio.move_on_after(STALL) as waiting:
                size = int.from_bytes(await inbox.exactly(4), "big")
                if not 0 < size <= thrift.MOST_FRAME:
                    raise Ended(How.GARBLED, f"a frame of {size} bytes")
                frame = await inbox.exactly(size)
            if waiting.cancelled_caught:
                raise Ended(How.STALLED, "a frame did not come whole")
            try:
                call = thrift.read_call(frame)
            except thrift.Malformed as fault:
                raise Ended(How.GARBLED, str(fault)) from None
            if call.verb == "withdraw":
                scope = client.open.get(call.number)
                if scope:  # else it crossed the answer, which stands
                    scope.cancel()
            elif call.verb == "status":
                client.outbox.put(thrift.answer("status", call.seq, b"", {}, not self.stopping))
            elif call.verb != "handle":
                if call.kind != thrift.ONEWAY:
                    text = f"no method {call.verb[:40]!r}"
                    client.outbox.put(
                        thrift.application_exception(call.verb, call.seq, thrift.UNKNOWN_METHOD, text)
                    )
            elif call.seq <= last:
                raise Ended(How.GARBLED, f"sequence number {call.seq} after {last}")
            else:
                last = call.seq
                self._take(client, call, tasks)

    def _take(self, client: _Client, call: thrift.Call, tasks: TaskGroup) -> None:
        arrived = self._core.clock.now()
        try:
            ask = self._ask(call.fields, call.body, arrived)
        except BadFields as fault:
            log.warning("request not understood", why=str(fault))
            client.outbox.put(
                thrift.application_exception("handle", call.seq, thrift.PROTOCOL_ERROR, str(fault))
            )
            return
        if self._open >= self._config.most_open:
            # Guards the memory limit, which a request with its body counts against. The settings' own ceiling
            # is kept here too: what is past it never reaches the module.
            log.warning("too many requests open", most=self._config.most_open)
            self._core.counts["answers", "refused"] += 1
            pause = self._core.settings.max_retry_after
            client.outbox.put(_reply(call.seq, Answer("refused", retry_after=pause)))
            return
        scope = client.open[call.seq] = anyio.CancelScope()
        self._open += 1
        tasks.start_soon(self._request, client, call.seq, ask, scope)

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
        tag = fields.get("seen", "")
        return Ask(
            trace=name("trace"),
            klass=klass,
            object=int(name("entity"), 16),
            part=number("slice", 0, 1 << 32) if "slice" in fields else None,
            group=number("set", 0, 255) if "set" in fields else 0,
            due=arrived + max(0.001, number("patience", 0, 10**9) / 1000 - DUE_MARGIN),
            repeat=fields.get("redo") == "1",
            write=self._core.settings.classes[klass].never_kept,
            tag=tag if tag.isascii() and tag.isalnum() else "",
            body=body,
        )

    async def _request(self, client: _Client, seq: int, ask: Ask, scope: anyio.CancelScope) -> None:
        try:
            with scope:
                client.outbox.put(_reply(seq, await self._core.serve(ask)))
        except Exception:
            log.exception("request failed", trace=ask.trace)  # the process and its other requests go on
            client.outbox.put(thrift.thrown("handle", seq, 2, {}))
        finally:
            del client.open[seq]
            self._open -= 1
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
