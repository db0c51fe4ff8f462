"""The first event that the front on sockets tells, or answers, otherwise than its decisions by themselves.

    python -m benchmarks.difference [--settings CONFIG.json] [--seed N] [--steps N]

One random history of requests, answers and purges is given twice: over loopback sockets to a front with
stub caches, under a clock that is given, and to a Router directly, as the simulator's wire would tell it.
Events and actions are compared one by one. It makes bringing in another deployment an hour's work: what the
network code leaves out or words otherwise shows at its first event. Attempts that run out of time are not
part of it.
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

from tests.stands import SETTINGS, Client, Fetch, StubCache, World, client, world
from zincladder.config import parse_config
from zincladder.core import engine
from zincladder.core.answers import ANSWER_MARGIN_SECONDS
from zincladder.core.arrival import ArrivalBound
from zincladder.core.clock import Clock
from zincladder.core.loop_monitor import LoopMonitor
from zincladder.routing import interface as api
from zincladder.routing.router import Router

PATIENCE = 5.0  # seconds that a client waits: longer than any wait here
LIMIT = 3.0  # seconds of real time for an event to arrive
STEP = 0.04  # seconds from one event to the next, at most
NEAR = 0.002  # seconds by which times may differ: the front reads its clock, and ages go out in milliseconds
# What a cache may say, and what the simulator would: word, result, then each note by its number there.
WORDS = {
    200: api.AttemptOutcome.OK,
    404: api.AttemptOutcome.MISS,
    500: api.AttemptOutcome.ERROR,
    503: api.AttemptOutcome.REJECTED,
}
NOTES = ["", "local", "pulled", "pulled_far", "rode", "expired"]
FAULTS = ["turned_away", "cut_off", "not_there", "no_place", "far_fault"]
WIRE_NAMES = {"busy": "util", "held": "inflight", "link": "x1", "hits": "x0", "queued": "queue"}


class Differs(Exception):
    """The first event or action that is not the same; the text holds both."""


@dataclass
class Recorder:
    """What the front tells its Router, and what that answers."""

    told: list[tuple[api.Event, list[api.Action]]] = field(default_factory=list)
    read: int = 0
    now: float = 1_764_576_000.0
    router: Router | None = None

    async def next(self, what: str) -> tuple[api.Event, list[api.Action]]:
        for _ in range(int(LIMIT / 0.001)):
            if len(self.told) > self.read:
                self.read += 1
                return self.told[self.read - 1]
            await anyio.sleep(0.001)
        raise Differs(f"never told over sockets: {what}")


@contextmanager
def recorded(recorder: Recorder) -> Iterator[None]:
    """Puts the recorder between every Core that starts meanwhile and its Router, and holds the clock."""

    class Recording(Router):
        def __init__(self, settings: api.Settings, seed: int) -> None:
            super().__init__(settings, seed)
            recorder.router = self

        def handle(self, event: api.Event, now: float) -> list[api.Action]:
            actions = super().handle(event, now)
            recorder.told.append((event, list(actions)))
            return actions

    held = mock.patch.object(Clock, "now", lambda _: recorder.now)
    # A clock that is led from event to event looks like a loop that is late.
    prompt = mock.patch.object(
        LoopMonitor, "lag_seconds", property(lambda _: 0.0, lambda _, late: None), create=True
    )
    # Real time has no part in the history.
    at_once = mock.patch.object(ArrivalBound, "unread_seconds", lambda *_: 0.0)
    with mock.patch.object(engine, "Router", Recording), held, prompt, at_once:
        yield


def same(a: Any, b: Any) -> bool:
    """Whether two events or actions tell the same, but for moments of reading the clock."""
    if type(a) is not type(b):
        return False
    for name in a.__slots__:
        one, two = getattr(a, name), getattr(b, name)
        if isinstance(one, float) and isinstance(two, float):
            if abs(one - two) > NEAR + 1e-6 * abs(one) * (abs(one) < 1e6):
                return False
        elif one != two:
            return False
    return True


class Pair:
    """A front on sockets and a Router by itself, led through one history."""

    def __init__(self, settings: dict[str, Any], seed: int) -> None:
        self.settings, self.random = settings, Random(seed)
        self.recorder = Recorder()
        self.fetches: list[Fetch] = []
        self.sent: dict[
            str, tuple[int, int, float, api.EndpointId]
        ] = {}  # by trace: request, attempt, at, to
        self.probes: list[api.EndpointId] = []
        self.timers: list[tuple[float, int]] = []
        self.compared = self.requests = 0

    async def hold(self, _: StubCache, fetch: Fetch) -> None:
        self.fetches.append(fetch)

    async def run(self, steps: int) -> int:
        """The number of events compared; Differs at the first that is not the same."""
        endpoints = [StubCache(f"s-{i + 1:08x}", 0, self.hold) for i in range(4)]
        endpoints += [StubCache(f"s-{i + 160:08x}", 1, self.hold) for i in range(2)]
        endpoints += [StubCache("s-000000b0", 2, self.hold)]
        with recorded(self.recorder):
            async with world(endpoints=endpoints, settings=self.settings) as w, client(w) as c:
                config = parse_config({"listen": "127.0.0.1:0", "settings": self.settings})
                self.parts = config.settings
                assert self.recorder.router is not None
                self.alone = Router(self.parts, 0)
                self.alone.state.random.setstate(self.recorder.router.state.random.getstate())
                self.names = config.names.classes
                first, _ = await self.recorder.next("the list")
                self.act(self.alone.handle(first, self.recorder.now))
                for _ in range(steps):
                    await self.step(w, c)
        return self.compared

    async def step(self, w: World, c: Client) -> None:
        self.recorder.now += self.random.uniform(0.0, STEP)
        while self.timers and self.timers[0][0] <= self.recorder.now:
            await self.compare(api.TimerFired(heapq.heappop(self.timers)[1]))
        while self.probes:  # the stubs answer at once, but after all timers that are due
            figures = {"busy": 0.5, "held": 1.0, "link": 0.5}
            report = tuple(figures[n] for n in self.parts.report_names)
            await self.compare(api.ProbeEnded(self.probes.pop(), api.AttemptOutcome.OK, 0.0, report))
        if self.sent and (len(self.sent) >= 8 or self.random.random() < 0.5):
            await self.answer()
        elif self.random.random() < 0.05:
            made = int((self.recorder.now - self.random.uniform(0.0, 2.0)) * 1000)
            number = self.random.randrange(40)
            await w.coordinator.tell(3, number.to_bytes(8, "big") + made.to_bytes(8, "big"))
            await self.compare(api.Purged(number, 0, self.recorder.now - made / 1000))
        else:
            await self.ask(c)

    async def ask(self, c: Client) -> None:
        """One request, with all that this deployment's clients may say."""
        self.requests += 1
        r, trace = self.random, f"{self.requests:016x}"
        request_class = r.randrange(len(self.names))
        rules, kb = self.parts.classes[request_class], round(r.expovariate(1 / 800), 1) + 0.1
        number, part, repeat = r.randrange(40), r.randrange(3), r.random() < 0.1
        said = {"route": self.names[request_class], "trace": trace, "patience": f"{PATIENCE * 1000:.0f}",
                "entity": f"{number:016x}", "slice": str(part), "set": str(number % 7)}  # fmt: skip
        said |= {"size": str(kb)} if self.parts.client_kb_per_s else {}
        said |= {"nonce": "5" * 32} if rules.idempotency is api.Idempotency.WITH_KEY else {}
        said |= {"redo": "1"} if repeat else {}
        await c.ask(b"x" if rules.uncacheable else b"", **said)
        deadline = self.recorder.now + min(PATIENCE, 2 * rules.timeout) - ANSWER_MARGIN_SECONDS
        size = kb if self.parts.client_kb_per_s else 0.0
        await self.compare(api.Request(self.requests, number, number % 7, part, request_class, size,
                                       deadline, repeat, rules.uncacheable))  # fmt: skip

    async def answer(self) -> None:
        """One cache answers the attempt that is out for longest."""
        trace, (request, attempt, at, endpoint) = next(iter(self.sent.items()))
        fetch = None
        for _ in range(int(LIMIT / 0.001)):
            fetch = next((f for f in self.fetches if f.name == trace), None)
            if fetch is not None:
                break
            await anyio.sleep(0.001)
        else:
            raise Differs(f"attempt {attempt} of request {request} came to no cache")
        self.fetches.remove(fetch)
        del self.sent[trace]
        word = self.random.choices(list(WORDS), (8, 1, 1, 1))[0]
        note = self.random.choice(NOTES if word == 200 else ["", *FAULTS])
        wait = round(self.random.uniform(0.0, 90.0), 3) if note else 0.0
        told = {"tell": note, "fill": str(wait)} if note else {}
        report = tuple(round(self.random.random(), 3) for _ in self.parts.report_names)
        if not self.parts.load_by_health_check and report:
            told["meter"] = ";".join(
                f"{WIRE_NAMES[n]}:{v}" for n, v in zip(self.parts.report_names, report, strict=True)
            )
        else:
            report = ()
        if word == 200:
            told |= {"rev": "aa", "since": "1"}
        fields = ",".join(f"{k}={v}" for k, v in told.items()) or "-"
        await fetch.answer(word, fields, b"body" if word == 200 else b"")
        number = (NOTES + FAULTS).index(note)
        await self.compare(api.AttemptEnded(request, attempt, endpoint, WORDS[word],
                                            self.recorder.now - at, word == 200,
                                            api.FillOutcome(number), wait / 1000, report))  # fmt: skip

    async def compare(self, expected: api.Event) -> None:
        """One event: told the same over sockets, and answered with the same actions."""
        event, actions = await self.recorder.next(str(expected))
        self.compared += 1
        if not same(event, expected):
            raise Differs(f"event {self.compared}: over sockets {event}, by itself {expected}")
        alone = self.alone.handle(event, self.recorder.now)
        if len(alone) != len(actions) or not all(map(same, actions, alone)):
            raise Differs(f"after event {self.compared} ({expected}): over sockets {actions}, alone {alone}")
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
        return asyncio.run(Pair(settings, seed).run(steps))
    except BaseExceptionGroup as group:  # of the front's tasks, which end with it
        first: BaseException = group
        while isinstance(first, BaseExceptionGroup):
            first = first.exceptions[0]
        if not isinstance(first, Differs):
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
