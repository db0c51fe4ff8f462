"""Stand-ins on loopback for what a front talks to: caches, the coordinator, clients and a resolver."""

from __future__ import annotations

import contextlib
import socket
import struct
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

import anyio
import anyio.abc
import dns.message
import dns.rdatatype

from zincladder.config import parse_config
from zincladder.config.operator import parse_operator
from zincladder.net import thrift
from zincladder.wiring.front import ListeningAddresses, run_front

MODELS = ["small", "parent", "origin"]
ZONES = ["main", "edge"]
KEY = "7f3a9c21e0b4d655"
Script = Callable[["StubCache", "Fetch"], Coroutine[Any, Any, None]]


@dataclass
class Fetch:
    """One `fetch` as it came in, and the connection to answer it on."""

    name: str
    fields: dict[str, str]
    body: bytes
    stream: anyio.abc.ByteStream
    turn: anyio.Lock

    async def answer(self, word: int, fields: str = "-", body: bytes = b"") -> None:
        end = b"\r\n" if body else b""
        async with self.turn:
            await self.stream.send(f"{self.name} {word} {fields} {len(body)}\r\n".encode() + body + end)


async def serve(_: StubCache, fetch: Fetch) -> None:
    """What a healthy cache does."""
    await fetch.answer(200, "tell=local,rev=aa,since=1", fetch.fields["item"].encode())


