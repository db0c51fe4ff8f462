"""Paths that end something, over loopback sockets: each crossing is forced at a seam, none is waited for."""

from __future__ import annotations

import contextlib
import copy
import errno
import os
import socket
import struct
from collections import Counter
from collections.abc import Callable
from typing import Any

import anyio
import pytest
from anyio.abc import SocketAttribute

from tests.support.cache_scripts import cut, hold
from tests.support.front_configuration import KEY, SETTINGS, configuration
from tests.support.front_hooks import cores_of, on_connect
from tests.support.front_world import World, world
from tests.support.raw_client import frame, plain, request, rest, some
from tests.support.service_client import client
from tests.support.stub_cache import Fetch, Script, StubCache, serve
from zincladder.admission.connection_admission import ConnectionAdmission
from zincladder.admission.descriptor_budget import FIXED_POOLS, DescriptorBudget
from zincladder.admission.interface import RequestBounds
from zincladder.admission.model import Verdict
from zincladder.config import parse_config
from zincladder.core.clock import Clock
from zincladder.net import cache_connection, client_closing, client_server, thrift
from zincladder.net.cache_pool import CachePool
from zincladder.net.client_closing import ClientCloser
from zincladder.net.client_connection import ClientConnection
from zincladder.net.client_server import ClientServer

pytestmark = pytest.mark.anyio
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: close sends a reset
KEY_32 = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"


def shut(fetch: Fetch) -> None:
    """Ends a member's side of a connection at once."""
    number = fetch.stream.extra(SocketAttribute.raw_socket).fileno()
    with socket.socket(fileno=os.dup(number)) as sock:
        sock.shutdown(socket.SHUT_RDWR)


def refuses(w: World) -> bool:
    """Whether the front takes no new connection any more."""
    with socket.socket() as sock:
        return sock.connect_ex(w.listening.clients) == errno.ECONNREFUSED


# The front's own ends ------------------------------------------------------------------------------


def _idle(w: World, sock: socket.socket) -> None:
    """`IDLE` is short: nothing is to be done."""


def _stop(w: World, sock: socket.socket) -> None:
    w.stopping.set()


def _garble(w: World, sock: socket.socket) -> None:
    sock.sendall(b"GET / HTTP/1.1\r\n\r\n")


def _half(w: World, sock: socket.socket) -> None:
    sock.sendall(b"\0\0\1")


