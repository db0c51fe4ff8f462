"""A relay on one link between two programs: it delays, holds and cuts what it is given."""

from __future__ import annotations

import asyncio
import contextlib
import time


class _Direction:
    """One direction of one connection."""

    def __init__(self, relay: Relay, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._relay, self._reader, self._writer = relay, reader, writer
        self._queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
        self.held: list[bytes] | None = None  # what is kept back; None: nothing is
        self.delayed = False

    async def read(self) -> None:
        try:
            while data := await self._reader.read(65536):
                if self._relay.cut:
                    continue
                if self.held is not None:
                    self.held.append(data)
                else:
                    due = time.monotonic() + (self._relay.delay if self.delayed else 0.0)
                    self._queue.put_nowait((due, data))
        except OSError:
            pass
        if self.held is None and not self._relay.cut:
            self._queue.put_nowait((0.0, b""))

    async def write(self) -> None:
        try:
            while True:
                due, data = await self._queue.get()
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                if not data:
                    break
                self._writer.write(data)
                await self._writer.drain()
        except OSError:
            pass
        self._writer.close()

    def release(self) -> int:
        """Passes on what was kept back; returns its size."""
        data, self.held = b"".join(self.held or []), None
        if data:
            self._queue.put_nowait((0.0, data))
        return len(data)


class Relay:
    """A listener that connects each client to one target.

    `delay` holds for what the side that connects sends. Once `cut` is set, nothing that is sent from then on
    arrives; what was sent before still does, after its delay, and connections stay open.
    """

    def __init__(self, target: int) -> None:
        self.target, self.port = target, 0
        self.delay, self.cut = 0.0, False
        self._open: list[tuple[_Direction, _Direction, asyncio.StreamWriter]] = []

    async def start(self) -> Relay:
        server = await asyncio.start_server(self._connection, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return self

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            to_reader, to_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.close()
            return
        there, back = _Direction(self, reader, to_writer), _Direction(self, to_reader, writer)
        there.delayed = True
        self._open.append((there, back, writer))
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(there.read(), there.write(), back.read(), back.write())

    def hold(self) -> list[_Direction]:
        """Keeps back what is sent from now on over the open connections."""
        held = [there for there, _, _ in self._open]
        for there in held:
            there.held = []
        return held

    def end_senders(self) -> None:
        """Ends the open connections at the side that connected; the other side stays open."""
        for _, back, writer in self._open:
            back.held = []
            writer.transport.abort()
        self._open.clear()
