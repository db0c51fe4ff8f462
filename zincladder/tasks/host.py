"""The keepers' side of duties: the steward of whoever leads, its writes, the sums of figures. On anyio."""

from __future__ import annotations

import time
from collections.abc import Callable

import anyio
import anyio.abc
import msgspec
import structlog

from zincladder.agreement import calls
from zincladder.agreement.host import Keeper, Undecided
from zincladder.agreement.leading import AGAIN, Leading
from zincladder.agreement.member import Busy, NotLeader
from zincladder.agreement.registers import Registers, Swap, Swapped
from zincladder.agreement.terms import Terms
from zincladder.links.clocks import boottime
from zincladder.tasks.counter_sums import CounterSums
from zincladder.tasks.lease_manager import AssignmentWrite, LeaseManager
from zincladder.tasks.model import (
    CHECKPOINT_PREFIX,
    TASK_PREFIX,
    Elsewhere,
    FromRunner,
    ReportCounters,
    TaskAssignment,
    task_key,
)

log = structlog.get_logger()


def duties_of(registers: Registers) -> dict[str, tuple[TaskAssignment, int]]:
    """Each duty with the version of its register, which is its owner's token."""
    return {
        name.removeprefix(TASK_PREFIX): (
            msgspec.msgpack.decode(value.data, type=TaskAssignment),
            value.version,
        )
        for name, value in registers.under(TASK_PREFIX).items()
    }


def fault(swap: Swap) -> str:
    """Why a caller's swap can't be taken, or nothing: owners are made by the leader, progress by owners."""
    if swap.key.startswith(CHECKPOINT_PREFIX) and swap.data is not None:
        duty = swap.key.removeprefix(CHECKPOINT_PREFIX)
        return "" if swap.guard and swap.guard.key == task_key(duty) else "progress needs its duty's token"
    if not swap.key.startswith(TASK_PREFIX):
        return ""
    try:
        duty_now: TaskAssignment = msgspec.msgpack.decode(swap.data or b"", type=TaskAssignment)
    except (msgspec.DecodeError, UnicodeDecodeError) as why:
        return f"no duty: {why}"
    return "the leader alone names owners" if duty_now.owner else ""


class TaskLeaderService(Leading[LeaseManager]):
    """Gives duties to workers while its keeper leads the group."""

    role = "worker"
    messages = FromRunner

    def __init__(self, keeper: Keeper, terms: Terms, clock: Callable[[], float] = boottime) -> None:
        super().__init__(keeper, terms, clock)
        self.sums = CounterSums()
        self._names: dict[int, tuple[str, str]] = {}
        keeper.faults.append(fault)
        keeper.collect = self.collect

    def begin(self, since: float, term: int) -> LeaseManager:
        self.sums = CounterSums()
        return LeaseManager(self.terms, since, term)

    def elsewhere(self, leader: str) -> Elsewhere:
        return Elsewhere(leader)

    def learn(self, part: LeaseManager) -> None:
        part.knows(duties_of(self.keeper.registers), self.clock())

    def carry_out(self, part: LeaseManager, tasks: anyio.abc.TaskGroup) -> None:
        wish = part.take()
        for number, message in wish.say:
            self.say(number, message)
        for take in wish.write:
            tasks.start_soon(self._write, take, part)

    async def _write(self, take: AssignmentWrite, part: LeaseManager) -> None:
        value = replace_time(take.value, time.time())
        swap = Swap(task_key(take.duty), take.expected, msgspec.msgpack.encode(value))
        open_ones = False
        while self.part is part:
            try:
                result = await self.keeper.swap(swap)
            except Undecided:
                open_ones = True  # the log keeps their order: what becomes of the next tells of this one too
                continue
            except (NotLeader, Busy):
                await anyio.sleep(AGAIN)
                if open_ones:
                    continue
            else:
                if isinstance(result, Swapped) or open_ones:
                    log.info("duty", duty=take.duty, owner=value.owner, left=value.left)
            self.learns(part)
            part.wrote(take.duty, self.clock())
            break
        self.wake()

    def hears(self, number: int, message: FromRunner) -> None:
        part = self.part
        if isinstance(message, ReportCounters) and part is not None and number in part.workers:
            worker = part.workers[number]
            self._names[number] = (worker.name, worker.process)
            self.sums.told(worker.name, worker.process, message.counters)

    def gone(self, number: int) -> None:
        if number in self._names:
            self.sums.gone(*self._names.pop(number))

    def collect(self) -> calls.Collected:
        """The sums so far, and whose they are: a leader's begin at 0."""
        if self.part is None:  # what was summed in an earlier term would be counted twice
            raise Busy("this keeper has only just begun to lead")
        return calls.Collected(f"{self.keeper.config.name}/{self.part.term}", dict(self.sums.totals))

    # Questions ------------------------------------------------------------------------------------

    def figures(self) -> dict[str, float]:
        """For those who watch the leader."""
        part = self.part
        if part is None:
            return {}
        owned = [d for d, _ in part.duties.values() if d.owner]
        open_ones = [d for d, _ in part.duties.values() if not d.owner and not d.paused]
        return {
            "workers": float(len(part.workers)),
            "duties": float(len(owned)),
            "orphans": float(len(open_ones)),
        }

    def progress(self) -> dict[str, object]:
        part, now = self.part, self.clock()
        if part is None:
            return {}
        found = {
            name: {
                "owner": duty.owner,
                "token": token,
                "lease_s": round(max(0.0, part.free_at(name) - now), 2),
                "linked": bool(part.owner_link(name)),
                "paused": duty.paused,
                "left": duty.left,
            }
            for name, (duty, token) in part.duties.items()
        }
        return {"duties": found, "workers": sorted({w.name for w in part.workers.values()})}


def replace_time(duty: TaskAssignment, now: float) -> TaskAssignment:
    """With the time of day, which the steward doesn't know."""
    return msgspec.structs.replace(duty, at=now)
