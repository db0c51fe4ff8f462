"""Joins the fleet's duties to a front: what it counts, and the work that its operator's file lets it own."""

from __future__ import annotations

from zincladder.config import DutiesConfig
from zincladder.core.engine import Core
from zincladder.tasks.fleet_metrics import ANSWERS, ATTEMPTS, FleetMetricsTask, series
from zincladder.tasks.runner import TaskFunction, TaskRunner


def front_counters(core: Core) -> dict[str, float]:
    """A front's service by class and by cache, since its start."""
    found = {series(ANSWERS, *key): float(n) for key, n in core.figures.answers.items()}
    for member, figures in core.figures.members.items():
        for end, count in figures.ends.items():
            found[series(ATTEMPTS, member.decode("latin-1"), end)] = float(count)
    return found


def build_task_runner(config: DutiesConfig, name: str, core: Core) -> TaskRunner:
    """A front's part in the duties of its fleet."""
    works: dict[str, TaskFunction] = {}
    if config.figures is not None and "figures" in config.wants:
        works["figures"] = FleetMetricsTask(config.figures)
    return TaskRunner(config, name, works, lambda: front_counters(core))
