"""Connections to caches: what is still sent or received when an attempt or a connection ends."""

from __future__ import annotations

import copy
import os
import socket
import time
from collections.abc import Sequence
from typing import Any

import anyio
import pytest
from anyio.abc import SocketAttribute

from tests.support.cache_scripts import hold
from tests.support.cache_wire import OVER_BUFFER_SIZE, attempt_request, small_buffer_connection, wire
from tests.support.front_configuration import KEY, SETTINGS, configuration
from tests.support.front_hooks import record_cores
from tests.support.front_world import running_front
from tests.support.service_client import client
from tests.support.stub_cache import Fetch, StubCache, serve
from zincladder.admission.descriptor_budget import ELASTIC_POOLS, DescriptorBudget, DescriptorUse
from zincladder.config import LOAD_REPORT_NAMES, parse_config
from zincladder.core.attempt import AbortReason, AttemptRequest, NoAttemptGuard
from zincladder.core.attempt_end import EndReason
from zincladder.net import cache_pool
from zincladder.net.cache_connection import CacheConnection
from zincladder.net.cache_pool import CachePool
from zincladder.net.cache_transport import CacheTransport
from zincladder.net.sockets import connect
from zincladder.net.write_queue import WriteQueue
from zincladder.routing import interface as api
from zincladder.routing.retry import NEVER_RAN
from zincladder.support.lingering_close import LINGER_SECONDS

pytestmark = pytest.mark.anyio


def descriptors_used(caches: CacheTransport) -> int:
    """The number of descriptors in use for connections to caches."""
    return caches.pool._descriptors.pools[DescriptorUse.CACHES].used


# Answers -------------------------------------------------------------------------------------------


async def test_an_answer_to_a_request_that_is_not_sent_yet_is_ignored() -> None:
    async with wire() as w:
        # fills the socket buffers on both sides, so that the next request has to wait
        await w.send(b"x" * OVER_BUFFER_SIZE, attempt_request("a" * 16))
        await w.send(b"next\r\n", attempt_request("b" * 16))
        await w.answer(b"b" * 16 + b" 200 tell=local 5\r\nahead\r\n")
        assert w.ends == []
        await w.read(lambda found: found.endswith(b"next\r\n"))
        await w.answer(b"b" * 16 + b" 200 tell=local 3\r\nown\r\n")
        assert [bytes(end.body) for end in w.ends] == [b"own"]


@pytest.mark.parametrize("fields", ["tell=local,rev=bb,since=1", "tell=local,since=1", "-"])
async def test_a_clients_copy_is_current_only_if_the_cache_repeats_its_tag(fields: str) -> None:
    # After a malformed answer, or one about another copy, the client must not use a copy that no cache has
    # confirmed.
    first: list[Fetch] = []

    async def confirms_another_copy(cache: StubCache, fetch: Fetch) -> None:
        first.append(fetch)
        await (fetch.answer(304, fields) if len(first) == 1 else serve(cache, fetch))

    async with running_front(confirms_another_copy) as w, client(w) as c:
        await c.ask(seen="aa")
        reply = await c.reply()
        assert (reply.kind, reply.body, reply.fields) == ("served", KEY.encode(), {})


# Requests that are abandoned -----------------------------------------------------------------------


async def test_the_rest_of_an_abandoned_request_is_not_sent() -> None:
    # The cache has not received the complete request, so the request has not run. If the rest were sent, it
    # would run after the client got its answer.
    async with wire() as w:
        scope = await w.send(b"x" * OVER_BUFFER_SIZE + b"end\r\n", attempt_request())
        scope.cancel()
        await anyio.wait_all_tasks_blocked()
        found = await w.read(lambda found: False)
        assert b"end" not in found and b"abort" not in found and len(found) < OVER_BUFFER_SIZE


async def test_a_request_on_a_shared_connection_is_aborted_by_its_id() -> None:
    async with wire() as w:
        await w.send(b"first\r\n", attempt_request("f" * 16))
        scope = await w.send(b"x" * OVER_BUFFER_SIZE + b"end\r\n", attempt_request("a" * 16))
        scope.cancel()
        await anyio.wait_all_tasks_blocked()
        found = await w.read(lambda found: b"abort" in found)
        assert found.endswith(b"end\r\nabort " + b"a" * 16 + b"\r\n")
        await w.answer(b"f" * 16 + b" 200 tell=local 3\r\nown\r\n")
        assert [bytes(end.body) for end in w.ends] == [b"own"]


