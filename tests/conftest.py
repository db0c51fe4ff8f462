"""Helpers of the tests: settings, lists and a driver that plays a fleet's answers by hand."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import pytest
import structlog

from zincladder.routing import interface as api
from zincladder.routing.endpoints import EndpointTable
from zincladder.routing.router import Router
from zincladder.routing.state import RouterState

CACHE, PARENT, ORIGIN = 0, 1, 2
SAFE = api.RequestClass(latency_objective=0.5, timeout=5.0, objective_per_transfer=2.0, priority_weight=2.0)
FRESH = api.RequestClass(latency_objective=0.25, timeout=3.0, objective_per_transfer=2.0, fresh_seconds=20.0)
KEYED = api.RequestClass(
    latency_objective=0.8,
    timeout=3.0,
    idempotency=api.Idempotency.WITH_KEY,
    deduplication_window=2.0,
    uncacheable=True,
)
UNSAFE = api.RequestClass(
    latency_objective=0.8, timeout=3.0, idempotency=api.Idempotency.NONE, uncacheable=True
)
COLD = api.SlowStart(initial_share=0.25, duration=10.0, overload_factor=2.0, overload_seconds=1.0)


def settings(**changes: Any) -> api.Settings:
    """A location with two routers out of four, all features allowed."""
    values: dict[str, Any] = {
        "classes": (SAFE, FRESH, KEYED, UNSAFE),
        "zone": 1,
        "routers_by_zone": (0, 2, 2),
        "routers": 4,
        "parent_kind": PARENT,
        "origin_kind": ORIGIN,
        "client_kb_per_s": 1000.0,
        "cache_slow_start": COLD,
        "parent_slow_start": COLD,
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
    """Cache n of the location."""
    return api.Endpoint(**{"id": b"cache%d" % n, "kind": CACHE, "zone": 1, "weight": 8.0, **changes})


def parent(n: int, **changes: Any) -> api.Endpoint:
    """Parent n, at the hub."""
    return api.Endpoint(**{"id": b"paren%d" % n, "kind": PARENT, "zone": 0, "weight": 40.0, **changes})


ORIGIN_MEMBER = api.Endpoint(b"origin", ORIGIN, 0)
FLEET = (*(cache(n) for n in range(4)), *(parent(n) for n in range(3)), ORIGIN_MEMBER)


# As the daemon logs: a traceback drawn in colours takes half a second of the event loop.
structlog.configure(processors=[structlog.processors.format_exc_info, structlog.processors.LogfmtRenderer()])


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    return "asyncio", {"use_uvloop": True}  # as the daemon runs


class Driver:
    """A router, its clock and shorthand for the events."""

    def __init__(self, endpoints: Iterable[api.Endpoint] = FLEET, seed: int = 1, **changes: Any) -> None:
        self.router = Router(settings(**changes), seed)
        self.now = 100.0
        self.listed(*endpoints)

    @property
    def state(self) -> RouterState:
        return self.router.state

    @property
    def endpoints(self) -> EndpointTable:
        return self.router.state.endpoints

    def give(self, event: api.Event) -> list[api.Action]:
        return self.router.handle(event, self.now)

    def listed(
        self, *endpoints: api.Endpoint, kind: api.UpdateKind = api.UpdateKind.FULL
    ) -> list[api.Action]:
        return self.give(api.EndpointUpdate(kind, 1, tuple(endpoints)))

    def change(self, *endpoints: api.Endpoint) -> list[api.Action]:
        return self.listed(*endpoints, kind=api.UpdateKind.DELTA)

    def ask(
        self, request: int, key: int = 7, request_class: int = 0, kb: float = 100.0, **more: Any
    ) -> list[api.Action]:
        deadline = more.pop("deadline", self.now + 3.0)
        group = more.pop("group", 3)
        return self.give(
            api.Request(request, key, group, more.pop("part", 0), request_class, kb, deadline, **more)
        )

    def end(
        self,
        request: int,
        attempt: int,
        endpoint: bytes,
        result: api.AttemptOutcome,
        closed: bool = False,
        **more: Any,
    ) -> list[api.Action]:
        return self.give(api.AttemptEnded(request, attempt, endpoint, result, 0.1, closed, **more))

    def serve(self, request: int, key: int = 7, **more: Any) -> api.Fetch:
        """Asks and answers at once with a hit; gives the attempt that was made."""
        sent = get(self.ask(request, key, **more))
        self.end(request, 0, sent.endpoint, api.AttemptOutcome.OK, True, fill_outcome=api.FillOutcome.HIT)
        return sent


def get(actions: list[api.Action]) -> api.Fetch:
    """The one Get among the actions."""
    (found,) = [a for a in actions if isinstance(a, api.Fetch)]
    return found


def finals(actions: list[api.Action]) -> list[api.Action]:
    """The final answers among the actions."""
    return [a for a in actions if isinstance(a, api.Reject | api.Fail)]


def sends(actions: list[api.Action]) -> list[api.Fetch | api.Lookup]:
    """The attempts among the actions."""
    return [a for a in actions if isinstance(a, api.Fetch | api.Lookup)]
