"""The replicas' side of singleton tasks: the lease manager of whoever leads, its writes, the fleet's sums.

On anyio.
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
    """Each task's assignment with the version of its value, which is the lease holder's token."""
    return {
        key.removeprefix(TASK_PREFIX): (
            msgspec.msgpack.decode(value.data, type=TaskAssignment),
            value.version,
        )
        for key, value in state.with_prefix(TASK_PREFIX).items()
    }


def rejection_reason(swap: CompareAndSwap) -> str:
    """Why a caller's write can't be accepted; empty if it can.

    Guards the rule of one lease holder: the leader alone assigns tasks, and only a lease holder stores a
    checkpoint.
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
        self._reporters: dict[int, tuple[str, str]] = {}  # names and processes, by the number of the link
        replica.swap_validators.append(rejection_reason)
        replica.collect_counters = self.collect

    def begin_term(self, since: float, term: int) -> LeaseManager:
        """The lease manager of a new term."""
        self.sums = CounterSums()
        return LeaseManager(self.lease_timing, since, term)

    def state_changed(self, term_state: LeaseManager) -> None:
        """Tells the lease manager what the state holds."""
        term_state.assignments_read(read_assignments(self.replica.state), self.clock())

    def begin_writes(
        self, actions: LeaseManagerActions, term_state: LeaseManager, tasks: anyio.abc.TaskGroup
    ) -> None:
        """Begins the lease manager's writes."""
        for write in actions.writes:
            tasks.start_soon(self._write, write, term_state)

    async def _write(self, write: AssignmentWrite, term_state: LeaseManager) -> None:
        # The time of day, which the lease manager doesn't know.
        assignment = msgspec.structs.replace(write.assignment, changed_at=time.time())
        swap = CompareAndSwap(
            task_key(write.task), write.expected_version, msgspec.msgpack.encode(assignment)
        )
        undecided = False
        while self.term_state is term_state:
            try:
                result = await self.replica.compare_and_swap(swap)
            except CommitUnknownError:
                undecided = (
                    True  # the log keeps their order: the outcome of the next attempt tells of this one
                )
                continue
            except (NotLeaderError, BusyError):
                await anyio.sleep(RETRY_SECONDS)
                if undecided:
                    continue
            else:
                if isinstance(result, Swapped) or undecided:
                    log.info(
                        "task assignment",
                        task=write.task,
                        lease_holder=assignment.lease_holder,
                        vacancy_reason=assignment.vacancy_reason,
                    )
            self.refresh(term_state)
            term_state.write_ended(write.task, self.clock())
            break
        self.wake()

    def message_received(self, number: int, message: FromRunner) -> None:
        """Adds up reported counters."""
        term_state = self.term_state
        if isinstance(message, ReportCounters) and term_state is not None and number in term_state.runners:
            runner = term_state.runners[number]
            self._reporters[number] = (runner.name, runner.process)
            self.sums.reported(runner.name, runner.process, message.counters)

    def link_closed(self, number: int) -> None:
        """A link has ended."""
        if number in self._reporters:
            self.sums.forget(*self._reporters.pop(number))

    def collect(self) -> rpc.CollectedCounters:
        """The sums of this leader's term, which begin at 0. Raises Busy before the term has begun here."""
        if self.term_state is None:  # what was summed in an earlier term would be counted twice
            raise BusyError("this keeper has only just begun to lead")
        return rpc.CollectedCounters(
            f"{self.replica.config.name}/{self.term_state.term}", dict(self.sums.totals)
        )

    # Questions ------------------------------------------------------------------------------------

    def figures(self) -> dict[str, float]:
        """The leader's metrics; empty elsewhere."""
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
        """What `tasks status` shows of the leader's view; empty where this replica doesn't lead."""
        term_state, now = self.term_state, self.clock()
        if term_state is None:
            return {}
        tasks = {
            task: {
                "owner": assignment.lease_holder,
                "token": token,
                "lease_s": round(max(0.0, term_state.free_at(task) - now), 2),
                "linked": bool(term_state.holder_link(task)),
                "paused": assignment.paused,
                "left": assignment.vacancy_reason,
            }
            for task, (assignment, token) in term_state.assignments.items()
        }
        return {"duties": tasks, "workers": sorted({runner.name for runner in term_state.runners.values()})}
