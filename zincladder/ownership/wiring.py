"""Joins the fleet's duties to a front: what it counts, and the work that its operator's file lets it own."""

from __future__ import annotations

from zincladder.config import DutiesConfig
from zincladder.core.engine import Core
from zincladder.ownership.figures import ANSWERS, ATTEMPTS, FleetFigures, series
from zincladder.ownership.worker import Work, Worker


def counters_of(core: Core) -> dict[str, float]:
    """A front's service by class and by cache, since its start."""
    found = {series(ANSWERS, *key): float(n) for key, n in core.statistics.answers.items()}
    for member, figures in core.statistics.endpoints.items():
        for end, count in figures.attempts.items():
            found[series(ATTEMPTS, member.decode("latin-1"), end)] = float(count)
    return found


def work_for_fleet(config: DutiesConfig, name: str, core: Core) -> Worker:
    """A front's part in the duties of its fleet."""
    works: dict[str, Work] = {}
    if config.figures is not None and "figures" in config.wants:
        works["figures"] = FleetFigures(config.figures)
    return Worker(config, name, works, lambda: counters_of(core))