@dataclass
class StubCache:
    """A cache, parent or origin that answers by a script."""

    name: str
    kind: int
    script: Script = serve
    port: int = 0
    fetches: list[Fetch] = field(default_factory=list)
    aborts: list[str] = field(default_factory=list)
    came: anyio.Event = field(default_factory=anyio.Event)
    connections: int = 0
    open: int = 0  # connections
    mute: bool = False  # cut off: not even probes are answered
    weight: int = 1
    zone: str = ""  # by its kind, if it is not said

    def endpoint(self, status: str = "up", since: int = 0) -> dict[str, Any]:
        where = f"127.0.0.1:{self.port}"
        zone = self.zone or ZONES[self.kind == 0]
        return {"name": self.name, "address": where, "zone": zone, "type": MODELS[self.kind], "group": 0,
                "status": status, "weight": self.weight, "since_ms": since}  # fmt: skip

    def record(self, state: int) -> bytes:
        """The member as a line of the coordinator's list: 0 ready, 1 draining, 2 gone."""
        host, zone = socket.inet_aton("127.0.0.1"), int(self.kind == 0)
        number = int(self.name[2:], 16)
        return struct.pack(">I4sHBBBHIQ", number, host, self.port, state, zone, self.kind, 0, 1000, 0)

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=self.port)
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        task_status.started()
        await listener.serve(self._connection)

    async def _connection(self, stream: anyio.abc.ByteStream) -> None:
        self.connections, self.open = self.connections + 1, self.open + 1
        data, turn = b"", anyio.Lock()
        try:
            async with stream, anyio.create_task_group() as tasks:
                while True:
                    while b"\r\n" not in data:
                        data += await stream.receive()
                    head, _, data = data.partition(b"\r\n")
                    words = head.decode().split(" ")
                    if words[0] == "stats" and self.mute:
                        continue
                    if words[0] == "stats":
                        async with turn:
                            await stream.send(
                                f"{words[1]} alive meter=util:0.5;inflight:1;x1:0.5 0\r\n".encode()
                            )
                    elif words[0] == "abort":
                        self.aborts.append(words[1])
                    else:
                        assert words[0] == "fetch", head
                        while len(data) < int(words[3]) + 2:
                            data += await stream.receive()
                        body, data = data[: int(words[3])], data[int(words[3]) + 2 :]
                        fields = dict(pair.split("=") for pair in words[2].split(","))
                        self.fetches.append(Fetch(words[1], fields, body, stream, turn))
                        tasks.start_soon(self.script, self, self.fetches[-1])
                    came, self.came = self.came, anyio.Event()
                    came.set()
        except* (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            self.open -= 1  # the front, or the script, closed it
            came, self.came = self.came, anyio.Event()
            came.set()


@dataclass
class Coordinator:
    """Holds events and streams them on; `after` are the numbers that followers began from."""

    port: int = 0
    events: list[tuple[int, int, bytes]] = field(default_factory=list)
    after: list[int] = field(default_factory=list)
    streams: list[anyio.abc.ByteStream] = field(default_factory=list)
    followed: anyio.Event = field(default_factory=anyio.Event)
    turn: anyio.Lock = field(default_factory=anyio.Lock)
    down: bool = False  # connections are ended before anything is said on them
    turned_away: int = 0
    may_answer: anyio.Event | None = None  # who asks is answered once it is set

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        task_status.started()
        await listener.serve(self._connection)

    async def _connection(self, stream: anyio.abc.ByteStream) -> None:
        if self.down:
            self.turned_away += 1
            return await stream.aclose()
        data = b""
        while len(data) < 8:
            data += await stream.receive()
        self.after.append(int.from_bytes(data, "big"))
        if self.may_answer is not None:
            await self.may_answer.wait()
        for number, kind, payload in self.events:
            if number > self.after[-1]:
                await stream.send(_frame(number, kind, payload))
        self.streams.append(stream)
        followed, self.followed = self.followed, anyio.Event()
        followed.set()
        with contextlib.suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
            while True:
                async with self.turn:
                    await stream.send(_frame(0, 0, b""))
                await anyio.sleep(0.3)

    async def go_down(self) -> None:
        """Ends all that follow, and whoever comes until `down` is taken back."""
        self.down = True
        for stream in self.streams:
            await stream.aclose()
        self.streams.clear()

    async def tell(self, kind: int, payload: bytes) -> None:
        number = (self.events[-1][0] if self.events else 1) + 1
        self.events.append((number, kind, payload))
        async with self.turn:
            for stream in self.streams:
                await stream.send(_frame(number, kind, payload))


def _frame(number: int, kind: int, payload: bytes) -> bytes:
    return struct.pack(">IQB", 9 + len(payload), number, kind) + payload


SETTINGS: dict[str, Any] = {
    "az": 1,
    "categories": [
        {"name": "video", "onTime": 0.5, "deadline": 6.0, "effect": "idempotent", "aimStretch": 2.0},
        {"name": "page", "onTime": 0.3, "deadline": 2.5, "effect": "idempotent"},
        {"name": "booking", "onTime": 0.8, "deadline": 3.0, "effect": "at_most_once"},
    ],
    "ceilings": {
        "attemptsCap": 8,
        "mayCancel": True,
        "connectTimeout": 0.4,
        "probes": True,
        "maxRetryAfter": 1.0,
        "idleClose": 30.0,
        "streamsPerConn": 100,
    },
    "domain": {
        "freshFor": [0.0, 8.0, 0.0],
        "usableAfter": [0.0, 30.0, 0.0],
        "goneEverywhere": 6.0,
        "neverKept": [False, False, True],
        "mayPassBy": True,
        "midKind": 1,
        "originKind": 2,
        "seatsByZone": [0, 1],
        "mergesFills": True,
        "peersFill": "location",
        "noticeTime": 1.0,
    },
    "invariants": {"drainGrace": 0.5, "coldFrom": 0.3, "warmUp": 18.0, "fallMultiple": 3.0},
    "models": MODELS,
    "zones": ZONES,
    "report": {"how": "on_probe", "names": ["busy", "rif", "x1"]},
}


def configuration(endpoints: list[dict[str, Any]], coordinator: int = 0, **more: Any) -> dict[str, Any]:
    """What a front is told, on a port of the system's choice."""
    lists = {"index": 1, "snapshot": True, "endpoints": endpoints}
    data = {"name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "settings": SETTINGS,
            "known": {"index": 1, "updates": [{"index": 1, "endpoints": lists}]}, **more}  # fmt: skip
    return data | ({"coordinator": f"127.0.0.1:{coordinator}"} if coordinator else {})


DNS_HOSTS = [
    {"name": "booking.main.example.org", "class": "booking"},
    {"name": "papers.main.example.org", "class": "page", "object": KEY},
]
DNS = {"listen": "127.0.0.1:0", "zone": "main.example.org", "host": DNS_HOSTS}


@dataclass
class World:
    """A running front with its stand-ins."""

    caches: list[StubCache]
    coordinator: Coordinator
    listening: ListeningAddresses
    tasks: anyio.abc.TaskGroup
    stopping: anyio.Event = field(default_factory=anyio.Event)  # what SIGTERM sets


@contextlib.asynccontextmanager
async def world(
    *scripts: Script,
    origin: Script = serve,
    hosts: list[dict[str, Any]] | None = None,
    endpoints: list[StubCache] | None = None,
    operator: dict[str, Any] | None = None,
    **more: Any,
) -> AsyncIterator[World]:
    """A front with a cache for each script, one parent and the origin (the last two of `caches`)."""
    caches = [StubCache(f"s-{i + 1:08x}", 0, script) for i, script in enumerate(scripts)]
    caches += [StubCache("s-000000a0", 1), StubCache("s-000000b0", 2, origin)]
    caches = endpoints or caches
    coordinator = Coordinator()
    async with anyio.create_task_group() as tasks:
        for cache in caches:
            await tasks.start(cache.run)
        await tasks.start(coordinator.run)
        config = parse_config(configuration([c.endpoint() for c in caches], coordinator.port, **more))
        known = [h for h in DNS_HOSTS if h["class"] in config.names.classes]  # another site names others
        table = ({"dns": DNS | {"host": known + (hosts or [])}} if known else {}) | (operator or {})
        stopping = anyio.Event()
        listening = await tasks.start(run_front, config, parse_operator(table, config.names), stopping)
        yield World(caches, coordinator, listening, tasks, stopping)
        tasks.cancel_scope.cancel()


# A client of the front -----------------------------------------------------------------------------


@dataclass
class Reply:
    """What came back: 'served', 'Throttled', 'Broken' or 'application'."""

    seq: int
    kind: str
    body: bytes = b""
    fields: dict[str, str] = field(default_factory=dict)
    good: bool = False


class Client:
    """Speaks the service over one connection."""

    def __init__(self, stream: anyio.abc.SocketStream) -> None:
        self.stream, self.seq, self._data = stream, 0, b""

    async def send(self, verb: str, args: bytes, kind: int = thrift.CALL) -> int:
        self.seq += 1
        frame = thrift._message(kind, verb, self.seq) + args + b"\0"
        await self.stream.send(struct.pack(">i", len(frame)) + frame)
        return self.seq

    async def ask(self, body: bytes = b"", /, **fields: str) -> int:
        said = {"route": "page", "trace": f"{self.seq + 1:016x}", "patience": "2000", "entity": KEY,
                "slice": "0", "set": "17"} | fields  # fmt: skip
        args = b"\x0d\0\1" + thrift._texts(said) + b"\x0b\0\2" + struct.pack(">i", len(body)) + body
        return await self.send("handle", args)

    async def withdraw(self, seq: int) -> None:
        await self.send("withdraw", b"\x08\0\1" + struct.pack(">i", seq), thrift.ONEWAY)

    async def _exactly(self, size: int) -> bytes:
        while len(self._data) < size:
            self._data += await self.stream.receive()
        found, self._data = self._data[:size], self._data[size:]
        return found

    async def reply(self) -> Reply:
        r = thrift._Reader(await self._exactly(struct.unpack(">i", await self._exactly(4))[0]))
        kind = r.i32() & 0xFF
        r.text()
        seq = r.i32()
        if kind == thrift.EXCEPTION:
            return Reply(seq, "application")
        number = r.field()[1]
        found = Reply(seq, ("served", "Throttled", "Broken")[number])
        while (inner := r.field())[0] != thrift.STOP:
            if inner[0] == thrift.STRING:
                found.body = bytes(r.take(r.i32()))
            elif inner[0] == thrift.MAP:
                found.fields = r.texts()
            else:
                found.good = bool(r.byte())
        return found


@contextlib.asynccontextmanager
async def client(w: World) -> AsyncIterator[Client]:
    async with await anyio.connect_tcp(*w.listening.clients) as stream:
        yield Client(stream)


# A resolver -----------------------------------------------------------------------------------------


class Resolver:
    """A caching resolver: asks over UDP and keeps each answer for its TTL, or longer if it is told to."""

    def __init__(self, where: tuple[str, int], least_ttl: float = 0.0) -> None:
        self._where, self._least = where, least_ttl
        self._kept: dict[tuple[str, str], tuple[float, dns.message.Message]] = {}
        self.asked: Counter[str] = Counter()

    async def query(self, name: str, kind: str = "") -> dns.message.Message:
        kind = kind or ("SRV" if name.startswith("_") else "A")
        until, kept = self._kept.get((name, kind), (0.0, None))
        if kept is not None and time.monotonic() < until:
            return kept
        self.asked[name] += 1
        query = dns.message.make_query(name, kind)
        answer = dns.message.from_wire(await self.raw(query.to_wire()))
        assert answer.id == query.id
        ttl = max(self._least, min((rr.ttl for rr in answer.answer), default=0))
        self._kept[name, kind] = (time.monotonic() + ttl, answer)
        return answer

    async def raw(self, data: bytes) -> bytes:
        async with await anyio.create_connected_udp_socket(*self._where) as udp:
            await udp.send(data)
            with anyio.fail_after(3):
                return await udp.receive()


def places(answer: dns.message.Message) -> list[tuple[str, int]]:
    """The addresses and ports that an answer to an SRV query names, each pair once."""
    hosts = [rd.address for rr in answer.additional if rr.rdtype == dns.rdatatype.A for rd in rr]
    ports = [rd.port for rr in answer.answer if rr.rdtype == dns.rdatatype.SRV for rd in rr]
    return [(host, port) for host in hosts for port in ports]
