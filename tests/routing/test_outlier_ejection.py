"""Outlier ejection: what ejects an endpoint, what does not, and what reinstates it."""

from __future__ import annotations

import itertools

import pytest

from tests.support.routing import (
    FLEET,
    Driver,
    attempts_in,
    attempts_while_parents_reject,
    cache,
    caches_asked,
    final_answers,
    only_fetch,
    parent,
)
from zincladder.routing import interface as api

Outcome = api.AttemptOutcome
Fill = api.FillOutcome


def fail_until_ejected(driver: Driver, endpoint: bytes, result: Outcome = Outcome.UNREACHABLE) -> int:
    """Fails every attempt at an endpoint until it is ejected; returns the number of failures."""
    failures = 0
    for n in range(1, 2000):
        sent = only_fetch(driver.request(n, key=n, kb=10.0))
        attempt = 0
        while sent.endpoint == endpoint:
            failures += 1
            sent, attempt = only_fetch(driver.end_attempt(n, attempt, endpoint, result)), attempt + 1
        driver.end_attempt(n, attempt, sent.endpoint, Outcome.OK, True, fill_outcome=Fill.HIT)
        if driver.endpoints.stats[endpoint].is_ejected:
            return failures
    raise AssertionError("the endpoint was never ejected")


def after_silence_timeout(
    report: tuple[float, ...], answering: str
) -> tuple[Driver, api.Fetch, list[api.Action]]:
    """Lets the silence timeout of an attempt expire; returns the driver, the attempt and the actions.

    Half-way through the timeout, another attempt is answered as `answering` says: not at all (""), with a hit
    ("cache"), or with a fill, which both the cache and its source answer ("both").
    """
    driver = Driver(report_names=("link",))
    actions = driver.request(1)
    sent = only_fetch(actions)
    (timer,) = [a for a in actions if isinstance(a, api.SetTimer)]
    driver.now += timer.delay / 2
    if answering:
        driver.request(2)
        fill_outcome = Fill.FILLED if answering == "both" else Fill.HIT
        driver.end_attempt(2, 0, sent.endpoint, Outcome.OK, True, fill_outcome=fill_outcome, report=report)
    driver.now += timer.delay / 2
    return driver, sent, driver.handle(api.TimerFired(timer.token))


def reject_fills_from(source: bytes, driver: Driver, requests: range) -> list[int]:
    """Serves requests in turn; returns the number of attempts of each.

    Every fill from `source` is rejected, without a fill outcome that reports the source.
    """
    attempt_counts = []
    for n in requests:
        actions, attempt = driver.request(n, key=n, kb=0.0), 0
        while attempts_in(actions):
            sent = only_fetch(actions)
            rejected = sent.source == source
            result = Outcome.REJECTED if rejected else Outcome.OK
            fill_outcome = Fill.NONE if rejected else Fill.FILLED
            actions = driver.end_attempt(
                n, attempt, sent.endpoint, result, not rejected, fill_outcome=fill_outcome
            )
            attempt += 1
        attempt_counts.append(attempt)
        driver.now += 0.05
    return attempt_counts


@pytest.mark.parametrize("result", [Outcome.ERROR, Outcome.RESET])
def test_an_error_or_a_reset_does_not_count_against_the_cache(
    result: Outcome,
) -> None:
    # Otherwise truncated answers, or faulty clients whose requests all end with errors, cause ejections.
    driver = Driver()
    initial_caches = caches_asked(driver)
    for n in range(1, 60):
        sent, attempt = only_fetch(driver.request(n, key=n)), 0
        while not final_answers(actions := driver.end_attempt(n, attempt, sent.endpoint, result)):
            sent, attempt = only_fetch(actions), attempt + 1
        assert attempt + 1 == (2 if result is Outcome.ERROR else 4)
    assert (
        not any(stats.is_ejected for stats in driver.endpoints.stats.values())
        and caches_asked(driver) == initial_caches
    )


def test_after_a_truncated_answer_the_same_cache_is_asked_once_more() -> None:
    driver = Driver()
    first = only_fetch(driver.request(1, key=1)).endpoint
    assert only_fetch(driver.end_attempt(1, 0, first, Outcome.RESET)).endpoint == first
    assert only_fetch(driver.end_attempt(1, 1, first, Outcome.RESET)).endpoint != first


def test_an_endpoint_is_ejected_after_a_few_failures_of_any_kind() -> None:
    for result in (Outcome.UNREACHABLE, Outcome.TIMED_OUT, Outcome.REJECTED):
        driver = Driver()
        assert fail_until_ejected(driver, b"cache1", result) <= 4
        assert b"cache1" not in caches_asked(driver)


