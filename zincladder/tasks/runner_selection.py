"""Selects the runner that a singleton task is assigned to. Pure functions."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

from zincladder.tasks.model import TaskAssignment


@dataclass(slots=True)
class LinkedRunner:
    """A process that is connected to this replica."""

    name: str
    process: str
    offered: frozenset[str] = frozenset()
    lapsed: bool = False  # whether it let a lease expire and has sent no message since

    def holds(self, assignment: TaskAssignment) -> bool:
        """Whether a task is assigned to this process."""
        holder = (assignment.lease_holder, assignment.process)
        return bool(assignment.lease_holder) and (self.name, self.process) == holder


def choose_runner(
    task: str, preferred: str, candidates: Iterable[LinkedRunner], assignments: Iterable[TaskAssignment]
) -> LinkedRunner | None:
    """Returns the runner that gets a task; None if no candidate offers to run it.

    Runners that let a lease expire come last. Of the others the preferred runner is chosen, else the one with
    the fewest tasks; a hash of the names breaks ties. So every replica makes the same choice, whatever the
    order in which the runners connect, and the tasks are spread. If the runner that offers first got a task,
    one front would run all tasks after a restart of the whole fleet.
    """
    holders = [(a.lease_holder, a.process) for a in assignments if a.lease_holder]

    def rank(runner: LinkedRunner) -> tuple[bool, bool, int, bytes]:
        digest = hashlib.sha256(f"{task}\0{runner.name}\0{runner.process}".encode()).digest()
        assigned = holders.count((runner.name, runner.process))
        return (runner.lapsed, runner.name != preferred, assigned, digest)

    return min((runner for runner in candidates if task in runner.offered), key=rank, default=None)
