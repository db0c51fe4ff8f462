"""Seeded mixes of odd but legal events; the rules of the contract are asserted on every action."""

from __future__ import annotations

import random

import pytest

from tests.support.routing import CACHE, FLEET, ORIGIN, PARENT, Driver, cache, parent, settings
from zincladder.routing import interface as api

Outcome = api.AttemptOutcome
Fill = api.FillOutcome


NEVER_RAN = {Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT, Outcome.MISS}


class RuleChecker:
    """Plays the world with a seed, keeps its own record, and checks each action against the rules."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.settings = settings(report_names=("link",))
        self.driver = Driver((), seed=seed, report_names=("link",))
        self.open: dict[int, api.Request] = {}
        self.over: set[int] = set()
        self.out: dict[tuple[int, int], tuple[api.Fetch | api.Lookup, float]] = {}
        self.counts: dict[int, int] = {}
        self.may_have_run: dict[int, list[float]] = {}
        self.timers: list[tuple[float, int]] = []
        self.listed: dict[bytes, api.Endpoint] = {}
        self.purged: dict[tuple[int | None, int], float] = {}
        self.cold_work: dict[bytes, list[tuple[float, float]]] = {}
        self.log: list[api.Action] = []
        self.next_id = 0

    def give(self, event: api.Event) -> None:
        for action in self.driver.handle(event):
            self.log.append(action)
            self.check(action)

    def check(self, action: api.Action) -> None:
        now = self.driver.now
        if isinstance(action, api.SetTimer):
            assert action.delay >= 0
            self.timers.append((now + action.delay, action.token))
        elif isinstance(action, api.Reject | api.Fail):
            request = self.open.pop(action.request)  # a second final answer has nothing to pop
            self.over.add(request.id)
            request_class = self.settings.classes[request.request_class]
            if isinstance(action, api.Reject) and request_class.idempotency is api.Idempotency.NONE:
                assert not self.may_have_run.get(request.id)
        elif isinstance(action, api.Cancel):
            assert action.attempt < self.counts[action.request]
        elif isinstance(action, api.Fetch | api.Lookup):
            self.check_attempt(action, now)

    def check_attempt(self, action: api.Fetch | api.Lookup, now: float) -> None:
        request = self.open[action.request]  # rule 1: nothing is sent for a request that is over
        request_class = self.settings.classes[request.request_class]
        assert not [n for r, n in self.out if r == request.id]  # no hedged request
        ran = self.may_have_run.get(request.id, [])
        if request_class.idempotency is api.Idempotency.NONE:
            assert not ran
        if request_class.idempotency is api.Idempotency.WITH_KEY and ran:
            assert now <= min(ran) + request_class.deduplication_window
        source = action.source if isinstance(action, api.Fetch) else action.endpoint
        for endpoint in {action.endpoint, source}:
            listed = self.listed[endpoint]
            assert listed.state is api.EndpointState.READY
            started = listed.started_at
            if started > 0 and now - started < 10.0 and listed.kind in (CACHE, PARENT):
                sent = self.cold_work.setdefault(endpoint, [])
                work = request.size_kb / 1000.0
                sent.append((now, work if listed.kind == PARENT else 0.0))
                part = 0.25 + 0.75 * (now - started) / 10.0
                window = sum(w for at, w in sent if at > max(now - 1.0, started))
                assert window <= 2.0 * part * listed.weight / 4
        made = max(
            (self.purged.get(k, -1e9) for k in ((request.object, -1), (None, request.group))), default=-1e9
        )
        if now - made <= 6.0 and self.listed[action.endpoint].kind != ORIGIN:
            assert isinstance(action, api.Fetch) and 0 < action.max_age <= max(0.001, now - made + 1e-6)
        number = self.counts.get(request.id, 0)
        self.counts[request.id] = number + 1
        assert number < 6
        self.out[request.id, number] = (action, now)

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
            self.give(request)
        elif pick < 0.65 and self.out:
            self.finish(self.random.choice(sorted(self.out)))
        elif pick < 0.8:
            due_now = sorted(t for t in self.timers if t[0] <= self.driver.now)
            if due_now:
                self.timers.remove(due_now[0])
                self.give(api.TimerFired(due_now[0][1]))
            else:
                self.give(api.TimerFired(10**9))
        elif pick < 0.85 and self.open:
            gone = self.random.choice(sorted(self.open))
            del self.open[gone]
            self.over.add(gone)
            self.give(api.ClientDisconnected(gone))
        elif pick < 0.9:
            key = self.random.randrange(40)
            whole = self.random.random() < 0.3
            age = self.random.choice((0.0, 0.2, 3.0))
            what = (None, key % 4) if whole else (key, -1)
            self.purged[what] = max(self.purged.get(what, -1e9), self.driver.now - age)
            self.give(api.Purged(None if whole else key, key % 4, age))
        else:
            self.relist()

    def finish(self, which: tuple[int, int]) -> None:
        action, sent_at = self.out.pop(which)
        result = self.random.choice([r for r in Outcome if r is not Outcome.NOT_SENT])
        closed = which[0] in self.over
        if result is Outcome.OK and which[0] in self.open:
            closed = True
            del self.open[which[0]]
            self.over.add(which[0])
        if result not in NEVER_RAN:
            self.may_have_run.setdefault(which[0], []).append(sent_at)
        note = self.random.choice(list(Fill))
        report = self.random.choice(((), (0.5,), (7.0,), (1.0, 2.0)))
        self.give(api.AttemptEnded(*which, action.endpoint, result, 0.1, closed, note, 0.0, report))

    def relist(self) -> None:
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
            self.cold_work.pop(endpoint.id, None)
        self.give(api.EndpointUpdate(kind, 1, endpoints))


@pytest.mark.parametrize("seed", range(40))
def test_no_mix_of_odd_events_breaks_a_rule(seed: int) -> None:
    checker = RuleChecker(seed)
    for _ in range(1500):
        checker.step()
    for _ in range(1000):  # let everything end: nothing may stay unanswered
        if not checker.out:
            break
        checker.finish(min(checker.out))
    assert not checker.open and not checker.driver.router.pending and not checker.driver.router.attempts
    again = RuleChecker(seed)
    for _ in range(1500):
        again.step()
    assert again.log == checker.log[: len(again.log)]


def test_the_rule_checker_can_fail() -> None:
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
