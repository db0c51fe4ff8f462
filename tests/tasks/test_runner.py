"""The task runner of one process."""

from __future__ import annotations

import anyio
import pytest

from zincladder.config import TasksConfig
from zincladder.tasks.runner import TaskRunner


@pytest.mark.anyio
async def test_an_idle_runner_does_not_wake_itself(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a runner that wakes itself in a loop: an idle front used a whole core.
    task_runner = TaskRunner(TasksConfig("g", {"k1": "127.0.0.1:1"}, ()), "f0", {}, dict)
    ticks, tick = [], task_runner.participant.tick

    def counted(now: float) -> None:
        ticks.append(now)
        tick(now)

    monkeypatch.setattr(task_runner.participant, "tick", counted)
    with anyio.move_on_after(0.3):
        await task_runner.run(anyio.Event())
    assert 0 < len(ticks) < 10
