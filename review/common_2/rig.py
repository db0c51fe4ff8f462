"""Stand-ins for the cases of the review: caches, a coordinator, clients, and fronts as separate processes.

Caches, coordinator and clients speak as the protocol page says, and nothing else. All addresses are loopback
addresses, all ports are free ones, and everything that is started is ended by `case`.
"""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
TIME_LIMIT_SECONDS = 110.0
MODELS = ["small", "parent", "origin"]
ZONES = ["main", "edge-1"]
READY, DRAINING, GONE = 0, 1, 2
STATUS_WORDS = ["up", "draining", "removed"]
VERSION_1 = 0x80010000
BROKEN, HELD, CANNOT_RUN = 1, 0, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def settings(**changes: Any) -> dict[str, Any]:
    """The settings of a small deployment, with the figures of the operators' first site."""
    base: dict[str, Any] = {
        "az": 1,
        "me": 0,
        "replicasOfMe": 1,
        "zones": ZONES,
        "models": MODELS,
        "registryMode": "automatic",
        "weightSource": "off",
        "clients": {"marksRetry": True},
        "categories": [
            {"name": "video", "onTime": 0.5, "deadline": 6.0, "effect": "idempotent", "aimStretch": 2.0,
             "keyScope": "all", "lateWorth": 0.15, "value": 2.0, "stream": False, "window": 5.0},
            {"name": "page", "onTime": 0.3, "deadline": 2.5, "effect": "idempotent", "aimStretch": 2.0,
             "keyScope": "all", "lateWorth": 0.2, "value": 1.0, "stream": False, "window": 5.0},
            {"name": "booking", "onTime": 0.8, "deadline": 3.0, "effect": "at_most_once",
             "keyScope": "all", "lateWorth": 0.0, "value": 3.0, "stream": False, "window": 5.0},
        ],
        "ceilings": {"attemptsCap": 8, "connectTimeout": 0.4, "idleClose": 30.0, "maxOpen": 21773,
                     "maxRetryAfter": 1.0, "mayCancel": True, "mayTell": False, "probes": True,
                     "retryAfter": False, "secondCopies": True, "streamsPerConn": 100},
        "domain": {"attachedTo": [0, 0], "clientKbPerS": 6600.0, "detail": "hit", "freshFor": [0.0, 8.0, 0.0],
                   "usableAfter": [0.0, 30.0, 0.0], "goneEverywhere": 6.0, "inPieces": [True, False, False],
                   "mayPassBy": True, "mergesFills": True, "midKind": 1, "originKind": 2, "noticeTime": 1.0,
                   "neverKept": [False, False, True], "parentRamp": 21.0, "parentStartsAt": 0.061,
                   "peersFill": "location", "seatsByZone": [0, 1], "upperFallMultiple": 2.0},
        "invariants": {"answerSlack": 0.008, "coldFrom": 0.29, "drainGrace": 0.5, "fallMultiple": 3.0,
                       "overloadFor": 1.0, "warmUp": 18.0},
        "report": {"how": "on_probe", "names": ["busy", "rif", "x1"]},
    }  # fmt: skip
    return base | changes


# What is written down ------------------------------------------------------------------------------


