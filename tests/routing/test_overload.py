"""Many routers before one origin that cannot serve them all: what they add to its load."""

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
ORIGIN_RATE = 40.0  # fills a second that the origin can do
MAX_FILLS = 120  # fills that the parents have in flight: 3 s of the origin's work; past them they reject
ROUND_TRIP = 0.04  # seconds to the parent and back
CLIENT_TIMEOUT = 3.0  # seconds that a client waits


@dataclass
class FleetModel:
    """Routers whose caches lost all copies, before parents and an origin with one queue for all."""

    routers: list[Router]
    now: float = 100.0
    free_at: float = 100.0  # when the origin has done all that was asked of it
    attempts: int = 0
    asked: int = 0
    refused: int = 0
    served: int = 0
    in_time: int = 0
    queue: list[tuple[float, int, int, api.Event]] = field(default_factory=list)
    started: dict[tuple[int, int], float] = field(default_factory=dict)
    out: dict[tuple[int, int, int], bytes] = field(default_factory=dict)
    sent: dict[tuple[int, int], int] = field(default_factory=dict)
    order: itertools.count[int] = field(default_factory=itertools.count)

    def at(self, delay: float, router: int, event: api.Event) -> None:
        heapq.heappush(self.queue, (self.now + delay, next(self.order), router, event))

    def ask(self, router: int, request: int, key: int) -> None:
        self.asked += 1
        self.started[router, request] = self.now
        self.give(router, api.Request(request, key, 3, 0, 0, 100.0, self.now + CLIENT_TIMEOUT))

    def give(self, router: int, event: api.Event) -> None:
        if isinstance(event, api.AttemptEnded):
            if self.out.pop((router, event.request, event.attempt), None) is None:
                return  # it was cancelled
            event.latency = self.now - event.latency  # held the time of its start until now
            if event.outcome is Outcome.OK:
                self.served += 1
                self.in_time += event.latency <= 0.7
        for action in self.routers[router].handle(event, self.now):
            self.act(router, action)

    def act(self, router: int, action: api.Action) -> None:
        match action:
            case api.Fetch() | api.Lookup():
                self.send(router, action)
            case api.Reject():
                self.refused += 1
            case api.SetTimer(delay, token):
                self.at(delay, router, api.TimerFired(token))
            case api.Cancel(request, attempt):
                endpoint = self.out.get((router, request, attempt), b"")
                self.at(
                    0.0, router, api.AttemptEnded(request, attempt, endpoint, Outcome.CANCELLED, self.now)
                )

    def send(self, router: int, action: api.Fetch | api.Lookup) -> None:
        """Each object is wanted once, so each fill needs the origin, which also does what was abandoned."""
        self.attempts += 1
        number = self.sent.get((router, action.request), 0)
        self.sent[router, action.request] = number + 1
        self.out[router, action.request, number] = action.endpoint
        delay, result, note = self.answer(action)
        left = self.started[router, action.request] + CLIENT_TIMEOUT - self.now
        if delay > left:
            delay, result, note = left, Outcome.TIMED_OUT, Fill.NONE
        closed = result is Outcome.OK
        end = api.AttemptEnded(action.request, number, action.endpoint, result, self.now, closed, note)
        self.at(delay, router, end)

    def answer(self, action: api.Fetch | api.Lookup) -> tuple[float, Outcome, Fill]:
        if isinstance(action, api.Fetch) and (action.cached_only or action.source == action.endpoint):
            return ROUND_TRIP, Outcome.MISS, Fill.SOURCE_MISS if action.cached_only else Fill.NONE
        waiting = max(0.0, self.free_at - self.now) * ORIGIN_RATE
        if waiting >= MAX_FILLS:
            return ROUND_TRIP, Outcome.REJECTED, Fill.SOURCE_REJECTED
        self.free_at = max(self.free_at, self.now) + 1 / ORIGIN_RATE
        return ROUND_TRIP + self.free_at - self.now, Outcome.OK, Fill.FILLED_VIA_ORIGIN

    def run(self, until: float) -> None:
        while self.queue and self.queue[0][0] <= until:
            self.now, _, router, event = heapq.heappop(self.queue)
            self.give(router, event)
        self.now = until


