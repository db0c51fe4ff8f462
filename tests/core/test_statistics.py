"""Statistics by endpoint and by request class."""

from __future__ import annotations

import pytest

from zincladder.core.attempt_end import EndReason
from zincladder.core.statistics import MAX_CLASSES, Statistics
from zincladder.routing import interface as api


def test_an_endpoint_that_does_not_answer_messages_counts_as_silent() -> None:
    statistics, one, other = Statistics(), b"s-1", b"s-2"
    statistics.retain_endpoints({m: api.Endpoint(m, 0, 0) for m in (one, other)})
    for i in range(50):  # `one` never answers; every second attempt at `other` is cancelled
        now = 10.0 + i * 0.1
        statistics.record_started(one, now, "page")
        statistics.record_ended(one, EndReason.TIMED_OUT)
        statistics.record_started(other, now, "page")
        statistics.record_ended(other, EndReason.CANCELLED if i % 2 else EndReason.SERVED)
    assert (
        statistics.silent_seconds(one, 15.0) == pytest.approx(4.9)
        and statistics.silent_seconds(other, 15.0) == 0.0
    )
    # Without further messages the time no longer grows, and after a while it is 0.
    assert statistics.silent_seconds(other, 20.0) == 0.0 and statistics.silent_seconds(
        one, 20.0
    ) == pytest.approx(4.9)
    assert statistics.silent_seconds(one, 60.0) == 0.0
    statistics.record_health_check(one, EndReason.SERVED, 0.001, (0.5,), 20.0)
    assert (
        statistics.silent_seconds(one, 20.0) == 0.0
        and statistics.endpoints[one].health_check_seconds == 0.001
    )
    statistics.retain_endpoints({other: api.Endpoint(other, 0, 0)})  # `one` is gone; its attempt ends later
    statistics.record_ended(one, EndReason.CONNECTION_LOST)
    statistics.record_started(one, 21.0, "page")
    assert list(statistics.endpoints) == [other]


def test_statistics_of_classes_that_are_added_and_removed_are_bounded() -> None:
    statistics = Statistics()
    for i in range(10 * MAX_CLASSES):
        statistics.retain_classes([f"c{i}", "page"], ())
        statistics.record_answer(f"c{i}", "served")
        statistics.record_answer("page", "served")
    assert len(statistics.classes) <= MAX_CLASSES + 2 and len(statistics.answers) <= MAX_CLASSES + 2
    assert statistics.answers["page", "served"] == 10 * MAX_CLASSES
