"""The numbers of request classes across changes of the settings."""

from __future__ import annotations

from zincladder.core.request_classes import REMOVED_CLASS_SECONDS, RequestClasses
from zincladder.routing import interface as api

READ = api.RequestClass(latency_objective=0.3, timeout=2.0)
WRITE = api.RequestClass(
    latency_objective=0.3, timeout=2.0, idempotency=api.Idempotency.NONE, uncacheable=True
)


def test_an_open_request_keeps_its_class_number_and_rules_when_settings_change() -> None:
    classes = RequestClasses(["page", "scan"], [READ, READ])
    assert classes.replace(["page", "scan"], [READ, WRITE], {1}, 0.0) == (0, 1, 1)
    assert classes.number_of("scan", 0.0) == 2 and classes.rules[1] == READ and classes.rules[2] == WRITE
    # "scan" is removed while a request is open under number 1.
    assert classes.replace(["page"], [READ], {1}, 10.0) == (0, 1, 2)
    assert (
        classes.number_of("scan", 10.0 + REMOVED_CLASS_SECONDS / 2) == 2
        and classes.number_of("scan", 10.0 + REMOVED_CLASS_SECONDS) is None
    )
    # The class returns as a read. It gets neither the number of an open request nor the reserved one.
    classes.replace(["page", "scan"], [READ, READ], {1}, 11.0)
    assert classes.number_of("scan", 11.0) == 3 and (classes.names[1], classes.rules[1]) == ("scan", READ)


def test_numbers_are_reused_once_nothing_refers_to_them() -> None:
    classes = RequestClasses(["page"], [READ])
    for i in range(100):
        classes.replace(["page", f"c{i}"], [READ, READ], set(), i * 2 * REMOVED_CLASS_SECONDS)
    assert len(classes.names) <= 3 and classes.current["c99"] < 3 and classes.current["page"] == 0
