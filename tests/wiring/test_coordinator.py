"""How events of the coordinator change the parts of a front, and how they are logged."""

from __future__ import annotations

from typing import Any

import pytest
import structlog.testing

from tests.support.routing import settings
from zincladder.core.engine import Core
from zincladder.net.events import EndpointUpdateReceived, PurgeReceived
from zincladder.routing import interface as api
from zincladder.support.rate_limited_log import RateLimitedLog
from zincladder.wiring.coordinator import (
    MAX_LOGGED_ENDPOINTS,
    apply_update,
    log_update,
    min_grace_seconds,
)

ADDRESS = ("192.0.2.1", 9101)
READY, DRAINING, GONE = api.EndpointState.READY, api.EndpointState.DRAINING, api.EndpointState.GONE


class RecordingCaches:
    """Stands in for the pool of cache connections, and records the calls."""

    def __init__(self) -> None:
        self.calls: list[tuple[Any, ...]] = []

    def retain_only(self, endpoints: set[bytes]) -> None:
        self.calls.append(("retain_only", endpoints))

    def forget(self, endpoint: bytes) -> None:
        self.calls.append(("forget", endpoint))

    def set_address(self, endpoint: bytes, address: tuple[str, int]) -> None:
        self.calls.append(("set_address", endpoint, address))


def update(is_full: bool, version: int, **states: api.EndpointState) -> EndpointUpdateReceived:
    endpoints = (api.Endpoint(name.encode(), 0, 1, state) for name, state in states.items())
    return EndpointUpdateReceived(is_full, version, tuple((endpoint, ADDRESS) for endpoint in endpoints))


def test_full_and_delta_updates_reach_the_caches_and_the_core() -> None:
    core, caches = Core(settings(), 1, None), RecordingCaches()  # type: ignore[arg-type]
    apply_update(core, caches, update(True, 1, a=READY, b=DRAINING))  # type: ignore[arg-type]
    assert caches.calls == [
        ("retain_only", {b"a", b"b"}),
        ("set_address", b"a", ADDRESS),
        ("set_address", b"b", ADDRESS),
    ]
    assert {name: e.state for name, e in core.endpoint_list.endpoints.items()} == {
        b"a": READY,
        b"b": DRAINING,
    }
    caches.calls.clear()
    apply_update(core, caches, update(False, 2, a=GONE, c=READY))  # type: ignore[arg-type]
    assert caches.calls == [("forget", b"a"), ("set_address", b"c", ADDRESS)]
    assert set(core.endpoint_list.endpoints) == {b"b", b"c"}


@pytest.mark.parametrize("object_id", [7, None])
def test_a_purge_reaches_the_core_only(object_id: int | None) -> None:
    core, caches = Core(settings(), 1, None), RecordingCaches()  # type: ignore[arg-type]
    events: list[Any] = []
    core.purge = lambda *event: events.append(event)  # type: ignore[method-assign]
    apply_update(core, caches, PurgeReceived(object_id, 3, 100.0))  # type: ignore[arg-type]
    assert events == [(object_id, 3, 100.0)] and not caches.calls


def test_a_log_line_names_a_limited_number_of_endpoints_of_each_state_and_counts_all() -> None:
    states = {f"s{n:03d}": DRAINING for n in range(MAX_LOGGED_ENDPOINTS + 5)}
    with structlog.testing.capture_logs() as lines:
        log_update(update(False, 4, up=READY, **states), RateLimitedLog())
    (line,) = lines
    assert (line["event"], line["version"], line["endpoints"]) == ("endpoint list changed", 4, 22)
    assert line["ready"] == ["up"] and line["gone"] == []
    assert line["draining"] == sorted(states)[:MAX_LOGGED_ENDPOINTS]


def test_the_least_grace_is_the_shorter_one_of_drains_and_purges() -> None:
    assert min_grace_seconds(settings(drain_grace=0.5, purge_grace=0.25)) == 0.25
    assert min_grace_seconds(settings(drain_grace=0.5, purge_grace=2.0)) == 0.5
