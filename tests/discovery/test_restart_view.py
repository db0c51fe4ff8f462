"""Fronts that start, or reconnect, while the endpoint list changes.

The failure: fronts that had been killed and restarted forwarded requests to draining endpoints, or named
them as fill sources, up to 0.2 s after they were ready, long after the drain grace had passed. The endpoint
list in the configuration dates from the moment of the start, and starts took 1 to 3 s. Clients kept
connecting to the front's address, and its new process listened before it was ready. It decided their requests
by the old list before the coordinator had answered the first catch-up request (the request for later events).

The first test delays that answer until a client's request has been read. Without the fix, all four changes of
CHANGES are missed.
"""

from __future__ import annotations

import os
import signal
import socket
import struct
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from time import monotonic
from typing import Any

import anyio
import anyio.abc
import dns.message
import dns.rcode
import pytest

from tests.processes import free_port
from tests.support.coordinator_frames import frame, until
from tests.support.front_configuration import configuration
from tests.support.front_hooks import record_cores
from tests.support.front_process import FrontProcess
from tests.support.front_world import RunningFront, running_front
from tests.support.resolver import Resolver
from tests.support.service_client import Client, Reply, client
from tests.support.stub_cache import Fetch, StubCache, serve
from tests.support.stub_coordinator import Coordinator
from zincladder.core.engine import Core
from zincladder.discovery.freshness import (
    WatchPhase,
)
from zincladder.net import coordinator_watch as watching
from zincladder.net.coordinator_watch import CoordinatorWatch
from zincladder.net.write_queue import QueuedWrite, WriteQueue

pytestmark = pytest.mark.anyio
DRAINING, GONE = 1, 2
ROUNDS = 20  # status calls answered after a request was read; the front had that many chances to forward it


async def connected(where: tuple[str, int]) -> anyio.abc.SocketStream:
    """Connects to a front as soon as it listens, like the clients of a restarted front."""
    with anyio.fail_after(10):
        while True:
            try:
                return await anyio.connect_tcp(*where)
            except OSError:
                await anyio.sleep(0.005)


async def status(c: Client) -> Reply:
    await c.send("status", b"\x02\0\1\1")
    return await c.reply()


class Fleet:
    """A cache, a parent, the origin, and a coordinator that answers once `may_answer` is set."""

    def __init__(self) -> None:
        self.endpoint, self.parent = StubCache("s-00000001", 0), StubCache("s-000000a0", 1)
        self.origin = StubCache("s-000000b0", 2)
        self.may_answer = anyio.Event()
        self.reported_ready = False  # whether a `status` call succeeded before the coordinator had answered
        self.coordinator = Coordinator(may_answer=self.may_answer)

    @property
    def stubs(self) -> list[StubCache]:
        return [self.endpoint, self.parent, self.origin]

    def attempts(self) -> list[dict[str, str]]:
        """The fields of all attempts received, with the name of the endpoint under "to"."""
        return [{"to": stub.name} | fetch.fields for stub in self.stubs for fetch in stub.fetches]

    async def run(self, tasks: anyio.abc.TaskGroup) -> None:
        for stub in self.stubs:
            await tasks.start(stub.run)
        await tasks.start(self.coordinator.run)


@dataclass(frozen=True)
class Change:
    """An event after the initial list, and a check whether an attempt takes it into account."""

    event: Callable[[Fleet], tuple[int, bytes]]  # kind and payload
    observed: Callable[[Fleet, dict[str, str]], bool]


def not_at_the_endpoint(fleet: Fleet, sent: dict[str, str]) -> bool:
    return sent["to"] != fleet.endpoint.name


CHANGES = {
    "the endpoint drains": Change(lambda fleet: (2, fleet.endpoint.record(DRAINING)), not_at_the_endpoint),
    "the endpoint is gone": Change(lambda fleet: (2, fleet.endpoint.record(GONE)), not_at_the_endpoint),
    "its source drains": Change(
        lambda fleet: (2, fleet.parent.record(DRAINING)), lambda fleet, sent: sent["up"] != fleet.parent.name
    ),
    "the object was purged": Change(
        lambda fleet: (4, struct.pack(">HQ", 17, round(time.time() * 1000))),
        lambda fleet, sent: "cap" in sent,
    ),
}


async def first_attempts(folder: Path, change: Change) -> tuple[Fleet, list[dict[str, str]]]:
    """Sends a starting front a request before the coordinator's first frame; returns fleet and attempts."""
    fleet = Fleet()
    async with anyio.create_task_group() as tasks:
        await fleet.run(tasks)
        fleet.coordinator.events.append((2, *change.event(fleet)))
        where = ("127.0.0.1", free_port())
        config = configuration([stub.endpoint() for stub in fleet.stubs], fleet.coordinator.port)
        front = FrontProcess(folder, config | {"listen": f"{where[0]}:{where[1]}"})
        try:
            async with await connected(where) as stream:
                c = Client(stream)
                # With the longest patience the request outlasts the status calls even on a slow machine.
                request = await c.ask(patience="5000")
                replies = [await status(c) for _ in range(ROUNDS)]
                fleet.reported_ready = any(reply.good for reply in replies if reply.seq != request)
                fleet.may_answer.set()
                if request not in [reply.seq for reply in replies]:
                    replies.append(await c.reply())
                answers = {reply.seq: reply for reply in replies}
                assert answers[request].kind == "served"
        finally:
            front.process.kill()
            front.process.wait()
        tasks.cancel_scope.cancel()
    return fleet, fleet.attempts()


