"""The leader's side of singleton tasks: assigns them to runners, and grants leases on them. No I/O.

The assignments are stored in the group's key-value state and replaced by compare and swap. The leases are in
the leader's memory only: before a new leader assigns a task to another runner, it waits until all leases that
its predecessor may have granted have expired. Meanwhile the present lease holder can renew its own. The host
passes a runner's message to the manager only after a majority has confirmed that this replica still leads.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from zincladder.consensus.lease_timing import LeaseTiming
from zincladder.tasks.model import (
    MAX_RUNNERS,
    MAX_TASK_NAME_LENGTH,
    MAX_TASKS,
    Assigned,
    FromLeaseManager,
    FromRunner,
    LeaseGranted,
    Offer,
    ReleaseLease,
    RenewLease,
    ReportCounters,
    Revoke,
    TaskAssignment,
)
from zincladder.tasks.runner_selection import LinkedRunner, choose_runner


@dataclass(frozen=True, slots=True)
class TaskLease:
    """The lease under which a process may act on a task."""

    token: int
    expires_at: float


@dataclass(frozen=True, slots=True)
class Announcement:
    """The latest message by which a runner was notified that a task is assigned to it."""

    token: int
    link: int  # number of the link that it was sent on
    last_checked_at: float  # or when a repetition was due last, and not needed because the lease was valid


@dataclass(frozen=True, slots=True)
class AssignmentWrite:
    """A write that replaces a task's assignment if its value still has the expected version."""

    task: str
    expected_version: int
    assignment: TaskAssignment


@dataclass(slots=True)
class LeaseManagerActions:
    """The actions that the host has to carry out."""

    messages: list[tuple[int, FromLeaseManager]] = field(default_factory=list)  # each with its link's number
    writes: list[AssignmentWrite] = field(default_factory=list)


UNASSIGNED = (TaskAssignment(), 0)  # the assignment and the token of a task that has no stored value


