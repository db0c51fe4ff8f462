"""The replicas' side of the policy: runs the leader's change coordinator and its writes. Uses anyio."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import anyio.abc
import structlog

from zincladder.consensus.leader_services import COMMIT_ERRORS, RETRY_SECONDS
from zincladder.consensus.lease_timing import LeaseTiming
from zincladder.consensus.server import ReplicaServer
from zincladder.leases.service import LeaseService
from zincladder.links.clocks import boottime
from zincladder.policy import change_log
from zincladder.policy.coordinator import ChangeCoordinator, CoordinatorActions, RecordWrite
from zincladder.policy.linked_fronts import LinkedFront
from zincladder.policy.model import ChangePhase, FromParticipant

READ_ALL_AGAIN = -1  # value of `seen_index` that makes the service pass on the committed state again
log = structlog.get_logger()


class PolicyLeaderService(LeaseService[ChangeCoordinator, CoordinatorActions]):
    """Runs changes of the policy while its replica leads the group."""

    role = "front"
    messages = FromParticipant

    def __init__(
        self, replica: ReplicaServer, lease_timing: LeaseTiming, clock: Callable[[], float] = boottime
    ) -> None:
        super().__init__(replica, lease_timing, clock)
        self._logged_state: tuple[int, str] = (-1, "")
        replica.swap_validators.append(change_log.rejection_reason)

    def begin_term(self, since: float, term: int) -> ChangeCoordinator:
        """Returns the coordinator of a new term."""
        return ChangeCoordinator(self.lease_timing, since, term)

    def state_changed(self, term_state: ChangeCoordinator) -> None:
        """Passes the stored policy to the coordinator, and logs the policy's state if it has changed."""
        stored = change_log.read(self.replica.state.with_prefix(""))
        term_state.record_read(
            stored.record, stored.record_version, stored.expected_fronts, stored.contents, self.clock()
        )
        change = stored.record.open_change
        state = (change.version, change.phase.value) if change else (stored.record.version, "in force")
        if state != self._logged_state:
            self._logged_state = state
            log.info(
                "state of the policy or its open change",
                version=state[0],
                phase=state[1],
                absent=term_state.absent,
            )

    def begin_writes(
        self, actions: CoordinatorActions, term_state: ChangeCoordinator, tasks: anyio.abc.TaskGroup
    ) -> None:
        """Starts the coordinator's writes in the background."""
        for front in actions.expect_fronts:
            tasks.start_soon(self.try_compare_and_swap, change_log.write_expected_front(front))
        if actions.write:
            tasks.start_soon(self._write, actions.write, term_state)

    async def _write(self, write: RecordWrite, term_state: ChangeCoordinator) -> None:
        try:
            await self.replica.compare_and_swap(change_log.write_record(write.expected_version, write.record))
        except COMMIT_ERRORS:
            await anyio.sleep(RETRY_SECONDS)
        if write.record.open_change is None:
            await self._delete_unreferenced()
        if self.term_state is term_state:
            # The coordinator continues from the stored record, whether or not the write succeeded.
            self.seen_index = READ_ALL_AGAIN
        self.wake()

    async def _delete_unreferenced(self) -> None:
        """Deletes the documents that the record no longer needs."""
        try:
            await self.replica.confirm_leadership()
        except COMMIT_ERRORS:
            return
        for swap in change_log.delete_unreferenced(change_log.read(self.replica.state.with_prefix(""))):
            await self.try_compare_and_swap(swap)

    # Queries --------------------------------------------------------------------------------------

    def figures(self) -> dict[str, float]:
        """Returns the leader's metrics; empty if this replica doesn't lead.

        `change` is the number of seconds since the open change entered its phase. `waits` is the number of
        fronts that messages may not reach, so that the change has to wait until their leases expire.
        """
        coordinator, now = self.term_state, self.clock()
        if coordinator is None:
            return {}
        record = coordinator.record
        changing = record.open_change is not None
        return {
            "fronts": float(len(coordinator.fronts)),
            "absent": float(len(coordinator.absent)),
            "version": float(record.version),
            "change": round(now - coordinator.phase_entered_at, 3) if changing else 0.0,
            "waits": float(len(coordinator.blocked_by(now))) if changing else 0.0,
        }

    def progress(self) -> dict[str, object]:
        """Returns the leader's view that `policy status` shows; empty if this replica doesn't lead."""
        coordinator, now = self.term_state, self.clock()
        if coordinator is None:
            return {}
        fronts = {
            front.name: {
                "state": front_state(coordinator, front, now),
                "lease_s": round(coordinator.leases.remaining_seconds(front.identity, now), 2),
            }
            for front in coordinator.fronts.values()
        }
        return {
            "fronts": fronts,
            "absent": list(coordinator.absent),
            "waits_for": list(coordinator.blocked_by(now)),
        }


def front_state(coordinator: ChangeCoordinator, front: LinkedFront, now: float) -> str:
    """Returns the state of a front for `policy status`: its validation of the open change, or its lease."""
    change = coordinator.record.open_change
    if change is not None and change.phase is ChangePhase.CHECKING:
        if front.validation is None:
            return "is asked"
        return "; ".join(front.validation.reasons) or "agrees"
    if coordinator.is_silent(front, now):
        return "silent"
    if coordinator.leases.remaining_seconds(front.identity, now) > 0:
        return "serves"
    revoking = change is not None and change.phase is ChangePhase.REVOKING
    return "has let go" if revoking else "no lease"
