"""Seeded random sequences of unusual but valid events; every action is checked against the rules."""

from __future__ import annotations

import random

import pytest

from tests.support.routing import CACHE, FLEET, ORIGIN, PARENT, Driver, cache, parent, settings
from zincladder.routing import interface as api

Outcome = api.AttemptOutcome
Fill = api.FillOutcome


NEVER_RAN = {Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT, Outcome.MISS}


class RuleChecker:
    """Generates random events and checks every action against a model of the requests and endpoints."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.settings = settings(report_names=("link",))
        self.driver = Driver((), seed=seed, report_names=("link",))
        self.open: dict[int, api.Request] = {}
        self.finished: set[int] = set()
        # By request and attempt number: the action and its time.
        self.in_flight: dict[tuple[int, int], tuple[api.Fetch | api.Lookup, float]] = {}
        self.attempt_counts: dict[int, int] = {}
        self.may_have_run: dict[int, list[float]] = {}
        self.timers: list[tuple[float, int]] = []
        self.listed: dict[bytes, api.Endpoint] = {}
        self.purged: dict[tuple[int | None, int], float] = {}
        # By endpoint in slow start: time and transfer seconds (0 for caches) of each attempt that uses it.
        self.slow_start_work: dict[bytes, list[tuple[float, float]]] = {}
        self.actions: list[api.Action] = []
        self.next_id = 0

    def handle_event(self, event: api.Event) -> None:
        for action in self.driver.handle(event):
            self.actions.append(action)
            self.check(action)

    def check(self, action: api.Action) -> None:
        now = self.driver.now
        if isinstance(action, api.SetTimer):
            assert action.delay >= 0
            self.timers.append((now + action.delay, action.token))
        elif isinstance(action, api.Reject | api.Fail):
            request = self.open.pop(action.request)  # KeyError on a second final answer
            self.finished.add(request.id)
            request_class = self.settings.classes[request.request_class]
            if isinstance(action, api.Reject) and request_class.idempotency is api.Idempotency.NONE:
                assert not self.may_have_run.get(request.id)
        elif isinstance(action, api.Cancel):
            assert action.attempt < self.attempt_counts[action.request]
        elif isinstance(action, api.Fetch | api.Lookup):
            self.check_attempt(action, now)

    def check_attempt(self, action: api.Fetch | api.Lookup, now: float) -> None:
        request = self.open[action.request]  # KeyError if the request is finished
        request_class = self.settings.classes[request.request_class]
        assert not [n for r, n in self.in_flight if r == request.id]  # one attempt at a time
        may_have_run = self.may_have_run.get(request.id, [])
        if request_class.idempotency is api.Idempotency.NONE:
            assert not may_have_run
        if request_class.idempotency is api.Idempotency.WITH_KEY and may_have_run:
            assert now <= min(may_have_run) + request_class.deduplication_window
        source = action.source if isinstance(action, api.Fetch) else action.endpoint
        for endpoint in {action.endpoint, source}:
            listed = self.listed[endpoint]
            assert listed.state is api.EndpointState.READY
            started = listed.started_at
            if started > 0 and now - started < 10.0 and listed.kind in (CACHE, PARENT):
                sent = self.slow_start_work.setdefault(endpoint, [])
                work = request.size_kb / 1000.0
                sent.append((now, work if listed.kind == PARENT else 0.0))
                capacity_share = 0.25 + 0.75 * (now - started) / 10.0
                window = sum(w for at, w in sent if at > max(now - 1.0, started))
                assert window <= 2.0 * capacity_share * listed.weight / 4
        purged_at = max(
            (self.purged.get(k, -1e9) for k in ((request.object, -1), (None, request.group))), default=-1e9
        )
        if now - purged_at <= 6.0 and self.listed[action.endpoint].kind != ORIGIN:
            assert isinstance(action, api.Fetch) and 0 < action.max_age <= max(0.001, now - purged_at + 1e-6)
        number = self.attempt_counts.get(request.id, 0)
        self.attempt_counts[request.id] = number + 1
        assert number < 6
        self.in_flight[request.id, number] = (action, now)

    def step(self) -> None:
        self.driver.now += self.random.choice((0.0, 0.001, 0.01, 0.1, 0.3))
        pick = self.random.random()
        if pick < 0.3:
            self.next_id += 1
            kb = self.random.choice((10.0, 100.0, 900.0))
            deadline = self.driver.now + self.random.choice((0.2, 2.0, 5.0))
            key, request_class = self.random.randrange(40), self.random.randrange(4)
            request = api.Request(self.next_id, key, key % 4, 0, request_class, kb, deadline)
            self.open[self.next_id] = request
            self.handle_event(request)
        elif pick < 0.65 and self.in_flight:
            self.end_attempt(self.random.choice(sorted(self.in_flight)))
        elif pick < 0.8:
            due_now = sorted(t for t in self.timers if t[0] <= self.driver.now)
            if due_now:
                self.timers.remove(due_now[0])
                self.handle_event(api.TimerFired(due_now[0][1]))
            else:
                self.handle_event(api.TimerFired(10**9))
        elif pick < 0.85 and self.open:
            disconnected = self.random.choice(sorted(self.open))
            del self.open[disconnected]
            self.finished.add(disconnected)
            self.handle_event(api.ClientDisconnected(disconnected))
        elif pick < 0.9:
            key = self.random.randrange(40)
            whole_group = self.random.random() < 0.3
            age = self.random.choice((0.0, 0.2, 3.0))
            purge = (None, key % 4) if whole_group else (key, -1)
            self.purged[purge] = max(self.purged.get(purge, -1e9), self.driver.now - age)
            self.handle_event(api.Purged(None if whole_group else key, key % 4, age))
        else:
            self.update_list()

    def end_attempt(self, key: tuple[int, int]) -> None:
        action, sent_at = self.in_flight.pop(key)
        result = self.random.choice([r for r in Outcome if r is not Outcome.NOT_SENT])
        closed = key[0] in self.finished
        if result is Outcome.OK and key[0] in self.open:
            closed = True
            del self.open[key[0]]
            self.finished.add(key[0])
        if result not in NEVER_RAN:
            self.may_have_run.setdefault(key[0], []).append(sent_at)
        fill_outcome = self.random.choice(list(Fill))
        report = self.random.choice(((), (0.5,), (7.0,), (1.0, 2.0)))
        self.handle_event(
            api.AttemptEnded(*key, action.endpoint, result, 0.1, closed, fill_outcome, 0.0, report)
        )

    def update_list(self) -> None:
        pool = (*FLEET, cache(9), parent(9))
        state = self.random.choice(list(api.EndpointState))
        started = self.random.choice((0.0, self.driver.now))
        old = self.random.choice(pool)
        changed = api.Endpoint(old.id, old.kind, old.zone, state, old.weight, old.cell, started)
        kind = self.random.choice((api.UpdateKind.DELTA,) * 6 + (api.UpdateKind.FULL, api.UpdateKind.FAILED))
        endpoints = {api.UpdateKind.DELTA: (changed,), api.UpdateKind.FULL: FLEET}.get(kind, ())
        if kind is api.UpdateKind.FULL:
            self.listed = {}
        self.listed.update({m.id: m for m in endpoints})
        for endpoint in endpoints:
            self.slow_start_work.pop(endpoint.id, None)
        self.handle_event(api.EndpointUpdate(kind, 1, endpoints))


@pytest.mark.parametrize("seed", range(40))
def test_no_sequence_of_unusual_events_breaks_a_rule(seed: int) -> None:
    checker = RuleChecker(seed)
    for _ in range(1500):
        checker.step()
    for _ in range(1000):  # end all attempts, after which every request must have its answer
        if not checker.in_flight:
            break
        checker.end_attempt(min(checker.in_flight))
    assert not checker.open and not checker.driver.router.pending and not checker.driver.router.attempts
    repeated = RuleChecker(seed)
    for _ in range(1500):
        repeated.step()
    assert repeated.actions == checker.actions[: len(repeated.actions)]


def test_the_rule_checker_detects_violations() -> None:
    checker = RuleChecker(1)
    checker.open[1] = api.Request(1, 7, 3, 0, 0, 10.0, 999.0)
    checker.listed = {m.id: m for m in (*FLEET, cache(5, state=api.EndpointState.DRAINING))}
    with pytest.raises(AssertionError):
        checker.check(api.Fetch(1, b"cache5", b"paren0", 1))
    checker.check(api.Reject(1))
    with pytest.raises(KeyError):
        checker.check(api.Fail(1))
    with pytest.raises(KeyError):
        checker.check(api.Fetch(1, b"cache0", b"paren0", 1))