def test_an_ejected_endpoint_gets_one_trial_at_a_time_and_waits_after_a_failed_one() -> None:
    driver = Driver()
    fail_until_ejected(driver, b"cache1")
    driver.now += 2.01
    trials = []
    for n in range(5000, 5300):
        sent = only_fetch(driver.request(n, key=n))
        if sent.endpoint == b"cache1":
            trials.append(n)
        else:
            driver.end_attempt(n, 0, sent.endpoint, Outcome.OK, True, fill_outcome=Fill.HIT)
    assert len(trials) == 1
    driver.end_attempt(trials[0], 0, b"cache1", Outcome.UNREACHABLE)
    driver.now += 1.9
    assert b"cache1" not in caches_asked(driver, 6000)
    driver.now += 0.2
    assert b"cache1" in caches_asked(driver, 7000)


def test_a_new_start_time_reinstates_an_endpoint() -> None:
    driver = Driver()
    fail_until_ejected(driver, b"cache1")
    driver.update_endpoints(cache(1, started_at=50.0))
    assert b"cache1" in caches_asked(driver)


def test_a_failure_of_the_whole_location_ejects_at_most_half_of_its_caches() -> None:
    driver = Driver()
    for n in range(1, 200):
        actions, attempt = driver.request(n, key=n), 0
        while attempts_in(actions):
            actions = driver.end_attempt(n, attempt, attempts_in(actions)[0].endpoint, Outcome.UNREACHABLE)
            attempt += 1
    assert (
        sum(driver.endpoints.stats[i].is_ejected for i in driver.endpoints.caches.ids) == 2
    )  # half of the four caches
    assert len(caches_asked(driver)) >= 2


def test_a_failed_source_is_ejected_and_the_cache_is_not() -> None:
    driver = Driver()
    first = only_fetch(driver.request(1))
    again = only_fetch(
        driver.end_attempt(1, 0, first.endpoint, Outcome.REJECTED, fill_outcome=Fill.SOURCE_FAILED)
    )
    assert again.endpoint == first.endpoint and again.source != first.source
    failures = 1
    for n in range(2, 100):  # an increasing share of requests uses the next source until this one is ejected
        if only_fetch(driver.request(n)).source == first.source and failures < 3:
            driver.end_attempt(n, 0, first.endpoint, Outcome.REJECTED, fill_outcome=Fill.SOURCE_FAILED)
            failures += 1
    assert failures == 3
    assert (
        driver.endpoints.stats[first.source].is_ejected
        and not driver.endpoints.stats[first.endpoint].is_ejected
    )


def test_a_cache_that_answers_other_attempts_is_not_silent() -> None:
    assert after_silence_timeout((0.0,), "")[2] == [api.Cancel(1, 0)]
    assert [type(a) for a in after_silence_timeout((0.0,), "both")[2]] == [api.SetTimer]


def test_an_attempt_with_a_silent_source_continues_and_the_source_is_not_blamed() -> None:
    # A router with few fills gets few answers from healthy parents. If it ejected them for that, it would
    # overload the origin.
    driver, sent, actions = after_silence_timeout((0.0,), "cache")
    assert [type(a) for a in actions] == [api.SetTimer]
    assert driver.endpoints.stats[sent.source].failure_rate == 0.0


def test_a_cache_that_waits_for_slow_fills_is_not_silent() -> None:
    driver = Driver()
    sent = only_fetch(driver.request(1))
    for _ in range(3):
        driver.state.fill_throttles.record_fill(sent.source, True, driver.now)
    (token,) = driver.router.timers
    driver.now += 1.0
    again = driver.handle(api.TimerFired(token))
    assert not [a for a in again if isinstance(a, api.Cancel)]
    assert not driver.endpoints.stats[sent.endpoint].failure_rate


def test_an_ejected_parent_is_replaced_by_the_other_until_a_trial_reinstates_it() -> None:
    driver = Driver((cache(0), parent(0), parent(1), FLEET[-1]))
    for n in range(1, 40):
        sent, attempt = only_fetch(driver.request(n, key=n)), 0
        while sent.source == b"paren0":
            sent, attempt = (
                only_fetch(
                    driver.end_attempt(
                        n, attempt, b"cache0", Outcome.REJECTED, fill_outcome=Fill.SOURCE_FAILED
                    )
                ),
                attempt + 1,
            )
        driver.end_attempt(n, attempt, b"cache0", Outcome.OK, True, fill_outcome=Fill.FILLED)
    assert driver.endpoints.stats[b"paren0"].is_ejected
    assert {driver.serve(n, key=n).source for n in range(100, 150)} == {b"paren1"}
    driver.now += 2.01
    for n in range(200, 250):
        only_fetch(driver.request(n, key=n))
        driver.end_attempt(n, 0, b"cache0", Outcome.OK, True, fill_outcome=Fill.FILLED)
    assert {driver.serve(n, key=n).source for n in range(300, 400)} == {b"paren0", b"paren1"}


