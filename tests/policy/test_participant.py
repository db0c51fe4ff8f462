"""Tests how a front handles leases, revocations and documents of the policy, without I/O."""

from __future__ import annotations

import pytest

from zincladder.policy.model import (
    PolicyLeaseGranted,
    PolicyLeaseReleased,
    RenewPolicyLease,
    RevokePolicyLease,
)
from zincladder.policy.participant import ChangeParticipant


def serving_participant(serves_when_cut_off: bool = False) -> ChangeParticipant:
    """Returns a front that serves under version 1, with a lease of 5 s that was requested at 100 s."""
    participant = ChangeParticipant(100.0, serves_when_cut_off)
    participant.link_changed(True, 100.0)
    participant.tick(100.0)
    (request,) = participant.take_actions().messages
    assert isinstance(request, RenewPolicyLease)
    participant.message_received(PolicyLeaseGranted(request.serial, 1, "d1", 5.0, 1.0), 100.4)
    assert participant.serving_version(100.4) == 0  # the document has not been delivered yet
    participant.take_actions()
    participant.applied("d1")
    return participant


def test_a_lease_is_valid_from_the_time_of_its_request() -> None:
    participant = serving_participant()
    assert participant.serving_version(104.99) == 1 and participant.serving_version(105.0) == 0


def test_the_first_lease_sets_the_renewal_interval_at_once() -> None:
    # Guards against a renewal that is sent only a second after the first grant: a front with shorter leases
    # received nothing from the leader in that second, and treated it as failed.
    participant = ChangeParticipant(100.0)
    participant.link_changed(True, 100.0)
    participant.tick(100.0)
    participant.message_received(PolicyLeaseGranted(1, 1, "d1", 1.5, 0.25), 100.1)
    assert participant.next_at == pytest.approx(100.35)


def test_a_process_that_resumes_after_its_lease_expired_does_not_serve() -> None:
    assert serving_participant().serving_version(3700.0) == 0


def test_a_front_that_is_cut_off_keeps_serving_if_configured_unless_it_has_released() -> None:
    participant = serving_participant(serves_when_cut_off=True)
    assert participant.serving_version(3700.0) == 1
    participant.message_received(RevokePolicyLease(2), 101.0)
    assert participant.serving_version(101.0) == 0 and participant.serving_version(3700.0) == 0


def test_a_grant_that_arrives_after_the_release_is_ignored() -> None:
    participant = serving_participant()
    participant.tick(101.0)
    (request,) = participant.take_actions().messages
    assert isinstance(request, RenewPolicyLease)
    participant.message_received(RevokePolicyLease(2), 101.1)
    messages = participant.take_actions().messages
    assert [type(message) for message in messages] == [PolicyLeaseReleased, RenewPolicyLease]
    participant.message_received(PolicyLeaseGranted(request.serial, 1, "d1", 5.0, 1.0), 101.2)
    assert participant.serving_version(101.2) == 0


def test_a_front_that_cannot_apply_a_policy_does_not_serve_and_gives_the_reason() -> None:
    participant = serving_participant()
    participant.tick(101.0)
    (request,) = participant.take_actions().messages
    assert isinstance(request, RenewPolicyLease)
    participant.message_received(PolicyLeaseGranted(request.serial, 2, "d2", 5.0, 1.0), 101.1)
    participant.applied("d2", "'settings.az' needs a restart")
    assert participant.serving_version(101.1) == 0 and participant.failed_documents == {
        "d2": "'settings.az' needs a restart"
    }
