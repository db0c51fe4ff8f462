"""Shared parts of the benchmarks: a front under resource limits, stub members and counting clients."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import os
import random
import resource
import signal
import struct
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Sequence
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
CACHE_COUNT, PARENT_NAME, ORIGIN_NAME = 4, "s-000000a0", "s-000000b0"
# First digits of the identifiers of large objects and of objects that are answered slowly.
LARGE_OBJECT, SLOW_OBJECT = "b", "c"
SMALL_BODY_BYTES, BIG_BODY_BYTES, FAST_ANSWER_SECONDS, SLOW_ANSWER_SECONDS = 2_000, 240_000, 0.02, 2.0


# Stub members, run in their own process by `python -m benchmarks.rig members` --------------------------


async def _serve_member(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    loop = asyncio.get_running_loop()
    small, big = b"s" * SMALL_BODY_BYTES, b"b" * BIG_BODY_BYTES

    def answer(name: str, body: bytes) -> None:
        if not writer.is_closing():
            writer.write(f"{name} 200 tell=local,rev=1,since=1 {len(body)}\r\n".encode() + body + b"\r\n")

    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        while line := await reader.readline():
            words = line.decode().split()
            if words[0] in ("stats", "alive"):
                writer.write(f"{words[1]} alive meter=util:0.1;inflight:1;x1:0.1 0\r\n".encode())
            elif words[0] == "fetch":
                await reader.readexactly(int(words[3]) + 2)
                item = words[2].partition("item=")[2][:1]
                body, wait = (
                    (big if item == LARGE_OBJECT else small),
                    (SLOW_ANSWER_SECONDS if item == SLOW_OBJECT else FAST_ANSWER_SECONDS),
                )
                loop.call_later(wait, answer, words[1], body)
    writer.close()


async def _run_members(count: int) -> None:
    ports = []
    for _ in range(count):
        server = await asyncio.start_server(_serve_member, "127.0.0.1", 0, backlog=512)
        ports.append(server.sockets[0].getsockname()[1])
    print(json.dumps(ports), flush=True)
    await asyncio.Event().wait()


# The front -------------------------------------------------------------------------------------------


@dataclasses.dataclass
class Usage:
    """Peak descriptors and memory of the front's process and its CPU time, sampled 20 times a second."""

    descriptors: int = 0
    rss_mb: float = 0.0
    cpu_s: float = 0.0


@dataclasses.dataclass
class Front:
    """A running front."""

    pid: int
    host: str
    port: int
    usage: Usage
    folder: Path  # holds config.json, operator.toml and log
    process: subprocess.Popen[bytes]

    def sample(self) -> None:
        """Updates `usage` from /proc; does nothing once the process has ended."""
        with contextlib.suppress(OSError, IndexError):
            self.usage.descriptors = max(self.usage.descriptors, len(os.listdir(f"/proc/{self.pid}/fd")))
            pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
            self.usage.rss_mb = max(self.usage.rss_mb, round(pages * resource.getpagesize() / 1e6, 1))
            self.usage.cpu_s = self.cpu()

    def cpu(self) -> float:
        """CPU time of the process so far, in seconds."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def configuration(ports: Sequence[int], sockets: int, memory_mb: int) -> dict[str, Any]:
    """The example's configuration with members at `ports`: the caches, then the parent, then the origin."""
    data: dict[str, Any] = json.loads((ROOT / "example/config.json").read_text())
    names = [*(f"s-{i + 1:08x}" for i in range(len(ports) - 2)), PARENT_NAME, ORIGIN_NAME]
    kinds = ["small"] * (len(ports) - 2) + ["parent", "origin"]
    members = [
        {"name": name, "address": f"127.0.0.1:{port}", "zone": "main" if kind != "small" else "edge-1",
         "type": kind, "group": 0, "status": "up", "weight": 4, "since_ms": 0}
        for name, kind, port in zip(names, kinds, ports, strict=True)
    ]  # fmt: skip
    data["listen"], data["limits"] = "127.0.0.1:0", {"memory_mb": memory_mb, "sockets": sockets}
    endpoint_list = {"index": 1, "snapshot": True, "endpoints": members}
    data["known"] = {"index": 1, "updates": [{"index": 1, "endpoints": endpoint_list}]}
    return data


@contextlib.asynccontextmanager
async def members(count: int = CACHE_COUNT + 2) -> AsyncIterator[list[int]]:
    """Runs stub members in their own process and yields their ports."""
    process = subprocess.Popen(
        [sys.executable, "-m", "benchmarks.rig", "members", str(count)], cwd=ROOT, stdout=subprocess.PIPE
    )
    assert process.stdout
    try:
        yield json.loads(await asyncio.to_thread(process.stdout.readline))
    finally:
        process.kill()
        process.wait()


