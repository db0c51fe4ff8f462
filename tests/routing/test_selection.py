"""Which cache is asked and from where it fills: spillover, siblings, bypass."""

from __future__ import annotations

from tests.support.routing import (
    FLEET,
    NOT_ANNOUNCED,
    Driver,
    cache,
    driver_without_sizes_and_weights,
    final_answers,
    only_fetch,
    parent,
    set_in_flight,
    walk_of,
)
from zincladder.routing import interface as api

Outcome = api.AttemptOutcome
Fill = api.FillOutcome


def test_a_hot_object_spills_over_to_its_next_cache_and_fills_from_its_own() -> None:
    driver = Driver()
    homes = [only_fetch(driver.request(n, key=7)) for n in range(1, 12)]
    first, last = homes[0], homes[-1]
    assert len({h.endpoint for h in homes[:4]}) == 1  # 4 of 8 transfers
    assert last.endpoint != first.endpoint and last.source == first.endpoint
    missed = only_fetch(driver.end_attempt(11, 0, last.endpoint, Outcome.MISS, fill_outcome=Fill.SOURCE_MISS))
    assert missed.endpoint == last.endpoint and missed.source == first.source


def test_slow_fills_everywhere_do_not_move_objects() -> None:
    driver = Driver()
    walk = walk_of(driver, 7)
    set_in_flight(driver, 6)  # all caches alike are past the spillover utilization, none is full
    assert only_fetch(driver.request(1, key=7)).endpoint == walk[0]


def test_few_attempts_of_one_router_among_many_do_not_move_an_object() -> None:
    # One attempt, times the routers of the location, would move objects by chance.
    driver = Driver(routers_by_zone=(0, 8, 8), routers=16)
    assert len({only_fetch(driver.request(n, key=7)).endpoint for n in range(1, 5)}) == 1


def test_a_hot_object_spills_over_where_weights_are_not_listed() -> None:
    driver = driver_without_sizes_and_weights()
    homes = [only_fetch(driver.request(n, key=7, kb=0.0)).endpoint for n in range(1, 12)]
    assert len(set(homes[:2])) == 1 and len(set(homes)) > 1
    without_reports = Driver(**NOT_ANNOUNCED)  # the cores are not known yet: the ordinary path
    assert len({only_fetch(without_reports.request(n, key=7, kb=0.0)).endpoint for n in range(1, 12)}) == 1


def test_with_all_caches_gone_requests_bypass_them_where_that_is_allowed() -> None:
    endpoints = (parent(0), parent(1), FLEET[-1])
    sent = only_fetch(Driver(endpoints).request(1))
    assert sent.endpoint.startswith(b"paren") and sent.source == b"origin" and sent.cache_rank == 0
    assert final_answers(Driver(endpoints, may_bypass_caches=False).request(1))


def test_without_parents_all_fills_come_from_the_origin() -> None:
    driver = Driver([m for m in FLEET if not m.id.startswith(b"paren")])
    assert all(driver.serve(n, key=n).source == b"origin" for n in range(1, 50))


def test_copies_are_served_though_no_source_is_left() -> None:
    driver = Driver()
    driver.update_endpoints(*(parent(n, state=api.EndpointState.DRAINING) for n in range(3)))
    asked = [only_fetch(driver.request(n, key=n)) for n in range(1, 20)]
    assert [sent.source for sent in asked[:3]] == [b"origin"] * 3  # what the router may fill from it at once
    looks = [sent for sent in asked if sent.source != b"origin"]
    assert len(looks) >= 15 and all(sent.source == sent.endpoint for sent in looks)
    assert final_answers(driver.end_attempt(19, 0, asked[-1].endpoint, Outcome.MISS))


