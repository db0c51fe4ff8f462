"""Reads the calls of clients, and has each request worked on and answered once."""

from __future__ import annotations

from functools import partial
from time import monotonic

import anyio
import anyio.lowlevel
import structlog
from anyio.abc import TaskGroup

from zincladder.admission.interface import Admission
from zincladder.admission.model import RejectionReason
from zincladder.config import Config
from zincladder.core.answers import Answer, AnswerKind
from zincladder.core.arrival import PROMPT_READ_SECONDS
from zincladder.core.attempt import ClientRequest
from zincladder.core.attempt_end import EndReason
from zincladder.core.counts import UNREAD_REQUESTS, UNUSABLE_REQUESTS
from zincladder.core.engine import Core
from zincladder.net import thrift
from zincladder.net.client_closing import ClientCloser
from zincladder.net.client_connection import ClientConnection, OpenRequest
from zincladder.net.client_requests import FAILED_EXCEPTION, read_client_request, write_reply
from zincladder.net.errors import ConnectionEndedError, InvalidFieldsError
from zincladder.support.rate_limited_log import RateLimitedLog

MAX_OPEN_REQUESTS = 32  # on one connection, as the protocol says
MAX_WITHDRAWN_BEFORE_START = 64  # requests of one connection, with no answer between them
MAX_UNREAD_BYTES = 1 << 20  # of answers that a client leaves unread before its next request is read
UNREAD_CHECK_INTERVAL_SECONDS = 0.1
FRAME_HEAD_BYTES = 4  # that state a message's length
MESSAGES_PER_TURN = 32  # of one client, read before the other tasks have their turn
SUCCESSOR_RETRY_AFTER_SECONDS = 0.05  # after which another process takes what this one rejects
log = structlog.get_logger()


def _protocol_error(text: str) -> ConnectionEndedError:
    return ConnectionEndedError(EndReason.PROTOCOL_ERROR, text)


