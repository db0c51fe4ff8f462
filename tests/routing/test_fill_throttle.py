"""The throttles of fills, by source and for all sources together."""

from __future__ import annotations

import pytest

from tests.support.routing import ORIGIN_ENDPOINT, Driver, attempts_in, cache, final_answers, only_fetch
from zincladder.routing import fill_throttle
from zincladder.routing import interface as api

Outcome = api.AttemptOutcome
Fill = api.FillOutcome


def test_overloaded_fills_in_a_row_decrease_the_admitted_share_and_good_ones_and_time_restore_it() -> None:
    limit = fill_throttle.FillThrottle(recovery_seconds=2.0)
    admitted = []
    for _ in range(4):
        limit.record_fill(True, 10.0)
        admitted.append(limit.admitted_share(10.0))
    assert admitted == pytest.approx([0.25, 0.0625, 0.05, 0.05]) and limit.is_overloaded(10.0)
    assert limit.admitted_share(11.0) < 0.5 < 0.9 < limit.admitted_share(20.0)
    for _ in range(9):
        limit.record_fill(False, 10.0)
    assert limit.admitted_share(10.0) == 1.0


def test_a_usual_share_of_overloaded_fills_is_tolerated_and_a_larger_one_is_not() -> None:
    def shares(strained_every: int, fills_per_s: float) -> list[float]:
        limit = fill_throttle.FillThrottle(recovery_seconds=2.5)
        found = []
        for n in range(600):
            limit.record_fill(n % strained_every == strained_every - 1, n / fills_per_s)
            found.append(limit.admitted_share(n / fills_per_s))
        return found[250:]

    assert min(shares(10, 50.0)) > 0.75  # where fills are many, one alone takes little
    assert sum(shares(10, 1.0)) > 0.75 * 350
    assert max(shares(2, 50.0)) < 0.5  # half of them: far past any day
    assert sum(shares(2, 1.0)) < 0.7 * 350


def test_one_overloaded_source_is_passed_by_and_two_throttle_what_asks_the_origin() -> None:
    limits = fill_throttle.FillThrottles(recovery_seconds=6.0)
    for _ in range(3):
        limits.record_fill(b"a", True, 10.0)
        for _ in range(4):
            limits.record_fill(b"b", False, 10.0)
    assert limits.admitted_share(10.0) == 1.0
    assert not limits.stays_at(b"a", 10.0, lambda: 0.1) and limits.stays_at(b"a", 10.0, lambda: 0.01)
    assert limits.stays_at(b"b", 10.0, lambda: 0.99) and limits.stays_at(b"new", 10.0, lambda: 0.99)
    assert limits.is_overloaded(b"a", 10.0) and not limits.is_overloaded(b"b", 10.0)
    for _ in range(3):
        limits.record_fill(b"b", True, 10.0)
    assert limits.admitted_share(10.0) < 0.1 and limits.is_overloaded(b"new", 10.0)
    assert limits.stays_at(b"a", 10.0, lambda: 0.99)  # no other source is better off
    limits.keep_only({b"b"})
    assert limits._by_source.keys() == {b"b"}


def test_what_one_source_shows_counts_by_half_and_what_the_origin_shows_in_full() -> None:
    alone, confirmed, origin = (fill_throttle.FillThrottles(recovery_seconds=6.0) for _ in range(3))
    alone.record_fill(b"a", True, 10.0)
    assert alone.admitted_share(10.0) == pytest.approx(0.5)
    confirmed.record_fill(b"a", True, 10.0)
    confirmed.record_fill(b"b", True, 10.0)
    assert confirmed.admitted_share(10.0) == pytest.approx(0.125)
    origin.record_fill(None, True, 10.0)
    assert origin.admitted_share(10.0) == pytest.approx(0.25)


def test_where_fills_are_few_an_overload_is_seen_earlier() -> None:
    limits = fill_throttle.FillThrottles(recovery_seconds=6.0)
    assert limits.slack_share(10.0) == fill_throttle.SLACK_SHARE_FEW_FILLS
    for _ in range(30):
        limits.record_fill(b"a", False, 10.0)
    assert limits.slack_share(10.0) == fill_throttle.SLACK_SHARE_MANY_FILLS
    assert limits.slack_share(20.0) == fill_throttle.SLACK_SHARE_FEW_FILLS


