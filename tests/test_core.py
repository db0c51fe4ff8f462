"""The core by itself, with a carrier that is written here, and the two ends of a socket."""

from __future__ import annotations

import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

import anyio
import anyio.lowlevel
import pytest

from tests.conftest import FLEET, cache, settings
from zincladder.core.answers import Answer, AnswerKind
from zincladder.core.attempt import AbortReason, AttemptRequest, ClientRequest
from zincladder.core.attempt_end import OUTCOME_OF_END, AttemptEnd, EndReason
from zincladder.core.engine import REPLACED_CLASS_RETRY_AFTER_SECONDS, Core
from zincladder.core.statistics import Statistics
from zincladder.net.stream import Ended, Inbox, Outbox
from zincladder.routing import interface as api

pytestmark = pytest.mark.anyio
PROVED = {
    api.AttemptOutcome.REJECTED,
    api.AttemptOutcome.UNREACHABLE,
    api.AttemptOutcome.NOT_SENT,
    api.AttemptOutcome.MISS,
}


class Carrier:
    """Holds each order until the test ends it."""

    def __init__(self) -> None:
        self.orders: list[AttemptRequest] = []
        self.ends: dict[int, AttemptEnd] = {}
        self.news = anyio.Event()

    async def send(self, order: AttemptRequest) -> AttemptEnd:
        n = len(self.orders)
        self.orders.append(order)
        self._stir()
        while n not in self.ends:
            await self.news.wait()
        return self.ends[n]

    def end(self, n: int, reason: EndReason) -> None:
        self.ends[n] = AttemptEnd(reason)
        self._stir()

    def _stir(self) -> None:
        news, self.news = self.news, anyio.Event()
        news.set()

    async def until(self, fits: Callable[[], bool]) -> None:
        with anyio.fail_after(5):
            while not fits():
                await self.news.wait()

    async def check_health(self, endpoint: api.EndpointId) -> AttemptEnd:
        return AttemptEnd(EndReason.TIMED_OUT)


class Case:
    """One request at a core, and what became of it."""

    def __init__(self, **changes: Any) -> None:
        self.carrier = Carrier()
        self.core = Core(settings(**changes), 1, self.carrier)
        self.core.update_endpoints(api.UpdateKind.FULL, 1, FLEET)
        self.answer: Answer | None = None

    async def serve(self, request_class: int = 0, patience: float = 3.0) -> None:
        deadline = self.core.clock.now() + patience
        self.answer = await self.core.serve(ClientRequest("t", request_class, 7, 0, 3, deadline))
        self.carrier._stir()


@asynccontextmanager
async def case(
    request_class: int = 0, patience: float = 3.0, **changes: Any
) -> AsyncIterator[tuple[Case, anyio.CancelScope]]:
    c = Case(**changes)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(c.core.run)
        tasks.start_soon(c.serve, request_class, patience)
        await c.carrier.until(lambda: bool(c.carrier.orders))
        yield c, tasks.cancel_scope
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize("reason", list(EndReason))
async def test_a_write_is_sent_again_only_after_an_end_that_proves_it_never_ran(reason: EndReason) -> None:
    async with case(request_class=3) as (c, _):
        c.carrier.end(0, reason)
        await c.carrier.until(lambda: c.answer is not None or len(c.carrier.orders) > 1)
        again = OUTCOME_OF_END[reason] in PROVED and reason is not EndReason.DEADLINE_EXCEEDED
        assert (len(c.carrier.orders) == 2) == again
        assert again or c.answer


