"""Requests whose answer would come too late are rejected at once, and no others."""

from __future__ import annotations

import pytest

from tests.support.routing import (
    FLEET,
    NOT_ANNOUNCED,
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


def test_with_every_cache_past_its_link_the_largest_requests_are_rejected_at_once() -> None:
    driver = Driver()
    for n in range(100, 150):
        driver.serve(n, key=n, kb=100.0)
    set_in_flight(driver, 10)
    assert final_answers(driver.request(1, kb=1000.0)) == [api.Reject(1, 0.5)]
    assert not final_answers(driver.request(2, kb=10.0))
    set_in_flight(driver, 2)
    assert not final_answers(driver.request(3, kb=1000.0))


def test_with_a_full_link_copies_are_tried_first_and_the_largest_misses_rejected() -> None:
    driver = driver_with_full_link()
    look = only_fetch(driver.request(2, key=2, kb=1000.0))
    assert look.source == look.endpoint
    assert final_answers(
        driver.end_attempt(2, 0, look.endpoint, Outcome.MISS, fill_outcome=Fill.SOURCE_MISS)
    ) == [api.Reject(2, 0.5)]
    cheap = only_fetch(driver.request(3, key=2, kb=10.0))
    filled = only_fetch(driver.end_attempt(3, 0, cheap.endpoint, Outcome.MISS, fill_outcome=Fill.SOURCE_MISS))
    assert filled.endpoint == cheap.endpoint and filled.source.startswith(b"paren")
    joined = only_fetch(driver.request(4, key=2, kb=1000.0))
    assert only_fetch(
        driver.end_attempt(4, 0, joined.endpoint, Outcome.MISS, fill_outcome=Fill.COALESCED)
    ).coalesce


def test_shedding_for_a_full_link_ends_with_its_cause() -> None:
    driver = driver_with_full_link()
    sent = only_fetch(driver.request(2, key=2))
    driver.end_attempt(2, 0, sent.endpoint, Outcome.OK, True, fill_outcome=Fill.HIT, report=(1.0,))
    assert only_fetch(driver.request(3, key=3, kb=1000.0)).source.startswith(b"paren")


def test_slow_fills_from_a_source_reject_what_they_would_make_late() -> None:
    # With a hub lost, large fills would share the links of the other parents until none ends in time.
    driver = Driver()
    for n in range(1, 30):
        sent = only_fetch(driver.request(n, key=n, kb=100.0))
        driver.handle(
            api.AttemptEnded(n, 0, sent.endpoint, Outcome.OK, 0.9, True, Fill.FILLED, 0.1)
        )  # 8 times its transfer time
    look = only_fetch(driver.request(100, key=50, kb=1000.0))
    assert look.source == look.endpoint  # copies are served all the same
    assert final_answers(driver.end_attempt(100, 0, look.endpoint, Outcome.MISS)) == [api.Reject(100, 0.5)]
    assert only_fetch(driver.request(101, key=50, kb=10.0)).source.startswith(b"paren")
    for n in range(200, 260):  # quick again: shedding ends with its cause
        sent = only_fetch(driver.request(n, key=n, kb=10.0))
        driver.handle(api.AttemptEnded(n, 0, sent.endpoint, Outcome.OK, 0.11, True, Fill.FILLED, 0.1))
    assert only_fetch(driver.request(300, key=50, kb=1000.0)).source.startswith(b"paren")


def test_what_bypasses_the_caches_is_limited_by_the_pace_of_direct_answers() -> None:
    # Else a location that lost its caches puts all its traffic on its one link, and none comes in time.
    driver = Driver((parent(0), FLEET[-1]))
    for n in range(1, 30):
        sent = only_fetch(driver.request(n, key=n, kb=50.0))
        driver.handle(api.AttemptEnded(n, 0, sent.endpoint, Outcome.OK, 0.45, True, Fill.HIT))
    assert final_answers(driver.request(100, kb=1000.0)) == [api.Reject(100, 0.5)]
    assert only_fetch(driver.request(101, kb=10.0)).endpoint == b"paren0"


def test_a_router_without_load_reports_rejects_nothing_for_utilization() -> None:
    # Else the requests of a lost cache are rejected after a start instead of bypassing it.
    driver = Driver((cache(0), parent(0), FLEET[-1]), **NOT_ANNOUNCED)
    sent = [only_fetch(driver.request(n, key=n, kb=0.0)) for n in range(10)]
    for n, s in enumerate(sent):
        assert only_fetch(driver.end_attempt(n, 0, s.endpoint, Outcome.UNREACHABLE)).endpoint == b"paren0"


@pytest.mark.parametrize(("left", "sent"), [(0.05, False), (0.3, True)])
def test_a_request_whose_transfer_takes_longer_than_its_client_waits_is_rejected_at_once(
    left: float, sent: bool
) -> None:
    driver = Driver()
    actions = driver.request(1, kb=200.0, deadline=driver.now + left)  # 0.2 s at the pace of a client
    assert bool(attempts_in(actions)) is sent and bool(final_answers(actions)) is not sent


def test_half_of_a_timeout_is_never_too_short_whatever_the_transfer_takes() -> None:
    assert not load_shedding.is_hopeless(seconds_left=1.5, transfer_seconds=9.0, timeout=3.0)
    assert load_shedding.is_hopeless(seconds_left=1.4, transfer_seconds=9.0, timeout=3.0)
