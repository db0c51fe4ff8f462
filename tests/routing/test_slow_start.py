"""Slow start: no endpoint is overloaded by all routers together, and it is used."""

from __future__ import annotations

import itertools
import math
from random import Random
from typing import Any

import pytest

from tests.support.routing import (
    FLEET,
    Driver,
    attempts_in,
    cache,
    driver_without_sizes_and_weights,
    only_fetch,
    parent,
    walk_of,
)
from zincladder.routing import interface as api
from zincladder.routing.ring import ring_position

Outcome = api.AttemptOutcome
Fill = api.FillOutcome


def transfer_seconds_sent(driver: Driver, endpoint: bytes, kb: float = 100.0) -> float:
    """Transfer seconds that reach an endpoint when far too much is asked within one instant."""
    work = 0.0
    for n in range(1, 800):
        (sent,) = attempts_in(driver.request(n, key=n, kb=kb)) or (api.Lookup(0, b""),)
        if endpoint in (sent.endpoint, getattr(sent, "source", b"")):
            work += kb / 1000.0
        driver.end_attempt(n, 0, sent.endpoint, Outcome.OK, True, fill_outcome=Fill.HIT)
    return work


def requests_during_slow_start(
    routers: int, endpoint: bytes, fleet: tuple[api.Endpoint, ...], kb: float
) -> list[float]:
    """When requests in steps of 0.1 s reach a starting endpoint from many overloaded routers."""
    drivers = [Driver(fleet, seed=n, routers=routers, routers_by_zone=(0, routers)) for n in range(routers)]
    for driver in drivers:
        for n in range(20):
            driver.serve(n + 1, key=n, kb=kb)
    times = []
    for step in range(1, 60):
        for driver in drivers:
            driver.now = 100.0 + step / 10
            for n in range(step * 100, step * 100 + 20):
                sent = driver.serve(n, key=n, kb=kb)
                times += [driver.now] * (endpoint in (sent.endpoint, sent.source))
    return times


def test_all_routers_together_keep_slow_start_under_its_limit_and_use_it() -> None:
    # With many routers the even share is below one request; it has to be used all the same.
    for endpoint, fleet, routers, kb in (
        (b"cache9", (*FLEET, cache(9, started_at=100.0)), 5, 100.0),
        (b"paren9", (*FLEET, parent(9, started_at=100.0)), 40, 400.0),
    ):
        weight = 8.0 if endpoint == b"cache9" else 40.0
        times = requests_during_slow_start(routers, endpoint, fleet, kb)
        for second in range(100, 106):
            window = sum(second <= t < second + 1 for t in times) * kb / 1000
            limit = 2 * (0.25 + 0.75 * (second - 100) / 10) * weight
            assert 0 < window <= limit, (endpoint, second, window, limit)


@pytest.mark.parametrize("routers", [1, 3, 30, 230])
def test_slow_start_bears_the_sum_of_routers_of_uneven_traffic_that_come_and_go(routers: int) -> None:
    # asked for three times what it bears, half of it by a tenth of the routers; each starts anew every 4 s
    kb, starting = 400.0, parent(9, started_at=100.0)
    changes: dict[str, Any] = {"routers": routers, "routers_by_zone": (0, routers)}
    drivers = [Driver((*FLEET, starting), seed=n, **changes) for n in range(routers)]
    parents = drivers[0].router.state.endpoints.parents
    keys = [k for k in range(2000) if next(parents.walk(ring_position(k.to_bytes(8, "big")))) == starting.id]
    random, times, starts, now = Random(routers), list[float](), routers, 100.0
    for request in itertools.count(1):
        now += random.expovariate(3 * 2 * starting.weight / (kb / 1000))
        if now > 106.0:
            break
        if random.random() < routers / (4.0 * 3 * 2 * starting.weight / (kb / 1000)):
            drivers[random.randrange(routers)] = Driver((*FLEET, starting), seed=starts, **changes)
            starts += 1
        few = random.random() < 0.5
        driver = drivers[random.randrange(max(1, routers // 10) if few else routers)]
        driver.now = now
        if driver.serve(request, key=random.choice(keys), kb=kb).source == starting.id:
            times.append(now)
    for begin in times:
        part = 0.25 + 0.75 * (begin - 100.0) / 10
        calls = 2 * part * starting.weight / (kb / 1000)
        assert sum(begin <= t < begin + 1 for t in times) <= calls + 2 * math.sqrt(calls) + 2
    assert len(times) > 0.1 * 6 * 2 * starting.weight / (kb / 1000) * 0.25  # and it is used


def test_a_request_larger_than_half_of_a_slow_start_budget_goes_on() -> None:
    driver = Driver((*FLEET, parent(9, weight=4.0, started_at=100.0)))
    driver.now += 3.0
    assert all(driver.serve(n, key=n, kb=1500.0).source != b"paren9" for n in range(1, 200))


def test_what_does_not_fit_goes_to_the_next_point_and_after_slow_start_there_is_no_limit() -> None:
    driver = Driver((cache(0), cache(9, started_at=100.0), parent(0)))
    for n in range(1, 300):
        assert len(attempts_in(driver.request(n, key=n))) == 1
        driver.end_attempt(n, 0, driver.router.attempts[n, 0].target, Outcome.OK, True, fill_outcome=Fill.HIT)
    driver = Driver((*FLEET, cache(9, started_at=90.0)))
    assert transfer_seconds_sent(driver, b"cache9") > 4


def test_slow_start_holds_where_sizes_and_weights_are_not_announced() -> None:
    # With transfer times of 0 a starting cache would be sent whatever comes.
    driver = driver_without_sizes_and_weights()
    walk = walk_of(driver, 7)
    driver.update_endpoints(cache(int(walk[0][-1:]), started_at=driver.now))
    pushed = 0
    for n in range(1, 200):
        driver.now += 0.005
        sent = only_fetch(driver.request(n, key=n, kb=0.0)).endpoint
        pushed += sent == walk[0]
        driver.end_attempt(n, 0, sent, Outcome.OK, True, fill_outcome=Fill.HIT)
    assert 0 < pushed * 0.1 <= 2.0 * 0.25 * 4  # overload factor x initial share x cores
