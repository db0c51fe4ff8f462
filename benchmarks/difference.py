"""The first event or answer that differs between a front on sockets and its Router alone.

    python -m benchmarks.difference [--settings CONFIG.json] [--seed N] [--steps N]

One random history of requests, answers and purges is played twice: over loopback sockets to a front with
stub caches, under a clock that is given, and to a Router directly, as the simulator's adapter would. Events
and actions are compared one by one, so that what the network code leaves out or reads otherwise shows at its
first event. Attempts that run out of time are not part of it.
"""

from __future__ import annotations

import argparse
import asyncio
import heapq
import json
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any
from unittest import mock

import anyio

from tests.support.front_configuration import SETTINGS
from tests.support.front_world import World, world
from tests.support.service_client import Client, client
from tests.support.stub_cache import Fetch, StubCache
from zincladder.config import parse_config
from zincladder.core import engine
from zincladder.core.answers import ANSWER_MARGIN_SECONDS
from zincladder.core.arrival import ArrivalBound
from zincladder.core.clock import Clock
from zincladder.core.loop_monitor import LoopMonitor
from zincladder.routing import interface as api
from zincladder.routing.router import Router

CLIENT_TIMEOUT_SECONDS = 5.0  # longer than any wait here
ARRIVAL_TIMEOUT_SECONDS = 3.0  # of real time, for an event over sockets
POLL_SECONDS = 0.001
MAX_STEP_SECONDS = 0.04  # from one event to the next
TOLERANCE_SECONDS = 0.002  # the front reads its clock, and ages go out in milliseconds
# What a cache may answer: its status with the outcome, and its notes in the order of FillOutcome.
OUTCOMES = {
    200: api.AttemptOutcome.OK,
    404: api.AttemptOutcome.MISS,
    500: api.AttemptOutcome.ERROR,
    503: api.AttemptOutcome.REJECTED,
}
FILL_NOTES = ["", "local", "pulled", "pulled_far", "rode", "expired"]
FAULT_NOTES = ["turned_away", "cut_off", "not_there", "no_place", "far_fault"]
REPORT_NAMES = {"busy": "util", "held": "inflight", "link": "x1", "hits": "x0", "queued": "queue"}


class DifferenceError(Exception):
    """The first event or action that is not the same; the text holds both."""


@dataclass
class Recorder:
    """The events that the front gives its Router, each with the actions that answer it."""

    handled: list[tuple[api.Event, list[api.Action]]] = field(default_factory=list)
    read: int = 0  # how many of them were compared
    now: float = 1_764_576_000.0
    router: Router | None = None

    async def next(self, expected: str) -> tuple[api.Event, list[api.Action]]:
        for _ in range(int(ARRIVAL_TIMEOUT_SECONDS / POLL_SECONDS)):
            if len(self.handled) > self.read:
                self.read += 1
                return self.handled[self.read - 1]
            await anyio.sleep(POLL_SECONDS)
        raise DifferenceError(f"never came over sockets: {expected}")


@contextmanager
def recorded(recorder: Recorder) -> Iterator[None]:
    """Puts the recorder between every Core that starts meanwhile and its Router, and stops the clock."""

    class Recording(Router):
        def __init__(self, settings: api.Settings, seed: int) -> None:
            super().__init__(settings, seed)
            recorder.router = self

        def handle(self, event: api.Event, now: float) -> list[api.Action]:
            actions = super().handle(event, now)
            recorder.handled.append((event, list(actions)))
            return actions

    stopped = mock.patch.object(Clock, "now", lambda _: recorder.now)
    # A clock that is led from event to event looks like a loop that is late.
    prompt = mock.patch.object(
        LoopMonitor, "lag_seconds", property(lambda _: 0.0, lambda _, late: None), create=True
    )
    # Real time has no part in the history, and neither have stalls of this process.
    unstalled = mock.patch.object(
        LoopMonitor, "stalled_seconds", property(lambda _: 0.0, lambda _, stalled: None), create=True
    )
    at_once = mock.patch.object(ArrivalBound, "unread_seconds", lambda *_: 0.0)
    with mock.patch.object(engine, "Router", Recording), stopped, prompt, unstalled, at_once:
        yield


