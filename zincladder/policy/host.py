"""The keepers' side of a policy: the conductor of whoever leads, and its writes. On anyio."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import anyio.abc
import structlog

from zincladder.agreement.host import Keeper
from zincladder.agreement.leading import AGAIN, FAULTS, Leading
from zincladder.agreement.terms import Terms
from zincladder.links.clocks import boottime
from zincladder.policy import change_log
from zincladder.policy.coordinator import ChangeCoordinator, Write
from zincladder.policy.model import ChangePhase, Elsewhere, FromParticipant

log = structlog.get_logger()


class PolicyLeaderService(Leading[ChangeCoordinator]):
    """Leads changes of the policy while its keeper leads the group."""

    role = "front"
    messages = FromParticipant

    def __init__(self, keeper: Keeper, terms: Terms, clock: Callable[[], float] = boottime) -> None:
        super().__init__(keeper, terms, clock)
        self._seen: tuple[int, str] = (-1, "")
        keeper.faults.append(change_log.fault)

    def begin(self, since: float, term: int) -> ChangeCoordinator:
        return ChangeCoordinator(self.terms, since, term)

    def elsewhere(self, leader: str) -> Elsewhere:
        return Elsewhere(leader)

    def learn(self, part: ChangeCoordinator) -> None:
        found = change_log.read(self.keeper.registers.under(""))
        part.knows(found.record, found.at, found.roster, found.contents, self.clock())
        change = found.record.open
        seen = (change.version, change.phase.value) if change else (found.record.version, "in force")
        if seen != self._seen:
            self._seen = seen
            log.info("policy", version=seen[0], phase=seen[1], absent=part.absent)

    def carry_out(self, part: ChangeCoordinator, tasks: anyio.abc.TaskGroup) -> None:
        wish = part.take()
        for number, message in wish.say:
            self.say(number, message)
        for name in wish.expect:
            tasks.start_soon(self.swap, change_log.write_expected_front(name))
        if wish.write:
            tasks.start_soon(self._write, wish.write, part)

    async def _write(self, write: Write, part: ChangeCoordinator) -> None:
        try:
            await self.keeper.swap(change_log.write_record(write.expected, write.record))
        except FAULTS:
            await anyio.sleep(AGAIN)
        if write.record.open is None:
            await self._tidy()
        if self.part is part:
            self.read_at = -1  # whatever came of it, the conductor goes on from what stands
        self.wake()

    async def _tidy(self) -> None:
        """Removes documents that nothing names any more."""
        try:
            await self.keeper.confirm()
        except FAULTS:
            return
        for swap in change_log.delete_unreferenced(change_log.read(self.keeper.registers.under(""))):
            await self.swap(swap)

    # Questions ------------------------------------------------------------------------------------

    def figures(self) -> dict[str, float]:
        """For those who watch the leader: fronts, the version in force, and how long a change hangs."""
        coordinator, now = self.part, self.clock()
        if coordinator is None:
            return {}
        record = coordinator.record
        return {
            "fronts": float(len(coordinator.fronts)),
            "absent": float(len(coordinator.absent)),
            "version": float(record.version),
            "change": round(now - coordinator.since, 3) if record.open else 0.0,
            "waits": float(len(coordinator.waits_for(now))) if record.open else 0.0,
        }

    def progress(self) -> dict[str, object]:
        """How the leader sees it; empty where this keeper doesn't lead."""
        coordinator, now = self.part, self.clock()
        if coordinator is None:
            return {}
        change = coordinator.record.open
        clearing = change is not None and change.phase is ChangePhase.REVOKING
        fronts = {}
        for front in coordinator.fronts.values():
            lease = coordinator.holding.get((front.name, front.process), (0.0, 0))[0]
            state = "serves" if lease > now else "has let go" if clearing else "no lease"
            if change and change.phase is ChangePhase.VALIDATING:
                answer = front.answer
                state = "is asked" if answer is None else "; ".join(answer.reasons) or "agrees"
            elif coordinator.silent(front, now):
                state = "silent"
            fronts[front.name] = {"state": state, "lease_s": round(max(0.0, lease - now), 2)}
        return {
            "fronts": fronts,
            "absent": list(coordinator.absent),
            "waits_for": list(coordinator.waits_for(now)),
        }
