"""A booking through the plug-in whose connection is reset after it ran, under a library that retries."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common_2"))

import rig as common  # noqa: E402

BOOKINGS = 6
RESET_BOOKINGS = (2, 4)  # the connection is reset under these, counted from 1, right after they ran


class BookingCore:
    """The booking core as an RPC server: runs each call that it reads whole, and answers it."""

    def __init__(self, record: common.Record) -> None:
        self.record, self.port = record, 0
        self.runs: Counter[str] = Counter()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                size = struct.unpack(">i", await reader.readexactly(4))[0]
                message = await reader.readexactly(size)
                place = message.index(b"trace") + len(b"trace") + 4
                trace = message[place : place + 16].decode()
                is_first = trace not in self.runs
                self.runs[trace] += 1
                self.record.line(f"booking core runs {trace}, for the {self.runs[trace]}. time")
                if common.TROUBLE and is_first and len(self.runs) in RESET_BOOKINGS:
                    self.record.line(f"booking core: connection reset under {trace}")
                    sock = writer.get_extra_info("socket")
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    writer.transport.abort()
                    return
                # the sequence number follows the version, the name's length and the name
                seq = message[8 + len(b"handle") : 12 + len(b"handle")]
                head = struct.pack(">I", common.VERSION_1 | 2) + struct.pack(">i", 6) + b"handle" + seq
                answer = head + b"\x0c\0\0\x0b\0\x01\0\0\0\x02ok\x02\0\x03\x01\0\0"
                writer.write(struct.pack(">i", len(answer)) + answer)
                await writer.drain()
        writer.close()


async def play(rig: common.Rig) -> str:
    core = BookingCore(rig.record)
    await core.start()
    origin = common.Cache("s-000000b0", 2)
    origin.port = core.port
    cache = common.Cache("s-00000001")
    await cache.start()
    dns_port = common.free_port()
    operator = (
        f'[dns]\nlisten = "127.0.0.1:{dns_port}"\nzone = "main.example.org"\ndeadline_ms = 250\n'
        '[[dns.host]]\nname = "booking.main.example.org"\nclass = "booking"\n'
    )
    # the DNS front needs no reports, and the booking core of this installation speaks RPC alone
    settings = common.settings()
    settings["ceilings"] |= {"probes": False}
    front = common.Front(rig, common.config([cache.entry(), origin.entry()], settings=settings), operator)
    await front.start()
    await front.ready()
    caller = common.Process(
        rig, "caller", f"exec .venv/bin/python {FOLDER}/caller.py {dns_port} {BOOKINGS}",
        PYTHONPATH=str(common.ROOT),
    )  # fmt: skip
    await caller.start()
    assert caller.process is not None
    await asyncio.wait_for(caller.process.wait(), 60.0)
    if caller.exit_status or len(core.runs) < BOOKINGS:
        raise RuntimeError(f"the caller ended with {caller.exit_status} after {len(core.runs)} bookings")
    twice = {trace: times for trace, times in core.runs.items() if times > 1}
    return f"{len(twice)} of {BOOKINGS} bookings ran more than once: {twice}" if twice else ""


common.case(play, FOLDER)
