"""The client side: accepts connections, reads calls, and writes each request's one answer."""

from __future__ import annotations

import contextlib
import math
import socket
import time
from collections.abc import Callable, Mapping
from functools import partial
from time import monotonic

import anyio
import anyio.lowlevel
import structlog
from anyio.abc import TaskGroup

from zincladder.admission.interface import Admission
from zincladder.admission.model import Act, Decision, Seat, Why
from zincladder.admission.seats import SETTLED
from zincladder.config import Config
from zincladder.core.answers import ANSWER_MARGIN_SECONDS, Answer, AnswerKind
from zincladder.core.arrival import PROMPT_READ_SECONDS, ArrivalBound
from zincladder.core.attempt import ClientRequest
from zincladder.core.attempt_end import EndReason
from zincladder.core.engine import Core
from zincladder.net import protocol, thrift
from zincladder.net.client_connection import ClientConnection, TakenRequest, UnreadAnswers
from zincladder.net.client_listener import ClientListener
from zincladder.net.errors import ConnectionEndedError, InvalidFieldsError
from zincladder.net.read_buffer import ReadBuffer
from zincladder.net.sockets import peek_unread
from zincladder.net.write_queue import WriteQueue
from zincladder.routing import interface as api
from zincladder.support.lingering_close import LINGER_SECONDS, NO_LINGER_SECONDS, lingering_close
from zincladder.support.rate_limited_log import RateLimitedLog

OPEN_AT_MOST = 32  # requests on one connection, as the protocol says
TAKEN_BACK_MOST = 64  # requests taken back before they began, with no answer between them
UNREAD_AT_MOST = 1 << 20  # bytes of answers that a client leaves unread before its next request is read
FIRST = 2.2  # seconds from connecting to the first whole message: a close is owed within 3
STALL = 2.2  # for the rest of a frame, or for a reader of answers, to move on
IDLE = 5.0  # without a request; clients close after 4 s, and one that keeps its connection is closed here
SWEEP = 0.2  # seconds between two looks at these
MEASURE = 1.0  # seconds between two measurements of what the loop costs
FRAME_HEAD = 4  # bytes that tell a message's length
TURN = 32  # messages of one client taken before the other tasks have their turn
STAY = 0.65  # after SIGTERM clients go on coming for 0.6 s; what comes 0.7 s after it may not stay unanswered
# SIGKILL comes 0.7 s after the longest deadline, counted as 3 s where it is longer. What is open a little
# before that is answered as failed, and the answers then have a moment to leave.
MOST_STAY, LAST, LEAVING, LAST_TURN = 3.0, 0.55, 0.1, 0.02
SOON = 0.05  # seconds after which another process takes what this one refuses
RETIRING = 0.005  # seconds between two looks at who may be closed then
MOST_WRITE = 48_000  # bytes of a request's body
log = structlog.get_logger()