async def test_a_request_that_was_read_before_other_rules_came_is_not_decided_by_the_old() -> None:
    # guards a fleet's promise: with real processes an answer was under old rules after new ones were in force
    c = Case()
    c.core.decisions_paused_for = lambda: 0.0  # it may serve: only what the request was read under is over
    before, *others = c.core.settings.classes
    rules = (replace(before, fresh_seconds=before.fresh_seconds + 1), *others)
    c.core.apply_settings(replace(c.core.settings, classes=rules), c.core.classes.names[: len(rules)])
    assert c.core.classes.rules[0] == before  # what was taken under it would go on
    await c.serve(0)
    assert (
        c.answer == Answer(AnswerKind.REJECTED, retry_after=REPLACED_CLASS_RETRY_AFTER_SECONDS)
        and not c.carrier.orders
    )
    assert c.core.route_only(ClientRequest("t", 0, 7, 0, 3, c.core.clock.now() + 1)) is None
    assert (
        c.core.route_only(ClientRequest("t", c.core.classes.current["0"], 7, 0, 3, c.core.clock.now() + 1))
        is not None
    )


async def test_a_withdrawn_request_leaves_no_trace_in_the_router() -> None:
    async with case() as (c, scope):
        assert c.core.router.attempts
        scope.cancel()
    assert not c.core.router.attempts and not c.core.router.pending and not c.core.open_requests
    assert not any(stats.in_flight for stats in c.core.router.state.endpoints.stats.values())
    assert c.core.counts["answers", "withdrawn"] == 1


async def test_a_request_that_nobody_answers_is_answered_by_its_deadline() -> None:
    async with case(request_class=3, patience=0.05) as (c, _):
        await c.carrier.until(lambda: c.answer is not None)
        assert c.answer and c.answer.kind is AnswerKind.FAILED


async def test_a_fault_in_the_router_fails_its_request_and_the_core_goes_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    c = Case()

    def fail(*_: object) -> list[api.Action]:
        raise ZeroDivisionError

    with monkeypatch.context() as patch:
        patch.setattr(c.core.router, "handle", fail)
        with pytest.raises(ZeroDivisionError):
            await c.serve()
    assert not c.core.open_requests
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(c.core.run)
        tasks.start_soon(c.serve)
        await c.carrier.until(lambda: bool(c.carrier.orders))
        c.carrier.end(0, EndReason.SERVED)
        await c.carrier.until(lambda: c.answer is not None)
        tasks.cancel_scope.cancel()
    assert c.answer and c.answer.kind is AnswerKind.SERVED


async def test_a_fault_in_the_carrier_ends_its_attempt_and_no_other() -> None:
    # guards the attempts of all requests, which share one task group
    async with case() as (c, _):
        whole, c.carrier.send = c.carrier.send, fault  # type: ignore[method-assign]
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(c.serve)
            await c.carrier.until(lambda: c.answer is not None)
        assert c.answer and c.answer.kind is AnswerKind.REJECTED
        c.carrier.send = whole  # type: ignore[method-assign]
        c.carrier.end(0, EndReason.SERVED)  # of the request that was open all the while
        await c.carrier.until(lambda: c.answer is not None and c.answer.kind is AnswerKind.SERVED)


async def fault(order: object) -> AttemptEnd:
    raise ZeroDivisionError


async def test_a_fault_in_a_probe_ends_it_and_no_attempt() -> None:
    async with case() as (c, _):
        c.carrier.check_health = fault  # type: ignore[method-assign, assignment]
        c.core.health_checks.request(b"cache1")
        with anyio.fail_after(5):
            while not c.core.counts["probes", "silent"]:
                await anyio.lowlevel.checkpoint()
        c.carrier.end(0, EndReason.SERVED)
        await c.carrier.until(lambda: c.answer is not None)
        assert c.answer and c.answer.kind is AnswerKind.SERVED


@pytest.mark.parametrize("state", [api.EndpointState.DRAINING, api.EndpointState.GONE])
@pytest.mark.parametrize("as_source", [False, True])
async def test_what_was_told_after_the_decision_holds_at_the_send(
    state: api.EndpointState, as_source: bool
) -> None:
    # guards rules 3 and 5 while a connection comes up: the decision is older than the notice
    async with case() as (c, _):
        (order,) = c.carrier.orders
        assert order.may_start() and order.max_age_now() == 0.0
        c.core.purge(None, 3, c.core.clock.now() - 0.2)
        assert 0.2 <= order.max_age_now() < 1.0
        lost = order.source if as_source else order.endpoint
        (endpoint,) = [m for m in FLEET if m.id == lost]
        c.core.update_endpoints(
            api.UpdateKind.DELTA, 2, (cache(0, id=lost, kind=endpoint.kind, state=state),)
        )
        assert not order.may_start()
        blamed = (
            AbortReason.SOURCE_NOT_READY if as_source else AbortReason.ENDPOINT_NOT_READY
        )  # and so the other is not
        assert order.abort_reason() is blamed


