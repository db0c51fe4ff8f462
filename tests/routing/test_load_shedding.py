"""Load shedding: requests whose answer would come too late are rejected at once, and no others."""

from __future__ import annotations

import pytest

from tests.support.routing import (
    FLEET,
    WITHOUT_SIZES_AND_WEIGHTS,
    Driver,
    attempts_in,
    cache,
    final_answers,
    only_fetch,
    parent,
    set_in_flight,
)
from zincladder.routing import interface as api
from zincladder.routing import load_shedding

Outcome = api.AttemptOutcome
Fill = api.FillOutcome


def driver_with_full_link() -> Driver:
    driver = Driver(report_names=("link",))
    for n in range(100, 150):
        driver.serve(n, key=n, kb=100.0)
    first = only_fetch(driver.request(1, key=1))
    driver.end_attempt(1, 0, first.endpoint, Outcome.OK, True, fill_outcome=Fill.HIT, report=(5.0,))
    return driver


def test_if_all_cache_links_are_overloaded_the_largest_requests_are_rejected_at_once() -> None:
    driver = Driver()
    for n in range(100, 150):
        driver.serve(n, key=n, kb=100.0)
    set_in_flight(driver, 10)
    assert final_answers(driver.request(1, kb=1000.0)) == [api.Reject(1, 0.5)]
    assert not final_answers(driver.request(2, kb=10.0))
    set_in_flight(driver, 2)
    assert not final_answers(driver.request(3, kb=1000.0))


def test_with_a_full_location_link_copies_are_tried_first_and_large_misses_rejected() -> None:
    driver = driver_with_full_link()
    large = only_fetch(driver.request(2, key=2, kb=1000.0))
    assert large.source == large.endpoint
    assert final_answers(
        driver.end_attempt(2, 0, large.endpoint, Outcome.MISS, fill_outcome=Fill.SOURCE_MISS)
    ) == [api.Reject(2, 0.5)]
    small = only_fetch(driver.request(3, key=2, kb=10.0))
    filled = only_fetch(driver.end_attempt(3, 0, small.endpoint, Outcome.MISS, fill_outcome=Fill.SOURCE_MISS))
    assert filled.endpoint == small.endpoint and filled.source.startswith(b"paren")
    joined = only_fetch(driver.request(4, key=2, kb=1000.0))
    assert only_fetch(
        driver.end_attempt(4, 0, joined.endpoint, Outcome.MISS, fill_outcome=Fill.COALESCED)
    ).coalesce


def test_load_shedding_ends_when_the_location_link_is_no_longer_full() -> None:
    driver = driver_with_full_link()
    sent = only_fetch(driver.request(2, key=2))
    driver.end_attempt(2, 0, sent.endpoint, Outcome.OK, True, fill_outcome=Fill.HIT, report=(1.0,))
    assert only_fetch(driver.request(3, key=3, kb=1000.0)).source.startswith(b"paren")


def test_requests_that_a_slow_source_would_answer_late_are_rejected() -> None:
    # After the loss of a hub, large fills would otherwise share the links of the remaining parents until none
    # ends in time.
    driver = Driver()
    for n in range(1, 30):
        sent = only_fetch(driver.request(n, key=n, kb=100.0))
        # After a wait of 0.1 s the answer takes 8 times its transfer time.
        driver.handle(api.AttemptEnded(n, 0, sent.endpoint, Outcome.OK, 0.9, True, Fill.FILLED, 0.1))
    large = only_fetch(driver.request(100, key=50, kb=1000.0))
    assert large.source == large.endpoint  # copies are still served
    assert final_answers(driver.end_attempt(100, 0, large.endpoint, Outcome.MISS)) == [api.Reject(100, 0.5)]
    assert only_fetch(driver.request(101, key=50, kb=10.0)).source.startswith(b"paren")
    for n in range(200, 260):  # the source is fast again, so load shedding ends
        sent = only_fetch(driver.request(n, key=n, kb=10.0))
        driver.handle(api.AttemptEnded(n, 0, sent.endpoint, Outcome.OK, 0.11, True, Fill.FILLED, 0.1))
    assert only_fetch(driver.request(300, key=50, kb=1000.0)).source.startswith(b"paren")


def test_requests_that_bypass_the_caches_are_limited_by_the_speed_of_direct_answers() -> None:
    # Otherwise a location without caches sends all its traffic over its one link, and no answer is on time.
    driver = Driver((parent(0), FLEET[-1]))
    for n in range(1, 30):
        sent = only_fetch(driver.request(n, key=n, kb=50.0))
        driver.handle(api.AttemptEnded(n, 0, sent.endpoint, Outcome.OK, 0.45, True, Fill.HIT))
    assert final_answers(driver.request(100, kb=1000.0)) == [api.Reject(100, 0.5)]
    assert only_fetch(driver.request(101, kb=10.0)).endpoint == b"paren0"


def test_without_load_reports_no_request_is_rejected_because_of_utilization() -> None:
    # Otherwise a router that has just started rejects the requests of a lost cache instead of bypassing it.
    driver = Driver((cache(0), parent(0), FLEET[-1]), **WITHOUT_SIZES_AND_WEIGHTS)
    fetches = [only_fetch(driver.request(n, key=n, kb=0.0)) for n in range(10)]
    for n, sent in enumerate(fetches):
        assert only_fetch(driver.end_attempt(n, 0, sent.endpoint, Outcome.UNREACHABLE)).endpoint == b"paren0"


@pytest.mark.parametrize(("left", "sent"), [(0.05, False), (0.3, True)])
def test_a_request_whose_transfer_would_pass_its_deadline_is_rejected_at_once(
    left: float, sent: bool
) -> None:
    driver = Driver()
    actions = driver.request(1, kb=200.0, deadline=driver.now + left)  # a transfer of 0.2 s
    assert bool(attempts_in(actions)) is sent and bool(final_answers(actions)) is not sent


def test_half_of_the_timeout_counts_as_enough_time_for_any_transfer() -> None:
    assert not load_shedding.would_miss_deadline(seconds_left=1.5, transfer_seconds=9.0, timeout=3.0)
    assert load_shedding.would_miss_deadline(seconds_left=1.4, transfer_seconds=9.0, timeout=3.0)
