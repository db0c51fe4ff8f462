"""Serves the connections of clients on one listening socket, and shuts down gracefully."""

from __future__ import annotations

import math
import socket
import time
from collections.abc import Callable
from time import monotonic

import anyio
import structlog
from anyio.abc import TaskGroup

from zincladder.admission.interface import Admission
from zincladder.admission.message_memory import MessageMemory
from zincladder.admission.model import ConnectionSlot, Decision, Offense, RejectionReason
from zincladder.config import Config
from zincladder.core.arrival import ArrivalBound
from zincladder.core.attempt_end import EndReason
from zincladder.core.engine import Core
from zincladder.net.client_calls import ClientCalls
from zincladder.net.client_closing import ClientCloser
from zincladder.net.client_connection import ClientConnection, UnreadAnswersCounter
from zincladder.net.client_listener import ClientListener
from zincladder.net.errors import ConnectionEndedError
from zincladder.net.memory_pressure import MemoryPressure
from zincladder.net.read_buffer import ReadBuffer
from zincladder.net.sockets import peek_unread
from zincladder.net.write_queue import WriteQueue
from zincladder.support.lingering_close import LINGER_SECONDS, NO_LINGER_SECONDS, lingering_close
from zincladder.support.rate_limited_log import RateLimitedLog

# Until the first complete message; the platform requires a connection without one to be closed within 3 s.
FIRST_MESSAGE_TIMEOUT_SECONDS = 2.2
# Within this time the rest of an incomplete message has to arrive, and a client has to read its answers.
STALL_TIMEOUT_SECONDS = 2.2
# A connection is closed after this time without a request; regular clients close idle connections after 4 s.
IDLE_TIMEOUT_SECONDS = 5.0
SWEEP_INTERVAL_SECONDS = 0.2  # between two checks of these timeouts
LOAD_INTERVAL_SECONDS = 1.0  # between two measurements of the process's CPU time
# The platform lets clients connect until 0.6 s after SIGTERM, and expects an answer to every request that
# arrives until 0.7 s after it.
ACCEPT_AFTER_STOP_SECONDS = 0.65
# After SIGTERM the platform waits for the longest request timeout, but for 3 s at most, and then 0.7 s before
# it sends SIGKILL. Requests that are still open shortly before that are answered as failed, early enough for
# the answers to be sent.
MAX_COUNTED_TIMEOUT_SECONDS = 3.0
FAIL_REQUESTS_AFTER_SECONDS = 0.55  # the time starts when the longest timeout has passed
# The last answers of clients that still read earlier ones are written sooner: one that reads a megabyte once
# a second makes room for them in this time.
SLOW_CLIENTS_LEAD_SECONDS = 1.1
FLUSH_INTERVAL_SECONDS = 0.02  # between two writes to them
SEND_ANSWERS_SECONDS = 0.1  # the answers to these requests are sent within this time
CLOSE_CONNECTIONS_SECONDS = 0.02
MAX_BUFFERED_BYTES = 2048  # of a client's input before a message is read: several short messages
DRAIN_INTERVAL_SECONDS = 0.005  # between two checks for idle connections during the shutdown
log = structlog.get_logger()


