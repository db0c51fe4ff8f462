"""Tests how a process handles assignments, leases and revocations of singleton tasks, without I/O."""

from __future__ import annotations

import msgspec
import pytest

from tests.support.task_states import LEASE_TIMING
from zincladder.tasks.lease_holder import HeldLease, LeaseHolder
from zincladder.tasks.model import Assigned, LeaseGranted, Offer, ReleaseLease, RenewLease, Revoke


def holding_process(now: float = 100.0) -> LeaseHolder:
    """Returns a process that runs task `a` under token 7, with a lease of 5 s that was requested at `now`."""
    lease_holder = LeaseHolder(["a", "b"], now)
    lease_holder.link_changed(True, now)
    lease_holder.message_received(Assigned("a", 7), now)
    (offer, idle, request) = lease_holder.take_actions().messages
    assert offer == Offer(("a", "b"))
    assert isinstance(idle, RenewLease) and not idle.assigned and isinstance(request, RenewLease)
    assert request == RenewLease(idle.serial + 1, (("a", 7),))
    assert lease_holder.active_token("a", now) == 0  # assigned, but without a lease
    lease_holder.message_received(LeaseGranted(request.serial, (("a", 7),), 5.0, 1.0), now + 0.4)
    assert lease_holder.take_actions().begin == ["a"]
    return lease_holder


def test_a_lease_holder_acts_until_its_lease_expires_and_no_longer() -> None:
    lease_holder = holding_process()
    assert (
        lease_holder.active_token("a", 104.99) == 7
        and lease_holder.active_token("a", 105.0) == 0
        and lease_holder.active_token("b", 101) == 0
    )
    # As after an hour in which the process was suspended and received no message.
    assert lease_holder.active_token("a", 3700.0) == 0


def test_the_first_lease_sets_the_renewal_interval_at_once() -> None:
    lease_holder = LeaseHolder(["a"], 100.0)
    lease_holder.link_changed(True, 100.0)
    lease_holder.message_received(Assigned("a", 7), 100.0)
    request = lease_holder.take_actions().messages[-1]
    assert isinstance(request, RenewLease)
    lease_holder.message_received(LeaseGranted(request.serial, (("a", 7),), 1.5, 0.25), 100.1)
    assert lease_holder.next_at == pytest.approx(100.35)


def test_a_task_stops_when_its_lease_expires_and_starts_again_with_the_next() -> None:
    lease_holder = holding_process()
    lease_holder.link_changed(False, 101.0)
    lease_holder.tick(106.0)
    assert lease_holder.take_actions().end == ["a"]
    lease_holder.link_changed(True, 107.0)
    request = lease_holder.take_actions().messages[-1]
    assert isinstance(request, RenewLease) and request.assigned == (("a", 7),)
    lease_holder.message_received(LeaseGranted(request.serial, (("a", 7),), 5.0, 1.0), 107.1)
    assert lease_holder.take_actions().begin == ["a"] and lease_holder.active_token("a", 108.0) == 7


def test_a_task_that_a_grant_does_not_name_is_lost_at_once() -> None:
    lease_holder = holding_process()
    lease_holder.tick(101.0)
    (request,) = lease_holder.take_actions().messages
    assert isinstance(request, RenewLease)
    lease_holder.message_received(LeaseGranted(request.serial, (), 5.0, 1.0), 101.1)
    assert (
        lease_holder.active_token("a", 101.1) == 0
        and lease_holder.take_actions().end == ["a"]
        and not lease_holder.leases
    )


def test_a_revocation_is_answered_and_an_outdated_one_is_ignored() -> None:
    lease_holder = holding_process()
    lease_holder.message_received(Revoke("a", 6), 100.5)
    assert lease_holder.active_token("a", 100.5) == 7
    lease_holder.message_received(Revoke("a", 7), 100.6)
    assert lease_holder.active_token("a", 100.6) == 0 and lease_holder.take_actions().messages == [
        ReleaseLease("a", 7)
    ]


def test_a_process_that_shuts_down_releases_its_leases_and_offers_nothing() -> None:
    lease_holder = holding_process()
    lease_holder.leave()
    actions = lease_holder.take_actions()
    assert actions.messages == [Offer(()), ReleaseLease("a", 7)] and actions.end == ["a"]
    lease_holder.message_received(Assigned("b", 9), 101.0)
    assert not lease_holder.leases


def test_a_holder_stops_acting_before_the_leader_considers_its_lease_expired() -> None:
    # The worst case that the drift bound allows: the holder's clock is slow, and the leader's is fast.
    for lease_timing in (
        LEASE_TIMING,
        msgspec.structs.replace(LEASE_TIMING, lease_seconds=5.0, clock_drift=0.01, max_action_seconds=0.2),
    ):
        slowest = (
            lease_timing.holder_seconds / (1 - lease_timing.clock_drift) + lease_timing.max_action_seconds
        )
        assert slowest <= lease_timing.expiry_seconds / (1 + lease_timing.clock_drift) + 1e-9


def test_an_outdated_assignment_is_ignored() -> None:
    lease_holder = holding_process()
    lease_holder.message_received(Assigned("a", 5), 100.5)  # an older token than 7
    assert lease_holder.leases["a"] == HeldLease(7, 105.0, lease_holder.leases["a"].assigned_after_serial)
