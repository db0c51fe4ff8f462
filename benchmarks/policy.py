"""Measures the cost of policy changes and the time until they are in force, with real replicas and fronts.

    python -m benchmarks.policy [--quick] [--out DIR] [--changes N] [--fronts N] [--keepers N] [--seed N]

Policy changes run first without faults, then while fronts are killed, stopped and cut off at random; in both
phases clients send requests to every front, and each answer shows the policy version that it was decided
under. Then leaders are killed. `old` is 1 if a request was answered under a version older than that of an
earlier answer, else 0; it must be 0. Times are in milliseconds unless a name says otherwise. The journal is
measured separately, in a directory that no replica uses.
"""

from __future__ import annotations

import argparse
import json
import os
import random
import statistics
import sys
import tempfile
import time
from collections.abc import Sequence
from datetime import datetime
from pathlib import Path
from typing import Any

import anyio

from tests.processes import Asked, ProcessCluster, Traffic
from tests.support.policy_fleet import PolicyFleet, policy_fleet
from zincladder.consensus.errors import OutcomeUnknownError, RequestFailedError
from zincladder.consensus.model import Entry, EntryKind, Membership, Output
from zincladder.consensus.store import ReplicaStore
from zincladder.policy.model import ChangeOutcome

CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def distribution(values: Sequence[float]) -> dict[str, float]:
    """The number of values, their median, 99th percentile and maximum; empty without values."""
    if not values:
        return {}
    ordered = sorted(values)
    at = min(len(ordered) - 1, int(0.99 * len(ordered)))
    return {
        "n": len(ordered),
        "p50": round(statistics.median(ordered), 1),
        "p99": round(ordered[at], 1),
        "max": round(ordered[-1], 1),
    }


def cpu_and_memory(pid: int) -> tuple[float, float]:
    """CPU seconds of the process so far, and its resident memory in MB."""
    words = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    status = Path(f"/proc/{pid}/status").read_text()
    (line,) = [line for line in status.splitlines() if line.startswith("VmRSS")]
    return (int(words[11]) + int(words[12])) / CLOCK_TICKS_PER_SECOND, int(line.split()[1]) / 1024


def activation_times(r: ProcessCluster) -> list[float]:
    """Milliseconds from `decided` to `in force` for each policy change, from the leaders' logs."""
    found, decided = [], dict[int, float]()
    lines = [
        line
        for name, process in r.processes.items()
        if name.startswith("k")
        for path in sorted(process.folder.glob("log-*.txt"))
        for line in path.read_text().splitlines()
        if '"event": "state of the policy or its open change"' in line
    ]
    for line in sorted(lines, key=lambda text: str(json.loads(text)["timestamp"])):
        data = json.loads(line)
        at = datetime.fromisoformat(data["timestamp"].replace("Z", "+00:00")).timestamp()
        if data["phase"] == "decided":
            decided.setdefault(data["version"], at)
        elif data["phase"] == "in force" and data["version"] in decided:
            found.append(1000 * (at - decided.pop(data["version"])))
    return found


def rejection_periods(history: list[Asked]) -> list[float]:
    """Milliseconds of each period from a front's first rejected request to its next served one."""
    found, since = [], dict[str, float]()
    for asked in sorted(history, key=lambda a: a.ended):
        if asked.kind == "served":
            if asked.front in since:
                found.append(1000 * (asked.ended - since.pop(asked.front)))
        elif asked.kind == "Throttled":
            since.setdefault(asked.front, asked.began)
    return found


def served_share(history: list[Asked]) -> float:
    """The share of answered requests that were served, 0 to 1; requests without an answer are left out."""
    answered = [a for a in history if a.kind != "lost"]
    return round(sum(a.kind in ("served", "booked") for a in answered) / max(1, len(answered)), 4)