class Record:
    """Writes `record.txt`: what was sent, answered and run, each line with its second since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self.started_at = time.time()

    def line(self, text: str) -> None:
        self._file.write(f"{time.time() - self.started_at:9.4f}  {text}\n")
        self._file.flush()


# Caches --------------------------------------------------------------------------------------------


@dataclass
class Fetch:
    """A request that has arrived whole at a cache, and the Unix time of its first byte as it was read."""

    id: str
    fields: dict[str, str]
    body: bytes
    at: float


Script = Callable[["Cache", Fetch], Awaitable[tuple[str, str, bytes] | None]]


async def hit(cache: Cache, fetch: Fetch) -> tuple[str, str, bytes]:
    """Answers with a copy that is a second old."""
    since = int((time.time() - 1.0) * 1000)
    return "200", f"tell=local,rev=r1,since={since}", f"{cache.name} {fetch.fields['item']}".encode()


class Cache:
    """A quay cache, a parent or the origin; `script` makes each answer, and None answers nothing."""

    def __init__(self, name: str, kind: int = 0, script: Script = hit, zone: int | None = None) -> None:
        self.name, self.kind, self.script = name, kind, script
        self.zone = zone if zone is not None else int(kind == 0)
        self.port = 0
        self.fetches: list[Fetch] = []
        self.aborts: list[str] = []
        self._server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=1 << 20)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Ends the process that this stands for: connections are reset, and new ones are refused."""
        assert self._server is not None
        self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        turn = asyncio.Lock()
        tasks: set[asyncio.Task[None]] = set()
        self.writers.add(writer)
        try:
            while line := await reader.readuntil(b"\r\n"):
                at, words = time.time(), line.decode().split()
                if words[0] in ("stats", "alive"):
                    async with turn:
                        meter = "meter=util:0.1;inflight:1;x1:0.1" if words[0] == "stats" else "-"
                        writer.write(f"{words[1]} alive {meter} 0\r\n".encode())
                elif words[0] == "abort":
                    self.aborts.append(words[1])
                else:
                    body = (await reader.readexactly(int(words[3]) + 2))[:-2]
                    fields = dict(pair.split("=", 1) for pair in words[2].split(","))
                    self.fetches.append(Fetch(words[1], fields, body, at))
                    task = asyncio.create_task(self._answer(self.fetches[-1], writer, turn))
                    tasks.add(task)
                    task.add_done_callback(tasks.discard)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            for task in list(tasks):
                task.cancel()
            writer.close()

    async def _answer(self, fetch: Fetch, writer: asyncio.StreamWriter, turn: asyncio.Lock) -> None:
        answer = await self.script(self, fetch)
        if answer is None or fetch.id in self.aborts:
            return
        word, fields, body = answer
        async with turn:
            end = b"\r\n" if body else b""
            writer.write(f"{fetch.id} {word} {fields} {len(body)}\r\n".encode() + body + end)
            with contextlib.suppress(ConnectionError):
                await writer.drain()

    def entry(self, state: int = READY, since_ms: int = 0) -> dict[str, Any]:
        return {"name": self.name, "address": f"127.0.0.1:{self.port}", "zone": ZONES[self.zone],
                "type": MODELS[self.kind], "group": 0, "status": STATUS_WORDS[state], "weight": 1,
                "since_ms": since_ms}  # fmt: skip

    def record(self, state: int, since_ms: int = 0) -> bytes:
        return struct.pack(">I4sHBBBHIQ", int(self.name[2:], 16), socket.inet_aton("127.0.0.1"), self.port,
                           state, self.zone, self.kind, 0, 1000, since_ms)  # fmt: skip


# The coordinator -----------------------------------------------------------------------------------


class Coordinator:
    """Numbers events, writes those that a front lacks, and an empty frame each second."""

    def __init__(self) -> None:
        self.port = 0
        self.events: list[tuple[int, int, bytes]] = []  # number, kind, payload
        self.asked: list[float] = []  # when a front asked for its events
        self.answered: list[float] = []  # when the answer to such a question began
        self.answer_seconds = 0.0  # how long it takes until it answers
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def break_off(self) -> None:
        """Closes all connections; fronts may connect again."""
        for writer in list(self._writers):
            writer.close()

    async def go_down(self) -> None:
        """Ends: connections are closed, and new ones are refused."""
        assert self._server is not None
        self._server.close()
        self.break_off()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            last = int.from_bytes(await reader.readexactly(8), "big")
            self.asked.append(time.time())
            waiting = asyncio.create_task(reader.read(1))  # ends once the front has closed the connection
            await asyncio.wait([waiting], timeout=self.answer_seconds)
            if waiting.done():
                return
            self.answered.append(time.time())
            for number, kind, payload in self.events:
                if number > last:
                    writer.write(_frame(number, kind, payload))
            self._writers.add(writer)
            while True:
                writer.write(_frame(self.last, 0, b""))
                await writer.drain()
                await asyncio.sleep(1.0)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    @property
    def last(self) -> int:
        return self.events[-1][0] if self.events else 1

    def tell(self, kind: int, payload: bytes) -> None:
        """Takes in an event, and writes it to the fronts that follow."""
        number = self.last + 1
        self.events.append((number, kind, payload))
        for writer in list(self._writers):
            writer.write(_frame(number, kind, payload))


