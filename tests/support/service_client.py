"""A client of the front's service that uses one connection."""

from __future__ import annotations

import contextlib
import struct
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import anyio
import anyio.abc

from tests.support.front_configuration import KEY
from tests.support.front_world import RunningFront
from zincladder.net import thrift


@dataclass
class Reply:
    """A reply of the front; `kind` is 'served', 'Throttled', 'Broken' or 'application'.

    'Throttled' and 'Broken' are the service's exceptions; 'application' is Thrift's own exception.
    """

    seq: int
    kind: str
    body: bytes = b""
    fields: dict[str, str] = field(default_factory=dict)
    good: bool = False


class Client:
    """Calls the service over one connection. Replies may arrive in another order than the calls."""

    def __init__(self, stream: anyio.abc.SocketStream) -> None:
        self.stream, self.seq, self._data = stream, 0, b""

    async def send(self, verb: str, args: bytes, kind: int = thrift.CALL) -> int:
        self.seq += 1
        frame = thrift._message(kind, verb, self.seq) + args + b"\0"
        await self.stream.send(struct.pack(">i", len(frame)) + frame)
        return self.seq

    async def ask(self, body: bytes = b"", /, **fields: str) -> int:
        """Sends a request with these fields over the defaults, and returns its sequence number."""
        sent = {"route": "page", "trace": f"{self.seq + 1:016x}", "patience": "2000", "entity": KEY,
                "slice": "0", "set": "17"} | fields  # fmt: skip
        args = (
            b"\x0d\0\1" + thrift._encode_string_map(sent) + b"\x0b\0\2" + struct.pack(">i", len(body)) + body
        )
        return await self.send("handle", args)

    async def withdraw(self, seq: int) -> None:
        await self.send("withdraw", b"\x08\0\1" + struct.pack(">i", seq), thrift.ONEWAY)

    async def _exactly(self, size: int) -> bytes:
        while len(self._data) < size:
            self._data += await self.stream.receive()
        data, self._data = self._data[:size], self._data[size:]
        return data

    async def reply(self) -> Reply:
        r = thrift._Reader(await self._exactly(struct.unpack(">i", await self._exactly(4))[0]))
        kind = r.i32() & 0xFF
        r.text()
        seq = r.i32()
        if kind == thrift.EXCEPTION:
            return Reply(seq, "application")
        number = r.field()[1]
        reply = Reply(seq, ("served", "Throttled", "Broken")[number])
        while (inner := r.field())[0] != thrift.STOP:
            if inner[0] == thrift.STRING:
                reply.body = bytes(r.take(r.i32()))
            elif inner[0] == thrift.MAP:
                reply.fields = r.texts()
            else:
                reply.good = bool(r.byte())
        return reply


@contextlib.asynccontextmanager
async def client(w: RunningFront) -> AsyncIterator[Client]:
    async with await anyio.connect_tcp(*w.listening.clients) as stream:
        yield Client(stream)
