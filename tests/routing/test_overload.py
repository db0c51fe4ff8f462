"""Simulations of many routers before an overloaded origin or parent, and of the load that they add to it."""

from __future__ import annotations

import heapq
import itertools
from dataclasses import dataclass, field
from random import Random

import pytest

from tests.support.routing import FLEET, settings
from zincladder.routing import budgets, fill_throttle
from zincladder.routing import interface as api
from zincladder.routing.ring import ring_position
from zincladder.routing.router import Router

Outcome = api.AttemptOutcome
Fill = api.FillOutcome


ROUTERS = 40
ORIGIN_FILLS_PER_SECOND = 40.0  # the capacity of the origin
MAX_FILLS = 120  # accepted fills in flight, 3 s of work for the origin; the parents reject further ones
ROUND_TRIP_SECONDS = 0.04  # to the parent and back
CLIENT_TIMEOUT_SECONDS = 3.0


@dataclass
class FleetModel:
    """Routers whose caches lost all copies, with parents and an origin that has a single queue of fills."""

    routers: list[Router]
    now: float = 100.0
    origin_idle_at: float = 100.0  # when the origin will have served all its queued fills
    attempts: int = 0
    requests: int = 0
    rejected: int = 0
    served: int = 0
    on_time: int = 0
    # Scheduled events: time, sequence number, router, event.
    queue: list[tuple[float, int, int, api.Event]] = field(default_factory=list)
    started_at: dict[tuple[int, int], float] = field(default_factory=dict)  # by router and request
    in_flight: dict[tuple[int, int, int], bytes] = field(default_factory=dict)  # by router, request, attempt
    attempt_counts: dict[tuple[int, int], int] = field(default_factory=dict)  # by router and request
    sequence: itertools.count[int] = field(default_factory=itertools.count)

    def schedule(self, delay: float, router: int, event: api.Event) -> None:
        heapq.heappush(self.queue, (self.now + delay, next(self.sequence), router, event))

    def start_request(self, router: int, request: int, key: int) -> None:
        self.requests += 1
        self.started_at[router, request] = self.now
        self.handle_event(
            router, api.Request(request, key, 3, 0, 0, 100.0, self.now + CLIENT_TIMEOUT_SECONDS)
        )

    def handle_event(self, router: int, event: api.Event) -> None:
        if isinstance(event, api.AttemptEnded):
            if self.in_flight.pop((router, event.request, event.attempt), None) is None:
                return  # the attempt was cancelled
            event.latency = self.now - event.latency  # `latency` held the start time of the attempt
            if event.outcome is Outcome.OK:
                self.served += 1
                self.on_time += event.latency <= 0.7
        for action in self.routers[router].handle(event, self.now):
            self.perform(router, action)

    def perform(self, router: int, action: api.Action) -> None:
        match action:
            case api.Fetch() | api.Lookup():
                self.start_attempt(router, action)
            case api.Reject():
                self.rejected += 1
            case api.SetTimer(delay, token):
                self.schedule(delay, router, api.TimerFired(token))
            case api.Cancel(request, attempt):
                endpoint = self.in_flight.get((router, request, attempt), b"")
                self.schedule(
                    0.0, router, api.AttemptEnded(request, attempt, endpoint, Outcome.CANCELLED, self.now)
                )

    def start_attempt(self, router: int, action: api.Fetch | api.Lookup) -> None:
        """Sends an attempt and schedules its end.

        Each object is requested only once, so every fill needs the origin, which also serves fills of
        cancelled attempts.
        """
        self.attempts += 1
        number = self.attempt_counts.get((router, action.request), 0)
        self.attempt_counts[router, action.request] = number + 1
        self.in_flight[router, action.request, number] = action.endpoint
        delay, result, fill_outcome = self.attempt_result(action)
        left = self.started_at[router, action.request] + CLIENT_TIMEOUT_SECONDS - self.now
        if delay > left:
            delay, result, fill_outcome = left, Outcome.TIMED_OUT, Fill.NONE
        closed = result is Outcome.OK
        end = api.AttemptEnded(
            action.request, number, action.endpoint, result, self.now, closed, fill_outcome
        )
        self.schedule(delay, router, end)

    def attempt_result(self, action: api.Fetch | api.Lookup) -> tuple[float, Outcome, Fill]:
        if isinstance(action, api.Fetch) and (action.cached_only or action.source == action.endpoint):
            return ROUND_TRIP_SECONDS, Outcome.MISS, Fill.SOURCE_MISS if action.cached_only else Fill.NONE
        waiting = max(0.0, self.origin_idle_at - self.now) * ORIGIN_FILLS_PER_SECOND
        if waiting >= MAX_FILLS:
            return ROUND_TRIP_SECONDS, Outcome.REJECTED, Fill.SOURCE_REJECTED
        self.origin_idle_at = max(self.origin_idle_at, self.now) + 1 / ORIGIN_FILLS_PER_SECOND
        return ROUND_TRIP_SECONDS + self.origin_idle_at - self.now, Outcome.OK, Fill.FILLED_VIA_ORIGIN

    def run(self, until: float) -> None:
        while self.queue and self.queue[0][0] <= until:
            self.now, _, router, event = heapq.heappop(self.queue)
            self.handle_event(router, event)
        self.now = until


