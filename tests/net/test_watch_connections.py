"""The watch on the coordinator at its ends: whatever becomes of a connection, each event is told once."""

from __future__ import annotations

import socket
import struct
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import anyio
import anyio.abc
import pytest
from structlog.testing import capture_logs

from tests.support.coordinator_frames import frame, purge, until
from tests.support.front_hooks import cores_of
from tests.support.front_world import world
from tests.support.service_client import client
from tests.support.stub_cache import serve
from zincladder.discovery.freshness import WatchPhase
from zincladder.net import coordinator_watch as watching
from zincladder.net.coordinator_watch import CoordinatorWatch
from zincladder.net.events import PurgeReceived, WatchEvent
from zincladder.routing.interface import EndpointState

pytestmark = pytest.mark.anyio
Stream = anyio.abc.SocketStream
Act = Callable[["Scripted", Stream, int], Coroutine[Any, Any, None]]
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: close sends a reset


@dataclass
class Scripted:
    """A coordinator that plays another act on each connection; the last one stays."""

    acts: list[Act]
    newest: int = 1  # of its events
    asked: list[int] = field(default_factory=list)  # from which event on, by connection
    address: tuple[str, int] = ("127.0.0.1", 0)
    read: anyio.Event = field(default_factory=anyio.Event)  # the front has told an event

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.address = ("127.0.0.1", listener.extra(anyio.abc.SocketAttribute.local_port))
        task_status.started()
        await listener.serve(self._connection)

    async def _connection(self, stream: Stream) -> None:
        try:
            async with stream:
                last = int.from_bytes(await stream.receive(8), "big")
                self.asked.append(last)
                await self.acts[min(len(self.asked), len(self.acts)) - 1](self, stream, last)
        except (anyio.BrokenResourceError, anyio.EndOfStream, anyio.ClosedResourceError):
            pass  # the front left


async def tells(self: Scripted, stream: Stream, last: int) -> None:
    """What a healthy one does."""
    for number in range(last + 1, self.newest + 1):
        await stream.send(purge(number))
    while True:
        await stream.send(frame(self.newest))
        await anyio.sleep(0.02)


async def _happens(self: Scripted, stream: Stream, last: int) -> None:
    """Event 2 is told, then 3 and 4 happen behind a watch that has just died."""
    await stream.send(purge(2))
    self.newest = 4


async def silent(self: Scripted, stream: Stream, last: int) -> None:
    await _happens(self, stream, last)
    await anyio.sleep_forever()


async def says_nothing(self: Scripted, stream: Stream, last: int) -> None:
    await anyio.sleep_forever()


async def half_a_head(self: Scripted, stream: Stream, last: int) -> None:
    await _happens(self, stream, last)
    await stream.send(purge(3)[:7])
    await anyio.sleep_forever()


async def half_an_event(self: Scripted, stream: Stream, last: int) -> None:
    await _happens(self, stream, last)
    await stream.send(purge(3)[:-3])
    await anyio.sleep_forever()


async def breaks_off(self: Scripted, stream: Stream, last: int) -> None:
    await _happens(self, stream, last)
    await stream.send(purge(3)[:-3])


async def resets(self: Scripted, stream: Stream, last: int) -> None:
    await _happens(self, stream, last)
    await self.read.wait()  # else the reset would take the event with it
    sock = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)


async def twice(self: Scripted, stream: Stream, last: int) -> None:
    await _happens(self, stream, last)
    for number in (2, 3, 3, 4, 3, 4):
        await stream.send(purge(number))
    await tells(self, stream, 4)


async def not_a_frame(self: Scripted, stream: Stream, last: int) -> None:
    await _happens(self, stream, last)
    await stream.send(frame(3, 2, bytes(5)))
    await anyio.sleep_forever()


@asynccontextmanager
async def watch(coordinator: Scripted) -> AsyncIterator[tuple[CoordinatorWatch, list[int]]]:
    """A watch on it that knows event 1, and the events that it tells."""
    told: list[int] = []

    def on_event(event: WatchEvent) -> None:
        assert isinstance(event, PurgeReceived)
        told.append(event.group)
        coordinator.read.set()

    async with anyio.create_task_group() as tasks:
        await tasks.start(coordinator.run)
        follower = CoordinatorWatch(coordinator.address, 1, on_event, 5)
        tasks.start_soon(follower.run)
        yield follower, told
        tasks.cancel_scope.cancel()


