"""Fill throttles, for each source and for all sources together."""

from __future__ import annotations

import pytest

from tests.support.routing import ORIGIN_ENDPOINT, Driver, attempts_in, cache, final_answers, only_fetch
from zincladder.routing import fill_throttle
from zincladder.routing import interface as api

Outcome = api.AttemptOutcome
Fill = api.FillOutcome


def test_overloaded_fills_decrease_the_admitted_share_and_timely_fills_or_time_restore_it() -> None:
    throttle = fill_throttle.FillThrottle(recovery_seconds=2.0)
    admitted = []
    for _ in range(4):
        throttle.record_fill(True, 10.0)
        admitted.append(throttle.admitted_share(10.0))
    assert admitted == pytest.approx([0.25, 0.0625, 0.05, 0.05]) and throttle.is_overloaded(10.0)
    assert throttle.admitted_share(11.0) < 0.5 < 0.9 < throttle.admitted_share(20.0)
    for _ in range(9):
        throttle.record_fill(False, 10.0)
    assert throttle.admitted_share(10.0) == 1.0


def test_a_normal_share_of_overloaded_fills_is_tolerated_and_a_larger_one_is_not() -> None:
    def shares(overloaded_every: int, fills_per_s: float) -> list[float]:
        throttle = fill_throttle.FillThrottle(recovery_seconds=2.5)
        admitted = []
        for n in range(600):
            throttle.record_fill(n % overloaded_every == overloaded_every - 1, n / fills_per_s)
            admitted.append(throttle.admitted_share(n / fills_per_s))
        return admitted[250:]

    assert min(shares(10, 50.0)) > 0.75  # if fills are many, a single one has little effect
    assert sum(shares(10, 1.0)) > 0.75 * 350
    assert max(shares(2, 50.0)) < 0.5  # if half of the fills are overloaded, the share is far above normal
    assert sum(shares(2, 1.0)) < 0.7 * 350


def test_one_overloaded_source_is_skipped_and_two_throttle_all_fills() -> None:
    limits = fill_throttle.FillThrottles(recovery_seconds=6.0)
    for _ in range(3):
        limits.record_fill(b"a", True, 10.0)
        for _ in range(4):
            limits.record_fill(b"b", False, 10.0)
    assert limits.admitted_share(10.0) == 1.0
    assert not limits.admits(b"a", 10.0, lambda: 0.1) and limits.admits(b"a", 10.0, lambda: 0.01)
    assert limits.admits(b"b", 10.0, lambda: 0.99) and limits.admits(b"new", 10.0, lambda: 0.99)
    assert limits.is_overloaded(b"a", 10.0) and not limits.is_overloaded(b"b", 10.0)
    for _ in range(3):
        limits.record_fill(b"b", True, 10.0)
    assert limits.admitted_share(10.0) < 0.1 and limits.is_overloaded(b"new", 10.0)
    assert limits.admits(b"a", 10.0, lambda: 0.99)  # no other source is less overloaded
    limits.retain_sources({b"b"})
    assert limits._by_source.keys() == {b"b"}


def test_overload_of_one_source_counts_half_and_of_the_origin_in_full() -> None:
    alone, confirmed, origin = (fill_throttle.FillThrottles(recovery_seconds=6.0) for _ in range(3))
    alone.record_fill(b"a", True, 10.0)
    assert alone.admitted_share(10.0) == pytest.approx(0.5)
    confirmed.record_fill(b"a", True, 10.0)
    confirmed.record_fill(b"b", True, 10.0)
    assert confirmed.admitted_share(10.0) == pytest.approx(0.125)
    origin.record_fill(None, True, 10.0)
    assert origin.admitted_share(10.0) == pytest.approx(0.25)