def simulate(load: float, seconds: float, seed: int = 1) -> FleetModel:
    """Sends requests at `load` times the capacity of the origin, and runs until all have ended."""
    fleet = FleetModel([Router(settings(), seed * 1000 + n) for n in range(ROUTERS)])
    for n in range(ROUTERS):
        fleet.handle_event(n, api.EndpointUpdate(api.UpdateKind.FULL, 1, FLEET))
    random, request = Random(seed), itertools.count(1)
    end = fleet.now + seconds
    while fleet.now < end:
        fleet.run(fleet.now + random.expovariate(load * ORIGIN_FILLS_PER_SECOND))
        number = next(request)
        fleet.start_request(random.randrange(ROUTERS), number, key=1000 + number)
    fleet.run(end + 2 * CLIENT_TIMEOUT_SECONDS)
    assert fleet.served + fleet.rejected == fleet.requests  # each request got exactly one answer
    return fleet


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_routers_add_no_load_to_an_overloaded_origin_and_still_serve_on_time(seed: int) -> None:
    fleet = simulate(load=1.6, seconds=20.0, seed=seed)
    possible = 20.0 * ORIGIN_FILLS_PER_SECOND
    assert fleet.attempts < 1.1 * fleet.requests
    assert fleet.on_time > 0.6 * possible


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_without_retry_budget_and_fill_throttles_the_overload_is_sustained(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    monkeypatch.setattr(budgets.RetryBudget, "charge", lambda self, last: True)
    monkeypatch.setattr(fill_throttle.FillThrottle, "admitted_share", lambda self, now: 1.0)
    fleet = simulate(load=1.6, seconds=20.0, seed=seed)
    assert fleet.attempts > 1.5 * fleet.requests
    assert fleet.on_time < 0.15 * 20.0 * ORIGIN_FILLS_PER_SECOND


def test_a_load_below_the_capacity_of_the_origin_is_not_throttled() -> None:
    fleet = simulate(load=0.7, seconds=20.0)
    assert fleet.rejected < 0.01 * fleet.requests and fleet.attempts < 1.01 * fleet.requests


@dataclass
class UnevenFleetModel(FleetModel):
    """A fleet whose parents hold all objects. Each parent has its own link, and one gets most requests."""

    link_idle_at: dict[bytes, float] = field(default_factory=dict)
    LINK_FILLS_PER_SECOND = 30.0  # the capacity of one parent's link

    def attempt_result(self, action: api.Fetch | api.Lookup) -> tuple[float, Outcome, Fill]:
        assert isinstance(action, api.Fetch)
        if action.source not in self.routers[0].state.endpoints.parents.ids:
            return ROUND_TRIP_SECONDS, Outcome.MISS, Fill.NONE
        idle_at = max(self.now, self.link_idle_at.get(action.source, 0.0)) + 1 / self.LINK_FILLS_PER_SECOND
        self.link_idle_at[action.source] = idle_at
        return ROUND_TRIP_SECONDS + idle_at - self.now, Outcome.OK, Fill.FILLED


def simulate_uneven_load(seed: int) -> UnevenFleetModel:
    """Sends three parents two thirds of the load that they can serve, two thirds of it for one parent."""
    fleet = UnevenFleetModel([Router(settings(), seed * 1000 + n) for n in range(ROUTERS)])
    for n in range(ROUTERS):
        fleet.handle_event(n, api.EndpointUpdate(api.UpdateKind.FULL, 1, FLEET))
    random, parents = Random(seed), fleet.routers[0].state.endpoints.parents
    parent_of = {i: next(parents.walk(ring_position(i.to_bytes(8, "big")))) for i in range(300)}
    popular = [i for i, parent in parent_of.items() if parent == parent_of[0]]
    others = [i for i, parent in parent_of.items() if parent != parent_of[0]]
    end = fleet.now + 20.0
    request = itertools.count(1)
    while fleet.now < end:
        fleet.run(fleet.now + random.expovariate(2.0 * fleet.LINK_FILLS_PER_SECOND))
        keys = popular if random.random() < 2 / 3 else others
        fleet.start_request(random.randrange(ROUTERS), next(request), random.choice(keys))
    fleet.run(end + 2 * CLIENT_TIMEOUT_SECONDS)
    assert fleet.served + fleet.rejected == fleet.requests
    return fleet


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_requests_that_one_parent_cannot_serve_go_to_the_others(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    fleet = simulate_uneven_load(seed)
    monkeypatch.setattr(fill_throttle.FillThrottles, "admits", lambda self, source, now, random: True)
    without_throttles = simulate_uneven_load(seed)
    assert fleet.on_time > 0.9 * fleet.requests
    assert without_throttles.on_time < 0.5 * without_throttles.requests
