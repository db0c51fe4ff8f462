"""Consistent hashing: rings are stable, the same at all routers, and nearly even."""

from __future__ import annotations

from collections import Counter

from tests.support.routing import FLEET, ORIGIN_ENDPOINT, Driver, cache, parent
from zincladder.routing.ring import Ring, ring_position

KEYS = range(3000)


def cache_of_each(driver: Driver) -> dict[int, bytes]:
    return {key: driver.serve(key + 1, key).endpoint for key in KEYS}


def source_of_each(driver: Driver) -> dict[int, bytes]:
    return {key: driver.serve(key + 1, key).source for key in KEYS}


def test_all_routers_have_the_same_rings_whatever_the_order_of_the_list() -> None:
    assert cache_of_each(Driver(seed=1)) == cache_of_each(Driver(reversed(FLEET), seed=99))


def test_parts_are_spread_over_the_caches_and_all_fill_from_one_parent() -> None:
    # The parts of a hot object together would exceed the link of one cache.
    driver = Driver()
    sent = {n: driver.serve(n, key=5, part=n) for n in range(1, 20)}
    again = {n: Driver(seed=9).serve(n, key=5, part=n) for n in range(1, 20)}
    assert sent == again
    assert len({s.endpoint for s in sent.values()}) == 4
    assert len({s.source for s in sent.values()}) == 1


def test_the_parent_of_an_object_is_the_same_for_all_locations() -> None:
    elsewhere = Driver((cache(8, zone=2), *FLEET), zone=2)
    assert source_of_each(Driver()) == source_of_each(elsewhere)


def test_a_lost_cache_moves_only_its_own_objects() -> None:
    before = cache_of_each(Driver())
    driver = Driver()
    driver.update_endpoints(cache(2, state=0))
    after = cache_of_each(driver)
    assert b"cache2" in before.values() and b"cache2" not in after.values()
    assert all(after[k] == home for k, home in before.items() if home != b"cache2")


def test_a_new_cache_moves_only_the_objects_that_it_takes_over() -> None:
    before, driver = cache_of_each(Driver()), Driver()
    driver.update_endpoints(cache(9))
    after = cache_of_each(driver)
    moved = {k for k in KEYS if before[k] != after[k]}
    assert moved and {after[k] for k in moved} == {b"cache9"}
    assert len(moved) < 0.3 * len(KEYS)


def test_a_lost_parent_moves_only_its_own_objects() -> None:
    before, driver = source_of_each(Driver()), Driver()
    driver.update_endpoints(parent(0, state=0))
    after = source_of_each(driver)
    assert all(after[k] == s for k, s in before.items() if s != b"paren0")
    assert b"paren0" not in after.values()


def test_shares_are_nearly_even_at_realistic_numbers_of_caches() -> None:
    for size in (3, 5, 9):
        counts = Counter(cache_of_each(Driver((*(cache(n) for n in range(size)), parent(0)))).values())
        even_share = len(KEYS) / size
        assert len(counts) == size
        assert all(0.7 * even_share < n < 1.3 * even_share for n in counts.values()), counts


def test_shares_are_proportional_to_weights_only_if_weights_are_known() -> None:
    endpoints = (cache(0, weight=5.0), cache(1, weight=10.0), parent(0))
    big = Counter(cache_of_each(Driver(endpoints)).values())[b"cache1"] / len(KEYS)
    even = Counter(cache_of_each(Driver(endpoints, weights_known=False)).values())[b"cache1"] / len(KEYS)
    assert 0.58 < big < 0.75
    assert 0.4 < even < 0.6


def test_an_object_belongs_to_the_virtual_node_at_or_before_its_position() -> None:
    ring = Ring({b"a": 4, b"b": 4})
    for key in range(200):
        position = ring_position(key.to_bytes(8, "big"))
        below = [p for p in ring.positions if p <= position]
        expected = ring.endpoint_ids[ring.positions.index(max(below or ring.positions))]
        assert next(ring.walk(position)) == expected


def test_a_ring_is_not_rebuilt_while_its_endpoints_stay_the_same() -> None:
    driver = Driver()
    ring = driver.endpoints.caches
    driver.update_endpoints(cache(1, weight=9.0), cache(7, zone=2))
    assert driver.endpoints.caches is ring


def test_without_parents_the_fill_source_is_the_origin() -> None:
    driver = Driver((cache(0), ORIGIN_ENDPOINT))
    assert driver.serve(1).source == b"origin"


def test_all_cacheable_fills_have_the_same_cache_rank() -> None:
    driver = Driver()
    assert {driver.serve(n, key=n, request_class=n % 2, kb=10.0 * n).cache_rank for n in range(1, 60)} == {1}
