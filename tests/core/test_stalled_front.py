"""A front process that is stopped again and again while clients with short deadlines come in bursts.

One seed is one history of stops of a real process. The endpoints judge, by what reaches them and by what each
client has done until then. `STALL_SEEDS=50` plays more of them by hand.
"""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from random import Random
from time import monotonic

import anyio
import anyio.abc
import pytest

from tests.processes import free_port
from tests.support.front_configuration import configuration
from tests.support.front_process import FrontProcess
from tests.support.raw_client import request as call
from tests.support.service_client import Client
from tests.support.stub_cache import Fetch, StubCache
from zincladder.net.client_server import FIRST_MESSAGE_TIMEOUT_SECONDS, STALL_TIMEOUT_SECONDS

pytestmark = pytest.mark.anyio
SEEDS = range(int(os.environ.get("STALL_FROM", "0")), int(os.environ.get("STALL_SEEDS", "3")))
BEGIN_SLACK = 0.1  # seconds after a client has gone, or its deadline, in which an attempt may still start
LIMIT_SLACK = 0.15  # seconds by which an attempt's limit may exceed what the client has left
WRITE_IN_PROGRESS = 0.005  # seconds after a process continues in which the write it had begun arrives
ANSWER_SLACK = 0.5  # seconds by which an answer may be late
CONNECTIONS, REQUESTS_EACH, ROUNDS = 6, 10, 8
STOP_AFTER = (0.0, 0.05)  # seconds from the begin of a burst to a stop
STOP_FOR = (0.15, 0.6)
PATIENCE = (0.25, 1.2)


class Leaving(Enum):
    """What a client does whose deadline is over."""

    STAYS = "stays"
    WITHDRAWS = "withdraws"
    CLOSES = "closes its connection"


@dataclass
class SentRequest:
    """One request, as its client knows of it; times are seconds of the monotonic clock."""

    trace: str
    written: float
    patience: float
    leaving: Leaving
    gone_at: float | None = None  # when its client withdrew it or closed the connection
    answers: int = 0
    answered_at: float = 0.0

    @property
    def over(self) -> float:
        """When its client waits no longer."""
        by_time = self.written + self.patience
        return by_time if self.gone_at is None else min(by_time, self.gone_at)


@dataclass
class Judge:
    """Knows every request, and checks each attempt that reaches an endpoint."""

    asked: dict[str, SentRequest] = field(default_factory=dict)
    attempts: int = 0
    broken: list[str] = field(default_factory=list)
    lag: float = 0.0  # by which this process's own loop was late lately
    late_writes: int = 0  # writes in progress as the process was stopped, which would have been faults
    stopped_at: float | None = None  # when it was stopped; None once that write has arrived
    continued_at: float = 0.0

    async def measure(self) -> None:
        """Keeps `lag`: what is seen late here is not the front's."""
        while True:
            before = monotonic()
            await anyio.sleep(0.005)
            self.lag = max(0.9 * self.lag, monotonic() - before - 0.005)

    def stops(self) -> None:
        """The process is stopped; it may be in one write, after its last check and before its call."""
        self.stopped_at = monotonic()

    def continues(self) -> None:
        self.continued_at = monotonic()

    def came(self, to: str, fetch: Fetch) -> None:
        request = self.asked.get(fetch.name)
        if request is None:
            return
        self.attempts += 1
        at = monotonic() - self.lag
        found = self.faults(to, fetch, request, at)
        if found and self.stopped_at is not None and at - self.continued_at < WRITE_IN_PROGRESS:
            # No process can notice that it is stopped there: that one write counts as of the stop.
            at, self.stopped_at = self.stopped_at, None
            found = self.faults(to, fetch, request, at)
            self.late_writes += 1
        self.broken += found

    def faults(self, to: str, fetch: Fetch, request: SentRequest, at: float) -> list[str]:
        """What is wrong with an attempt that begins at that time."""
        late, limit = at - request.over, int(fetch.fields["limit"]) / 1000
        left, found = request.written + request.patience - at, []
        if late > BEGIN_SLACK:
            reason = request.leaving.value if request.gone_at is not None else "its deadline was over"
            found.append(
                f"{to} got {fetch.name} {late:.3f} s after its client had gone ({reason}), limit {limit}"
            )
        if limit > max(0.0, left) + LIMIT_SLACK:
            found.append(f"{to} got a limit of {limit:.3f} s for {fetch.name}, its client had {left:.3f}")
        return found


