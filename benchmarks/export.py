"""Measures what metrics export costs a front, also with a stalled receiver, and how fast a spool is replayed.

    python -m benchmarks.export [--quick] [--out DIR] [--rounds N]

'off' exports nothing. 'stalled' pushes every second to a receiver that accepts connections and never answers,
'taken' to one that accepts every push. The three alternate, and each result is the median of the rounds. The
rates of the spool are for writing batches, and for reading, compressing and acknowledging them, without a
network.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import statistics
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import uvloop

from benchmarks import rig
from zincladder.export import messages
from zincladder.export.spool import Spool
from zincladder.metrics.exposition import Sample


@contextlib.asynccontextmanager
async def receiver(stalled: bool) -> AsyncIterator[int]:
    """Runs a receiver of remote write, which never answers if `stalled`; yields its port."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            if stalled:
                await asyncio.sleep(3600)
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            await reader.readexactly(int(head.partition(b"content-length:")[2].split(b"\r\n")[0]))
            writer.write(b"HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n")
            await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    yield server.sockets[0].getsockname()[1]
    server.close()


async def run_load(ports: list[int], operator: str, rate: float, seconds: float) -> dict[str, float]:
    """Runs sixteen steady clients, `rate` requests a second in all, against a front.

    `operator` is the text of the operator's TOML file.
    """
    async with rig.front(ports, operator=operator) as front:
        addresses = [f"127.0.1.{i}" for i in range(1, 17)]
        warm_up, count = rig.ClientResults(), rig.ClientResults()
        until = time.monotonic() + 2.0
        await asyncio.gather(*(rig.SteadyClient(front, h, rate / 16, warm_up).run(until) for h in addresses))
        before, until = front.cpu(), time.monotonic() + seconds
        await asyncio.gather(*(rig.SteadyClient(front, h, rate / 16, count).run(until) for h in addresses))
        return {
            "served": count.served,
            "p99_ms": count.quantile(0.99),
            "request_us": (front.cpu() - before) / count.asked * 1e6,
            "rss_mb": front.usage.rss_mb,
        }


def series(count: int) -> list[Sample]:
    labels = [(("cache", f"s-{i:08x}"), ("front", "n1")) for i in range(count)]
    return [Sample("zincladder_cache_attempts_total", pair, float(i)) for i, pair in enumerate(labels)]


def measure_spool(batches: int) -> dict[str, float]:
    """Writes batches to a spool, then replays them; rates in MB/s."""
    payload = messages.encode_batch(series(400), 1, 1).payload
    with tempfile.TemporaryDirectory() as folder:
        store = Spool(Path(folder), 1 << 30)
        began = time.perf_counter()
        for i in range(batches):
            store.append(i, payload)
        write_seconds, sent = time.perf_counter() - began, 0
        began = time.perf_counter()
        while (first := store.oldest()) is not None:
            messages.push_body(first.payload, 2)
            store.acknowledge(first)
            sent += 1
        read_seconds = time.perf_counter() - began
        store.close()
    assert sent == batches
    size = batches * len(payload) / 1e6
    return {"batch_kb": round(len(payload) / 1e3, 1), "written_mb_s": round(size / write_seconds, 1),
            "replayed_mb_s": round(size / read_seconds, 1)}  # fmt: skip


def push_sizes() -> dict[str, dict[str, int]]:
    """Bytes of one push, by number of series and version of remote write."""
    found = {}
    for count in (100, 2000):
        payload = messages.encode_batch(series(count), 1_764_576_000_000, 1_764_570_000_000).payload
        found[f"{count} series"] = {f"{v}.0": len(messages.push_body(payload, v).body) for v in (1, 2)}
    return found


async def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--quick", action="store_true", help="one short round")
    parser.add_argument("--out", type=Path, help="write a table to this directory")
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--rate", type=float, default=200.0, help="requests a second")
    options = parser.parse_args()
    rounds, seconds = (1, 2.0) if options.quick else (options.rounds, 6.0)
    found: dict[str, list[dict[str, float]]] = {"off": [], "stalled": [], "taken": []}
    async with rig.members() as ports, receiver(True) as dead, receiver(False) as alive:
        for _ in range(rounds):
            for name, port in (("off", 0), ("stalled", dead), ("taken", alive)):
                push = f'[remote_write]\nurl = "http://127.0.0.1:{port}/w"\nevery_s = 1\n' if port else ""
                found[name].append(await run_load(ports, "[admission]\n" + push, options.rate, seconds))
    result: dict[str, Any] = {
        name: {key: round(statistics.median(r[key] for r in runs), 3) for key in runs[0]}
        for name, runs in found.items()
    }
    result["spool"] = measure_spool(100 if options.quick else 1000)
    result["push_bytes"] = push_sizes()
    if options.out:
        options.out.mkdir(parents=True, exist_ok=True)
        lines = ["| | served | p99 ms | CPU of a request, µs | MB |", "|---|---|---|---|---|"]
        for name in found:
            r = result[name]
            cells = (
                f"{r['served']:.3f}",
                f"{r['p99_ms']:.1f}",
                f"{r['request_us']:.0f}",
                f"{r['rss_mb']:.1f}",
            )
            lines.append(f"| {name} | {' | '.join(cells)} |")
        (options.out / "export.md").write_text("\n".join(lines) + "\n")
    print(json.dumps(result))
    return 0


if __name__ == "__main__":
    uvloop.install()
    sys.exit(asyncio.run(main()))
