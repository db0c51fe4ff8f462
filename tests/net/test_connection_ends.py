"""Tests races at the end of connections, requests and the process, over loopback sockets.

Each race is forced by a patched method, so that no test depends on timing to hit it.
"""

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
from tests.support.front_hooks import on_connect, record_cores
from tests.support.front_world import RunningFront, running_front
from tests.support.raw_client import frame, raw_connection, receive_all, receive_chunk, request
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
RESET = struct.pack("ii", 1, 0)  # for SO_LINGER: close sends a reset
KEY_32 = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"


def shut_down(fetch: Fetch) -> None:
    """Closes a cache's side of a connection, without waiting."""
    number = fetch.stream.extra(SocketAttribute.raw_socket).fileno()
    with socket.socket(fileno=os.dup(number)) as sock:
        sock.shutdown(socket.SHUT_RDWR)


def refuses_connections(w: RunningFront) -> bool:
    """Returns whether the front refuses a new connection."""
    with socket.socket() as sock:
        return sock.connect_ex(w.listening.clients) == errno.ECONNREFUSED


# Connections that the front closes -----------------------------------------------------------------


def _idle(w: RunningFront, sock: socket.socket) -> None:
    """Does nothing, so that the front closes the connection at the idle timeout, here 0.1 s."""


def _stop(w: RunningFront, sock: socket.socket) -> None:
    w.stopping.set()


def _garble(w: RunningFront, sock: socket.socket) -> None:
    sock.sendall(b"GET / HTTP/1.1\r\n\r\n")


def _half(w: RunningFront, sock: socket.socket) -> None:
    sock.sendall(b"\0\0\1")