class Clients:
    """The front's service on one listening socket."""

    def __init__(
        self,
        config: Config,
        core: Core,
        admission: Admission,
        listening: socket.socket | None = None,
        has_successor: Callable[[], bool] = lambda: False,
    ) -> None:
        """`has_successor` is whether another process takes new clients from the queue."""
        self._core, self._config, self._admission = core, config, admission
        self._clients: dict[Seat, ClientConnection] = {}
        self._traces: set[str] = set()  # of the requests that are open
        self._accepting = anyio.CancelScope()
        self._warn = RateLimitedLog()
        self._tasks: TaskGroup | None = None
        self._listener = ClientListener(
            config.listen,
            admission,
            lambda: self._config.sockets,
            self._seat,
            self._evict,
            core.loop_monitor.turns,
            listening,
        )
        self._has_successor = has_successor
        self.stopping = False
        self._until = math.inf

    def use(self, config: Config) -> None:
        """A configuration that was read again: its limits hold from now on."""
        self._config = config
        self._listener.measure()

    @property
    def listener(self) -> socket.socket:
        return self._listener.listener

    @property
    def address(self) -> tuple[str, int]:
        return self._listener.address

    async def run(self) -> None:
        """Accepts clients until `stop` has let the last request be answered."""
        self._core.on_tick = self._look
        async with anyio.create_task_group() as self._tasks:
            self._tasks.start_soon(self._sweep)
            await self._listener.run(self._accepting)
            await self._empty(self._until)
            # These answers are owed too, and nobody waits for their requests any longer.
            self._core.fail_open_requests()
            await self._empty(self._until + LEAVING)
            for client in self._clients.values():
                self._end(
                    client, NO_LINGER_SECONDS
                )  # what still comes would make the end of the process a reset
            await self._empty(self._until + LEAVING + LAST_TURN)
            self._tasks.cancel_scope.cancel()

    async def _empty(self, until: float) -> None:
        """Closes connections as they fall idle, until none is left or its time is up."""
        while self._clients and monotonic() < until:
            for client in list(self._clients.values()):
                self._retire_at_stop(client)
            await anyio.sleep(RETIRING)

    async def stop(self, stopping: anyio.Event) -> None:
        """Guards a planned restart: says so to `status`, but takes what still comes for a while."""
        await stopping.wait()
        self.stopping = True
        longest = max(request_class.timeout for request_class in self._core.settings.classes)
        self._until = monotonic() + min(MOST_STAY, longest) + LAST
        log.info("stopping", open=len(self._traces), clients=len(self._clients))
        if self._has_successor():
            self._listener.hand_on = True
        else:
            await anyio.sleep(STAY)
        self._accepting.cancel()

    def _retire(
        self, client: ClientConnection, why: str = EndReason.IDLE_CLOSED.value, linger: float = LINGER_SECONDS
    ) -> bool:
        """Closes a connection on which nothing is open, unwritten or unread; whether it was one.

        Guards a request that is on its way: it is looked for at the last moment, and the end is told at once.
        What comes after that is never passed on.
        """
        coming = client.frame_at or client.read_buffer.buffered()  # a part of a message is here
        if client.open or client.write_queue.size or coming or client.ended:
            return False
        try:
            client.sock.recv(1, socket.MSG_PEEK)
            return False  # a message, or the client's own end: its reader hears of it
        except BlockingIOError:
            pass
        except OSError:
            return False
        with contextlib.suppress(OSError):
            client.sock.shutdown(socket.SHUT_WR)
        self._core.counts["client_ends", why] += 1
        client.end(linger)
        return True

    def _retire_at_stop(self, client: ClientConnection) -> bool:
        """`_retire`, but a client that has just connected gets the time to send its first request."""
        if not client.spoke and monotonic() - client.since < SETTLED:
            return False
        return self._retire(client)

    def _seat(self, sock: socket.socket, decision: Decision, came_after: float) -> None:
        now = monotonic()
        seat = self._admission.seat(decision, now)
        write_queue = WriteQueue(sock, UnreadAnswers(self._admission, seat))
        arrival = ArrivalBound(self._core.loop_monitor.turns, came_after)
        client = self._clients[seat] = ClientConnection(
            sock, seat, ReadBuffer(sock), write_queue, arrival, now, now
        )
        assert self._tasks is not None
        self._tasks.start_soon(self._client, client)

    def _evict(self, seat: Seat, why: Why) -> None:
        client = self._clients.get(seat)
        if client is None:
            return
        if client.ended:
            client.lingering.cancel()  # what is here already is read all the same
            return
        name = "crowded" if why is Why.FULL else why.value
        if self._retire(client, name, NO_LINGER_SECONDS):
            return
        if client.open or why is Why.FULL:
            self._admission.stays(seat, monotonic())  # it has something to say since it was chosen
            return
        self._core.counts["client_ends", name] += 1
        self._end(client, NO_LINGER_SECONDS)

    def _end(self, client: ClientConnection, linger: float) -> None:
        """This side's own end, whatever is open: each request that was read gets its one answer first."""
        if client.ended:
            return
        open_now, client.open = client.open, {}
        if open_now:
            self._core.fail_open_requests([taken.ask for taken in open_now.values()])
        for seq, taken in open_now.items():
            self._core.record_answer(taken.ask.request_class, AnswerKind.FAILED)
            client.write_queue.put(_reply(seq, Answer(AnswerKind.FAILED)))
        client.end(linger)

    def _look(self) -> None:
        """At each tick of the core: whose turn it is to be read, and who leaves."""
        found = self._admission.look(monotonic(), self._core.loop_monitor.lag_seconds)
        for seat in found.wake:
            client = self._clients.get(seat)
            if client is not None:
                client.turn.set()
        for seat, why in found.end:
            self._evict(seat, why)
        self._listener.look()

    async def _sweep(self) -> None:
        """Ends connections that say nothing, stop inside a message, or are used no more."""
        cpu, measured_at = time.process_time(), monotonic()
        while True:
            await anyio.sleep(SWEEP)
            now = monotonic()
            if now - measured_at >= MEASURE:
                used = time.process_time()
                self._admission.measured(used - cpu)
                cpu, measured_at = used, now
                self._listener.measure()
            for c in [c for c in self._clients.values() if not c.ended]:
                if self._said_too_little(c, now):
                    self._warn.warning("client sent no whole message", open=len(c.open))
                    self._admission.did(c.seat, Act.STALLED, now)
                    self._core.counts["client_ends", EndReason.PEER_STALLED.value] += 1
                    self._end(c, LINGER_SECONDS)
                elif now - c.used_at > IDLE:
                    self._retire(c)

    def _said_too_little(self, client: ClientConnection, now: float) -> bool:
        """Whether a client owes the first message, or the rest of one, for too long.

        Not while something of it lies unread: after a halt of this process this look goes before the reader.
        """
        stopped = client.frame_at > 0 and now - client.frame_at > STALL
        silent = not client.spoke and now - client.since > FIRST
        return (stopped or silent) and not peek_unread(client.sock, 1).data

    async def _client(self, client: ClientConnection) -> None:
        sock = client.sock
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._core.counts["clients", "accepted"] += 1
            with client.scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._writer, client)
                    try:
                        await self._reader(client, tasks)
                    except ConnectionEndedError as end:
                        self._core.counts["client_ends", end.reason.value] += 1
                        if client.open and end.reason in (
                            EndReason.CLOSED_BY_PEER,
                            EndReason.CONNECTION_LOST,
                        ):
                            self._admission.did(client.seat, Act.ABANDONED, monotonic())
                        if end.reason is EndReason.PROTOCOL_ERROR:
                            self._end(client, LINGER_SECONDS)
                            self._admission.did(client.seat, Act.GARBLED, monotonic())
                            self._warn.warning("client ended", why=str(end), open=len(client.open))
                    client.end()  # the client is gone: nobody waits for what is open
        except Exception:  # guards all other clients: what goes wrong with one ends its connection only
            log.exception("client failed")
        finally:
            try:
                if client.linger is not None:
                    with client.lingering:
                        await client.write_queue.drain(client.linger)
                        await lingering_close(sock, client.linger)
                    if client.lingering.cancelled_caught:
                        await lingering_close(sock, NO_LINGER_SECONDS)
            finally:
                del self._clients[client.seat]
                client.write_queue.clear()
                sock.close()
                self._admission.gone(client.seat, monotonic())

    async def _writer(self, client: ClientConnection) -> None:
        try:
            await client.write_queue.run(STALL)
        except ConnectionEndedError as end:
            self._core.counts["client_ends", end.reason.value] += 1
            if end.reason is EndReason.PEER_STALLED:
                self._admission.did(client.seat, Act.STALLED, monotonic())
                self._warn.warning("client does not read", why=str(end), open=len(client.open))
            client.end()

    async def _reader(self, client: ClientConnection, tasks: TaskGroup) -> None:
        read_buffer, last, turn = client.read_buffer, 0, 0
        while True:
            while client.write_queue.size > UNREAD_AT_MOST:
                client.room = anyio.Event()
                with anyio.move_on_after(0.1):
                    await client.room.wait()
            turn += 1
            if turn % TURN == 0:
                await anyio.lowlevel.checkpoint()
            if self._accepting.cancel_called and self._retire_at_stop(client):
                # Guards a client that comes again as soon as it is refused: when the loop is late, the next
                # look from outside would always find its next request.
                return
            await client.next_message()
            came, noticed = self._core.clock.now(), monotonic()  # a halt between the two makes it older
            if not self._admission.may_read(client.seat, noticed):
                # Guards the loop: what is over its source's share stays unread, at last in the client's
                # system.
                client.turn = anyio.Event()
                await client.turn.wait()
            client.frame_at = monotonic()
            await read_buffer.wait_for(FRAME_HEAD)  # looks ahead of the reader begin at a whole head
            size = int.from_bytes(await read_buffer.read_exactly(FRAME_HEAD), "big")
            if not 0 < size <= thrift.MAX_FRAME_BYTES:
                raise ConnectionEndedError(EndReason.PROTOCOL_ERROR, f"a frame of {size} bytes")
            frame = await read_buffer.read_exactly(size)
            try:
                call = thrift.read_call(frame)
            except thrift.Malformed as fault:
                raise ConnectionEndedError(EndReason.PROTOCOL_ERROR, str(fault)) from None
            client.frame_at, client.spoke, client.used_at = 0.0, True, monotonic()
            if client.ended:
                return  # it came after this side's end: it goes again on another connection
            if call.verb != "handle":
                self._admission.told(client.seat, client.used_at)
            if call.verb == "withdraw":
                self._withdraw(client, call.number)
            elif call.verb == "status":
                good = not self.stopping and self._core.endpoint_list.has_synced()
                client.write_queue.put(thrift.answer("status", call.seq, b"", {}, good))
            elif call.verb != "handle":
                if call.kind != thrift.ONEWAY:
                    text = f"no method {call.verb[:40]!r}"
                    client.write_queue.put(
                        thrift.application_exception(call.verb, call.seq, thrift.UNKNOWN_METHOD, text)
                    )
            elif call.kind != thrift.CALL:
                raise ConnectionEndedError(
                    EndReason.PROTOCOL_ERROR, f"a 'handle' of message type {call.kind}"
                )
            elif call.seq <= last:
                # Guards against two requests under one number: nobody could tell their answers apart.
                raise ConnectionEndedError(
                    EndReason.PROTOCOL_ERROR, f"sequence number {call.seq} after {last}"
                )
            elif len(client.open) >= OPEN_AT_MOST:
                # Guards the usual clients: what has not begun is never passed on, and the rest is given up.
                raise ConnectionEndedError(
                    EndReason.PROTOCOL_ERROR, f"more than {OPEN_AT_MOST} requests open"
                )
            else:
                last = call.seq
                self._take(client, call, came - self._age(client, noticed), tasks)

    def _age(self, client: ClientConnection, noticed: float) -> float:
        """For how many seconds the request that was just read had lain unread when it was noticed.

        Guards members and clients against the time of a request that is counted from when it was read.
        """
        age = client.age(noticed)
        if age > PROMPT_READ_SECONDS:
            self._core.counts["requests", "lay_unread"] += 1
            self._warn.warning("request lay unread", age_s=round(age, 3), open=len(self._traces))
        return age

    def _withdraw(self, client: ClientConnection, seq: int) -> None:
        taken = client.open.pop(seq, None)
        if taken is None:  # it crossed the answer, which stands
            return
        taken.back = True
        if taken.begun:
            taken.scope.cancel()
        # Guards usual clients, who take back what has run out of time, however many they are.
        client.taken_back += not taken.begun
        if client.taken_back > TAKEN_BACK_MOST:
            raise ConnectionEndedError(
                EndReason.PROTOCOL_ERROR, f"{client.taken_back} requests taken back before they began"
            )

    def _take(self, client: ClientConnection, call: thrift.Call, came: float, tasks: TaskGroup) -> None:
        try:
            ask = self._ask(call.fields, call.body, came)
        except InvalidFieldsError as fault:
            self._warn.warning("request not understood", why=str(fault))
            self._core.counts["answers", "unusable"] += 1
            self._admission.told(client.seat, client.used_at)
            client.write_queue.put(
                thrift.application_exception("handle", call.seq, thrift.PROTOCOL_ERROR, str(fault))
            )
            return
        if self._accepting.cancel_called:
            # Guards what this client has open at a process that ends: a connection that is always busy could
            # only be cut. Refused at once, it falls idle and is closed; the next goes to another process.
            why = Why.ENDING
        else:
            why = self._admission.may_open(client.seat, client.used_at)
        if why is not Why.NONE:
            # Guards the memory limit, which a request with its body counts against, and the loop. The
            # settings' own ceiling is kept here too: what is past it never reaches the module.
            most_pause = self._core.settings.max_retry_after
            open_now, behind = len(self._traces), round(self._core.loop_monitor.lag_seconds, 3)
            most = self._config.max_open_requests
            self._warn.warning("too much to do", why=why.value, open=open_now, most=most, behind=behind)
            self._core.record_answer(ask.request_class, AnswerKind.REJECTED)
            pause = min(SOON, most_pause) if why is Why.ENDING else most_pause
            client.write_queue.put(_reply(call.seq, Answer(AnswerKind.REJECTED, retry_after=pause)))
            return
        self._admission.opened(client.seat)
        taken = client.open[call.seq] = TakenRequest(call.seq, ask)
        ask.client_is_waiting = partial(client.waits, taken)
        self._traces.add(ask.trace)
        tasks.start_soon(self._request, client, call.seq, ask, taken)

    def _ask(self, fields: Mapping[str, str], body: bytes, arrived: float) -> ClientRequest:
        said = protocol.read_request(fields)
        request_class = self._core.classes.number_of(said["request_class"], arrived)
        if request_class is None:
            raise InvalidFieldsError(f"'route' names no class: {said['request_class'][:20]!r}")
        rules, patience = self._core.settings.classes[request_class], said["deadline"] / 1000
        # Guards the time that a request may hold memory: nobody waits past the class's own deadline.
        if patience > 2 * rules.timeout:
            raise InvalidFieldsError(
                f"'patience' must be {2000 * rules.timeout:g} at most, not {fields['patience']!r}"
            )
        # Guards rule 2: without its key no repeat of a keyed request would be dropped.
        if rules.idempotency is api.Idempotency.WITH_KEY and "key" not in said:
            raise InvalidFieldsError(
                "'nonce' is missing: a request of this class must have an idempotency key"
            )
        if len(body) > MOST_WRITE:
            raise InvalidFieldsError(f"a body of {len(body)} bytes, {MOST_WRITE} at most")
        deadline = arrived + max(0.001, patience - ANSWER_MARGIN_SECONDS)
        ask = ClientRequest(
            **said
            | {"request_class": request_class, "deadline": deadline, "write": rules.uncacheable, "body": body}
        )
        if ask.trace in self._traces:
            # Guards every request against another's answer: an id names one request at the caches too.
            raise InvalidFieldsError(f"'trace' is the id of a request that is open: {ask.trace}")
        return ask

    async def _request(
        self, client: ClientConnection, seq: int, ask: ClientRequest, taken: TakenRequest
    ) -> None:
        served, size = False, 0
        try:
            if taken.back or client.ended:
                return  # taken back, or its client turned away, before it began: the module never hears of it
            taken.begun = True
            with taken.scope:
                answer = await self._core.serve(ask)
                if client.open.get(seq) is taken:  # else it was withdrawn meanwhile: no answer is owed
                    client.taken_back = 0
                    if answer.end is not None:
                        served, size = True, len(answer.end.body)
                    client.write_queue.put(_reply(seq, answer))
        except Exception:
            log.exception("request failed", trace=ask.trace)  # the process and its other requests go on
            if client.open.get(seq) is taken:
                self._core.record_answer(ask.request_class, AnswerKind.FAILED)
                client.write_queue.put(thrift.thrown("handle", seq, 2, {}))
        finally:
            if client.open.get(seq) is taken:
                del client.open[seq]
            client.used_at = monotonic()
            self._admission.closed(client.seat, client.used_at, served, size)
            self._traces.discard(ask.trace)
            client.room.set()
            if self._accepting.cancel_called and not client.ended:
                self._retire(client)  # right after an answer the next request is furthest away


def _reply(seq: int, answer: Answer) -> list[bytes | bytearray]:
    if answer.end is not None:
        if answer.end.reason is EndReason.NOT_MODIFIED:
            return thrift.answer("handle", seq, b"", {"current": "1"}, True)
        return thrift.answer("handle", seq, answer.end.body, {}, True)
    if answer.kind is AnswerKind.REJECTED:
        pause = {"pause": str(round(answer.retry_after * 1000))} if answer.retry_after > 0 else {}
        return thrift.thrown("handle", seq, 1, pause)
    return thrift.thrown("handle", seq, 2, {})