def test_at_most_half_of_the_parents_are_ejected() -> None:
    driver = Driver()
    attempts_while_parents_reject(driver, range(1, 60))
    assert sum(driver.endpoints.stats[b"paren%d" % n].is_ejected for n in range(3)) <= 2
    two = Driver([m for m in FLEET if m.id != b"paren2"])
    attempts_while_parents_reject(two, range(1, 60))
    assert sum(two.endpoints.stats[b"paren%d" % n].is_ejected for n in range(2)) == 1


def test_unreported_rejections_by_a_source_cost_one_attempt_each_and_eject_no_cache() -> None:
    driver = Driver(fill_faults_reported=False)
    attempt_counts = reject_fills_from(b"paren1", driver, range(1, 31))
    assert max(attempt_counts) == 2
    assert attempt_counts.count(2) <= 4  # after that the source is ejected
    assert not any(driver.endpoints.stats[b"cache%d" % n].is_ejected for n in range(4))
    assert driver.endpoints.stats[b"paren1"].is_ejected


def test_a_cache_that_rejects_is_ejected_and_no_source_is_if_faults_are_unreported() -> None:
    driver = Driver(fill_faults_reported=False)
    for n in range(1, 60):
        actions, attempt = driver.request(n, key=n, kb=0.0), 0
        while attempts_in(actions):
            sent = only_fetch(actions)
            rejected = sent.endpoint == b"cache1"
            result, fill_outcome = (Outcome.REJECTED, Fill.NONE) if rejected else (Outcome.OK, Fill.FILLED)
            actions = driver.end_attempt(
                n, attempt, sent.endpoint, result, not rejected, fill_outcome=fill_outcome
            )
            attempt += 1
            assert attempt <= 3
        driver.now += 0.05
    assert driver.endpoints.stats[b"cache1"].is_ejected
    assert not any(driver.endpoints.stats[b"paren%d" % n].is_ejected for n in range(3))


def test_if_fill_faults_are_reported_an_unexplained_rejection_is_the_caches_fault() -> None:
    driver = Driver()
    first = only_fetch(driver.request(1))
    again = only_fetch(driver.end_attempt(1, 0, first.endpoint, Outcome.REJECTED))
    assert again.endpoint != first.endpoint and again.source == first.source


def test_a_slow_outlier_does_not_make_its_sources_look_slow() -> None:
    # Otherwise one slow cache makes all parents look slow, and every request is rejected.
    driver = Driver((cache(0), cache(1), cache(2), parent(0), FLEET[-1]))

    def end(n: int, sent: api.Fetch, fill_outcome: Fill) -> None:
        took = 0.1 * (20.0 if sent.endpoint == b"cache0" else 1.0)  # 0.1 s for 100 KB at 1,000 KB/s
        driver.handle(api.AttemptEnded(n, 0, sent.endpoint, Outcome.OK, took, True, fill_outcome, 0.0))

    for n in range(1, 60):  # hits first, then fills
        end(n, only_fetch(driver.request(n, key=n, kb=100.0)), Fill.HIT if n < 30 else Fill.FILLED)
    assert driver.endpoints.stats[b"cache0"].slowdown > 5
    assert driver.endpoints.stats[b"paren0"].slowdown < 1.5
    for n in range(60, 90):  # if all caches are equally slow, the parent counts as slow
        sent = only_fetch(driver.request(n, key=n, kb=100.0))
        driver.handle(
            api.AttemptEnded(
                n, 0, sent.endpoint, Outcome.OK, 2.0, True, Fill.FILLED if n % 2 else Fill.HIT, 0.0
            )
        )
    assert driver.endpoints.stats[b"paren0"].slowdown > 5


def test_requests_that_a_slow_outlier_would_answer_late_go_to_other_caches() -> None:
    # Otherwise the slow cache keeps its share of the objects, and their answers are late.
    driver = Driver((cache(0), cache(1), cache(2), parent(0), FLEET[-1]))
    request_ids = itertools.count(1)

    def cache_by_object(kb: float, slowdown: float) -> dict[int, bytes]:
        """The cache asked for each of 60 objects; `cache0` takes `slowdown` times the transfer time."""
        caches = {}
        for key in range(60):
            n = next(request_ids)
            caches[key] = only_fetch(driver.request(n, key=key, kb=kb)).endpoint
            took = kb / 1000 * (slowdown if caches[key] == b"cache0" else 1.0)
            driver.handle(api.AttemptEnded(n, 0, caches[key], Outcome.OK, took, True, Fill.HIT, 0.0))
        return caches

    initial = cache_by_object(5.0, 1.0)
    cache_by_object(5.0, 20.0)
    moved = cache_by_object(400.0, 20.0)
    assert b"cache0" in initial.values() and b"cache0" not in moved.values()
    assert all(moved[key] == cache_id for key, cache_id in initial.items() if cache_id != b"cache0")
    # Small answers are on time even there, so their requests stay at the slow cache and show its recovery.
    assert cache_by_object(5.0, 1.0) == initial
    assert cache_by_object(400.0, 1.0) == initial
