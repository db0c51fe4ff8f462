"""Connections to members at their ends: what may still come or go out when an attempt or connection ends."""

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
from tests.support.cache_wire import LARGE, attempt_request, pair, wire
from tests.support.front_configuration import KEY, SETTINGS, configuration
from tests.support.front_hooks import cores_of
from tests.support.front_world import world
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


def held_by(caches: CacheTransport) -> int:
    """Descriptors of connections to members."""
    return caches.pool._descriptors.pools[DescriptorUse.CACHES].used


# Answers -------------------------------------------------------------------------------------------


async def test_an_answer_under_the_id_of_a_request_that_has_not_gone_out_is_nobodys() -> None:
    async with wire() as w:
        await w.send(
            b"x" * LARGE, attempt_request("a" * 16)
        )  # fills both systems, so that the next one waits
        await w.send(b"next\r\n", attempt_request("b" * 16))
        await w.answer(b"b" * 16 + b" 200 tell=local 5\r\nahead\r\n")
        assert w.ends == []
        await w.read(lambda found: found.endswith(b"next\r\n"))
        await w.answer(b"b" * 16 + b" 200 tell=local 3\r\nown\r\n")
        assert [bytes(end.body) for end in w.ends] == [b"own"]


@pytest.mark.parametrize("fields", ["tell=local,rev=bb,since=1", "tell=local,since=1", "-"])
async def test_a_clients_copy_is_current_only_if_the_member_named_that_copy(fields: str) -> None:
    # a spoilt answer, or one about another copy: the client would go on with bytes that no cache vouched for
    first: list[Fetch] = []

    async def names_another(cache: StubCache, fetch: Fetch) -> None:
        first.append(fetch)
        await (fetch.answer(304, fields) if len(first) == 1 else serve(cache, fetch))

    async with world(names_another) as w, client(w) as c:
        await c.ask(seen="aa")
        reply = await c.reply()
        assert (reply.kind, reply.body, reply.fields) == ("served", KEY.encode(), {})


# Requests that are given up ------------------------------------------------------------------------


async def test_the_rest_of_a_request_that_was_given_up_is_not_written_behind() -> None:
    # it never arrived whole, so it never ran; its last bytes would have it run after its client was answered
    async with wire() as w:
        scope = await w.send(b"x" * LARGE + b"end\r\n", attempt_request())
        scope.cancel()
        await anyio.wait_all_tasks_blocked()
        found = await w.read(lambda found: False)
        assert b"end" not in found and b"abort" not in found and len(found) < LARGE


async def test_a_connection_that_others_use_stays_and_the_request_is_taken_back_by_name() -> None:
    async with wire() as w:
        await w.send(b"first\r\n", attempt_request("f" * 16))
        scope = await w.send(b"x" * LARGE + b"end\r\n", attempt_request("a" * 16))
        scope.cancel()
        await anyio.wait_all_tasks_blocked()
        found = await w.read(lambda found: b"abort" in found)
        assert found.endswith(b"end\r\nabort " + b"a" * 16 + b"\r\n")
        await w.answer(b"f" * 16 + b" 200 tell=local 3\r\nown\r\n")
        assert [bytes(end.body) for end in w.ends] == [b"own"]


# Purges --------------------------------------------------------------------------------------------


