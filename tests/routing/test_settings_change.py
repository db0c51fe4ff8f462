"""Other settings while requests are open, and while a front has more processes."""

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


def test_the_router_keeps_attempts_and_effect_of_what_is_open_and_what_it_has_learned() -> None:
    driver = Driver(max_attempts=4)
    for n in range(1, 20):
        driver.serve(n, key=n, request_class=1, kb=50.0)
    learned = driver.state.transfer_times[1].mean_seconds
    sent = only_fetch(driver.request(100, request_class=0))
    fewer = settings(max_attempts=1, classes=(*driver.state.settings.classes[:3], READ, WRITE))
    driver.handle(api.SettingsChanged(fewer, (0, 1, 2, -1, -1)))
    assert (
        driver.state.transfer_times[1].mean_seconds == learned > 0
        and driver.state.transfer_times[3].mean_seconds == 0
    )
    again = attempts_in(driver.end_attempt(100, 0, sent.endpoint, api.AttemptOutcome.UNREACHABLE))
    assert len(again) == 1  # it was taken when four were allowed
    first = only_fetch(driver.request(101, request_class=0))
    assert final_answers(
        driver.end_attempt(101, 0, first.endpoint, api.AttemptOutcome.UNREACHABLE)
    )  # one now
    write = attempts_in(driver.request(102, request_class=4))
    assert [a.endpoint for a in write] == [ORIGIN_ENDPOINT.id]
    assert isinstance(
        final_answers(driver.end_attempt(102, 0, ORIGIN_ENDPOINT.id, api.AttemptOutcome.RESET))[0], api.Fail
    )


def test_a_process_more_at_this_front_halves_what_a_cold_cache_is_sent() -> None:
    def sent(processes: int) -> int:
        driver = Driver([cache(0, started_at=99.0), ORIGIN_ENDPOINT], may_bypass_caches=False)
        s = driver.state.settings
        seats = (0, s.routers_by_zone[1] + 2 * (processes - 1), 2)
        driver.handle(
            api.SettingsChanged(settings(may_bypass_caches=False, routers_by_zone=seats), tuple(range(4)))
        )
        count = 0
        for n in range(400):
            driver.now += 0.01
            count += bool(attempts_in(driver.request(n, key=n, kb=30.0)))
        return count

    assert sent(1) > 0 and sent(2) == pytest.approx(sent(1) / 2, rel=0.2)
