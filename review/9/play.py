"""Calls through the plug-in to a quay cache of which one good answer comes with a second copy."""

from __future__ import annotations

import asyncio
import contextlib
import json
import struct
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common_2"))

import rig as common  # noqa: E402

CALLS = 20
DOUBLED_CALL = 5  # its answer is sent twice


class RpcCache:
    """A quay cache as an RPC server: answers each call with the object that it names."""

    def __init__(self, record: common.Record) -> None:
        self.record, self.port, self.calls = record, 0, 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                size = struct.unpack(">i", await reader.readexactly(4))[0]
                message = await reader.readexactly(size)
                place = message.index(b"entity") + len(b"entity") + 4
                entity = message[place : place + 16]
                self.calls += 1
                head = struct.pack(">I", common.VERSION_1 | 2) + struct.pack(">i", 6) + b"handle" + bytes(4)
                body = b"\x0c\0\0\x0b\0\x01" + struct.pack(">i", len(entity)) + entity
                answer = head + body + b"\x02\0\x03\x01\0\0"
                frame = struct.pack(">i", len(answer)) + answer
                doubled = common.TROUBLE and self.calls == DOUBLED_CALL
                self.record.line(
                    f"cache answers {entity.decode()}{', with a second copy' if doubled else ''}"
                )
                writer.write(frame * (2 if doubled else 1))
                await writer.drain()
        writer.close()


async def play(rig: common.Rig) -> str:
    rpc_cache = RpcCache(rig.record)
    await rpc_cache.start()
    cache = common.Cache("s-00000001")
    cache.port = rpc_cache.port
    origin = common.Cache("s-000000b0", 2)
    await origin.start()
    dns_port = common.free_port()
    operator = (
        f'[dns]\nlisten = "127.0.0.1:{dns_port}"\nzone = "main.example.org"\ndeadline_ms = 250\n'
        '[[dns.host]]\nname = "papers.main.example.org"\nclass = "page"\nobject = "7f3a9c21e0b4d655"\n'
    )
    settings = common.settings()
    settings["ceilings"] |= {"probes": False}  # the quay caches of this installation speak RPC alone
    front = common.Front(rig, common.config([cache.entry(), origin.entry()], settings=settings), operator)
    await front.start()
    await front.ready()
    caller = common.Process(
        rig,
        "caller",
        f"exec .venv/bin/python {FOLDER}/caller.py {dns_port} {CALLS}",
        PYTHONPATH=str(common.ROOT),
    )
    await caller.start()
    assert caller.process is not None
    await asyncio.wait_for(caller.process.wait(), 60.0)
    results = [json.loads(line) for line in caller.log.read_text().splitlines() if line.startswith("{")]
    if caller.exit_status or len(results) != CALLS:
        raise RuntimeError(f"the caller ended with {caller.exit_status} after {len(results)} calls")
    foreign = [r for r in results if r["got"] != r["asked"] and not r["got"].startswith("failed")]
    for result in results:
        rig.record.line(f"asked for {result['asked']}, got {result['got']}")
    return f"{len(foreign)} of {CALLS} calls got the answer of another call" if foreign else ""


common.case(play, FOLDER)
