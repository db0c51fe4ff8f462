"""What one owner at a time costs the fleet, and how soon another one follows.

    python -m benchmarks.ownership [--quick] [--out DIR] [--takeovers N] [--fronts N] [--seed N]

Real keepers and fronts, a receiver that remembers tokens, and an owner that is killed, stopped, cut off or
told to end, in turn by lot. `gap_ms`: from the fault to the next push under another token. `old` counts
effects of an old owner that the receiver took after a newer one's, `twice` pushes of one time: both have to
be 0. `refused` are those that arrived late and were turned away. Messages are counted in one process, for
many workers on a given clock. The lease is the rig's, 1.5 s.
"""

from __future__ import annotations

import argparse
import json
import random
import tempfile
from collections import Counter
from itertools import pairwise
from pathlib import Path
from typing import Any

import anyio

from benchmarks.policy import spread, used
from tests.processes import LEASE
from tests.test_duties_processes import Crew, crew
from zincladder.consensus.lease_timing import LeaseTiming
from zincladder.ownership.model import Duty
from zincladder.ownership.owner import Owner
from zincladder.ownership.steward import Steward

COMMIT_ERRORS = ("kill", "stop", "cut", "hear nothing", "end")


async def takeovers(c: Crew, times: int, seed: int) -> dict[str, Any]:
    """The owner fails so often, and each time another one has to push."""
    draw, gaps = random.Random(seed), dict[str, list[float]]()
    for _ in range(times):
        name, before, kind = await c.owner(), c.newest(), draw.choice(COMMIT_ERRORS)
        process = c.r.processes[name]
        await anyio.sleep(draw.uniform(0, 0.2))
        began = anyio.current_time()
        if kind == "kill":
            process.kill()
        elif kind == "stop":
            process.stop()
        elif kind == "end":
            process.send(15)
        else:
            c.r.cut_front(name, *(("to", "back") if kind == "cut" else ("back",)))
        await c.more(1, after=before)
        gaps.setdefault(kind, []).append(1000 * (anyio.current_time() - began))
        if kind == "stop":
            process.go_on()
        elif kind in ("kill", "end"):
            if kind == "end":
                await process.ended()
            await c.r.start_front(name)
        else:
            c.r.cut_front(name)
    accepted = c.receiver.accepted
    tokens, stamps = [p.token for p in accepted], [p.at for p in accepted]
    return {
        "takeovers": times,
        "old": sum(b < a for a, b in pairwise(tokens)),
        "twice": len(stamps) - len(set(stamps)),
        "refused": len(c.receiver.pushes) - len(accepted),
        "gap_ms": {kind: spread(found) for kind, found in sorted(gaps.items())},
    }


async def costs(c: Crew, seconds: float) -> dict[str, Any]:
    """The owner, another front that only waits, and the leading keeper, without clients."""
    owner = await c.owner()
    waits = next(n for n in c.fronts if n != owner)
    names = {"owner": owner, "waits": waits, "keeper": await c.r.leader()}
    pids = {what: p.pid for what, n in names.items() if (p := c.r.processes[n].popen)}
    before = {what: used(pid) for what, pid in pids.items()}
    await anyio.sleep(seconds)
    after = {what: used(pid) for what, pid in pids.items()}
    return {
        what: {
            "cpu_percent": round(100 * (after[what][0] - before[what][0]) / seconds, 2),
            "rss_mb": round(after[what][1], 1),
        }
        for what in pids
    }


def messages(workers: int, seconds: int) -> dict[str, Any]:
    """Messages a second that a leader hears and says, idle and in the first second after all came at once."""
    terms = LeaseTiming()
    now, index = 0.0, 1
    registers: dict[str, tuple[Duty, int]] = {}
    steward = Steward(terms, -100.0)
    steward.knows(registers, now)
    owners = {n: Owner(["figures", "purges", "drains"], now) for n in range(1, workers + 1)}
    counted: Counter[int] = Counter()
    writes = 0
    for n, owner in owners.items():
        steward.linked(n, f"f{n}", "p", now)
        owner.link(True, now)
    while now < seconds:
        for n, owner in owners.items():
            owner.tick(now)
            for said in owner.take().say:
                counted[int(now)] += 1
                steward.heard(n, said, now)
        steward.tick(now)
        wish = steward.take()
        for number, answer in wish.say:
            counted[int(now)] += 1
            owners[number].heard(answer, now)
        for take in wish.write:
            index += 1
            writes += 1
            registers[take.duty] = (take.value, index)
        if wish.write:
            steward.knows(registers, now)
        for take in wish.write:
            steward.wrote(take.duty, now)
        now = round(now + 0.05, 3)
    idle = [counted[s] for s in range(seconds // 2, seconds)]
    return {
        "workers": workers,
        "first_second": counted[0],
        "idle_a_second": round(sum(idle) / len(idle), 1),
        "writes": writes,
        "owned": sum(bool(d.owner) for d, _ in registers.values()),
    }


async def main(wanted: argparse.Namespace) -> dict[str, Any]:
    found: dict[str, Any] = {"fronts": wanted.fronts, "lease_s": LEASE["seconds"]}
    found["messages"] = [messages(n, 60) for n in (20, 200)]
    with tempfile.TemporaryDirectory() as folder:
        async with crew(Path(folder), fronts=wanted.fronts) as c:
            found["cost"] = await costs(c, 3 if wanted.quick else 20)
            found["faults"] = await takeovers(c, wanted.takeovers, wanted.seed)
    return found


if __name__ == "__main__":
    options = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    options.add_argument("--quick", action="store_true")
    options.add_argument("--out", type=Path)
    options.add_argument("--takeovers", type=int, default=0)
    options.add_argument("--fronts", type=int, default=0)
    options.add_argument("--seed", type=int, default=1)
    given = options.parse_args()
    given.takeovers = given.takeovers or (5 if given.quick else 1000)
    given.fronts = given.fronts or (3 if given.quick else 8)
    result = anyio.run(main, given)
    print(json.dumps(result, indent=2))
    if given.out:
        given.out.mkdir(parents=True, exist_ok=True)
        (given.out / "ownership.json").write_text(json.dumps(result, indent=2) + "\n")