@contextlib.asynccontextmanager
async def front(
    ports: Sequence[int],
    *,
    program: Path = ROOT,
    operator: str = "",
    sockets: int = 256,
    memory_mb: int = 96,
    coordinator_port: int = 0,
) -> AsyncIterator[Front]:
    """Runs a front from the checkout `program`, limited to `sockets` descriptors.

    `operator` is the text of the operator's TOML file, and `coordinator_port` is on loopback; 0: none.
    Raises RuntimeError if the front doesn't start or exits with an error.
    """
    with tempfile.TemporaryDirectory() as folder:
        path, log = Path(folder) / "config.json", Path(folder) / "log"
        data = configuration(ports, sockets, memory_mb)
        if coordinator_port:
            data["coordinator"] = f"127.0.0.1:{coordinator_port}"
        path.write_text(json.dumps(data))
        environ = os.environ | {"RELAY_CONFIG": str(path)}
        environ.pop("ZINCLADDER_OPERATOR", None)
        if operator:
            (Path(folder) / "operator.toml").write_text(operator)
            environ["ZINCLADDER_OPERATOR"] = str(Path(folder) / "operator.toml")
        with log.open("w") as out:
            process = subprocess.Popen(
                [sys.executable, "-m", "zincladder"],
                cwd=program,
                env=environ,
                stderr=out,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets)),
            )
        try:
            host, port = await _wait_until_ready(process, log)
            running = Front(process.pid, host, port, Usage(), Path(folder), process)
            sampler = asyncio.create_task(_sample_usage(running))
            yield running
            sampler.cancel()
            if process.poll() not in (None, 0):
                raise RuntimeError(
                    f"the front exited with status {process.returncode}:\n{log.read_text()[-2000:]}"
                )
        finally:
            process.send_signal(signal.SIGKILL)
            process.wait()


async def _wait_until_ready(process: subprocess.Popen[bytes], log: Path) -> tuple[str, int]:
    """Waits for the "ready" event in the log; returns the host and port for clients."""
    until = time.monotonic() + 10
    while time.monotonic() < until and process.poll() is None:
        for line in log.read_text().splitlines():
            if '"event": "ready"' in line:
                host, port = json.loads(line)["clients"]
                return host, port
        await asyncio.sleep(0.02)
    raise RuntimeError(f"the front ended or did not become ready within 10 s:\n{log.read_text()}")


async def _sample_usage(running: Front) -> None:
    while True:
        running.sample()
        await asyncio.sleep(0.05)


# Clients ---------------------------------------------------------------------------------------------


def _thrift_string(text: str) -> bytes:
    return struct.pack(">i", len(text)) + text.encode()


def request(seq: int, entity: str, route: str = "page", patience: int = 2000) -> bytes:
    """One framed `handle` call; `patience` is the client's timeout in milliseconds."""
    values = {"route": route, "trace": os.urandom(8).hex(), "patience": str(patience), "entity": entity,
            "slice": "0", "set": "17"}  # fmt: skip
    fields = b"".join(_thrift_string(k) + _thrift_string(v) for k, v in values.items())
    args = (
        b"\x0d\0\1" + struct.pack(">BBi", 11, 11, len(values)) + fields + b"\x0b\0\2" + struct.pack(">i", 0)
    )
    return _frame_call("handle", seq, args)


def status(seq: int) -> bytes:
    """One framed `status` call."""
    return _frame_call("status", seq, b"\x02\0\1\1")


def _frame_call(verb: str, seq: int, args: bytes) -> bytes:
    frame = struct.pack(">I", 0x80010001) + _thrift_string(verb) + struct.pack(">i", seq) + args + b"\0"
    return struct.pack(">i", len(frame)) + frame


async def reply(reader: asyncio.StreamReader) -> tuple[int, str]:
    """Reads one reply; returns its sequence number and 'served', 'refused', 'failed' or 'exception'."""
    frame = await reader.readexactly(struct.unpack(">i", await reader.readexactly(4))[0])
    size = struct.unpack_from(">i", frame, 4)[0]
    seq = int(struct.unpack_from(">i", frame, 8 + size)[0])
    if frame[3] == 3:
        return seq, "exception"
    field_id: int = struct.unpack_from(">h", frame, 13 + size)[0]
    return seq, ("served", "refused", "failed")[field_id]


