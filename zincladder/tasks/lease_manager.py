"""The leader's part: assigns singleton tasks to runners, and grants leases on them. No I/O.

Assignments are in the group's key-value state, which changes by compare and swap. Leases are in this
replica's memory: a new leader waits until all that its predecessor may have granted have expired before it
assigns a task to anybody else. The lease holder itself goes on meanwhile. Every message handed in was
followed by a confirmation that this replica leads.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from zincladder.consensus.lease_timing import LeaseTiming
from zincladder.tasks.model import (
    MAX_NAME_LENGTH,
    MAX_RUNNERS,
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
    """Under which token, and until when, a process may act on a task."""

    token: int
    expires_at: float


@dataclass(frozen=True, slots=True)
class Announcement:
    """When, and on which link, a runner was notified of its assignment under a token."""

    token: int
    link: int
    sent_at: float


@dataclass(frozen=True, slots=True)
class AssignmentWrite:
    """The value of a task's key is to be replaced, if it still has the expected version."""

    task: str
    expected_version: int
    assignment: TaskAssignment


@dataclass(slots=True)
class LeaseManagerActions:
    """What the host is to do."""

    messages: list[tuple[int, FromLeaseManager]] = field(default_factory=list)  # with the number of the link
    writes: list[AssignmentWrite] = field(default_factory=list)


NEVER_ASSIGNED = (TaskAssignment(), 0)  # an assignment and the version of its value, which is the token


class LeaseManager:
    """Decides for one leader in one term."""

    def __init__(self, lease_timing: LeaseTiming, now: float, term: int = 0) -> None:
        self.lease_timing, self.term = lease_timing, term
        self.runners: dict[int, LinkedRunner] = {}  # by the number of the link
        self.assignments: dict[str, tuple[TaskAssignment, int]] = {}  # by task, with the token
        self.has_read_state = False  # whether the state has been read in this term
        self.leases: dict[str, TaskLease] = {}  # of the present or the last lease holder, by task
        self._former_leases_expire_at = (
            now + lease_timing.expiry_seconds
        )  # what a predecessor may have granted
        self._announced: dict[str, Announcement] = {}  # by task
        self._pending_writes: set[str] = set()  # tasks
        self._last_advanced_at = now
        self._actions = LeaseManagerActions()

    # Questions ------------------------------------------------------------------------------------

    def free_at(self, task: str) -> float:
        """When nobody can act on a task any more, unless its lease is renewed."""
        lease = self.leases.get(task)
        return lease.expires_at if lease else self._former_leases_expire_at

    def assignment(self, task: str) -> tuple[TaskAssignment, int]:
        """A task's assignment and its token."""
        return self.assignments.get(task, NEVER_ASSIGNED)

    def _tasks(self) -> set[str]:
        offered = {task for runner in self.runners.values() for task in runner.offered}
        return offered | self.assignments.keys()

    @property
    def next_at(self) -> float:
        """When `tick` is due."""
        moments = [self.free_at(task) for task in self._tasks() if task not in self._pending_writes]
        moments += [
            announced.sent_at + self.lease_timing.renew_seconds for announced in self._announced.values()
        ]
        return min((moment for moment in moments if moment > self._last_advanced_at), default=math.inf)

    def holder_link(self, task: str) -> int:
        """The latest link of a task's lease holder, as an older one may be dead unnoticed; 0 for none."""
        assignment, _ = self.assignment(task)
        links = (number for number, runner in self.runners.items() if runner.holds(assignment))
        return max(links, default=0)

    # Key-value state ------------------------------------------------------------------------------

    def assignments_read(self, assignments: Mapping[str, tuple[TaskAssignment, int]], now: float) -> None:
        """Takes over what the state holds, with the versions of its values."""
        for task, (assignment, token) in assignments.items():
            before, token_before = self.assignment(task)
            if not self.has_read_state or token_before == token:
                continue
            for number, runner in self.runners.items():
                if runner.holds(before):  # moved or paused by a command, or its lease has expired
                    self._send(number, Revoke(task, token_before))
            if assignment.lease_holder:
                self.leases[task] = TaskLease(token, now + self.lease_timing.expiry_seconds)
        self.assignments, self.has_read_state = dict(assignments), True
        self._advance(now)

    def write_ended(self, task: str, now: float) -> None:
        """A write of a task's assignment has succeeded, or never will.

        Until then nobody gets a lease on the task: its former holder could otherwise renew one past the
        moment at which its successor may act.
        """
        self._pending_writes.discard(task)
        self._advance(now)

    def _write(self, task: str, assignment: TaskAssignment) -> None:
        self._pending_writes.add(task)
        _, version = self.assignment(task)
        self._actions.writes.append(AssignmentWrite(task, version, assignment))

    # Runners --------------------------------------------------------------------------------------

    def link_opened(self, number: int, name: str, process: str, now: float) -> str:
        """A runner has connected; the reason why it can't take part, or nothing."""
        if len(self.runners) >= MAX_RUNNERS:
            return f"{MAX_RUNNERS} runners at most"
        self.runners[number] = LinkedRunner(name, process)
        return ""

    def link_closed(self, number: int, now: float) -> None:
        """A link is gone. The runner may be alive all the same: its leases run on."""
        self.runners.pop(number, None)
        self._advance(now)

    def message_received(self, number: int, message: FromRunner, now: float) -> None:
        """Takes a runner's message, received before a moment at which this replica was confirmed to lead."""
        runner = self.runners.get(number)
        if runner is None:
            return
        runner.lapsed = False
        match message:
            case Offer(tasks):
                named = (task for task in tasks[:MAX_TASKS] if 0 < len(task) <= MAX_NAME_LENGTH)
                runner.offered = frozenset(named)
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
                expires_at = max(self.free_at(task), now + self.lease_timing.expiry_seconds)
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
            # Nobody else can hold a lease: the token was given when all older leases had expired.
            self.leases[task] = TaskLease(token, now)
            if task not in self._pending_writes:
                vacancy = f"given back by {runner.name}"
                self._write(task, TaskAssignment(changed_at=assignment.changed_at, vacancy_reason=vacancy))
        elif lease is not None and token == lease.token:
            self.leases[task] = TaskLease(token, now)  # by whom a command took it from

    # Assignments ----------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Takes the steps that are due."""
        self._advance(now)

    def _advance(self, now: float) -> None:
        """Announces assignments to their holders, and assigns what nobody can act on any more."""
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
            if now >= self.free_at(task):
                self._reassign(task, assignment, number, now)

    def _announce(self, task: str, number: int, token: int, now: float) -> None:
        """Tells the holder of its assignment, and tells it again while it requests no lease."""
        if not number:
            self._announced.pop(task, None)
            return
        announced = self._announced.get(task, Announcement(0, 0, 0.0))
        is_new = (announced.token, announced.link) != (token, number)
        is_due = announced.sent_at + self.lease_timing.renew_seconds <= now
        if is_new or (is_due and now >= self.free_at(task)):
            self._send(number, Assigned(task, token))
        if is_new or is_due:
            self._announced[task] = Announcement(token, number, now)

    def _reassign(self, task: str, assignment: TaskAssignment, holder_link: int, now: float) -> None:
        """Assigns a task without a valid lease to another runner, or to nobody if its holder is gone."""
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
            vacancy = f"{assignment.lease_holder} is gone"
            self._write(task, TaskAssignment(changed_at=now, vacancy_reason=vacancy))

    def take_actions(self) -> LeaseManagerActions:
        """What is to be done since the last time."""
        actions, self._actions = self._actions, LeaseManagerActions()
        return actions
