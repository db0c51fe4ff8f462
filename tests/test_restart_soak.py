"""Tests that faults of a front and of its coordinator don't delay the end of requests to draining endpoints.

Each seed is one history of faults: a real front process is killed, paused or disconnected from the
coordinator while endpoints begin to drain. The grace period of a drain starts when the front is notified of
it. After that period no request may reach the endpoint, and no fill may name it as its source. Some answers
of the coordinator are slow, and some of the endpoints come twice or with one of no request. Setting
`SOAK_SEEDS=50` runs 50 seeds instead of 4.
"""

from __future__ import annotations

import contextlib
import json
import os
import signal
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from time import monotonic
from typing import Any

import anyio
import anyio.abc
import pytest

from tests.processes import free_port
from tests.support.coordinator_frames import frame, until
from tests.support.front_configuration import configuration
from tests.support.front_process import FrontProcess
from tests.support.service_client import Client
from tests.support.stub_cache import Fetch, StubCache, serve
from tests.support.stub_coordinator import Coordinator
from zincladder.discovery.freshness import ANSWER_GAP_SECONDS

pytestmark = pytest.mark.anyio
SEEDS = range(int(os.environ.get("SOAK_FROM", "0")), int(os.environ.get("SOAK_SEEDS", "4")))
GRACE_SECONDS = 0.5 + 0.05  # drainGrace of the settings, and a tolerance
PROCESS_STARTS, FAULTS_PER_PROCESS = 3, 4
CLIENT_TIMEOUT_SECONDS, MAX_LATENESS_SECONDS = 2.0, 0.5  # the latter: how late an answer may be
CLIENTS = 3
STARTUP_SECONDS = 0.1  # shorter than any front process takes until it listens
DRAINING = 1
MAX_FRAME_GAP_SECONDS = 0.005  # between two events that the coordinator sends one after the other
QUICK_ANSWER_SECONDS = (0.0, 0.0, 0.3, 0.8)  # after a subscription; decisions wait for these
SLOW_ANSWER_SECONDS = (0.5, 2.0, 3.0, 5.0)  # decisions may go on before these have come
SLOW_ANSWER_SHARE = 0.15  # of subscriptions
MAX_NOTICE_SECONDS = 7.0  # a drain counts as notified so long after its beginning at the latest
SECOND_COPY_SHARE, ANSWER_AHEAD_SHARE = 0.05, 0.05  # of the answers of the endpoints
LATE_COPY_SECONDS = 0.005


@dataclass
class Drain:
    """A drain of an endpoint, and the time from which the running process counts as notified of it."""

    endpoint: str
    at: float  # when the coordinator began the drain
    notified_at: float | None  # None: the running process doesn't count as notified yet
    was_sent: bool = False  # to a process that follows, or with an answer


@dataclass
class ReceivedRequest:
    """One request that reached a stub endpoint."""

    at: float
    names: tuple[str, ...]  # the endpoint, and the source of the fill if any