def _frame(number: int, kind: int, payload: bytes) -> bytes:
    return struct.pack(">IQB", 9 + len(payload), number, kind) + payload


# Clients -------------------------------------------------------------------------------------------


@dataclass
class Reply:
    """What a front answered; `kind` is served, refused, failed, or exception (an application exception)."""

    seq: int
    kind: str
    body: bytes = b""
    fields: dict[str, str] = field(default_factory=dict)
    good: bool = False
    at: float = 0.0


def _text(value: str) -> bytes:
    data = value.encode()
    return struct.pack(">i", len(data)) + data


class Client:
    """One connection of a client. `bytes_per_s` bounds how fast it reads; 0 reads all that comes."""

    def __init__(self, sock: socket.socket, bytes_per_s: float = 0.0) -> None:
        self.sock, self.seq, self._bytes_per_s = sock, 0, bytes_per_s
        self.replies: dict[int, Reply] = {}
        self.more_than_one: list[int] = []  # sequence numbers with a second answer
        self.ended = ""  # how the connection ended, once it has
        self.received = 0
        self._changed = asyncio.Event()
        self._task = asyncio.create_task(self._read())

    @classmethod
    async def connect(
        cls, address: tuple[str, int], bytes_per_s: float = 0.0, receive_buffer_bytes: int = 0
    ) -> Client:
        """Connects; a receive buffer of a given size is not tuned by the system, and 0 leaves it to that."""
        sock = socket.socket()
        sock.setblocking(False)
        if receive_buffer_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await asyncio.get_running_loop().sock_connect(sock, address)
        except OSError:
            sock.close()
            raise
        return cls(sock, bytes_per_s)

    def frame(self, method: str, arguments: bytes, kind: int = 1) -> bytes:
        self.seq += 1
        head = struct.pack(">I", VERSION_1 | kind) + _text(method) + struct.pack(">i", self.seq)
        message = head + arguments + b"\0"
        return struct.pack(">i", len(message)) + message

    def request(self, body: bytes = b"", **fields: str) -> bytes:
        """The bytes of a request with the next sequence number."""
        sent = {"trace": os.urandom(8).hex(), "slice": "0", "set": "17"} | fields
        entries = b"".join(_text(name) + _text(value) for name, value in sent.items())
        arguments = b"\x0d\0\x01\x0b\x0b" + struct.pack(">i", len(sent)) + entries
        return self.frame("handle", arguments + b"\x0b\0\x02" + struct.pack(">i", len(body)) + body)

    async def send(self, data: bytes) -> None:
        await asyncio.get_running_loop().sock_sendall(self.sock, data)

    async def ask(self, body: bytes = b"", **fields: str) -> int:
        data = self.request(body, **fields)
        seq = self.seq
        await self.send(data)
        return seq

    async def _read(self) -> None:
        data, loop = bytearray(), asyncio.get_running_loop()
        started_at = time.monotonic()
        try:
            while True:
                size = 1 << 16
                if self._bytes_per_s:
                    size = 16_000
                    due_at = started_at + (self.received + size) / self._bytes_per_s
                    await asyncio.sleep(max(0.0, due_at - time.monotonic()))
                received = await loop.sock_recv(self.sock, size)
                if not received:
                    self.ended = "closed by the front"
                    break
                if self._bytes_per_s and self.received == 0:
                    started_at = time.monotonic()
                self.received += len(received)
                data += received
                while len(data) >= 4 and len(data) >= 4 + struct.unpack_from(">i", data)[0]:
                    size = struct.unpack_from(">i", data)[0]
                    self._keep(_read_reply(bytes(data[4 : 4 + size])))
                    del data[: 4 + size]
        except OSError as error:
            self.ended = f"ended with an error: {error}"
        self._changed.set()

    def _keep(self, reply: Reply) -> None:
        reply.at = time.time()
        if reply.seq in self.replies:
            self.more_than_one.append(reply.seq)
        self.replies[reply.seq] = reply
        self._changed.set()

    async def reply(self, seq: int, timeout: float) -> Reply | None:
        """Waits for the answer to a request; None if none came in time or the connection has ended."""
        ends_at = time.monotonic() + timeout
        while seq not in self.replies and not self.ended:
            self._changed.clear()
            try:
                await asyncio.wait_for(self._changed.wait(), max(0.0, ends_at - time.monotonic()))
            except TimeoutError:
                break
        return self.replies.get(seq)

    async def close(self) -> None:
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self.sock.close()


