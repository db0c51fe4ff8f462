"""What changes of a fleet's policy cost and how soon they take hold, with real replicas and fronts.

    python -m benchmarks.policy [--quick] [--out DIR] [--changes N] [--fronts N] [--keepers N] [--seed N]

Clients ask every front all the time; each answer says under which policy it was decided. First changes
without faults, then with fronts killed, stopped and cut off at random, then leaders killed. `old` counts
answers under a version older than one that an earlier answer had: it has to be 0. Times in milliseconds but
where a name says otherwise. The figures of the journal are of one directory by itself.
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

from tests.processes import Asked, Rig, Traffic
from tests.support.policy_fleet import PolicyFleet, policy_fleet
from zincladder.consensus.errors import OutcomeUnknownError, RequestFailedError
from zincladder.consensus.model import Entry, EntryKind, Membership, Output
from zincladder.consensus.store import ReplicaStore
from zincladder.policy.model import ChangeOutcome

TICKS = os.sysconf("SC_CLK_TCK")


def spread(values: Sequence[float]) -> dict[str, float]:
    """Median, 99th percentile and largest."""
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


def used(pid: int) -> tuple[float, float]:
    """CPU seconds so far, and MB in memory."""
    words = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    status = Path(f"/proc/{pid}/status").read_text()
    (line,) = [line for line in status.splitlines() if line.startswith("VmRSS")]
    return (int(words[11]) + int(words[12])) / TICKS, int(line.split()[1]) / 1024


def taking_hold(r: Rig) -> list[float]:
    """From decided to in force, of each change, by the leaders' logs."""
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


def pauses(history: list[Asked]) -> list[float]:
    """For how long each front refused whatever came, each time that it did and served again."""
    found, since = [], dict[str, float]()
    for asked in sorted(history, key=lambda a: a.ended):
        if asked.kind == "served":
            if asked.front in since:
                found.append(1000 * (asked.ended - since.pop(asked.front)))
        elif asked.kind == "Throttled":
            since.setdefault(asked.front, asked.began)
    return found


def share(history: list[Asked]) -> float:
    """Of the requests that a living front answered."""
    answered = [a for a in history if a.kind != "lost"]
    return round(sum(a.kind in ("served", "booked") for a in answered) / max(1, len(answered)), 4)


async def quiet(f: PolicyFleet, changes: int, mark: int) -> dict[str, Any]:
    """Changes without faults, one every quarter of a second."""
    traffic = f.traffic()
    await f.everywhere(traffic, 1)
    before = len(taking_hold(f.r))
    for n in range(changes):
        await f.r.insist(mark + n)
        await anyio.sleep(0.25)
    traffic.judge()
    traffic.going = False
    return {
        "to_force_ms": spread(taking_hold(f.r)[before:]),
        "pause_ms": spread(pauses(traffic.history)),
        "served": share(traffic.history),
        "requests": len(traffic.history),
    }


async def trouble(f: PolicyFleet, draw: random.Random) -> None:
    """A third of the fronts down at any time, each in its own way."""
    while True:
        name = draw.choice(f.fronts)
        process = f.r.processes[name]
        kind = draw.choice(("kill", "stop", "to", "back"))
        if kind == "kill":
            process.kill()
            await anyio.sleep(draw.uniform(0, 1))
            await f.r.start_front(name)
        elif kind == "stop":
            process.stop()
            await anyio.sleep(draw.uniform(0, 3))
            process.go_on()
        else:
            f.r.cut_front(name, kind)
            await anyio.sleep(draw.uniform(0, 3))
            f.r.cut_front(name)
        await anyio.sleep(draw.uniform(0, 0.5))


