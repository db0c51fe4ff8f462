"""A front that runs in the test's process, with stub caches and a stub coordinator."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

import anyio
import anyio.abc

from tests.support.front_configuration import DNS, DNS_HOSTS, configuration
from tests.support.stub_cache import Script, StubCache, serve
from tests.support.stub_coordinator import Coordinator
from zincladder.config import parse_config
from zincladder.config.operator import parse_operator
from zincladder.wiring.front import ListeningAddresses, run_front


@dataclass
class RunningFront:
    """A running front with its stub caches and stub coordinator."""

    caches: list[StubCache]
    coordinator: Coordinator
    listening: ListeningAddresses
    tasks: anyio.abc.TaskGroup
    stopping: anyio.Event = field(default_factory=anyio.Event)  # setting it stops the front, as SIGTERM does


@contextlib.asynccontextmanager
async def running_front(
    *scripts: Script,
    origin: Script = serve,
    hosts: list[dict[str, Any]] | None = None,
    endpoints: list[StubCache] | None = None,
    operator: dict[str, Any] | None = None,
    **more: Any,
) -> AsyncIterator[RunningFront]:
    """Runs a front with one cache for each script, one parent and the origin (the last two of `caches`).

    If `endpoints` is given, it replaces all of them.
    """
    caches = [StubCache(f"s-{i + 1:08x}", 0, script) for i, script in enumerate(scripts)]
    caches += [StubCache("s-000000a0", 1), StubCache("s-000000b0", 2, origin)]
    caches = endpoints or caches
    coordinator = Coordinator()
    async with anyio.create_task_group() as tasks:
        for cache in caches:
            await tasks.start(cache.run)
        await tasks.start(coordinator.run)
        config = parse_config(configuration([c.endpoint() for c in caches], coordinator.port, **more))
        # Hosts of DNS_HOSTS are left out if the settings of the test lack their class.
        known = [h for h in DNS_HOSTS if h["class"] in config.names.classes]
        table = ({"dns": DNS | {"host": known + (hosts or [])}} if known else {}) | (operator or {})
        stopping = anyio.Event()
        listening = await tasks.start(run_front, config, parse_operator(table, config.names), stopping)
        yield RunningFront(caches, coordinator, listening, tasks, stopping)
        tasks.cancel_scope.cancel()
