"""Clients of a front: framed Thrift in the strict binary protocol, as the protocol page describes them."""

from __future__ import annotations

import asyncio
import contextlib
import random
import secrets
import struct
import time
from dataclasses import dataclass
from typing import Any

from review.common.platform import Platform

CALL, EXCEPTION, ONEWAY = 1, 3, 4
STRING, STRUCT, MAP = 11, 12, 13
MAX_OPEN = 32  # requests of one connection
IDLE_CLOSE_SECONDS = 4.0  # clients close connections that are idle for so long
CROSSING_SECONDS = 0.05  # a request that crosses the front's close goes again on a new connection, once
PATIENCE_MS = {"video": 6000, "page": 2500, "booking": 3000, "stamp": 2500}
# Shares of the requests, from the brief.
SHARES = {"video": 0.56, "page": 0.405, "booking": 0.035}
ANSWER_SLACK_SECONDS = 0.55  # 50 ms, and the half second in which an answer earns nothing and is not lost


def _text(data: bytes | str) -> bytes:
    data = data.encode() if isinstance(data, str) else data
    return struct.pack(">i", len(data)) + data


def message(kind: int, method: str, seq: int, args: bytes) -> bytes:
    body = struct.pack(">I", 0x80010000 | kind) + _text(method) + struct.pack(">i", seq) + args + b"\0"
    return struct.pack(">i", len(body)) + body


def handle(seq: int, fields: dict[str, str], body: bytes) -> bytes:
    pairs = b"".join(_text(key) + _text(value) for key, value in fields.items())
    args = struct.pack(">BhBBi", MAP, 1, STRING, STRING, len(fields)) + pairs
    return message(CALL, "handle", seq, args + struct.pack(">Bh", STRING, 2) + _text(body))


def read_reply(frame: bytes) -> tuple[int, str, bytes]:
    """Returns the sequence number, the kind of the answer and its body."""
    kind, length = frame[3], int.from_bytes(frame[4:8], "big")
    seq = int.from_bytes(frame[8 + length : 12 + length], "big")
    rest = frame[12 + length :]
    if kind == EXCEPTION:
        return seq, "failed", b""
    number = int.from_bytes(rest[1:3], "big")
    if number:
        return seq, ("refused", "failed")[number - 1], b""
    assert rest[3] == STRING, "the answer does not begin with its body"
    size = int.from_bytes(rest[6:10], "big")
    return seq, "served", rest[10 : 10 + size]


@dataclass
class Request:
    """One request of a client and what became of it."""

    trace: str
    fields: dict[str, str]
    body: bytes
    written_at: float = 0.0
    ended_at: float = 0.0
    outcome: str = ""  # served, refused, failed, timeout, cut, not connected
    answer: bytes = b""
    resent: bool = False


