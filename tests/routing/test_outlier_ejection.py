"""Outliers: what ejects an endpoint, what does not, and what brings it back."""

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
    """Fails every attempt at an endpoint until it is ejected; gives the number of failures."""
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
    raise AssertionError("never ejected")


def after_silence_timeout(
    report: tuple[float, ...], heard: str
) -> tuple[Driver, api.Fetch, list[api.Action]]:
    """Lets a silence timeout run out; meanwhile the cache, and maybe the source, answers another."""
    driver = Driver(report_names=("link",))
    actions = driver.request(1)
    sent = only_fetch(actions)
    (timer,) = [a for a in actions if isinstance(a, api.SetTimer)]
    driver.now += timer.delay / 2
    if heard:
        driver.request(2)
        note = Fill.FILLED if heard == "both" else Fill.HIT
        driver.end_attempt(2, 0, sent.endpoint, Outcome.OK, True, fill_outcome=note, report=report)
    driver.now += timer.delay / 2
    return driver, sent, driver.handle(api.TimerFired(timer.token))


def reject_fills_from(source: bytes, driver: Driver, requests: range) -> list[int]:
    """Requests in turn; every fill from `source` is rejected without a note. Gives the attempts of each."""
    tries = []
    for n in requests:
        actions, attempt = driver.request(n, key=n, kb=0.0), 0
        while attempts_in(actions):
            sent = only_fetch(actions)
            rejected = sent.source == source
            result = Outcome.REJECTED if rejected else Outcome.OK
            note = Fill.NONE if rejected else Fill.FILLED
            actions = driver.end_attempt(n, attempt, sent.endpoint, result, not rejected, fill_outcome=note)
            attempt += 1
        tries.append(attempt)
        driver.now += 0.05
    return tries


@pytest.mark.parametrize("result", [Outcome.ERROR, Outcome.RESET])
def test_an_error_or_a_reset_is_not_counted_against_the_cache(
    result: Outcome,
) -> None:
    # Guards the caches against bad clients, whose requests all end with errors, and truncated answers.
    driver = Driver()
    homes = caches_asked(driver)
    for n in range(1, 60):
        sent, attempt = only_fetch(driver.request(n, key=n)), 0
        while not final_answers(actions := driver.end_attempt(n, attempt, sent.endpoint, result)):
            sent, attempt = only_fetch(actions), attempt + 1
        assert attempt + 1 == (2 if result is Outcome.ERROR else 4)
    assert (
        not any(stats.is_ejected for stats in driver.endpoints.stats.values())
        and caches_asked(driver) == homes
    )


def test_a_request_whose_answer_was_truncated_goes_to_its_cache_once_more() -> None:
    driver = Driver()
    own = only_fetch(driver.request(1, key=1)).endpoint
    assert only_fetch(driver.end_attempt(1, 0, own, Outcome.RESET)).endpoint == own
    assert only_fetch(driver.end_attempt(1, 1, own, Outcome.RESET)).endpoint != own


def test_an_endpoint_is_ejected_after_a_few_failures_whatever_their_kind() -> None:
    for result in (Outcome.UNREACHABLE, Outcome.TIMED_OUT, Outcome.REJECTED):
        driver = Driver()
        assert fail_until_ejected(driver, b"cache1", result) <= 4
        assert b"cache1" not in caches_asked(driver)


def test_one_trial_brings_an_endpoint_back_and_a_failed_one_waits_again() -> None:
    driver = Driver()
    fail_until_ejected(driver, b"cache1")
    driver.now += 2.01
    asked = []
    for n in range(5000, 5300):
        sent = only_fetch(driver.request(n, key=n))
        if sent.endpoint == b"cache1":
            asked.append(n)
        else:
            driver.end_attempt(n, 0, sent.endpoint, Outcome.OK, True, fill_outcome=Fill.HIT)
    assert len(asked) == 1  # a single request tries it
    driver.end_attempt(asked[0], 0, b"cache1", Outcome.UNREACHABLE)
    driver.now += 1.9
    assert b"cache1" not in caches_asked(driver, 6000)
    driver.now += 0.2
    assert b"cache1" in caches_asked(driver, 7000)


def test_a_new_start_time_brings_an_endpoint_back() -> None:
    driver = Driver()
    fail_until_ejected(driver, b"cache1")
    driver.update_endpoints(cache(1, started_at=50.0))
    assert b"cache1" in caches_asked(driver)


def test_a_fault_of_the_whole_location_does_not_empty_the_ring() -> None:
    driver = Driver()
    for n in range(1, 200):
        actions, attempt = driver.request(n, key=n), 0
        while attempts_in(actions):
            actions = driver.end_attempt(n, attempt, attempts_in(actions)[0].endpoint, Outcome.UNREACHABLE)
            attempt += 1
    assert sum(driver.endpoints.stats[i].is_ejected for i in driver.endpoints.caches.ids) == 2  # half of four
    assert len(caches_asked(driver)) >= 2


def test_a_failed_source_is_blamed_and_the_cache_is_not() -> None:
    driver = Driver()
    first = only_fetch(driver.request(1))
    again = only_fetch(
        driver.end_attempt(1, 0, first.endpoint, Outcome.REJECTED, fill_outcome=Fill.SOURCE_FAILED)
    )
    assert again.endpoint == first.endpoint and again.source != first.source
    asked = 1
    for n in range(2, 100):  # the next source is asked more and more before it is ejected
        if only_fetch(driver.request(n)).source == first.source and asked < 3:
            driver.end_attempt(n, 0, first.endpoint, Outcome.REJECTED, fill_outcome=Fill.SOURCE_FAILED)
            asked += 1
    assert asked == 3
    assert (
        driver.endpoints.stats[first.source].is_ejected
        and not driver.endpoints.stats[first.endpoint].is_ejected
    )


