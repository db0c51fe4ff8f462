"""Tests which proposals of a change are rejected, and which version an accepted one gets."""

from __future__ import annotations

import pytest

from zincladder.policy.change_states import propose_change
from zincladder.policy.errors import ChangeRejectedError
from zincladder.policy.model import ChangeLogEntry, ChangeOutcome, PolicyRecord


def test_a_proposal_is_rejected_while_a_change_is_open_and_after_its_base_version_was_replaced() -> None:
    first = propose_change(PolicyRecord(3, "c"), 3, "d", "ana", "", 0.0)
    assert first.open_change and first.open_change.version == 4
    with pytest.raises(ChangeRejectedError) as under_way:
        propose_change(first, 3, "e", "ben", "", 0.0)
    assert str(under_way.value) == "version 4 by ana is under way (checking)"
    with pytest.raises(ChangeRejectedError) as outdated:
        propose_change(PolicyRecord(4, "d"), 3, "e", "ben", "", 0.0)
    assert str(outdated.value) == "version 4 is in force, not 3; review it and propose again"


def test_the_version_of_a_withdrawn_change_is_not_used_again() -> None:
    withdrawn = ChangeLogEntry(4, "d", "ana", "", 0.0, ChangeOutcome.WITHDRAWN)
    proposed = propose_change(PolicyRecord(3, "c", log=(withdrawn,)), 3, "e", "ben", "", 0.0)
    assert proposed.open_change and proposed.open_change.version == 5
