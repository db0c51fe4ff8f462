"""Builds a front's runner for the fleet's singleton tasks, and supplies it with the front's counters."""

from __future__ import annotations

from zincladder.config import TasksConfig
from zincladder.core.engine import Core
from zincladder.export.fleet_metrics import (
    FLEET_ANSWERS_METRIC,
    FLEET_ATTEMPTS_METRIC,
    FleetMetricsTask,
    series_key,
)
from zincladder.tasks.context import TaskFunction
from zincladder.tasks.runner import TaskRunner


def front_counters(core: Core) -> dict[str, float]:
    """Returns a front's answers by class and attempts by cache, counted since its start."""
    counters = {
        series_key(FLEET_ANSWERS_METRIC, *key): float(count) for key, count in core.statistics.answers.items()
    }
    for cache, statistics in core.statistics.endpoints.items():
        for end, count in statistics.attempts.items():
            counters[series_key(FLEET_ATTEMPTS_METRIC, cache.decode("latin-1"), end)] = float(count)
    return counters


def build_task_runner(config: TasksConfig, name: str, core: Core) -> TaskRunner:
    """Returns the runner that takes part in the singleton tasks of the fleet."""
    functions: dict[str, TaskFunction] = {}
    if config.metrics_receiver is not None and "figures" in config.offered:
        functions["figures"] = FleetMetricsTask(config.metrics_receiver)
    return TaskRunner(config, name, functions, lambda: front_counters(core))
