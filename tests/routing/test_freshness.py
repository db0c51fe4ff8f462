"""Purges limit the age of copies until all endpoints have dropped older ones."""

from __future__ import annotations

from tests.support.routing import ORIGIN_ENDPOINT, Driver
from zincladder.routing import interface as api


def test_a_purge_limits_the_age_until_all_endpoints_have_dropped_older_copies() -> None:
    driver = Driver()
    driver.handle(api.Purged(7, 3, 0.2))
    assert driver.serve(1).max_age <= 0.2 + 1e-9
    driver.now += 3.0
    assert driver.serve(2).max_age <= 3.2 + 1e-9
    assert driver.serve(3, key=8).max_age == 0.0
    driver.now += 2.79
    assert 0 < driver.serve(4).max_age <= 5.99 + 1e-9
    driver.now += 1.0
    assert driver.serve(5).max_age == 0.0


def test_a_group_purge_limits_all_its_objects_and_the_latest_purge_counts() -> None:
    driver = Driver()
    driver.handle(api.Purged(None, 3, 5.0))
    driver.handle(api.Purged(7, 3, 1.0))
    driver.handle(api.Purged(7, 3, 2.0))
    assert driver.serve(1, key=7).max_age <= 1.0 + 1e-9
    assert 1.0 < driver.serve(2, key=8).max_age <= 5.0 + 1e-9
    assert driver.serve(3, key=8, group=4).max_age == 0.0


def test_a_purge_at_this_moment_does_not_give_the_default_age_of_0() -> None:
    driver = Driver()
    driver.handle(api.Purged(7, 3, 0.0))
    assert 0 < driver.serve(1).max_age <= 0.001


def test_a_purge_never_extends_the_fresh_time() -> None:
    request_class = api.RequestClass(0.25, 3.0, fresh_seconds=2.0)
    driver = Driver(classes=(request_class,))
    driver.handle(api.Purged(7, 3, 5.0))
    assert driver.serve(1).max_age <= 2.0


def test_with_only_the_origin_a_request_is_looked_up_there_even_after_a_purge() -> None:
    driver = Driver((ORIGIN_ENDPOINT,))
    driver.handle(api.Purged(7, 3, 0.1))
    assert driver.request(1)[0] == api.Lookup(1, b"origin")