def is_same(a: Any, b: Any) -> bool:
    """Whether two events or actions are the same, but for the moments at which the clock is read."""
    if type(a) is not type(b):
        return False
    for name in a.__slots__:
        one, two = getattr(a, name), getattr(b, name)
        if isinstance(one, float) and isinstance(two, float):
            if abs(one - two) > TOLERANCE_SECONDS + 1e-6 * abs(one) * (abs(one) < 1e6):
                return False
        elif one != two:
            return False
    return True


class Comparison:
    """A front on sockets and a Router alone, led through one history."""

    def __init__(self, settings: dict[str, Any], seed: int) -> None:
        self.settings, self.random = settings, Random(seed)
        self.recorder = Recorder()
        self.fetches: list[Fetch] = []
        # By trace: the request, the number of its attempt, when it was sent and where.
        self.sent: dict[str, tuple[int, int, float, api.EndpointId]] = {}
        self.probes: list[api.EndpointId] = []
        self.timers: list[tuple[float, int]] = []
        self.compared = self.requests = 0

    async def collect(self, _: StubCache, fetch: Fetch) -> None:
        self.fetches.append(fetch)

    async def run(self, steps: int) -> int:
        """The number of events compared; DifferenceError at the first that is not the same."""
        endpoints = [StubCache(f"s-{i + 1:08x}", 0, self.collect) for i in range(4)]
        endpoints += [StubCache(f"s-{i + 160:08x}", 1, self.collect) for i in range(2)]
        endpoints += [StubCache("s-000000b0", 2, self.collect)]
        with recorded(self.recorder):
            async with world(endpoints=endpoints, settings=self.settings) as w, client(w) as c:
                config = parse_config({"listen": "127.0.0.1:0", "settings": self.settings})
                self.router_settings = config.settings
                assert self.recorder.router is not None
                self.alone = Router(self.router_settings, 0)
                self.alone.state.random.setstate(self.recorder.router.state.random.getstate())
                self.names = config.names.classes
                first, _ = await self.recorder.next("the list")
                self.act(self.alone.handle(first, self.recorder.now))
                for _ in range(steps):
                    await self.step(w, c)
        return self.compared

    async def step(self, w: World, c: Client) -> None:
        self.recorder.now += self.random.uniform(0.0, MAX_STEP_SECONDS)
        while self.timers and self.timers[0][0] <= self.recorder.now:
            await self.compare(api.TimerFired(heapq.heappop(self.timers)[1]))
        while self.probes:  # the stubs answer at once, but after all timers that are due
            figures = {"busy": 0.5, "held": 1.0, "link": 0.5}
            report = tuple(figures[n] for n in self.router_settings.report_names)
            await self.compare(api.ProbeEnded(self.probes.pop(), api.AttemptOutcome.OK, 0.0, report))
        if self.sent and (len(self.sent) >= 8 or self.random.random() < 0.5):
            await self.answer()
        elif self.random.random() < 0.05:
            made = int((self.recorder.now - self.random.uniform(0.0, 2.0)) * 1000)
            number = self.random.randrange(40)
            await w.coordinator.tell(3, number.to_bytes(8, "big") + made.to_bytes(8, "big"))
            await self.compare(api.Purged(number, 0, self.recorder.now - made / 1000))
        else:
            await self.request(c)

    async def request(self, c: Client) -> None:
        """One request, with all fields that this deployment's clients may give."""
        self.requests += 1
        r, trace = self.random, f"{self.requests:016x}"
        request_class = r.randrange(len(self.names))
        rules, kb = self.router_settings.classes[request_class], round(r.expovariate(1 / 800), 1) + 0.1
        number, part, repeat = r.randrange(40), r.randrange(3), r.random() < 0.1
        fields = {"route": self.names[request_class], "trace": trace,
                  "patience": f"{CLIENT_TIMEOUT_SECONDS * 1000:.0f}",
                "entity": f"{number:016x}", "slice": str(part), "set": str(number % 7)}  # fmt: skip
        fields |= {"size": str(kb)} if self.router_settings.client_kb_per_s else {}
        fields |= {"nonce": "5" * 32} if rules.idempotency is api.Idempotency.WITH_KEY else {}
        fields |= {"redo": "1"} if repeat else {}
        await c.ask(b"x" if rules.uncacheable else b"", **fields)
        deadline = self.recorder.now + min(CLIENT_TIMEOUT_SECONDS, 2 * rules.timeout) - ANSWER_MARGIN_SECONDS
        size = kb if self.router_settings.client_kb_per_s else 0.0
        await self.compare(api.Request(self.requests, number, number % 7, part, request_class, size,
                                       deadline, repeat, rules.uncacheable))  # fmt: skip

    async def answer(self) -> None:
        """One cache answers the attempt that has been in flight for longest."""
        trace, (request, attempt, at, endpoint) = next(iter(self.sent.items()))
        fetch = None
        for _ in range(int(ARRIVAL_TIMEOUT_SECONDS / POLL_SECONDS)):
            fetch = next((f for f in self.fetches if f.name == trace), None)
            if fetch is not None:
                break
            await anyio.sleep(POLL_SECONDS)
        else:
            raise DifferenceError(f"attempt {attempt} of request {request} came to no cache")
        self.fetches.remove(fetch)
        del self.sent[trace]
        status = self.random.choices(list(OUTCOMES), (8, 1, 1, 1))[0]
        note = self.random.choice(FILL_NOTES if status == 200 else ["", *FAULT_NOTES])
        wait = round(self.random.uniform(0.0, 90.0), 3) if note else 0.0
        answer = {"tell": note, "fill": str(wait)} if note else {}
        report = tuple(round(self.random.random(), 3) for _ in self.router_settings.report_names)
        if not self.router_settings.load_by_health_check and report:
            answer["meter"] = ";".join(
                f"{REPORT_NAMES[n]}:{v}"
                for n, v in zip(self.router_settings.report_names, report, strict=True)
            )
        else:
            report = ()
        if status == 200:
            answer |= {"rev": "aa", "since": "1"}
        fields = ",".join(f"{k}={v}" for k, v in answer.items()) or "-"
        await fetch.answer(status, fields, b"body" if status == 200 else b"")
        number = (FILL_NOTES + FAULT_NOTES).index(note)
        await self.compare(api.AttemptEnded(request, attempt, endpoint, OUTCOMES[status],
                                            self.recorder.now - at, status == 200,
                                            api.FillOutcome(number), wait / 1000, report))  # fmt: skip

    async def compare(self, expected: api.Event) -> None:
        """One event: the same over sockets, and answered with the same actions."""
        event, actions = await self.recorder.next(str(expected))
        self.compared += 1
        if not is_same(event, expected):
            raise DifferenceError(f"event {self.compared}: over sockets {event}, alone {expected}")
        alone = self.alone.handle(event, self.recorder.now)
        if len(alone) != len(actions) or not all(map(is_same, actions, alone)):
            raise DifferenceError(
                f"after event {self.compared} ({expected}): over sockets {actions}, alone {alone}"
            )
        self.act(alone)

    def act(self, actions: list[api.Action]) -> None:
        for action in actions:
            match action:
                case api.Probe(endpoint):
                    self.probes.append(endpoint)
                case api.SetTimer(delay, token):
                    heapq.heappush(self.timers, (self.recorder.now + delay, token))
                case api.Fetch() | api.Lookup():
                    trace = f"{action.request:016x}"
                    attempt = self.alone.pending[action.request].attempts_sent - 1
                    self.sent[trace] = (action.request, attempt, self.recorder.now, action.endpoint)


def difference(settings: dict[str, Any], seed: int = 1, steps: int = 1000) -> str | int:
    """The first difference in words, or the number of events that were the same."""
    try:
        return asyncio.run(Comparison(settings, seed).run(steps))
    except BaseExceptionGroup as group:  # of the front's tasks, which end with it
        first: BaseException = group
        while isinstance(first, BaseExceptionGroup):
            first = first.exceptions[0]
        if not isinstance(first, DifferenceError):
            raise
        return str(first)


def main() -> int:
    """0 where nothing differs."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--settings", help="a front's configuration; without it the tests' own settings")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steps", type=int, default=1000)
    args = parser.parse_args()
    settings = json.loads(Path(args.settings).read_text())["settings"] if args.settings else SETTINGS
    found = difference(settings, args.seed, args.steps)
    print(json.dumps({"same": found} if isinstance(found, int) else {"differs": found}))
    return not isinstance(found, int)


if __name__ == "__main__":
    raise SystemExit(main())
