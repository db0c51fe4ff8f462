"""A stub coordinator on loopback that stores events and streams them to fronts."""

from __future__ import annotations

import contextlib
import struct
from dataclasses import dataclass, field

import anyio
import anyio.abc


@dataclass
class Coordinator:
    """Stores events and streams them to each front that connects.

    `after` has, for each connection, the number that the front sent to ask for events with higher numbers.
    """

    port: int = 0
    events: list[tuple[int, int, bytes]] = field(default_factory=list)
    after: list[int] = field(default_factory=list)
    streams: list[anyio.abc.ByteStream] = field(default_factory=list)
    followed: anyio.Event = field(default_factory=anyio.Event)
    turn: anyio.Lock = field(default_factory=anyio.Lock)
    down: bool = False  # new connections are closed before anything is read or sent
    turned_away: int = 0
    may_answer: anyio.Event | None = None  # if given, new connections get no events until it is set

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
        last = self.after[-1]
        if self.may_answer is not None:
            await self.may_answer.wait()
        with contextlib.suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
            for number, kind, payload in self.events:
                if number > last:
                    await stream.send(_frame(number, kind, payload))
            self.streams.append(stream)
            followed, self.followed = self.followed, anyio.Event()
            followed.set()
            while True:
                async with self.turn:
                    await stream.send(_frame(0, 0, b""))
                await anyio.sleep(0.3)

    async def go_down(self) -> None:
        """Closes all connections, and closes each new one at once until `down` is set to False."""
        self.down = True
        for stream in self.streams:
            await stream.aclose()
        self.streams.clear()

    async def tell(self, kind: int, payload: bytes) -> None:
        """Stores an event under the next number, and sends it on all connections."""
        number = (self.events[-1][0] if self.events else 1) + 1
        self.events.append((number, kind, payload))
        async with self.turn:
            for stream in tuple(self.streams):
                try:
                    await stream.send(_frame(number, kind, payload))
                except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                    self.streams.remove(stream)  # the front has closed it; others may still be open


def _frame(number: int, kind: int, payload: bytes) -> bytes:
    return struct.pack(">IQB", 9 + len(payload), number, kind) + payload
