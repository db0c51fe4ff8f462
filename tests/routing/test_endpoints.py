"""The endpoint list: endpoints that drain, leave or return, and unusual updates."""

from __future__ import annotations

from tests.support.routing import (
    FLEET,
    ORIGIN_ENDPOINT,
    Driver,
    attempts_in,
    cache,
    final_answers,
    only_fetch,
    parent,
)
from zincladder.routing import interface as api

Outcome = api.AttemptOutcome


def test_draining_or_gone_endpoints_get_no_requests_and_are_no_fill_sources() -> None:
    for state in (api.EndpointState.DRAINING, api.EndpointState.GONE):
        driver = Driver()
        driver.update_endpoints(cache(1, state=state), parent(1, state=state))
        for n in range(1, 300):
            sent = driver.serve(n, key=n)
            assert sent.endpoint != b"cache1" and sent.source != b"paren1"


def test_an_endpoint_missing_from_a_full_list_is_gone() -> None:
    driver = Driver()
    driver.update_list(*(m for m in FLEET if m.id != b"cache1"))
    assert all(driver.serve(n, key=n).endpoint != b"cache1" for n in range(1, 200))


def test_an_endpoint_that_is_ready_again_after_draining_gets_requests() -> None:
    driver = Driver()
    driver.update_endpoints(cache(1, state=api.EndpointState.DRAINING))
    driver.update_endpoints(cache(1))
    assert any(driver.serve(n, key=n).endpoint == b"cache1" for n in range(1, 200))


def test_a_draining_origin_is_neither_asked_nor_named_as_a_source() -> None:
    """The origin is skipped like any other endpoint that is not ready."""
    driver = Driver((cache(0), ORIGIN_ENDPOINT))
    driver.update_endpoints(api.Endpoint(b"origin", ORIGIN_ENDPOINT.kind, 0, api.EndpointState.DRAINING))
    sent = only_fetch(driver.request(1))
    # The cache may have a copy, but nothing is filled.
    assert (sent.endpoint, sent.source) == (b"cache0", b"cache0")
    assert (
        len(final_answers(driver.end_attempt(1, 0, b"cache0", Outcome.MISS))) == 1
        and len(final_answers(driver.request(2, request_class=3))) == 1
    )


def test_empty_duplicate_failed_and_unknown_updates_are_accepted() -> None:
    driver = Driver()
    driver.update_list()
    assert len(final_answers(driver.request(1))) == 1
    driver.update_list(*FLEET, *FLEET)
    driver.update_list(kind=api.UpdateKind.FAILED)
    driver.update_endpoints(cache(77, state=api.EndpointState.GONE))
    assert len(attempts_in(driver.request(2))) == 1
    driver.end_attempt(2, 5, b"nobody", Outcome.ERROR)
    assert len(driver.router.pending) == 1


def test_a_cached_list_is_used_and_the_router_subscribes_if_it_must() -> None:
    driver = Driver((), must_subscribe=True)
    assert driver.update_list(*FLEET, kind=api.UpdateKind.CACHED) == [api.Subscribe()]
    assert driver.update_list(kind=api.UpdateKind.FAILED) == [api.Subscribe()]
    assert len(attempts_in(driver.request(1))) == 1
