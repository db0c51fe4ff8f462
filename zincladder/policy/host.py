"""The keepers' side of a policy: the conductor of whoever leads, and its writes. On anyio."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import anyio.abc
import structlog

from zincladder.consensus.leader_services import COMMIT_ERRORS, RETRY_SECONDS, LeaderService
from zincladder.consensus.lease_timing import LeaseTiming
from zincladder.consensus.server import ReplicaServer
from zincladder.links.clocks import boottime
from zincladder.policy import book
from zincladder.policy.conductor import Conductor, Write
from zincladder.policy.model import Elsewhere, FromFront, Phase

log = structlog.get_logger()


class Conducting(LeaderService[Conductor]):
    """Leads changes of the policy while its keeper leads the group."""

    role = "front"
    messages = FromFront

    def __init__(
        self, replica: ReplicaServer, terms: LeaseTiming, clock: Callable[[], float] = boottime
    ) -> None:
        super().__init__(replica, terms, clock)
        self._seen: tuple[int, str] = (-1, "")
        replica.swap_validators.append(book.fault)

    def begin_term(self, since: float, term: int) -> Conductor:
        return Conductor(self.terms, since, term)

    def not_leader_message(self, leader: str) -> Elsewhere:
        return Elsewhere(leader)

    def state_changed(self, term_state: Conductor) -> None:
        found = book.read(self.replica.state.with_prefix(""))
        term_state.knows(found.record, found.at, found.roster, found.contents, self.clock())
        change = found.record.open
        seen = (change.version, change.phase.value) if change else (found.record.version, "in force")
        if seen != self._seen:
            self._seen = seen
            log.info("policy", version=seen[0], phase=seen[1], absent=term_state.absent)

    def execute(self, term_state: Conductor, tasks: anyio.abc.TaskGroup) -> None:
        wish = term_state.take()
        for number, message in wish.say:
            self.send(number, message)
        for name in wish.expect:
            tasks.start_soon(self.try_compare_and_swap, book.expected_swap(name))
        if wish.write:
            tasks.start_soon(self._write, wish.write, term_state)

    async def _write(self, write: Write, term_state: Conductor) -> None:
        try:
            await self.replica.compare_and_swap(book.record_swap(write.expected, write.record))
        except COMMIT_ERRORS:
            await anyio.sleep(RETRY_SECONDS)
        if write.record.open is None:
            await self._tidy()
        if self.term_state is term_state:
            self.read_at = -1  # whatever came of it, the conductor goes on from what stands
        self.wake()

    async def _tidy(self) -> None:
        """Removes documents that nothing names any more."""
        try:
            await self.replica.confirm_leadership()
        except COMMIT_ERRORS:
            return
        for swap in book.unneeded(book.read(self.replica.state.with_prefix(""))):
            await self.try_compare_and_swap(swap)

    # Questions ------------------------------------------------------------------------------------

    def figures(self) -> dict[str, float]:
        """For those who watch the leader: fronts, the version in force, and how long a change hangs."""
        conductor, now = self.term_state, self.clock()
        if conductor is None:
            return {}
        record = conductor.record
        return {
            "fronts": float(len(conductor.fronts)),
            "absent": float(len(conductor.absent)),
            "version": float(record.version),
            "change": round(now - conductor.since, 3) if record.open else 0.0,
            "waits": float(len(conductor.waits_for(now))) if record.open else 0.0,
        }

    def progress(self) -> dict[str, object]:
        """How the leader sees it; empty where this keeper doesn't lead."""
        conductor, now = self.term_state, self.clock()
        if conductor is None:
            return {}
        change = conductor.record.open
        clearing = change is not None and change.phase is Phase.CLEARING
        fronts = {}
        for front in conductor.fronts.values():
            lease = conductor.holding.get((front.name, front.process), (0.0, 0))[0]
            state = "serves" if lease > now else "has let go" if clearing else "no lease"
            if change and change.phase is Phase.CHECKING:
                answer = front.answer
                state = "is asked" if answer is None else "; ".join(answer.reasons) or "agrees"
            elif conductor.silent(front, now):
                state = "silent"
            fronts[front.name] = {"state": state, "lease_s": round(max(0.0, lease - now), 2)}
        return {
            "fronts": fronts,
            "absent": list(conductor.absent),
            "waits_for": list(conductor.waits_for(now)),
        }
