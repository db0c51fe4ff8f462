"""Whether a request may be sent again, depending on what may have been executed and what failed."""

from __future__ import annotations

import pytest

from tests.support.routing import FLEET, Driver, attempts_in, cache, final_answers, only_fetch, parent
from zincladder.routing import interface as api

Outcome = api.AttemptOutcome
Fill = api.FillOutcome


def test_a_request_that_is_not_idempotent_is_retried_only_if_it_was_not_executed() -> None:
    for result in (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.MISS):
        driver = Driver()
        driver.request(1, request_class=3)
        assert len(attempts_in(driver.end_attempt(1, 0, b"origin", result))) == 1
    for result in (Outcome.ERROR, Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED):
        driver = Driver()
        driver.request(1, request_class=3)
        assert driver.end_attempt(1, 0, b"origin", result) == [api.Fail(1)]


def test_a_request_with_an_idempotency_key_is_retried_only_within_the_deduplication_window() -> None:
    for wait, again in ((1.9, True), (2.0, False)):
        driver = Driver()
        driver.request(1, request_class=2)
        driver.now += wait
        actions = driver.end_attempt(1, 0, b"origin", Outcome.RESET)
        assert bool(attempts_in(actions)) is again
        assert again or final_answers(actions) == [api.Reject(1, 0.5)]


def test_a_request_with_a_zone_scoped_key_fails_once_it_may_have_been_executed() -> None:
    request_class = api.RequestClass(
        0.8, 3.0, api.Idempotency.WITH_KEY, scope=api.Scope.ZONE, deduplication_window=0.1, uncacheable=True
    )
    driver = Driver(classes=(request_class,))
    driver.request(1)
    driver.now += 0.2
    assert driver.end_attempt(1, 0, b"origin", Outcome.RESET) == [api.Fail(1)]


def test_a_failed_origin_is_not_asked_again_through_another_parent() -> None:
    driver = Driver()
    sent = only_fetch(driver.request(1))
    assert driver.end_attempt(1, 0, sent.endpoint, Outcome.REJECTED, fill_outcome=Fill.ORIGIN_FAILED) == [
        api.Reject(1, 0.5)
    ]


def test_after_an_origin_failure_a_stale_copy_is_tried_once_if_the_class_allows_it() -> None:
    driver = Driver(classes=(api.RequestClass(0.25, 3.0, fresh_seconds=8.0, stale_if_error_seconds=20.0),))
    sent = only_fetch(driver.request(1))
    stale = only_fetch(
        driver.end_attempt(1, 0, sent.endpoint, Outcome.REJECTED, fill_outcome=Fill.ORIGIN_FAILED)
    )
    assert stale.endpoint == stale.source == sent.endpoint and stale.max_age == 28.0
    assert final_answers(driver.end_attempt(1, 1, stale.endpoint, Outcome.MISS)) == [api.Reject(1, 0.25)]
    driver.handle(api.Purged(7, 3, 1.0))  # a purge still limits the age
    sent = only_fetch(driver.request(2))
    assert (
        only_fetch(
            driver.end_attempt(2, 0, sent.endpoint, Outcome.REJECTED, fill_outcome=Fill.ORIGIN_FAILED)
        ).max_age
        <= 1.0 + 1e-9
    )


@pytest.mark.parametrize(("wait", "rejected"), [(0.02, False), (1.5, True)])
def test_the_only_parent_is_asked_again_if_it_fails_fast(wait: float, rejected: bool) -> None:
    # Otherwise nothing is filled if the only remaining parent breaks off half of its fills.
    driver = Driver((cache(0), parent(0), FLEET[-1]))
    unserved = 0
    for n in range(1, 200):
        actions, attempt, failed = driver.request(n, key=n), 0, False
        while sent := attempts_in(actions):
            source = sent[0].source if isinstance(sent[0], api.Fetch) else b""
            end = (Outcome.OK, Fill.FILLED, 0.02)
            if source == sent[0].endpoint:
                end = (Outcome.MISS, Fill.NONE, 0.0)
            elif source == b"paren0" and not failed:  # the first fill of every request fails
                end, failed = (Outcome.ERROR, Fill.SOURCE_FAILED, wait), True
            result, fill_outcome, waited = end
            closed = result is Outcome.OK
            actions = driver.handle(
                api.AttemptEnded(
                    n, attempt, sent[0].endpoint, result, 0.1 + waited, closed, fill_outcome, waited
                )
            )
            attempt += 1
        unserved += bool(final_answers(actions))
    assert unserved > 100 if rejected else unserved == 0
