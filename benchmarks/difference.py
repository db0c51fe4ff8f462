"""Compares a front on sockets with a Router that is driven directly, and reports the first difference.

    python -m benchmarks.difference [--settings CONFIG.json] [--seed N] [--steps N]

One random history of requests, answers and purges is run twice: over loopback sockets against a front with
stub caches and a simulated clock, and directly against a Router, as the simulator's adapter drives it. Events
and actions are compared one by one, so that a field that the network code drops or misreads shows at its
first event. Attempts that time out are not covered.
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
from tests.support.front_world import RunningFront, running_front
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

CLIENT_TIMEOUT_SECONDS = 5.0  # longer than any wait in a history
ARRIVAL_TIMEOUT_SECONDS = 3.0  # of real time, for an event over sockets
POLL_SECONDS = 0.001
MAX_STEP_SECONDS = 0.04  # simulated time between two steps
TOLERANCE_SECONDS = 0.002  # for reads of the clock, and for ages sent in whole milliseconds
# Statuses of a stub cache's answers with their outcomes, and values of `tell` in the order of FillOutcome.
OUTCOMES = {
    200: api.AttemptOutcome.OK,
    404: api.AttemptOutcome.MISS,
    500: api.AttemptOutcome.ERROR,
    503: api.AttemptOutcome.REJECTED,
}
FILL_NOTES = ["", "local", "pulled", "pulled_far", "rode", "expired"]
ERROR_NOTES = ["turned_away", "cut_off", "not_there", "no_place", "far_fault"]
REPORT_NAMES = {"busy": "util", "held": "inflight", "link": "x1", "hits": "x0", "queued": "queue"}


class DifferenceError(Exception):
    """An event or action differs between the front and the Router; the message shows both."""


@dataclass
class Recorder:
    """Records the events that the front passes to its Router, each with the actions that it returns."""

    handled: list[tuple[api.Event, list[api.Action]]] = field(default_factory=list)
    read: int = 0  # how many of them `next` has returned
    now: float = 1_764_576_000.0
    router: Router | None = None

    async def next(self, expected: str) -> tuple[api.Event, list[api.Action]]:
        """The next recorded event with its actions; DifferenceError if none arrives in time."""
        for _ in range(int(ARRIVAL_TIMEOUT_SECONDS / POLL_SECONDS)):
            if len(self.handled) > self.read:
                self.read += 1
                return self.handled[self.read - 1]
            await anyio.sleep(POLL_SECONDS)
        raise DifferenceError(f"never came over sockets: {expected}")


@contextmanager
def record_router(recorder: Recorder) -> Iterator[None]:
    """Gives each Core started in this context the recorder's clock and a Router whose events are recorded."""

    class RecordingRouter(Router):
        def __init__(self, settings: api.Settings, seed: int) -> None:
            super().__init__(settings, seed)
            recorder.router = self

        def handle(self, event: api.Event, now: float) -> list[api.Action]:
            actions = super().handle(event, now)
            recorder.handled.append((event, list(actions)))
            return actions

    simulated_clock = mock.patch.object(Clock, "now", lambda _: recorder.now)
    # The simulated clock jumps from event to event, which would otherwise look like a lag of the event loop.
    no_lag = mock.patch.object(
        LoopMonitor, "lag_seconds", property(lambda _: 0.0, lambda _, late: None), create=True
    )
    # Stalls of this process are measured in real time, but the history runs in simulated time.
    no_stalls = mock.patch.object(
        LoopMonitor, "stalled_seconds", property(lambda _: 0.0, lambda _, stalled: None), create=True
    )
    no_unread_time = mock.patch.object(ArrivalBound, "unread_seconds", lambda *_: 0.0)
    with (
        mock.patch.object(engine, "Router", RecordingRouter),
        simulated_clock,
        no_lag,
        no_stalls,
        no_unread_time,
    ):
        yield