class ClientCalls:
    """The service's calls: `handle`, `withdraw` and `status`."""

    def __init__(self, config: Config, core: Core, admission: Admission, closer: ClientCloser) -> None:
        self.config = config
        self._core, self._admission, self._closer = core, admission, closer
        self._lines = RateLimitedLog()
        self.open_traces: set[str] = set()  # of the requests that are open
        self.stopping = False  # the process is to end: `status` says that it takes no new clients
        self.draining = False  # it takes none: connections are closed as they fall idle

    async def read(self, client: ClientConnection, tasks: TaskGroup) -> None:
        """Reads and dispatches the calls of one client until its connection is closed.

        Raises:
            ConnectionEndedError: The connection has ended, or a message breaks the protocol.
        """
        read_buffer, last_seq, messages = client.read_buffer, 0, 0
        while True:
            if client.write_queue.size > MAX_UNREAD_BYTES:
                await self._wait_until_answers_are_read(client)
            messages += 1
            if messages % MESSAGES_PER_TURN == 0:
                await anyio.lowlevel.checkpoint()
            if self.draining and self._closer.close_idle_at_shutdown(client):
                # Guards a client that comes again as soon as it is rejected: when the loop lags, the next
                # check from outside would always find its next request.
                return
            await client.wait_for_message()
            noticed, noticed_at = self._core.clock.now(), monotonic()  # a stall between them makes it older
            if not self._admission.may_read(client.slot, noticed_at):
                # Guards the loop: what is over its source's share stays unread, at last in the client's
                # system.
                client.may_read = anyio.Event()
                await client.may_read.wait()
            client.message_started_at = monotonic()
            # `ClientConnection.waits_for` reads ahead of this task, from a complete head on.
            await read_buffer.wait_for(FRAME_HEAD_BYTES)
            size = int.from_bytes(await read_buffer.read_exactly(FRAME_HEAD_BYTES), "big")
            if not 0 < size <= thrift.MAX_FRAME_BYTES:
                raise _protocol_error(f"a frame of {size} bytes")
            call = _parse(await read_buffer.read_exactly(size))
            client.message_started_at, client.has_sent_message, client.used_at = 0.0, True, monotonic()
            if client.closed:
                return  # it came after this side's close: it goes again on another connection
            if call.verb != "handle":
                self._admission.record_message(client.slot, client.used_at)
                self._handle_other(client, call)
                continue
            self._check_order(client, call, last_seq)
            last_seq = call.seq
            arrived_at = noticed - self._measure_unread(client, noticed_at)
            self._open_request(client, call, arrived_at, tasks)

    async def _wait_until_answers_are_read(self, client: ClientConnection) -> None:
        while client.write_queue.size > MAX_UNREAD_BYTES:
            client.request_ended = anyio.Event()
            with anyio.move_on_after(UNREAD_CHECK_INTERVAL_SECONDS):
                await client.request_ended.wait()

    def _handle_other(self, client: ClientConnection, call: thrift.Call) -> None:
        """Answers a call that asks for no work of the core."""
        if call.verb == "withdraw":
            self._withdraw(client, call.number)
        elif call.verb == "status":
            takes_clients = not self.stopping and self._core.endpoint_list.has_synced()
            client.write_queue.put(thrift.answer("status", call.seq, b"", {}, takes_clients))
        elif call.kind != thrift.ONEWAY:
            text = f"no method {call.verb[:40]!r}"
            client.write_queue.put(
                thrift.application_exception(call.verb, call.seq, thrift.UNKNOWN_METHOD, text)
            )

    def _check_order(self, client: ClientConnection, call: thrift.Call, last_seq: int) -> None:
        if call.kind != thrift.CALL:
            raise _protocol_error(f"a 'handle' of message type {call.kind}")
        if call.seq <= last_seq:
            # Guards against two requests under one number: nobody could tell their answers apart.
            raise _protocol_error(f"sequence number {call.seq} after {last_seq}")
        if len(client.open) >= MAX_OPEN_REQUESTS:
            # Guards the other clients: this connection ends. Its open requests are answered as failed and
            # their attempts cancelled.
            raise _protocol_error(f"more than {MAX_OPEN_REQUESTS} requests open")

    def _measure_unread(self, client: ClientConnection, noticed_at: float) -> float:
        """For how many seconds the request that was just read had lain unread when it was noticed.

        Guards caches and clients against the time of a request that is counted from when it was read.
        """
        unread_seconds = client.unread_seconds(noticed_at)
        if unread_seconds > PROMPT_READ_SECONDS:
            self._core.counts[UNREAD_REQUESTS] += 1
            self._lines.warning(
                "request lay unread", age_s=round(unread_seconds, 3), open=len(self.open_traces)
            )
        return unread_seconds

    def _withdraw(self, client: ClientConnection, seq: int) -> None:
        opened = client.open.pop(seq, None)
        if opened is None:  # it crossed the answer, which stands
            return
        opened.withdrawn = True
        if opened.started:
            opened.scope.cancel()
        # Counts only requests withdrawn before they began: clients may withdraw any number of started ones.
        client.withdrawn_before_start += not opened.started
        if client.withdrawn_before_start > MAX_WITHDRAWN_BEFORE_START:
            raise _protocol_error(f"{client.withdrawn_before_start} requests taken back before they began")

    def _open_request(
        self, client: ClientConnection, call: thrift.Call, arrived_at: float, tasks: TaskGroup
    ) -> None:
        try:
            request = read_client_request(self._core, self.open_traces, call.fields, call.body, arrived_at)
        except InvalidFieldsError as fault:
            self._lines.warning("request not understood", reason=str(fault))
            self._core.counts[UNUSABLE_REQUESTS] += 1
            self._admission.record_message(client.slot, client.used_at)
            client.write_queue.put(
                thrift.application_exception("handle", call.seq, thrift.PROTOCOL_ERROR, str(fault))
            )
            return
        reason = self._rejection_reason(client)
        if reason is not RejectionReason.NONE:
            self._reject(client, call.seq, request, reason)
            return
        self._admission.request_opened(client.slot)
        opened = client.open[call.seq] = OpenRequest(call.seq, request)
        request.client_is_waiting = partial(client.waits_for, opened)
        self.open_traces.add(request.trace)
        tasks.start_soon(self._serve, client, opened)

    def _rejection_reason(self, client: ClientConnection) -> RejectionReason:
        if self.draining:
            # Guards what this client has open at a process that ends: a connection that is always busy could
            # only be cut. Rejected at once, it falls idle and is closed; the next goes to another process.
            return RejectionReason.SHUTTING_DOWN
        return self._admission.may_open(client.slot, client.used_at)

    def _reject(
        self, client: ClientConnection, seq: int, request: ClientRequest, reason: RejectionReason
    ) -> None:
        # Guards the memory limit, against which a request with its body counts, and the loop. The settings'
        # ceiling of open requests is part of this check: the Router has none.
        self._lines.warning(
            "request shed",
            reason=reason.value,
            open=len(self.open_traces),
            max_open=self.config.max_open_requests,
            loop_lag_s=round(self._core.loop_monitor.lag_seconds, 3),
        )
        self._core.record_answer(request.request_class, AnswerKind.REJECTED)
        retry_after = self._core.settings.max_retry_after
        if reason is RejectionReason.SHUTTING_DOWN:
            retry_after = min(SUCCESSOR_RETRY_AFTER_SECONDS, retry_after)
        client.write_queue.put(write_reply(seq, Answer(AnswerKind.REJECTED, retry_after=retry_after)))

    async def _serve(self, client: ClientConnection, opened: OpenRequest) -> None:
        seq, request = opened.seq, opened.request
        served, size = False, 0
        try:
            if opened.withdrawn or client.closed:
                return  # withdrawn, or its client was rejected, before it began: the core never gets it
            opened.started = True
            with opened.scope:
                answer = await self._core.serve(request)
                if client.open.get(seq) is opened:  # else it was withdrawn meanwhile: no answer is owed
                    client.withdrawn_before_start = 0
                    if answer.end is not None:
                        served, size = True, len(answer.end.body)
                    client.write_queue.put(write_reply(seq, answer))
        except Exception:
            log.exception("request failed", trace=request.trace)  # the process and its other requests go on
            if client.open.get(seq) is opened:
                self._core.record_answer(request.request_class, AnswerKind.FAILED)
                client.write_queue.put(thrift.declared_exception("handle", seq, FAILED_EXCEPTION, {}))
        finally:
            if client.open.get(seq) is opened:
                del client.open[seq]
            client.used_at = monotonic()
            self._admission.request_closed(client.slot, client.used_at, served, size)
            self.open_traces.discard(request.trace)
            client.request_ended.set()
            if self.draining and not client.closed:
                self._closer.close_idle(client)  # right after an answer the next request is furthest away


def _parse(frame: bytearray) -> thrift.Call:
    try:
        return thrift.read_call(frame)
    except thrift.MalformedMessageError as fault:
        raise _protocol_error(str(fault)) from None
