"""A coordinator that is slow to answer is heard, whatever it takes, and one that hangs stops nobody.

Guards against a front that hung up on a coordinator before its first answer, asked anew, and so never heard
of a drain or a purge for as long as the coordinator was slow.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from time import monotonic

import anyio
import anyio.abc
import pytest

from tests.net.test_watch_connections import Scripted, healthy, sends_nothing, watch
from tests.support.coordinator_frames import frame, purge, until
from tests.support.front_hooks import record_cores
from tests.support.front_world import running_front
from tests.support.service_client import client
from tests.support.stub_cache import serve
from zincladder.discovery.freshness import WatchPhase
from zincladder.net import coordinator_watch as watching
from zincladder.net.events import PurgeReceived, WatchEvent
from zincladder.routing.interface import EndpointState

pytestmark = pytest.mark.anyio
ANSWER_SECONDS = (0.5, 2.0, 3.0, 5.0, 10.0)
TOLERANCE_SECONDS = 0.5


@dataclass
class SlowCoordinator:
    """Answers each request for events after a delay, unless the front has closed the connection by then."""

    answer_seconds: float
    newest: int = 1
    address: tuple[str, int] = ("127.0.0.1", 0)
    requested_at: list[float] = field(default_factory=list)
    open_connections: int = 0
    max_open_connections: int = 0
    break_off: anyio.Event = field(default_factory=anyio.Event)

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.address = ("127.0.0.1", listener.extra(anyio.abc.SocketAttribute.local_port))
        task_status.started()
        await listener.serve(self._connection)

    async def _connection(self, stream: anyio.abc.SocketStream) -> None:
        self.open_connections += 1
        self.max_open_connections = max(self.max_open_connections, self.open_connections)
        try:
            async with stream, anyio.create_task_group() as tasks:
                last = int.from_bytes(await stream.receive(8), "big")
                self.requested_at.append(anyio.current_time())
                tasks.start_soon(self._answer, stream, last, self.break_off)
                await stream.receive(1)
        except* (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        finally:
            self.open_connections -= 1

    async def _answer(self, stream: anyio.abc.SocketStream, last: int, break_off: anyio.Event) -> None:
        await anyio.sleep(self.answer_seconds)
        while not break_off.is_set():
            for number in range(last + 1, self.newest + 1):
                await stream.send(purge(number))
            last = self.newest
            await stream.send(frame(last))
            with anyio.move_on_after(0.3):
                await break_off.wait()
        await stream.aclose()


async def _hears_events_of_a_slow_answer(answer_seconds: float, after_a_break: bool) -> None:
    """Two purges happen while the answer is due; both are reported once, as soon as it comes."""
    async with anyio.create_task_group() as tasks:
        coordinator = SlowCoordinator(0.0 if after_a_break else answer_seconds)
        await tasks.start(coordinator.run)
        reported: list[int] = []

        def on_event(event: WatchEvent) -> None:
            assert isinstance(event, PurgeReceived)
            reported.append(event.group)

        follower = watching.CoordinatorWatch(coordinator.address, 1, on_event, 5)
        tasks.start_soon(follower.run)
        if after_a_break:
            await until(lambda: follower.connected)
            coordinator.answer_seconds = answer_seconds
            coordinator.requested_at.clear()
            coordinator.break_off.set()
            coordinator.break_off = anyio.Event()
        await until(lambda: bool(coordinator.requested_at))
        for _ in range(2):
            await anyio.sleep(answer_seconds / 4)
            coordinator.newest += 1
        with anyio.fail_after(answer_seconds + TOLERANCE_SECONDS):
            while follower.last_event < 3:
                await anyio.sleep(0.005)
        heard_after = anyio.current_time() - coordinator.requested_at[0]
        assert reported == [2, 3]
        assert answer_seconds <= heard_after < answer_seconds + TOLERANCE_SECONDS
        await until(lambda: coordinator.open_connections == 1)  # the others are closed
        assert follower.connected and follower.answer_wait_seconds == 0
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize("after_a_break", (False, True), ids=("at a start", "after a break"))
async def test_events_of_a_slow_first_answer_are_heard(after_a_break: bool) -> None:
    async with anyio.create_task_group() as tasks:
        for answer_seconds in ANSWER_SECONDS:
            tasks.start_soon(_hears_events_of_a_slow_answer, answer_seconds, after_a_break)


async def test_a_slow_coordinator_is_heard_at_a_new_address(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watching, "SILENCE_TIMEOUT_SECONDS", 0.1)
    old, new = Scripted([healthy]), SlowCoordinator(0.6, newest=3)
    async with watch(old) as (follower, reported), anyio.create_task_group() as tasks:
        await tasks.start(new.run)
        await until(lambda: follower.connected)
        follower.follow(new.address)
        await until(lambda: follower.last_event == 3)
        assert reported == [2, 3]
        tasks.cancel_scope.cancel()


async def test_a_slow_coordinator_is_heard_although_older_connections_are_cut_off(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(watching, "SILENCE_TIMEOUT_SECONDS", 0.1)
    monkeypatch.setattr(watching, "MAX_REQUEST_INTERVAL_SECONDS", 0.2)

    async def answers_late(self: Scripted, stream: anyio.abc.SocketStream, last: int) -> None:
        await anyio.sleep(0.35)  # more than one interval
        await healthy(self, stream, last)

    coordinator = Scripted([sends_nothing, sends_nothing, answers_late], newest=3)
    async with watch(coordinator) as (follower, reported):
        await until(lambda: follower.last_event == 3)
        assert reported == [2, 3]


async def test_a_hanging_coordinator_is_asked_on_a_bounded_number_of_connections(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(watching, "SILENCE_TIMEOUT_SECONDS", 0.02)
    monkeypatch.setattr(watching, "MAX_REQUEST_INTERVAL_SECONDS", 0.04)
    async with anyio.create_task_group() as tasks:
        coordinator = SlowCoordinator(60.0)
        await tasks.start(coordinator.run)
        follower = watching.CoordinatorWatch(coordinator.address, 1, lambda event: None, 5)
        tasks.start_soon(follower.run)
        started_at = anyio.current_time()
        await until(lambda: len(coordinator.requested_at) == 20)
        # One connection more may be open for the moment in which the oldest is closed.
        assert coordinator.max_open_connections <= watching.MAX_UNANSWERED_CONNECTIONS + 1
        assert anyio.current_time() - started_at > 18 * 0.04  # it is not asked more often
        assert follower.answer_wait_seconds > 0 and not follower.connected
        tasks.cancel_scope.cancel()


async def test_a_front_serves_beside_a_hanging_coordinator_and_applies_its_late_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(watching, "SILENCE_TIMEOUT_SECONDS", 0.1)
    monkeypatch.setattr(watching, "MAX_REQUEST_INTERVAL_SECONDS", 0.2)
    cores = record_cores(monkeypatch)
    async with running_front(serve, serve) as w, client(w) as c:
        freshness = cores[0].endpoint_list.freshness
        assert freshness is not None
        await until(lambda: freshness.phase is WatchPhase.FOLLOWING)
        drained = w.caches[0]
        w.coordinator.may_answer = anyio.Event()
        for stream in w.coordinator.streams:
            await stream.aclose()
        w.coordinator.streams.clear()
        await until(lambda: len(w.coordinator.after) > 3)  # the front has asked on several connections
        w.coordinator.events.append((2, 2, drained.record(1)))
        await until(lambda: freshness.seconds_until_usable(monotonic()) == 0)  # for at most RESYNC_SECONDS
        await c.ask()
        assert (await c.reply()).kind == "served"
        w.coordinator.may_answer.set()
        await until(
            lambda: cores[0].endpoint_list.endpoints[drained.name.encode()].state is EndpointState.DRAINING
        )
        before = len(drained.fetches)
        for number in range(8):
            await c.ask(entity=f"{number:016x}")
            assert (await c.reply()).kind == "served"
        assert len(drained.fetches) == before


async def test_an_error_in_the_handling_of_a_connection_does_not_end_the_watch() -> None:
    async def ends(self: Scripted, stream: anyio.abc.SocketStream, last: int) -> None:
        pass

    coordinator = Scripted([ends, healthy], newest=3)
    errors = [ZeroDivisionError("a fault in the handling of a lost connection")]

    def on_change() -> None:
        if errors:
            raise errors.pop()

    async with anyio.create_task_group() as tasks:
        await tasks.start(coordinator.run)
        follower = watching.CoordinatorWatch(
            coordinator.address, 1, lambda event: None, 5, on_change=on_change
        )
        tasks.start_soon(follower.run)
        await until(lambda: follower.last_event == 3)
        tasks.cancel_scope.cancel()
