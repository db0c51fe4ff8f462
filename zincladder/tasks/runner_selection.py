"""Which runner a singleton task is assigned to. Pure functions."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

from zincladder.tasks.model import TaskAssignment


@dataclass(slots=True)
class LinkedRunner:
    """A process that has a link to this replica."""

    name: str
    process: str
    offered: frozenset[str] = frozenset()
    lapsed: bool = False  # it let a lease expire and has sent nothing since

    def holds(self, assignment: TaskAssignment) -> bool:
        """Whether a task is assigned to this process."""
        holder = (assignment.lease_holder, assignment.process)
        return bool(assignment.lease_holder) and (self.name, self.process) == holder


def choose_runner(
    task: str, preferred: str, candidates: Iterable[LinkedRunner], assignments: Iterable[TaskAssignment]
) -> LinkedRunner | None:
    """The preferred runner; else the one with the fewest tasks, and among these by a hash of the names.

    All replicas choose alike, whatever order the runners connect in, and tasks are spread over them. Chosen
    by first offer, one front would run everything after a restart of the whole fleet.
    """
    holders = [(a.lease_holder, a.process) for a in assignments if a.lease_holder]

    def rank(runner: LinkedRunner) -> tuple[bool, bool, int, bytes]:
        digest = hashlib.sha256(f"{task}\0{runner.name}\0{runner.process}".encode()).digest()
        assigned = holders.count((runner.name, runner.process))
        return (runner.lapsed, runner.name != preferred, assigned, digest)

    return min((runner for runner in candidates if task in runner.offered), key=rank, default=None)