class Connection:
    """One connection of a client, with the requests that are open on it."""

    def __init__(self, clients: Clients, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.clients, self.reader, self.writer = clients, reader, writer
        self.seq, self.closed, self.used_at = 0, False, time.time()
        self.open: dict[int, Request] = {}
        self.task = asyncio.create_task(self._read())

    def send(self, request: Request) -> None:
        self.seq += 1
        self.open[self.seq] = request
        request.written_at = self.used_at = time.time()
        self.clients.record.write("client sends", request.trace, request.fields["route"],
                                  request.fields["entity"], "as", self.seq)  # fmt: skip
        self.writer.write(handle(self.seq, request.fields, request.body))

    def withdraw(self, request: Request) -> None:
        for seq, open_request in list(self.open.items()):
            if open_request is request:
                del self.open[seq]
                self.writer.write(message(ONEWAY, "withdraw", 0, struct.pack(">Bhi", 8, 1, seq)))

    async def _read(self) -> None:
        why = "closed"
        try:
            while True:
                size = int.from_bytes(await self.reader.readexactly(4), "big")
                seq, outcome, body = read_reply(await self.reader.readexactly(size))
                request = self.open.pop(seq, None)
                self.used_at = time.time()
                if request is None:
                    self.clients.record.write("client gets an answer to no open request", seq, outcome)
                    self.clients.second_answers += 1
                else:
                    self.clients.end(request, outcome, body)
        except asyncio.IncompleteReadError:
            pass
        except ConnectionError as error:
            why = type(error).__name__
        self.closed = True
        self.writer.close()
        left, self.open = list(self.open.values()), {}
        for request in left:
            crossed = time.time() - request.written_at <= CROSSING_SECONDS
            if crossed and not request.resent and not self.clients.platform.seen(request.trace):
                request.resent = True
                self.clients.record.write("request crossed a close and goes again", request.trace)
                self.clients.start(request, new=True)
            else:
                self.clients.record.write("connection ended", why, "under", request.trace)
                self.clients.end(request, "cut")


class Clients:
    """Some clients of one front that ask at a steady rate over their own connections."""

    def __init__(self, platform: Platform, port: int, connections: int = 8) -> None:
        self.platform, self.record, self._port = platform, platform.record, port
        self._slots: list[Connection | None] = [None] * connections
        self.requests: list[Request] = []
        self.second_answers = 0
        self._tasks: set[asyncio.Task[Any]] = set()

    def ask(self, route: str, entity: str, group: int = 1) -> Request:
        """Sends one request."""
        fields = {"route": route, "trace": secrets.token_hex(8), "patience": str(PATIENCE_MS[route]),
                  "entity": entity, "slice": "0", "set": str(group)}  # fmt: skip
        request = Request(fields["trace"], fields, b"a booking" if route == "booking" else b"")
        self.requests.append(request)
        self.start(request)
        return request

    def start(self, request: Request, new: bool = False) -> None:
        task = asyncio.create_task(self._send(request, new))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(self, request: Request, new: bool) -> None:
        slot = random.randrange(len(self._slots))
        connection = self._slots[slot]
        if connection and not connection.closed and time.time() - connection.used_at > IDLE_CLOSE_SECONDS:
            connection.writer.close()
            connection = None
        if new or connection is None or connection.closed or len(connection.open) >= MAX_OPEN:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
            except OSError as error:
                self.record.write("client cannot connect", error)
                self.end(request, "not connected")
                return
            connection = self._slots[slot] = Connection(self, reader, writer)
        connection.send(request)
        await asyncio.sleep(int(request.fields["patience"]) / 1000 + ANSWER_SLACK_SECONDS)
        if not request.outcome:
            connection.withdraw(request)
            self.end(request, "timeout")

    def end(self, request: Request, outcome: str, answer: bytes = b"") -> None:
        request.outcome, request.ended_at, request.answer = outcome, time.time(), answer
        self.record.write("client's request ends", request.trace, outcome)

    async def load(self, rate: float, seconds: float) -> None:
        """Asks for objects at random for some time."""
        end, classes = time.time() + seconds, list(SHARES)
        while time.time() < end:
            route = random.choices(classes, list(SHARES.values()))[0]
            self.ask(route, f"{random.randrange(200) + 1:016x}")
            await asyncio.sleep(random.expovariate(rate))

    async def finish(self) -> None:
        """Waits until each request has ended, and closes the connections."""
        while any(not request.outcome for request in self.requests):
            await asyncio.sleep(0.05)
        for task in self._tasks:
            task.cancel()
        for connection in self._slots:
            if connection is not None:
                connection.writer.close()
                with contextlib.suppress(asyncio.CancelledError, Exception):
                    await connection.task

    def lost(self) -> list[Request]:
        """Returns the requests that the front had certainly taken and that got no answer.

        A cache had got each of them, so that none only met a connection that was refused, reset or unread.
        """
        taken = [r for r in self.requests if r.outcome in ("cut", "timeout")]
        return [r for r in taken if self.platform.seen(r.trace)]

    def summary(self) -> str:
        counts: dict[str, int] = {}
        for request in self.requests:
            counts[request.outcome or "open"] = counts.get(request.outcome or "open", 0) + 1
        return ", ".join(f"{count} {outcome}" for outcome, count in sorted(counts.items()))