async def test_requests_that_arrive_during_a_start_are_not_decided_by_the_old_list(tmp_path: Path) -> None:
    missed_changes = []
    for name, change in CHANGES.items():
        folder = tmp_path / name.replace(" ", "-")
        folder.mkdir()
        fleet, sent = await first_attempts(folder, change)
        assert sent, name
        assert not fleet.reported_ready, name  # clients do not choose a front that is not ready
        if not all(change.observed(fleet, attempt) for attempt in sent):
            missed_changes.append(name)
    assert not missed_changes


# The same fault in a running front ------------------------------------------------------------------


async def followed(cores: list[Core]) -> Core:
    """Returns the front's core once the first frame of the coordinator has arrived."""
    await until(lambda: bool(cores) and phase(cores[0]) is WatchPhase.FOLLOWING)
    return cores[0]


def phase(core: Core) -> WatchPhase:
    assert core.endpoint_list.freshness is not None
    return core.endpoint_list.freshness.phase


def push_now(w: RunningFront, record: bytes) -> None:
    """Sends a change of the list without running the event loop, so that the front has not read it yet."""
    number = w.coordinator.streams[-1].extra(anyio.abc.SocketAttribute.raw_socket).fileno()
    with socket.socket(fileno=os.dup(number)) as sock:
        sock.send(frame(2, 2, record))


async def never_begins(_: CoordinatorWatch) -> None:
    """Stands in for `CoordinatorWatch.run`: a watch that never connects."""
    await anyio.sleep_forever()


async def test_events_of_the_coordinator_are_read_before_the_first_byte_of_an_attempt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A process may stall between its decision and the send, and would read the event only afterwards.
    cores = record_cores(monkeypatch)
    async with running_front(serve) as w, client(w) as c:
        await followed(cores)
        endpoint, real, stalls_left = w.caches[0], WriteQueue.put, [True]

        def stalls(self: WriteQueue, parts: Sequence[bytes], may_go: Any = None, *more: Any) -> QueuedWrite:
            while stalls_left and may_go is not None:  # only for writes of attempts
                stalls_left.pop()
                push_now(w, endpoint.record(DRAINING))
                monkeypatch.setattr(watching, "POLL_INTERVAL_SECONDS", 0.0)
            return real(self, parts, may_go, *more)

        monkeypatch.setattr(WriteQueue, "put", stalls)
        await c.ask()
        assert (await c.reply()).kind == "served"
        assert not endpoint.fetches
        assert cores[0].counts["held_back", "member_drains"] == 1


async def test_a_front_that_was_stopped_reads_the_coordinator_first(tmp_path: Path) -> None:
    # The same with a real process: SIGSTOP, then a drain and requests on many connections, then SIGCONT.
    fleet = Fleet()
    fleet.may_answer.set()
    async with anyio.create_task_group() as tasks:
        await fleet.run(tasks)
        where = ("127.0.0.1", free_port())
        config = configuration([stub.endpoint() for stub in fleet.stubs], fleet.coordinator.port)
        front = FrontProcess(tmp_path, config | {"listen": f"{where[0]}:{where[1]}"})
        try:
            clients = [Client(await connected(where)) for _ in range(8)]
            await front.until(front.ready)
            front.process.send_signal(signal.SIGSTOP)
            for n, c in enumerate(clients):
                await c.ask(trace=f"{n + 1:016x}", patience="5000")
            await fleet.coordinator.tell(2, fleet.endpoint.record(DRAINING))
            front.process.send_signal(signal.SIGCONT)
            for c in clients:
                assert (await c.reply()).kind == "served"
                await c.stream.aclose()
        finally:
            front.process.kill()
            front.process.wait()
        assert not fleet.endpoint.fetches
        tasks.cancel_scope.cancel()


async def test_after_a_reconnect_a_request_waits_for_the_answer_to_the_catch_up_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Events after a broken watch count as delivered once the front has sent a catch-up request.
    cores = record_cores(monkeypatch)
    async with running_front(serve) as w, client(w) as c:
        core = await followed(cores)
        freshness = core.endpoint_list.freshness
        assert freshness is not None
        endpoint, w.coordinator.may_answer = w.caches[0], anyio.Event()
        w.coordinator.events.append((2, 2, endpoint.record(DRAINING)))
        freshness.min_grace_seconds = 0.0  # the grace has passed since the catch-up request
        for stream in w.coordinator.streams:
            await stream.aclose()
        await until(lambda: len(w.coordinator.after) == 2)
        await until(lambda: freshness.seconds_until_usable(monotonic()) > 0)
        await c.ask()
        await until(lambda: core.counts["out_of_date", "held"] == 1)
        assert not endpoint.fetches
        w.coordinator.may_answer.set()
        assert (await c.reply()).kind == "served"
        assert not endpoint.fetches