@dataclasses.dataclass
class ClientResults:
    """The outcomes of the requests of a group of clients."""

    asked: int = 0
    ends: dict[str, int] = dataclasses.field(default_factory=dict)
    times: list[float] = dataclasses.field(default_factory=list)
    answered_twice: int = 0  # second answers to a request that was answered already
    lost: int = 0  # requests that got neither an answer nor a close within the client's timeout
    # The time at which each request was sent, and whether it was served.
    at: list[tuple[float, bool]] = dataclasses.field(default_factory=list)

    def end(self, kind: str, asked_at: float, took: float) -> None:
        self.ends[kind] = self.ends.get(kind, 0) + 1
        self.at.append((asked_at, kind == "served"))
        if kind == "served":
            self.times.append(took)

    @property
    def served(self) -> float:
        """The share of requests that were served, 0 to 1."""
        return self.ends.get("served", 0) / self.asked if self.asked else 0.0

    def quantile(self, q: float) -> float:
        """The quantile `q` of the latency of served requests in milliseconds; infinite if none was served."""
        ordered = sorted(self.times)
        return (
            round(1000 * ordered[min(len(ordered) - 1, int(q * len(ordered)))], 1)
            if ordered
            else float("inf")
        )


class SteadyClient:
    """A client that sends `rate` requests a second from its own address and waits for the answer to each."""

    def __init__(
        self, target: Front, address: str, rate: float, count: ClientResults, *, fresh: bool = False
    ) -> None:
        self._target, self._address, self._rate, self._count = target, address, rate, count
        self._fresh = fresh  # each request opens a connection of its own
        self._connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self._seq = 0
        self._pending: dict[int, asyncio.Future[str]] = {}
        self._answered: set[int] = set()
        self._reader_task: asyncio.Task[None] | None = None
        self._send_lock = asyncio.Lock()

    async def run(self, until: float) -> None:
        async with asyncio.TaskGroup() as tasks:
            at = time.monotonic() + random.random() / self._rate
            while at < until:
                await asyncio.sleep(max(0.0, at - time.monotonic()))
                tasks.create_task(self._send_request())
                at += 1 / self._rate
        self.close()

    def close(self) -> None:
        if self._reader_task:
            self._reader_task.cancel()
        if self._connection:
            self._connection[1].close()
        self._connection = None

    async def _send_request(self) -> None:
        asked = time.monotonic()
        self._count.asked += 1
        kind = "lost"
        for _ in range(2):  # a request whose connection is closed is retried once on a new one
            try:
                async with asyncio.timeout(asked + 2.2 - time.monotonic()):
                    kind = await (
                        self._send_on_own_connection() if self._fresh else self._send_on_shared_connection()
                    )
            except TimeoutError:
                kind = "lost"
                self._count.lost += 1
            except (OSError, asyncio.IncompleteReadError):
                kind = "closed"
            if kind != "closed":
                break
        self._count.end(kind, asked, time.monotonic() - asked)

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.open_connection(
            self._target.host, self._target.port, local_addr=(self._address, 0), limit=1 << 20
        )

    async def _send_on_own_connection(self) -> str:
        reader, writer = await self._connect()
        try:
            writer.write(request(1, os.urandom(8).hex()[1:].rjust(16, "0")))
            return (await reply(reader))[1]
        finally:
            writer.close()

    async def _send_on_shared_connection(self) -> str:
        async with self._send_lock:
            if self._connection is None:
                self._connection, self._seq, self._answered = await self._connect(), 0, set()
                self._reader_task = asyncio.create_task(self._read_replies(self._connection[0]))
            self._seq += 1
            future: asyncio.Future[str] = asyncio.get_running_loop().create_future()
            self._pending[self._seq] = future
            self._connection[1].write(request(self._seq, os.urandom(8).hex()[1:].rjust(16, "0")))
        return await future

    async def _read_replies(self, reader: asyncio.StreamReader) -> None:
        try:
            while True:
                seq, kind = await reply(reader)
                if seq in self._answered:
                    self._count.answered_twice += 1
                self._answered.add(seq)
                future = self._pending.pop(seq, None)
                if future and not future.done():
                    future.set_result(kind)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            connection, self._connection = self._connection, None
            if connection:
                connection[1].close()
            unanswered, self._pending = self._pending, {}
            for future in unanswered.values():
                if not future.done():
                    future.set_exception(ConnectionResetError())


if __name__ == "__main__":
    if sys.argv[1] == "members":
        asyncio.run(_run_members(int(sys.argv[2])))