@dataclass
class SlowCoordinator(Coordinator):
    """Answers subscriptions after a random delay; records when the front counts as notified of each drain."""

    random: Random = field(default_factory=Random)
    followed_since: float | None = None  # when the open subscription was answered
    drains: list[Drain] = field(default_factory=list)
    note: Callable[[str], None] = print
    started_at: float = 0.0
    process_answered: bool = False  # whether the running process has received the events once
    gaps: Random = field(default_factory=lambda: Random(0))  # between the frames of an answer
    slow: Random = field(default_factory=lambda: Random(0))  # which answers are slow, and how slow
    slow_subscriptions: int = 0  # of the running process, which wait for their answer

    async def _connection(self, stream: anyio.abc.ByteStream) -> None:
        if self.down:
            self.turned_away += 1
            return await stream.aclose()
        try:
            await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return  # the process was killed after it connected, before it subscribed
        subscribed_at, started_at = monotonic(), self.started_at
        answer_seconds = self.random.choice(QUICK_ANSWER_SECONDS)
        if self.slow.random() < SLOW_ANSWER_SHARE:
            answer_seconds = self.slow.choice(SLOW_ANSWER_SECONDS)
        self.note(f"process subscribed, is answered after {answer_seconds} s")
        # While the process waits for a slow answer, it goes on with what it knows: it is notified by the
        # first answer that comes, on this connection or on another one.
        is_slow = answer_seconds not in QUICK_ANSWER_SECONDS
        self.slow_subscriptions += is_slow
        for drain in self.drains:
            if self.slow_subscriptions:
                drain.notified_at = (
                    None if drain.at > started_at and not drain.was_sent else drain.notified_at
                )
            elif drain.notified_at is None:
                drain.notified_at = subscribed_at
        with contextlib.suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
            if await self.is_closed_within(stream, answer_seconds):
                if self.started_at == started_at:
                    self.slow_subscriptions -= is_slow
                return await stream.aclose()
            if self.started_at != started_at:  # the process was replaced in the meantime
                return await stream.aclose()
            self.slow_subscriptions -= is_slow
            async with self.turn:
                had_long_gap = await self.send_events(stream)
                if self.started_at != started_at:  # the process was replaced while it was answered
                    return await stream.aclose()
                if had_long_gap:
                    # This process was late itself: no front can tell such a pause from the answer's end.
                    for drain in self.drains:
                        if drain.notified_at == subscribed_at:
                            drain.notified_at = monotonic()
                for drain in self.drains:
                    drain.was_sent = True
                    if drain.notified_at is None:
                        drain.notified_at = min(monotonic(), drain.at + MAX_NOTICE_SECONDS)
                self.streams.append(stream)
                self.process_answered = True
                self.note("subscription answered")
            while True:
                async with self.turn:
                    await stream.send(frame(0, 0, b""))
                await anyio.sleep(0.3)

    async def is_closed_within(self, stream: anyio.abc.ByteStream, seconds: float) -> bool:
        """Waits; returns whether the process has closed the connection meanwhile."""
        with anyio.move_on_after(seconds):
            with contextlib.suppress(anyio.EndOfStream):
                await stream.receive()
            return True
        return False

    async def send_events(self, stream: anyio.abc.ByteStream) -> bool:
        """Sends all events with short gaps; returns whether one was as long as the end of an answer."""
        sent_at, longest = monotonic(), 0.0
        for number, kind, payload in self.events:
            await anyio.sleep(self.gaps.choice((0.0, 0.0, MAX_FRAME_GAP_SECONDS)))
            await stream.send(frame(number, kind, payload))
            longest, sent_at = max(longest, monotonic() - sent_at), monotonic()
        if longest >= ANSWER_GAP_SECONDS:
            self.note(f"the answer had a gap of {longest:.3f} s")
        return longest >= ANSWER_GAP_SECONDS

    async def drain(self, endpoint: StubCache) -> None:
        """Begins a drain of `endpoint`.

        A connected process counts as notified at once, and so does one that has not subscribed yet. A process
        whose connection was refused counts as notified when it subscribes again.
        """
        at = monotonic()
        is_starting = not (self.process_answered or self.turned_away or self.slow_subscriptions)
        notified_at = at if self.streams or is_starting else None
        self.drains.append(Drain(endpoint.name, at, notified_at, was_sent=bool(self.streams)))
        # If the connection has ended, the process gets the event when it subscribes again.
        with contextlib.suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
            await self.tell(2, endpoint.record(DRAINING))

    async def go_down(self) -> None:
        """Refuses connections. A process not answered yet counts as notified when it subscribes again."""
        self.down = True
        for drain in self.drains:
            if not self.process_answered and drain.at > self.started_at:
                drain.notified_at = None
        await self.break_off()

    async def break_off(self) -> None:
        """Closes the connections of all subscribers."""
        streams, self.streams = self.streams, []
        for stream in streams:
            await stream.aclose()


