"""Stand-ins of the platform on loopback addresses: caches, parent, origin and the coordinator.

They follow the protocol page: lines of words between a front and a cache, frames between the coordinator
and a front. They need the standard library alone.
"""

from __future__ import annotations

import asyncio
import contextlib
import ipaddress
import json
import random
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
READY, DRAINING, GONE = 0, 1, 2
FRAME_FULL, FRAME_CHANGES, FRAME_OBJECT_PURGE = 1, 2, 3
# Seconds for which a cache works on a request, by class: the sending times of the brief.
WORK_SECONDS = {"video": (0.33, 0.53), "page": (0.04, 0.11), "booking": (0.1, 0.3)}


class Record:
    """The file that tells what was sent, answered and run; each line begins with the Unix time."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")

    def write(self, *words: Any) -> None:
        print(f"{time.time():.3f}", *words, file=self._file, flush=True)

    def note(self, *words: Any) -> None:
        """Writes a line that is also printed."""
        print(*words, flush=True)
        self.write(*words)


@dataclass
class Fetch:
    """A `fetch` that has arrived whole at a cache."""

    at: float  # Unix time
    trace: str
    fields: dict[str, str]


@dataclass
class Cache:
    """A quay cache, parent or origin: runs each request for a while and answers it."""

    name: str  # as on the wire: `s-` and 8 hex digits
    kind: int  # place in the settings' `models`
    zone: int  # place in the settings' `zones`
    record: Record
    # Returns the fields of a good answer and its body; by default a copy that was fetched just now.
    answer: Callable[[Fetch], tuple[str, bytes]] | None = None
    port: int = 0
    fetches: list[Fetch] = field(default_factory=list)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._connection, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def entry(self, models: list[str], zones: list[str]) -> dict[str, Any]:
        """Returns the cache's entry in `known`."""
        address = f"127.0.0.1:{self.port}"
        return {"name": self.name, "address": address, "zone": zones[self.zone], "type": models[self.kind],
                "group": 0, "status": "up", "weight": 1, "since_ms": 0}  # fmt: skip

    def packed(self, state: int) -> bytes:
        """Returns the cache's entry in a frame of the coordinator."""
        host = ipaddress.IPv4Address("127.0.0.1").packed
        number = int(self.name[2:], 16)
        return struct.pack(">I4sHBBBHIQ", number, host, self.port, state, self.zone, self.kind, 0, 1000, 0)

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        tasks: dict[str, asyncio.Task[None]] = {}
        try:
            while line := await reader.readline():
                words = line.decode().split()
                if words[0] in ("stats", "alive"):
                    meter = "meter=util:0.3;inflight:2;x1:0.2" if words[0] == "stats" else "-"
                    writer.write(f"{words[1]} alive {meter} 0\r\n".encode())
                elif words[0] == "abort":
                    self.record.write(self.name, "abort", words[1])
                    if task := tasks.pop(words[1], None):
                        task.cancel()
                elif words[0] == "fetch":
                    body = await reader.readexactly(int(words[3]) + 2)
                    fields = dict(pair.split("=", 1) for pair in words[2].split(",") if pair != "-")
                    fetch = Fetch(time.time(), words[1], fields)
                    self.fetches.append(fetch)
                    self.record.write(self.name, "fetch", words[1], words[2], len(body) - 2, "bytes")
                    tasks[fetch.trace] = asyncio.create_task(self._run(fetch, writer))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            for task in tasks.values():  # closing a connection gives up all that is open on it
                task.cancel()
            writer.close()

    async def _run(self, fetch: Fetch, writer: asyncio.StreamWriter) -> None:
        low, high = WORK_SECONDS.get(fetch.fields.get("cls", ""), (0.05, 0.1))
        await asyncio.sleep(random.uniform(low, high))
        if self.answer is None:
            fields = f"tell=local,rev=1,since={int(1000 * time.time())}"
            body = f"{self.name} {fetch.fields['item']} {fetch.trace}".encode()
        else:
            fields, body = self.answer(fetch)
        self.record.write(self.name, "answers", fetch.trace, fields)
        writer.write(f"{fetch.trace} 200 {fields} {len(body)}\r\n".encode() + body + b"\r\n")
        with contextlib.suppress(ConnectionError):
            await writer.drain()


class Coordinator:
    """The coordinator: holds numbered events and tells them to the fronts that connect.

    While `stopped` is set it stays open, also for new connections, and says nothing.
    """

    def __init__(self, record: Record, last: int = 1) -> None:
        self.port, self.record, self.stopped = 0, record, False
        self._events: list[tuple[int, int, bytes]] = []
        self._last = last
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._connection, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def hold(self, kind: int, payload: bytes, text: str) -> None:
        """Adds an event; from now on the coordinator holds it."""
        self._last += 1
        self._events.append((self._last, kind, payload))
        self.record.note("coordinator holds event", self._last, text)
        self.wake()

    def wake(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            told = int.from_bytes(await reader.readexactly(8), "big")
            self.record.write("coordinator is asked for events after", told)
            empty_due = time.time()
            while True:
                if not self.stopped:
                    for number, kind, payload in self._events:
                        if number > told:
                            told = number
                            self.record.write("coordinator tells event", number)
                            writer.write(struct.pack(">IQB", 9 + len(payload), number, kind) + payload)
                    if time.time() >= empty_due:
                        writer.write(struct.pack(">IQB", 9, self._last, 0))
                        empty_due = time.time() + 1.0
                    await writer.drain()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), 0.1)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


@dataclass
class Platform:
    """Two quay caches of one terminal, an upper cache, the booking core and the coordinator."""

    record: Record
    caches: list[Cache]
    coordinator: Coordinator

    @classmethod
    async def start(cls, record: Record) -> Platform:
        caches = [Cache("s-00000001", 0, 1, record), Cache("s-00000002", 0, 1, record),
                  Cache("s-000000a0", 1, 0, record), Cache("s-000000b0", 2, 0, record)]  # fmt: skip
        coordinator = Coordinator(record)
        for cache in caches:
            await cache.start()
        await coordinator.start()
        return cls(record, caches, coordinator)

    def configuration(self, folder: Path, listen: int) -> Path:
        """Writes a front's configuration: the example's settings, and this platform's addresses."""
        config = json.loads((ROOT / "example" / "config.json").read_text())
        models, zones = config["settings"]["models"], config["settings"]["zones"]
        entries = [cache.entry(models, zones) for cache in self.caches]
        known = {"index": 1, "snapshot": True, "endpoints": entries}
        config |= {"listen": f"127.0.0.1:{listen}", "coordinator": f"127.0.0.1:{self.coordinator.port}",
                   "known": {"index": 1, "updates": [{"index": 1, "endpoints": known}]}}  # fmt: skip
        path = folder / "config.json"
        path.write_text(json.dumps(config))
        return path

    def seen(self, trace: str) -> list[tuple[str, float]]:
        """Returns which caches got a request, and when."""
        return [(c.name, fetch.at) for c in self.caches for fetch in c.fetches if fetch.trace == trace]
