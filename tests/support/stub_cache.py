"""A stub cache, parent or origin on loopback whose answers come from a script."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

import anyio
import anyio.abc

MODELS = ["small", "parent", "origin"]
ZONES = ["main", "edge"]

Script = Callable[["StubCache", "Fetch"], Coroutine[Any, Any, None]]


@dataclass
class Fetch:
    """A `fetch` message that has arrived, and the connection on which it is answered."""

    name: str
    fields: dict[str, str]
    body: bytes
    stream: anyio.abc.ByteStream
    turn: anyio.Lock

    async def answer(self, status: int, fields: str = "-", body: bytes = b"") -> None:
        end = b"\r\n" if body else b""
        async with self.turn:
            await self.stream.send(f"{self.name} {status} {fields} {len(body)}\r\n".encode() + body + end)


async def serve(_: StubCache, fetch: Fetch) -> None:
    """Answers a fetch with a hit, as a healthy cache does."""
    await fetch.answer(200, "tell=local,rev=aa,since=1", fetch.fields["item"].encode())


@dataclass
class StubCache:
    """A cache, parent or origin that runs `script` for each fetch."""

    name: str
    kind: int
    script: Script = serve
    port: int = 0
    fetches: list[Fetch] = field(default_factory=list)
    aborts: list[str] = field(default_factory=list)
    came: anyio.Event = field(default_factory=anyio.Event)
    connections: int = 0
    open: int = 0  # the number of open connections
    mute: bool = False  # probes get no answer
    weight: int = 1
    zone: str = ""  # if empty, the zone follows from the kind

    def endpoint(self, status: str = "up", since: int = 0) -> dict[str, Any]:
        address = f"127.0.0.1:{self.port}"
        zone = self.zone or ZONES[self.kind == 0]
        return {"name": self.name, "address": address, "zone": zone, "type": MODELS[self.kind], "group": 0,
                "status": status, "weight": self.weight, "since_ms": since}  # fmt: skip

    def record(self, state: int) -> bytes:
        """Encodes the endpoint for the coordinator's list; states are 0 ready, 1 draining and 2 removed."""
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
            self.open -= 1  # the front or the script closed the connection
            came, self.came = self.came, anyio.Event()
            came.set()