class History:
    """The faults of one seed, the front on which they are injected, and the violations found."""

    def __init__(self, seed: int, folder: Path) -> None:
        self.random, self.folder = Random(seed), folder
        self.caches = [StubCache(f"s-{n:08x}", 0, self.script) for n in range(1, 7)]
        self.parents = [StubCache(f"s-{n:08x}", 1, self.script) for n in range(0xA0, 0xA4)]
        self.origin = StubCache("s-000000b0", 2, self.script)
        self.coordinator = SlowCoordinator(random=self.random, note=self.note, slow=Random(seed))
        self.copies = Random(seed)  # which answers of endpoints come twice, or with one that nobody asked for
        self.address = ("127.0.0.1", free_port())
        self.received: list[ReceivedRequest] = []
        self.front: FrontProcess | None = None
        self.violations: list[str] = []
        self.answered = self.unanswered = 0
        self.kills = 0
        self.stops: list[tuple[float, float]] = []  # when the front was stopped and continued
        self.fault_log: list[str] = []  # faults and subscriptions, with the seconds since the process start
        self.lag = 0.0  # recent worst lag of the event loop of this test process, in seconds

    async def script(self, stub: StubCache, fetch: Fetch) -> None:
        names = (stub.name, *(v for k, v in fetch.fields.items() if k == "up"))
        self.check_request(ReceivedRequest(monotonic(), names))
        kind = self.copies.random()
        if kind < ANSWER_AHEAD_SHARE:
            ahead = Fetch(f"{self.copies.getrandbits(60):016x}", fetch.fields, b"", fetch.stream, fetch.turn)
            await ahead.answer(200, "tell=local,rev=aa,since=1", b"of no request")
        await serve(stub, fetch)
        if kind > 1 - SECOND_COPY_SHARE:
            await anyio.sleep(self.copies.choice((0.0, LATE_COPY_SECONDS)))
            await serve(stub, fetch)

    def check_request(self, received: ReceivedRequest) -> None:
        self.received.append(received)
        if received.at - self.coordinator.started_at < STARTUP_SECONDS:
            return  # sent by the previous process, which was killed
        for drain in self.coordinator.drains:
            if drain.endpoint not in received.names or drain.notified_at is None:
                continue
            lateness = received.at - drain.notified_at - GRACE_SECONDS - self.lag
            if lateness > 0:
                start = received.at - self.coordinator.started_at
                self.violations.append(
                    f"{drain.endpoint}: {lateness:.3f} s past the grace, {start:.3f} s after the start"
                )

    async def measure_lag(self) -> None:
        """Keeps `lag` up to date; an old peak decays by a tenth every 10 ms."""
        while True:
            before = monotonic()
            await anyio.sleep(0.01)
            self.lag = max(0.9 * self.lag, monotonic() - before - 0.01)

    async def run_client(self) -> None:
        """Sends one request after the other until it is cancelled, and checks that answers come in time."""
        while True:
            kills, open_now = self.kills, False
            try:
                async with await anyio.connect_tcp(*self.address) as stream:
                    c = Client(stream)
                    while True:
                        open_now, began = True, monotonic()
                        entity = f"{self.random.getrandbits(48):016x}"
                        trace = f"{self.random.getrandbits(60):016x}"
                        seq = await c.ask(
                            entity=entity, trace=trace, patience=str(round(CLIENT_TIMEOUT_SECONDS * 1000))
                        )
                        reply = await c.reply()
                        if reply.seq != seq or (reply.kind == "served" and reply.body != entity.encode()):
                            self.violations.append(f"{entity} was answered with {reply}")
                        self.answered, open_now = self.answered + 1, False
                        allowed = CLIENT_TIMEOUT_SECONDS + MAX_LATENESS_SECONDS + self.lag
                        if monotonic() - began > allowed + self.stopped_seconds(began):
                            self.violations.append(f"an answer after {monotonic() - began:.3f} s")
                        await anyio.sleep(0.01)
            except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
                self.unanswered += open_now and kills == self.kills
                await anyio.sleep(0.02)

    def stopped_seconds(self, since: float) -> float:
        """The time since `since` in which the front was stopped by a signal, and could answer nobody."""
        now = monotonic()
        return sum(max(0.0, min(end, now) - max(start, since)) for start, end in self.stops)

    def config(self) -> dict[str, Any]:
        drained = {drain.endpoint for drain in self.coordinator.drains}
        listed = [
            stub.endpoint("draining" if stub.name in drained else "up")
            for stub in (*self.caches, *self.parents, self.origin)
        ]
        return configuration(listed, self.coordinator.port, listen=f"{self.address[0]}:{self.address[1]}")

    async def start(self) -> None:
        c = self.coordinator
        c.events.clear()
        c.streams.clear()
        c.started_at, c.process_answered, c.turned_away = monotonic(), False, 0
        c.slow_subscriptions = 0
        for drain in c.drains:
            drain.notified_at = drain.at  # the configuration lists the endpoint as draining
        self.front = FrontProcess(self.folder, self.config())
        self.note("process started")

    async def fault(self) -> None:
        front, random = self.front, self.random
        assert front is not None
        kind = random.choice(("stop", "drain", "drain", "break off", "down", "drain behind a break"))
        self.note(kind)
        match kind:
            case "stop":
                front.process.send_signal(signal.SIGSTOP)
                self.stops.append((monotonic(), float("inf")))
                await anyio.sleep(random.uniform(0.1, 1.2))
                await self.drain_one()
                await anyio.sleep(random.uniform(0.1, 1.2))
                front.process.send_signal(signal.SIGCONT)
                self.stops[-1] = (self.stops[-1][0], monotonic())
            case "drain":
                await self.drain_one()
            case "break off":
                await self.coordinator.break_off()
            case "drain behind a break":
                await self.coordinator.break_off()
                await self.drain_one()
            case "down":
                await self.coordinator.go_down()
                await anyio.sleep(random.uniform(0.05, 0.6))
                self.coordinator.down = False
        await anyio.sleep(random.uniform(0.0, 0.5))

    def note(self, what: str) -> None:
        self.fault_log.append(f"{monotonic() - self.coordinator.started_at:.3f} {what}")

    async def drain_one(self) -> None:
        drained = {drain.endpoint for drain in self.coordinator.drains}
        candidates = self.random.choice((self.caches, self.parents))
        remaining = [stub for stub in candidates if stub.name not in drained]
        if len(remaining) > 1:
            endpoint = self.random.choice(remaining)
            self.note(f"{endpoint.name} drains")
            await self.coordinator.drain(endpoint)

    async def run_history(self) -> None:
        async with anyio.create_task_group() as tasks:
            for stub in (*self.caches, *self.parents, self.origin, self.coordinator):
                await tasks.start(stub.run)  # type: ignore[attr-defined]
            tasks.start_soon(self.measure_lag)
            for _ in range(CLIENTS):
                tasks.start_soon(self.run_client)
            try:
                for _ in range(PROCESS_STARTS):
                    await self.start()
                    before = self.answered
                    for _ in range(FAULTS_PER_PROCESS):
                        await self.fault()
                    # The process must answer requests again after its faults, however slowly it started.
                    await until(lambda before=before: self.answered >= before + 8)  # type: ignore[misc]
                    self.kill()
            finally:
                self.kill()
            tasks.cancel_scope.cancel()

    def kill(self) -> None:
        if self.front is not None:
            self.kills += 1
            self.front.process.kill()
            self.front.process.wait()
            self.front = None


@pytest.mark.parametrize("seed", SEEDS)
async def test_restarts_send_no_request_to_an_endpoint_past_its_drain_grace(
    seed: int, tmp_path: Path
) -> None:
    history = History(seed, tmp_path)
    await history.run_history()
    logs = [json.loads(line) for log in sorted(tmp_path.glob("log*")) for line in log.open()]
    assert not history.violations, "\n".join([*history.violations, *history.fault_log, *map(str, logs)])
    assert history.answered > 20 and len(history.received) > 20
    assert not history.unanswered
    assert not [line for line in logs if line["level"] == "error"], logs