async def test_a_request_that_waits_to_be_written_takes_no_copy_from_before_a_purge_told_meanwhile(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    cores, put, purges = cores_of(monkeypatch), WriteQueue.put, [2.0]

    def crossing(self: WriteQueue, parts: Sequence[bytes], may_go: Any = None, *more: Any) -> Any:
        while purges and may_go is not None:  # of an attempt of which no byte has gone out
            cores[0].purge(int(KEY, 16), 0, time.time() - purges.pop())
        return put(self, parts, may_go, *more)

    monkeypatch.setattr(WriteQueue, "put", crossing)
    async with world(serve, serve) as w, client(w) as c:
        await c.ask()
        assert (await c.reply()).kind == "served"
        caps = [int(f.fields["cap"]) for cache in w.caches for f in cache.fetches]
        assert len(caps) == 1 and 2000 <= caps[0] < 3000


# This side's own end -------------------------------------------------------------------------------


@pytest.mark.parametrize("room", [False, True])
async def test_half_a_line_that_comes_at_the_end_of_a_resting_connection_makes_it_no_reset(
    room: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    with pair() as (ours, theirs):
        caches = CacheTransport(
            CachePool(parse_config(configuration([])), DescriptorBudget(100, ELASTIC_POOLS)),
            time.time,
            ["page"],
        )
        async with anyio.create_task_group() as tasks:
            link = CacheConnection(ours)
            caches.pool._connections[b"s-00000001"] = [link]
            caches.pool._descriptors.force_acquire(DescriptorUse.CACHES)
            tasks.start_soon(caches.pool._run_connection, b"s-00000001", link)
            await anyio.wait_all_tasks_blocked()
            theirs.sendall(b"a" * 16 + b" 200 te")  # in the front's system, and not read yet
            if room:
                assert caches.pool._free_descriptor()
            else:
                caches.pool.close_idle(b"s-00000001")
            await anyio.wait_all_tasks_blocked()
            if room:
                with anyio.fail_after(LINGER_SECONDS / 2):  # the descriptor is free at once
                    while caches.pool._connections:
                        await anyio.sleep(0.001)
            else:
                theirs.sendall(b"ll=local 0\r\n")
            await anyio.wait_readable(theirs)
            assert theirs.recv(100) == b""  # an end, and no ConnectionResetError
            theirs.close()
            with anyio.fail_after(5):
                while caches.pool._connections:
                    await anyio.sleep(0.001)
            assert held_by(caches) == 0


async def test_a_connection_that_lingers_makes_room_for_one_that_is_needed() -> None:
    with pair() as (ours, theirs):
        caches = CacheTransport(
            CachePool(parse_config(configuration([])), DescriptorBudget(100, ELASTIC_POOLS)),
            time.time,
            ["page"],
        )
        async with anyio.create_task_group() as tasks:
            link = CacheConnection(ours)
            caches.pool._connections[b"s-00000001"] = [link]
            caches.pool._descriptors.force_acquire(DescriptorUse.CACHES)
            tasks.start_soon(caches.pool._run_connection, b"s-00000001", link)
            await anyio.wait_all_tasks_blocked()
            caches.pool.close_idle(b"s-00000001")
            await anyio.wait_all_tasks_blocked()
            assert held_by(caches) == 1  # the member has not ended its side
            assert caches.pool._free_descriptor() and not caches.pool._free_descriptor()
            with anyio.fail_after(LINGER_SECONDS / 2):
                while held_by(caches):
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
async def test_an_attempt_that_may_not_begin_ends_as_one_that_never_ran(
    abort: AbortReason, reason: EndReason, fill_outcome: api.FillOutcome
) -> None:
    class Held(NoAttemptGuard):
        def abort_reason(self, attempt: AttemptRequest) -> AbortReason | None:
            return abort

    caches = CacheTransport(
        CachePool(parse_config(configuration([])), DescriptorBudget(100, ELASTIC_POOLS)), time.time, ["page"]
    )
    end = await caches.send(attempt_request(guard=Held()))
    assert (end.reason, end.fill_outcome, end.detail) == (reason, fill_outcome, abort.description)
    assert end.outcome in (*NEVER_RAN, api.AttemptOutcome.CANCELLED)


# Connections that come up late -----------------------------------------------------------------------


def hang_after(monkeypatch: pytest.MonkeyPatch, first: int, let: anyio.Event | None = None) -> list[int]:
    """Connections to members past the first so many do not come up, or not until `let`; counts the tries."""
    tried = [0]

    async def connecting(host: str, port: int) -> socket.socket:
        tried[0] += 1
        if tried[0] > first:
            await (let.wait() if let else anyio.sleep_forever())
        return await connect(host, port)

    monkeypatch.setattr(cache_pool, "connect", connecting)
    return tried


def caches_of(monkeypatch: pytest.MonkeyPatch) -> list[CacheTransport]:
    """The carriers of the fronts that are started from now on."""
    made: list[CacheTransport] = []
    init = CacheTransport.__init__

    def keep(self: CacheTransport, *reason: Any) -> None:
        made.append(self)
        init(self, *reason)

    monkeypatch.setattr(CacheTransport, "__init__", keep)
    return made


class Held:
    """A script that answers when it is let."""

    def __init__(self) -> None:
        self.let = anyio.Event()

    async def __call__(self, cache: StubCache, fetch: Fetch) -> None:
        await self.let.wait()
        await serve(cache, fetch)


async def test_a_request_whose_connection_comes_up_late_goes_on_one_that_falls_idle(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    tried, held = hang_after(monkeypatch, 1), Held()
    async with world(held) as w, client(w) as c:
        await c.ask(entity=f"{1:016x}")
        while not w.caches[0].fetches:
            await anyio.sleep(0.001)
        await c.ask(entity=f"{2:016x}")
        while tried[0] < 2:
            await anyio.sleep(0.001)
        held.let.set()
        with anyio.fail_after(SETTINGS["ceilings"]["connectTimeout"] / 2):
            assert [(await c.reply()).kind for _ in range(2)] == ["served", "served"]
        assert w.caches[0].connections == 1 and len(w.caches[0].fetches) == 2


async def test_the_longest_waiting_is_served_first_and_each_once(monkeypatch: pytest.MonkeyPatch) -> None:
    let = anyio.Event()
    tried, held = hang_after(monkeypatch, 1, let), Held()
    async with world(held) as w, client(w) as c:
        for n in range(1, 6):
            await c.ask(entity=f"{n:016x}")
            while tried[0] < n:
                await anyio.sleep(0.001)
        held.let.set()
        with anyio.fail_after(5):
            replies = [await c.reply() for _ in range(5)]
        assert [r.body for r in replies] == [f"{n:016x}".encode() for n in range(1, 6)]
        assert [r.seq for r in replies] == [1, 2, 3, 4, 5] and w.caches[0].connections == 1
        let.set()  # nobody is left to whom one could come up
        await c.ask()
        assert (await c.reply()).kind == "served" and w.caches[0].connections == 1


async def test_a_connection_that_was_given_up_on_is_handed_to_nobody(monkeypatch: pytest.MonkeyPatch) -> None:
    # its machine may be cut off: a connection that does not come up proves that the request never ran
    tried, made = hang_after(monkeypatch, 1), caches_of(monkeypatch)
    async with world(hold, origin=hold) as w, client(w) as c:
        first = await c.ask(b"order", route="booking", trace="a" * 16)
        while not w.caches[-1].fetches:
            await anyio.sleep(0.001)
        await c.ask(b"order", route="booking", trace="b" * 16)
        while tried[0] < 2:
            await anyio.sleep(0.001)
        await c.withdraw(first)
        while not w.caches[-1].aborts:
            await anyio.sleep(0.001)
        (link,) = made[0].pool._connections[w.caches[-1].name.encode()]
        assert not (link.open or link.reserved) and made[0].pool._waiters
        assert [f.name for f in w.caches[-1].fetches] == ["a" * 16]


async def test_a_connection_that_ends_before_its_next_request_begins_leaves_it_unsent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    tried, held = hang_after(monkeypatch, 1), Held()
    offer_idle = CachePool._offer_idle

    def crossing(self: CachePool, endpoint: bytes, link: CacheConnection) -> None:
        offer_idle(self, endpoint, link)
        if link.reserved:
            self.close_idle(endpoint)  # its member is gone

    monkeypatch.setattr(CachePool, "_offer_idle", crossing)
    async with world(hold, origin=held) as w, client(w) as c:
        await c.ask(b"order", route="booking", trace="a" * 16)
        while not w.caches[-1].fetches:
            await anyio.sleep(0.001)
        await c.ask(b"order", route="booking", trace="b" * 16)
        while tried[0] < 2:
            await anyio.sleep(0.001)
        held.let.set()
        with anyio.fail_after(5):
            assert {(await c.reply()).kind for _ in range(2)} == {"served", "Throttled"}
        assert [f.name for f in w.caches[-1].fetches] == ["a" * 16]


async def test_a_request_that_is_given_up_while_it_waits_leaves_its_place_and_its_descriptor(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    tried, made = hang_after(monkeypatch, 0), caches_of(monkeypatch)
    async with world(serve) as w, client(w) as c:
        seq = await c.ask()
        while not tried[0]:
            await anyio.sleep(0.001)
        before = held_by(made[0])
        await c.withdraw(seq)
        with anyio.fail_after(SETTINGS["ceilings"]["connectTimeout"] / 2):
            while made[0].pool._waiters:
                await anyio.sleep(0.001)
        assert held_by(made[0]) == before - 1


async def test_a_connection_promised_to_a_request_that_is_given_up_goes_to_the_next(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    hang_after(monkeypatch, 0)
    with pair() as (ours, _):
        caches, endpoint = (
            CacheTransport(
                CachePool(parse_config(configuration([])), DescriptorBudget(100, ELASTIC_POOLS)),
                time.time,
                ["page"],
            ),
            b"s-1",
        )
        caches.pool.set_address(endpoint, ("127.0.0.1", 1))
        link, got = CacheConnection(ours), list[tuple[bytes, CacheConnection]]()
        async with anyio.create_task_group() as tasks:
            scopes = [anyio.CancelScope(), anyio.CancelScope()]

            async def waits(name: bytes, scope: anyio.CancelScope) -> None:
                with scope:
                    got.append((name, await caches.pool.acquire(endpoint, name)))

            for name, scope in zip((b"a", b"b"), scopes, strict=True):
                tasks.start_soon(waits, name, scope)
                await anyio.wait_all_tasks_blocked()
            caches.pool._offer_idle(endpoint, link)
            scopes[0].cancel()  # in the same turn of the loop
        assert (
            got == [(b"b", link)] and not link.reserved and not caches.pool._waiters and held_by(caches) == 0
        )


# Settings that change while a connection stands --------------------------------------------------------


@pytest.mark.parametrize("names", [["rif", "busy"], ["busy"], ["busy", "rif"]])
async def test_a_load_report_is_read_in_the_order_of_the_settings_in_force(names: list[str]) -> None:
    # the decisions take each figure by its place: in the order of older settings, cores would be shares
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


LEFT_OVER = [b"f" * 16 + b" 200 te", b"\xff" * 40, b"f" * 16 + b" 200 tell=local 6\r\nabc"]


def push(fetch: Fetch, data: bytes) -> None:
    """Sends what belongs to no request on the connection of this one, at once."""
    number = fetch.stream.extra(SocketAttribute.raw_socket).fileno()
    with socket.socket(fileno=os.dup(number)) as sock:
        sock.sendall(data)


# What was left over ------------------------------------------------------------------------------------


@pytest.mark.parametrize("read", [True, False])
@pytest.mark.parametrize(
    "more", [b"f" * 16 + b" 200 te", b"\xff" * 40, b"f" * 16 + b" 200 tell=local 6\r\nabc"]
)
async def test_a_request_does_not_go_out_behind_what_was_left_over(
    more: bytes, read: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # half an answer that is nobody's ends its connection soon: a write that goes out there may have run
    waiting, link_for = list[Fetch](), CachePool.acquire

    async def answers(cache: StubCache, fetch: Fetch) -> None:
        await serve(cache, fetch)
        if len(cache.fetches) == 1:
            waiting.append(fetch)

    def crossing(self: CachePool, endpoint: bytes, name: bytes) -> Any:
        while waiting and cores[0].open_requests:
            push(waiting.pop(), more)  # it comes just before the next request goes out
        return link_for(self, endpoint, name)

    cores = cores_of(monkeypatch)
    made = caches_of(monkeypatch)
    async with world(serve, origin=answers) as w, client(w) as c:
        await c.ask(b"order", route="booking")
        assert (await c.reply()).kind == "served"
        if read:
            (link,) = made[0].pool._connections[w.caches[-1].name.encode()]
            received = link.read_buffer.received
            push(waiting.pop(), more)
            while link.read_buffer.received == received:
                await anyio.sleep(0.001)
        else:
            monkeypatch.setattr(CachePool, "acquire", crossing)
        await c.ask(b"order", route="booking")
        assert (await c.reply()).kind == "served"
        assert len(w.caches[-1].fetches) == 2 and w.caches[-1].connections == 2


async def test_a_connection_with_more_than_its_answer_is_handed_to_nobody(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    tried, held = hang_after(monkeypatch, 1), anyio.Event()

    async def more(_: StubCache, fetch: Fetch) -> None:
        await held.wait()
        await fetch.stream.send(
            f"{fetch.name} 200 tell=local,rev=a,since=1 2\r\nok\r\n{'f' * 16} 200 te".encode()
        )

    made = caches_of(monkeypatch)
    async with world(more) as w, client(w) as c:
        await c.ask(entity=f"{1:016x}")
        while not w.caches[0].fetches:
            await anyio.sleep(0.001)
        await c.ask(entity=f"{2:016x}")
        while tried[0] < 2:
            await anyio.sleep(0.001)
        held.set()
        assert (await c.reply()).body == b"ok"
        assert made[0].pool._waiters and len(w.caches[0].fetches) == 1
