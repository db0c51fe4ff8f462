"""Who agrees to a change, and who may still rely on the version in force."""

from __future__ import annotations

import pytest

from zincladder.policy.granted_leases import FrontProcess, GrantedLeases
from zincladder.policy.linked_fronts import LinkedFront, agreement
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
        ((True, False), ("f0", "f1"), False),  # just the half
        ((True, True, False), ("f0", "f1", "f2"), True),
        ((True,), ("f0", "f8", "f9"), False),
    ],
)
def test_more_than_half_of_the_expected_fronts_have_to_agree(
    agree: tuple[bool, ...], expected: tuple[str, ...], suffices: bool
) -> None:
    answers = agreement(fronts(*agree), frozenset(expected))
    assert answers.suffices(0.5) is suffices
    assert answers.all_answered is all(agree)
    assert answers.absent == tuple(sorted(set(expected) - {f"f{n}" for n, yes in enumerate(agree) if yes}))


def test_a_lease_ends_by_its_release_or_by_its_expiry() -> None:
    leases, one, two = GrantedLeases(100.0), FrontProcess("f0", "p"), FrontProcess("f1", "p")
    leases.grant(one, 4, 110.0)
    leases.grant(two, 7, 120.0)
    leases.release(one, 3)  # sent before the request of this lease
    assert leases.remaining_seconds(one, 105.0) == 5.0
    leases.release(one, 4)
    assert not leases.remaining_seconds(one, 105.0) and not leases.none_left(119.9)
    leases.drop_expired(120.0)
    assert leases.none_left(120.0)


def test_a_former_leaders_leases_are_waited_for_though_none_is_known() -> None:
    leases = GrantedLeases(100.0)
    assert not leases.none_left(99.9) and leases.none_left(100.0)


def test_a_process_is_fenced_off_until_it_releases() -> None:
    leases, late = GrantedLeases(100.0), FrontProcess("f0", "p")
    leases.grant(late, 4, 110.0)
    leases.fence_off_remaining()
    assert leases.fenced_off == {late}
    leases.release(late, 4)
    assert not leases.fenced_off
