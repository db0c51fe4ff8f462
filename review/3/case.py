"""A front with `/metrics` that is scraped, and some of whose new connections from scrapers are reset."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from pathlib import Path

from review.common.clients import Clients
from review.common.platform import Platform, Record
from review.common.processes import CannotRunError, Front, free_port, run_case

REQUESTS_PER_SECOND = 36.0  # of one front: about 110 a second for three
SECONDS_BEFORE, RESETS, SECONDS_AFTER = 4.0, 3, 3.0
SCRAPE_INTERVAL_SECONDS = 1.0
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # of SO_LINGER: the close sends a reset


async def scrape(record: Record, port: int) -> None:
    """Fetches the metrics once a second and reads the whole answer."""
    while True:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /metrics HTTP/1.1\r\nHost: front\r\n\r\n")
            answer = await reader.read()
            writer.close()
            record.write("scrape:", answer.partition(b"\r\n")[0].decode(), len(answer), "bytes")
        await asyncio.sleep(SCRAPE_INTERVAL_SECONDS)


def reset_new_connection(record: Record, port: int) -> None:
    """Connects, and resets the connection at once."""
    try:
        with socket.create_connection(("127.0.0.1", port), 1.0) as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        record.note("a new connection to /metrics is reset")
    except OSError as error:
        record.note("no connection to /metrics:", error)


async def case(record: Record, folder: Path, trouble: bool) -> bool:
    platform = await Platform.start(record)
    listen, metrics = free_port(), free_port()
    config = platform.configuration(folder, listen)
    operator = folder / "operator.toml"
    operator.write_text(f'[metrics]\nlisten = "127.0.0.1:{metrics}"\n')
    front = Front("front", record, folder, config, operator)
    clients = Clients(platform, listen)
    scraper = asyncio.create_task(scrape(record, metrics))
    try:
        await front.start(folder / "tmp")
        await front.until_ready()
        duration = SECONDS_BEFORE + RESETS + SECONDS_AFTER
        load = asyncio.create_task(clients.load(REQUESTS_PER_SECOND, duration))
        await asyncio.sleep(SECONDS_BEFORE)
        if front.status is not None:
            raise CannotRunError("the front ended before the disruption")
        for _ in range(RESETS):
            if trouble and front.status is None:
                reset_new_connection(record, metrics)
            await asyncio.sleep(1.0)
        await load
        await clients.finish()
        ended_by_itself = front.status is not None
        if ended_by_itself:
            record.note("the front has ended by itself with status", front.status)
        await front.end()
    finally:
        scraper.cancel()
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
    return not lost and not ended_by_itself


if __name__ == "__main__":
    run_case(__file__, case)