class _Reader:
    def __init__(self, data: bytes) -> None:
        self.data, self.position = data, 0

    def take(self, size: int) -> bytes:
        self.position += size
        return self.data[self.position - size : self.position]

    def i32(self) -> int:
        return int(struct.unpack(">i", self.take(4))[0])

    def text(self) -> str:
        return self.take(self.i32()).decode()


def _read_reply(data: bytes) -> Reply:
    reader = _Reader(data)
    kind = reader.i32() & 0xFF
    reader.text()
    seq = reader.i32()
    if kind == 3:
        return Reply(seq, "exception")
    reader.take(1)
    reply = Reply(seq, ("served", "refused", "failed")[int.from_bytes(reader.take(2), "big")])
    while inner := reader.take(1)[0]:
        reader.take(2)
        if inner == 11:
            reply.body = reader.take(reader.i32())
        elif inner == 13:
            reader.take(2)
            reply.fields = {reader.text(): reader.text() for _ in range(reader.i32())}
        else:
            reply.good = bool(reader.take(1)[0])
    return reply


# Processes -----------------------------------------------------------------------------------------


def free_port(host: str = "127.0.0.1") -> int:
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


class Process:
    """A program of the project, started with a command line through the shell, with a log of its own."""

    def __init__(self, rig: Rig, name: str, command: str, **environ: str) -> None:
        self.log = rig.folder / f"{name}.log"
        self._rig, self._command, self._environ = rig, command, environ
        self.process: asyncio.subprocess.Process | None = None
        rig.processes.append(self)

    async def start(self) -> None:
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                self._command,
                cwd=ROOT,
                env=os.environ | self._environ,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(number)

    @property
    def exit_status(self) -> int | None:
        return self.process.returncode if self.process else None


