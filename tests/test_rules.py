"""The five rules of the contract, with their boundary times."""

from __future__ import annotations

import itertools
import math
from random import Random
from typing import Any

import pytest

from tests.conftest import FLEET, ORIGIN_MEMBER, Driver, cache, finals, get, parent, sends
from zincladder.routing import interface as api
from zincladder.routing.ring import ring_position

R = api.AttemptOutcome


# 1: one final answer ------------------------------------------------------------------------------


def test_every_failed_request_gets_one_final_answer_and_nothing_after_it() -> None:
    for result in (R.ERROR, R.REJECTED, R.TIMED_OUT, R.UNREACHABLE, R.RESET, R.CANCELLED, R.MISS):
        d = Driver()
        actions, n = d.ask(1), 0
        while sends(actions):
            actions = d.end(1, n, sends(actions)[0].endpoint, result)
            n += 1
        assert len(finals(actions)) == 1
        assert n <= 6
        assert not d.end(1, n, b"cache0", R.OK) and not d.give(api.ClientDisconnected(1))


def test_a_time_out_at_the_deadline_is_answered_at_once() -> None:
    d = Driver()
    first = get(d.ask(1))
    d.now += 3.0
    assert len(finals(d.end(1, 0, first.endpoint, R.TIMED_OUT))) == 1


def test_a_closing_outcome_needs_no_answer() -> None:
    d = Driver()
    assert d.end(1, 0, get(d.ask(1)).endpoint, R.OK, closed=True) == []
    assert d.router.pending == {} and d.router.attempts == {}


def test_a_client_that_left_gets_nothing_and_its_attempt_is_ended() -> None:
    d = Driver()
    d.ask(1)
    assert d.give(api.ClientDisconnected(1)) == [api.Cancel(1, 0)]
    assert d.end(1, 0, b"cache0", R.CANCELLED) == []


def test_an_unsent_attempt_ends_the_request() -> None:
    d = Driver()
    assert len(finals(d.end(1, 0, get(d.ask(1)).endpoint, R.NOT_SENT))) == 1


def test_with_nobody_listed_the_answer_comes_at_once_with_advice() -> None:
    d = Driver(())
    assert d.ask(1) == [api.Reject(1, 0.5)]


# 2: no effect twice -------------------------------------------------------------------------------


def test_an_unsafe_request_is_sent_again_only_if_it_never_ran() -> None:
    for result in (R.REJECTED, R.UNREACHABLE, R.MISS):
        d = Driver()
        d.ask(1, request_class=3)
        assert len(sends(d.end(1, 0, b"origin", result))) == 1
    for result in (R.ERROR, R.TIMED_OUT, R.RESET, R.CANCELLED):
        d = Driver()
        d.ask(1, request_class=3)
        assert d.end(1, 0, b"origin", result) == [api.Fail(1)]


def test_a_keyed_request_is_sent_again_within_its_window_only() -> None:
    for wait, again in ((1.9, True), (2.0, False)):
        d = Driver()
        d.ask(1, request_class=2)
        d.now += wait
        actions = d.end(1, 0, b"origin", R.RESET)
        assert bool(sends(actions)) is again
        assert again or finals(actions) == [api.Reject(1, 0.5)]


def test_a_keyed_request_of_a_zone_is_not_refused_once_it_may_have_run() -> None:
    request_class = api.RequestClass(
        0.8, 3.0, api.Idempotency.WITH_KEY, scope=api.Scope.ZONE, deduplication_window=0.1, uncacheable=True
    )
    d = Driver(classes=(request_class,))
    d.ask(1)
    d.now += 0.2
    assert d.end(1, 0, b"origin", R.RESET) == [api.Fail(1)]


def test_one_attempt_is_out_at_a_time() -> None:
    d = Driver()
    actions = d.ask(1)
    (timer,) = [a for a in actions if isinstance(a, api.SetTimer)]
    d.now += timer.delay
    actions = d.give(api.TimerFired(timer.token))
    assert actions == [api.Cancel(1, 0)]  # the next attempt waits for the outcome of this one
    assert len(sends(d.end(1, 0, b"cache0", R.CANCELLED))) == 1


