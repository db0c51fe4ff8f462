"""Slow start: all routers together neither overload a starting endpoint nor leave it unused."""

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
    """Transfer seconds sent to an endpoint if far too many requests arrive at the same time."""
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
    """Times, in steps of 0.1 s, of the requests that many busy routers send to a starting endpoint."""
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


def test_all_routers_together_stay_below_the_slow_start_limit_and_use_the_endpoint() -> None:
    # With many routers the equal share of each is less than one request, and must still be used.
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
def test_routers_with_uneven_traffic_that_restart_stay_below_the_limit_together(routers: int) -> None:
    # The demand is three times the limit, half of it from a tenth of the routers; each restarts every 4 s.
    kb, starting = 400.0, parent(9, started_at=100.0)
    changes: dict[str, Any] = {"routers": routers, "routers_by_zone": (0, routers)}
    drivers = [Driver((*FLEET, starting), seed=n, **changes) for n in range(routers)]
    parents = drivers[0].router.state.endpoints.parents
    keys = [k for k in range(2000) if next(parents.walk(ring_position(k.to_bytes(8, "big")))) == starting.id]
    random, times, next_seed, now = Random(routers), list[float](), routers, 100.0
    for request in itertools.count(1):
        now += random.expovariate(3 * 2 * starting.weight / (kb / 1000))
        if now > 106.0:
            break
        if random.random() < routers / (4.0 * 3 * 2 * starting.weight / (kb / 1000)):
            drivers[random.randrange(routers)] = Driver((*FLEET, starting), seed=next_seed, **changes)
            next_seed += 1
        from_busy_tenth = random.random() < 0.5
        driver = drivers[random.randrange(max(1, routers // 10) if from_busy_tenth else routers)]
        driver.now = now
        if driver.serve(request, key=random.choice(keys), kb=kb).source == starting.id:
            times.append(now)
    for begin in times:
        capacity_share = 0.25 + 0.75 * (begin - 100.0) / 10
        limit = 2 * capacity_share * starting.weight / (kb / 1000)
        assert sum(begin <= t < begin + 1 for t in times) <= limit + 2 * math.sqrt(limit) + 2
    assert len(times) > 0.1 * 6 * 2 * starting.weight / (kb / 1000) * 0.25


def test_a_request_that_would_overload_a_starting_parent_goes_to_another_one() -> None:
    driver = Driver((*FLEET, parent(9, weight=4.0, started_at=100.0)))
    driver.now += 3.0
    assert all(driver.serve(n, key=n, kb=1500.0).source != b"paren9" for n in range(1, 200))


def test_requests_over_the_limit_go_to_another_cache_and_slow_start_ends() -> None:
    driver = Driver((cache(0), cache(9, started_at=100.0), parent(0)))
    for n in range(1, 300):
        assert len(attempts_in(driver.request(n, key=n))) == 1
        driver.end_attempt(n, 0, driver.router.attempts[n, 0].target, Outcome.OK, True, fill_outcome=Fill.HIT)
    driver = Driver((*FLEET, cache(9, started_at=90.0)))
    assert transfer_seconds_sent(driver, b"cache9") > 4


def test_slow_start_limits_requests_if_sizes_and_weights_are_not_announced() -> None:
    # With transfer times of 0 a starting cache would get every request.
    driver = driver_without_sizes_and_weights()
    walk = walk_of(driver, 7)
    driver.update_endpoints(cache(int(walk[0][-1:]), started_at=driver.now))
    requests_sent = 0
    for n in range(1, 200):
        driver.now += 0.005
        sent = only_fetch(driver.request(n, key=n, kb=0.0)).endpoint
        requests_sent += sent == walk[0]
        driver.end_attempt(n, 0, sent, Outcome.OK, True, fill_outcome=Fill.HIT)
    assert 0 < requests_sent * 0.1 <= 2.0 * 0.25 * 4  # overload factor x initial share x cores