async def changes_without_faults(f: PolicyFleet, changes: int, mark: int) -> dict[str, Any]:
    """Makes `changes` policy changes without faults, with a pause of 0.25 s after each."""
    traffic = f.traffic()
    await f.wait_until_served(traffic, 1)
    before = len(activation_times(f.r))
    for n in range(changes):
        await f.r.change_until_activated(mark + n)
        await anyio.sleep(0.25)
    traffic.check_invariants()
    traffic.running = False
    return {
        "to_force_ms": distribution(activation_times(f.r)[before:]),
        "pause_ms": distribution(rejection_periods(traffic.history)),
        "served": served_share(traffic.history),
        "requests": len(traffic.history),
    }


async def inject_faults(f: PolicyFleet, rng: random.Random) -> None:
    """Makes a random front fail in a random way and recover, again and again."""
    while True:
        name = rng.choice(f.fronts)
        process = f.r.processes[name]
        kind = rng.choice(("kill", "stop", "to", "back"))
        if kind == "kill":
            process.kill()
            await anyio.sleep(rng.uniform(0, 1))
            await f.r.start_front(name)
        elif kind == "stop":
            process.stop()
            await anyio.sleep(rng.uniform(0, 3))
            process.resume()
        else:
            f.r.block_front(name, kind)
            await anyio.sleep(rng.uniform(0, 3))
            f.r.block_front(name)
        await anyio.sleep(rng.uniform(0, 0.5))


