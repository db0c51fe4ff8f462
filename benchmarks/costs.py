"""Measures a front's CPU time for a served request, an admitted connection and a rejected connection.

    python -m benchmarks.costs [--quick] [--out DIR] [--before CHECKOUT] [--rounds N]

Results are CPU microseconds of the front's process for each request or connection: the median, the least and
the most of the rounds. Requests are measured with several versions, which alternate (A B A B): 'off' and
'on' are this checkout without and with admission by source, and 'before' is the checkout that --before names.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import socket
import statistics
import sys
import time
from pathlib import Path
from typing import Any

import uvloop

from benchmarks import rig

LISTED_NETWORKS = '[admission]\nblocked = ["127.9.0.0/16"]\n[[admission.network]]\nnet = "127.0.0.0/16"\n'
SETTLE_SECONDS = 1.0  # lets the front finish its start and its open work before its CPU time is read


async def cpu_us_per_request(front: rig.Front, rate: float, seconds: float) -> float:
    """CPU microseconds of the front for one served request, under eight steady clients."""
    count = rig.ClientResults()
    addresses = [f"127.0.1.{i}" for i in range(1, 9)]
    warm_up_until = time.monotonic() + 1.0
    await asyncio.gather(
        *(rig.SteadyClient(front, h, rate / 8, rig.ClientResults()).run(warm_up_until) for h in addresses)
    )
    before, until = front.cpu(), time.monotonic() + seconds
    await asyncio.gather(*(rig.SteadyClient(front, h, rate / 8, count).run(until) for h in addresses))
    used = front.cpu() - before
    assert count.served == 1.0, count.ends
    return used / count.asked * 1e6


async def cpu_us_per_connection(front: rig.Front, address: str, count: int, pause: float) -> float:
    """CPU microseconds of the front for one connection that the client closes as soon as it is established.

    The client pauses for `pause` seconds after every 16 connections: without it, connections that should be
    admitted would find no free slot.
    """

    def connect() -> None:
        for i in range(count):
            with contextlib.suppress(OSError), socket.socket() as sock:
                sock.settimeout(5)
                sock.bind((address, 0))
                sock.connect((front.host, front.port))
            if i % 16 == 0:
                time.sleep(pause)

    await asyncio.sleep(SETTLE_SECONDS)
    before, begun = front.cpu(), time.monotonic()
    await asyncio.sleep(1.0)
    idle = (front.cpu() - before) / (time.monotonic() - begun)  # CPU share of the front's own timers
    before, begun = front.cpu(), time.monotonic()
    await asyncio.to_thread(connect)
    await asyncio.sleep(SETTLE_SECONDS)
    return (front.cpu() - before - idle * (time.monotonic() - begun)) / count * 1e6


def summary(values: list[float]) -> dict[str, float]:
    return {"median": round(statistics.median(values), 1), "least": round(min(values), 1),
            "most": round(max(values), 1)}  # fmt: skip


async def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--quick", action="store_true", help="one short round")
    parser.add_argument("--out", type=Path, help="write a table to this directory")
    parser.add_argument("--before", type=Path, help="another checkout to compare with")
    parser.add_argument("--rounds", type=int, default=5)
    options = parser.parse_args()
    rounds, seconds, connection_count = (1, 2.0, 1000) if options.quick else (options.rounds, 6.0, 6000)
    versions: dict[str, tuple[Path, str]] = {"off": (rig.ROOT, ""), "on": (rig.ROOT, "[admission]\n")}
    if options.before:
        versions = {"before": (options.before.resolve(), ""), **versions}
    request_costs: dict[str, list[float]] = {name: [] for name in versions}
    connection_costs: dict[str, list[float]] = {"admitted": [], "turned_away": []}
    async with rig.members() as ports:
        for _ in range(rounds):
            for name, (program, operator) in versions.items():
                async with rig.front(ports, program=program, operator=operator) as front:
                    request_costs[name].append(await cpu_us_per_request(front, 160.0, seconds))
            async with rig.front(ports, operator=LISTED_NETWORKS) as front:
                connection_costs["admitted"].append(
                    await cpu_us_per_connection(front, "127.0.1.1", connection_count // 2, 0.02)
                )
                connection_costs["turned_away"].append(
                    await cpu_us_per_connection(front, "127.9.1.1", 3 * connection_count, 0.002)
                )
    result: dict[str, Any] = {
        "request_us": {name: summary(found) for name, found in request_costs.items()},
        "connection_us": {name: summary(found) for name, found in connection_costs.items()},
    }
    if options.out:
        options.out.mkdir(parents=True, exist_ok=True)
        lines = ["| CPU of the front, µs | median | least | most |", "|---|---|---|---|"]
        for what, found in result.items():
            for name, s in found.items():
                lines.append(f"| {what[:-3]}, {name} | {s['median']} | {s['least']} | {s['most']} |")
        (options.out / "costs.md").write_text("\n".join(lines) + "\n")
    print(json.dumps(result))
    return 0


if __name__ == "__main__":
    uvloop.install()
    sys.exit(asyncio.run(main()))
