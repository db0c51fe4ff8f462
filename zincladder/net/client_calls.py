"""Reads the calls of clients, passes each request to the core and writes its one answer."""

from __future__ import annotations

from functools import partial
from time import monotonic

import anyio
import anyio.lowlevel
import structlog
from anyio.abc import TaskGroup

from zincladder.admission.interface import Admission
from zincladder.admission.message_memory import MessageMemory
from zincladder.admission.model import RejectionReason
from zincladder.config import Config
from zincladder.core.answers import Answer, AnswerKind
from zincladder.core.arrival import PROMPT_READ_SECONDS
from zincladder.core.attempt import ClientRequest
from zincladder.core.attempt_end import EndReason
from zincladder.core.counts import LATE_READ_REQUESTS, UNUSABLE_REQUESTS
from zincladder.core.engine import Core
from zincladder.net import thrift
from zincladder.net.client_closing import ClientCloser
from zincladder.net.client_connection import ClientConnection, OpenRequest
from zincladder.net.client_requests import FAILED_EXCEPTION, read_client_request, write_reply
from zincladder.net.errors import ConnectionEndedError, InvalidFieldsError
from zincladder.net.incomplete_messages import LARGE_MESSAGE_BYTES, IncompleteMessages
from zincladder.net.overhead_queue import OverheadQueue
from zincladder.net.read_ahead import ReadAhead
from zincladder.support.rate_limited_log import RateLimitedLog

MAX_OPEN_REQUESTS = 32  # on one connection; the protocol states this limit
MAX_WITHDRAWN_BEFORE_START = 64  # requests of one connection, counted since its last answer
LARGE_ANSWER_BYTES = 16 << 10  # smaller ones are written to the system, and arrive, without further care
MAX_UNREAD_ANSWER_BYTES = 1 << 20  # above this the client's next request is not read
UNREAD_CHECK_INTERVAL_SECONDS = 0.1
FRAME_LENGTH_BYTES = 4  # size of the length that precedes each message
MESSAGES_PER_TURN = 32  # read from one client before other tasks may run
SUCCESSOR_RETRY_AFTER_SECONDS = 0.05  # retry delay sent while this process shuts down and another takes over
log = structlog.get_logger()


def _protocol_error(text: str) -> ConnectionEndedError:
    return ConnectionEndedError(EndReason.PROTOCOL_ERROR, text)


