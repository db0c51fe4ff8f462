"""Settings and endpoints for tests of the router, and a driver that passes events to it."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from zincladder.routing import interface as api
from zincladder.routing.endpoints import EndpointTable
from zincladder.routing.ring import ring_position
from zincladder.routing.router import Router
from zincladder.routing.state import RouterState

CACHE, PARENT, ORIGIN = 0, 1, 2
IDEMPOTENT = api.RequestClass(
    latency_objective=0.5, timeout=5.0, objective_per_transfer=2.0, priority_weight=2.0
)
FRESH = api.RequestClass(latency_objective=0.25, timeout=3.0, objective_per_transfer=2.0, fresh_seconds=20.0)
WITH_KEY = api.RequestClass(
    latency_objective=0.8,
    timeout=3.0,
    idempotency=api.Idempotency.WITH_KEY,
    deduplication_window=2.0,
    uncacheable=True,
)
NOT_IDEMPOTENT = api.RequestClass(
    latency_objective=0.8, timeout=3.0, idempotency=api.Idempotency.NONE, uncacheable=True
)
SLOW_START = api.SlowStart(initial_share=0.25, duration=10.0, overload_factor=2.0, overload_seconds=1.0)


def settings(**changes: Any) -> api.Settings:
    """Returns the settings of a location that has two of four routers.

    They permit every optional action except hedged requests and health checks.
    """
    values: dict[str, Any] = {
        "classes": (IDEMPOTENT, FRESH, WITH_KEY, NOT_IDEMPOTENT),
        "zone": 1,
        "routers_by_zone": (0, 2, 2),
        "routers": 4,
        "parent_kind": PARENT,
        "origin_kind": ORIGIN,
        "client_kb_per_s": 1000.0,
        "cache_slow_start": SLOW_START,
        "parent_slow_start": SLOW_START,
        "drain_grace": 0.5,
        "purge_grace": 0.5,
        "purge_done": 6.0,
        "max_attempts": 6,
        "may_cancel": True,
        "retry_after": True,
        "max_retry_after": 0.5,
        "may_bypass_caches": True,
        "coalesces_fills": True,
        "peer_fill": api.PeerFill.LOCATION,
        "weights_known": True,
    }
    return api.Settings(**{**values, **changes})


def cache(n: int, **changes: Any) -> api.Endpoint:
    """Returns cache n in the router's location."""
    return api.Endpoint(**{"id": b"cache%d" % n, "kind": CACHE, "zone": 1, "weight": 8.0, **changes})


def parent(n: int, **changes: Any) -> api.Endpoint:
    """Returns parent n, in zone 0."""
    return api.Endpoint(**{"id": b"paren%d" % n, "kind": PARENT, "zone": 0, "weight": 40.0, **changes})


ORIGIN_ENDPOINT = api.Endpoint(b"origin", ORIGIN, 0)
FLEET = (*(cache(n) for n in range(4)), *(parent(n) for n in range(3)), ORIGIN_ENDPOINT)


class Driver:
    """A router and its clock, with a method for each common event."""

    def __init__(self, endpoints: Iterable[api.Endpoint] = FLEET, seed: int = 1, **changes: Any) -> None:
        self.router = Router(settings(**changes), seed)
        self.now = 100.0
        self.update_list(*endpoints)

    @property
    def state(self) -> RouterState:
        return self.router.state

    @property
    def endpoints(self) -> EndpointTable:
        return self.router.state.endpoints

    def handle(self, event: api.Event) -> list[api.Action]:
        return self.router.handle(event, self.now)

    def update_list(
        self, *endpoints: api.Endpoint, kind: api.UpdateKind = api.UpdateKind.FULL
    ) -> list[api.Action]:
        return self.handle(api.EndpointUpdate(kind, 1, tuple(endpoints)))

    def update_endpoints(self, *endpoints: api.Endpoint) -> list[api.Action]:
        return self.update_list(*endpoints, kind=api.UpdateKind.DELTA)

    def request(
        self, request_id: int, key: int = 7, request_class: int = 0, kb: float = 100.0, **more: Any
    ) -> list[api.Action]:
        deadline = more.pop("deadline", self.now + 3.0)
        group = more.pop("group", 3)
        return self.handle(
            api.Request(request_id, key, group, more.pop("part", 0), request_class, kb, deadline, **more)
        )

    def end_attempt(
        self,
        request: int,
        attempt: int,
        endpoint: bytes,
        outcome: api.AttemptOutcome,
        closed: bool = False,
        **more: Any,
    ) -> list[api.Action]:
        return self.handle(api.AttemptEnded(request, attempt, endpoint, outcome, 0.1, closed, **more))

    def serve(self, request: int, key: int = 7, **more: Any) -> api.Fetch:
        """Sends a request, answers its only attempt with a hit, and returns that attempt."""
        sent = only_fetch(self.request(request, key, **more))
        self.end_attempt(
            request, 0, sent.endpoint, api.AttemptOutcome.OK, True, fill_outcome=api.FillOutcome.HIT
        )
        return sent