def test_a_restarted_cache_fills_from_the_cache_that_stood_in() -> None:
    driver = Driver()
    walk = walk_of(driver, 7)
    back = int(walk[0][-1:])
    driver.update_endpoints(cache(back, started_at=driver.now))
    driver.request(99, key=7)
    driver.now += 1.0  # its first debt is paid off
    sent = only_fetch(driver.request(1, key=7))
    assert (sent.endpoint, sent.source) == (walk[0], walk[1])
    driver.now += 11.0  # slow start is over: the ordinary path again
    assert only_fetch(driver.request(2, key=7)).source.startswith(b"paren")


def sibling_fills(driver: Driver, requests: range, held: bool) -> list[bool]:
    """Of the requests that go to the new cache: whether its sibling, with all copies or none, was asked."""
    asked = []
    for n in requests:
        actions, attempt = driver.request(n, key=n, kb=1.0), 0
        sent = only_fetch(actions)
        beside = sent.source.startswith(b"cache") and sent.source != sent.endpoint
        if sent.endpoint == b"cache1":
            asked.append(beside)
        if beside and not held:
            sent, attempt = only_fetch(driver.end_attempt(n, 0, sent.endpoint, Outcome.MISS)), 1
            assert b"cache1" not in driver.router.pending[n].failed_endpoints
        driver.end_attempt(n, attempt, sent.endpoint, Outcome.OK, True, fill_outcome=Fill.FILLED)
        driver.now += 0.001
    return asked


def first_sibling_fill(driver: Driver, n: int) -> api.Fetch:
    """The first attempt, from request n on, that asks the new cache to fill from its sibling."""
    while True:
        sent = only_fetch(driver.request(n, key=n, kb=1.0))
        if sent.endpoint == b"cache1" and sent.source.startswith(b"cache") and sent.source != sent.endpoint:
            return sent
        driver.end_attempt(n, 0, sent.endpoint, Outcome.OK, True, fill_outcome=Fill.FILLED)
        driver.now, n = driver.now + 0.001, n + 1


def test_a_sibling_that_has_no_copies_is_asked_less_and_the_new_cache_stays() -> None:
    driver = Driver(fill_faults_reported=False)
    driver.update_endpoints(cache(1, started_at=driver.now - 5))
    first = sibling_fills(driver, range(1, 40), held=False)
    later = sibling_fills(driver, range(40, 2000), held=False)
    assert first[0] and len(later) > 100 and sum(later) <= 0.3 * len(later)


def test_a_sibling_that_has_copies_goes_on_being_asked() -> None:
    driver = Driver(fill_faults_reported=False)
    driver.update_endpoints(cache(1, started_at=driver.now - 5))
    asked = sibling_fills(driver, range(1, 1000), held=True)
    assert len(asked) > 50 and all(asked)


def test_a_trial_that_ends_with_a_siblings_miss_brings_the_new_cache_back() -> None:
    driver = Driver(fill_faults_reported=False)
    driver.update_endpoints(cache(1, started_at=driver.now - 5))
    sent = first_sibling_fill(driver, 1)
    new, sibling = driver.endpoints.stats[b"cache1"], driver.endpoints.stats[sent.source]
    new.is_ejected, sibling.failure_rate = True, 0.5
    (request,) = [n for n, pending in driver.router.pending.items() if pending.in_flight]
    driver.end_attempt(request, 0, sent.endpoint, Outcome.MISS)
    assert not new.is_ejected  # it answered
    assert sibling.failure_rate == 0.5  # of the sibling this proves nothing


def test_only_answers_tell_which_copies_a_sibling_has() -> None:
    for result, near in (
        (Outcome.CANCELLED, 1.0),
        (Outcome.TIMED_OUT, 1.0),
        (Outcome.RESET, 1.0),
        (Outcome.MISS, 0.73),
    ):
        driver = Driver(fill_faults_reported=False)
        driver.update_endpoints(cache(1, started_at=driver.now - 5))
        sent = first_sibling_fill(driver, 1)
        (request,) = [n for n, pending in driver.router.pending.items() if pending.in_flight]
        driver.end_attempt(request, 0, sent.endpoint, result)
        assert round(driver.state.sibling_hit_share, 2) == near