class ClientCalls:
    """Handles the methods of the service: `handle`, `withdraw` and `status`."""

    def __init__(
        self,
        config: Config,
        core: Core,
        admission: Admission,
        closer: ClientCloser,
        message_memory: MessageMemory,
        incomplete_messages: IncompleteMessages,
    ) -> None:
        self.config = config
        self._message_memory, self._incomplete_messages = message_memory, incomplete_messages
        self._core, self._admission, self._closer = core, admission, closer
        self._rate_limited_log = RateLimitedLog()
        self._overhead = OverheadQueue()
        self._reading_ahead: set[ReadAhead] = set()  # those that hold requests back
        self.open_traces: set[str] = set()  # trace ids of the open requests
        self.stopping = False  # shutdown was requested: `status` reports that no new clients are taken
        self.draining = False  # new requests are rejected and connections are closed once they are idle

    def tick(self) -> None:
        """Starts the requests that wait for the rest of a message behind them, of which nothing comes."""
        for read_ahead in list(self._reading_ahead):
            read_ahead.tick()

    async def read(self, client: ClientConnection, tasks: TaskGroup) -> None:
        """Reads and dispatches the calls of one client until its connection is closed.

        Raises:
            ConnectionEndedError: The connection has ended, or a message violates the protocol.
        """
        messages = 0
        read_ahead = client.read_ahead = ReadAhead(
            client, partial(self._start, client, tasks), self._reading_ahead
        )
        while True:
            read_ahead.start_if_all_is_read()
            if self._must_read_answers(client):
                read_ahead.start()
                await self._wait_until_answers_are_read(client)
            if self._overhead.must_wait(client):
                read_ahead.start()
                await self._overhead.wait_for_turn(client)
            messages += 1
            if messages % MESSAGES_PER_TURN == 0:
                await anyio.lowlevel.checkpoint()
            if self.draining and self._closer.close_idle_at_shutdown(client):
                # A client that retries at once after a rejection would never be closed by the periodic check
                # alone: when the event loop lags, that check always finds the client's next request.
                return
            await client.wait_for_message()
            # In this order, a stall between the two calls makes the request appear older, never newer.
            noticed_on_core_clock, noticed_at = self._core.clock.now(), monotonic()
            if not self._admission.may_read(client.slot, noticed_at):
                # Requests beyond the source's share must not load the event loop, so they are not read yet.
                # If the client goes on sending, the socket buffers fill up and TCP flow control stops it.
                client.may_read = anyio.Event()
                read_ahead.start()
                await client.may_read.wait()
            client.message_started_at = monotonic()
            frame = await self._read_frame(client)
            client.message_started_at, client.has_sent_message, client.last_used_at = 0.0, True, monotonic()
            if client.closed:
                return  # the call arrived after this side closed: the client retries on another connection
            started_at = monotonic()
            opens_request = self._handle_call(client, _parse(frame), noticed_on_core_clock, noticed_at)
            self._overhead.record(client, 0.0 if opens_request else monotonic() - started_at)
            del frame  # it would be held until the client's next message arrives

    async def _read_frame(self, client: ClientConnection) -> bytearray:
        """Reads the next message without its length; a large one waits until there is memory for it."""
        read_buffer = client.read_buffer
        # The length is consumed only once the message is read, because `ClientConnection.is_waiting_for`
        # parses the bytes that this task has not consumed and has to find where a frame starts.
        await read_buffer.wait_for(FRAME_LENGTH_BYTES)
        size = int.from_bytes(read_buffer.peek(FRAME_LENGTH_BYTES), "big")
        if not 0 < size <= thrift.MAX_FRAME_BYTES:
            raise _protocol_error(f"frame length of {size} bytes is out of range")
        if size <= LARGE_MESSAGE_BYTES or client.has_received(FRAME_LENGTH_BYTES + size):
            await read_buffer.read_exactly(FRAME_LENGTH_BYTES)
            return await read_buffer.read_exactly(size)
        if client.read_ahead and not self._incomplete_messages.has_room(size):
            client.read_ahead.start()
        await self._incomplete_messages.take(client.slot, size)
        try:
            await read_buffer.read_exactly(FRAME_LENGTH_BYTES)
            return await read_buffer.read_exactly(size)
        finally:
            self._incomplete_messages.release(client.slot, size)

    def _handle_call(
        self,
        client: ClientConnection,
        call: thrift.Call,
        noticed_on_core_clock: float,
        noticed_at: float,
    ) -> bool:
        """Handles a call; returns whether it concerns a request, opened or rejected."""
        if call.method != "handle":
            self._admission.record_message(client.slot, client.last_used_at)
            return self._handle_other_method(client, call)
        self._check_call(client, call)
        client.last_seq = call.seq
        arrived_at = noticed_on_core_clock - self._unread_seconds(client, noticed_at)
        return self._open_request(client, call, arrived_at)

    def _must_read_answers(self, client: ClientConnection) -> bool:
        """Returns whether a client has to read answers before its next call is read.

        While the process ends, it is owed answers to all requests that it may have open. They are short.
        """
        if self.draining:
            return len(client.write_queue) > MAX_OPEN_REQUESTS
        unread = client.write_queue.size
        return unread > MAX_UNREAD_ANSWER_BYTES or (unread > 0 and self._message_memory.unread.is_full)

    async def _wait_until_answers_are_read(self, client: ClientConnection) -> None:
        while self._must_read_answers(client):
            client.request_ended = anyio.Event()
            with anyio.move_on_after(UNREAD_CHECK_INTERVAL_SECONDS):
                await client.request_ended.wait()

    def _handle_other_method(self, client: ClientConnection, call: thrift.Call) -> bool:
        """Handles a call other than `handle`; returns whether it concerns an open request."""
        if call.method == "withdraw":
            return self._withdraw(client, call.withdrawn_seq)
        if call.method == "status":
            takes_clients = not self.stopping and self._core.endpoint_list.has_synced()
            client.write_queue.put(thrift.answer("status", call.seq, b"", {}, takes_clients))
        elif call.kind != thrift.ONEWAY:
            text = f"no method {call.method[:40]!r}"
            client.write_queue.put(
                thrift.application_exception(call.method, call.seq, thrift.UNKNOWN_METHOD, text)
            )
        return False

    def _check_call(self, client: ClientConnection, call: thrift.Call) -> None:
        if call.kind != thrift.CALL:
            raise _protocol_error(f"'handle' has message type {call.kind}, which is not a call")
        if call.seq <= client.last_seq:
            # With two requests under one sequence number the client could not tell their answers apart.
            raise _protocol_error(
                f"sequence number {call.seq} is not above the previous one, {client.last_seq}"
            )
        if len(client.open_requests) >= MAX_OPEN_REQUESTS:
            # The error protects the other clients: this connection is closed, its open requests are answered
            # as failed and their attempts are cancelled.
            raise _protocol_error(f"client has more than {MAX_OPEN_REQUESTS} requests open")

    def _unread_seconds(self, client: ClientConnection, noticed_at: float) -> float:
        """Returns for how many seconds the newest request had been unread when its arrival was noticed.

        A request's timeout counts from its arrival. If it counted from the read, it would end too late, and
        caches would work for clients that no longer wait.
        """
        unread_seconds = client.unread_seconds(noticed_at)
        if unread_seconds > PROMPT_READ_SECONDS:
            self._core.counts[LATE_READ_REQUESTS] += 1
            self._rate_limited_log.warning(
                "request was read late",
                unread_s=round(unread_seconds, 3),
                open_requests=len(self.open_traces),
            )
        return unread_seconds

    def _withdraw(self, client: ClientConnection, seq: int) -> bool:
        open_request = client.open_requests.pop(seq, None)
        if open_request is None:  # the answer was sent before the withdrawal arrived, and remains valid
            return False
        open_request.withdrawn = True
        if open_request.started:
            open_request.scope.cancel()
        # Clients may withdraw any number of started requests; only those not yet started are limited.
        client.withdrawn_before_start += not open_request.started
        if client.withdrawn_before_start > MAX_WITHDRAWN_BEFORE_START:
            raise _protocol_error(f"{client.withdrawn_before_start} requests withdrawn before they started")
        return True

    def _open_request(self, client: ClientConnection, call: thrift.Call, arrived_at: float) -> bool:
        """Opens or rejects a request; returns False if it is unusable."""
        try:
            request = read_client_request(self._core, self.open_traces, call.fields, call.body, arrived_at)
        except InvalidFieldsError as fault:
            self._rate_limited_log.warning("invalid client request", reason=str(fault))
            self._core.counts[UNUSABLE_REQUESTS] += 1
            self._admission.record_message(client.slot, client.last_used_at)
            client.write_queue.put(
                thrift.application_exception("handle", call.seq, thrift.PROTOCOL_ERROR, str(fault))
            )
            return False
        if self._core.has_run_before(request):
            # It is no refusal, which would promise that nothing has run.
            self._rate_limited_log.warning("request failed: its id may have run before", trace=request.trace)
            self._admission.record_message(client.slot, client.last_used_at)
            self._core.record_answer(request.request_class, AnswerKind.FAILED)
            client.write_queue.put(write_reply(call.seq, Answer(AnswerKind.FAILED)))
            return False
        reason = self._rejection_reason(client, len(request.body))
        if reason is not RejectionReason.NONE:
            self._reject(client, call.seq, request, reason)
            return True
        self._admission.request_opened(client.slot)
        self._message_memory.bodies.take_for(client.slot, len(request.body))
        open_request = client.open_requests[call.seq] = OpenRequest(call.seq, request)
        request.client_is_waiting = partial(client.is_waiting_for, open_request)
        request.answer_goes_first = client.answers_go_first
        self.open_traces.add(request.trace)
        assert client.read_ahead is not None
        client.read_ahead.add(open_request)
        return True

    def _start(self, client: ClientConnection, tasks: TaskGroup, open_request: OpenRequest) -> None:
        tasks.start_soon(self._serve, client, open_request)

    def _rejection_reason(self, client: ClientConnection, body_bytes: int) -> RejectionReason:
        if self.draining:
            # A connection that is always busy could only be cut at the end of the process, with requests
            # open. With its new requests rejected it becomes idle and is closed, and the client reconnects
            # to another process.
            return RejectionReason.SHUTTING_DOWN
        reason = self._message_memory.bodies.reason_to_reject(client.slot, body_bytes)
        if reason is not RejectionReason.NONE:
            self._admission.record_message(client.slot, client.last_used_at)
            return reason
        return self._admission.may_open(client.slot, client.last_used_at)

    def _reject(
        self, client: ClientConnection, seq: int, request: ClientRequest, reason: RejectionReason
    ) -> None:
        # Load shedding keeps the process within its memory limit, which covers open requests and their
        # bodies, and keeps the event loop responsive. Admission enforces the configured maximum of open
        # requests, because the Router does not limit them.
        self._rate_limited_log.warning(
            "request shed",
            reason=reason.value,
            open_requests=len(self.open_traces),
            max_open_requests=self.config.max_open_requests,
            loop_lag_s=round(self._core.loop_monitor.lag_seconds, 3),
        )
        self._core.record_answer(request.request_class, AnswerKind.REJECTED)
        retry_after = self._core.settings.max_retry_after
        if reason is RejectionReason.SHUTTING_DOWN:
            retry_after = min(SUCCESSOR_RETRY_AFTER_SECONDS, retry_after)
        client.write_queue.put(write_reply(seq, Answer(AnswerKind.REJECTED, retry_after=retry_after)))

    async def _serve(self, client: ClientConnection, open_request: OpenRequest) -> None:
        seq, request = open_request.seq, open_request.request
        served, size = False, 0
        try:
            if open_request.withdrawn or client.closed:
                return  # withdrawn, or its connection closed, before it was passed to the core
            open_request.started = True
            with open_request.scope:
                answer = await self._core.serve(request)
                # A request that was withdrawn in the meantime gets no answer.
                if client.open_requests.get(seq) is open_request:
                    client.withdrawn_before_start = 0
                    if answer.end is not None:
                        served, size = True, len(answer.end.body)
                    write = client.write_queue.put(write_reply(seq, answer))
                    if size >= LARGE_ANSWER_BYTES:
                        client.read_progress.has_unread(monotonic())  # its pace counts from now
                        write.fallback = partial(write_reply, seq, Answer(AnswerKind.FAILED))
        except Exception:
            # An unexpected error fails this request alone.
            log.exception("unexpected error while serving a request", trace=request.trace)
            if client.open_requests.get(seq) is open_request:
                self._core.record_answer(request.request_class, AnswerKind.FAILED)
                client.write_queue.put(thrift.declared_exception("handle", seq, FAILED_EXCEPTION, {}))
        finally:
            if client.open_requests.get(seq) is open_request:
                del client.open_requests[seq]
            client.last_used_at = monotonic()
            self._admission.request_closed(client.slot, client.last_used_at, served, size)
            self.open_traces.discard(request.trace)
            self._message_memory.bodies.release_for(client.slot, len(request.body))
            # Without this the request, with its body, and its connection would refer to each other, and stay
            # in memory until the next full garbage collection.
            request.forget_client()
            client.request_ended.set()
            if self.draining and not client.closed:
                self._closer.close_idle(client)  # a new request is least likely right after an answer


def _parse(frame: bytearray) -> thrift.Call:
    try:
        return thrift.read_call(frame)
    except thrift.MalformedMessageError as fault:
        raise _protocol_error(str(fault)) from None
