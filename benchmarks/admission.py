"""Measures the service that known clients get during floods from a front with 256 descriptors and 96 MB.

    python -m benchmarks.admission [--quick] [--out DIR] [--before CHECKOUT] [--only NAME ...]

Before most floods the well-behaved clients send requests for six seconds, so that the front counts their
addresses as known, since none is listed in its configuration. They send again during the flood. In the
failover scenarios they start during the flood. With `--before` each scenario also runs against another
checkout of the project.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import subprocess
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import uvloop

from benchmarks import rig

KNOWN_ADDRESSES = [f"127.0.1.{i}" for i in range(1, 9)]
RATE = 10.0  # requests a second of each
OPERATOR = "[admission]\n"


@dataclass(frozen=True)
class Scenario:
    """One flood, and how the known clients connect during it."""

    name: str
    flood: str | None
    addresses: int = 1
    fresh: bool = False  # known clients open a new connection for each request
    known_before: bool = True  # the clients were served before the flood, so that they count as known
    gateway: int = 0  # number of known clients that share one address; 0: each has its own


SCENARIOS = [
    Scenario("calm", None),
    Scenario("silent connections", "silent"),
    Scenario("half a frame", "half"),
    Scenario("status twice a second", "status"),
    Scenario("status, known on new connections", "status", fresh=True),
    Scenario("32 requests at once, read and leave", "burst"),
    Scenario("32 long requests held open", "held"),
    Scenario("connect and close, 2,500/s", "connect"),
    Scenario("slow readers of 240 KB", "slow_readers"),
    Scenario("malformed", "malformed"),
    Scenario("32 at once from a /24", "burst", addresses=254),
    Scenario("32 at once from 10,000 addresses", "burst", addresses=10_000),
    Scenario("silent from 10,000 addresses", "silent", addresses=10_000),
    Scenario("60 known behind one gateway, 32 at once", "burst", gateway=60),
    Scenario("failover: newcomers beside 32 at once", "burst", known_before=False),
    Scenario("failover: newcomers beside silent", "silent", known_before=False),
]


async def run_scenario(
    scenario: Scenario, ports: list[int], program: Path, operator: str, seconds: float
) -> dict[str, Any]:
    """Runs one scenario against a new front and returns its results."""
    async with rig.front(ports, program=program, operator=operator) as front:
        warm_up_seconds = 6.0 if scenario.known_before else 0.0
        calm, count = rig.ClientResults(), rig.ClientResults()
        client_addresses = ["127.0.2.1"] * scenario.gateway if scenario.gateway else KNOWN_ADDRESSES
        rate = 80.0 / len(client_addresses)

        def clients(results: rig.ClientResults) -> list[rig.SteadyClient]:
            return [
                rig.SteadyClient(front, home, rate, results, fresh=scenario.fresh)
                for home in client_addresses
            ]

        if warm_up_seconds:
            until = time.monotonic() + warm_up_seconds
            await asyncio.gather(*(c.run(until) for c in clients(calm)))
        cpu, begun = front.cpu(), time.monotonic()
        process = None
        if scenario.flood:
            command = [sys.executable, "-m", "benchmarks.flood", scenario.flood, front.host, str(front.port)]
            command += [str(seconds + 1.0), str(scenario.addresses)]
            process = subprocess.Popen(command, cwd=rig.ROOT, stdout=subprocess.PIPE)
            await asyncio.sleep(1.0)  # the flood is under way before the clients connect
        start = time.monotonic()
        await asyncio.gather(*(c.run(start + seconds) for c in clients(count)))
        cpu_share = (front.cpu() - cpu) / (time.monotonic() - begun)
        flood = json.loads((await asyncio.to_thread(process.communicate))[0] or b"{}") if process else {}
        served_later = [good for at, good in count.at if at >= start + 1.0]
        return {
            "served": round(count.served, 4),
            "served_from_second_2": round(sum(served_later) / len(served_later), 4) if served_later else None,
            "p50_ms": count.quantile(0.5),
            "p99_ms": count.quantile(0.99),
            "ends": count.ends,
            "answered_twice": count.answered_twice + flood.get("twice", 0),
            "lost": count.lost,
            "cpu": round(cpu_share, 2),
            "descriptors": front.usage.descriptors,
            "rss_mb": front.usage.rss_mb,
            "flood": flood,
        }


def table(rows: list[tuple[str, dict[str, dict[str, Any]]]]) -> str:
    """A Markdown table with a row for each scenario and the versions side by side."""
    versions = list(rows[0][1])
    columns = [
        f"{what} {v}" for v in versions for what in ("served", "p50 ms", "p99 ms", "descriptors", "MB")
    ]
    lines = ["| the flood | " + " | ".join(columns) + " |", "|---|" + "---|" * len(columns)]
    for name, found in rows:
        cells = []
        for v in versions:
            r = found[v]
            cells += [f"{r['served']:.3f}", f"{r['p50_ms']:.0f}", f"{r['p99_ms']:.0f}", str(r["descriptors"]),
                      f"{r['rss_mb']:.0f}"]  # fmt: skip
        lines.append(f"| {name} | " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"


def chart(rows: list[tuple[str, dict[str, dict[str, Any]]]], path: Path) -> None:
    """Draws the served share of each scenario, the versions side by side."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot as plt

    versions, names = list(rows[0][1]), [name for name, _ in rows]
    figure, axes = plt.subplots(figsize=(9, 0.5 * len(names) + 1))
    height = 0.8 / len(versions)
    for i, v in enumerate(versions):
        places = [n + i * height for n in range(len(names))]
        axes.barh(places, [found[v]["served"] for _, found in rows], height, label=v)
    axes.set_yticks([n + 0.4 - height / 2 for n in range(len(names))], names)
    axes.invert_yaxis()
    axes.set_xlabel("known clients' requests served")
    axes.set_xlim(0, 1)
    axes.legend(loc="lower left")
    figure.tight_layout()
    figure.savefig(path, dpi=110)


async def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument(
        "--quick",
        action="store_true",
        help="the first two scenarios without a flood or with a burst, two seconds each",
    )
    parser.add_argument("--out", type=Path, help="write a table and a chart to this directory")
    parser.add_argument("--before", type=Path, help="another checkout to compare with")
    parser.add_argument(
        "--only", nargs="*", default=[], help="only scenarios whose names contain one of these"
    )
    parser.add_argument("--seconds", type=float, default=5.0)
    options = parser.parse_args()
    seconds = 2.0 if options.quick else options.seconds
    scenarios = [s for s in SCENARIOS if not options.only or any(o in s.name for o in options.only)]
    if options.quick:
        scenarios = [s for s in scenarios if s.flood in (None, "burst")][:2]
    versions = {"after": (rig.ROOT, OPERATOR)}
    if options.before:
        versions = {"before": (options.before.resolve(), ""), **versions}
    rows: list[tuple[str, dict[str, dict[str, Any]]]] = []
    async with rig.members() as ports:
        for scenario in scenarios:
            found = {}
            for name, (program, operator) in versions.items():
                found[name] = await run_scenario(scenario, ports, program, operator, seconds)
            rows.append((scenario.name, found))
            print(json.dumps({scenario.name: found}), file=sys.stderr, flush=True)
    if options.out:
        options.out.mkdir(parents=True, exist_ok=True)
        (options.out / "admission.md").write_text(table(rows))
        chart(rows, options.out / "admission.png")
    print(json.dumps(dict(rows)))
    return 0


if __name__ == "__main__":
    uvloop.install()
    sys.exit(asyncio.run(main()))