# 3: drains ----------------------------------------------------------------------------------------


def test_nothing_new_goes_to_or_comes_from_a_draining_or_gone_member() -> None:
    for state in (api.EndpointState.DRAINING, api.EndpointState.GONE):
        d = Driver()
        d.change(cache(1, state=state), parent(1, state=state))
        for n in range(1, 300):
            sent = d.serve(n, key=n)
            assert sent.endpoint != b"cache1" and sent.source != b"paren1"


def test_a_member_absent_from_a_full_list_is_gone() -> None:
    d = Driver()
    d.listed(*(m for m in FLEET if m.id != b"cache1"))
    assert all(d.serve(n, key=n).endpoint != b"cache1" for n in range(1, 200))


def test_return_to_ready_after_draining_brings_it_back() -> None:
    d = Driver()
    d.change(cache(1, state=api.EndpointState.DRAINING))
    d.change(cache(1))
    assert any(d.serve(n, key=n).endpoint == b"cache1" for n in range(1, 200))


# 4: cold members ----------------------------------------------------------------------------------


def work_sent(d: Driver, endpoint: bytes, kb: float = 100.0) -> float:
    """Transfer seconds that reach a member when far too much is asked within one instant."""
    work = 0.0
    for n in range(1, 800):
        (sent,) = sends(d.ask(n, key=n, kb=kb)) or (api.Lookup(0, b""),)
        if endpoint in (sent.endpoint, getattr(sent, "source", b"")):
            work += kb / 1000.0
        d.end(n, 0, sent.endpoint, R.OK, True, fill_outcome=api.FillOutcome.HIT)
    return work


def cold_sends(routers: int, endpoint: bytes, fleet: tuple[api.Endpoint, ...], kb: float) -> list[float]:
    """When requests of 0.1 s steps reach a cold member from many routers that are asked far too much."""
    drivers = [Driver(fleet, seed=n, routers=routers, routers_by_zone=(0, routers)) for n in range(routers)]
    for d in drivers:
        for n in range(20):
            d.serve(n + 1, key=n, kb=kb)
    times = []
    for step in range(1, 60):
        for d in drivers:
            d.now = 100.0 + step / 10
            for n in range(step * 100, step * 100 + 20):
                sent = d.serve(n, key=n, kb=kb)
                times += [d.now] * (endpoint in (sent.endpoint, sent.source))
    return times


def test_all_routers_together_keep_a_cold_member_under_its_limit_and_use_it() -> None:
    # with many routers an even part is below one request: each waited for the whole warm-up
    for endpoint, fleet, routers, kb in (
        (b"cache9", (*FLEET, cache(9, started_at=100.0)), 5, 100.0),
        (b"paren9", (*FLEET, parent(9, started_at=100.0)), 40, 400.0),
    ):
        weight = 8.0 if endpoint == b"cache9" else 40.0
        times = cold_sends(routers, endpoint, fleet, kb)
        for second in range(100, 106):
            window = sum(second <= t < second + 1 for t in times) * kb / 1000
            limit = 2 * (0.25 + 0.75 * (second - 100) / 10) * weight
            assert 0 < window <= limit, (endpoint, second, window, limit)


