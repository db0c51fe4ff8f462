"""The backoff of the watch on the coordinator."""

from __future__ import annotations

from typing import Any

import anyio
import anyio.lowlevel
import pytest

from tests.processes import free_port
from zincladder.net.coordinator_watch import CoordinatorWatch

pytestmark = pytest.mark.anyio


async def test_the_reconnect_delays_of_two_fronts_differ(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    delays_by_seed: dict[int, list[float]] = {}
    for seed in (1, 2):
        delays = delays_by_seed[seed] = []
        with anyio.CancelScope() as scope:

            async def sleep(seconds: float, delays: list[float] = delays, scope: Any = scope) -> None:
                delays.append(seconds)
                if len(delays) == 6:
                    scope.cancel()
                await anyio.lowlevel.checkpoint()

            monkeypatch.setattr(anyio, "sleep", sleep)
            await CoordinatorWatch(("127.0.0.1", free_port()), 1, lambda event: None, seed).run()
    first, second = delays_by_seed[1], delays_by_seed[2]
    assert len(first) == len(second) == 6 and not set(first) & set(second)
    assert 0.2 <= first[-1] <= 0.6 and all(0.02 < s < 0.7 for s in first + second)