def is_same(a: Any, b: Any) -> bool:
    """Whether two events or actions are equal; floats may differ by the tolerance for clock reads."""
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
    """Runs one random history against a front on sockets and against a Router."""

    def __init__(self, settings: dict[str, Any], seed: int) -> None:
        self.settings, self.random = settings, Random(seed)
        self.recorder = Recorder()
        self.fetches: list[Fetch] = []
        # Attempts in flight by trace: the request, the attempt's index, when it was sent and the endpoint.
        self.sent: dict[str, tuple[int, int, float, api.EndpointId]] = {}
        self.probes: list[api.EndpointId] = []
        self.timers: list[tuple[float, int]] = []
        self.compared = self.requests = 0

    async def collect_fetch(self, _: StubCache, fetch: Fetch) -> None:
        self.fetches.append(fetch)

    async def run(self, steps: int) -> int:
        """Returns the number of events compared; raises DifferenceError at the first difference."""
        endpoints = [StubCache(f"s-{i + 1:08x}", 0, self.collect_fetch) for i in range(4)]
        endpoints += [StubCache(f"s-{i + 160:08x}", 1, self.collect_fetch) for i in range(2)]
        endpoints += [StubCache("s-000000b0", 2, self.collect_fetch)]
        with record_router(self.recorder):
            async with running_front(endpoints=endpoints, settings=self.settings) as w, client(w) as c:
                config = parse_config({"listen": "127.0.0.1:0", "settings": self.settings})
                self.router_settings = config.settings
                assert self.recorder.router is not None
                self.reference_router = Router(self.router_settings, 0)
                self.reference_router.state.random.setstate(self.recorder.router.state.random.getstate())
                self.names = config.names.classes
                first, _ = await self.recorder.next("the list")
                self.follow_actions(self.reference_router.handle(first, self.recorder.now))
                for _ in range(steps):
                    await self.step(w, c)
        return self.compared

    async def step(self, w: RunningFront, c: Client) -> None:
        self.recorder.now += self.random.uniform(0.0, MAX_STEP_SECONDS)
        while self.timers and self.timers[0][0] <= self.recorder.now:
            await self.compare(api.TimerFired(heapq.heappop(self.timers)[1]))
        while self.probes:  # stub caches answer health checks at once, but after all due timers
            loads = {"busy": 0.5, "held": 1.0, "link": 0.5}
            report = tuple(loads[n] for n in self.router_settings.report_names)
            await self.compare(api.ProbeEnded(self.probes.pop(), api.AttemptOutcome.OK, 0.0, report))
        if self.sent and (len(self.sent) >= 8 or self.random.random() < 0.5):
            await self.answer()
        elif self.random.random() < 0.05:
            purged_at_ms = int((self.recorder.now - self.random.uniform(0.0, 2.0)) * 1000)
            number = self.random.randrange(40)
            await w.coordinator.tell(3, number.to_bytes(8, "big") + purged_at_ms.to_bytes(8, "big"))
            await self.compare(api.Purged(number, 0, self.recorder.now - purged_at_ms / 1000))
        else:
            await self.request(c)

    async def request(self, c: Client) -> None:
        """Sends one request with all fields that clients may send under these settings."""
        self.requests += 1
        r, trace = self.random, f"{self.requests:016x}"
        request_class = r.randrange(len(self.names))
        rules, part_kb = self.router_settings.classes[request_class], round(r.expovariate(1 / 800), 1) + 0.1
        number, part, repeat = r.randrange(40), r.randrange(3), r.random() < 0.1
        fields = {"route": self.names[request_class], "trace": trace,
                  "patience": f"{CLIENT_TIMEOUT_SECONDS * 1000:.0f}",
                "entity": f"{number:016x}", "slice": str(part), "set": str(number % 7)}  # fmt: skip
        fields |= {"size": str(part_kb)} if self.router_settings.client_kb_per_s else {}
        fields |= {"nonce": "5" * 32} if rules.idempotency is api.Idempotency.WITH_KEY else {}
        fields |= {"redo": "1"} if repeat else {}
        await c.ask(b"x" if rules.uncacheable else b"", **fields)
        deadline = self.recorder.now + min(CLIENT_TIMEOUT_SECONDS, 2 * rules.timeout) - ANSWER_MARGIN_SECONDS
        size = part_kb if self.router_settings.client_kb_per_s else 0.0
        await self.compare(api.Request(self.requests, number, number % 7, part, request_class, size,
                                       deadline, repeat, rules.uncacheable))  # fmt: skip

    async def answer(self) -> None:
        """Answers the attempt that has been in flight for longest."""
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
        note = self.random.choice(FILL_NOTES if status == 200 else ["", *ERROR_NOTES])
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
        number = (FILL_NOTES + ERROR_NOTES).index(note)
        await self.compare(api.AttemptEnded(request, attempt, endpoint, OUTCOMES[status],
                                            self.recorder.now - at, status == 200,
                                            api.FillOutcome(number), wait / 1000, report))  # fmt: skip

    async def compare(self, expected: api.Event) -> None:
        """Checks that the next event over sockets is `expected` and leads to the same actions in both."""
        event, actions = await self.recorder.next(str(expected))
        self.compared += 1
        if not is_same(event, expected):
            raise DifferenceError(f"event {self.compared}: over sockets {event}, alone {expected}")
        expected_actions = self.reference_router.handle(event, self.recorder.now)
        if len(expected_actions) != len(actions) or not all(map(is_same, actions, expected_actions)):
            raise DifferenceError(
                f"after event {self.compared} ({expected}): over sockets {actions}, alone {expected_actions}"
            )
        self.follow_actions(expected_actions)

    def follow_actions(self, actions: list[api.Action]) -> None:
        """Records the health checks, timers and attempts that the actions start."""
        for action in actions:
            match action:
                case api.Probe(endpoint):
                    self.probes.append(endpoint)
                case api.SetTimer(delay, token):
                    heapq.heappush(self.timers, (self.recorder.now + delay, token))
                case api.Fetch() | api.Lookup():
                    trace = f"{action.request:016x}"
                    attempt = self.reference_router.pending[action.request].attempts_sent - 1
                    self.sent[trace] = (action.request, attempt, self.recorder.now, action.endpoint)


def difference(settings: dict[str, Any], seed: int = 1, steps: int = 1000) -> str | int:
    """Returns a description of the first difference, or the number of events compared if there is none."""
    try:
        return asyncio.run(Comparison(settings, seed).run(steps))
    except BaseExceptionGroup as group:  # the front's task groups wrap the error
        first: BaseException = group
        while isinstance(first, BaseExceptionGroup):
            first = first.exceptions[0]
        if not isinstance(first, DifferenceError):
            raise
        return str(first)


def main() -> int:
    """Prints the result; returns 0 if nothing differs, else 1."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument(
        "--settings", help="configuration file of a front; default: the settings of the tests"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steps", type=int, default=1000)
    args = parser.parse_args()
    settings = json.loads(Path(args.settings).read_text())["settings"] if args.settings else SETTINGS
    found = difference(settings, args.seed, args.steps)
    print(json.dumps({"same": found} if isinstance(found, int) else {"differs": found}))
    return not isinstance(found, int)


if __name__ == "__main__":
    raise SystemExit(main())