def only_fetch(actions: list[api.Action]) -> api.Fetch:
    """Returns the Fetch among the actions, of which there must be exactly one."""
    (found,) = [a for a in actions if isinstance(a, api.Fetch)]
    return found


def final_answers(actions: list[api.Action]) -> list[api.Action]:
    """Returns the rejections and failures among the actions."""
    return [a for a in actions if isinstance(a, api.Reject | api.Fail)]


def attempts_in(actions: list[api.Action]) -> list[api.Fetch | api.Lookup]:
    """Returns the attempts among the actions."""
    return [a for a in actions if isinstance(a, api.Fetch | api.Lookup)]


def walk_of(driver: Driver, key: int) -> list[bytes]:
    return list(driver.endpoints.caches.walk(ring_position(key.to_bytes(8, "big"))))


def set_in_flight(driver: Driver, count: int) -> None:
    """Sets the router's count of attempts in flight at each cache."""
    for i in driver.endpoints.caches.ids:
        driver.endpoints.track_in_flight(
            driver.endpoints.stats[i], count - driver.endpoints.stats[i].in_flight
        )


def caches_asked(driver: Driver, start: int = 5000, count: int = 300) -> set[bytes]:
    return {driver.serve(n, key=n).endpoint for n in range(start, start + count)}


WITHOUT_SIZES_AND_WEIGHTS: dict[str, Any] = {
    "weights_known": False,
    "probes": True,
    "load_by_health_check": True,
    "report_names": ("busy", "held"),
}


def driver_without_sizes_and_weights(cores: int = 4) -> Driver:
    """Returns a driver without object sizes and cache weights, after hits of 0.1 s and some load reports."""
    driver = Driver(**WITHOUT_SIZES_AND_WEIGHTS)
    for n in range(1000, 1040):
        driver.serve(n, key=n, kb=0.0)
        driver.handle(api.ProbeEnded(b"cache%d" % (n % 4), api.AttemptOutcome.OK, 0.01, (0.5, cores / 2)))
    return driver


def attempts_while_parents_reject(
    driver: Driver, requests: range, request_class: int = 0
) -> list[api.Fetch | api.Lookup]:
    """Runs the requests while parents reject every attempt and fill and the origin serves.

    Returns all attempts.
    """
    attempts: list[api.Fetch | api.Lookup] = []
    for n in requests:
        actions, attempt = driver.request(n, key=n, request_class=request_class), 0
        while attempts_in(actions):
            (sent,) = attempts_in(actions)
            attempts.append(sent)
            source = getattr(sent, "source", sent.endpoint)
            fill_outcome, outcome = api.FillOutcome.FILLED_VIA_ORIGIN, api.AttemptOutcome.OK
            if source.startswith(b"paren") or sent.endpoint.startswith(b"paren"):
                fill_outcome, outcome = api.FillOutcome.SOURCE_REJECTED, api.AttemptOutcome.REJECTED
            elif source == sent.endpoint and sent.endpoint != b"origin":
                fill_outcome, outcome = api.FillOutcome.NONE, api.AttemptOutcome.MISS
            actions = driver.end_attempt(
                n,
                attempt,
                sent.endpoint,
                outcome,
                outcome is api.AttemptOutcome.OK,
                fill_outcome=fill_outcome,
            )
            attempt += 1
        driver.now += 0.1
    return attempts
