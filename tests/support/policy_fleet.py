"""Runs real replicas and fronts under a policy, with stub caches and with clients at every front."""

from __future__ import annotations

import contextlib
from collections import Counter
from collections.abc import AsyncIterator
from functools import partial
from pathlib import Path

import anyio

from tests.processes import ProcessCluster, Traffic, answer_with_cap, process_cluster
from tests.support.stub_cache import StubCache
from zincladder.policy.model import ChangeOutcome


class PolicyFleet:
    """Replicas, stub caches and fronts that follow the policy."""

    def __init__(self, r: ProcessCluster, caches: list[StubCache], tasks: anyio.abc.TaskGroup) -> None:
        self.r, self.caches, self._tasks = r, caches, tasks
        self.fronts: list[str] = []

    def traffic(self, *names: str, each: int = 2, pause: float = 0.01) -> Traffic:
        return Traffic(self.r, self._tasks, names or self.fronts, each, pause)

    async def wait_until_served(self, traffic: Traffic, mark: int, *names: str) -> None:
        """Waits until each named front (default: all) has served a client under the policy of `mark`."""
        for name in names or self.fronts:
            await self.r.until(f"{name} serves under mark {mark}", partial(traffic.served, name, mark))


@contextlib.asynccontextmanager
async def policy_fleet(
    folder: Path,
    fronts: int = 3,
    replicas: int = 3,
    cut_off: str = "stop",
    with_policy: bool = True,
    drift: float = 0.0,
) -> AsyncIterator[PolicyFleet]:
    """Starts replicas, fronts and caches, and checks at the end that no booking ran twice.

    With `with_policy`, the fronts serve under policy version 1 when the block starts.
    """
    async with process_cluster(folder, drift) as r, anyio.create_task_group() as tasks:
        caches = [StubCache(f"s-{n:08x}", 0, answer_with_cap) for n in (1, 2)]
        caches += [StubCache("s-000000a0", 1, answer_with_cap), StubCache("s-000000b0", 2, answer_with_cap)]
        for cache in caches:
            await tasks.start(cache.run)
        await r.replicas(replicas)
        fleet = PolicyFleet(r, caches, tasks)
        for n in range(fronts):
            fleet.fronts.append(f"f{n}")
            await r.front(f"f{n}", caches, cut_off)
        if with_policy:
            assert (await r.change(1)).outcome is ChangeOutcome.ACTIVATED
            await r.serving(*fleet.fronts)
        yield fleet
        tasks.cancel_scope.cancel()
        bookings = Counter(e.name for cache in caches for e in cache.fetches if e.fields["cls"] == "booking")
        assert not [name for name, count in bookings.items() if count > 1]


def longest_pause(traffic: Traffic) -> float:
    """Returns the longest time, in seconds, from a front's first unserved request to its next served one."""
    longest, rejected_since = 0.0, dict[str, float]()
    for asked in sorted(traffic.history, key=lambda a: a.ended):
        if asked.kind == "served":
            longest = max(longest, asked.ended - rejected_since.pop(asked.front, asked.ended))
        else:
            rejected_since.setdefault(asked.front, asked.began)
    return longest
