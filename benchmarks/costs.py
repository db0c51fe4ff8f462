"""What a front's process spends: on a served request, on a connection that is admitted, on one turned away.

    python -m benchmarks.costs [--quick] [--out DIR] [--before CHECKOUT] [--rounds N]

CPU time of the front's process over what it did, in microseconds; versions run in turn (A B A B), and each
figure is the median of the rounds with the least and the most. 'off' and 'on' are this checkout without and
with admission by source.
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

LISTED = '[admission]\nblocked = ["127.9.0.0/16"]\n[[admission.network]]\nnet = "127.0.0.0/16"\n'
FADE = 1.0  # seconds for what is under way, its start too, to end before the clock is read


async def served(front: rig.Front, rate: float, seconds: float) -> float:
    """CPU microseconds for one served request of eight steady clients."""
    count = rig.Count()
    homes = [f"127.0.1.{i}" for i in range(1, 9)]
    warm = time.monotonic() + 1.0
    await asyncio.gather(*(rig.UsualClient(front, h, rate / 8, rig.Count()).run(warm) for h in homes))
    before, until = front.cpu(), time.monotonic() + seconds
    await asyncio.gather(*(rig.UsualClient(front, h, rate / 8, count).run(until) for h in homes))
    used = front.cpu() - before
    assert count.served == 1.0, count.ends
    return used / count.asked * 1e6


async def connections(front: rig.Front, home: str, count: int, pause: float) -> float:
    """CPU microseconds for one connection from an address that ends it as soon as it is up.

    `pause` is in seconds after each 16. Those to be admitted need one, or they would find no slot free.
    """

    def connect() -> None:
        for i in range(count):
            with contextlib.suppress(OSError), socket.socket() as sock:
                sock.settimeout(5)
                sock.bind((home, 0))
                sock.connect((front.host, front.port))
            if i % 16 == 0:
                time.sleep(pause)

    await asyncio.sleep(FADE)
    before, begun = front.cpu(), time.monotonic()
    await asyncio.sleep(1.0)
    idle = (front.cpu() - before) / (time.monotonic() - begun)  # what its own timers take of each second
    before, begun = front.cpu(), time.monotonic()
    await asyncio.to_thread(connect)
    await asyncio.sleep(FADE)
    return (front.cpu() - before - idle * (time.monotonic() - begun)) / count * 1e6


def summary(values: list[float]) -> dict[str, float]:
    return {"median": round(statistics.median(values), 1), "least": round(min(values), 1),
            "most": round(max(values), 1)}  # fmt: skip


async def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--quick", action="store_true", help="one short round")
    parser.add_argument("--out", type=Path, help="keep a table here")
    parser.add_argument("--before", type=Path, help="another checkout to compare with")
    parser.add_argument("--rounds", type=int, default=5)
    options = parser.parse_args()
    rounds, seconds, many = (1, 2.0, 1000) if options.quick else (options.rounds, 6.0, 6000)
    versions: dict[str, tuple[Path, str]] = {"off": (rig.ROOT, ""), "on": (rig.ROOT, "[admission]\n")}
    if options.before:
        versions = {"before": (options.before.resolve(), ""), **versions}
    requests: dict[str, list[float]] = {name: [] for name in versions}
    doors: dict[str, list[float]] = {"admitted": [], "turned_away": []}
    async with rig.members() as ports:
        for _ in range(rounds):
            for name, (program, operator) in versions.items():
                async with rig.front(ports, program=program, operator=operator) as front:
                    requests[name].append(await served(front, 160.0, seconds))
            async with rig.front(ports, operator=LISTED) as front:
                doors["admitted"].append(await connections(front, "127.0.1.1", many // 2, 0.02))
                doors["turned_away"].append(await connections(front, "127.9.1.1", 3 * many, 0.002))
    result: dict[str, Any] = {
        "request_us": {name: summary(found) for name, found in requests.items()},
        "connection_us": {name: summary(found) for name, found in doors.items()},
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
