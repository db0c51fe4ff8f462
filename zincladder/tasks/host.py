"""The replicas' side of singleton tasks: runs the lease manager on the leader, and sums up counters.

Uses anyio.
"""

from __future__ import annotations

import time
from collections.abc import Callable

import anyio
import anyio.abc
import msgspec
import structlog

from zincladder.consensus import rpc
from zincladder.consensus.errors import BusyError, CommitUnknownError, NotLeaderError
from zincladder.consensus.key_value_state import CompareAndSwap, KeyValueState, Swapped
from zincladder.consensus.leader_services import RETRY_SECONDS
from zincladder.consensus.lease_timing import LeaseTiming
from zincladder.consensus.server import ReplicaServer
from zincladder.leases.service import LeaseService
from zincladder.links.clocks import boottime
from zincladder.tasks.counter_sums import CounterSums
from zincladder.tasks.lease_manager import AssignmentWrite, LeaseManager, LeaseManagerActions
from zincladder.tasks.model import (
    CHECKPOINT_PREFIX,
    TASK_PREFIX,
    FromRunner,
    ReportCounters,
    TaskAssignment,
    task_key,
)

log = structlog.get_logger()


def read_assignments(state: KeyValueState) -> dict[str, tuple[TaskAssignment, int]]:
    """Returns each task's assignment with the version of its value, which is the lease holder's token."""
    return {
        key.removeprefix(TASK_PREFIX): (
            msgspec.msgpack.decode(value.data, type=TaskAssignment),
            value.version,
        )
        for key, value in state.with_prefix(TASK_PREFIX).items()
    }


def rejection_reason(swap: CompareAndSwap) -> str:
    """Returns why a client's write is rejected; empty if it is accepted.

    A task has at most one lease holder only if no one but the leader assigns tasks, and no one but a lease
    holder stores checkpoints.
    """
    if swap.key.startswith(CHECKPOINT_PREFIX) and swap.data is not None:
        task = swap.key.removeprefix(CHECKPOINT_PREFIX)
        return "" if swap.guard and swap.guard.key == task_key(task) else "progress needs its duty's token"
    if not swap.key.startswith(TASK_PREFIX):
        return ""
    try:
        assignment: TaskAssignment = msgspec.msgpack.decode(swap.data or b"", type=TaskAssignment)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return f"no duty: {error}"
    return "the leader alone names owners" if assignment.lease_holder else ""


class TaskLeaderService(LeaseService[LeaseManager, LeaseManagerActions]):
    """Assigns singleton tasks while its replica leads the group."""

    role = "worker"
    messages = FromRunner

    def __init__(
        self, replica: ReplicaServer, lease_timing: LeaseTiming, clock: Callable[[], float] = boottime
    ) -> None:
        super().__init__(replica, lease_timing, clock)
        self.sums = CounterSums()
        self._reporters: dict[int, tuple[str, str]] = {}  # name and process, by the number of the link
        replica.swap_validators.append(rejection_reason)
        replica.collect_counters = self.collect

    def begin_term(self, since: float, term: int) -> LeaseManager:
        """Returns the lease manager of a new term, and starts new sums."""
        self.sums = CounterSums()
        return LeaseManager(self.lease_timing, since, term)

    def state_changed(self, term_state: LeaseManager) -> None:
        """Passes the stored assignments to the lease manager."""
        term_state.assignments_read(read_assignments(self.replica.state), self.clock())

    def begin_writes(
        self, actions: LeaseManagerActions, term_state: LeaseManager, tasks: anyio.abc.TaskGroup
    ) -> None:
        """Starts the lease manager's writes in the background."""
        for write in actions.writes:
            tasks.start_soon(self._write, write, term_state)

    async def _write(self, write: AssignmentWrite, term_state: LeaseManager) -> None:
        # The lease manager has no wall clock, so the Unix time is set here.
        assignment = msgspec.structs.replace(write.assignment, changed_at=time.time())
        swap = CompareAndSwap(
            task_key(write.task), write.expected_version, msgspec.msgpack.encode(assignment)
        )
        outcome_unknown = False
        while self.term_state is term_state:
            try:
                result = await self.replica.compare_and_swap(swap)
            except CommitUnknownError:
                # The next attempt comes later in the log, so its result shows whether this one succeeded.
                outcome_unknown = True
                continue
            except (NotLeaderError, BusyError):
                await anyio.sleep(RETRY_SECONDS)
                if outcome_unknown:
                    continue
            else:
                if isinstance(result, Swapped) or outcome_unknown:
                    log.info(
                        "task assignment stored",
                        task=write.task,
                        lease_holder=assignment.lease_holder,
                        vacancy_reason=assignment.vacancy_reason,
                    )
            self.refresh(term_state)
            term_state.write_ended(write.task, self.clock())
            break
        self.wake()

    def message_received(self, number: int, message: FromRunner) -> None:
        """Adds reported counters to the sums."""
        term_state = self.term_state
        if isinstance(message, ReportCounters) and term_state is not None and number in term_state.runners:
            runner = term_state.runners[number]
            self._reporters[number] = (runner.name, runner.process)
            self.sums.add_report(runner.name, runner.process, message.counters)

    def link_closed(self, number: int) -> None:
        """Drops the latest report of the process whose link has closed. The sums are not reduced."""
        if number in self._reporters:
            self.sums.forget(*self._reporters.pop(number))

    def collect(self) -> rpc.CollectedCounters:
        """Returns the sums of this leader's term. They were 0 when the term began.

        Raises BusyError while there is no term state: the sums of an earlier term would be counted twice.
        """
        if self.term_state is None:
            raise BusyError("this keeper has only just begun to lead")
        return rpc.CollectedCounters(
            f"{self.replica.config.name}/{self.term_state.term}", dict(self.sums.totals)
        )

    # Queries --------------------------------------------------------------------------------------

    def figures(self) -> dict[str, float]:
        """Returns the leader's metrics; empty if this replica doesn't lead.

        `duties` is the number of tasks with a lease holder, and `orphans` the number of tasks that have none
        and are not paused.
        """
        term_state = self.term_state
        if term_state is None:
            return {}
        assignments = [assignment for assignment, _ in term_state.assignments.values()]
        assigned = [a for a in assignments if a.lease_holder]
        vacant = [a for a in assignments if not a.lease_holder and not a.paused]
        return {
            "workers": float(len(term_state.runners)),
            "duties": float(len(assigned)),
            "orphans": float(len(vacant)),
        }

    def progress(self) -> dict[str, object]:
        """Returns the leader's view that `tasks status` shows; empty if this replica doesn't lead."""
        term_state, now = self.term_state, self.clock()
        if term_state is None:
            return {}
        tasks = {
            task: {
                "owner": assignment.lease_holder,
                "token": token,
                "lease_s": round(max(0.0, term_state.reassignable_at(task) - now), 2),
                "linked": bool(term_state.holder_link(task)),
                "paused": assignment.paused,
                "left": assignment.vacancy_reason,
            }
            for task, (assignment, token) in term_state.assignments.items()
        }
        return {"duties": tasks, "workers": sorted({runner.name for runner in term_state.runners.values()})}
