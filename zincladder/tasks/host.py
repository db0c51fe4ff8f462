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

from zincladder.agreement import calls
from zincladder.agreement.host import Keeper, Undecided
from zincladder.agreement.leading import AGAIN
from zincladder.agreement.member import Busy, NotLeader
from zincladder.agreement.registers import Registers, Swap, Swapped
from zincladder.agreement.terms import Terms
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


def read_assignments(registers: Registers) -> dict[str, tuple[TaskAssignment, int]]:
    """Each task's assignment with the version of its register, which is the lease holder's token."""
    return {
        key.removeprefix(TASK_PREFIX): (
            msgspec.msgpack.decode(value.data, type=TaskAssignment),
            value.version,
        )
        for key, value in registers.under(TASK_PREFIX).items()
    }


def rejection_reason(swap: Swap) -> str:
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


class TaskLeaderService(LeaseService[LeaseManager]):
    """Assigns singleton tasks while its replica leads the group."""

    role = "worker"
    messages = FromRunner

    def __init__(self, keeper: Keeper, terms: Terms, clock: Callable[[], float] = boottime) -> None:
        super().__init__(keeper, terms, clock)
        self.sums = CounterSums()
        self._reporters: dict[int, tuple[str, str]] = {}  # names and processes, by the number of the link
        keeper.faults.append(rejection_reason)
        keeper.collect = self.collect

    def begin(self, since: float, term: int) -> LeaseManager:
        """The lease manager of a new term."""
        self.sums = CounterSums()
        return LeaseManager(self.terms, since, term)

    def learn(self, part: LeaseManager) -> None:
        """Tells the lease manager what the registers hold."""
        part.assignments_read(read_assignments(self.keeper.registers), self.clock())

    def begin_writes(
        self, actions: LeaseManagerActions, part: LeaseManager, tasks: anyio.abc.TaskGroup
    ) -> None:
        """Begins the lease manager's writes."""
        for write in actions.writes:
            tasks.start_soon(self._write, write, part)

    async def _write(self, write: AssignmentWrite, part: LeaseManager) -> None:
        # The time of day, which the lease manager doesn't know.
        assignment = msgspec.structs.replace(write.assignment, changed_at=time.time())
        swap = Swap(task_key(write.task), write.expected_version, msgspec.msgpack.encode(assignment))
        undecided = False
        while self.part is part:
            try:
                result = await self.keeper.swap(swap)
            except Undecided:
                undecided = (
                    True  # the log keeps their order: the outcome of the next attempt tells of this one
                )
                continue
            except (NotLeader, Busy):
                await anyio.sleep(AGAIN)
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
            self.learns(part)
            part.write_ended(write.task, self.clock())
            break
        self.wake()

    def hears(self, number: int, message: FromRunner) -> None:
        """Adds up reported counters."""
        part = self.part
        if isinstance(message, ReportCounters) and part is not None and number in part.runners:
            runner = part.runners[number]
            self._reporters[number] = (runner.name, runner.process)
            self.sums.reported(runner.name, runner.process, message.counters)

    def gone(self, number: int) -> None:
        """A link has ended."""
        if number in self._reporters:
            self.sums.forget(*self._reporters.pop(number))

    def collect(self) -> calls.Collected:
        """The sums of this leader's term, which begin at 0. Raises Busy before the term has begun here."""
        if self.part is None:  # what was summed in an earlier term would be counted twice
            raise Busy("this keeper has only just begun to lead")
        return calls.Collected(f"{self.keeper.config.name}/{self.part.term}", dict(self.sums.totals))

    # Questions ------------------------------------------------------------------------------------

    def figures(self) -> dict[str, float]:
        """The leader's metrics; empty elsewhere."""
        part = self.part
        if part is None:
            return {}
        assignments = [assignment for assignment, _ in part.assignments.values()]
        assigned = [a for a in assignments if a.lease_holder]
        vacant = [a for a in assignments if not a.lease_holder and not a.paused]
        return {
            "workers": float(len(part.runners)),
            "duties": float(len(assigned)),
            "orphans": float(len(vacant)),
        }

    def progress(self) -> dict[str, object]:
        """What `tasks status` shows of the leader's view; empty where this replica doesn't lead."""
        part, now = self.part, self.clock()
        if part is None:
            return {}
        tasks = {
            task: {
                "owner": assignment.lease_holder,
                "token": token,
                "lease_s": round(max(0.0, part.free_at(task) - now), 2),
                "linked": bool(part.holder_link(task)),
                "paused": assignment.paused,
                "left": assignment.vacancy_reason,
            }
            for task, (assignment, token) in part.assignments.items()
        }
        return {"duties": tasks, "workers": sorted({runner.name for runner in part.runners.values()})}