FAULTS = [
    silent,
    half_a_head,
    half_an_event,
    breaks_off,
    resets,
    not_a_frame,
]


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("times", [1, 3])
async def test_a_watch_that_dies_goes_on_from_the_last_event_and_loses_none(
    fault: Act, times: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(watching, "SILENCE_TIMEOUT_SECONDS", 0.1)
    dead: list[Act] = [fault] + [says_nothing] * (times - 1)  # and the address accepts and says nothing
    coordinator = Scripted([*dead, tells])
    async with watch(coordinator) as (follower, told):
        await until(lambda: told[-1:] == [4])
        assert told == [2, 3, 4] and coordinator.asked == [1] + [2] * times
        await until(lambda: follower.connected and follower.last_event == 4)


async def test_events_that_come_twice_are_told_once() -> None:
    coordinator = Scripted([twice])
    async with watch(coordinator) as (follower, told):
        await until(lambda: follower.last_event == 4)
        assert told == [2, 3, 4] and coordinator.asked == [1]


async def test_another_coordinator_is_followed_at_once_while_the_old_one_is_silent() -> None:
    old, new = Scripted([silent]), Scripted([tells], newest=4)
    async with watch(old) as (follower, told), anyio.create_task_group() as tasks:
        await tasks.start(new.run)
        await until(lambda: told == [2])
        with anyio.fail_after(
            watching.SILENCE_TIMEOUT_SECONDS / 2
        ):  # the silence of the old one is not waited for
            follower.follow(new.address)
            await until(lambda: follower.last_event == 4)
        assert told == [2, 3, 4] and new.asked == [2] and old.asked == [1]
        tasks.cancel_scope.cancel()


async def test_a_coordinator_that_ends_each_watch_causes_few_lines() -> None:
    async def ends(self: Scripted, stream: Stream, last: int) -> None:
        await stream.send(frame(1))

    coordinator = Scripted([ends])
    with capture_logs() as lines:
        async with watch(coordinator):
            await until(lambda: len(coordinator.asked) > 5)
    assert len([line for line in lines if line["event"] == "coordinator lost"]) == 1


async def test_a_silent_watch_is_given_up_after_one_frame_that_did_not_come() -> None:
    # frames come each second: sooner would end watches that are only late, later adds to each drain's delay
    assert 1.0 < watching.SILENCE_TIMEOUT_SECONDS < 2.0
    coordinator = Scripted([silent, tells])
    async with watch(coordinator) as (_, told):
        await until(lambda: told == [2])
        began = anyio.current_time()
        await until(lambda: len(coordinator.asked) == 2)
        most = watching.SILENCE_TIMEOUT_SECONDS + watching.MIN_BACKOFF_SECONDS * watching.BACKOFF_JITTER[1]
        assert 1.0 < anyio.current_time() - began < most + 0.3


async def test_a_drain_behind_a_silent_watch_is_kept_as_soon_as_the_watch_is_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(watching, "SILENCE_TIMEOUT_SECONDS", 0.5)  # the stand-in sends a frame each 0.3 s
    cores = cores_of(monkeypatch)
    async with world(serve, serve) as w, client(w) as c:
        while not w.coordinator.streams:
            await w.coordinator.followed.wait()
        await w.coordinator.turn.acquire()  # it says nothing more on this connection
        draining = [cache.name.encode() for cache in w.caches[:2]]
        w.coordinator.events += [(2 + n, 2, cache.record(1)) for n, cache in enumerate(w.caches[:2])]
        await until(
            lambda: all(
                cores[0].endpoint_list.endpoints[name].state is EndpointState.DRAINING for name in draining
            )
        )
        assert w.coordinator.after == [1, 1]
        await c.ask()
        await c.reply()
        assert not [f for cache in w.caches[:2] for f in cache.fetches]


async def test_idle_clients_that_fill_the_descriptors_while_discovery_is_down_do_not_keep_the_watch_away(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # guards drains: a watch that finds no descriptor when discovery is back hears of none
    cores = cores_of(monkeypatch)
    async with world(serve, serve, limits={"sockets": 16}) as w:
        await until(
            lambda: cores[0].endpoint_list.freshness is not None
            and cores[0].endpoint_list.freshness.phase is WatchPhase.FOLLOWING
        )
        await w.coordinator.go_down()
        crowd = [socket.create_connection(w.listening.clients) for _ in range(64)]
        await until(lambda: w.coordinator.turned_away > 1)  # it tries again beside the crowd
        async with client(w) as c:
            await c.send("status", b"\x02\0\1\1")
            assert (await c.reply()).good
            await c.ask()
            assert (await c.reply()).kind == "served"
        drained = w.caches[0]
        w.coordinator.events.append((2, 2, drained.record(1)))
        w.coordinator.down = False
        crowd += [socket.create_connection(w.listening.clients) for _ in range(64)]
        await until(
            lambda: cores[0].endpoint_list.endpoints[drained.name.encode()].state is EndpointState.DRAINING
        )
        before = len(drained.fetches)
        async with client(w) as late:
            for n in range(4):
                await late.ask(entity=f"{n:016x}")
                assert (await late.reply()).kind == "served"
        assert len(drained.fetches) == before
        for sock in crowd:
            sock.close()


async def test_what_the_coordinator_said_can_be_followed_in_the_log() -> None:
    # an incident had to be told from ready lines alone: neither the watch nor the drains stood in the log
    with capture_logs() as lines:
        async with world(serve, serve) as w:
            while not w.coordinator.streams:
                await w.coordinator.followed.wait()
            drained = w.caches[0]
            await w.coordinator.tell(2, drained.record(1))
            await until(lambda: any(line["event"] == "endpoint list changed" for line in lines))
    (ready,) = [line for line in lines if line["event"] == "ready"]
    assert ready["last_known_event"] == 1 and ready["startup_s"] > 0
    (followed,) = [line for line in lines if line["event"] == "coordinator followed"]
    assert followed["after"] == 1 and 0 <= followed["waited_s"] < 5
    (changed,) = [line for line in lines if line["event"] == "endpoint list changed"]
    assert changed["draining"] == [drained.name] and changed["ready"] == changed["gone"] == []