@pytest.mark.parametrize("routers", [1, 3, 30, 230])
def test_a_cold_member_bears_the_sum_of_routers_of_uneven_traffic_that_come_and_go(routers: int) -> None:
    # asked for three times what it bears, half of it by a tenth of the routers; each starts anew every 4 s
    kb, cold = 400.0, parent(9, started_at=100.0)
    changes: dict[str, Any] = {"routers": routers, "routers_by_zone": (0, routers)}
    drivers = [Driver((*FLEET, cold), seed=n, **changes) for n in range(routers)]
    parents = drivers[0].router.state.endpoints.parents
    keys = [k for k in range(2000) if next(parents.walk(ring_position(k.to_bytes(8, "big")))) == cold.id]
    random, times, starts, now = Random(routers), list[float](), routers, 100.0
    for request in itertools.count(1):
        now += random.expovariate(3 * 2 * cold.weight / (kb / 1000))
        if now > 106.0:
            break
        if random.random() < routers / (4.0 * 3 * 2 * cold.weight / (kb / 1000)):
            drivers[random.randrange(routers)] = Driver((*FLEET, cold), seed=starts, **changes)
            starts += 1
        few = random.random() < 0.5
        d = drivers[random.randrange(max(1, routers // 10) if few else routers)]
        d.now = now
        if d.serve(request, key=random.choice(keys), kb=kb).source == cold.id:
            times.append(now)
    for begin in times:
        part = 0.25 + 0.75 * (begin - 100.0) / 10
        calls = 2 * part * cold.weight / (kb / 1000)
        assert sum(begin <= t < begin + 1 for t in times) <= calls + 2 * math.sqrt(calls) + 2
    assert len(times) > 0.1 * 6 * 2 * cold.weight / (kb / 1000) * 0.25  # and it is used


def test_a_request_larger_than_half_of_a_cold_members_budget_goes_on() -> None:
    d = Driver((*FLEET, parent(9, weight=4.0, started_at=100.0)))
    d.now += 3.0
    assert all(d.serve(n, key=n, kb=1500.0).source != b"paren9" for n in range(1, 200))


def test_what_does_not_fit_goes_to_the_next_point_and_a_warm_member_has_no_limit() -> None:
    d = Driver((cache(0), cache(9, started_at=100.0), parent(0)))
    for n in range(1, 300):
        assert len(sends(d.ask(n, key=n))) == 1
        d.end(n, 0, d.router.attempts[n, 0].cache, R.OK, True, fill_outcome=api.FillOutcome.HIT)
    d = Driver((*FLEET, cache(9, started_at=90.0)))
    assert work_sent(d, b"cache9") > 4


# 5: purges ----------------------------------------------------------------------------------------


def test_a_purge_bounds_the_age_until_it_is_done_everywhere() -> None:
    d = Driver()
    d.give(api.Purged(7, 3, 0.2))
    assert d.serve(1).max_age <= 0.2 + 1e-9
    d.now += 3.0
    assert d.serve(2).max_age <= 3.2 + 1e-9
    assert d.serve(3, key=8).max_age == 0.0
    d.now += 2.79
    assert 0 < d.serve(4).max_age <= 5.99 + 1e-9
    d.now += 1.0
    assert d.serve(5).max_age == 0.0


def test_a_purge_of_a_group_bounds_all_its_objects_and_the_latest_purge_counts() -> None:
    d = Driver()
    d.give(api.Purged(None, 3, 5.0))
    d.give(api.Purged(7, 3, 1.0))
    d.give(api.Purged(7, 3, 2.0))
    assert d.serve(1, key=7).max_age <= 1.0 + 1e-9
    assert 1.0 < d.serve(2, key=8).max_age <= 5.0 + 1e-9
    assert d.serve(3, key=8, group=4).max_age == 0.0


def test_a_purge_just_made_does_not_turn_into_the_default_age() -> None:
    d = Driver()
    d.give(api.Purged(7, 3, 0.0))
    assert 0 < d.serve(1).max_age <= 0.001


def test_a_purge_never_widens_a_fresh_time() -> None:
    request_class = api.RequestClass(0.25, 3.0, fresh_seconds=2.0)
    d = Driver(classes=(request_class,))
    d.give(api.Purged(7, 3, 5.0))
    assert d.serve(1).max_age <= 2.0


def test_plain_looks_go_to_the_origin_only() -> None:
    d = Driver((ORIGIN_MEMBER,))
    d.give(api.Purged(7, 3, 0.1))
    assert d.ask(1)[0] == api.Lookup(1, b"origin")


def test_a_draining_origin_is_neither_asked_nor_named() -> None:
    """Found by the odd events: the origin was used whatever its state."""
    d = Driver((cache(0), ORIGIN_MEMBER))
    d.change(api.Endpoint(b"origin", ORIGIN_MEMBER.kind, 0, api.EndpointState.DRAINING))
    sent = get(d.ask(1))
    assert (sent.endpoint, sent.source) == (b"cache0", b"cache0")  # for a copy that it may hold, and no more
    assert len(finals(d.end(1, 0, b"cache0", R.MISS))) == 1 and len(finals(d.ask(2, request_class=3))) == 1
