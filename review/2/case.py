"""An upgrade of a front whose operator's file has a spool for remote write.

`OVERLAP_S=1` sends SIGTERM 1 s after the new process says yes, and begins the upgrade later.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import time
from pathlib import Path

from review.common.clients import Clients
from review.common.platform import Platform, Record
from review.common.processes import Front, free_port, run_case

REQUESTS_PER_SECOND = 36.0  # of one front: about 110 a second for three
OVERLAP_SECONDS = float(os.environ.get("OVERLAP_S", "5"))  # the page allows 6 s until SIGTERM
# The sample's push interval is 15 s. The upgrade begins 11.5 s after the start, so that one push falls into
# the time in which both processes run; with a shorter interval any upgrade would do.
PUSH_INTERVAL_SECONDS = 15
SECONDS_BEFORE, SECONDS_AFTER = 14.375 - 0.575 * OVERLAP_SECONDS, 3.0


async def receive(record: Record, port: int) -> asyncio.Server:
    """A remote-write receiver that takes every push at once."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            length = next(line for line in head.splitlines() if line.lower().startswith("content-length"))
            body = await reader.readexactly(int(length.split(":")[1]))
            record.write("receiver takes a push of", len(body), "bytes")
            writer.write(b"HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n")
            await writer.drain()
        writer.close()

    return await asyncio.start_server(serve, "127.0.0.1", port)


async def case(record: Record, folder: Path, trouble: bool) -> bool:
    platform = await Platform.start(record)
    listen, receiver_port = free_port(), free_port()
    await receive(record, receiver_port)
    config = platform.configuration(folder, listen)
    operator = folder / "operator.toml"
    operator.write_text(
        f'[remote_write]\nurl = "http://127.0.0.1:{receiver_port}/api/v1/write"\n'
        f'every_s = {PUSH_INTERVAL_SECONDS}\nspool = "{folder}/spool"\n'
    )
    old, new = (Front(name, record, folder, config, operator) for name in ("old", "new"))
    clients = Clients(platform, listen)
    ended_by_itself = False
    try:
        await old.start(folder / "tmp")
        await old.until_ready()
        duration = SECONDS_BEFORE + OVERLAP_SECONDS + SECONDS_AFTER
        load = asyncio.create_task(clients.load(REQUESTS_PER_SECOND, duration))
        await asyncio.sleep(SECONDS_BEFORE)
        if trouble:
            await new.start(folder / "tmp")
            await new.until_ready()
        told_at = time.time() + OVERLAP_SECONDS
        while time.time() < told_at and old.status is None:
            await asyncio.sleep(0.02)
        ended_by_itself = old.status is not None
        if ended_by_itself:
            record.note("the old process has ended by itself with status", old.status)
        elif trouble:
            old.signal(signal.SIGTERM)
        await load
        await clients.finish()
        if trouble:
            await new.end()
        await old.end()
    finally:
        for front in (old, new):
            if front.process is not None:
                if front.status is None:
                    front.process.kill()
                    await front.process.wait()
                front.copy_log()
    lost = clients.lost()
    for request in lost:
        record.write("lost:", request.trace, request.fields["route"], request.outcome,
                     f"open for {request.ended_at - request.written_at:.3f} s;",
                     "forwarded to", platform.seen(request.trace))  # fmt: skip
    record.note("requests:", clients.summary())
    record.note(f"{len(lost)} requests lost that had been forwarded to a cache")
    # The old process may leave sooner, and an end after SIGTERM is no crash: what counts is the loss.
    return not lost


if __name__ == "__main__":
    run_case(__file__, case)
