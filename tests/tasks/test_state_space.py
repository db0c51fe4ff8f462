"""Explores orders of events: all orders with one process in a small scope, random ones with more."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from tests.support.raft_simulation import InvariantError
from tests.support.state_space import Scope, search, walk
from tests.support.task_states import TaskStateSpace, taken_over
from zincladder.tasks.fence import Fence
from zincladder.tasks.lease_holder import LeaseHolder
from zincladder.tasks.lease_manager import LeaseManager
from zincladder.tasks.model import LeaseGranted

# The first scope has many faults of all kinds; the second has leaders with short terms.
WIDE_SCOPES = (
    Scope(changes=4, leader_changes=3, kills=3, link_breaks=4, until=60, unrelated_entries=20),
    Scope(changes=1, leader_changes=12, kills=1, link_breaks=2, until=60, unrelated_entries=20),
)


def run_simulation(seed: int) -> TaskStateSpace:
    state = TaskStateSpace(WIDE_SCOPES[seed % 2], processes=2 + seed // 2 % 2, effects=30)
    walk(state, seed, 400)
    return state


def test_no_order_of_events_makes_two_lease_holders_or_admits_an_outdated_effect() -> None:
    # Visits all 7,000 states of one process and the processes that replace it, with one effect in total.
    scope = Scope(changes=0, kills=1, until=3)
    states, count = search(TaskStateSpace(scope, processes=1, effects=1), matches=taken_over)
    assert states > 2000 and count > 10


@pytest.mark.parametrize("block", range(4))
def test_no_long_random_history_breaks_an_invariant(block: int) -> None:
    writes = sum(run_simulation(seed).register[1] for seed in range(block * 500, block * 500 + 500))
    assert writes > 2500  # writes of assignments


# Mutations of the code, each of which has to break an invariant --------------------------------------


def no_fence(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Fence, "admit", lambda *_: "")


def lease_is_a_little_longer(patch: pytest.MonkeyPatch) -> None:
    granted = LeaseHolder._granted

    def longer(self: LeaseHolder, message: LeaseGranted, now: float) -> None:
        granted(self, msgspec.structs.replace(message, valid_seconds=message.valid_seconds + 1), now)

    patch.setattr(LeaseHolder, "_granted", longer)


def lease_counts_from_its_answer(patch: pytest.MonkeyPatch) -> None:
    granted = LeaseHolder._granted

    def later(self: LeaseHolder, message: LeaseGranted, now: float) -> None:
        if message.serial in self.renewals.requested_at:
            self.renewals.requested_at[message.serial] = now
        granted(self, message, now)

    patch.setattr(LeaseHolder, "_granted", later)


def new_leader_does_not_wait(patch: pytest.MonkeyPatch) -> None:
    init = LeaseManager.__init__

    def hasty(self: LeaseManager, *args: Any) -> None:
        init(self, *args)
        self._former_leases_expire_at = args[1]

    patch.setattr(LeaseManager, "__init__", hasty)


def outdated_release_frees_a_task(patch: pytest.MonkeyPatch) -> None:
    released = LeaseManager._released

    def any_token(self: LeaseManager, runner: Any, task: str, token: int, now: float) -> None:
        lease = self.leases.get(task)
        released(self, runner, task, lease.token if lease else token, now)

    patch.setattr(LeaseManager, "_released", any_token)


def task_is_assigned_while_it_is_leased(patch: pytest.MonkeyPatch) -> None:
    reassignable_at = LeaseManager.reassignable_at
    patch.setattr(LeaseManager, "reassignable_at", lambda self, task: reassignable_at(self, task) - 2)


def token_is_given_twice(patch: pytest.MonkeyPatch) -> None:
    apply_write = TaskStateSpace.apply_write

    def again(self: TaskStateSpace, write: Any) -> None:
        apply_write(self, write)
        self.register = (self.register[0], self.register[1] // 3 + 1)

    patch.setattr(TaskStateSpace, "apply_write", again)


MUTATIONS: list[Callable[[pytest.MonkeyPatch], None]] = [
    no_fence,
    lease_is_a_little_longer,
    lease_counts_from_its_answer,
    new_leader_does_not_wait,
    outdated_release_frees_a_task,
    task_is_assigned_while_it_is_leased,
    token_is_given_twice,
]


@pytest.mark.parametrize("mutate", MUTATIONS, ids=lambda mutation: mutation.__name__)
def test_each_mutation_breaks_an_invariant(
    mutate: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    mutate(monkeypatch)
    with pytest.raises(InvariantError):
        for seed in range(3000):
            run_simulation(seed)