def test_silence_and_a_slow_answer_are_told_apart_by_other_answers() -> None:
    assert after_silence_timeout((0.0,), "")[2] == [api.Cancel(1, 0)]
    assert [type(a) for a in after_silence_timeout((0.0,), "both")[2]] == [api.SetTimer]


def test_an_attempt_with_a_quiet_source_runs_on_and_the_source_is_not_blamed() -> None:
    # Where each router has few fills healthy parents look silent; ejecting them would overload the origin.
    driver, sent, actions = after_silence_timeout((0.0,), "cache")
    assert [type(a) for a in actions] == [api.SetTimer]
    assert driver.endpoints.stats[sent.source].failure_rate == 0.0


def test_slow_fills_are_not_taken_for_silent_caches() -> None:
    driver = Driver()
    sent = only_fetch(driver.request(1))
    for _ in range(3):
        driver.state.fill_throttles.record_fill(sent.source, True, driver.now)
    (token,) = driver.router.timers
    driver.now += 1.0
    again = driver.handle(api.TimerFired(token))
    assert not [a for a in again if isinstance(a, api.Cancel)]
    assert not driver.endpoints.stats[sent.endpoint].failure_rate


def test_with_one_parent_ejected_the_other_is_the_source_until_a_trial_brings_it_back() -> None:
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


def test_a_source_that_rejects_without_a_note_costs_one_attempt_and_ejects_no_cache() -> None:
    driver = Driver(fill_faults_reported=False)
    tries = reject_fills_from(b"paren1", driver, range(1, 31))
    assert max(tries) == 2
    assert tries.count(2) <= 4  # then the source is known
    assert not any(driver.endpoints.stats[b"cache%d" % n].is_ejected for n in range(4))
    assert driver.endpoints.stats[b"paren1"].is_ejected


def test_a_cache_that_rejects_without_a_note_is_ejected_and_no_source_is() -> None:
    driver = Driver(fill_faults_reported=False)
    for n in range(1, 60):
        actions, attempt = driver.request(n, key=n, kb=0.0), 0
        while attempts_in(actions):
            sent = only_fetch(actions)
            ill = sent.endpoint == b"cache1"
            result, note = (Outcome.REJECTED, Fill.NONE) if ill else (Outcome.OK, Fill.FILLED)
            actions = driver.end_attempt(n, attempt, sent.endpoint, result, not ill, fill_outcome=note)
            attempt += 1
            assert attempt <= 3
        driver.now += 0.05
    assert driver.endpoints.stats[b"cache1"].is_ejected
    assert not any(driver.endpoints.stats[b"paren%d" % n].is_ejected for n in range(3))


def test_where_faults_are_reported_a_rejection_without_a_note_is_the_caches_own() -> None:
    driver = Driver()
    first = only_fetch(driver.request(1))
    again = only_fetch(driver.end_attempt(1, 0, first.endpoint, Outcome.REJECTED))
    assert again.endpoint != first.endpoint and again.source == first.source


def test_a_slow_outlier_does_not_make_its_sources_look_slow() -> None:
    # Else one slow cache makes the parents look slow, and everything is rejected.
    driver = Driver((cache(0), cache(1), cache(2), parent(0), FLEET[-1]))

    def end(n: int, sent: api.Fetch, fill_outcome: Fill) -> None:
        took = 0.1 * (20.0 if sent.endpoint == b"cache0" else 1.0)  # 100 KB at 1,000 KB a second
        driver.handle(api.AttemptEnded(n, 0, sent.endpoint, Outcome.OK, took, True, fill_outcome, 0.0))

    for n in range(1, 60):  # hits at all caches, then fills
        end(n, only_fetch(driver.request(n, key=n, kb=100.0)), Fill.HIT if n < 30 else Fill.FILLED)
    assert driver.endpoints.stats[b"cache0"].slowdown > 5
    assert driver.endpoints.stats[b"paren0"].slowdown < 1.5
    for n in range(60, 90):  # where all caches are slow alike the fills of the parent are
        sent = only_fetch(driver.request(n, key=n, kb=100.0))
        driver.handle(
            api.AttemptEnded(
                n, 0, sent.endpoint, Outcome.OK, 2.0, True, Fill.FILLED if n % 2 else Fill.HIT, 0.0
            )
        )
    assert driver.endpoints.stats[b"paren0"].slowdown > 5


def test_what_a_slow_outlier_would_make_late_goes_on_until_it_is_quick_again() -> None:
    # Else it keeps its share of the objects, and they come late.
    driver = Driver((cache(0), cache(1), cache(2), parent(0), FLEET[-1]))
    number = itertools.count(1)

    def places(kb: float, slowdown: float) -> dict[int, bytes]:
        """Where each of 60 objects is asked for; `cache0` takes `slowdown` times the transfer time."""
        found = {}
        for key in range(60):
            n = next(number)
            found[key] = only_fetch(driver.request(n, key=key, kb=kb)).endpoint
            took = kb / 1000 * (slowdown if found[key] == b"cache0" else 1.0)
            driver.handle(api.AttemptEnded(n, 0, found[key], Outcome.OK, took, True, Fill.HIT, 0.0))
        return found

    homes = places(5.0, 1.0)
    places(5.0, 20.0)
    moved = places(400.0, 20.0)
    assert b"cache0" in homes.values() and b"cache0" not in moved.values()
    assert all(moved[key] == home for key, home in homes.items() if home != b"cache0")
    assert places(5.0, 1.0) == homes  # what is in time there stays, and tells how it fares
    assert places(400.0, 1.0) == homes
