"""An attempt is not sent if its client has disconnected, or its deadline has passed, before its first byte.

Fronts whose event loop lagged once forwarded requests of clients that had disconnected; these requests
expired 1 ms after they arrived at the endpoints. The attempts had been decided in time, but the deadline
passed while their connections were being established. The timer, message or cancellation that ends an attempt
is processed only in its turn in the event loop, while the first byte is sent as soon as the connection is
established. So the deadline and the client are checked just before the first byte.

The tests of the first section cause one of these ends at the moment at which the connection is established.
Without the check the attempt is sent, with a limit of 1 ms if its deadline has passed.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import struct
import time
from collections.abc import AsyncIterator, Callable
from time import monotonic

import anyio
import pytest
from anyio.abc import SocketAttribute

from tests.support.cache_scripts import cut
from tests.support.cache_wire import OVER_BUFFER_SIZE, attempt_request, wire
from tests.support.front_configuration import SETTINGS
from tests.support.front_hooks import on_connect, record_cores
from tests.support.front_world import running_front
from tests.support.raw_client import frame, raw_connection, receive_chunk, request
from tests.support.service_client import client
from tests.support.stub_cache import Fetch, StubCache, serve
from zincladder.admission.connection_admission import ConnectionAdmission
from zincladder.admission.model import Decision, RejectionReason, Verdict
from zincladder.core.arrival import PROMPT_READ_SECONDS
from zincladder.core.attempt_guard import MIN_ATTEMPT_SECONDS
from zincladder.core.engine import Core
from zincladder.net import cache_exchange, client_connection, client_server, thrift, write_queue
from zincladder.net.client_listener import ClientListener
from zincladder.net.client_server import ClientServer
from zincladder.net.read_buffer import ReadBuffer
from zincladder.net.sockets import has_unsent_bytes, newest_byte_age_seconds
from zincladder.net.write_queue import WriteQueue
from zincladder.routing import interface as api
from zincladder.routing.router import Router

pytestmark = pytest.mark.anyio
PATIENCE = 1.0  # seconds from the arrival of a request to its deadline
PAGE_PATIENCE = 1.35  # seconds for which the router waits for a cache to answer a page request
PEER_TIMEOUT = 0.05  # seconds that a peer may take to send or read a byte
IS_LISTENING = socket.SOL_SOCKET, socket.SO_ACCEPTCONN
# Without probes, only attempts open connections to endpoints.
NO_PROBES = SETTINGS | {"ceilings": SETTINGS["ceilings"] | {"probes": False}}
Act = Callable[[Core, socket.socket], None]


# Ends of an attempt between its decision and its first byte ---------------------------------------------


def its_deadline_passes(core: Core, _: socket.socket) -> None:
    core.clock._offset += PATIENCE


def less_is_left_than_the_shortest_limit(core: Core, _: socket.socket) -> None:
    (context,) = core.open_requests.values()
    core.clock._offset += context.request.deadline - core.clock.now() - MIN_ATTEMPT_SECONDS / 2


def it_is_answered_and_cancelled(core: Core, _: socket.socket) -> None:
    core.fail_open_requests()


def withdrawal(seq: int) -> bytes:
    message = thrift._message(thrift.ONEWAY, "withdraw", 9) + b"\x08\0\1" + struct.pack(">i", seq) + b"\0"
    return struct.pack(">i", len(message)) + message


STATUS = frame("status", 2, b"\x02\0\1\1")


def it_is_withdrawn(_: Core, sock: socket.socket) -> None:
    sock.sendall(withdrawal(1))


def it_is_withdrawn_behind_another_message(_: Core, sock: socket.socket) -> None:
    sock.sendall(STATUS + withdrawal(1))


def another_is_withdrawn(_: Core, sock: socket.socket) -> None:
    sock.sendall(withdrawal(7))


async def sent_after(
    act: Act, monkeypatch: pytest.MonkeyPatch, attempt: int = 1, behind: bytes = b""
) -> list[str]:
    """Returns the traces of the requests that reach endpoints.

    `act` is called when the connection for attempt number `attempt` is established. `behind` is sent right
    after the request, and the front reads it before `act` is called.
    """
    cores, waiting = record_cores(monkeypatch), list[socket.socket]()
    on_connect(monkeypatch, lambda made: act(cores[0], waiting.pop()) if made == attempt else None)
    script = cut if attempt == 2 else serve
    async with running_front(script, script, settings=NO_PROBES) as w:
        with raw_connection(w) as sock:
            waiting.append(sock)
            sock.sendall(request(1, patience=str(round(PATIENCE * 1000))) + behind)
            with anyio.fail_after(5):
                while waiting:
                    await anyio.sleep(0.001)
            for stub in w.caches:
                stub.script = serve
            with anyio.fail_after(5):
                while cores[0].open_requests:
                    await anyio.sleep(0.001)
        async with client(w) as other:  # once it is served, the stubs have read all that was sent earlier
            await other.ask(trace="f" * 16)
            assert (await other.reply()).kind == "served"
        return [fetch.name for stub in w.caches for fetch in stub.fetches if fetch.name != "f" * 16]


@pytest.mark.parametrize("attempt", [1, 2])
@pytest.mark.parametrize(
    "act",
    [
        its_deadline_passes,
        less_is_left_than_the_shortest_limit,
        it_is_answered_and_cancelled,
        it_is_withdrawn,
        it_is_withdrawn_behind_another_message,
    ],
)
async def test_an_attempt_that_ended_before_its_connection_was_established_is_not_sent(
    act: Act, attempt: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert await sent_after(act, monkeypatch, attempt) == [f"{1:016x}"] * (attempt - 1)


@pytest.mark.parametrize("part", [2, 13], ids=["in its length", "in its text"])
async def test_a_withdrawal_after_the_rest_of_a_split_message_is_found(
    part: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    def send_the_rest(_: Core, sock: socket.socket) -> None:
        sock.sendall(STATUS[part:] + withdrawal(1))

    assert await sent_after(send_the_rest, monkeypatch, behind=STATUS[:part]) == []


async def test_the_withdrawal_of_another_request_aborts_no_attempt(monkeypatch: pytest.MonkeyPatch) -> None:
    assert await sent_after(another_is_withdrawn, monkeypatch) == [f"{1:016x}"]


@pytest.mark.parametrize(
    ("unread", "start", "found"),
    [
        (withdrawal(3) + withdrawal(4), 0, [3, 4]),
        (b"rest" + withdrawal(3), 4, [3]),
        (withdrawal(3)[:-1], 0, []),  # incomplete
        (STATUS + b"\0\0", 0, []),
        (b"\xff\xff\xff\xff" + withdrawal(3), 0, []),  # nothing after an invalid length can be parsed
        (struct.pack(">i", 20) + b"\0" * 8 + b"withdraw" + b"\0" * 4 + withdrawal(3), 0, []),
        (b"", 40, []),
    ],
)
def test_withdrawals_are_found_in_complete_messages_only(unread: bytes, start: int, found: list[int]) -> None:
    assert list(thrift.find_withdrawn(unread, start)) == found


# The last check before the first byte -----------------------------------------------------


def test_a_process_that_stalled_during_its_last_check_checks_again(monkeypatch: pytest.MonkeyPatch) -> None:
    now, stalls, checks = [100.0], [0.5, 0.0], list[float]()
    monkeypatch.setattr(write_queue, "monotonic", lambda: now[0])

    def check() -> bool:
        checks.append(now[0])
        now[0] += stalls.pop(0)
        return True

    assert write_queue._check_promptly(check) and checks == [100.0, 100.5]


async def test_an_endpoint_receives_the_time_that_is_left_when_the_first_byte_is_sent() -> None:
    # The second request waits behind the first, which the endpoint does not read yet.
    now = [1000.0]
    async with wire(now=lambda: now[0]) as w:
        await w.send(b"x" * OVER_BUFFER_SIZE, attempt_request("a" * 16))
        second = attempt_request("b" * 16, deadline=now[0] + 2.0)
        await w.attempt("b" * 16, lambda: w.caches._serialize(second), second)
        w.link.write_queue._flush()  # serialized, but the operating system accepts no bytes of it
        now[0] += 1.5
        found = await w.read(lambda found: found.endswith(b" 0\r\n\r\n"))
        assert b"limit=500" in found


async def test_bytes_of_a_cancelled_request_that_the_endpoint_has_not_received_are_dropped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # If they were kept, the operating system would send them when the endpoint reads again, long after the
    # client is gone.
    monkeypatch.setattr(cache_exchange, "MIN_RETRANSMIT_SECONDS", 0.0)
    async with wire() as w:
        scopes = list[anyio.CancelScope]()
        while not has_unsent_bytes(w.link.sock):
            scopes.append(await w.send(b"x" * 500 + b"\r\n", attempt_request(f"{len(scopes):016x}")))
        last = f"{len(scopes):016x}"
        scopes.append(await w.send(b"last\r\n", attempt_request(last)))
        assert all(exchange.write and not exchange.write.parts for exchange in w.link.open_exchanges.values())
        for scope in scopes:
            scope.cancel()
        await anyio.wait_all_tasks_blocked()
        found = await w.read(lambda found: False)
        assert b"last" not in found and last.encode() not in found


# The arrival of a request -----------------------------------------------------------------------------


@pytest.mark.parametrize("reported", [True, False], ids=["the system reports the age", "it does not"])
async def test_a_request_that_waited_in_the_listen_queue_has_only_the_time_that_is_left(
    reported: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    full, waited = [True], 0.4
    may_accept = ConnectionAdmission.may_accept

    def full_for_a_while(self: ConnectionAdmission, now: float) -> Decision:
        return Decision(Verdict.WAIT, RejectionReason.NO_CAPACITY) if full else may_accept(self, now)

    monkeypatch.setattr(ConnectionAdmission, "may_accept", full_for_a_while)
    if not reported:
        monkeypatch.setattr(client_connection, "newest_byte_age_seconds", lambda _: None)
    async with running_front(serve, settings=NO_PROBES) as w:
        with raw_connection(w) as sock:
            sock.sendall(request(1, patience="2000"))
            await anyio.sleep(waited)
            full.clear()
            await receive_chunk(sock)
        (fetch,) = [fetch for stub in w.caches for fetch in stub.fetches]
        assert int(fetch.fields["limit"]) <= 2000 - 1000 * waited + 1000 * PROMPT_READ_SECONDS


@pytest.fixture
def connected_after(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    """Returns a list that gets an upper bound of the seconds that each connection waited to be accepted."""
    waited = list[float]()
    add = ClientServer._add

    def recording(self: ClientServer, sock: socket.socket, decision: Decision, came_after: float) -> None:
        waited.append(monotonic() - came_after)
        add(self, sock, decision, came_after)

    monkeypatch.setattr(ClientServer, "_add", recording)
    return waited


async def test_a_connection_accepted_after_others_were_rejected_counts_as_new(
    connected_after: list[float], monkeypatch: pytest.MonkeyPatch
) -> None:
    accept_all = ClientListener._accept_all

    async def reports_a_rejection(self: ClientListener) -> bool:
        return await accept_all(self) or True

    monkeypatch.setattr(ClientListener, "_accept_all", reports_a_rejection)
    async with running_front(serve) as w:
        await anyio.sleep(0.3)
        with raw_connection(w) as sock:
            sock.sendall(STATUS)
            await receive_chunk(sock)
    assert connected_after[0] < 0.2


async def test_a_connection_accepted_at_the_stop_counts_as_new(
    connected_after: list[float], monkeypatch: pytest.MonkeyPatch
) -> None:
    wait_readable = anyio.wait_readable

    async def ignores_the_listener(sock: socket.socket) -> None:
        await (anyio.sleep_forever() if sock.getsockopt(*IS_LISTENING) else wait_readable(sock))

    monkeypatch.setattr(anyio, "wait_readable", ignores_the_listener)
    monkeypatch.setattr(client_server, "ACCEPT_AFTER_STOP_SECONDS", 0.0)
    async with running_front(serve) as w:
        await anyio.sleep(0.3)
        with raw_connection(w):
            w.stopping.set()
            with anyio.fail_after(5):
                while not connected_after:
                    await anyio.sleep(0.001)
    assert connected_after[0] < 0.2


async def test_the_operating_system_reports_the_age_of_unread_bytes() -> None:
    with (
        socket.create_server(("127.0.0.1", 0)) as listening,
        socket.create_connection(listening.getsockname()) as theirs,
    ):
        theirs.sendall(b"x")
        ours, _ = listening.accept()
        with ours:
            await anyio.sleep(0.1)
            age = newest_byte_age_seconds(ours)
            assert age is not None and 0.08 <= age < 5.0
    ours, theirs = socket.socketpair()
    with ours, theirs:
        assert newest_byte_age_seconds(ours) is None


# Timers that fire before data that arrived during a stall is read ------------------------------------


def answer_at_once(fetch: Fetch) -> None:
    """Answers before the next iteration of the event loop."""
    number = fetch.stream.extra(SocketAttribute.raw_socket).fileno()
    with socket.socket(fileno=os.dup(number)) as sock:
        sock.sendall(f"{fetch.name} 200 tell=local,rev=aa,since=1 4\r\nbody\r\n".encode())


@pytest.mark.parametrize(
    ("patience", "kind"), [(PAGE_PATIENCE + 2.0, "served"), (PAGE_PATIENCE, "Throttled")]
)
async def test_a_stall_of_the_process_does_not_count_as_an_endpoints_timeout(
    patience: float, kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The deadline of the attempt, or of the request, passes while the answer is unread.
    cores, stalls = record_cores(monkeypatch), [PAGE_PATIENCE + 0.2]

    async def answers_and_stalls(stub: StubCache, fetch: Fetch) -> None:
        if not stalls:
            return await serve(stub, fetch)
        answer_at_once(fetch)
        time.sleep(stalls.pop())

    async with running_front(answers_and_stalls, answers_and_stalls, settings=NO_PROBES) as w, client(w) as c:
        await c.ask(patience=str(round(1000 * patience)))
        assert (await c.reply()).kind == kind
        assert len([fetch for stub in w.caches for fetch in stub.fetches]) == 1
        assert {stats.failure_rate for stats in cores[0].router.state.endpoints.stats.values()} == {0.0}


async def test_a_stall_of_the_process_is_not_part_of_an_endpoints_latency(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # If it were, later requests would be rejected, because their transfer would seem to take too long.
    events, stalls = list[api.Event](), [0.6]
    handle = Router.handle

    def recording(self: Router, event: api.Event, now: float) -> list[api.Action]:
        events.append(event)
        return handle(self, event, now)

    async def answers_and_stalls(_: StubCache, fetch: Fetch) -> None:
        answer_at_once(fetch)
        time.sleep(stalls.pop())

    monkeypatch.setattr(Router, "handle", recording)
    async with running_front(answers_and_stalls, settings=NO_PROBES) as w, client(w) as c:
        await c.ask()
        assert (await c.reply()).kind == "served"
    (end,) = [event for event in events if isinstance(event, api.AttemptEnded)]
    assert end.outcome is api.AttemptOutcome.OK and end.latency < 0.3


@contextlib.asynccontextmanager
async def stalling(act: Callable[[], None]) -> AsyncIterator[None]:
    """Stalls the process past all timeouts, after it polled its sockets and before its timers fire.

    `act` does what the peers do during the stall.
    """
    sender, receiver = socket.socketpair()
    loop, stall_ended = asyncio.get_running_loop(), anyio.Event()

    def stall() -> None:
        loop.remove_reader(receiver)
        act()
        time.sleep(2 * PEER_TIMEOUT)
        stall_ended.set()

    with sender, receiver:
        loop.add_reader(receiver, stall)
        sender.send(b"x")
        await stall_ended.wait()
        yield


async def test_the_rest_of_a_message_that_arrived_during_a_stall_is_read() -> None:
    ours, theirs = socket.socketpair()
    with ours, theirs:
        ours.setblocking(False)
        read_buffer, lines = ReadBuffer(ours), list[bytes]()

        async def read() -> None:
            lines.append(await read_buffer.read_line(100, PEER_TIMEOUT))

        async with anyio.create_task_group() as tasks:
            theirs.sendall(b"half")
            tasks.start_soon(read)
            await anyio.wait_all_tasks_blocked()
            async with stalling(lambda: theirs.sendall(b" a line\r\n")):
                pass
        assert lines == [b"half a line"]


async def test_a_peer_that_read_during_a_stall_does_not_count_as_one_that_stopped_reading() -> None:
    ours, theirs = socket.socketpair()

    def reads() -> None:
        with contextlib.suppress(BlockingIOError):
            while True:
                theirs.recv(OVER_BUFFER_SIZE)

    with ours, theirs:
        ours.setblocking(False)
        theirs.setblocking(False)
        queue = WriteQueue(ours)
        queue.put([b"x" * OVER_BUFFER_SIZE])
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(queue.run, PEER_TIMEOUT)
            await anyio.wait_all_tasks_blocked()
            async with stalling(reads):
                with anyio.fail_after(5):
                    while not queue.written:
                        await anyio.sleep(0.001)
            assert queue.error is None
            tasks.cancel_scope.cancel()