def test_overload_is_detected_at_shorter_waits_if_fills_are_few() -> None:
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
        (Outcome.OK, Fill.FILLED, 0.45, True),  # it waited for more than half of its slack
        (Outcome.OK, Fill.HIT, 0.45, None),
        (Outcome.TIMED_OUT, Fill.NONE, 0.45, True),
        (Outcome.TIMED_OUT, Fill.NONE, 0.35, None),  # ended early: the client allowed too little time
        (Outcome.CANCELLED, Fill.NONE, 0.35, None),
        (Outcome.ERROR, Fill.NONE, 0.01, None),  # an error of the cache, or a truncated answer
        (Outcome.ERROR, Fill.NONE, 0.45, True),  # the cache abandoned the fill
        (Outcome.REJECTED, Fill.NONE, 0.01, True),
        (Outcome.REJECTED, Fill.SOURCE_REJECTED, 0.01, True),
        (Outcome.REJECTED, Fill.SOURCE_FAILED, 0.01, None),  # the source is unreachable, not overloaded
        (Outcome.REJECTED, Fill.SOURCE_FAILED, 0.45, True),
        (Outcome.RESET, Fill.NONE, 0.45, None),
    ],
)
def test_which_outcomes_indicate_an_overloaded_source(
    result: Outcome, fill_outcome: Fill, latency: float, overloaded: bool | None
) -> None:
    request_class = api.RequestClass(latency_objective=0.5, timeout=3.0, objective_per_transfer=2.0)
    event = api.AttemptEnded(1, 0, b"cache0", result, latency, fill_outcome=fill_outcome)
    assert (
        fill_throttle.is_overloaded_fill(event, request_class, 0.1, cache_at_fault=False, slack_share=0.5)
        is overloaded
    )


def test_a_rejection_by_the_cache_itself_shows_nothing_about_its_source() -> None:
    event = api.AttemptEnded(1, 0, b"cache0", Outcome.REJECTED, 0.01)
    assert fill_throttle.is_overloaded_fill(event, api.RequestClass(0.5, 3.0), 0.1, True, 0.5) is None


def test_a_rejection_by_the_origin_counts_in_full_and_of_a_fill_from_it_half() -> None:
    writes, fills = Driver(), Driver((cache(0), ORIGIN_ENDPOINT), peer_fill=api.PeerFill.OFF)
    sent = attempts_in(writes.request(1, request_class=3))[0]
    writes.end_attempt(1, 0, sent.endpoint, Outcome.REJECTED, fill_outcome=Fill.SOURCE_REJECTED)
    assert writes.state.fill_throttles.admitted_share(writes.now) == pytest.approx(0.25)
    filled = only_fetch(fills.request(1))
    assert filled.source == ORIGIN_ENDPOINT.id
    fills.end_attempt(1, 0, filled.endpoint, Outcome.REJECTED, fill_outcome=Fill.SOURCE_REJECTED)
    assert fills.state.fill_throttles.admitted_share(fills.now) == pytest.approx(0.5)


def test_a_slow_fill_at_a_responsive_cache_counts_against_its_source_before_it_ends() -> None:
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
    assert driver.state.fill_throttles.admitted_share(driver.now) == before  # it had been counted already


def test_a_throttled_request_gets_a_copy_from_the_parent_or_is_rejected() -> None:
    driver = Driver()
    driver.state.random.seed(2)
    for n in range(1, 4):
        sent = only_fetch(driver.request(n, key=n))
        driver.end_attempt(n, 0, sent.endpoint, Outcome.REJECTED, fill_outcome=Fill.SOURCE_REJECTED)
        driver.handle(api.ClientDisconnected(n))
    fetches = [only_fetch(driver.request(n, key=n)) for n in range(10, 40)]
    assert sum(sent.cached_only for sent in fetches) > 20
    n = next(n for n, sent in enumerate(fetches, 10) if sent.cached_only)
    assert final_answers(
        driver.end_attempt(n, 0, fetches[n - 10].endpoint, Outcome.MISS, fill_outcome=Fill.SOURCE_MISS)
    )
    writes = [attempts_in(driver.request(n, key=n, request_class=3)) for n in range(50, 60)]
    # Requests that only the origin can execute are not throttled.
    assert all(isinstance(sent, api.Lookup) for (sent,) in writes)


def test_throttles_of_removed_sources_are_dropped_with_the_next_list_update() -> None:
    driver = Driver()
    driver.state.fill_throttles.record_fill(b"paren9", True, driver.now)
    driver.update_list(kind=api.UpdateKind.FAILED)
    assert b"paren9" in driver.state.fill_throttles._by_source
    driver.update_endpoints(cache(1))
    assert b"paren9" not in driver.state.fill_throttles._by_source
