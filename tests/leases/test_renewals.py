"""Tests of the schedule on which a process renews its leases."""

from __future__ import annotations

from zincladder.leases.renewals import MAX_PENDING, RenewalSchedule


def test_a_request_is_answered_once_with_the_moment_at_which_it_was_sent() -> None:
    renewals = RenewalSchedule(100.0)
    first = renewals.request(100.0, 1.0)
    second = renewals.request(101.0, 1.0)
    assert (renewals.answered(second), renewals.answered(first)) == (101.0, 100.0)
    assert renewals.answered(first) is None and renewals.answered(99) is None


def test_the_next_request_is_due_after_the_interval_and_can_only_be_brought_forward() -> None:
    renewals = RenewalSchedule(100.0)
    assert renewals.next_at == 100.0
    renewals.request(100.0, 5.0)
    renewals.bring_forward(103.0)
    renewals.bring_forward(104.0)
    assert renewals.next_at == 103.0


def test_only_the_latest_requests_may_still_be_answered() -> None:
    renewals = RenewalSchedule(100.0)
    serials = [renewals.request(100.0 + n, 1.0) for n in range(2 * MAX_PENDING)]
    assert sorted(renewals.requested_at) == serials[-MAX_PENDING:]
