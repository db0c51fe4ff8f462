"""What singleton tasks cost the fleet, and how soon another lease holder follows.

    python -m benchmarks.tasks [--quick] [--out DIR] [--takeovers N] [--fronts N] [--seed N]

Real replicas and fronts, a receiver that remembers tokens, and a lease holder that is killed, stopped, cut
off or terminated, at random. `gap_ms`: from the fault to the next push under another token. `old` counts
effects of a former holder that the receiver accepted after a newer one's, `twice` pushes of one time: both
have to be 0. `refused` are those that arrived late and were rejected. Messages are counted in one process,
for many runners on a given clock. The lease is the rig's, 1.5 s.
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
from tests.support.task_fleet import TaskFleet, task_fleet
from zincladder.consensus.lease_timing import LeaseTiming
from zincladder.tasks.lease_holder import LeaseHolder
from zincladder.tasks.lease_manager import LeaseManager
from zincladder.tasks.model import TaskAssignment

COMMIT_ERRORS = ("kill", "stop", "cut", "hear nothing", "end")


async def takeovers(c: TaskFleet, times: int, seed: int) -> dict[str, Any]:
    """The lease holder fails so often, and each time another one has to push."""
    draw, gaps = random.Random(seed), dict[str, list[float]]()
    for _ in range(times):
        name, before, kind = await c.holder(), c.newest(), draw.choice(COMMIT_ERRORS)
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


async def costs(c: TaskFleet, seconds: float) -> dict[str, Any]:
    """The lease holder, another front that only waits, and the leader, without clients."""
    holder = await c.holder()
    waits = next(n for n in c.fronts if n != holder)
    names = {"owner": holder, "waits": waits, "keeper": await c.r.leader()}
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


def messages(runners: int, seconds: int) -> dict[str, Any]:
    """Messages a second that a leader receives and sends, idle and just after all runners connected."""
    lease_timing = LeaseTiming()
    now, index = 0.0, 1
    registers: dict[str, tuple[TaskAssignment, int]] = {}
    manager = LeaseManager(lease_timing, -100.0)
    manager.assignments_read(registers, now)
    holders = {n: LeaseHolder(["figures", "purges", "drains"], now) for n in range(1, runners + 1)}
    counted: Counter[int] = Counter()
    writes = 0
    for n, holder in holders.items():
        manager.link_opened(n, f"f{n}", "p", now)
        holder.link_changed(True, now)
    while now < seconds:
        for n, holder in holders.items():
            holder.tick(now)
            for message in holder.take_actions().messages:
                counted[int(now)] += 1
                manager.message_received(n, message, now)
        manager.tick(now)
        actions = manager.take_actions()
        for number, reply in actions.messages:
            counted[int(now)] += 1
            holders[number].message_received(reply, now)
        for write in actions.writes:
            index += 1
            writes += 1
            registers[write.task] = (write.assignment, index)
        if actions.writes:
            manager.assignments_read(registers, now)
        for write in actions.writes:
            manager.write_ended(write.task, now)
        now = round(now + 0.05, 3)
    idle = [counted[s] for s in range(seconds // 2, seconds)]
    return {
        "workers": runners,
        "first_second": counted[0],
        "idle_a_second": round(sum(idle) / len(idle), 1),
        "writes": writes,
        "owned": sum(bool(assignment.lease_holder) for assignment, _ in registers.values()),
    }


async def main(wanted: argparse.Namespace) -> dict[str, Any]:
    found: dict[str, Any] = {"fronts": wanted.fronts, "lease_s": LEASE["seconds"]}
    found["messages"] = [messages(n, 60) for n in (20, 200)]
    with tempfile.TemporaryDirectory() as folder:
        async with task_fleet(Path(folder), fronts=wanted.fronts) as c:
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