class LeaseManager:
    """Assigns the tasks and grants the leases for one leader in one term."""

    def __init__(self, lease_timing: LeaseTiming, now: float, term: int = 0) -> None:
        self.lease_timing, self.term = lease_timing, term
        self.runners: dict[int, LinkedRunner] = {}  # by the number of the link
        self.assignments: dict[str, tuple[TaskAssignment, int]] = {}  # by task, with the token
        self.has_read_state = False  # whether the state has been read in this term
        self.leases: dict[str, TaskLease] = {}  # latest lease of each task, valid or not
        # The time by which all leases that an earlier leader may have granted have expired.
        self._former_leases_expire_at = now + lease_timing.expiry_seconds
        self._announced: dict[str, Announcement] = {}  # by task
        self._pending_writes: set[str] = set()  # tasks whose assignment is being written
        self._last_advanced_at = now
        self._actions = LeaseManagerActions()

    # Queries --------------------------------------------------------------------------------------

    def reassignable_at(self, task: str) -> float:
        """Returns the time from which no process can act on a task if no other lease is granted before."""
        lease = self.leases.get(task)
        return lease.expires_at if lease else self._former_leases_expire_at

    def assignment(self, task: str) -> tuple[TaskAssignment, int]:
        """Returns a task's assignment and its token."""
        return self.assignments.get(task, UNASSIGNED)

    def _tasks(self) -> set[str]:
        offered = {task for runner in self.runners.values() for task in runner.offered}
        return offered | self.assignments.keys()

    @property
    def next_at(self) -> float:
        """The time at which `tick` has to be called; infinity if there is nothing to wait for."""
        due_times = [self.reassignable_at(task) for task in self._tasks() if task not in self._pending_writes]
        due_times += [
            announced.last_checked_at + self.lease_timing.renew_seconds
            for announced in self._announced.values()
        ]
        return min((due_at for due_at in due_times if due_at > self._last_advanced_at), default=math.inf)

    def holder_link(self, task: str) -> int:
        """Returns the number of the latest link of a task's lease holder; 0 if it has none.

        An older link may be dead without this replica having noticed.
        """
        assignment, _ = self.assignment(task)
        links = (number for number, runner in self.runners.items() if runner.holds(assignment))
        return max(links, default=0)

    # Key-value state ------------------------------------------------------------------------------

    def assignments_read(self, assignments: Mapping[str, tuple[TaskAssignment, int]], now: float) -> None:
        """Takes over the stored assignments, each with the version of its value, which is its token."""
        for task, (assignment, token) in assignments.items():
            before, token_before = self.assignment(task)
            if not self.has_read_state or token_before == token:
                continue
            for number, runner in self.runners.items():
                if runner.holds(before):  # a command moved or paused the task, or the lease has expired
                    self._send(number, Revoke(task, token_before))
            if assignment.lease_holder:
                self.leases[task] = TaskLease(token, now + self.lease_timing.expiry_seconds)
        self.assignments, self.has_read_state = dict(assignments), True
        self._advance(now)

    def write_ended(self, task: str, now: float) -> None:
        """Records that a write of a task's assignment has succeeded, or has failed for good.

        Until then no lease on the task is granted. Otherwise its former holder could renew a lease beyond the
        time at which its successor may act.
        """
        self._pending_writes.discard(task)
        self._advance(now)

    def _write(self, task: str, assignment: TaskAssignment) -> None:
        self._pending_writes.add(task)
        _, version = self.assignment(task)
        self._actions.writes.append(AssignmentWrite(task, version, assignment))

    # Runners --------------------------------------------------------------------------------------

    def link_opened(self, number: int, name: str, process: str, now: float) -> str:
        """Adds a runner that has connected. Returns why it can't take part; empty if it can."""
        if len(self.runners) >= MAX_RUNNERS:
            return f"too many runners: at most {MAX_RUNNERS} can connect to the leader"
        self.runners[number] = LinkedRunner(name, process)
        return ""

    def link_closed(self, number: int, now: float) -> None:
        """Removes a runner whose link is closed. It may still be running, so its leases stay valid."""
        self.runners.pop(number, None)
        self._advance(now)

    def message_received(self, number: int, message: FromRunner, now: float) -> None:
        """Handles a runner's message. Since it arrived, a majority has confirmed that this replica leads."""
        runner = self.runners.get(number)
        if runner is None:
            return
        runner.lapsed = False
        match message:
            case Offer(tasks):
                valid_names = (task for task in tasks[:MAX_TASKS] if 0 < len(task) <= MAX_TASK_NAME_LENGTH)
                runner.offered = frozenset(valid_names)
            case RenewLease():
                self._renewal_requested(number, runner, message, now)
            case ReleaseLease(task, token):
                self._released(runner, task, token, now)
            case ReportCounters():
                pass  # the host adds them up
        self._advance(now)

    def _send(self, number: int, message: FromLeaseManager) -> None:
        self._actions.messages.append((number, message))

    def _renewal_requested(self, number: int, runner: LinkedRunner, request: RenewLease, now: float) -> None:
        granted = []
        for task, token in request.assigned[:MAX_TASKS]:
            assignment, current_token = self.assignment(task)
            valid = runner.holds(assignment) and token == current_token
            if valid and task not in self._pending_writes:
                expires_at = max(self.reassignable_at(task), now + self.lease_timing.expiry_seconds)
                self.leases[task] = TaskLease(token, expires_at)
                granted.append((task, token))
        lease = LeaseGranted(
            request.serial, tuple(granted), self.lease_timing.holder_seconds, self.lease_timing.renew_seconds
        )
        self._send(number, lease)

    def _released(self, runner: LinkedRunner, task: str, token: int, now: float) -> None:
        assignment, current_token = self.assignment(task)
        lease = self.leases.get(task)
        if token == current_token and runner.holds(assignment):
            # No other process holds a lease: the token was issued after all older leases had ended.
            self.leases[task] = TaskLease(token, now)
            if task not in self._pending_writes:
                vacancy_reason = f"given back by {runner.name}"
                self._write(
                    task, TaskAssignment(changed_at=assignment.changed_at, vacancy_reason=vacancy_reason)
                )
        elif lease is not None and token == lease.token:
            self.leases[task] = TaskLease(token, now)  # by a holder that no longer has the task

    # Assignments ----------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Announces and assigns tasks by the clock; has to be called at `next_at`."""
        self._advance(now)

    def _advance(self, now: float) -> None:
        """Announces assignments to their holders, and reassigns the tasks without a valid lease."""
        self._last_advanced_at = now
        if not self.has_read_state:
            return
        self._announced = {
            task: announced for task, announced in self._announced.items() if task in self.assignments
        }
        for task in sorted(self._tasks()):
            assignment, token = self.assignment(task)
            if task in self._pending_writes or assignment.paused:
                self._announced.pop(task, None)
                continue
            number = self.holder_link(task)
            self._announce(task, number, token, now)
            if now >= self.reassignable_at(task):
                self._reassign(task, assignment, number, now)

    def _announce(self, task: str, number: int, token: int, now: float) -> None:
        """Notifies the holder of its assignment, and repeats that while it has no valid lease."""
        if not number:
            self._announced.pop(task, None)
            return
        announced = self._announced.get(task, Announcement(0, 0, 0.0))
        is_new = (announced.token, announced.link) != (token, number)
        is_due = announced.last_checked_at + self.lease_timing.renew_seconds <= now
        if is_new or (is_due and now >= self.reassignable_at(task)):
            self._send(number, Assigned(task, token))
        if is_new or is_due:
            self._announced[task] = Announcement(token, number, now)

    def _reassign(self, task: str, assignment: TaskAssignment, holder_link: int, now: float) -> None:
        """Assigns a task without a valid lease to another runner.

        If no other runner offers the task, the holder keeps it if it is connected; else it becomes vacant.
        """
        if task not in self.assignments and len(self.assignments) + len(self._pending_writes) >= MAX_TASKS:
            return
        others = [runner for number, runner in self.runners.items() if number != holder_link]
        assigned = [current for current, _ in self.assignments.values()]
        assigned += [write.assignment for write in self._actions.writes]
        chosen = choose_runner(task, assignment.preferred_runner, others, assigned)
        if chosen is not None:
            if holder_link:
                self.runners[holder_link].lapsed = True
            self._write(task, TaskAssignment(chosen.name, chosen.process, now))
        elif assignment.lease_holder and not holder_link:
            vacancy_reason = f"{assignment.lease_holder} is gone"
            self._write(task, TaskAssignment(changed_at=now, vacancy_reason=vacancy_reason))

    def take_actions(self) -> LeaseManagerActions:
        """Returns the actions since the last call, and clears them."""
        actions, self._actions = self._actions, LeaseManagerActions()
        return actions