async def test_a_retry_waits_for_the_answer_to_the_catch_up_request_too(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    cores, reject = record_cores(monkeypatch), anyio.Event()

    async def full(_: StubCache, fetch: Fetch) -> None:
        await reject.wait()
        await fetch.answer(503)

    async with running_front(full, full) as w, client(w) as c:
        core = await followed(cores)
        freshness = core.endpoint_list.freshness
        assert freshness is not None
        await c.ask()
        await until(lambda: any(stub.fetches for stub in w.caches))
        drained = [stub for stub in w.caches[:-1] if not stub.fetches]  # all but the origin
        w.coordinator.may_answer = anyio.Event()
        w.coordinator.events += [(2 + n, 2, stub.record(DRAINING)) for n, stub in enumerate(drained)]
        freshness.min_grace_seconds = 0.0
        for stream in w.coordinator.streams:
            await stream.aclose()
        await until(lambda: freshness.seconds_until_usable(monotonic()) > 0)
        reject.set()
        await until(lambda: core.counts["out_of_date", "held"] == 1)
        w.coordinator.may_answer.set()
        assert (await c.reply()).kind == "served"
        assert not any(stub.fetches for stub in drained)


async def test_dns_queries_are_answered_only_once_the_list_is_current(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    cores = record_cores(monkeypatch)
    monkeypatch.setattr(CoordinatorWatch, "run", never_begins)
    async with running_front(serve) as w, client(w) as c, anyio.create_task_group() as tasks:
        assert w.listening.dns
        resolver, answers = Resolver(w.listening.dns), list[dns.message.Message]()

        async def ask() -> None:
            answers.append(await resolver.query("papers.main.example.org"))

        tasks.start_soon(ask)
        for _ in range(ROUNDS):
            await status(c)
        assert not answers
        assert cores[0].endpoint_list.freshness is not None
        cores[0].endpoint_list.freshness.frame_received(monotonic())
        cores[0].endpoint_list.notify_changed()
        await until(lambda: bool(answers))
        assert answers[0].rcode() == dns.rcode.NOERROR


async def test_a_front_that_cannot_reach_the_coordinator_serves_by_its_initial_list() -> None:
    async with running_front(serve) as w:
        w.coordinator.down = True
        async with client(w) as c:
            await c.ask()
            assert (await c.reply()).kind == "served"
            assert (await status(c)).good


async def test_a_request_without_enough_time_to_wait_is_rejected_and_not_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # It is rejected before half of its time has passed, so that its client can still retry elsewhere.
    monkeypatch.setattr(CoordinatorWatch, "run", never_begins)
    async with running_front(serve) as w, client(w) as c:
        started_at = monotonic()
        await c.ask(patience="200")
        assert (await c.reply()).kind == "Throttled"
        assert 0.05 < monotonic() - started_at < 0.1 + 0.05
        assert not any(stub.fetches for stub in w.caches)


async def test_requests_that_wait_for_the_coordinator_are_answered_when_the_front_stops(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    cores = record_cores(monkeypatch)
    monkeypatch.setattr(CoordinatorWatch, "run", never_begins)
    async with running_front(serve) as w, client(w) as c:
        await c.ask(patience="2000")
        await until(lambda: cores[0].counts["out_of_date", "held"] == 1)
        cores[0].fail_open_requests()
        with anyio.fail_after(0.4):  # otherwise the request would wait for 0.9 s
            assert (await c.reply()).kind == "Broken"


async def test_the_list_is_not_current_while_only_a_part_of_an_event_has_arrived(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    cores = record_cores(monkeypatch)
    may_send_rest = anyio.Event()

    async def send_in_pieces(self: Coordinator, stream: anyio.abc.ByteStream) -> None:
        await stream.receive()
        await until(lambda: bool(self.events))
        first, second = frame(2, 4, struct.pack(">HQ", 3, 1)), frame(3, 2, self.events[0][2])
        await stream.send(first + second[:-5])
        await may_send_rest.wait()
        await stream.send(second[-5:])
        await anyio.sleep_forever()

    monkeypatch.setattr(Coordinator, "_connection", send_in_pieces)
    async with running_front(serve) as w, client(w) as c:
        endpoint = w.caches[0]
        w.coordinator.events.append((3, 2, endpoint.record(DRAINING)))
        await c.ask(patience="5000")
        await until(lambda: cores[0].counts["out_of_date", "held"] == 1)
        for _ in range(ROUNDS):
            await status(c)
        assert not endpoint.fetches and phase(cores[0]) is WatchPhase.STARTING
        may_send_rest.set()
        assert (await c.reply()).kind == "served"
        assert not endpoint.fetches