@pytest.mark.parametrize("way", [_idle, _stop, _garble, _half])
async def test_a_request_that_crosses_the_fronts_end_resets_no_answer_and_is_not_sent_on(
    way: Callable[[World, socket.socket], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    # a close over unread bytes sends a reset: the part of the answer that has not been read is gone with it
    monkeypatch.setattr("zincladder.net.client_server.ACCEPT_AFTER_STOP_SECONDS", 0.01)
    monkeypatch.setattr("zincladder.net.client_server.STALL_TIMEOUT_SECONDS", 0.1)
    monkeypatch.setattr("zincladder.net.client_server.IDLE_TIMEOUT_SECONDS", 0.1 if way is _idle else 60.0)
    end, body, crossing = ClientConnection.close, bytes(12_000), [request(2)]

    def ending(self: ClientConnection, *how: Any) -> None:
        while crossing:
            sock.sendall(crossing.pop())  # it comes just after the last look
        end(self, *how)

    async def large(_: StubCache, fetch: Fetch) -> None:
        await fetch.answer(200, "tell=local,rev=aa,since=1", body)

    monkeypatch.setattr(ClientConnection, "close", ending)
    async with world(large) as w:
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)  # most of the answer stays on its way
            sock.connect(w.listening.clients)
            sock.setblocking(False)
            sock.sendall(request(1))
            with anyio.fail_after(5):
                await anyio.wait_readable(sock)
                way(w, sock)
                while crossing:
                    await anyio.sleep(0.001)
            answer = await rest(sock)
            assert body in answer and answer.count(b"handle") == 1
            assert [f.name for f in w.caches[0].fetches] == [f"{1:016x}"]


@pytest.mark.parametrize(("deadline", "counted"), [(0.3, 3.0), (6.0, 0.3)])
async def test_what_is_open_when_the_process_has_to_end_gets_its_answer(
    deadline: float, counted: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    # SIGKILL comes soon after the longest deadline, counted as `counted` seconds where it is longer: what
    # would end later is answered before that
    monkeypatch.setattr("zincladder.net.client_server.ACCEPT_AFTER_STOP_SECONDS", 0.01)
    monkeypatch.setattr("zincladder.net.client_server.MAX_COUNTED_TIMEOUT_SECONDS", counted)
    monkeypatch.setattr("zincladder.net.client_server.FAIL_OPEN_AFTER_SECONDS", 0.05)
    settings = copy.deepcopy(SETTINGS)
    for row in settings["categories"]:
        row["deadline"] = deadline
    async with world(hold, origin=hold, settings=settings) as w, client(w) as c:
        await c.ask(b"order", route="booking", patience="600")
        await c.ask(patience="600")
        while not (w.caches[0].fetches and w.caches[-1].fetches):
            await anyio.sleep(0.001)
        w.stopping.set()
        with anyio.fail_after(0.55):  # before either request runs out of time
            assert {(await c.reply()).kind for _ in range(2)} == {"Broken"}
        assert len(w.caches[-1].fetches) == 1
        with pytest.raises(anyio.EndOfStream):
            await c.stream.receive()


def _too_many(sock: socket.socket) -> None:
    sock.sendall(b"".join(request(n) for n in range(3, 40)))  # past what one connection may have open


def _breaks_off(sock: socket.socket) -> None:
    sock.sendall(b"\0\0\1")


def _speaks_another_protocol(sock: socket.socket) -> None:
    sock.sendall(b"GET / HTTP/1.1\r\n\r\n")


@pytest.mark.parametrize("bad", [_too_many, _breaks_off, _speaks_another_protocol])
async def test_what_is_open_on_a_connection_that_the_front_ends_gets_its_one_answer(
    bad: Callable[[socket.socket], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("zincladder.net.client_server.STALL_TIMEOUT_SECONDS", 0.1)
    cores = cores_of(monkeypatch)
    async with world(hold, origin=hold) as w:
        with plain(w) as sock:
            sock.sendall(request(1) + request(2, route="booking", trace="b" * 16))
            while not (w.caches[0].fetches and w.caches[-1].fetches):
                await anyio.sleep(0.001)
            bad(sock)
            answers = await rest(sock)
        failed = [thrift.declared_exception("handle", seq, 2, {}) for seq in (1, 2)]
        for one in failed:
            assert answers.count(b"".join(bytes(part) for part in one)) == 1
        kinds = {kind: n for (what, kind), n in cores[0].counts.items() if what == "answers"}
        assert kinds == {"failed": answers.count(b"handle")} and not cores[0].open_requests


async def test_bytes_that_come_when_the_process_ends_make_its_last_close_no_reset(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # half a frame keeps the connection from resting, so it is open until the very end
    monkeypatch.setattr("zincladder.net.client_server.ACCEPT_AFTER_STOP_SECONDS", 0.01)
    monkeypatch.setattr("zincladder.net.client_server.MAX_COUNTED_TIMEOUT_SECONDS", 0.0)
    monkeypatch.setattr("zincladder.net.client_server.FAIL_OPEN_AFTER_SECONDS", 0.05)
    monkeypatch.setattr("zincladder.net.client_server.SEND_ANSWERS_SECONDS", 0.05)
    empty, turns, body = ClientServer._drain, [0], bytes(12_000)

    async def crossing(self: ClientServer, until: float) -> None:
        await empty(self, until)
        turns[0] += 1
        if turns[0] == 2:
            sock.sendall(request(2))  # nothing is awaited between this and the end

    async def large(_: StubCache, fetch: Fetch) -> None:
        await fetch.answer(200, "tell=local,rev=aa,since=1", body)

    monkeypatch.setattr(ClientServer, "_drain", crossing)
    async with world(large) as w:
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)  # most of the answer stays on its way
            sock.connect(w.listening.clients)
            sock.setblocking(False)
            sock.sendall(request(1) + b"\0\0")
            with anyio.fail_after(5):
                await anyio.wait_readable(sock)
                w.stopping.set()
                while turns[0] < 2:
                    await anyio.sleep(0.001)
            assert body in await rest(sock)
            assert [f.name for f in w.caches[0].fetches] == [f"{1:016x}"]


async def test_a_client_that_connected_right_before_the_stop_can_still_send_its_first_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Seen at an upgrade: a connection taken in the last moment was ended before its client had spoken.
    monkeypatch.setattr(client_server, "ACCEPT_AFTER_STOP_SECONDS", 0.0)
    monkeypatch.setattr(client_closing, "MIN_IDLE_SECONDS", 60.0)
    looks = [0]
    close_idle = ClientCloser.close_idle_at_shutdown

    def counted(self: ClientCloser, client: ClientConnection) -> bool:
        looks[0] += 1
        return close_idle(self, client)

    monkeypatch.setattr(ClientCloser, "close_idle_at_shutdown", counted)
    async with world(serve) as w:
        with plain(w) as sock:
            w.stopping.set()
            with anyio.fail_after(5):
                while looks[0] < 3:
                    await anyio.sleep(0.001)
            sock.sendall(frame("status", 1, b"\x02\0\1\1"))
            assert len(await some(sock)) > 4


async def test_a_connection_chosen_to_make_room_stays_when_its_request_has_come(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    idle: list[socket.socket] = []
    evict = ClientServer._evict

    def crossing(self: ClientServer, *chosen: Any) -> None:
        while idle:
            idle.pop().sendall(request(2, trace="e" * 16))
        evict(self, *chosen)

    monkeypatch.setattr(ClientServer, "_evict", crossing)
    # 22 of the 40 descriptors are the clients'
    async with world(serve, limits={"sockets": 40}) as w:
        with plain(w) as first, contextlib.ExitStack() as crowd:
            first.sendall(request(1))
            assert KEY.encode() in await some(first)
            idle.append(first)
            for _ in range(21):
                sock = crowd.enter_context(plain(w))
                sock.sendall(frame("status", 1, b"\x02\0\1\1"))
                await some(sock)  # each has spoken later than the first
            newest = crowd.enter_context(plain(w))
            newest.sendall(request(1, trace="f" * 16))
            assert KEY.encode() in await some(first) and not idle
            assert KEY.encode() in await some(newest)  # another one made room


async def test_a_connection_that_was_just_taken_can_be_looked_at_without_halting_the_process(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Seen: a front with all descriptors in use answered nobody any more, without a line in its log. It stood
    # in a read of an idle connection that was to make room, and that its own task had not set up yet.
    blocking: list[bool] = []
    add = ClientServer._add

    def seated(self: ClientServer, sock: socket.socket, *more: Any) -> None:
        blocking.append(os.get_blocking(sock.fileno()))
        add(self, sock, *more)

    monkeypatch.setattr(ClientServer, "_add", seated)
    async with world(serve) as w, client(w) as c:
        await c.ask()
        assert (await c.reply()).kind == "served" and blocking == [False]


async def test_clients_that_do_not_end_their_side_give_their_descriptors_to_who_comes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("zincladder.net.client_server.LINGER_SECONDS", 60.0)
    monkeypatch.setattr("zincladder.admission.connection_admission.MIN_IDLE_SECONDS", 0.0)
    looks, ready = [0], ConnectionAdmission.may_accept

    def counted(self: ConnectionAdmission, now: float) -> Any:
        looks[0] += 1
        return ready(self, now)

    async with world(serve, limits={"sockets": 40}) as w:  # 22 of these descriptors are the clients'
        with contextlib.ExitStack() as crowd:
            for _ in range(22):
                sock = crowd.enter_context(plain(w))
                _garble(w, sock)
                assert await rest(sock) == b""  # the front has ended its side, and waits for this one's
            monkeypatch.setattr(ConnectionAdmission, "may_accept", counted)
            newest = crowd.enter_context(plain(w))
            newest.sendall(request(1))
            assert KEY.encode() in await some(newest) and looks[0] < 20


async def test_a_client_that_comes_again_as_soon_as_it_is_refused_is_closed_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # the look from outside always comes too late: the next request is there already
    monkeypatch.setattr("zincladder.net.client_server.ACCEPT_AFTER_STOP_SECONDS", 0.01)
    monkeypatch.setattr("zincladder.net.client_server.DRAIN_INTERVAL_SECONDS", 60.0)
    empty, asked, cores = ClientServer._drain, [1], cores_of(monkeypatch)

    async def crossing(self: ClientServer, until: float) -> None:
        asked.append(2)
        sock.sendall(request(2))
        await empty(self, until)

    monkeypatch.setattr(ClientServer, "_drain", crossing)
    async with world(serve) as w:
        with plain(w) as sock:
            sock.sendall(request(1))
            assert KEY.encode() in await some(sock)
            w.stopping.set()
            while len(asked) < 2:
                await anyio.sleep(0.001)
            answers = 0
            while await some(sock):  # and it comes again with each refusal, until its connection ends
                answers += 1
                asked.append(len(asked) + 1)
                sock.sendall(request(asked[-1]))
        assert len(asked) - 2 <= answers <= len(asked) - 1  # at most one crossed the end
        assert cores[0].counts["client_ends", "idle"] == 1 and len(w.caches[0].fetches) == 1


def test_a_slot_whose_eviction_is_cancelled_is_not_waited_for() -> None:
    # else the listener would wait for ever for the descriptor of one that was not closed
    admission = ConnectionAdmission(RequestBounds(8, 8), DescriptorBudget(10, FIXED_POOLS, own=0))
    slots = [admission.open_slot(admission.connect("127.0.0.1", 0.0), 0.0) for _ in range(5)]
    chosen = admission.may_accept(1.0)
    assert chosen.evict is slots[0]
    admission.cancel_eviction(slots[0], 1.0)
    assert admission.may_accept(1.0).evict is slots[1] and admission.may_accept(1.0).evict is None
    admission.release_slot(slots[1], 1.1)
    assert admission.may_accept(1.1).verdict is Verdict.ADMIT


# A client that has left ----------------------------------------------------------------------------


def _closes(sock: socket.socket) -> None:
    sock.shutdown(socket.SHUT_RDWR)


def _closes_behind_bytes(sock: socket.socket) -> None:
    sock.sendall(b"\0\0")
    sock.shutdown(socket.SHUT_RDWR)


def _resets(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    sock.close()


LEAVES = pytest.mark.parametrize("leave", [_closes, _closes_behind_bytes, _resets])


@LEAVES
@pytest.mark.parametrize("attempt", [1, 2])
async def test_nothing_is_sent_on_for_a_client_that_left_while_a_connection_came_up(
    leave: Callable[[socket.socket], None], attempt: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # its end is in the front's system but was not read yet: only a look just before the first byte sees it
    leaver: list[socket.socket] = []
    on_connect(monkeypatch, lambda made: leave(leaver.pop()) if made == attempt else None)
    script: Script = cut if attempt == 2 else serve
    async with world(script, script) as w, client(w) as stays:
        with plain(w) as sock:
            leaver.append(sock)
            sock.sendall(request(1))
            with anyio.fail_after(5):
                while leaver:
                    await anyio.sleep(0.001)
        for cache in w.caches:
            cache.script = serve
        await stays.ask(trace="f" * 16)
        assert (await stays.reply()).kind == "served"
        sent = [f.name for cache in w.caches for f in cache.fetches]
        assert sent == [f"{1:016x}"] * (attempt - 1) + ["f" * 16]


async def test_a_connection_whose_request_was_held_back_serves_the_next(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    leaver: list[socket.socket] = []
    on_connect(monkeypatch, lambda made: _closes(leaver.pop()) if leaver else None)
    async with world(serve) as w, client(w) as stays:
        with plain(w) as sock:
            leaver.append(sock)
            sock.sendall(request(1))
            with anyio.fail_after(5):
                while leaver:
                    await anyio.sleep(0.001)
        await stays.ask(trace="f" * 16)
        assert (await stays.reply()).kind == "served" and w.caches[0].connections == 1


# Repeats -------------------------------------------------------------------------------------------


@pytest.mark.parametrize(("late", "came"), [(0.8, 1), (0.799, 2)])
async def test_a_repeat_whose_connection_comes_up_after_the_window_is_not_sent(
    late: float, came: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    now = [1000.0]
    monkeypatch.setattr(Clock, "now", lambda self: now[0])

    def later(made: int) -> None:
        now[0] += late * (made == 2)  # the first may have run, and its repeat waits for a connection

    on_connect(monkeypatch, later)
    settings = copy.deepcopy(SETTINGS)
    settings["categories"][2] |= {"effect": "deduplicated", "keyScope": "all", "window": 0.8}
    first: list[Fetch] = []

    async def loses_the_first(_: StubCache, fetch: Fetch) -> None:
        first.append(fetch)
        await (cut if len(first) == 1 else serve)(_, fetch)

    async with world(serve, origin=loses_the_first, settings=settings) as w, client(w) as c:
        await c.ask(b"order", route="booking", nonce=KEY_32)
        with anyio.fail_after(5):
            assert (await c.reply()).kind == ("served" if came == 2 else "Throttled")
        assert len(first) == came


def _effects(*rows: tuple[str, str]) -> dict[str, Any]:
    """Settings whose classes have these names, in this order, and these effects."""
    settings = copy.deepcopy(SETTINGS)
    by_name = {row["name"]: row for row in settings["categories"]}
    settings["categories"] = [by_name[name] | {"effect": effect} for name, effect in rows]
    settings["domain"]["neverKept"] = [name == "booking" for name, _ in rows]
    settings["domain"]["freshFor"] = settings["domain"]["usableAfter"] = [0.0] * len(rows)
    return settings


SAFE, ONCE = "idempotent", "at_most_once"


@pytest.mark.parametrize(
    "after",
    [
        [("video", SAFE), ("page", ONCE), ("booking", SAFE)],  # other rules under the same names
        [("booking", SAFE), ("page", ONCE), ("video", SAFE)],  # and in another order
        [("booking", SAFE), ("page", ONCE)],  # and a class less: its number is free
    ],
)
async def test_requests_of_one_connection_keep_each_the_rules_under_which_they_were_taken(
    after: list[tuple[str, str]], monkeypatch: pytest.MonkeyPatch
) -> None:
    cores, runs, lose = cores_of(monkeypatch), Counter[str](), anyio.Event()

    async def loses_the_first(cache: StubCache, fetch: Fetch) -> None:
        runs[fetch.name] += 1
        if runs[fetch.name] > 1:
            return await serve(cache, fetch)
        await lose.wait()
        await cut(cache, fetch)

    before = _effects(("video", SAFE), ("page", SAFE), ("booking", ONCE))
    scripts = [loses_the_first] * 2
    async with world(*scripts, origin=loses_the_first, settings=before) as w, client(w) as c:
        asked = [await c.ask(route="page"), await c.ask(b"order", route="booking")]
        while sum(runs.values()) < 2:
            await anyio.sleep(0.001)
        config = parse_config(configuration([], settings=_effects(*after)))
        cores[0].apply_settings(config.settings, config.names.classes)
        asked += [await c.ask(route="page"), await c.ask(b"order", route="booking")]
        while sum(runs.values()) < 4:
            await anyio.sleep(0.001)
        lose.set()
        with anyio.fail_after(5):
            kinds = {(reply := await c.reply()).seq: reply.kind for _ in asked}
        assert [kinds[seq] for seq in asked] == ["served", "Broken", "Broken", "served"]
        assert [runs[f"{seq:016x}"] for seq in asked] == [2, 1, 1, 2]


async def test_what_is_queued_for_a_slow_reader_leaves_after_sigterm(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("zincladder.net.client_server.ACCEPT_AFTER_STOP_SECONDS", 0.01)
    body, cores = bytes(200_000), cores_of(monkeypatch)

    async def large(_: StubCache, fetch: Fetch) -> None:
        await fetch.answer(200, "tell=local,rev=aa,since=1", body)

    async with world(large) as w:
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
            sock.connect(w.listening.clients)
            sock.setblocking(False)
            sock.sendall(b"".join(request(n) for n in range(1, 21)))  # 4 MB of answers
            while cores[0].counts["answers", "served"] < 20:
                await anyio.sleep(0.001)
            w.stopping.set()
            while not refuses(w):
                await anyio.sleep(0.001)
            answers = await rest(sock)
        assert answers.count(body) == 20


# Answers that were given up ------------------------------------------------------------------------


async def test_a_connection_in_the_middle_of_an_answer_that_was_given_up_is_not_used_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(cache_connection, "ANSWER_STALL_SECONDS", 60.0)  # it goes on, byte by byte
    begun = anyio.Event()

    async def half(_: StubCache, fetch: Fetch) -> None:
        await fetch.stream.send(f"{fetch.name} 200 tell=local 6\r\nabc".encode())
        begun.set()

    async with world(half) as w, client(w) as c:
        seq = await c.ask()
        await begun.wait()
        await anyio.wait_all_tasks_blocked()
        w.caches[0].script = serve
        await c.withdraw(seq)
        await c.ask()
        with anyio.fail_after(5):
            reply = await c.reply()
        assert (reply.kind, reply.body) == ("served", KEY.encode())
        assert [f.name for f in w.caches[0].fetches] == [f"{1:016x}", f"{3:016x}"]
        assert w.caches[0].fetches[0].stream is not w.caches[0].fetches[1].stream


async def test_a_write_is_not_lost_on_a_connection_that_its_member_has_just_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    link = CachePool.acquire
    idle: list[Fetch] = []

    async def crossing(self: CachePool, *asked: Any) -> Any:
        while idle:
            shut(idle.pop())
        return await link(self, *asked)

    monkeypatch.setattr(CachePool, "acquire", crossing)
    async with world(serve) as w, client(w) as c:
        for n in (1, 2):
            await c.ask(b"order", route="booking")
            assert (await c.reply()).kind == "served"
            idle += w.caches[-1].fetches[: n % 2]
        assert len(w.caches[-1].fetches) == 2 and w.caches[-1].connections == 2
