"""Tests how many fronts have to agree to a change, and how leases on the version in force end."""

from __future__ import annotations

import pytest

from zincladder.policy.granted_leases import FrontProcess, GrantedLeases
from zincladder.policy.linked_fronts import LinkedFront, count_agreement
from zincladder.policy.model import DocumentValidated


def fronts(*agree: bool) -> list[LinkedFront]:
    found = [LinkedFront(f"f{n}", "p", 0.0) for n in range(len(agree))]
    for front, agrees in zip(found, agree, strict=True):
        front.validation = DocumentValidated(2, "d2") if agrees else None
    return found


@pytest.mark.parametrize(
    "agree, expected, suffices",
    [
        ((), (), True),  # a group without fronts
        ((True,), ("f0",), True),
        ((True, False), ("f0", "f1"), False),  # exactly half
        ((True, True, False), ("f0", "f1", "f2"), True),
        ((True,), ("f0", "f8", "f9"), False),
    ],
)
def test_more_than_half_of_the_expected_fronts_have_to_agree(
    agree: tuple[bool, ...], expected: tuple[str, ...], suffices: bool
) -> None:
    answers = count_agreement(fronts(*agree), frozenset(expected))
    assert answers.suffices(0.5) is suffices
    assert answers.all_answered is all(agree)
    assert answers.absent == tuple(sorted(set(expected) - {f"f{n}" for n, yes in enumerate(agree) if yes}))


def test_a_lease_ends_by_its_release_or_by_its_expiry() -> None:
    leases, one, two = GrantedLeases(100.0), FrontProcess("f0", "p"), FrontProcess("f1", "p")
    leases.grant(one, 4, 110.0)
    leases.grant(two, 7, 120.0)
    leases.release(one, 3)  # sent before this lease was requested
    assert leases.remaining_seconds(one, 105.0) == 5.0
    leases.release(one, 4)
    assert not leases.remaining_seconds(one, 105.0) and not leases.no_lease_remains(119.9)
    leases.drop_expired(120.0)
    assert leases.no_lease_remains(120.0)


def test_leases_that_a_former_leader_may_have_granted_have_to_expire() -> None:
    leases = GrantedLeases(100.0)
    assert not leases.no_lease_remains(99.9) and leases.no_lease_remains(100.0)


def test_a_process_that_has_not_released_in_time_is_suspended_until_it_does() -> None:
    leases, late = GrantedLeases(100.0), FrontProcess("f0", "p")
    leases.grant(late, 4, 110.0)
    leases.suspend_remaining()
    assert leases.suspended == {late}
    leases.release(late, 4)
    assert not leases.suspended
