"""The keepers' side of duties: the steward of whoever leads, its writes, the sums of figures. On anyio."""

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
from zincladder.consensus.leader_services import RETRY_SECONDS, LeaderService
from zincladder.consensus.lease_timing import LeaseTiming
from zincladder.consensus.server import ReplicaServer
from zincladder.links.clocks import boottime
from zincladder.ownership.model import DUTIES, PROGRESS, Duty, Elsewhere, FromWorker, Tells, key
from zincladder.ownership.steward import Steward, Take
from zincladder.ownership.sums import Sums

log = structlog.get_logger()


def duties_of(registers: KeyValueState) -> dict[str, tuple[Duty, int]]:
    """Each duty with the version of its register, which is its owner's token."""
    return {
        name.removeprefix(DUTIES): (msgspec.msgpack.decode(value.data, type=Duty), value.version)
        for name, value in registers.with_prefix(DUTIES).items()
    }


def fault(swap: CompareAndSwap) -> str:
    """Why a caller's swap can't be taken, or nothing: owners are made by the leader, progress by owners."""
    if swap.key.startswith(PROGRESS) and swap.data is not None:
        duty = swap.key.removeprefix(PROGRESS)
        return "" if swap.guard and swap.guard.key == key(duty) else "progress needs its duty's token"
    if not swap.key.startswith(DUTIES):
        return ""
    try:
        duty_now: Duty = msgspec.msgpack.decode(swap.data or b"", type=Duty)
    except (msgspec.DecodeError, UnicodeDecodeError) as why:
        return f"no duty: {why}"
    return "the leader alone names owners" if duty_now.owner else ""


class Stewarding(LeaderService[Steward]):
    """Gives duties to workers while its keeper leads the group."""

    role = "worker"
    messages = FromWorker

    def __init__(
        self, replica: ReplicaServer, terms: LeaseTiming, clock: Callable[[], float] = boottime
    ) -> None:
        super().__init__(replica, terms, clock)
        self.sums = Sums()
        self._names: dict[int, tuple[str, str]] = {}
        replica.swap_validators.append(fault)
        replica.collect_counters = self.collect

    def begin_term(self, since: float, term: int) -> Steward:
        self.sums = Sums()
        return Steward(self.terms, since, term)

    def not_leader_message(self, leader: str) -> Elsewhere:
        return Elsewhere(leader)

    def state_changed(self, term_state: Steward) -> None:
        term_state.knows(duties_of(self.replica.state), self.clock())

    def execute(self, term_state: Steward, tasks: anyio.abc.TaskGroup) -> None:
        wish = term_state.take()
        for number, message in wish.say:
            self.send(number, message)
        for take in wish.write:
            tasks.start_soon(self._write, take, term_state)

    async def _write(self, take: Take, term_state: Steward) -> None:
        value = replace_time(take.value, time.time())
        swap = CompareAndSwap(key(take.duty), take.expected, msgspec.msgpack.encode(value))
        open_ones = False
        while self.term_state is term_state:
            try:
                result = await self.replica.compare_and_swap(swap)
            except CommitUnknownError:
                open_ones = True  # the log keeps their order: what becomes of the next tells of this one too
                continue
            except (NotLeaderError, BusyError):
                await anyio.sleep(RETRY_SECONDS)
                if open_ones:
                    continue
            else:
                if isinstance(result, Swapped) or open_ones:
                    log.info("duty", duty=take.duty, owner=value.owner, left=value.left)
            self.refresh(term_state)
            term_state.wrote(take.duty, self.clock())
            break
        self.wake()

    def message_received(self, number: int, message: FromWorker) -> None:
        term_state = self.term_state
        if isinstance(message, Tells) and term_state is not None and number in term_state.workers:
            worker = term_state.workers[number]
            self._names[number] = (worker.name, worker.process)
            self.sums.told(worker.name, worker.process, message.counters)

    def link_closed(self, number: int) -> None:
        if number in self._names:
            self.sums.gone(*self._names.pop(number))

    def collect(self) -> rpc.CollectedCounters:
        """The sums so far, and whose they are: a leader's begin at 0."""
        if self.term_state is None:  # what was summed in an earlier term would be counted twice
            raise BusyError("this keeper has only just begun to lead")
        return rpc.CollectedCounters(
            f"{self.replica.config.name}/{self.term_state.term}", dict(self.sums.totals)
        )

    # Questions ------------------------------------------------------------------------------------

    def figures(self) -> dict[str, float]:
        """For those who watch the leader."""
        term_state = self.term_state
        if term_state is None:
            return {}
        owned = [d for d, _ in term_state.duties.values() if d.owner]
        open_ones = [d for d, _ in term_state.duties.values() if not d.owner and not d.paused]
        return {
            "workers": float(len(term_state.workers)),
            "duties": float(len(owned)),
            "orphans": float(len(open_ones)),
        }

    def progress(self) -> dict[str, object]:
        term_state, now = self.term_state, self.clock()
        if term_state is None:
            return {}
        found = {
            name: {
                "owner": duty.owner,
                "token": token,
                "lease_s": round(max(0.0, term_state.free_at(name) - now), 2),
                "linked": bool(term_state.owner_link(name)),
                "paused": duty.paused,
                "left": duty.left,
            }
            for name, (duty, token) in term_state.duties.items()
        }
        return {"duties": found, "workers": sorted({w.name for w in term_state.workers.values()})}


def replace_time(duty: Duty, now: float) -> Duty:
    """With the time of day, which the steward doesn't know."""
    return msgspec.structs.replace(duty, at=now)
