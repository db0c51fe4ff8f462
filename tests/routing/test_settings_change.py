"""Tests settings that change while requests are pending, or because a front has more processes."""

from __future__ import annotations

import pytest

from tests.support.routing import (
    ORIGIN_ENDPOINT,
    Driver,
    attempts_in,
    cache,
    final_answers,
    only_fetch,
    settings,
)
from zincladder.routing import interface as api

READ = api.RequestClass(latency_objective=0.3, timeout=2.0)
WRITE = api.RequestClass(
    latency_objective=0.3, timeout=2.0, idempotency=api.Idempotency.NONE, uncacheable=True
)


def test_pending_requests_keep_their_limit_and_classes_their_estimates() -> None:
    driver = Driver(max_attempts=4)
    for n in range(1, 20):
        driver.serve(n, key=n, request_class=1, kb=50.0)
    estimate = driver.state.transfer_times[1].mean_seconds
    sent = only_fetch(driver.request(100, request_class=0))
    fewer = settings(max_attempts=1, classes=(*driver.state.settings.classes[:3], READ, WRITE))
    driver.handle(api.SettingsChanged(fewer, (0, 1, 2, -1, -1)))
    assert (
        driver.state.transfer_times[1].mean_seconds == estimate > 0
        and driver.state.transfer_times[3].mean_seconds == 0
    )
    again = attempts_in(driver.end_attempt(100, 0, sent.endpoint, api.AttemptOutcome.UNREACHABLE))
    assert len(again) == 1  # it arrived when four attempts were allowed
    first = only_fetch(driver.request(101, request_class=0))
    # Only one attempt is allowed now.
    assert final_answers(driver.end_attempt(101, 0, first.endpoint, api.AttemptOutcome.UNREACHABLE))
    write = attempts_in(driver.request(102, request_class=4))
    assert [a.endpoint for a in write] == [ORIGIN_ENDPOINT.id]
    assert isinstance(
        final_answers(driver.end_attempt(102, 0, ORIGIN_ENDPOINT.id, api.AttemptOutcome.RESET))[0], api.Fail
    )


def test_a_second_process_of_a_front_halves_the_requests_to_a_cold_cache() -> None:
    def requests_sent(processes: int) -> int:
        driver = Driver([cache(0, started_at=99.0), ORIGIN_ENDPOINT], may_bypass_caches=False)
        old = driver.state.settings
        routers = (0, old.routers_by_zone[1] + 2 * (processes - 1), 2)
        driver.handle(
            api.SettingsChanged(settings(may_bypass_caches=False, routers_by_zone=routers), tuple(range(4)))
        )
        count = 0
        for n in range(400):
            driver.now += 0.01
            count += bool(attempts_in(driver.request(n, key=n, kb=30.0)))
        return count

    assert requests_sent(1) > 0 and requests_sent(2) == pytest.approx(requests_sent(1) / 2, rel=0.2)
