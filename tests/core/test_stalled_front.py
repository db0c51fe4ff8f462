"""A front process is stopped repeatedly (SIGSTOP) while clients with short deadlines send bursts of requests.

Each seed gives one sequence of stops of a real process. Each attempt that reaches a stub endpoint is checked
against what its client has done until then. Set `STALL_SEEDS=50` to run more seeds by hand.
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
START_TOLERANCE = 0.1  # an attempt may start this many seconds after its client left or its deadline passed
LIMIT_TOLERANCE = 0.15  # seconds by which an attempt's limit may exceed the time that its client has left
WRITE_ARRIVAL_TIME = 0.005  # seconds after SIGCONT within which a write arrives that a stop interrupted
ANSWER_TOLERANCE = 0.5  # seconds by which an answer may be late
CONNECTIONS, REQUESTS_EACH, ROUNDS = 6, 10, 8
STOP_DELAY = (0.0, 0.05)  # seconds from the start of a burst to a stop
STOP_DURATION = (0.15, 0.6)  # seconds
PATIENCE = (0.25, 1.2)  # seconds from a request to its deadline


class ClientBehavior(Enum):
    """What a client does when the deadline of its request has passed."""

    STAYS = "stays"
    WITHDRAWS = "withdraws"
    CLOSES = "closes its connection"


@dataclass
class SentRequest:
    """One request as its client sees it; times are seconds of the monotonic clock."""

    trace: str
    sent_at: float
    patience: float
    behavior: ClientBehavior
    gone_at: float | None = None  # when its client withdrew it or closed the connection
    answer_count: int = 0
    answered_at: float = 0.0

    @property
    def waits_until(self) -> float:
        """The time until which its client waits for the answer."""
        deadline = self.sent_at + self.patience
        return deadline if self.gone_at is None else min(deadline, self.gone_at)


@dataclass
class AttemptChecker:
    """Checks each attempt that reaches an endpoint against the request that its client sent."""

    requests: dict[str, SentRequest] = field(default_factory=dict)
    attempts: int = 0
    violations: list[str] = field(default_factory=list)
    lag: float = 0.0  # recent lag of the event loop of the test itself, in seconds
    excused_writes: int = 0  # writes that were in progress at a stop, and would otherwise be violations
    stopped_at: float | None = None  # when the front was last stopped; None once a write is excused
    continued_at: float = 0.0

    async def measure_lag(self) -> None:
        """Measures `lag`: how much later than its arrival an attempt may be handled by the test."""
        while True:
            before = monotonic()
            await anyio.sleep(0.005)
            self.lag = max(0.9 * self.lag, monotonic() - before - 0.005)

    def process_stopping(self) -> None:
        """Records a stop of the front, perhaps between the last check of a write and its system call."""
        self.stopped_at = monotonic()

    def process_continued(self) -> None:
        self.continued_at = monotonic()

    def attempt_arrived(self, to: str, fetch: Fetch) -> None:
        request = self.requests.get(fetch.name)
        if request is None:
            return
        self.attempts += 1
        at = monotonic() - self.lag
        found = self.violations_of(to, fetch, request, at)
        if found and self.stopped_at is not None and at - self.continued_at < WRITE_ARRIVAL_TIME:
            # A process cannot notice a stop between its last check and the write. One such write per stop
            # counts as if it had arrived at the stop.
            at, self.stopped_at = self.stopped_at, None
            found = self.violations_of(to, fetch, request, at)
            self.excused_writes += 1
        self.violations += found

    def violations_of(self, to: str, fetch: Fetch, request: SentRequest, at: float) -> list[str]:
        """Describes each rule that an attempt violates if it starts at the time `at`."""
        late, limit = at - request.waits_until, int(fetch.fields["limit"]) / 1000
        left, found = request.sent_at + request.patience - at, []
        if late > START_TOLERANCE:
            reason = request.behavior.value if request.gone_at is not None else "its deadline had passed"
            found.append(
                f"{to} got {fetch.name} {late:.3f} s after its client had left ({reason}), limit {limit}"
            )
        if limit > max(0.0, left) + LIMIT_TOLERANCE:
            found.append(
                f"{to} got a limit of {limit:.3f} s for {fetch.name}, its client had {left:.3f} s left"
            )
        return found


class Scenario:
    """A front with stub endpoints, and the clients and stops that one seed gives."""

    def __init__(self, seed: int, folder: Path) -> None:
        self.random, self.checker = Random(seed), AttemptChecker()
        self.caches = [StubCache(f"s-{n:08x}", 0, self.endpoint) for n in range(1, 5)]
        self.stubs = [*self.caches, StubCache("s-000000a0", 1, self.endpoint)]
        self.stubs.append(StubCache("s-000000b0", 2, self.endpoint))
        self.address = ("127.0.0.1", free_port())
        self.folder = folder

    async def endpoint(self, stub: StubCache, fetch: Fetch) -> None:
        """Answers a request: serves, misses, rejects or delays it, or closes the connection, at random."""
        self.checker.attempt_arrived(stub.name, fetch)
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
                tasks.start_soon(self.run_client)

    async def run_client(self) -> None:
        """Sends requests on one connection, and waits until each is answered or given up."""
        behavior = self.random.choice(list(ClientBehavior))
        try:
            async with await anyio.connect_tcp(*self.address) as stream:
                c, sent = Client(stream), dict[int, SentRequest]()
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self.receive_answers, c, sent)
                    for _ in range(REQUESTS_EACH):
                        await self.send_request(c, behavior, sent, round(self.random.uniform(*PATIENCE), 3))
                    await self.leave_at_deadlines(c, sent)
                    tasks.cancel_scope.cancel()
        except* (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
            pass  # the front may close a connection without open requests

    async def send_request(
        self, c: Client, behavior: ClientBehavior, sent: dict[int, SentRequest], patience: float
    ) -> None:
        trace = f"{self.random.getrandbits(60):016x}"
        request = self.checker.requests[trace] = SentRequest(trace, monotonic(), patience, behavior)
        entity = f"{self.random.getrandbits(48):016x}"
        seq = await c.ask(trace=trace, entity=entity, patience=str(round(patience * 1000)))
        request.sent_at = monotonic()
        sent[seq] = request

    async def receive_answers(self, c: Client, sent: dict[int, SentRequest]) -> None:
        while True:
            reply = await c.reply()
            request = sent[reply.seq]
            request.answer_count, request.answered_at = request.answer_count + 1, monotonic()

    async def leave_at_deadlines(self, c: Client, sent: dict[int, SentRequest]) -> None:
        for seq, request in sorted(sent.items(), key=lambda item: item[1].waits_until):
            await anyio.sleep(max(0.0, request.waits_until - monotonic()))
            if request.answer_count or request.behavior is ClientBehavior.STAYS:
                continue
            request.gone_at = monotonic()
            if request.behavior is ClientBehavior.WITHDRAWS:
                await c.withdraw(seq)
                continue
            for other in sent.values():
                other.gone_at = other.gone_at or monotonic()
            return
        await anyio.sleep(ANSWER_TOLERANCE + STOP_DURATION[1])

    async def stop_and_continue(self, front: FrontProcess) -> None:
        await anyio.sleep(self.random.uniform(*STOP_DELAY))
        self.checker.process_stopping()
        front.process.send_signal(signal.SIGSTOP)
        await anyio.sleep(self.random.uniform(*STOP_DURATION))
        self.checker.process_continued()
        front.process.send_signal(signal.SIGCONT)

    @contextlib.asynccontextmanager
    async def running_front(self) -> AsyncIterator[FrontProcess]:
        """Runs a front process, its endpoints and the measurement of lag; enters once the front is ready."""
        async with anyio.create_task_group() as tasks:
            for stub in self.stubs:
                await tasks.start(stub.run)
            tasks.start_soon(self.checker.measure_lag)
            listed = [stub.endpoint() for stub in self.stubs]
            front = FrontProcess(
                self.folder, configuration(listed, listen=f"{self.address[0]}:{self.address[1]}")
            )
            try:
                await front.until(front.ready)
                yield front
            finally:
                front.process.kill()
                front.process.wait()
            tasks.cancel_scope.cancel()

    async def run(self) -> None:
        async with self.running_front() as front:
            for _ in range(ROUNDS):
                async with anyio.create_task_group() as round_:
                    round_.start_soon(self.burst)
                    for _ in range(3):
                        await self.stop_and_continue(front)


@pytest.mark.parametrize("seed", SEEDS)
async def test_no_stop_of_the_process_forwards_requests_of_clients_that_are_gone(
    seed: int, tmp_path: Path
) -> None:
    scenario = Scenario(seed, tmp_path)
    await scenario.run()
    checker = scenario.checker
    logs = [json.loads(line) for log in sorted(tmp_path.glob("log*")) for line in log.open()]
    assert not checker.violations, "\n".join([*checker.violations, *map(str, logs)])
    assert checker.attempts > 40 and checker.excused_writes <= 1
    assert all(request.answer_count <= 1 for request in checker.requests.values())
    assert not [line for line in logs if line["level"] == "error"], logs


@pytest.mark.parametrize("new", [False, True], ids=["an open connection", "a new one"])
@pytest.mark.parametrize(("patience", "stopped"), [(2.0, 0.8), (0.6, 1.0)], ids=["in time", "over"])
async def test_a_request_that_arrived_while_the_process_was_stopped_counts_from_when_it_was_sent(
    new: bool, patience: float, stopped: float, tmp_path: Path
) -> None:
    scenario = Scenario(0, tmp_path)
    async with scenario.running_front() as front:
        stream = await anyio.connect_tcp(*scenario.address)
        c = Client(stream)
        await c.ask(trace="f" * 16)  # not among the requests that are checked
        await c.reply()
        front.process.send_signal(signal.SIGSTOP)
        if new:
            await stream.aclose()
            c = Client(stream := await anyio.connect_tcp(*scenario.address))
        sent = dict[int, SentRequest]()
        await scenario.send_request(c, ClientBehavior.STAYS, sent, patience)
        await anyio.sleep(stopped)
        front.process.send_signal(signal.SIGCONT)
        with anyio.fail_after(ANSWER_TOLERANCE):
            reply = await c.reply()
        await stream.aclose()
    assert scenario.checker.violations == []
    assert (scenario.checker.attempts > 0) == (patience > stopped) and reply.seq in sent


@pytest.mark.parametrize("part", [0, 9], ids=["nothing", "half of it"])
async def test_a_request_of_which_the_rest_arrived_while_the_process_was_stopped_is_answered(
    part: int, tmp_path: Path
) -> None:
    # The timeout for a first message, or for the rest of a message, passes during the stop.
    scenario = Scenario(0, tmp_path)
    async with scenario.running_front() as front:
        with socket.create_connection(scenario.address, 5.0) as sock:
            message = call(1, route="video", patience="6000", trace="f" * 16)
            sock.sendall(message[:part])
            async with await anyio.connect_tcp(*scenario.address) as other:
                c = Client(other)
                await c.ask(trace="e" * 16)
                await c.reply()  # by now the first connection is accepted and its bytes are read
            front.process.send_signal(signal.SIGSTOP)
            await anyio.sleep(max(FIRST_MESSAGE_TIMEOUT_SECONDS, STALL_TIMEOUT_SECONDS) + 0.3)
            sock.sendall(message[part:])
            front.process.send_signal(signal.SIGCONT)
            assert len(await anyio.to_thread.run_sync(sock.recv, 100)) > 4