@pytest.mark.parametrize(
    ("result", "fill_outcome", "latency", "overloaded"),
    [
        (Outcome.OK, Fill.FILLED, 0.35, False),
        (Outcome.OK, Fill.FILLED, 0.45, True),  # half of its slack is gone
        (Outcome.OK, Fill.HIT, 0.45, None),
        (Outcome.TIMED_OUT, Fill.NONE, 0.45, True),
        (Outcome.TIMED_OUT, Fill.NONE, 0.35, None),  # its client gave it too little time
        (Outcome.CANCELLED, Fill.NONE, 0.35, None),
        (Outcome.ERROR, Fill.NONE, 0.01, None),  # the cache's own, or a truncated answer
        (Outcome.ERROR, Fill.NONE, 0.45, True),  # it gave the fill up
        (Outcome.REJECTED, Fill.NONE, 0.01, True),
        (Outcome.REJECTED, Fill.SOURCE_REJECTED, 0.01, True),
        (
            Outcome.REJECTED,
            Fill.SOURCE_FAILED,
            0.01,
            None,
        ),  # it was not reached: it is gone, not overloaded
        (Outcome.REJECTED, Fill.SOURCE_FAILED, 0.45, True),
        (Outcome.RESET, Fill.NONE, 0.45, None),
    ],
)
def test_which_outcomes_tell_of_an_overloaded_source(
    result: Outcome, fill_outcome: Fill, latency: float, overloaded: bool | None
) -> None:
    request_class = api.RequestClass(latency_objective=0.5, timeout=3.0, objective_per_transfer=2.0)
    event = api.AttemptEnded(1, 0, b"cache0", result, latency, fill_outcome=fill_outcome)
    assert (
        fill_throttle.is_overloaded_fill(event, request_class, 0.1, caches_own_fault=False, slack_share=0.5)
        is overloaded
    )


def test_a_rejection_of_the_caches_own_tells_nothing_of_its_source() -> None:
    event = api.AttemptEnded(1, 0, b"cache0", Outcome.REJECTED, 0.01)
    assert fill_throttle.is_overloaded_fill(event, api.RequestClass(0.5, 3.0), 0.1, True, 0.5) is None


def test_what_the_origin_answers_itself_tells_of_it_in_full_and_a_fill_from_it_by_half() -> None:
    writes, fills = Driver(), Driver((cache(0), ORIGIN_ENDPOINT), peer_fill=api.PeerFill.OFF)
    sent = attempts_in(writes.request(1, request_class=3))[0]
    writes.end_attempt(1, 0, sent.endpoint, Outcome.REJECTED, fill_outcome=Fill.SOURCE_REJECTED)
    assert writes.state.fill_throttles.admitted_share(writes.now) == pytest.approx(0.25)
    filled = only_fetch(fills.request(1))
    assert filled.source == ORIGIN_ENDPOINT.id
    fills.end_attempt(1, 0, filled.endpoint, Outcome.REJECTED, fill_outcome=Fill.SOURCE_REJECTED)
    assert fills.state.fill_throttles.admitted_share(fills.now) == pytest.approx(0.5)


def test_a_fill_that_is_slow_at_a_cache_that_answers_others_tells_of_its_source_at_once() -> None:
    driver = Driver()
    sent = only_fetch(driver.request(1))
    (token,) = driver.router.timers
    driver.now += 0.5
    driver.endpoints.stats[sent.endpoint].last_answer_at = driver.now
    driver.now += 0.5
    driver.handle(api.TimerFired(token))
    assert driver.state.fill_throttles.is_overloaded(sent.source, driver.now)
    before = driver.state.fill_throttles.admitted_share(driver.now)
    driver.end_attempt(1, 0, sent.endpoint, Outcome.TIMED_OUT)
    assert driver.state.fill_throttles.admitted_share(driver.now) == before  # it was counted


def test_a_throttled_request_takes_a_copy_of_the_parent_and_is_rejected_where_it_has_none() -> None:
    driver = Driver()
    driver.state.random.seed(2)
    for n in range(1, 4):
        sent = only_fetch(driver.request(n, key=n))
        driver.end_attempt(n, 0, sent.endpoint, Outcome.REJECTED, fill_outcome=Fill.SOURCE_REJECTED)
        driver.handle(api.ClientDisconnected(n))
    held = [only_fetch(driver.request(n, key=n)) for n in range(10, 40)]
    assert sum(sent.cached_only for sent in held) > 20
    n = next(n for n, sent in enumerate(held, 10) if sent.cached_only)
    assert final_answers(
        driver.end_attempt(n, 0, held[n - 10].endpoint, Outcome.MISS, fill_outcome=Fill.SOURCE_MISS)
    )
    writes = [attempts_in(driver.request(n, key=n, request_class=3)) for n in range(50, 60)]
    assert all(
        isinstance(sent, api.Lookup) for (sent,) in writes
    )  # what only the origin runs is not throttled


def test_the_throttles_of_sources_that_are_gone_are_forgotten_with_the_next_list_that_can_be_read() -> None:
    driver = Driver()
    driver.state.fill_throttles.record_fill(b"paren9", True, driver.now)
    driver.update_list(kind=api.UpdateKind.FAILED)
    assert b"paren9" in driver.state.fill_throttles._by_source
    driver.update_endpoints(cache(1))
    assert b"paren9" not in driver.state.fill_throttles._by_source