# Purges --------------------------------------------------------------------------------------------


async def test_a_queued_request_accepts_no_copy_older_than_a_purge_that_arrives_meanwhile(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    cores, put, purges = record_cores(monkeypatch), WriteQueue.put, [2.0]

    def purge_before_put(self: WriteQueue, parts: Sequence[bytes], may_start: Any = None, *more: Any) -> Any:
        while purges and may_start is not None:  # only attempts have `may_start`
            cores[0].purge(int(KEY, 16), 0, time.time() - purges.pop())
        return put(self, parts, may_start, *more)

    monkeypatch.setattr(WriteQueue, "put", purge_before_put)
    async with running_front(serve, serve) as w, client(w) as c:
        await c.ask()
        assert (await c.reply()).kind == "served"
        caps = [int(f.fields["cap"]) for cache in w.caches for f in cache.fetches]
        assert len(caps) == 1 and 2000 <= caps[0] < 3000


# Connections that the front closes -----------------------------------------------------------------


@pytest.mark.parametrize("descriptor_needed", [False, True])
async def test_closing_an_idle_connection_over_half_a_line_sends_no_reset(
    descriptor_needed: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    with small_buffer_connection() as (ours, theirs):
        caches = CacheTransport(
            CachePool(parse_config(configuration([])), DescriptorBudget(100, ELASTIC_POOLS)),
            time.time,
            ["page"],
        )
        async with anyio.create_task_group() as tasks:
            connection = CacheConnection(ours)
            caches.pool._connections[b"s-00000001"] = [connection]
            caches.pool._descriptors.force_acquire(DescriptorUse.CACHES)
            tasks.start_soon(caches.pool._run_connection, b"s-00000001", connection)
            await anyio.wait_all_tasks_blocked()
            theirs.sendall(b"a" * 16 + b" 200 te")  # in the front's socket buffer, not read yet
            if descriptor_needed:
                assert caches.pool._close_longest_idle()
            else:
                caches.pool.close_idle(b"s-00000001")
            await anyio.wait_all_tasks_blocked()
            if descriptor_needed:
                with anyio.fail_after(LINGER_SECONDS / 2):  # the descriptor is freed without waiting
                    while caches.pool._connections:
                        await anyio.sleep(0.001)
            else:
                theirs.sendall(b"ll=local 0\r\n")
            await anyio.wait_readable(theirs)
            assert theirs.recv(100) == b""  # closed, and no ConnectionResetError
            theirs.close()
            with anyio.fail_after(5):
                while caches.pool._connections:
                    await anyio.sleep(0.001)
            assert descriptors_used(caches) == 0


async def test_a_lingering_connection_is_closed_when_its_descriptor_is_needed() -> None:
    with small_buffer_connection() as (ours, theirs):
        caches = CacheTransport(
            CachePool(parse_config(configuration([])), DescriptorBudget(100, ELASTIC_POOLS)),
            time.time,
            ["page"],
        )
        async with anyio.create_task_group() as tasks:
            connection = CacheConnection(ours)
            caches.pool._connections[b"s-00000001"] = [connection]
            caches.pool._descriptors.force_acquire(DescriptorUse.CACHES)
            tasks.start_soon(caches.pool._run_connection, b"s-00000001", connection)
            await anyio.wait_all_tasks_blocked()
            caches.pool.close_idle(b"s-00000001")
            await anyio.wait_all_tasks_blocked()
            assert descriptors_used(caches) == 1  # the cache has not closed its side
            assert caches.pool._close_longest_idle() and not caches.pool._close_longest_idle()
            with anyio.fail_after(LINGER_SECONDS / 2):
                while descriptors_used(caches):
                    await anyio.sleep(0.001)
            assert theirs.recv(100) == b""


@pytest.mark.parametrize(
    ("abort", "reason", "fill_outcome"),
    [
        (AbortReason.CANCELLED, EndReason.CANCELLED, api.FillOutcome.NONE),
        (AbortReason.DEADLINE_EXCEEDED, EndReason.DEADLINE_EXCEEDED, api.FillOutcome.NONE),
        (AbortReason.CLIENT_DISCONNECTED, EndReason.CANCELLED, api.FillOutcome.NONE),
        (AbortReason.DEDUPLICATION_EXPIRED, EndReason.DEADLINE_EXCEEDED, api.FillOutcome.NONE),
        (AbortReason.ENDPOINT_NOT_READY, EndReason.DRAINING, api.FillOutcome.NONE),
        (AbortReason.SOURCE_NOT_READY, EndReason.DRAINING, api.FillOutcome.SOURCE_FAILED),
    ],
)
async def test_an_attempt_that_is_aborted_before_the_send_ends_as_one_that_never_ran(
    abort: AbortReason, reason: EndReason, fill_outcome: api.FillOutcome
) -> None:
    class AbortingGuard(NoAttemptGuard):
        def abort_reason(self, attempt: AttemptRequest) -> AbortReason | None:
            return abort

    caches = CacheTransport(
        CachePool(parse_config(configuration([])), DescriptorBudget(100, ELASTIC_POOLS)), time.time, ["page"]
    )
    end = await caches.send(attempt_request(guard=AbortingGuard()))
    assert (end.reason, end.fill_outcome, end.detail) == (reason, fill_outcome, abort.description)
    assert end.outcome in (*NEVER_RAN, api.AttemptOutcome.CANCELLED)


# Connections that are established late -----------------------------------------------------------------


def hang_after(monkeypatch: pytest.MonkeyPatch, first: int, released: anyio.Event | None = None) -> list[int]:
    """Delays connections to caches after the first `first` ones until `released` is set, or for ever.

    Returns a list of one number: how many connections were attempted.
    """
    attempts = [0]

    async def connecting(host: str, port: int) -> socket.socket:
        attempts[0] += 1
        if attempts[0] > first:
            await (released.wait() if released else anyio.sleep_forever())
        return await connect(host, port)

    monkeypatch.setattr(cache_pool, "connect", connecting)
    return attempts


def transports_of(monkeypatch: pytest.MonkeyPatch) -> list[CacheTransport]:
    """Returns a list to which each front that starts from now on adds its transport to the caches."""
    transports: list[CacheTransport] = []
    init = CacheTransport.__init__

    def recording(self: CacheTransport, *arguments: Any) -> None:
        transports.append(self)
        init(self, *arguments)

    monkeypatch.setattr(CacheTransport, "__init__", recording)
    return transports


class AnswerWhenReleased:
    """A script that answers once `released` is set."""

    def __init__(self) -> None:
        self.released = anyio.Event()

    async def __call__(self, cache: StubCache, fetch: Fetch) -> None:
        await self.released.wait()
        await serve(cache, fetch)


async def test_a_request_that_waits_for_its_connection_uses_one_that_becomes_idle(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    attempts, gate = hang_after(monkeypatch, 1), AnswerWhenReleased()
    async with running_front(gate) as w, client(w) as c:
        await c.ask(entity=f"{1:016x}")
        while not w.caches[0].fetches:
            await anyio.sleep(0.001)
        await c.ask(entity=f"{2:016x}")
        while attempts[0] < 2:
            await anyio.sleep(0.001)
        gate.released.set()
        with anyio.fail_after(SETTINGS["ceilings"]["connectTimeout"] / 2):
            assert [(await c.reply()).kind for _ in range(2)] == ["served", "served"]
        assert w.caches[0].connections == 1 and len(w.caches[0].fetches) == 2


async def test_waiting_requests_get_an_idle_connection_in_order_and_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    released = anyio.Event()
    attempts, gate = hang_after(monkeypatch, 1, released), AnswerWhenReleased()
    async with running_front(gate) as w, client(w) as c:
        for n in range(1, 6):
            await c.ask(entity=f"{n:016x}")
            while attempts[0] < n:
                await anyio.sleep(0.001)
        gate.released.set()
        with anyio.fail_after(5):
            replies = [await c.reply() for _ in range(5)]
        assert [r.body for r in replies] == [f"{n:016x}".encode() for n in range(1, 6)]
        assert [r.seq for r in replies] == [1, 2, 3, 4, 5] and w.caches[0].connections == 1
        released.set()  # no request waits for a new connection any more
        await c.ask()
        assert (await c.reply()).kind == "served" and w.caches[0].connections == 1


async def test_a_connection_with_an_abandoned_request_is_not_offered_to_waiting_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The endpoint may be unreachable by then. A request that keeps waiting for a connection of its own, and
    # never gets one, is certain not to have run.
    attempts, transports = hang_after(monkeypatch, 1), transports_of(monkeypatch)
    async with running_front(hold, origin=hold) as w, client(w) as c:
        first = await c.ask(b"order", route="booking", trace="a" * 16)
        while not w.caches[-1].fetches:
            await anyio.sleep(0.001)
        await c.ask(b"order", route="booking", trace="b" * 16)
        while attempts[0] < 2:
            await anyio.sleep(0.001)
        await c.withdraw(first)
        while not w.caches[-1].aborts:
            await anyio.sleep(0.001)
        (connection,) = transports[0].pool._connections[w.caches[-1].name.encode()]
        assert not (connection.open_exchanges or connection.reserved) and transports[0].pool._waiters
        assert [f.name for f in w.caches[-1].fetches] == ["a" * 16]


async def test_a_request_is_not_sent_if_its_reserved_connection_ends_first(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    attempts, gate = hang_after(monkeypatch, 1), AnswerWhenReleased()
    offer_idle = CachePool._offer_idle

    def close_after_offer(self: CachePool, endpoint: bytes, connection: CacheConnection) -> None:
        offer_idle(self, endpoint, connection)
        if connection.reserved:
            self.close_idle(endpoint)  # as if the cache were gone

    monkeypatch.setattr(CachePool, "_offer_idle", close_after_offer)
    async with running_front(hold, origin=gate) as w, client(w) as c:
        await c.ask(b"order", route="booking", trace="a" * 16)
        while not w.caches[-1].fetches:
            await anyio.sleep(0.001)
        await c.ask(b"order", route="booking", trace="b" * 16)
        while attempts[0] < 2:
            await anyio.sleep(0.001)
        gate.released.set()
        with anyio.fail_after(5):
            assert {(await c.reply()).kind for _ in range(2)} == {"served", "Throttled"}
        assert [f.name for f in w.caches[-1].fetches] == ["a" * 16]


async def test_a_request_that_is_withdrawn_while_it_waits_releases_its_descriptor(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    attempts, transports = hang_after(monkeypatch, 0), transports_of(monkeypatch)
    async with running_front(serve) as w, client(w) as c:
        seq = await c.ask()
        while not attempts[0]:
            await anyio.sleep(0.001)
        before = descriptors_used(transports[0])
        await c.withdraw(seq)
        with anyio.fail_after(SETTINGS["ceilings"]["connectTimeout"] / 2):
            while transports[0].pool._waiters:
                await anyio.sleep(0.001)
        assert descriptors_used(transports[0]) == before - 1


async def test_a_connection_reserved_for_a_cancelled_request_goes_to_the_next(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    hang_after(monkeypatch, 0)
    with small_buffer_connection() as (ours, _):
        caches, endpoint = (
            CacheTransport(
                CachePool(parse_config(configuration([])), DescriptorBudget(100, ELASTIC_POOLS)),
                time.time,
                ["page"],
            ),
            b"s-1",
        )
        caches.pool.set_address(endpoint, ("127.0.0.1", 1))
        connection, got = CacheConnection(ours), list[tuple[bytes, CacheConnection]]()
        async with anyio.create_task_group() as tasks:
            scopes = [anyio.CancelScope(), anyio.CancelScope()]

            async def waits(name: bytes, scope: anyio.CancelScope) -> None:
                with scope:
                    got.append((name, await caches.pool.acquire(endpoint, name)))

            for name, scope in zip((b"a", b"b"), scopes, strict=True):
                tasks.start_soon(waits, name, scope)
                await anyio.wait_all_tasks_blocked()
            caches.pool._offer_idle(endpoint, connection)
            scopes[0].cancel()  # in the same iteration of the event loop
        assert (
            got == [(b"b", connection)]
            and not connection.reserved
            and not caches.pool._waiters
            and descriptors_used(caches) == 0
        )


# Settings that change while a connection is open -------------------------------------------------------


@pytest.mark.parametrize("names", [["rif", "busy"], ["busy"], ["busy", "rif"]])
async def test_a_load_report_is_read_in_the_order_of_the_current_settings(names: list[str]) -> None:
    # The router reads each figure by its position. If reports kept the order of older settings, it would take
    # the number of requests in flight for the utilization.
    settings = copy.deepcopy(SETTINGS)
    settings["report"]["names"] = ["busy", "rif"]
    before = parse_config(configuration([], settings=settings))
    settings = copy.deepcopy(settings)
    settings["report"]["names"] = names
    async with wire(before) as w:
        await w.send(b"stats p1\r\n", attempt_request("a" * 16))
        w.caches.pool.apply_config(parse_config(configuration([], settings=settings)))
        await w.answer(b"a" * 16 + b" 200 tell=local,meter=util:0.5;inflight:7 3\r\nown\r\n")
        figures = {"busy": 0.5, "held": 7.0}
        assert w.caches.pool.report_names() == tuple(LOAD_REPORT_NAMES.get(n, n) for n in names)
        assert w.ends[0].report == tuple(figures[n] for n in w.caches.pool.report_names())


STRAY_INPUTS = [b"f" * 16 + b" 200 te", b"\xff" * 40, b"f" * 16 + b" 200 tell=local 6\r\nabc"]


def push(fetch: Fetch, data: bytes) -> None:
    """Sends bytes that belong to no request on the connection of `fetch`, without waiting."""
    number = fetch.stream.extra(SocketAttribute.raw_socket).fileno()
    with socket.socket(fileno=os.dup(number)) as sock:
        sock.sendall(data)


# Input that belongs to no request ----------------------------------------------------------------------


@pytest.mark.parametrize("read", [True, False])
@pytest.mark.parametrize(
    "stray_input", [b"f" * 16 + b" 200 te", b"\xff" * 40, b"f" * 16 + b" 200 tell=local 6\r\nabc"]
)
async def test_a_request_is_not_sent_on_a_connection_with_stray_input(
    stray_input: bytes, read: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A connection with half an answer that belongs to no request soon ends. A request written to it would
    # count as one that may have run.
    waiting, acquire = list[Fetch](), CachePool.acquire

    async def serve_and_remember(cache: StubCache, fetch: Fetch) -> None:
        await serve(cache, fetch)
        if len(cache.fetches) == 1:
            waiting.append(fetch)

    def push_before_acquire(self: CachePool, endpoint: bytes, name: bytes) -> Any:
        while waiting and cores[0].open_requests:
            push(waiting.pop(), stray_input)  # arrives just before the next request is sent
        return acquire(self, endpoint, name)

    cores = record_cores(monkeypatch)
    transports = transports_of(monkeypatch)
    async with running_front(serve, origin=serve_and_remember) as w, client(w) as c:
        await c.ask(b"order", route="booking")
        assert (await c.reply()).kind == "served"
        if read:
            (connection,) = transports[0].pool._connections[w.caches[-1].name.encode()]
            received = connection.read_buffer.received
            push(waiting.pop(), stray_input)
            while connection.read_buffer.received == received:
                await anyio.sleep(0.001)
        else:
            monkeypatch.setattr(CachePool, "acquire", push_before_acquire)
        await c.ask(b"order", route="booking")
        assert (await c.reply()).kind == "served"
        assert len(w.caches[-1].fetches) == 2 and w.caches[-1].connections == 2


async def test_a_connection_with_input_after_an_answer_is_not_offered_to_waiting_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    attempts, gate = hang_after(monkeypatch, 1), anyio.Event()

    async def answer_and_half(_: StubCache, fetch: Fetch) -> None:
        await gate.wait()
        await fetch.stream.send(
            f"{fetch.name} 200 tell=local,rev=a,since=1 2\r\nok\r\n{'f' * 16} 200 te".encode()
        )

    transports = transports_of(monkeypatch)
    async with running_front(answer_and_half) as w, client(w) as c:
        await c.ask(entity=f"{1:016x}")
        while not w.caches[0].fetches:
            await anyio.sleep(0.001)
        await c.ask(entity=f"{2:016x}")
        while attempts[0] < 2:
            await anyio.sleep(0.001)
        gate.set()
        assert (await c.reply()).body == b"ok"
        assert transports[0].pool._waiters and len(w.caches[0].fetches) == 1