async def test_steering_tells_the_router_of_no_outcome() -> None:
    c = Case()
    for n in range(50):
        deadline = c.core.clock.now() + 1.0
        assert c.core.route_only(ClientRequest("", 0, n, None, 3, deadline)) in {m.id for m in FLEET}
    assert not c.core.router.attempts and not c.core.router.pending and not c.carrier.orders
    assert all(
        stats.failure_rate == stats.in_flight == 0 for stats in c.core.router.state.endpoints.stats.values()
    )


async def test_a_message_that_waits_is_asked_again_and_one_that_began_is_written_whole() -> None:
    ours, theirs = socket.socketpair()
    with ours, theirs:
        ours.setblocking(False)
        theirs.setblocking(False)
        outbox, inbox, allowed = Outbox(ours), Inbox(theirs), True
        heard: list[bool] = []
        whole: list[bool] = []
        large = outbox.put([b"head\r\n", bytes(4_000_000)], None, whole.append)  # more than the system takes
        late = outbox.put([b"late\r\n"], lambda: allowed, heard.append)
        dropped = outbox.put([b"dropped\r\n"])
        outbox.put([b"last\r\n"])
        assert large.begun and not late.begun and whole == []  # not counted before its last byte
        assert not outbox.drop(large) and outbox.drop(dropped)
        allowed = False
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(outbox.run, 5.0)
            assert await inbox.line(100) == b"head"
            assert len(await inbox.exactly(4_000_000)) == 4_000_000
            assert await inbox.line(100) == b"last"
            tasks.cancel_scope.cancel()
        assert heard == [False] and whole == [True] and not late.begun and outbox.size == 0


@pytest.mark.parametrize("data", [b"x" * 9000, b"\r" * 9000])
async def test_a_line_without_end_is_malformed(data: bytes) -> None:
    ours, theirs = socket.socketpair()
    with ours, theirs:
        theirs.setblocking(False)
        ours.sendall(data)
        with pytest.raises(Ended) as caught:
            await Inbox(theirs).line(4096)
        assert caught.value.reason is EndReason.PROTOCOL_ERROR


def test_silence_is_told_of_who_is_asked_and_says_nothing() -> None:
    figures, one, other = Statistics(), b"s-1", b"s-2"
    figures.retain_endpoints({m: api.Endpoint(m, 0, 0) for m in (one, other)})
    for i in range(50):  # both are asked all the time; one says nothing, of the other a copy is called off
        now = 10.0 + i * 0.1
        figures.record_started(one, now, "page")
        figures.record_ended(one, EndReason.TIMED_OUT)
        figures.record_started(other, now, "page")
        figures.record_ended(other, EndReason.CANCELLED if i % 2 else EndReason.SERVED)
    assert (
        figures.silent_seconds(one, 15.0) == pytest.approx(4.9) and figures.silent_seconds(other, 15.0) == 0.0
    )
    # Called off and then not asked any more: the time stands still, and is forgotten.
    assert figures.silent_seconds(other, 20.0) == 0.0 and figures.silent_seconds(one, 20.0) == pytest.approx(
        4.9
    )
    assert figures.silent_seconds(one, 60.0) == 0.0
    figures.record_health_check(one, EndReason.SERVED, 0.001, (0.5,), 20.0)
    assert figures.silent_seconds(one, 20.0) == 0.0 and figures.endpoints[one].health_check_seconds == 0.001
    figures.retain_endpoints({other: api.Endpoint(other, 0, 0)})  # gone, with an attempt that ends later
    figures.record_ended(one, EndReason.CONNECTION_LOST)
    figures.record_started(one, 21.0, "page")
    assert list(figures.endpoints) == [other]
