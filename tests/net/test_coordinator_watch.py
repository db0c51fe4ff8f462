"""The watch on the coordinator: when it connects again."""

from __future__ import annotations

from typing import Any

import anyio
import anyio.lowlevel
import pytest

from tests.processes import free_port
from zincladder.net.coordinator_watch import CoordinatorWatch

pytestmark = pytest.mark.anyio


async def test_fronts_that_lose_the_coordinator_come_back_at_moments_of_their_own(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    tries: dict[int, list[float]] = {}
    for seed in (1, 2):
        slept = tries[seed] = []
        with anyio.CancelScope() as scope:

            async def sleep(seconds: float, slept: list[float] = slept, scope: Any = scope) -> None:
                slept.append(seconds)
                if len(slept) == 6:
                    scope.cancel()
                await anyio.lowlevel.checkpoint()

            monkeypatch.setattr(anyio, "sleep", sleep)
            await CoordinatorWatch(("127.0.0.1", free_port()), 1, lambda event: None, seed).run()
    first, second = tries[1], tries[2]
    assert len(first) == len(second) == 6 and not set(first) & set(second)
    assert 0.2 <= first[-1] <= 0.6 and all(0.02 < s < 0.7 for s in first + second)