@pytest.mark.parametrize("way", [_idle, _stop, _garble, _half])
async def test_a_request_that_arrives_as_the_front_closes_resets_no_answer_and_is_not_forwarded(
    way: Callable[[RunningFront, socket.socket], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    # Closing a socket with unread input sends a reset, which discards the part of the answer that the client
    # has not read yet.
    monkeypatch.setattr("zincladder.net.client_server.ACCEPT_AFTER_STOP_SECONDS", 0.01)
    monkeypatch.setattr("zincladder.net.client_server.STALL_TIMEOUT_SECONDS", 0.1)
    monkeypatch.setattr("zincladder.net.client_server.IDLE_TIMEOUT_SECONDS", 0.1 if way is _idle else 60.0)
    close, body, crossing = ClientConnection.close, bytes(12_000), [request(2)]

    def send_before_close(self: ClientConnection, *arguments: Any) -> None:
        while crossing:
            sock.sendall(crossing.pop())  # arrives just after the last check for input
        close(self, *arguments)

    async def large(_: StubCache, fetch: Fetch) -> None:
        await fetch.answer(200, "tell=local,rev=aa,since=1", body)

    monkeypatch.setattr(ClientConnection, "close", send_before_close)
    async with running_front(large) as w:
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)  # most of the answer stays in flight
            sock.connect(w.listening.clients)
            sock.setblocking(False)
            sock.sendall(request(1))
            with anyio.fail_after(5):
                await anyio.wait_readable(sock)
                way(w, sock)
                while crossing:
                    await anyio.sleep(0.001)
            answer = await receive_all(sock)
            assert body in answer and answer.count(b"handle") == 1
            assert [f.name for f in w.caches[0].fetches] == [f"{1:016x}"]


@pytest.mark.parametrize(("deadline", "counted"), [(0.3, 3.0), (6.0, 0.3)])
async def test_open_requests_are_answered_before_the_process_is_killed(
    deadline: float, counted: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    # After SIGTERM the platform waits for the longest deadline, but for `counted` seconds at most, and sends
    # SIGKILL soon after. Requests that are still open shortly before SIGKILL are answered as failed.
    monkeypatch.setattr("zincladder.net.client_server.ACCEPT_AFTER_STOP_SECONDS", 0.01)
    monkeypatch.setattr("zincladder.net.client_server.MAX_COUNTED_TIMEOUT_SECONDS", counted)
    monkeypatch.setattr("zincladder.net.client_server.FAIL_REQUESTS_AFTER_SECONDS", 0.05)
    settings = copy.deepcopy(SETTINGS)
    for row in settings["categories"]:
        row["deadline"] = deadline
    async with running_front(hold, origin=hold, settings=settings) as w, client(w) as c:
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
    sock.sendall(b"".join(request(n) for n in range(3, 40)))  # more than one connection may have open


def _breaks_off(sock: socket.socket) -> None:
    sock.sendall(b"\0\0\1")


def _speaks_another_protocol(sock: socket.socket) -> None:
    sock.sendall(b"GET / HTTP/1.1\r\n\r\n")


@pytest.mark.parametrize("bad", [_too_many, _breaks_off, _speaks_another_protocol])
async def test_open_requests_on_a_connection_that_the_front_closes_get_one_answer_each(
    bad: Callable[[socket.socket], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("zincladder.net.client_server.STALL_TIMEOUT_SECONDS", 0.1)
    cores = record_cores(monkeypatch)
    async with running_front(hold, origin=hold) as w:
        with raw_connection(w) as sock:
            sock.sendall(request(1) + request(2, route="booking", trace="b" * 16))
            while not (w.caches[0].fetches and w.caches[-1].fetches):
                await anyio.sleep(0.001)
            bad(sock)
            answers = await receive_all(sock)
        failed = [thrift.declared_exception("handle", seq, 2, {}) for seq in (1, 2)]
        for reply in failed:
            assert answers.count(b"".join(bytes(part) for part in reply)) == 1
        kinds = {kind: n for (what, kind), n in cores[0].counts.items() if what == "answers"}
        assert kinds == {"failed": answers.count(b"handle")} and not cores[0].open_requests


async def test_input_that_arrives_as_the_process_ends_causes_no_reset(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # An incomplete frame keeps the connection from being idle, so it stays open until the process ends.
    monkeypatch.setattr("zincladder.net.client_server.ACCEPT_AFTER_STOP_SECONDS", 0.01)
    monkeypatch.setattr("zincladder.net.client_server.MAX_COUNTED_TIMEOUT_SECONDS", 0.0)
    monkeypatch.setattr("zincladder.net.client_server.FAIL_REQUESTS_AFTER_SECONDS", 0.05)
    monkeypatch.setattr("zincladder.net.client_server.SEND_ANSWERS_SECONDS", 0.05)
    drain, drains, body = ClientServer._drain, [0], bytes(12_000)

    async def send_after_drain(self: ClientServer, until: float) -> None:
        await drain(self, until)
        drains[0] += 1
        if drains[0] == 2:
            sock.sendall(request(2))  # the server closes its connections next, without waiting

    async def large(_: StubCache, fetch: Fetch) -> None:
        await fetch.answer(200, "tell=local,rev=aa,since=1", body)

    monkeypatch.setattr(ClientServer, "_drain", send_after_drain)
    async with running_front(large) as w:
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)  # most of the answer stays in flight
            sock.connect(w.listening.clients)
            sock.setblocking(False)
            sock.sendall(request(1) + b"\0\0")
            with anyio.fail_after(5):
                await anyio.wait_readable(sock)
                w.stopping.set()
                while drains[0] < 2:
                    await anyio.sleep(0.001)
            assert body in await receive_all(sock)
            assert [f.name for f in w.caches[0].fetches] == [f"{1:016x}"]


async def test_a_client_that_connects_right_before_the_shutdown_can_send_its_first_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # During an upgrade a connection that had just been accepted was closed before its client sent anything.
    monkeypatch.setattr(client_server, "ACCEPT_AFTER_STOP_SECONDS", 0.0)
    monkeypatch.setattr(client_closing, "MIN_IDLE_SECONDS", 60.0)
    calls = [0]
    close_idle = ClientCloser.close_idle_at_shutdown

    def counted(self: ClientCloser, client: ClientConnection) -> bool:
        calls[0] += 1
        return close_idle(self, client)

    monkeypatch.setattr(ClientCloser, "close_idle_at_shutdown", counted)
    async with running_front(serve) as w:
        with raw_connection(w) as sock:
            w.stopping.set()
            with anyio.fail_after(5):
                while calls[0] < 3:
                    await anyio.sleep(0.001)
            sock.sendall(frame("status", 1, b"\x02\0\1\1"))
            assert len(await receive_chunk(sock)) > 4


async def test_an_idle_connection_is_not_evicted_if_a_request_has_just_arrived(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    idle: list[socket.socket] = []
    evict = ClientServer._evict

    def send_before_evict(self: ClientServer, *arguments: Any) -> None:
        while idle:
            idle.pop().sendall(request(2, trace="e" * 16))
        evict(self, *arguments)

    monkeypatch.setattr(ClientServer, "_evict", send_before_evict)
    # 22 of the 40 descriptors are for clients.
    async with running_front(serve, limits={"sockets": 40}) as w:
        with raw_connection(w) as first, contextlib.ExitStack() as other_clients:
            first.sendall(request(1))
            assert KEY.encode() in await receive_chunk(first)
            idle.append(first)
            for _ in range(21):
                sock = other_clients.enter_context(raw_connection(w))
                sock.sendall(frame("status", 1, b"\x02\0\1\1"))
                await receive_chunk(sock)  # all of them were used later than the first
            newest = other_clients.enter_context(raw_connection(w))
            newest.sendall(request(1, trace="f" * 16))
            assert KEY.encode() in await receive_chunk(first) and not idle
            assert KEY.encode() in await receive_chunk(newest)  # another connection was evicted


async def test_an_accepted_socket_is_non_blocking_before_anything_reads_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A front with all descriptors in use once stopped answering, without a log line. It was about to evict an
    # idle connection, and blocked in a read of it, because the connection's task had not made the socket
    # non-blocking yet.
    blocking: list[bool] = []
    add = ClientServer._add

    def recording(self: ClientServer, sock: socket.socket, *more: Any) -> None:
        blocking.append(os.get_blocking(sock.fileno()))
        add(self, sock, *more)

    monkeypatch.setattr(ClientServer, "_add", recording)
    async with running_front(serve) as w, client(w) as c:
        await c.ask()
        assert (await c.reply()).kind == "served" and blocking == [False]


async def test_lingering_connections_are_closed_for_new_clients(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("zincladder.net.client_server.LINGER_SECONDS", 60.0)
    monkeypatch.setattr("zincladder.admission.connection_admission.MIN_IDLE_SECONDS", 0.0)
    calls, may_accept = [0], ConnectionAdmission.may_accept

    def counted(self: ConnectionAdmission, now: float) -> Any:
        calls[0] += 1
        return may_accept(self, now)

    async with running_front(serve, limits={"sockets": 40}) as w:  # 22 of these descriptors are for clients
        with contextlib.ExitStack() as other_clients:
            for _ in range(22):
                sock = other_clients.enter_context(raw_connection(w))
                _garble(w, sock)
                # The front has closed its side, and waits for the client's.
                assert await receive_all(sock) == b""
            monkeypatch.setattr(ConnectionAdmission, "may_accept", counted)
            newest = other_clients.enter_context(raw_connection(w))
            newest.sendall(request(1))
            assert KEY.encode() in await receive_chunk(newest) and calls[0] < 20


async def test_a_client_that_retries_at_once_after_a_rejection_is_closed_at_shutdown(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The periodic check alone would never close the connection: whenever it runs here, the client's next
    # request has already arrived.
    monkeypatch.setattr("zincladder.net.client_server.ACCEPT_AFTER_STOP_SECONDS", 0.01)
    monkeypatch.setattr("zincladder.net.client_server.DRAIN_INTERVAL_SECONDS", 60.0)
    drain, asked, cores = ClientServer._drain, [1], record_cores(monkeypatch)

    async def send_before_drain(self: ClientServer, until: float) -> None:
        asked.append(2)
        sock.sendall(request(2))
        await drain(self, until)

    monkeypatch.setattr(ClientServer, "_drain", send_before_drain)
    async with running_front(serve) as w:
        with raw_connection(w) as sock:
            sock.sendall(request(1))
            assert KEY.encode() in await receive_chunk(sock)
            w.stopping.set()
            while len(asked) < 2:
                await anyio.sleep(0.001)
            answers = 0
            while await receive_chunk(sock):  # retries after each rejection, until the connection is closed
                answers += 1
                asked.append(len(asked) + 1)
                sock.sendall(request(asked[-1]))
        assert len(asked) - 2 <= answers <= len(asked) - 1  # at most one request was in transit at the close
        assert cores[0].counts["client_ends", "idle"] == 1 and len(w.caches[0].fetches) == 1


def test_after_a_cancelled_eviction_another_slot_is_chosen() -> None:
    # The listener would otherwise wait for ever for the descriptor of a connection that stays open.
    admission = ConnectionAdmission(RequestBounds(8, 8), DescriptorBudget(10, FIXED_POOLS, own=0))
    slots = [admission.open_slot(admission.connect("127.0.0.1", 0.0), 0.0) for _ in range(5)]
    chosen = admission.may_accept(1.0)
    assert chosen.evict is slots[0]
    admission.cancel_eviction(slots[0], 1.0)
    assert admission.may_accept(1.0).evict is slots[1] and admission.may_accept(1.0).evict is None
    admission.release_slot(slots[1], 1.1)
    assert admission.may_accept(1.1).verdict is Verdict.ADMIT


# Clients that have disconnected --------------------------------------------------------------------


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
async def test_no_request_is_sent_for_a_client_that_disconnects_while_a_cache_connection_opens(
    leave: Callable[[socket.socket], None], attempt: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The client's close is received by the system but not read yet. Only the check just before the first byte
    # is written can find it.
    leaver: list[socket.socket] = []
    on_connect(monkeypatch, lambda made: leave(leaver.pop()) if made == attempt else None)
    script: Script = cut if attempt == 2 else serve
    async with running_front(script, script) as w, client(w) as stays:
        with raw_connection(w) as sock:
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


async def test_a_connection_whose_request_was_not_sent_serves_the_next_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    leaver: list[socket.socket] = []
    on_connect(monkeypatch, lambda made: _closes(leaver.pop()) if leaver else None)
    async with running_front(serve) as w, client(w) as stays:
        with raw_connection(w) as sock:
            leaver.append(sock)
            sock.sendall(request(1))
            with anyio.fail_after(5):
                while leaver:
                    await anyio.sleep(0.001)
        await stays.ask(trace="f" * 16)
        assert (await stays.reply()).kind == "served" and w.caches[0].connections == 1


# Retries -------------------------------------------------------------------------------------------


@pytest.mark.parametrize(("late", "came"), [(0.8, 1), (0.799, 2)])
async def test_a_retry_is_not_sent_after_the_deduplication_window(
    late: float, came: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    now = [1000.0]
    monkeypatch.setattr(Clock, "now", lambda self: now[0])

    def later(made: int) -> None:
        now[0] += late * (made == 2)  # the first attempt may have run; its retry waits for a connection

    on_connect(monkeypatch, later)
    settings = copy.deepcopy(SETTINGS)
    settings["categories"][2] |= {"effect": "deduplicated", "keyScope": "all", "window": 0.8}
    first: list[Fetch] = []

    async def loses_the_first(_: StubCache, fetch: Fetch) -> None:
        first.append(fetch)
        await (cut if len(first) == 1 else serve)(_, fetch)

    async with running_front(serve, origin=loses_the_first, settings=settings) as w, client(w) as c:
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
        [("video", SAFE), ("page", ONCE), ("booking", SAFE)],  # the same classes with other rules
        [("booking", SAFE), ("page", ONCE), ("video", SAFE)],  # with other rules and in another order
        [("booking", SAFE), ("page", ONCE)],  # also without 'video', whose number stays reserved
    ],
)
async def test_open_requests_keep_their_rules_when_the_settings_change(
    after: list[tuple[str, str]], monkeypatch: pytest.MonkeyPatch
) -> None:
    cores, runs, lose = record_cores(monkeypatch), Counter[str](), anyio.Event()

    async def loses_the_first(cache: StubCache, fetch: Fetch) -> None:
        runs[fetch.name] += 1
        if runs[fetch.name] > 1:
            return await serve(cache, fetch)
        await lose.wait()
        await cut(cache, fetch)

    before = _effects(("video", SAFE), ("page", SAFE), ("booking", ONCE))
    scripts = [loses_the_first] * 2
    async with running_front(*scripts, origin=loses_the_first, settings=before) as w, client(w) as c:
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


async def test_queued_answers_are_sent_to_a_slow_client_after_sigterm(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("zincladder.net.client_server.ACCEPT_AFTER_STOP_SECONDS", 0.01)
    body, cores = bytes(200_000), record_cores(monkeypatch)

    async def large(_: StubCache, fetch: Fetch) -> None:
        await fetch.answer(200, "tell=local,rev=aa,since=1", body)

    async with running_front(large) as w:
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
            sock.connect(w.listening.clients)
            sock.setblocking(False)
            sock.sendall(b"".join(request(n) for n in range(1, 21)))  # 4 MB of answers
            while cores[0].counts["answers", "served"] < 20:
                await anyio.sleep(0.001)
            w.stopping.set()
            while not refuses_connections(w):
                await anyio.sleep(0.001)
            answers = await receive_all(sock)
        assert answers.count(body) == 20


# Answers to abandoned requests ---------------------------------------------------------------------


async def test_a_connection_with_half_an_answer_to_an_abandoned_request_is_not_used_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(cache_connection, "ANSWER_STALL_SECONDS", 60.0)  # the rest may take long to arrive
    begun = anyio.Event()

    async def half(_: StubCache, fetch: Fetch) -> None:
        await fetch.stream.send(f"{fetch.name} 200 tell=local 6\r\nabc".encode())
        begun.set()

    async with running_front(half) as w, client(w) as c:
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


async def test_a_write_is_not_lost_on_a_connection_that_the_origin_has_just_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    acquire = CachePool.acquire
    idle: list[Fetch] = []

    async def close_before_acquire(self: CachePool, *arguments: Any) -> Any:
        while idle:
            shut_down(idle.pop())
        return await acquire(self, *arguments)

    monkeypatch.setattr(CachePool, "acquire", close_before_acquire)
    async with running_front(serve) as w, client(w) as c:
        for n in (1, 2):
            await c.ask(b"order", route="booking")
            assert (await c.reply()).kind == "served"
            idle += w.caches[-1].fetches[: n % 2]
        assert len(w.caches[-1].fetches) == 2 and w.caches[-1].connections == 2
