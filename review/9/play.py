"""An upgrade while the receiver of remote write is down: which samples arrive once it is back?"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
import time
from collections.abc import Iterator
from itertools import pairwise
from pathlib import Path

import cramjam

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common_2"))

import rig as common  # noqa: E402

EVERY_S = 0.5  # between two batches
QUEUE_KB, SPOOL_MB = 64, 64
BEFORE_UPGRADE_SECONDS, AFTER_UPGRADE_SECONDS = 4.0, 36.0
BOTH_RUN_SECONDS = 1.0  # from the new process's yes to the SIGTERM of the old one
DELIVERY_SECONDS = 45.0  # after the receiver is back; a sender waits for 30 s at most between two tries
MAX_GAP_SECONDS = 4.0  # between two samples that follow each other: eight batches


def fields(data: bytes) -> Iterator[tuple[int, int, bytes]]:
    """The fields of a protobuf message: number, value of a varint (else 0), bytes (else empty)."""
    position = 0

    def varint() -> int:
        nonlocal position
        value, shift = 0, 0
        while True:
            byte = data[position]
            position, value, shift = position + 1, value | (byte & 0x7F) << shift, shift + 7
            if byte < 0x80:
                return value

    while position < len(data):
        key = varint()
        number, kind = key >> 3, key & 7
        if kind == 0:
            yield number, varint(), b""
        elif kind == 2:
            size = varint()
            yield number, 0, data[position : position + size]
            position += size
        else:
            position += {1: 8, 5: 4}[kind]
            yield number, 0, b""


class Receiver:
    """A receiver of remote write that takes 1.0 and answers 415 to anything newer."""

    def __init__(self, record: common.Record) -> None:
        self.record, self.port = record, common.free_port()
        self.times_ms: set[int] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.record.line("the receiver is up")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                lines = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
                body = await reader.readexactly(int(lines["content-length"]))
                status = "415 Unsupported Media Type"
                if (
                    "proto=" not in lines["content-type"]
                    or "prometheus.writerequest" in lines["content-type"]
                ):
                    self._take(bytes(cramjam.snappy.decompress_raw(body)))
                    status = "204 No Content"
                writer.write(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n".encode())
                await writer.drain()
        writer.close()

    def _take(self, request: bytes) -> None:
        """Keeps the times of all samples: fields 1 (timeseries), 2 (samples), 2 (timestamp)."""
        times = {
            value
            for number, _, series in fields(request)
            if number == 1
            for inner, _, sample in fields(series)
            if inner == 2
            for place, value, _ in fields(sample)
            if place == 2
        }
        self.times_ms |= times
        self.record.line(
            f"received samples of {sorted(time / 1000 - self.record.started_at for time in times)}"
        )


async def play(rig: common.Rig) -> str:
    members = [common.Cache("s-00000001"), common.Cache("s-000000b0", 2)]
    for member in members:
        await member.start()
    receiver = Receiver(rig.record)
    if not common.TROUBLE:
        await receiver.start()
    operator = (
        f'[remote_write]\nurl = "http://127.0.0.1:{receiver.port}/api/v1/write"\nevery_s = {EVERY_S}\n'
        f'queue_kb = {QUEUE_KB}\nspool = "{rig.folder}/spool"\nspool_mb = {SPOOL_MB}\n'
    )
    old = common.Front(rig, common.config([member.entry() for member in members]), operator)
    await old.start()
    await old.ready()
    await asyncio.sleep(BEFORE_UPGRADE_SECONDS)
    new = old.successor()
    await new.start()
    await new.ready()
    await asyncio.sleep(BOTH_RUN_SECONDS)
    rig.record.line("SIGTERM to the old process")
    old.signal(signal.SIGTERM)
    assert old.process is not None
    await asyncio.wait_for(old.process.wait(), 6.0)
    rig.record.line(f"the old process ended with {old.exit_status}")
    await asyncio.sleep(AFTER_UPGRADE_SECONDS)
    back_at_ms = int(time.time() * 1000)
    if common.TROUBLE:
        await receiver.start()
    ends_at = time.monotonic() + DELIVERY_SECONDS
    while time.monotonic() < ends_at and not (
        receiver.times_ms and max(receiver.times_ms) > back_at_ms + 3000
    ):
        await asyncio.sleep(0.5)
    if new.exit_status is not None or not receiver.times_ms:
        raise RuntimeError("the new process ended, or nothing arrived")
    times = sorted(receiver.times_ms)
    gaps = [(b - a) / 1000 for a, b in pairwise(times) if b - a > MAX_GAP_SECONDS * 1000]
    rig.record.line(f"{len(times)} times received, {sum(time <= back_at_ms for time in times)} of the outage")
    rig.record.line(f"gaps in seconds: {gaps}")
    return f"no sample of {sum(gaps):.1f} s arrived, with a spool of {SPOOL_MB} MB" if gaps else ""


common.case(play, FOLDER)