def play(load: float, seconds: float, seed: int = 1) -> FleetModel:
    """Requests at `load` times what the origin can do, then all that is open is played to its end."""
    fleet = FleetModel([Router(settings(), seed * 1000 + n) for n in range(ROUTERS)])
    for n in range(ROUTERS):
        fleet.give(n, api.EndpointUpdate(api.UpdateKind.FULL, 1, FLEET))
    random, request = Random(seed), itertools.count(1)
    end = fleet.now + seconds
    while fleet.now < end:
        fleet.run(fleet.now + random.expovariate(load * ORIGIN_RATE))
        number = next(request)
        fleet.ask(random.randrange(ROUTERS), number, key=1000 + number)
    fleet.run(end + 2 * CLIENT_TIMEOUT)
    assert fleet.served + fleet.refused == fleet.asked  # each has its one answer
    return fleet


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_routers_before_an_overloaded_origin_add_no_load_and_serve_in_time(seed: int) -> None:
    fleet = play(load=1.6, seconds=20.0, seed=seed)
    possible = 20.0 * ORIGIN_RATE
    assert fleet.attempts < 1.1 * fleet.asked
    assert fleet.in_time > 0.6 * possible


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_without_the_limits_the_same_routers_keep_the_overload_up(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    monkeypatch.setattr(budgets.RetryBudget, "charge", lambda self, last: True)
    monkeypatch.setattr(fill_throttle.FillThrottle, "admitted_share", lambda self, now: 1.0)
    fleet = play(load=1.6, seconds=20.0, seed=seed)
    assert fleet.attempts > 1.5 * fleet.asked
    assert fleet.in_time < 0.15 * 20.0 * ORIGIN_RATE


def test_a_load_that_the_origin_bears_is_not_throttled() -> None:
    fleet = play(load=0.7, seconds=20.0)
    assert fleet.refused < 0.01 * fleet.asked and fleet.attempts < 1.01 * fleet.asked


@dataclass
class UnevenFleetModel(FleetModel):
    """Parents that hold all, each with a link of its own, one of which is asked for most of the objects."""

    link_free_at: dict[bytes, float] = field(default_factory=dict)
    LINK_RATE = 30.0  # fills a second that one parent's link bears

    def answer(self, action: api.Fetch | api.Lookup) -> tuple[float, Outcome, Fill]:
        assert isinstance(action, api.Fetch)
        if action.source not in self.routers[0].state.endpoints.parents.ids:
            return ROUND_TRIP, Outcome.MISS, Fill.NONE
        free_at = max(self.now, self.link_free_at.get(action.source, 0.0)) + 1 / self.LINK_RATE
        self.link_free_at[action.source] = free_at
        return ROUND_TRIP + free_at - self.now, Outcome.OK, Fill.FILLED


def play_uneven(seed: int) -> UnevenFleetModel:
    """Two thirds of what three parents can send is asked for, and two thirds of that of one of them."""
    fleet = UnevenFleetModel([Router(settings(), seed * 1000 + n) for n in range(ROUTERS)])
    for n in range(ROUTERS):
        fleet.give(n, api.EndpointUpdate(api.UpdateKind.FULL, 1, FLEET))
    random, parents = Random(seed), fleet.routers[0].state.endpoints.parents
    homes = {i: next(parents.walk(ring_position(i.to_bytes(8, "big")))) for i in range(300)}
    popular = [i for i, home in homes.items() if home == homes[0]]
    others = [i for i, home in homes.items() if home != homes[0]]
    end = fleet.now + 20.0
    request = itertools.count(1)
    while fleet.now < end:
        fleet.run(fleet.now + random.expovariate(2.0 * fleet.LINK_RATE))
        keys = popular if random.random() < 2 / 3 else others
        fleet.ask(random.randrange(ROUTERS), next(request), random.choice(keys))
    fleet.run(end + 2 * CLIENT_TIMEOUT)
    assert fleet.served + fleet.refused == fleet.asked
    return fleet


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_what_one_parent_cannot_send_goes_to_the_others(monkeypatch: pytest.MonkeyPatch, seed: int) -> None:
    fleet = play_uneven(seed)
    monkeypatch.setattr(fill_throttle.FillThrottles, "stays_at", lambda self, source, now, random: True)
    kept = play_uneven(seed)
    assert fleet.in_time > 0.9 * fleet.asked
    assert kept.in_time < 0.5 * kept.asked
