"""The status calls READY and STATS, and the TCP server that answers them."""

from __future__ import annotations

import socket
from typing import Any

import anyio
import anyio.abc
import anyio.lowlevel
import pytest

from tests.support.front_world import RunningFront, running_front
from tests.support.raw_client import receive_all
from tests.support.service_client import client
from tests.support.stub_cache import Fetch, StubCache, serve
from zincladder.control.readiness import Readiness
from zincladder.control.status_calls import MAX_LINE_BYTES, LineReader, StatusCalls
from zincladder.discovery.freshness import INITIAL_SYNC_SECONDS, Freshness

pytestmark = pytest.mark.anyio


def test_ready_answers_the_unmet_condition_and_stats_ends_with_eot() -> None:
    missing = ""
    calls = StatusCalls(lambda: missing, lambda: [("succeeded.page", 812), ("outstanding", 14)])
    assert calls.answer(b"READY\r") == b"SUCCESS\n"
    missing = "this process is ending"
    assert calls.answer(b"READY") == b"FAILURE this process is ending\n"
    assert calls.answer(b"STATS") == b"app.succeeded.page=812\napp.outstanding=14\nEOT\n"


@pytest.mark.parametrize("line", [b"", b"ready", b"STATS now", b"\xff\xfe\x00", b"x" * 200])
def test_an_unknown_call_gets_one_failure_line(line: bytes) -> None:
    answer = StatusCalls(str, list).answer(line)
    assert (
        answer.startswith(b"FAILURE ") and answer.count(b"\n") == 1 and answer.isascii() and len(answer) < 200
    )


def test_a_line_may_arrive_in_pieces_and_its_length_is_limited() -> None:
    line = LineReader()
    assert [line.feed(b) for b in (b"RE", b"A", b"DY\nmore")] == [None, None, b"READY"]
    with pytest.raises(ValueError, match="over"):
        LineReader().feed(b"x" * (MAX_LINE_BYTES + 1))


async def ask_front(w: RunningFront, line: bytes = b"STATS\n") -> bytes:
    assert w.listening.operators
    async with await anyio.connect_tcp(*w.listening.operators) as stream:
        await stream.send(line)
        answer = b""
        with anyio.fail_after(1.0):
            while True:
                try:
                    answer += await stream.receive()
                except anyio.EndOfStream:
                    return answer


def parse_statistics(answer: bytes) -> dict[str, int]:
    lines = answer.decode().splitlines()
    assert lines[-1] == "EOT"
    return {name: int(value) for name, _, value in (line.partition("=") for line in lines[:-1])}


async def test_silent_connections_do_not_block_calls() -> None:
    async with running_front(serve, control="127.0.0.1:0", limits={"sockets": 64}) as w:
        assert w.listening.operators
        silent_connections = [socket.create_connection(w.listening.operators) for _ in range(20)]
        for sock in silent_connections[::2]:
            sock.sendall(b"STA")
        while await ask_front(w, b"READY\n") != b"SUCCESS\n":
            await anyio.sleep(0.05)
        assert parse_statistics(await ask_front(w))["app.discovered"] == 1
        silent_connections[-2].sendall(b"TS\n")  # the newest with a partial line has not been closed
        assert (await anyio.to_thread.run_sync(silent_connections[-2].recv, 4096)).startswith(b"app.")
        for sock in silent_connections:
            sock.close()


@pytest.mark.parametrize("data", [b"READY\n" * 200, b"x" * 2000], ids=["calls", "bytes"])
async def test_bytes_after_a_call_do_not_lose_its_answer(data: bytes) -> None:
    async with running_front(serve, control="127.0.0.1:0") as w:
        assert w.listening.operators
        with socket.create_connection(w.listening.operators) as sock:
            sock.sendall(data)  # exceeds one read: closing with unread bytes would reset the connection
            sock.setblocking(False)
            answer = await receive_all(sock)
        assert answer in (b"SUCCESS\n", b"FAILURE a call of over 256 bytes\n") or b"coordinator" in answer


async def test_each_answer_is_counted_once_under_its_class() -> None:
    async def script(_: StubCache, fetch: Fetch) -> None:
        await fetch.answer(500)

    async with running_front(serve, origin=script, control="127.0.0.1:0") as w, client(w) as c:
        before = parse_statistics(await ask_front(w))
        assert before["app.aborted.booking"] == before["app.succeeded.page"] == before["app.forwards"] == 0
        for route in ("page", "page", "booking", "nonsense"):
            await c.ask(route=route)
            await c.reply()
        after = parse_statistics(await ask_front(w))
        ends = {name: count for name, count in after.items() if count and "." in name[4:]}
        # A request of a class that does not exist is counted under no class.
        assert ends == {"app.succeeded.page": 2, "app.aborted.booking": 1}
        assert after["app.forwards"] == 3 and after["app.outstanding"] == 0


def test_ready_fails_before_the_first_sync_and_while_stopping() -> None:
    state: dict[str, Any] = {"ready": 0, "now": 10.0, "stopping": False}
    freshness = Freshness(min_grace_seconds=0.5)
    freshness.connect_started(10.0)
    readiness = Readiness(
        lambda: state["ready"], lambda: freshness.has_synced(state["now"]), lambda: state["stopping"]
    )
    assert "no member" in readiness.missing()
    state["ready"] = 1
    assert "coordinator" in readiness.missing()
    state["now"] = 10.0 + INITIAL_SYNC_SECONDS - 0.01
    assert "coordinator" in readiness.missing()
    state["now"] = 10.0 + INITIAL_SYNC_SECONDS  # a coordinator that stalls must not keep the front unready
    assert not readiness.missing()
    synced = Freshness(min_grace_seconds=0.5)
    synced.connect_started(10.0)
    synced.frame_received(10.1)
    assert not Readiness(lambda: 1, lambda: synced.has_synced(10.1), lambda: False).missing()
    state["stopping"] = True
    assert "ending" in readiness.missing()