async def changes_under_faults(f: PolicyFleet, changes: int, mark: int, seed: int) -> dict[str, Any]:
    """Makes policy changes while fronts fail; one task for every six fronts injects the faults.

    Changes that were withdrawn because too few fronts answered are counted separately.
    """
    traffic = f.traffic()
    before, outcomes = len(activation_times(f.r)), list[ChangeOutcome]()
    async with anyio.create_task_group() as tasks:
        for n in range(max(1, len(f.fronts) // 6)):
            tasks.start_soon(inject_faults, f, random.Random(seed + n))
        for n in range(changes):
            outcomes.append((await f.r.change(mark + n)).outcome)
        tasks.cancel_scope.cancel()
    for name in f.fronts:
        f.r.block_front(name)
        if f.r.processes[name].popen is None:
            await f.r.start_front(name)
        f.r.processes[name].resume()
    await f.r.change_until_activated(mark + changes)
    await f.wait_until_served(traffic, mark + changes)
    old = stale_answers(traffic)
    traffic.running = False
    return {
        "held": sum(o is ChangeOutcome.ACTIVATED for o in outcomes),
        "withdrawn": sum(o is ChangeOutcome.WITHDRAWN for o in outcomes),
        "old": old,
        "to_force_ms": distribution(activation_times(f.r)[before:]),
        "pause_ms": distribution(rejection_periods(traffic.history)),
        "served": served_share(traffic.history),
    }


def stale_answers(traffic: Traffic) -> int:
    """Returns 1 if `check_invariants` fails, as it does for a request that is served under an older version
    than that of an answer which arrived before the request was sent; else 0.

    Requests that took 0.5 s or longer are left out: a front that is stopped after it has accepted a request
    decides it under the version that was active when it accepted it.
    """
    traffic.history = [a for a in traffic.history if a.ended - a.began < 0.5]
    try:
        traffic.check_invariants()
    except AssertionError as fault:
        print(fault, file=sys.stderr)
        return 1
    return 0


async def leader_failover_times(f: PolicyFleet, times: int) -> list[float]:
    """Milliseconds from the kill of a leader to the first write that its successor commits."""
    found = []
    for n in range(times):
        leader = await f.r.leader()
        f.r.processes[leader].kill()
        began = time.monotonic()
        rest = [name for name in f.r.ports if name.startswith("k") and name != leader]
        while True:
            try:
                await f.r.write(f"x/{n}", b"1", *rest)
                break
            except (RequestFailedError, OutcomeUnknownError):
                continue
        found.append(1000 * (time.monotonic() - began))
        await f.r.start(leader)
    return found


def measure_journal(entries: int) -> dict[str, float]:
    """Times opening a journal with `entries` entries and no snapshot, and writing one more entry to it."""
    with tempfile.TemporaryDirectory() as folder:
        members = Membership({"a": "127.0.0.1:1"})
        store = ReplicaStore(Path(folder) / "s", "g", "a", members)
        for first in range(1, entries + 1, 1000):
            batch = tuple(Entry(1, EntryKind.DATA, b"x" * 100) for _ in range(1000))
            store.write(Output(first_index=first, entries=batch))
        size = store.size_bytes
        store.close()
        began = time.monotonic()
        store = ReplicaStore(Path(folder) / "s", "g", "a", members)
        seconds = time.monotonic() - began
        assert len(store.stored.entries) == entries
        began = time.monotonic()
        for n in range(200):
            store.write(Output(first_index=entries + 1 + n, entries=(Entry(1, EntryKind.DATA, b"x" * 100),)))
        write = (time.monotonic() - began) / 200
        store.close()
    return {"entries": entries, "mb": round(size / 1e6, 1), "open_s": round(seconds, 2),
            "write_and_sync_ms": round(1000 * write, 3)}  # fmt: skip


async def process_costs(f: PolicyFleet, seconds: float) -> dict[str, Any]:
    """CPU and memory of a front with a policy lease, of a front without one, and of the leader."""
    without_policy = await f.r.front("plain", f.caches)
    without_policy.kill()
    without_policy.environ.pop("ZINCLADDER_OPERATOR")
    await f.r.start_front("plain")
    names = {"front": f.fronts[0], "plain": "plain", "leader": await f.r.leader()}
    pids = {what: f.r.processes[name].popen for what, name in names.items()}
    traffic = f.traffic(f.fronts[0], "plain", each=4)
    await anyio.sleep(1)
    before = {what: cpu_and_memory(p.pid) for what, p in pids.items() if p}
    served_before = {n: sum(a.front == n for a in traffic.history) for n in (f.fronts[0], "plain")}
    await anyio.sleep(seconds)
    after = {what: cpu_and_memory(p.pid) for what, p in pids.items() if p}
    served = {n: sum(a.front == n for a in traffic.history) - served_before[n] for n in served_before}
    traffic.running = False
    asked = {"front": served[f.fronts[0]], "plain": served["plain"]}
    found: dict[str, Any] = {}
    for what in before:
        cpu = after[what][0] - before[what][0]
        found[what] = {"rss_mb": round(after[what][1], 1), "cpu_percent": round(100 * cpu / seconds, 2)}
        if what in asked:
            found[what]["us_a_request"] = round(1e6 * cpu / max(1, asked[what]))
    return found


async def main(options: argparse.Namespace) -> dict[str, Any]:
    found: dict[str, Any] = {"keepers": options.keepers, "fronts": options.fronts}
    with tempfile.TemporaryDirectory() as folder:
        async with policy_fleet(Path(folder), fronts=options.fronts, replicas=options.keepers) as f:
            found["quiet"] = await changes_without_faults(f, options.changes, 10)
            found["troubled"] = await changes_under_faults(f, options.changes, 1_000, options.seed)
            found["leader_lost_ms"] = distribution(await leader_failover_times(f, 3 if options.quick else 20))
            found["cost"] = await process_costs(f, 4 if options.quick else 30)
    found["journal"] = measure_journal(20_000 if options.quick else 100_000)
    return found


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--out", type=Path)
    parser.add_argument("--changes", type=int, default=0)
    parser.add_argument("--fronts", type=int, default=0)
    parser.add_argument("--keepers", type=int, default=0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    options.changes = options.changes or (8 if options.quick else 500)
    options.fronts = options.fronts or (6 if options.quick else 20)
    options.keepers = options.keepers or (3 if options.quick else 5)
    result = anyio.run(main, options)
    print(json.dumps(result, indent=2))
    if options.out:
        options.out.mkdir(parents=True, exist_ok=True)
        (options.out / "policy.json").write_text(json.dumps(result, indent=2) + "\n")
