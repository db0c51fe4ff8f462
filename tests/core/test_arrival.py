"""The estimate of when a message arrived, with all times set by the test."""

from __future__ import annotations

import pytest

from zincladder.core.arrival import ArrivalBound, LoopIterations


def test_a_message_that_the_event_loop_was_waiting_for_counts_as_read_at_once() -> None:
    loop_iterations = LoopIterations(100.0)
    bound = ArrivalBound(loop_iterations, 100.0)
    bound.record_reader_waiting(100.01)
    for tick in range(1, 400):
        loop_iterations.record_iteration(100.0 + tick / 100)
    bound.record_reader_woken(104.0)
    assert bound.unread_seconds(104.0, lambda: 3.0) == 0.0  # the reported age does not matter


@pytest.mark.parametrize(("newest", "age"), [(0.2, 0.2), (None, 0.48), (5.0, 0.48), (-0.1, 0.0)])
def test_a_message_that_arrived_during_a_stall_has_its_reported_age_or_the_longest_possible_one(
    newest: float | None, age: float
) -> None:
    loop_iterations = LoopIterations(100.0)
    bound = ArrivalBound(loop_iterations, 100.0)
    bound.record_reader_waiting(100.0)
    for now in (100.01, 100.02, 100.03, 100.51):  # the last iteration found the message
        loop_iterations.record_iteration(now)
    bound.record_reader_woken(100.5)
    assert bound.unread_seconds(100.5, lambda: newest) == pytest.approx(age)


def test_a_message_that_arrived_while_its_reader_was_paused_counts_from_the_start_of_the_pause() -> None:
    loop_iterations = LoopIterations(100.0)
    bound = ArrivalBound(loop_iterations, 100.0)
    bound.record_reader_waiting(100.0)
    bound.record_reader_woken(100.0)
    bound.record_reader_drained(100.0)
    for tick in range(100):
        loop_iterations.record_iteration(100.0 + tick / 100)
    bound.record_reader_waiting(101.0)  # the reader did not wait for the socket for a second
    bound.record_reader_woken(101.0)
    assert bound.unread_seconds(101.0, lambda: None) == 1.0