class ClientServer:
    """The front's service on one listening socket."""

    def __init__(
        self,
        config: Config,
        core: Core,
        admission: Admission,
        message_memory: MessageMemory,
        listening: socket.socket | None = None,
        has_successor: Callable[[], bool] = lambda: False,
        answers_wait: Callable[[], bool] = lambda: False,
    ) -> None:
        """Creates the server and its listener.

        Args:
            config: The front's configuration.
            core: Serves the requests.
            admission: Decides which connections and requests are accepted.
            message_memory: Bounds what the messages of all clients hold.
            listening: The listening socket of another process of this front; None opens one.
            has_successor: Returns whether another process accepts connections from the same listen queue.
            answers_wait: Returns whether answers wait for memory that others hold.
        """
        self._core, self._config, self._admission = core, config, admission
        self._clients: dict[ConnectionSlot, ClientConnection] = {}
        self._closer = ClientCloser(core)
        self._message_memory = message_memory
        self._pressure = MemoryPressure(
            self._clients, self._closer, message_memory, answers_wait, core.counts, core.loop_monitor
        )
        self._calls = ClientCalls(
            config, core, admission, self._closer, message_memory, self._pressure.incomplete_messages
        )
        self._accepting = anyio.CancelScope()
        self._rate_limited_log = RateLimitedLog()
        self._tasks: TaskGroup | None = None
        self._listener = ClientListener(
            config.listen,
            admission,
            lambda: self._config.sockets,
            self._add,
            self._evict,
            core.loop_monitor.loop_iterations,
            listening,
        )
        self._has_successor = has_successor
        self._fail_requests_at = math.inf

    def apply_config(self, config: Config) -> None:
        """Applies the limits of a reloaded configuration from now on."""
        self._config = self._calls.config = config
        self._listener.update_descriptor_limit()

    @property
    def listener(self) -> socket.socket:
        """The listening socket."""
        return self._listener.listener

    @property
    def address(self) -> tuple[str, int]:
        """The host and port of the listening socket."""
        return self._listener.address

    @property
    def stopping(self) -> bool:
        """Whether shutdown was requested, so that new clients should connect to another front."""
        return self._calls.stopping

    async def run(self) -> None:
        """Serves clients until `stop` ends the accepting and all connections are drained."""
        self._core.on_tick = self._tick
        async with anyio.create_task_group() as self._tasks:
            self._tasks.start_soon(self._sweep)
            await self._listener.run(self._accepting)
            await self._drain(self._fail_requests_at - SLOW_CLIENTS_LEAD_SECONDS)
            await self._answer_slow_clients(self._fail_requests_at)
            # The requests that are still open at this time are answered as failed.
            self._core.fail_open_requests()
            await self._answer_slow_clients(self._fail_requests_at + SEND_ANSWERS_SECONDS)
            for client in self._clients.values():
                # If the process ended with unread input, the system would send a reset instead of a close.
                self._closer.close(client, NO_LINGER_SECONDS)
            await self._drain(self._fail_requests_at + SEND_ANSWERS_SECONDS + CLOSE_CONNECTIONS_SECONDS)
            self._tasks.cancel_scope.cancel()

    async def _drain(self, until: float) -> None:
        """Closes connections as they become idle, until none is left or the time `until` is reached."""
        while self._clients and monotonic() < until:
            for client in list(self._clients.values()):
                self._closer.close_idle_at_shutdown(client)
            await anyio.sleep(DRAIN_INTERVAL_SECONDS)

    async def _answer_slow_clients(self, until: float) -> None:
        """Ends the requests of clients that still read earlier answers, and writes to them until `until`.

        Answers that wait behind others are replaced by short ones, which say that the request failed. The
        system is tried at intervals, since it takes bytes long before it reports a socket as writable.
        """
        replaced = 0
        while self._clients and monotonic() < until:
            for client in list(self._clients.values()):
                replaced += self._closer.fail_unwritten(client)
                client.write_queue.flush()
            await self._drain(min(until, monotonic() + FLUSH_INTERVAL_SECONDS))
        if replaced:
            log.warning("answers replaced because their clients read too slowly", answers=replaced)

    async def stop(self, stopping: anyio.Event) -> None:
        """Begins the graceful shutdown when `stopping` is set.

        `status` reports the shutdown at once, but new connections are still accepted for a while, unless
        another process accepts them.
        """
        await stopping.wait()
        self._calls.stopping = True
        longest = max(request_class.timeout for request_class in self._core.settings.classes)
        self._fail_requests_at = (
            monotonic() + min(MAX_COUNTED_TIMEOUT_SECONDS, longest) + FAIL_REQUESTS_AFTER_SECONDS
        )
        log.info(
            "stopping", open_requests=len(self._calls.open_traces), client_connections=len(self._clients)
        )
        if self._has_successor():
            self._listener.has_successor = True
        else:
            await anyio.sleep(ACCEPT_AFTER_STOP_SECONDS)
        self._calls.draining = True
        self._accepting.cancel()

    # Connections ------------------------------------------------------------------------------------

    def _add(self, sock: socket.socket, decision: Decision, connected_after: float) -> None:
        now = monotonic()
        slot = self._admission.open_slot(decision, now)
        write_queue = WriteQueue(
            sock, UnreadAnswersCounter(self._admission, slot, self._message_memory.unread)
        )
        arrival = ArrivalBound(self._core.loop_monitor.loop_iterations, connected_after)
        client = ClientConnection(
            sock, slot, ReadBuffer(sock, MAX_BUFFERED_BYTES), write_queue, arrival, now, now
        )
        self._clients[slot] = client
        assert self._tasks is not None
        self._tasks.start_soon(self._serve, client)

    def _evict(self, slot: ConnectionSlot, reason: RejectionReason) -> None:
        """Closes a connection that admission chose.

        The eviction is cancelled if a request is open on the connection. An eviction that is to make room for
        another connection is also cancelled if the chosen connection is not idle any more.
        """
        client = self._clients.get(slot)
        if client is None:
            return
        keeps_pace = client.read_progress.keeps_pace(monotonic())
        if client.closed and keeps_pace:
            self._admission.cancel_eviction(slot, monotonic())
            return
        if client.closed:
            client.linger_scope.cancel()  # input that has arrived is still read
            return
        label = "crowded" if reason is RejectionReason.NO_CAPACITY else reason.value
        if self._closer.close_idle(client, label, NO_LINGER_SECONDS, others_wait=True):
            return
        if reason is RejectionReason.NO_CAPACITY and self._pressure.is_incomplete_for_long(client):
            self._core.counts["client_ends", label] += 1
            self._closer.close(client, NO_LINGER_SECONDS)
            return
        if client.open_requests or reason is RejectionReason.NO_CAPACITY:
            self._admission.cancel_eviction(slot, monotonic())
            return
        self._core.counts["client_ends", label] += 1
        self._closer.close(client, LINGER_SECONDS if keeps_pace else NO_LINGER_SECONDS)

    async def _serve(self, client: ClientConnection) -> None:
        try:
            client.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._core.counts["clients", "accepted"] += 1
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._write, client)
                with client.scope:
                    try:
                        await self._calls.read(client, tasks)
                    except ConnectionEndedError as error:
                        self._record_end(client, error)
                client.close()  # the client is gone, so its open requests are cancelled
                if client.read_ahead is not None:
                    client.read_ahead.start()  # those not started yet end at once
                    client.read_ahead = None
        except Exception:  # an unexpected error ends this connection only, not those of other clients
            log.exception("unexpected error in a client connection")
        finally:
            try:
                if client.linger_seconds is not None:
                    with client.linger_scope:
                        await self._closer.linger(client, client.linger_seconds)
                    if client.linger_scope.cancelled_caught:
                        await lingering_close(client.sock, NO_LINGER_SECONDS)
            finally:
                self._closer.log_undelivered(client, self.stopping)
                del self._clients[client.slot]
                client.write_queue.clear()
                client.sock.close()
                self._admission.release_slot(client.slot, monotonic())

    def _record_end(self, client: ClientConnection, error: ConnectionEndedError) -> None:
        self._core.counts["client_ends", error.reason.value] += 1
        if client.open_requests and error.reason in (EndReason.CLOSED_BY_PEER, EndReason.CONNECTION_LOST):
            self._admission.record_offense(client.slot, Offense.ABANDONED, monotonic())
        if error.reason is EndReason.PROTOCOL_ERROR:
            self._closer.close(client, LINGER_SECONDS)
            self._admission.record_offense(client.slot, Offense.MALFORMED, monotonic())
            self._rate_limited_log.warning(
                "client connection closed after a protocol error",
                reason=str(error),
                open_requests=len(client.open_requests),
            )

    async def _write(self, client: ClientConnection) -> None:
        try:
            await client.write_queue.run(STALL_TIMEOUT_SECONDS)
        except ConnectionEndedError as error:
            self._core.counts["client_ends", error.reason.value] += 1
            if error.reason is EndReason.PEER_STALLED:
                self._admission.record_offense(client.slot, Offense.STALLED, monotonic())
                self._rate_limited_log.warning(
                    "client connection closed because the client does not read its answers",
                    reason=str(error),
                    open_requests=len(client.open_requests),
                )
            client.close()

    # Timers -----------------------------------------------------------------------------------------

    def _tick(self) -> None:
        """Runs at each tick of the core: resumes reading and closes connections as admission decides."""
        tick_result = self._admission.tick(monotonic(), self._core.loop_monitor.lag_seconds)
        for slot in tick_result.to_read:
            client = self._clients.get(slot)
            if client is not None:
                client.may_read.set()
        for slot, reason in tick_result.to_evict:
            self._evict(slot, reason)
        self._listener.tick()
        self._calls.tick()
        self._pressure.tick(monotonic())

    async def _sweep(self) -> None:
        """Closes connections that send no message, leave one incomplete, or are idle for too long.

        Also reports the process's CPU time to admission.
        """
        cpu_seconds, measured_at = time.process_time(), monotonic()
        while True:
            await anyio.sleep(SWEEP_INTERVAL_SECONDS)
            now = monotonic()
            if now - measured_at >= LOAD_INTERVAL_SECONDS:
                cpu_seconds_now = time.process_time()
                self._admission.record_cpu_seconds(cpu_seconds_now - cpu_seconds)
                cpu_seconds, measured_at = cpu_seconds_now, now
                self._listener.update_descriptor_limit()
                self._pressure.log_high_memory(self._config.memory_mb, len(self._calls.open_traces))
            for client in [client for client in self._clients.values() if not client.closed]:
                client.read_progress.has_unread(
                    now
                )  # the pace counts from when answers are first seen waiting
                if self._is_message_overdue(client, now):
                    self._rate_limited_log.warning(
                        "client connection closed because no complete message arrived in time",
                        open_requests=len(client.open_requests),
                    )
                    self._admission.record_offense(client.slot, Offense.STALLED, now)
                    self._core.counts["client_ends", EndReason.PEER_STALLED.value] += 1
                    self._closer.close(client, LINGER_SECONDS)
                elif now - client.last_used_at > IDLE_TIMEOUT_SECONDS:
                    self._closer.close_idle(client)

    def _is_message_overdue(self, client: ClientConnection, now: float) -> bool:
        """Returns whether a client's first message, or the rest of an incomplete one, is overdue.

        It is not overdue while input is unread: after a stall of the process this check may run before the
        connection's read task.
        """
        started_at = client.message_started_at
        is_partial = started_at > 0 and now - started_at > STALL_TIMEOUT_SECONDS
        waited_seconds = now - client.connected_at
        is_silent = not client.has_sent_message and waited_seconds > FIRST_MESSAGE_TIMEOUT_SECONDS
        return (is_partial or is_silent) and not peek_unread(client.sock, 1).data
