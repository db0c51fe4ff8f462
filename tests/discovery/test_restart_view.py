"""Fronts that start, or reconnect, while the endpoint list changes.

Incident: fronts that had been killed and restarted forwarded requests to draining endpoints, and named them
as sources of fills, up to 0.2 s after they were ready; the drain grace was long over.
Sequence: clients went on connecting to the address of a front that was away for a moment. Its new process
listened before it was ready, so their requests were there when it was.
Cause: the list in the configuration is that of the moment of the start, and starts took 1 to 3 s. The first
requests were decided by it, while the coordinator's answer to the question for later events was on its way.
Proof: the first test delays that answer until a request has been read. Without the fix the request is decided
by the old list in each of the four forms.
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
from tests.support.front_hooks import cores_of
from tests.support.front_process import FrontProcess
from tests.support.front_world import World, world
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
ROUNDS = 20  # calls answered after a request was read: the front could have sent it on at each


async def connected(where: tuple[str, int]) -> anyio.abc.SocketStream:
    """A connection to a front as soon as it listens, as clients of a restarted front have it."""
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
    """An endpoint, its parent and the origin, and a coordinator that answers once it may."""

    def __init__(self) -> None:
        self.endpoint, self.parent = StubCache("s-00000001", 0), StubCache("s-000000a0", 1)
        self.origin = StubCache("s-000000b0", 2)
        self.may_answer = anyio.Event()
        self.chosen = False  # whether `status` was good before the coordinator had answered
        self.coordinator = Coordinator(may_answer=self.may_answer)

    @property
    def stubs(self) -> list[StubCache]:
        return [self.endpoint, self.parent, self.origin]

    def asked(self) -> list[dict[str, str]]:
        """The fields of all attempts, with the name of the endpoint that they reached."""
        return [{"to": stub.name} | fetch.fields for stub in self.stubs for fetch in stub.fetches]

    async def run(self, tasks: anyio.abc.TaskGroup) -> None:
        for stub in self.stubs:
            await tasks.start(stub.run)
        await tasks.start(self.coordinator.run)


@dataclass(frozen=True)
class Change:
    """An event that the initial list lacks, and whether an attempt observes it."""

    event: Callable[[Fleet], tuple[int, bytes]]  # its kind and payload
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
    """What a starting front does with a request that finds it listening, before and after its first frame."""
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
                request = await c.ask(
                    patience="5000"
                )  # the longest: a slow machine has its rounds within the share for which requests wait
                replies = [await status(c) for _ in range(ROUNDS)]
                fleet.chosen = any(reply.good for reply in replies if reply.seq != request)
                fleet.may_answer.set()
                if request not in [reply.seq for reply in replies]:
                    replies.append(await c.reply())
                answers = {reply.seq: reply for reply in replies}
                assert answers[request].kind == "served"
        finally:
            front.process.kill()
            front.process.wait()
        tasks.cancel_scope.cancel()
    return fleet, fleet.asked()


async def test_what_a_start_finds_waiting_is_not_decided_by_the_list_of_the_start(tmp_path: Path) -> None:
    by_the_old_list = []
    for name, change in CHANGES.items():
        folder = tmp_path / name.replace(" ", "-")
        folder.mkdir()
        fleet, sent = await first_attempts(folder, change)
        assert sent, name
        assert not fleet.chosen, name  # clients that look for a front stay away for that long
        if not all(change.observed(fleet, attempt) for attempt in sent):
            by_the_old_list.append(name)
    assert not by_the_old_list


# Related paths: the same class of fault in a running front ------------------------------------------


async def followed(cores: list[Core]) -> Core:
    """The front's core, once the coordinator has spoken."""
    await until(lambda: bool(cores) and phase(cores[0]) is WatchPhase.FOLLOWING)
    return cores[0]


def phase(core: Core) -> WatchPhase:
    assert core.endpoint_list.freshness is not None
    return core.endpoint_list.freshness.phase


def push_now(w: World, record: bytes) -> None:
    """Puts a change of the list on its way without a turn of the loop: the front has not read it yet."""
    number = w.coordinator.streams[-1].extra(anyio.abc.SocketAttribute.raw_socket).fileno()
    with socket.socket(fileno=os.dup(number)) as sock:
        sock.send(frame(2, 2, record))


async def never_begins(_: CoordinatorWatch) -> None:
    """A watch that has not had its turn."""
    await anyio.sleep_forever()