async def troubled(f: PolicyFleet, changes: int, mark: int, seed: int) -> dict[str, Any]:
    """Changes while fronts fail; those that were withdrawn because too few answered are counted apart."""
    traffic = f.traffic()
    before, outcomes = len(taking_hold(f.r)), list[ChangeOutcome]()
    async with anyio.create_task_group() as tasks:
        for n in range(max(1, len(f.fronts) // 6)):
            tasks.start_soon(trouble, f, random.Random(seed + n))
        for n in range(changes):
            outcomes.append((await f.r.change(mark + n)).outcome)
        tasks.cancel_scope.cancel()
    for name in f.fronts:
        f.r.cut_front(name)
        if f.r.processes[name].popen is None:
            await f.r.start_front(name)
        f.r.processes[name].go_on()
    await f.r.insist(mark + changes)
    await f.everywhere(traffic, mark + changes)
    old = older(traffic)
    traffic.going = False
    return {
        "held": sum(o is ChangeOutcome.ACTIVATED for o in outcomes),
        "withdrawn": sum(o is ChangeOutcome.WITHDRAWN for o in outcomes),
        "old": old,
        "to_force_ms": spread(taking_hold(f.r)[before:]),
        "pause_ms": spread(pauses(traffic.history)),
        "served": share(traffic.history),
    }


def older(traffic: Traffic) -> int:
    """Answers under a version older than one that had been answered before they were asked for.

    A request that a front had taken before it was stopped keeps its rules; those are known by their length.
    """
    traffic.history = [a for a in traffic.history if a.ended - a.began < 0.5]
    try:
        traffic.judge()
    except AssertionError as fault:
        print(fault, file=sys.stderr)
        return 1
    return 0


async def leaders(f: PolicyFleet, times: int) -> list[float]:
    """From the kill of a leader to the next decision of its successor."""
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


def recovery(entries: int) -> dict[str, float]:
    """Opening a directory whose journal holds so many entries, none of them in a snapshot."""
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


async def costs(f: PolicyFleet, seconds: float) -> dict[str, Any]:
    """A front under a policy, idle but for its lease, beside one without; and the leader."""
    plain = await f.r.front("plain", f.caches)
    plain.kill()
    plain.environ.pop("ZINCLADDER_OPERATOR")
    await f.r.start_front("plain")
    names = {"front": f.fronts[0], "plain": "plain", "leader": await f.r.leader()}
    pids = {what: f.r.processes[name].popen for what, name in names.items()}
    traffic = f.traffic(f.fronts[0], "plain", each=4)
    await anyio.sleep(1)
    before = {what: used(p.pid) for what, p in pids.items() if p}
    counted = {n: sum(a.front == n for a in traffic.history) for n in (f.fronts[0], "plain")}
    await anyio.sleep(seconds)
    after = {what: used(p.pid) for what, p in pids.items() if p}
    served = {n: sum(a.front == n for a in traffic.history) - counted[n] for n in counted}
    traffic.going = False
    asked = {"front": served[f.fronts[0]], "plain": served["plain"]}
    found: dict[str, Any] = {}
    for what in before:
        cpu = after[what][0] - before[what][0]
        found[what] = {"rss_mb": round(after[what][1], 1), "cpu_percent": round(100 * cpu / seconds, 2)}
        if what in asked:
            found[what]["us_a_request"] = round(1e6 * cpu / max(1, asked[what]))
    return found


async def main(wanted: argparse.Namespace) -> dict[str, Any]:
    found: dict[str, Any] = {"keepers": wanted.keepers, "fronts": wanted.fronts}
    with tempfile.TemporaryDirectory() as folder:
        async with policy_fleet(Path(folder), fronts=wanted.fronts, replicas=wanted.keepers) as f:
            found["quiet"] = await quiet(f, wanted.changes, 10)
            found["troubled"] = await troubled(f, wanted.changes, 1_000, wanted.seed)
            found["leader_lost_ms"] = spread(await leaders(f, 3 if wanted.quick else 20))
            found["cost"] = await costs(f, 4 if wanted.quick else 30)
    found["journal"] = recovery(20_000 if wanted.quick else 100_000)
    return found


if __name__ == "__main__":
    options = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    options.add_argument("--quick", action="store_true")
    options.add_argument("--out", type=Path)
    options.add_argument("--changes", type=int, default=0)
    options.add_argument("--fronts", type=int, default=0)
    options.add_argument("--keepers", type=int, default=0)
    options.add_argument("--seed", type=int, default=1)
    given = options.parse_args()
    given.changes = given.changes or (8 if given.quick else 500)
    given.fronts = given.fronts or (6 if given.quick else 20)
    given.keepers = given.keepers or (3 if given.quick else 5)
    result = anyio.run(main, given)
    print(json.dumps(result, indent=2))
    if given.out:
        given.out.mkdir(parents=True, exist_ok=True)
        (given.out / "policy.json").write_text(json.dumps(result, indent=2) + "\n")
