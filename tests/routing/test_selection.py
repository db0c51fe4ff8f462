"""Selection of the cache and of its fill source: spillover, siblings, bypass."""

from __future__ import annotations

from tests.support.routing import (
    FLEET,
    WITHOUT_SIZES_AND_WEIGHTS,
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


def test_a_hot_object_spills_over_to_the_next_cache_which_fills_from_the_first() -> None:
    driver = Driver()
    fetches = [only_fetch(driver.request(n, key=7)) for n in range(1, 12)]
    first, last = fetches[0], fetches[-1]
    # The first 4 use half of the 8 transfers that the link of the cache carries.
    assert len({sent.endpoint for sent in fetches[:4]}) == 1
    assert last.endpoint != first.endpoint and last.source == first.endpoint
    missed = only_fetch(driver.end_attempt(11, 0, last.endpoint, Outcome.MISS, fill_outcome=Fill.SOURCE_MISS))
    assert missed.endpoint == last.endpoint and missed.source == first.source


def test_objects_do_not_spill_over_if_slow_fills_load_all_caches_equally() -> None:
    driver = Driver()
    walk = walk_of(driver, 7)
    set_in_flight(driver, 6)  # all caches are above the spillover utilization, none is full
    assert only_fetch(driver.request(1, key=7)).endpoint == walk[0]


def test_few_attempts_of_one_router_among_many_cause_no_spillover() -> None:
    # A single attempt, multiplied by the number of routers, would otherwise move objects at random.
    driver = Driver(routers_by_zone=(0, 8, 8), routers=16)
    assert len({only_fetch(driver.request(n, key=7)).endpoint for n in range(1, 5)}) == 1


def test_a_hot_object_spills_over_if_weights_are_not_listed() -> None:
    driver = driver_without_sizes_and_weights()
    caches = [only_fetch(driver.request(n, key=7, kb=0.0)).endpoint for n in range(1, 12)]
    assert len(set(caches[:2])) == 1 and len(set(caches)) > 1
    without_reports = Driver(**WITHOUT_SIZES_AND_WEIGHTS)  # the cores are not known yet: no spillover
    assert len({only_fetch(without_reports.request(n, key=7, kb=0.0)).endpoint for n in range(1, 12)}) == 1


def test_without_caches_requests_go_to_a_parent_if_bypassing_is_allowed() -> None:
    endpoints = (parent(0), parent(1), FLEET[-1])
    sent = only_fetch(Driver(endpoints).request(1))
    assert sent.endpoint.startswith(b"paren") and sent.source == b"origin" and sent.cache_rank == 0
    assert final_answers(Driver(endpoints, may_bypass_caches=False).request(1))


def test_without_parents_all_fills_come_from_the_origin() -> None:
    driver = Driver([m for m in FLEET if not m.id.startswith(b"paren")])
    assert all(driver.serve(n, key=n).source == b"origin" for n in range(1, 50))


def test_copies_are_still_served_if_no_fill_source_is_left() -> None:
    driver = Driver()
    driver.update_endpoints(*(parent(n, state=api.EndpointState.DRAINING) for n in range(3)))
    fetches = [only_fetch(driver.request(n, key=n)) for n in range(1, 20)]
    assert [sent.source for sent in fetches[:3]] == [b"origin"] * 3  # the saved tokens of the origin budget
    unfilled = [sent for sent in fetches if sent.source != b"origin"]
    assert len(unfilled) >= 15 and all(sent.source == sent.endpoint for sent in unfilled)
    assert final_answers(driver.end_attempt(19, 0, fetches[-1].endpoint, Outcome.MISS))


def test_a_restarted_cache_fills_from_the_cache_that_replaced_it() -> None:
    driver = Driver()
    walk = walk_of(driver, 7)
    restarted = int(walk[0][-1:])
    driver.update_endpoints(cache(restarted, started_at=driver.now))
    driver.request(99, key=7)
    driver.now += 1.0  # its initial backlog has drained
    sent = only_fetch(driver.request(1, key=7))
    assert (sent.endpoint, sent.source) == (walk[0], walk[1])
    driver.now += 11.0  # slow start is over, so it fills from a parent
    assert only_fetch(driver.request(2, key=7)).source.startswith(b"paren")


def sibling_fills(driver: Driver, requests: range, sibling_has_copies: bool) -> list[bool]:
    """Returns, for each request that goes to the new cache, whether the cache fills it from a sibling.

    `sibling_has_copies` decides whether the siblings have a copy of every object or of none.
    """
    sibling_asked = []
    for n in requests:
        actions, attempt = driver.request(n, key=n, kb=1.0), 0
        sent = only_fetch(actions)
        from_sibling = sent.source.startswith(b"cache") and sent.source != sent.endpoint
        if sent.endpoint == b"cache1":
            sibling_asked.append(from_sibling)
        if from_sibling and not sibling_has_copies:
            sent, attempt = only_fetch(driver.end_attempt(n, 0, sent.endpoint, Outcome.MISS)), 1
            assert b"cache1" not in driver.router.pending[n].failed_endpoints
        driver.end_attempt(n, attempt, sent.endpoint, Outcome.OK, True, fill_outcome=Fill.FILLED)
        driver.now += 0.001
    return sibling_asked


def first_sibling_fill(driver: Driver, n: int) -> api.Fetch:
    """The first attempt, from request n on, that lets the new cache fill from a sibling."""
    while True:
        sent = only_fetch(driver.request(n, key=n, kb=1.0))
        if sent.endpoint == b"cache1" and sent.source.startswith(b"cache") and sent.source != sent.endpoint:
            return sent
        driver.end_attempt(n, 0, sent.endpoint, Outcome.OK, True, fill_outcome=Fill.FILLED)
        driver.now, n = driver.now + 0.001, n + 1


def test_a_sibling_without_copies_is_asked_less_and_the_new_cache_keeps_its_requests() -> None:
    driver = Driver(fill_faults_reported=False)
    driver.update_endpoints(cache(1, started_at=driver.now - 5))
    first = sibling_fills(driver, range(1, 40), sibling_has_copies=False)
    later = sibling_fills(driver, range(40, 2000), sibling_has_copies=False)
    assert first[0] and len(later) > 100 and sum(later) <= 0.3 * len(later)


def test_a_sibling_that_has_copies_is_asked_every_time() -> None:
    driver = Driver(fill_faults_reported=False)
    driver.update_endpoints(cache(1, started_at=driver.now - 5))
    asked = sibling_fills(driver, range(1, 1000), sibling_has_copies=True)
    assert len(asked) > 50 and all(asked)


def test_a_trial_that_ends_with_a_miss_at_a_sibling_reinstates_the_new_cache() -> None:
    driver = Driver(fill_faults_reported=False)
    driver.update_endpoints(cache(1, started_at=driver.now - 5))
    sent = first_sibling_fill(driver, 1)
    new, sibling = driver.endpoints.stats[b"cache1"], driver.endpoints.stats[sent.source]
    new.is_ejected, sibling.failure_rate = True, 0.5
    (request,) = [n for n, pending in driver.router.pending.items() if pending.in_flight]
    driver.end_attempt(request, 0, sent.endpoint, Outcome.MISS)
    assert not new.is_ejected  # it answered
    assert sibling.failure_rate == 0.5  # the miss shows nothing about the sibling


def test_only_hits_and_misses_change_the_hit_share_of_siblings() -> None:
    for result, expected in (
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
        assert round(driver.state.sibling_hit_share, 2) == expected