async def test_what_the_coordinator_said_is_read_before_an_attempts_first_byte(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # a process may stall between its decision and the send, and read the coordinator only after that
    cores = cores_of(monkeypatch)
    async with world(serve) as w, client(w) as c:
        await followed(cores)
        endpoint, real, stalls_left = w.caches[0], WriteQueue.put, [True]

        def stalls(self: WriteQueue, parts: Sequence[bytes], may_go: Any = None, *more: Any) -> QueuedWrite:
            while stalls_left and may_go is not None:  # of an attempt
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
    # the same with a real process: SIGSTOP, a drain and requests on many connections, SIGCONT
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


async def test_a_request_waits_for_the_answer_to_a_question_asked_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # events behind a broken watch count as delivered once the front asks again
    cores = cores_of(monkeypatch)
    async with world(serve) as w, client(w) as c:
        core = await followed(cores)
        freshness = core.endpoint_list.freshness
        assert freshness is not None
        endpoint, w.coordinator.may_answer = w.caches[0], anyio.Event()
        w.coordinator.events.append((2, 2, endpoint.record(DRAINING)))
        freshness.min_grace_seconds = 0.0  # the question was asked a grace ago
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


async def test_a_retry_waits_for_that_answer_too(monkeypatch: pytest.MonkeyPatch) -> None:
    cores, reject = cores_of(monkeypatch), anyio.Event()

    async def full(_: StubCache, fetch: Fetch) -> None:
        await reject.wait()
        await fetch.answer(503)

    async with world(full, full) as w, client(w) as c:
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


async def test_names_are_asked_for_in_vain_until_the_list_is_current(monkeypatch: pytest.MonkeyPatch) -> None:
    cores = cores_of(monkeypatch)
    monkeypatch.setattr(CoordinatorWatch, "run", never_begins)
    async with world(serve) as w, client(w) as c, anyio.create_task_group() as tasks:
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


async def test_a_front_without_a_coordinator_to_be_had_serves_by_what_it_knows() -> None:
    async with world(serve) as w:
        w.coordinator.down = True
        async with client(w) as c:
            await c.ask()
            assert (await c.reply()).kind == "served"
            assert (await status(c)).good


async def test_a_request_without_the_time_to_wait_is_rejected_and_not_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # rejected before half of its time is over, so that its client can still retry elsewhere
    monkeypatch.setattr(CoordinatorWatch, "run", never_begins)
    async with world(serve) as w, client(w) as c:
        began = monotonic()
        await c.ask(patience="200")
        assert (await c.reply()).kind == "Throttled"
        assert 0.05 < monotonic() - began < 0.1 + 0.05
        assert not any(stub.fetches for stub in w.caches)


async def test_what_waits_for_the_coordinator_is_answered_when_the_front_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    cores = cores_of(monkeypatch)
    monkeypatch.setattr(CoordinatorWatch, "run", never_begins)
    async with world(serve) as w, client(w) as c:
        await c.ask(patience="2000")
        await until(lambda: cores[0].counts["out_of_date", "held"] == 1)
        cores[0].fail_open_requests()
        with anyio.fail_after(0.4):  # it would wait for 0.9 s
            assert (await c.reply()).kind == "Broken"


async def test_a_list_that_comes_in_pieces_is_not_current_in_the_middle_of_an_event(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    cores = cores_of(monkeypatch)
    go_on = anyio.Event()

    async def in_pieces(self: Coordinator, stream: anyio.abc.ByteStream) -> None:
        await stream.receive()
        await until(lambda: bool(self.events))
        first, second = frame(2, 4, struct.pack(">HQ", 3, 1)), frame(3, 2, self.events[0][2])
        await stream.send(first + second[:-5])
        await go_on.wait()
        await stream.send(second[-5:])
        await anyio.sleep_forever()

    monkeypatch.setattr(Coordinator, "_connection", in_pieces)
    async with world(serve) as w, client(w) as c:
        endpoint = w.caches[0]
        w.coordinator.events.append((3, 2, endpoint.record(DRAINING)))
        await c.ask(patience="5000")
        await until(lambda: cores[0].counts["out_of_date", "held"] == 1)
        for _ in range(ROUNDS):
            await status(c)
        assert not endpoint.fetches and phase(cores[0]) is WatchPhase.STARTING
        go_on.set()
        assert (await c.reply()).kind == "served"
        assert not endpoint.fetches
