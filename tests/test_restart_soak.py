"""A front that is killed, started, stopped and cut off from the coordinator while members begin to drain.

One seed is one history of faults on a real process. The members judge: no request, and no source of a fill,
later than the grace after the front counts as told. `SOAK_SEEDS=50` plays more of them by hand.
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

pytestmark = pytest.mark.anyio
SEEDS = range(int(os.environ.get("SOAK_FROM", "0")), int(os.environ.get("SOAK_SEEDS", "4")))
GRACE = 0.5 + 0.05  # the settings' and what every limit grows by
STARTS, FAULTS_EACH = 3, 4
PATIENCE, OVERDUE = 2.0, 0.5  # of the clients, and what an answer may be late by
CLIENTS = 3
STARTUP = 0.1  # seconds: less than any process takes to listen
DRAINING = 1


@dataclass
class Told:
    """One drain: when the coordinator held it, and from when on the running process counts as told."""

    endpoint: str
    at: float
    counts_from: float | None


@dataclass
class Sent:
    """One request that reached a member."""

    at: float
    names: tuple[str, ...]  # the member, and the source of the fill


@dataclass
class CrowdedCoordinator(Coordinator):
    """Answers each question after a delay of its own, and remembers when it was asked."""

    random: Random = field(default_factory=Random)
    followed_since: float | None = None  # by a watch that has been answered and still stands
    drains: list[Told] = field(default_factory=list)
    note: Callable[[str], None] = print
    started_at: float = 0.0
    heard: bool = False  # the running process has been answered once

    async def _connection(self, stream: anyio.abc.ByteStream) -> None:
        if self.down:
            self.turned_away += 1
            return await stream.aclose()
        try:
            await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return  # the process was killed between its connect and its question
        asked, process = monotonic(), self.started_at
        self.note("asked")
        for told in self.drains:
            if told.counts_from is None:
                told.counts_from = asked
        with contextlib.suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
            await anyio.sleep(self.random.choice((0.0, 0.0, 0.3, 0.8)))
            if self.started_at != process:  # it has been killed meanwhile
                return await stream.aclose()
            async with self.turn:
                for number, kind, payload in self.events:
                    await stream.send(frame(number, kind, payload))
                self.streams.append(stream)
                self.heard = True
                self.note("answered")
            while True:
                async with self.turn:
                    await stream.send(frame(0, 0, b""))
                await anyio.sleep(0.3)

    async def drain(self, endpoint: StubCache) -> None:
        """A process that follows is told at once, and so is one that has had no chance to ask yet.

        One that was turned away counts as told when it asks again.
        """
        at = monotonic()
        told = at if self.streams or not (self.heard or self.turned_away) else None
        self.drains.append(Told(endpoint.name, at, told))
        with contextlib.suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):  # it asks again
            await self.tell(2, endpoint.record(DRAINING))

    async def go_down(self) -> None:
        """What a process that has not asked yet was owed counts once it asks."""
        self.down = True
        for told in self.drains:
            if not self.heard and told.at > self.started_at:
                told.counts_from = None
        await self.break_off()

    async def break_off(self) -> None:
        streams, self.streams = self.streams, []
        for stream in streams:
            await stream.aclose()


class History:
    """What one seed does to a front, and what came of it."""

    def __init__(self, seed: int, folder: Path) -> None:
        self.random, self.folder = Random(seed), folder
        self.caches = [StubCache(f"s-{n:08x}", 0, self.script) for n in range(1, 7)]
        self.parents = [StubCache(f"s-{n:08x}", 1, self.script) for n in range(0xA0, 0xA4)]
        self.origin = StubCache("s-000000b0", 2, self.script)
        self.coordinator = CrowdedCoordinator(random=self.random, note=self.note)
        self.where = ("127.0.0.1", free_port())
        self.sent: list[Sent] = []
        self.front: FrontProcess | None = None
        self.broken: list[str] = []
        self.answered = self.unanswered = 0
        self.killed = 0  # how often
        self.story: list[str] = []  # what was done and asked, with times since the start of the process
        self.lag = 0.0  # the worst lateness of this process's own loop

    async def script(self, stub: StubCache, fetch: Fetch) -> None:
        names = (stub.name, *(v for k, v in fetch.fields.items() if k == "up"))
        self.judge(Sent(monotonic(), names))
        await serve(stub, fetch)

    def judge(self, sent: Sent) -> None:
        self.sent.append(sent)
        if sent.at - self.coordinator.started_at < STARTUP:
            return  # of the process before, which was killed
        for told in self.coordinator.drains:
            if told.endpoint not in sent.names or told.counts_from is None:
                continue
            late = sent.at - told.counts_from - GRACE - self.lag
            if late > 0:
                start = sent.at - self.coordinator.started_at
                self.broken.append(
                    f"{told.endpoint}: {late:.3f} s past the grace, {start:.3f} s after the start"
                )

    async def measure(self) -> None:
        while True:
            before = monotonic()
            await anyio.sleep(0.01)
            self.lag = max(0.9 * self.lag, monotonic() - before - 0.01)

    async def client(self) -> None:
        while True:
            killed, open_now = self.killed, False
            try:
                async with await anyio.connect_tcp(*self.where) as stream:
                    c = Client(stream)
                    while True:
                        open_now, began = True, monotonic()
                        entity = f"{self.random.getrandbits(48):016x}"
                        trace = f"{self.random.getrandbits(60):016x}"
                        await c.ask(entity=entity, trace=trace, patience=str(round(PATIENCE * 1000)))
                        await c.reply()
                        self.answered, open_now = self.answered + 1, False
                        if monotonic() - began > PATIENCE + OVERDUE + self.lag:
                            self.broken.append(f"an answer after {monotonic() - began:.3f} s")
                        await anyio.sleep(0.01)
            except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
                self.unanswered += open_now and killed == self.killed
                await anyio.sleep(0.02)

    def config(self) -> dict[str, Any]:
        drained = {told.endpoint for told in self.coordinator.drains}
        listed = [
            stub.endpoint("draining" if stub.name in drained else "up")
            for stub in (*self.caches, *self.parents, self.origin)
        ]
        return configuration(listed, self.coordinator.port, listen=f"{self.where[0]}:{self.where[1]}")

    async def start(self) -> None:
        c = self.coordinator
        c.events.clear()
        c.streams.clear()
        c.started_at, c.heard, c.turned_away = monotonic(), False, 0
        for told in c.drains:
            told.counts_from = told.at  # it stands in the configuration
        self.front = FrontProcess(self.folder, self.config())
        self.note("started")

    async def fault(self) -> None:
        front, random = self.front, self.random
        assert front is not None
        kind = random.choice(("stop", "drain", "drain", "break off", "down", "drain behind a break"))
        self.note(kind)
        match kind:
            case "stop":
                front.process.send_signal(signal.SIGSTOP)
                await anyio.sleep(random.uniform(0.1, 1.2))
                await self.drain_one()
                await anyio.sleep(random.uniform(0.1, 1.2))
                front.process.send_signal(signal.SIGCONT)
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
        self.story.append(f"{monotonic() - self.coordinator.started_at:.3f} {what}")

    async def drain_one(self) -> None:
        drained = {told.endpoint for told in self.coordinator.drains}
        kin = self.random.choice((self.caches, self.parents))
        left = [stub for stub in kin if stub.name not in drained]
        if len(left) > 1:
            endpoint = self.random.choice(left)
            self.note(f"{endpoint.name} drains")
            await self.coordinator.drain(endpoint)

    async def play(self) -> None:
        async with anyio.create_task_group() as tasks:
            for stub in (*self.caches, *self.parents, self.origin, self.coordinator):
                await tasks.start(stub.run)  # type: ignore[attr-defined]
            tasks.start_soon(self.measure)
            for _ in range(CLIENTS):
                tasks.start_soon(self.client)
            try:
                for _ in range(STARTS):
                    await self.start()
                    before = self.answered
                    for _ in range(FAULTS_EACH):
                        await self.fault()
                    # Each process answers again after its faults, however slowly it started.
                    await until(lambda before=before: self.answered >= before + 8)  # type: ignore[misc]
                    self.kill()
            finally:
                self.kill()
            tasks.cancel_scope.cancel()

    def kill(self) -> None:
        if self.front is not None:
            self.killed += 1
            self.front.process.kill()
            self.front.process.wait()
            self.front = None


@pytest.mark.parametrize("seed", SEEDS)
async def test_no_history_of_restarts_sends_work_past_the_grace(seed: int, tmp_path: Path) -> None:
    history = History(seed, tmp_path)
    await history.play()
    logs = [json.loads(line) for log in sorted(tmp_path.glob("log*")) for line in log.open()]
    assert not history.broken, "\n".join([*history.broken, *history.story, *map(str, logs)])
    assert history.answered > 20 and len(history.sent) > 20
    assert not history.unanswered
    assert not [line for line in logs if line["level"] == "error"], logs
