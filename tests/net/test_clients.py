"""A front answers clients over loopback sockets while clients, caches or the coordinator fail."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import time
from pathlib import Path

import anyio
import anyio.abc
import pytest

from tests.support.cache_scripts import cut, garble, hold, in_pieces, says, too_long
from tests.support.front_configuration import KEY, configuration
from tests.support.front_world import running_front
from tests.support.service_client import Client, Reply, client
from tests.support.stub_cache import Fetch, Script, StubCache, serve
from zincladder.net import thrift

pytestmark = pytest.mark.anyio
ITEM = KEY.encode()


@pytest.mark.parametrize(
    ("script", "route", "kind", "runs"),
    [
        (serve, "page", "served", 1),
        (in_pieces, "page", "served", 1),
        (says(304, "rev=aa,since=1"), "page", "served", 1),
        (says(404), "booking", "Throttled", 4),  # it certainly did not run: retried, then rejected
        (says(503), "booking", "Throttled", 4),
        (says(504), "booking", "Throttled", 1),
        (says(500), "booking", "Broken", 1),  # it may have run: failed without a retry
        (cut, "booking", "Broken", 1),
        (garble, "booking", "Broken", 1),
        (too_long, "booking", "Broken", 1),
        (hold, "booking", "Broken", 1),
    ],
)
async def test_each_attempt_outcome_leads_to_one_answer(
    script: Script, route: str, kind: str, runs: int
) -> None:
    async with running_front(script, script, origin=script) as w, client(w) as c:
        seq = await c.ask(b"order" if route == "booking" else b"", route=route, patience="400", seen="aa")
        reply = await c.reply()
        assert (reply.seq, reply.kind) == (seq, kind)
        fetches = [f for cache in w.caches for f in cache.fetches]
        assert len(fetches) == runs and {f.name for f in fetches} == {"0000000000000001"}
        if kind == "Throttled":
            assert int(reply.fields["pause"]) > 0  # the retry delay
        if route == "booking":
            assert {f.body for f in fetches} == {b"order"} and "store" not in fetches[0].fields
        else:
            sent = fetches[0].fields
            assert (sent["cls"], sent["item"], sent["chunk"], sent["inm"]) == ("page", KEY, "0", "aa")
            assert 0 < int(sent["limit"]) <= 400 and reply.good
            assert reply.body == (b"" if reply.fields else b"abcdef" if script is in_pieces else ITEM)


@pytest.mark.parametrize("script", [cut, garble, says(500)])
async def test_a_read_is_retried_at_another_cache_when_one_fails(script: Script) -> None:
    async with running_front(script, serve) as w, client(w) as c:
        for n in range(8):
            await c.ask(entity=f"{n:016x}")
            reply = await c.reply()
            assert reply.kind == "served" and reply.body == b"%016x" % n


async def test_a_write_is_rejected_and_not_failed_when_the_origin_refuses_connections() -> None:
    async with running_front(serve) as w, client(w) as c:
        origin = w.caches[-1]
        origin.port = 1  # nothing listens on this port
        await w.coordinator.tell(2, origin.record(0))
        with anyio.fail_after(5):
            while w.coordinator.events and (await _book(c)) != "Throttled":
                pass


async def _book(c: Client) -> str:
    await c.ask(b"x", route="booking", patience="500")
    return (await c.reply()).kind


class UnreachableCache(StubCache):
    """A cache that does not listen on its own port."""

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        task_status.started()


async def test_requests_to_an_unreachable_cache_wait_for_it_at_the_same_time() -> None:
    # A machine that is cut off accepts no connection, so each attempt to connect to it times out after 0.4 s.
    # If ten requests made these attempts one after another, the later ones would miss their 1.1 s deadline.
    with socket.create_server(("127.0.0.1", 0), backlog=0) as full, contextlib.ExitStack() as fillers:
        for _ in range(4):  # fills the listen queue, so that the system drops further connection requests
            filler = fillers.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(full.getsockname())
        endpoints: list[StubCache] = [UnreachableCache("s-000000ff", 0, port=full.getsockname()[1])]
        endpoints += [StubCache("s-000000a0", 1), StubCache("s-000000b0", 2)]
        async with running_front(endpoints=endpoints) as w, client(w) as c:
            for n in range(10):
                await c.ask(patience="1100", entity=f"{n:016x}")
            replies = [await c.reply() for _ in range(10)]
            assert {r.kind for r in replies} == {"served"}


async def test_a_silent_connection_is_not_used_again() -> None:
    # When the network cuts off a machine, connections to it stay open and silent.
    async with running_front(hold) as w, client(w) as c:
        cache = w.caches[0]
        cache.mute = True
        for _ in range(2):
            before = cache.connections
            await c.ask(patience="1200")
            await c.reply()
            with anyio.fail_after(10):
                while cache.connections == before:  # until an attempt opens a new connection to this cache
                    await c.ask(patience="300")
                    await c.reply()


async def test_requests_beyond_the_memory_limit_are_rejected_at_once() -> None:
    # The limit allows 40 open requests. The first client opens 32, as many as one connection may. This leaves
    # 8 to the second client, so 12 of its 20 requests are rejected.
    async with running_front(hold, limits={"memory_mb": 1}) as w, client(w) as many, client(w) as few:
        for _ in range(32):
            await many.ask(patience="5000")
        for n in range(20):
            await few.ask(patience="5000", trace=f"f{n:015x}")
        replies = [await few.reply() for _ in range(12)]
        assert {(r.kind, r.fields["pause"]) for r in replies} == {("Throttled", "1000")}


async def test_answers_come_in_any_order_and_a_withdrawn_request_gets_none() -> None:
    gates: dict[str, anyio.Event] = {}

    async def gated(_: StubCache, fetch: Fetch) -> None:
        await gates.setdefault(fetch.name, anyio.Event()).wait()
        await fetch.answer(200, "tell=local", fetch.name.encode())

    async with running_front(gated) as w, client(w) as c:
        cache = w.caches[0]
        for _ in range(4):
            await c.ask(patience="5000")
        while len(cache.fetches) < 4:
            await cache.came.wait()
        await c.withdraw(2)
        while not cache.aborts:
            await cache.came.wait()
        assert cache.aborts == [f"{2:016x}"]
        for n in (4, 2, 1):  # the cache also answers request 2, as if its answer had crossed the abort
            gates.setdefault(f"{n:016x}", anyio.Event()).set()
        assert [(await c.reply()).seq for _ in range(2)] in ([4, 1], [1, 4])
        await c.withdraw(1)  # has no effect, since the request is answered already
        gates.setdefault(f"{3:016x}", anyio.Event()).set()
        assert (await c.reply()).body == f"{3:016x}".encode()


async def test_the_requests_of_a_client_that_disconnects_are_aborted() -> None:
    async with running_front(hold) as w:
        async with client(w) as c:
            await c.ask(patience="5000")
            while not w.caches[0].fetches:
                await w.caches[0].came.wait()
        with anyio.fail_after(5):
            while not w.caches[0].aborts:
                await w.caches[0].came.wait()


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        struct.pack(">i", -5),
        struct.pack(">i", 0),
        struct.pack(">i", 8) + bytes(8),
        struct.pack(">i", 30)
        + thrift._message(thrift.CALL, "handle", 1)
        + b"\x0d\0\1\x0b\x0b\x7f\xff\xff\xff"
        + b"\0\0\0",
        struct.pack(">i", 21) + thrift._message(thrift.CALL, "handle", 1) + b"\x63\0\1",
    ],
)
async def test_malformed_input_closes_its_connection_and_no_other(data: bytes) -> None:
    async with running_front(serve) as w, client(w) as other, client(w) as c:
        await c.stream.send(data)
        with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)), anyio.fail_after(5):
            await c.stream.receive()
        await other.ask()
        assert (await other.reply()).kind == "served"


@pytest.mark.parametrize(
    "fields", [{"route": "tram"}, {"entity": "XYZ"}, {"trace": ""}, {"slice": "-1"}, {"patience": "soon"}]
)
async def test_invalid_fields_fail_their_request_only(fields: dict[str, str]) -> None:
    async with running_front(serve) as w, client(w) as c:
        await c.ask(b"", **fields)
        assert (await c.reply()).kind == "application"
        await c.send("dance", b"")
        assert (await c.reply()).kind == "application"
        await c.ask()
        assert (await c.reply()).kind == "served"
        await c.send("status", b"\x02\0\1\1")
        assert (await c.reply()).good and not w.caches[0].aborts


@pytest.mark.parametrize("data", [b"\0", b"\0\0\1\0" + b"\x80\1\0\1"])
async def test_an_incomplete_frame_closes_its_connection(
    data: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A client that begins a message and stops must not keep a descriptor and a parser in use.
    monkeypatch.setattr("zincladder.net.client_server.STALL_TIMEOUT_SECONDS", 0.05)
    async with running_front(serve) as w, client(w) as c:
        await c.stream.send(data)
        with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)), anyio.fail_after(5):
            await c.stream.receive()


async def test_a_frame_that_arrives_byte_by_byte_is_read_completely(monkeypatch: pytest.MonkeyPatch) -> None:
    # No byte may be lost when the idle check runs while a frame is arriving.
    monkeypatch.setattr("zincladder.net.client_server.IDLE_TIMEOUT_SECONDS", 0.01)
    async with running_front(hold) as w, client(w) as c:
        await c.ask(patience="600")  # keeps the connection from being closed as idle
        frame = thrift._message(thrift.CALL, "status", 2) + b"\0"
        for byte in struct.pack(">i", len(frame)) + frame:
            await c.stream.send(bytes([byte]))
            await anyio.sleep(0.012)
        assert (await c.reply()).good and (await c.reply()).seq == 1


async def test_a_client_that_reads_no_answers_does_not_delay_others() -> None:
    async def large(_: StubCache, fetch: Fetch) -> None:
        await fetch.answer(200, "tell=local", bytes(240_000))

    async with running_front(large) as w, client(w) as slow, client(w) as quick:
        for _ in range(32):
            await slow.ask(patience="5000")
        for _ in range(3):
            await quick.ask()
            assert len((await quick.reply()).body) == 240_000
        assert {(await slow.reply()).seq for _ in range(32)} == set(range(1, 33))


@pytest.mark.parametrize("as_source", [False, True])
async def test_a_draining_cache_gets_no_new_request_and_is_no_source_of_fills(as_source: bool) -> None:
    # One attempt may still reach the draining cache: it was decided before the drain was announced, and sent
    # afterwards because its connection was established late (rule 3 of the platform).
    async with running_front(serve, serve) as w, client(w) as c:
        drained = w.caches[-2 if as_source else 0]
        await w.coordinator.tell(2, drained.record(1))
        await c.ask()
        assert (await c.reply()).kind == "served"
        with anyio.fail_after(5):
            n = 0
            while n < 20:
                n += 1
                await c.ask(entity=f"{n:016x}")
                assert (await c.reply()).kind == "served"
        late = [f for cache in w.caches for f in cache.fetches[-10:]]
        assert not [f for f in late if f.fields.get("up") == drained.name]
        assert as_source or len(drained.fetches) <= 1


async def test_a_purge_lowers_the_maximum_age_of_copies() -> None:
    async with running_front(serve) as w, client(w) as c:
        now = int(time.time() * 1000)
        await w.coordinator.tell(3, bytes.fromhex(KEY) + struct.pack(">Q", now))
        await w.coordinator.tell(4, struct.pack(">HQ", 99, now))
        with anyio.fail_after(5):
            while True:
                await c.ask(route="video")
                await c.reply()
                if "cap" in w.caches[0].fetches[-1].fields:
                    break
        assert 0 < int(w.caches[0].fetches[-1].fields["cap"]) <= time.time() * 1000 - now + 1
        await c.ask(route="video", entity=f"{1:016x}", set="99")
        await c.reply()
        assert "cap" in w.caches[0].fetches[-1].fields


async def test_the_watch_continues_after_the_last_event_when_its_connection_is_lost() -> None:
    async with running_front(serve, serve) as w:
        while not w.coordinator.streams:
            await w.coordinator.followed.wait()
        await w.coordinator.tell(4, struct.pack(">HQ", 3, 5))
        with anyio.fail_after(10):
            # The connection of the watch is closed repeatedly until the front has read the event.
            while 2 not in w.coordinator.after:
                for stream in w.coordinator.streams:
                    await stream.aclose()
                w.coordinator.streams.clear()
                await w.coordinator.followed.wait()
        assert w.coordinator.after[0] == 1 and set(w.coordinator.after) == {1, 2}


async def test_a_cache_that_a_full_endpoint_list_omits_is_gone() -> None:
    async with running_front(serve, serve) as w, client(w) as c:
        gone, *rest = w.caches
        for n in range(20):
            await c.ask(entity=f"{n:016x}")
            assert (await c.reply()).kind == "served"
        assert gone.fetches and gone.open
        await w.coordinator.tell(1, b"".join(m.record(0) for m in rest))
        with anyio.fail_after(5):
            while gone.open:  # its idle connection is closed
                await gone.came.wait()
        before = len(gone.fetches)
        for n in range(20):
            await c.ask(entity=f"{n:016x}")
            assert (await c.reply()).kind == "served"
        assert len(gone.fetches) == before


async def test_a_new_cache_at_an_old_address_gets_its_own_connection() -> None:
    async with running_front(serve) as w, client(w) as c:
        cache = w.caches[0]
        await c.ask()
        await c.reply()
        before, old = cache.connections, cache.record(2)
        cache.name = "s-000000ff"
        await w.coordinator.tell(2, old + cache.record(0))
        with anyio.fail_after(5):
            while cache.connections == before:
                await c.ask()
                await c.reply()


def start(path: Path, config: dict[str, object]) -> subprocess.Popen[bytes]:
    path.write_text(json.dumps(config))
    env = os.environ | {"RELAY_CONFIG": str(path)}
    return subprocess.Popen([sys.executable, "-m", "zincladder"], env=env, stderr=subprocess.PIPE)


async def test_after_sigterm_new_requests_are_still_answered_and_the_exit_status_is_0(tmp_path: Path) -> None:
    gate = anyio.Event()

    async def late(_: StubCache, fetch: Fetch) -> None:
        await gate.wait()
        await serve(_, fetch)

    caches = [StubCache("s-00000001", 0, late), StubCache("s-000000b0", 2)]
    async with anyio.create_task_group() as tasks:
        for cache in caches:
            await tasks.start(cache.run)
        process = start(tmp_path / "config.json", configuration([c.endpoint() for c in caches]))
        assert process.stderr
        line = await anyio.to_thread.run_sync(process.stderr.readline)
        host, port = json.loads(line)["clients"]
        async with await anyio.connect_tcp(host, port) as first:
            c = Client(first)
            await c.ask(patience="5000")
            while not caches[0].fetches:
                await caches[0].came.wait()
            process.send_signal(signal.SIGTERM)
            good = True
            while good:  # until `status` reports the shutdown
                await c.send("status", b"\x02\0\1\1")
                good = (await c.reply()).good
            async with await anyio.connect_tcp(host, port) as second:  # connections are still accepted
                late_client = Client(second)
                await late_client.ask(patience="5000", trace="f" * 16)
                gate.set()
                assert (await late_client.reply()).kind == (await c.reply()).kind == "served"
        assert await anyio.to_thread.run_sync(process.wait) == 0
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"listen": "nowhere"}, "'listen'"),
        ({"settings": {"categories": [{}]}}, "'settings.categories[0].name'"),
        (
            {"known": {"updates": [{"endpoints": {"endpoints": [{"name": "s-1"}]}}]}},
            "'known.updates[0].endpoints.endpoints[0].type'",
        ),
        ({"limits": {"sockets": "many"}}, "'limits.sockets'"),
    ],
)
def test_a_bad_configuration_is_reported_with_its_key_and_exit_status_2(
    tmp_path: Path, change: dict[str, object], key: str
) -> None:
    process = start(tmp_path / "config.json", configuration([]) | change)
    log = process.communicate()[1].decode()
    assert process.returncode == 2 and key in log and "Traceback" not in log


async def test_many_idle_connections_leave_room_for_clients() -> None:
    # Half of them are reset by their clients: shutting such a connection down fails, which must not end the
    # process.
    async with running_front(serve, limits={"sockets": 16}) as w, client(w) as c:
        await c.ask()
        assert (await c.reply()).kind == "served"
        other_clients = [socket.create_connection(w.listening.clients) for _ in range(24)]
        for sock in other_clients[::2]:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.close()
        await c.ask()
        assert (await c.reply()).kind == "served"
        other_clients += [socket.create_connection(w.listening.clients) for _ in range(24)]
        async with client(w) as late:
            await late.ask(entity=f"{1:016x}")
            assert (await late.reply()).kind == "served"
        for sock in other_clients:
            sock.close()


@pytest.mark.parametrize(
    "part", [b"", b"%s 200 tell=lo", b"%s 200 - 600\r\nabc", b"%s 200 since=x 1\r\na\r\n", b"\xff\r\n"]
)
async def test_a_malformed_answer_fails_its_own_attempt_only(part: bytes) -> None:
    # Other requests to that cache go on, and the front does not wait for the rest of an incomplete answer.
    gate, malformed = anyio.Event(), anyio.Event()

    async def script(cache: StubCache, fetch: Fetch) -> None:
        if fetch.fields["chunk"] == "7":
            await gate.wait()
        elif not malformed.is_set():
            malformed.set()
            await fetch.stream.send(part.replace(b"%s", fetch.name.encode()) or b"200 " * 600)
            return
        await serve(cache, fetch)

    async with running_front(script) as w, client(w) as c:
        cache = w.caches[0]
        await c.ask(patience="1100", slice="7")
        while not cache.fetches:
            await cache.came.wait()
        seq = await c.ask(patience="1100")
        assert (await c.reply()) == Reply(seq, "served", ITEM, good=True)
        gate.set()
        assert (await c.reply()).body == ITEM
        assert [f.fields["chunk"] for f in cache.fetches] == ["7", "0", "0"]


async def test_a_duplicate_answer_does_not_answer_the_next_attempt() -> None:
    # The duplicate repeats that the first attempt of a booking was not run. If it were taken as the answer to
    # the second attempt, a third would be sent, and the booking would run twice.
    first: list[Fetch] = []

    async def script(cache: StubCache, fetch: Fetch) -> None:
        if not first:
            first.append(fetch)
            await fetch.answer(404)
            return
        with contextlib.suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
            await first[0].answer(404)
            await first[0].answer(404)
        await fetch.stream.send(b"")
        await fetch.answer(200, "tell=local", b"done")

    async with running_front(serve, origin=script) as w, client(w) as c:
        await c.ask(b"order", route="booking")
        assert (await c.reply()).body == b"done" and len(w.caches[-1].fetches) == 2


async def test_a_request_with_the_id_of_an_open_one_is_not_forwarded() -> None:
    async with running_front(hold) as w, client(w) as regular, client(w) as other:
        await regular.ask(trace="ab" * 8)
        while not w.caches[0].fetches:
            await w.caches[0].came.wait()
        await other.ask(trace="ab" * 8, entity=f"{5:016x}")
        assert (await other.reply()).kind == "application"
        assert len(w.caches[0].fetches) == 1


@pytest.mark.parametrize("withdrawn", [True, False])
async def test_hundreds_of_requests_at_once_close_the_connection_and_none_is_forwarded(
    withdrawn: bool,
) -> None:
    async with running_front(serve) as w, client(w) as bad, client(w) as regular:
        frames = []
        for n in range(1, 301):
            fields = {
                "route": "page",
                "trace": f"{n:016x}",
                "patience": "2000",
                "entity": KEY,
                "slice": "0",
                "set": "1",
            }
            args = b"\x0d\0\1" + thrift._encode_string_map(fields) + b"\x0b\0\2\0\0\0\0\0"
            frames.append(thrift._message(thrift.CALL, "handle", n) + args)
            if withdrawn:
                back = b"\x08\0\1" + struct.pack(">i", n) + b"\0"
                frames.append(thrift._message(thrift.ONEWAY, "withdraw", n) + back)
        with contextlib.suppress(anyio.BrokenResourceError):
            await bad.stream.send(b"".join(struct.pack(">i", len(f)) + f for f in frames))
        with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)), anyio.fail_after(5):
            while True:
                await bad.stream.receive()
        await regular.ask()
        assert (await regular.reply()).kind == "served"
        assert len(w.caches[0].fetches) == 1


@pytest.mark.parametrize("data", [b"", b"\0\0\1", struct.pack(">i", 60_000) + bytes(400)])
async def test_a_connection_without_a_complete_message_is_closed(
    data: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("zincladder.net.client_server.FIRST_MESSAGE_TIMEOUT_SECONDS", 0.05)
    async with running_front(hold) as w, client(w) as regular, client(w) as silent:
        await regular.ask(patience="800")
        if data:
            await silent.stream.send(data)
        with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)), anyio.fail_after(5):
            await silent.stream.receive()
        assert (await regular.reply()).kind == "Throttled"  # kept open, since it has sent a message


@pytest.mark.parametrize(
    "fields", [{"patience": "0"}, {"patience": "99999999"}, {"seen": "a b"}, {"set": "256"}, {"redo": "7"}]
)
async def test_requests_with_values_out_of_range_are_not_forwarded(fields: dict[str, str]) -> None:
    async with running_front(serve) as w, client(w) as c:
        await c.ask(**fields)
        assert (await c.reply()).kind == "application" and not w.caches[0].fetches


async def test_withdrawing_many_started_requests_closes_no_connection() -> None:
    # When answers are slow for a moment, regular clients withdraw the requests that time out. The limit
    # against abuse counts only requests that were withdrawn before they started.
    async with running_front(hold, origin=hold) as w, client(w) as c:
        for n in range(1, 101):
            await c.ask(patience="5000", entity=f"{n:016x}")
            while len(w.caches[0].fetches) < n:
                await w.caches[0].came.wait()
            await c.withdraw(n if n == 1 else c.seq)
        await c.send("status", b"\x02\0\1\1")
        assert (await c.reply()).good


async def test_a_front_whose_event_loop_lags_rejects_new_requests_and_finishes_open_ones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # An overloaded front that accepted every request would answer all of them too late.
    async with running_front(hold) as w, client(w) as c:
        await c.ask(patience="1500")
        while not w.caches[0].fetches:
            await w.caches[0].came.wait()
        with monkeypatch.context() as patch:
            patch.setattr("zincladder.admission.connection_admission.MAX_LOOP_LAG_SECONDS", -1.0)
            seq = await c.ask(entity=f"{1:016x}")
            reply = await c.reply()
            assert (reply.seq, reply.kind, reply.fields["pause"]) == (seq, "Throttled", "1000")
        assert (await c.reply()).seq == 1 and len(w.caches[0].fetches) == 1


async def test_an_unexpected_error_closes_one_connection_only(monkeypatch: pytest.MonkeyPatch) -> None:
    # An unforeseen exception must end one connection to a client or a cache, not the process.
    async with running_front(serve) as w, client(w) as other:
        await other.ask()
        assert (await other.reply()).kind == "served"
        with monkeypatch.context() as patch:
            patch.setattr("zincladder.net.thrift.read_call", lambda data: 1 // 0)
            async with client(w) as failing:
                await failing.ask()
                with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)), anyio.fail_after(5):
                    await failing.stream.receive()
        with monkeypatch.context() as patch:
            patch.setattr("zincladder.net.cache_connection.read_attempt_end", lambda *_: 1 // 0)
            await other.ask(patience="500")
            assert (await other.reply()).kind == "Throttled"
        await other.ask()
        assert (await other.reply()).kind == "served"


async def test_many_new_connections_evict_none_whose_first_request_is_unread() -> None:
    # The first request of a regular client may still be unread when many other clients connect.
    async with running_front(serve, limits={"sockets": 16}) as w:
        regular = [socket.create_connection(w.listening.clients) for _ in range(8)]
        frame = thrift._message(thrift.CALL, "status", 1) + b"\x02\0\1\1\0"
        for sock in regular:
            sock.sendall(struct.pack(">i", len(frame)) + frame)
        other_clients = [socket.create_connection(w.listening.clients) for _ in range(40)]
        for sock in regular:
            sock.setblocking(False)
            with anyio.fail_after(5):
                await anyio.wait_readable(sock)
            assert sock.recv(4096)  # an answer, and not the end of the connection
        for sock in regular + other_clients:
            sock.close()