class History:
    """What one seed does to a front, and what came of it."""

    def __init__(self, seed: int, folder: Path) -> None:
        self.random, self.judge = Random(seed), Judge()
        self.caches = [StubCache(f"s-{n:08x}", 0, self.endpoint) for n in range(1, 5)]
        self.stubs = [*self.caches, StubCache("s-000000a0", 1, self.endpoint)]
        self.stubs.append(StubCache("s-000000b0", 2, self.endpoint))
        self.where = ("127.0.0.1", free_port())
        self.folder = folder

    async def endpoint(self, stub: StubCache, fetch: Fetch) -> None:
        """Serves most, misses or rejects some at once, delays some, and closes connections at times."""
        self.judge.came(stub.name, fetch)
        drawn = self.random.random()
        if drawn < 0.3:
            await anyio.sleep(self.random.uniform(0.02, 0.4))
        if drawn < 0.15:
            await fetch.answer(503)
        elif drawn < 0.5:
            await fetch.answer(404)
        elif drawn < 0.6:
            await fetch.stream.aclose()
        else:
            await fetch.answer(200, "tell=local,rev=aa,since=1", fetch.fields["item"].encode())

    async def burst(self) -> None:
        async with anyio.create_task_group() as tasks:
            for _ in range(CONNECTIONS):
                tasks.start_soon(self.client)

    async def client(self) -> None:
        """One connection: its requests at once, then each one's end."""
        leaving = self.random.choice(list(Leaving))
        try:
            async with await anyio.connect_tcp(*self.where) as stream:
                c, mine = Client(stream), dict[int, SentRequest]()
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self.answers, c, mine)
                    for _ in range(REQUESTS_EACH):
                        await self.ask(c, leaving, mine, round(self.random.uniform(*PATIENCE), 3))
                    await self.leave(c, mine)
                    tasks.cancel_scope.cancel()
        except* (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
            pass  # the front may end a connection on which nothing is open

    async def ask(self, c: Client, leaving: Leaving, mine: dict[int, SentRequest], patience: float) -> None:
        trace = f"{self.random.getrandbits(60):016x}"
        request = self.judge.asked[trace] = SentRequest(trace, monotonic(), patience, leaving)
        entity = f"{self.random.getrandbits(48):016x}"
        seq = await c.ask(trace=trace, entity=entity, patience=str(round(patience * 1000)))
        request.written = monotonic()
        mine[seq] = request

    async def answers(self, c: Client, mine: dict[int, SentRequest]) -> None:
        while True:
            reply = await c.reply()
            request = mine[reply.seq]
            request.answers, request.answered_at = request.answers + 1, monotonic()

    async def leave(self, c: Client, mine: dict[int, SentRequest]) -> None:
        for seq, request in sorted(mine.items(), key=lambda item: item[1].over):
            await anyio.sleep(max(0.0, request.over - monotonic()))
            if request.answers or request.leaving is Leaving.STAYS:
                continue
            request.gone_at = monotonic()
            if request.leaving is Leaving.WITHDRAWS:
                await c.withdraw(seq)
                continue
            for other in mine.values():
                other.gone_at = other.gone_at or monotonic()
            return
        await anyio.sleep(ANSWER_SLACK + STOP_FOR[1])

    async def stop(self, front: FrontProcess) -> None:
        await anyio.sleep(self.random.uniform(*STOP_AFTER))
        self.judge.stops()
        front.process.send_signal(signal.SIGSTOP)
        await anyio.sleep(self.random.uniform(*STOP_FOR))
        self.judge.continues()
        front.process.send_signal(signal.SIGCONT)

    @contextlib.asynccontextmanager
    async def front(self) -> AsyncIterator[FrontProcess]:
        """A process that is ready, its members and the judge."""
        async with anyio.create_task_group() as tasks:
            for stub in self.stubs:
                await tasks.start(stub.run)
            tasks.start_soon(self.judge.measure)
            listed = [stub.endpoint() for stub in self.stubs]
            front = FrontProcess(
                self.folder, configuration(listed, listen=f"{self.where[0]}:{self.where[1]}")
            )
            try:
                await front.until(front.ready)
                yield front
            finally:
                front.process.kill()
                front.process.wait()
            tasks.cancel_scope.cancel()

    async def play(self) -> None:
        async with self.front() as front:
            for _ in range(ROUNDS):
                async with anyio.create_task_group() as round_:
                    round_.start_soon(self.burst)
                    for _ in range(3):
                        await self.stop(front)


@pytest.mark.parametrize("seed", SEEDS)
async def test_no_stop_of_the_process_forwards_requests_of_clients_that_are_gone(
    seed: int, tmp_path: Path
) -> None:
    history = History(seed, tmp_path)
    await history.play()
    judge = history.judge
    logs = [json.loads(line) for log in sorted(tmp_path.glob("log*")) for line in log.open()]
    assert not judge.broken, "\n".join([*judge.broken, *map(str, logs)])
    assert judge.attempts > 40 and judge.late_writes <= 1
    assert all(request.answers <= 1 for request in judge.asked.values())
    assert not [line for line in logs if line["level"] == "error"], logs


@pytest.mark.parametrize("new", [False, True], ids=["an open connection", "a new one"])
@pytest.mark.parametrize(("patience", "stopped"), [(2.0, 0.8), (0.6, 1.0)], ids=["in time", "over"])
async def test_a_request_that_arrived_while_the_process_was_stopped_counts_from_when_it_was_sent(
    new: bool, patience: float, stopped: float, tmp_path: Path
) -> None:
    history = History(0, tmp_path)
    async with history.front() as front:
        stream = await anyio.connect_tcp(*history.where)
        c = Client(stream)
        await c.ask(trace="f" * 16)  # the judge does not know it
        await c.reply()
        front.process.send_signal(signal.SIGSTOP)
        if new:
            await stream.aclose()
            c = Client(stream := await anyio.connect_tcp(*history.where))
        mine = dict[int, SentRequest]()
        await history.ask(c, Leaving.STAYS, mine, patience)
        await anyio.sleep(stopped)
        front.process.send_signal(signal.SIGCONT)
        with anyio.fail_after(ANSWER_SLACK):
            reply = await c.reply()
        await stream.aclose()
    assert history.judge.broken == []
    assert (history.judge.attempts > 0) == (patience > stopped) and reply.seq in mine


@pytest.mark.parametrize("part", [0, 9], ids=["nothing", "half of it"])
async def test_a_request_of_which_the_rest_arrived_while_the_process_was_stopped_is_answered(
    part: int, tmp_path: Path
) -> None:
    # the timeout of a first message, or of the rest of one, passed meanwhile
    history = History(0, tmp_path)
    async with history.front() as front:
        with socket.create_connection(history.where, 5.0) as sock:
            message = call(1, route="video", patience="6000", trace="f" * 16)
            sock.sendall(message[:part])
            async with await anyio.connect_tcp(*history.where) as other:
                c = Client(other)
                await c.ask(trace="e" * 16)
                await c.reply()  # so the first has been taken, and its part read
            front.process.send_signal(signal.SIGSTOP)
            await anyio.sleep(max(FIRST_MESSAGE_TIMEOUT_SECONDS, STALL_TIMEOUT_SECONDS) + 0.3)
            sock.sendall(message[part:])
            front.process.send_signal(signal.SIGCONT)
            assert len(await anyio.to_thread.run_sync(sock.recv, 100)) > 4