class Front(Process):
    """A front, started with `run` of the deploy file."""

    def __init__(self, rig: Rig, config: dict[str, Any], operator: str = "", name: str = "n1") -> None:
        self.port, self.control = free_port(), free_port()
        folder = rig.folder / f"{name}-tmp"
        folder.mkdir()
        self.path = rig.folder / f"{name}.json"
        self.config = {"name": name, "listen": f"127.0.0.1:{self.port}", "seed": os.urandom(8).hex()} | config
        self.write()
        environ = {
            "RELAY_CONFIG": str(self.path),
            "RELAY_LISTEN": f"127.0.0.1:{self.port}",
            "RELAY_NAME": name,
            "RELAY_CONTROL": f"127.0.0.1:{self.control}",
            "TMPDIR": str(folder),
        }
        if operator:
            operator_path = rig.folder / f"{name}.toml"
            operator_path.write_text(operator)
            environ["ZINCLADDER_OPERATOR"] = str(operator_path)
        super().__init__(rig, name, deploy_command("run"), **environ)

    def successor(self) -> Front:
        """The next process of this front, as at an upgrade: it has another address for operators."""
        new = copy.copy(self)
        new.control, new.process = free_port(), None
        new.log = self.log.with_name(f"{self.log.stem}-next.log")
        new._environ = self._environ | {"RELAY_CONTROL": f"127.0.0.1:{new.control}"}
        self._rig.processes.append(new)
        return new

    def write(self) -> None:
        new = self.path.with_suffix(".new")
        new.write_text(json.dumps(self.config))
        new.rename(self.path)

    @property
    def address(self) -> tuple[str, int]:
        return "127.0.0.1", self.port

    async def ready(self, timeout: float = 20.0) -> None:
        ends_at = time.monotonic() + timeout
        while time.monotonic() < ends_at:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                if (await self.call("READY")).startswith("SUCCESS"):
                    return
            await asyncio.sleep(0.05)
        raise RuntimeError("the front did not become ready")

    async def call(self, line: str) -> str:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.control)
        try:
            writer.write(line.encode() + b"\n")
            return (await asyncio.wait_for(reader.read(), 5.0)).decode()
        finally:
            writer.close()


def deploy_command(key: str) -> str:
    return str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())[key])


def config(endpoints: list[dict[str, Any]], coordinator: int = 0, **more: Any) -> dict[str, Any]:
    """The configuration of a front that knows the list of its start as event 1."""
    updates = [{"index": 1, "endpoints": {"index": 1, "snapshot": True, "endpoints": endpoints}}]
    data: dict[str, Any] = {
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "flow_bytes_per_s": 310_000,
        "link_bytes_per_s": 1_240_000,
        "known": {"index": 1, "updates": updates},
        "settings": settings(),
    } | more
    return data | ({"coordinator": f"127.0.0.1:{coordinator}"} if coordinator else {})


# Cases ---------------------------------------------------------------------------------------------


class Rig:
    """What one run of a case has started."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.folder, self.record = folder, record
        self.processes: list[Process] = []

    async def end(self) -> None:
        for process in self.processes:
            if process.process is not None and process.exit_status is None:
                process.signal(signal.SIGCONT)
                process.signal(signal.SIGKILL)
                await process.process.wait()


def case(play: Callable[[Rig], Awaitable[str]], folder: Path) -> None:
    """Plays a case and ends this process with its exit status.

    `play` returns in what way the rule was broken; "" if it held. It raises an exception if it couldn't run.
    """
    record = Record(folder)

    async def run() -> int:
        with tempfile.TemporaryDirectory(prefix="review-", ignore_cleanup_errors=True) as temporary:
            rig = Rig(Path(temporary), record)
            playing = asyncio.ensure_future(asyncio.wait_for(play(rig), TIME_LIMIT_SECONDS))
            for number in (signal.SIGTERM, signal.SIGINT):  # whoever ends the script leaves no process behind
                asyncio.get_running_loop().add_signal_handler(number, playing.cancel)
            try:
                broken = await playing
            except (Exception, asyncio.CancelledError) as error:
                record.line(f"the case could not run: {type(error).__name__}: {error}")
                return CANNOT_RUN
            finally:
                await rig.end()
                for process in rig.processes:
                    for line in process.log.read_text(errors="replace").splitlines()[-200:]:
                        record.line(f"log of {process.log.stem}: {line[:300]}")
        record.line(f"broken: {broken}" if broken else "held")
        print(f"broken: {broken}" if broken else "held")
        return BROKEN if broken else HELD

    status = asyncio.run(run())
    if status == CANNOT_RUN:
        print("the case could not run; see record.txt")
    sys.stdout.flush()
    os._exit(status)  # no task of a stand-in may keep the process
