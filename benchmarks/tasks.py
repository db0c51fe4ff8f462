"""Measures what singleton tasks cost the fleet, and how soon a lease is taken over from a failed front.

    python -m benchmarks.tasks [--quick] [--out DIR] [--takeovers N] [--fronts N] [--seed N]

Runs real replicas and fronts, and a receiver that checks fencing tokens. The lease holder is killed, stopped,
cut off or terminated at random. In the result, `gap_ms` is the time from the fault to the next push under a
newer token. `old` counts pushes of a former lease holder that the receiver accepted after one of a newer
holder, and `twice` counts accepted pushes with the same timestamp; both must be 0. `refused` counts pushes
that the receiver rejected because it had accepted a newer token before. Messages are counted separately, in
one process that simulates many runners and their clock. The leases of the real processes last 1.5 s.
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

from benchmarks.policy import cpu_and_memory, distribution
from tests.processes import LEASE
from tests.support.task_fleet import TaskFleet, task_fleet
from zincladder.consensus.lease_timing import LeaseTiming
from zincladder.tasks.lease_holder import LeaseHolder
from zincladder.tasks.lease_manager import LeaseManager
from zincladder.tasks.model import TaskAssignment

FAULTS = ("kill", "stop", "cut", "hear nothing", "end")


async def takeovers(c: TaskFleet, times: int, seed: int) -> dict[str, Any]:
    """Makes the lease holder fail `times` times and waits each time until another front pushes."""
    rng, gaps_ms = random.Random(seed), dict[str, list[float]]()
    for _ in range(times):
        name, before, fault = await c.holder(), c.newest(), rng.choice(FAULTS)
        process = c.r.processes[name]
        await anyio.sleep(rng.uniform(0, 0.2))
        began = anyio.current_time()
        if fault == "kill":
            process.kill()
        elif fault == "stop":
            process.stop()
        elif fault == "end":
            process.send(15)
        else:
            c.r.block_front(name, *(("to", "back") if fault == "cut" else ("back",)))
        await c.wait_for_pushes(1, after=before)
        gaps_ms.setdefault(fault, []).append(1000 * (anyio.current_time() - began))
        if fault == "stop":
            process.resume()
        elif fault in ("kill", "end"):
            if fault == "end":
                await process.ended()
            await c.r.start_front(name)
        else:
            c.r.block_front(name)
    accepted = c.receiver.accepted
    tokens, stamps = [p.token for p in accepted], [p.at for p in accepted]
    return {
        "takeovers": times,
        "old": sum(b < a for a, b in pairwise(tokens)),
        "twice": len(stamps) - len(set(stamps)),
        "refused": len(c.receiver.pushes) - len(accepted),
        "gap_ms": {fault: distribution(found) for fault, found in sorted(gaps_ms.items())},
    }


async def process_costs(c: TaskFleet, seconds: float) -> dict[str, Any]:
    """CPU and memory of the lease holder, of a front without the lease and of the leader, without clients."""
    holder = await c.holder()
    waits = next(n for n in c.fronts if n != holder)
    names = {"owner": holder, "waits": waits, "keeper": await c.r.leader()}
    pids = {what: p.pid for what, n in names.items() if (p := c.r.processes[n].popen)}
    before = {what: cpu_and_memory(pid) for what, pid in pids.items()}
    await anyio.sleep(seconds)
    after = {what: cpu_and_memory(pid) for what, pid in pids.items()}
    return {
        what: {
            "cpu_percent": round(100 * (after[what][0] - before[what][0]) / seconds, 2),
            "rss_mb": round(after[what][1], 1),
        }
        for what in pids
    }


def count_messages(runners: int, seconds: int) -> dict[str, Any]:
    """Counts the messages a second to and from a leader, just after all runners connect and when idle."""
    lease_timing = LeaseTiming()
    now, index = 0.0, 1
    registers: dict[str, tuple[TaskAssignment, int]] = {}
    manager = LeaseManager(lease_timing, -100.0)
    manager.assignments_read(registers, now)
    holders = {n: LeaseHolder(["figures", "purges", "drains"], now) for n in range(1, runners + 1)}
    messages_by_second: Counter[int] = Counter()
    writes = 0
    for n, holder in holders.items():
        manager.link_opened(n, f"f{n}", "p", now)
        holder.link_changed(True, now)
    while now < seconds:
        for n, holder in holders.items():
            holder.tick(now)
            for message in holder.take_actions().messages:
                messages_by_second[int(now)] += 1
                manager.message_received(n, message, now)
        manager.tick(now)
        actions = manager.take_actions()
        for number, reply in actions.messages:
            messages_by_second[int(now)] += 1
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
    idle = [messages_by_second[s] for s in range(seconds // 2, seconds)]
    return {
        "workers": runners,
        "first_second": messages_by_second[0],
        "idle_a_second": round(sum(idle) / len(idle), 1),
        "writes": writes,
        "owned": sum(bool(assignment.lease_holder) for assignment, _ in registers.values()),
    }


async def main(options: argparse.Namespace) -> dict[str, Any]:
    found: dict[str, Any] = {"fronts": options.fronts, "lease_s": LEASE["seconds"]}
    found["messages"] = [count_messages(n, 60) for n in (20, 200)]
    with tempfile.TemporaryDirectory() as folder:
        async with task_fleet(Path(folder), fronts=options.fronts) as c:
            found["cost"] = await process_costs(c, 3 if options.quick else 20)
            found["faults"] = await takeovers(c, options.takeovers, options.seed)
    return found


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--out", type=Path)
    parser.add_argument("--takeovers", type=int, default=0)
    parser.add_argument("--fronts", type=int, default=0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    options.takeovers = options.takeovers or (5 if options.quick else 1000)
    options.fronts = options.fronts or (3 if options.quick else 8)
    result = anyio.run(main, options)
    print(json.dumps(result, indent=2))
    if options.out:
        options.out.mkdir(parents=True, exist_ok=True)
        (options.out / "ownership.json").write_text(json.dumps(result, indent=2) + "\n")
