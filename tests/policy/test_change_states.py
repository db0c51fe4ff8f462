"""Proposals: of two that were made from the same version, one is rejected."""

from __future__ import annotations

import pytest

from zincladder.policy.change_states import propose_change
from zincladder.policy.errors import ChangeRejectedError
from zincladder.policy.model import ChangeLogEntry, ChangeOutcome, PolicyRecord


def test_the_second_of_two_operators_is_told_which_version_it_missed() -> None:
    first = propose_change(PolicyRecord(3, "c"), 3, "d", "ana", "", 0.0)
    assert first.open_change and first.open_change.version == 4
    with pytest.raises(ChangeRejectedError) as under_way:
        propose_change(first, 3, "e", "ben", "", 0.0)
    assert str(under_way.value) == "version 4 by ana is under way (checking)"
    with pytest.raises(ChangeRejectedError) as outdated:
        propose_change(PolicyRecord(4, "d"), 3, "e", "ben", "", 0.0)
    assert str(outdated.value) == "version 4 is in force, not 3: look at what it changed"


def test_a_version_that_was_withdrawn_is_never_given_again() -> None:
    withdrawn = ChangeLogEntry(4, "d", "ana", "", 0.0, ChangeOutcome.WITHDRAWN)
    again = propose_change(PolicyRecord(3, "c", log=(withdrawn,)), 3, "e", "ben", "", 0.0)
    assert again.open_change and again.open_change.version == 5
