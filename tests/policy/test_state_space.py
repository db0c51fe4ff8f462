"""Explores orders of events: all orders with one front in a small scope, random ones with more fronts."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from tests.support.policy_states import PolicyStateSpace, in_force
from tests.support.raft_simulation import InvariantError
from tests.support.state_space import Scope, search, walk
from zincladder.policy.coordinator import ChangeCoordinator
from zincladder.policy.model import PolicyLeaseGranted, RevokePolicyLease
from zincladder.policy.participant import ChangeParticipant

# The first scope has many faults of all kinds; the second has leaders with short terms.
WIDE_SCOPES = (
    Scope(changes=6, leader_changes=3, kills=3, link_breaks=4, until=60, unrelated_entries=20),
    Scope(changes=3, leader_changes=12, kills=1, link_breaks=2, until=60, unrelated_entries=20),
)


def run_simulation(seed: int) -> PolicyStateSpace:
    state = PolicyStateSpace(WIDE_SCOPES[seed % 2], 2 + seed // 2 % 2)
    walk(state, seed, 500)
    return state


def test_no_order_of_events_breaks_an_invariant_with_one_front() -> None:
    states, activated = search(PolicyStateSpace(Scope(changes=1, until=3), 1), matches=in_force)  # exhaustive
    assert states > 2000 and activated > 10


@pytest.mark.parametrize("block", range(4))
def test_no_long_random_history_breaks_an_invariant(block: int) -> None:
    versions = sum(run_simulation(seed).in_force for seed in range(block * 500, block * 500 + 500))
    assert versions > 1000


def lease_is_a_little_longer(patch: pytest.MonkeyPatch) -> None:
    granted = ChangeParticipant._granted

    def longer(self: ChangeParticipant, message: PolicyLeaseGranted, now: float) -> None:
        granted(self, msgspec.structs.replace(message, valid_seconds=message.valid_seconds + 1), now)

    patch.setattr(ChangeParticipant, "_granted", longer)


def lease_counts_from_its_answer(patch: pytest.MonkeyPatch) -> None:
    granted = ChangeParticipant._granted

    def later(self: ChangeParticipant, message: PolicyLeaseGranted, now: float) -> None:
        if message.serial in self.renewals.requested_at:
            self.renewals.requested_at[message.serial] = now
        granted(self, message, now)

    patch.setattr(ChangeParticipant, "_granted", later)


def new_leader_does_not_wait(patch: pytest.MonkeyPatch) -> None:
    made = ChangeCoordinator.__init__

    def hasty(self: ChangeCoordinator, *args: Any) -> None:
        made(self, *args)
        self.leases.former_leases_expire_at = args[1]

    patch.setattr(ChangeCoordinator, "__init__", hasty)


def grant_under_way_counts_after_release(patch: pytest.MonkeyPatch) -> None:
    message_received = ChangeParticipant.message_received

    def forgets(self: ChangeParticipant, message: Any, now: float) -> None:
        pending = dict(self.renewals.requested_at)
        message_received(self, message, now)
        if isinstance(message, RevokePolicyLease):
            self._ignored_through_serial = 0
            self.renewals.requested_at = pending | self.renewals.requested_at

    patch.setattr(ChangeParticipant, "message_received", forgets)


# The fleet simulation breaks no invariant under these mutations.
@pytest.mark.parametrize(
    "mutate",
    [
        lease_is_a_little_longer,
        lease_counts_from_its_answer,
        new_leader_does_not_wait,
        grant_under_way_counts_after_release,
    ],
    ids=lambda mutation: mutation.__name__,
)
def test_each_mutation_breaks_an_invariant(
    mutate: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    mutate(monkeypatch)
    with pytest.raises(InvariantError):
        for seed in range(3000):
            run_simulation(seed)
