"""Request classes that come and go while requests are open: their numbers and rules."""

from __future__ import annotations

from zincladder.core.request_classes import REMOVED_CLASS_SECONDS, RequestClasses
from zincladder.routing import interface as api

READ = api.RequestClass(latency_objective=0.3, timeout=2.0)
WRITE = api.RequestClass(
    latency_objective=0.3, timeout=2.0, idempotency=api.Idempotency.NONE, uncacheable=True
)


def test_an_open_request_keeps_its_number_and_rules_through_any_change() -> None:
    table = RequestClasses(["page", "scan"], [READ, READ])
    assert table.replace(["page", "scan"], [READ, WRITE], {1}, 0.0) == (0, 1, 1)
    assert table.number_of("scan", 0.0) == 2 and table.rules[1] == READ and table.rules[2] == WRITE
    assert table.replace(["page"], [READ], {1}, 10.0) == (0, 1, 2)  # dropped, with a request open under 1
    assert (
        table.number_of("scan", 10.0 + REMOVED_CLASS_SECONDS / 2) == 2
        and table.number_of("scan", 10.0 + REMOVED_CLASS_SECONDS) is None
    )
    # Back again as a read: never under the number that an open request holds, nor the one that rests.
    table.replace(["page", "scan"], [READ, READ], {1}, 11.0)
    assert table.number_of("scan", 11.0) == 3 and (table.names[1], table.rules[1]) == ("scan", READ)


def test_numbers_are_used_again_once_nothing_holds_them() -> None:
    table = RequestClasses(["page"], [READ])
    for i in range(100):
        table.replace(["page", f"c{i}"], [READ, READ], set(), i * 2 * REMOVED_CLASS_SECONDS)
    assert len(table.names) <= 3 and table.current["c99"] < 3 and table.current["page"] == 0
