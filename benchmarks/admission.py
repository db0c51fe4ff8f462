"""What a flood takes from those who behave: every flood against a front with 256 descriptors and 96 MB.

    python -m benchmarks.admission [--quick] [--out DIR] [--before CHECKOUT] [--only NAME ...]

For each flood the known clients ask for some seconds on their own first (a front learns whom it
knows; nobody is listed), then beside the flood. `--before` runs the same against another
checkout of the project, in turn.
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

KNOWN = [f"127.0.1.{i}" for i in range(1, 9)]
RATE = 10.0  # requests a second of each
OPERATOR = "[admission]\n"


@dataclass(frozen=True)
class Story:
    """One flood and how the known clients come beside it."""

    name: str
    flood: str | None
    addresses: int = 1
    fresh: bool = False  # known clients connect anew for each request
    learned: bool = True  # they had been there before the flood
    gateway: int = 0  # so many known clients behind one address instead of one each


STORIES = [
    Story("calm", None),
    Story("silent connections", "silent"),
    Story("half a frame", "half"),
    Story("status twice a second", "status"),
    Story("status, known on new connections", "status", fresh=True),
    Story("32 requests at once, read and leave", "burst"),
    Story("32 long requests held open", "held"),
    Story("connect and close, 2,500/s", "connect"),
    Story("slow readers of 240 KB", "slow_readers"),
    Story("malformed", "malformed"),
    Story("32 at once from a /24", "burst", addresses=254),
    Story("32 at once from 10,000 addresses", "burst", addresses=10_000),
    Story("silent from 10,000 addresses", "silent", addresses=10_000),
    Story("60 known behind one gateway, 32 at once", "burst", gateway=60),
    Story("failover: newcomers beside 32 at once", "burst", learned=False),
    Story("failover: newcomers beside silent", "silent", learned=False),
]


async def play(
    story: Story, ports: list[int], program: Path, operator: str, seconds: float
) -> dict[str, Any]:
    """One story against a new front."""
    async with rig.front(ports, program=program, operator=operator) as front:
        learning = 6.0 if story.learned else 0.0
        calm, count = rig.Count(), rig.Count()
        homes = ["127.0.2.1"] * story.gateway if story.gateway else KNOWN
        rate = 80.0 / len(homes)

        def clients(into: rig.Count) -> list[rig.UsualClient]:
            return [rig.UsualClient(front, home, rate, into, fresh=story.fresh) for home in homes]

        if learning:
            until = time.monotonic() + learning
            await asyncio.gather(*(c.run(until) for c in clients(calm)))
        cpu, begun = front.cpu(), time.monotonic()
        process = None
        if story.flood:
            command = [sys.executable, "-m", "benchmarks.flood", story.flood, front.host, str(front.port)]
            command += [str(seconds + 1.0), str(story.addresses)]
            process = subprocess.Popen(command, cwd=rig.ROOT, stdout=subprocess.PIPE)
            await asyncio.sleep(1.0)  # it's there before them
        start = time.monotonic()
        await asyncio.gather(*(c.run(start + seconds) for c in clients(count)))
        used = (front.cpu() - cpu) / (time.monotonic() - begun)
        flood = json.loads((await asyncio.to_thread(process.communicate))[0] or b"{}") if process else {}
        later = [good for at, good in count.at if at >= start + 1.0]
        return {
            "served": round(count.served, 4),
            "served_from_second_2": round(sum(later) / len(later), 4) if later else None,
            "p50_ms": count.quantile(0.5),
            "p99_ms": count.quantile(0.99),
            "ends": count.ends,
            "answered_twice": count.twice + flood.get("twice", 0),
            "lost": count.lost,
            "cpu": round(used, 2),
            "descriptors": front.usage.descriptors,
            "rss_mb": front.usage.rss_mb,
            "flood": flood,
        }


def table(rows: list[tuple[str, dict[str, dict[str, Any]]]]) -> str:
    """The rows as Markdown; each holds its versions side by side."""
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
    """Served share by story, the versions beside each other."""
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
    parser.add_argument("--quick", action="store_true", help="three stories of two seconds")
    parser.add_argument("--out", type=Path, help="keep a table and a chart here")
    parser.add_argument("--before", type=Path, help="another checkout to compare with")
    parser.add_argument("--only", nargs="*", default=[], help="stories whose names hold one of these")
    parser.add_argument("--seconds", type=float, default=5.0)
    options = parser.parse_args()
    seconds = 2.0 if options.quick else options.seconds
    stories = [s for s in STORIES if not options.only or any(o in s.name for o in options.only)]
    if options.quick:
        stories = [s for s in stories if s.flood in (None, "burst")][:2]
    versions = {"after": (rig.ROOT, OPERATOR)}
    if options.before:
        versions = {"before": (options.before.resolve(), ""), **versions}
    rows: list[tuple[str, dict[str, dict[str, Any]]]] = []
    async with rig.members() as ports:
        for story in stories:
            found = {}
            for name, (program, operator) in versions.items():
                found[name] = await play(story, ports, program, operator, seconds)
            rows.append((story.name, found))
            print(json.dumps({story.name: found}), file=sys.stderr, flush=True)
    if options.out:
        options.out.mkdir(parents=True, exist_ok=True)
        (options.out / "admission.md").write_text(table(rows))
        chart(rows, options.out / "admission.png")
    print(json.dumps(dict(rows)))
    return 0


if __name__ == "__main__":
    uvloop.install()
    sys.exit(asyncio.run(main()))
