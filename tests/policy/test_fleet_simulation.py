"""Tests simulated fleets with random faults; each mutation of the code has to break an invariant."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.fleet_simulation import LEASE_TIMING, FleetWorld
from tests.support.raft_simulation import InvariantError
from zincladder.policy import change_states
from zincladder.policy.coordinator import ChangeCoordinator
from zincladder.policy.model import PolicyLeaseReleased, RevokePolicyLease
from zincladder.policy.participant import ChangeParticipant


def run_simulation(seed: int) -> FleetWorld:
    """Simulates three or five replicas and four fronts. With two of three seeds, replicas crash at random."""
    world = FleetWorld(seed, 3 + 2 * (seed // 2 % 2), 4)
    world.crash_probability = 0.0005 * (seed % 3)
    world.play(40)
    return world


@pytest.mark.parametrize("block", range(8))
def test_a_change_is_activated_everywhere_or_nowhere_whatever_fails(block: int) -> None:
    total: Counter[str] = Counter()
    for seed in range(block * 25, block * 25 + 25):
        total.update(run_simulation(seed).counts)
    assert (
        total["activated"] > 30
        and total["withdrawn"] > 3
        and total["served"] > 1000
        and total["crashes"] > 20
    )


@settings(max_examples=25, deadline=None)
@given(st.integers(1000, 10**9))
def test_any_seed_keeps_the_invariants(seed: int) -> None:
    run_simulation(seed)


def ignores_the_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    def without_the_clock(self: ChangeParticipant, now: float) -> int:
        applied = self.applied_document == self._leased_document
        return self.version if applied and not self.released else 0

    monkeypatch.setattr(ChangeParticipant, "serving_version", without_the_clock)


def grants_while_revoking(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ChangeCoordinator, "_granting_suspended", lambda self: not self.has_read_state)


def decides_without_asking(monkeypatch: pytest.MonkeyPatch) -> None:
    def decides_at_once(self: ChangeCoordinator, change: Any, now: float) -> None:
        self._write(change_states.retreat(self.record, change))

    monkeypatch.setattr(ChangeCoordinator, "_validate", decides_at_once)


def accepts_an_outdated_release(monkeypatch: pytest.MonkeyPatch) -> None:
    message_received = ChangeCoordinator.message_received

    def releases_all(self: ChangeCoordinator, number: int, message: Any, now: float) -> None:
        if isinstance(message, PolicyLeaseReleased):
            message = PolicyLeaseReleased(message.version, 10**9)
        message_received(self, number, message, now)

    monkeypatch.setattr(ChangeCoordinator, "message_received", releases_all)
    participant_heard = ChangeParticipant.message_received

    def renews_before_release(self: ChangeParticipant, message: Any, now: float) -> None:
        participant_heard(self, message, now)
        if isinstance(message, RevokePolicyLease):
            self._actions.messages.reverse()

    monkeypatch.setattr(ChangeParticipant, "message_received", renews_before_release)


MUTATIONS: list[Callable[[pytest.MonkeyPatch], None]] = [
    ignores_the_clock,
    grants_while_revoking,
    decides_without_asking,
    accepts_an_outdated_release,
]


@pytest.mark.parametrize("mutate", MUTATIONS, ids=lambda mutation: mutation.__name__)
def test_each_mutation_breaks_an_invariant(
    mutate: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    mutate(monkeypatch)
    with pytest.raises(InvariantError):
        for seed in range(400):
            run_simulation(seed)


def test_a_front_relies_on_a_lease_for_no_longer_than_the_leader_waits() -> None:
    assert LEASE_TIMING.trusted_seconds * (1 + LEASE_TIMING.clock_drift) <= LEASE_TIMING.expiry_seconds
    assert (
        LEASE_TIMING.trusted_seconds / (1 - LEASE_TIMING.clock_drift)
        <= LEASE_TIMING.expiry_seconds / (1 + LEASE_TIMING.clock_drift) + 1e-9
    )
