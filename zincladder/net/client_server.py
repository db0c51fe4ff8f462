"""The client side: serves the clients' connections on one listening socket, until an orderly stop."""

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
from zincladder.net.read_buffer import ReadBuffer
from zincladder.net.sockets import peek_unread
from zincladder.net.write_queue import WriteQueue
from zincladder.support.lingering_close import LINGER_SECONDS, NO_LINGER_SECONDS, lingering_close
from zincladder.support.rate_limited_log import RateLimitedLog

FIRST_MESSAGE_TIMEOUT_SECONDS = 2.2  # from connecting to the first complete message: a close is owed within 3
STALL_TIMEOUT_SECONDS = 2.2  # for the rest of a frame, or for a reader of answers, to move on
IDLE_TIMEOUT_SECONDS = 5.0  # without a request; clients close after 4 s, others are closed here
SWEEP_INTERVAL_SECONDS = 0.2  # between two checks of these
LOAD_INTERVAL_SECONDS = 1.0  # between two measurements of the process's load
# The platform's rules: clients connect until 0.6 s after SIGTERM, and what comes until 0.7 s is answered.
ACCEPT_AFTER_STOP_SECONDS = 0.65
# SIGKILL comes 0.7 s after the longest timeout, counted as 3 s where it is longer. What is open a little
# before that is answered as failed, and the answers then have a moment to leave.
MAX_COUNTED_TIMEOUT_SECONDS = 3.0
FAIL_OPEN_AFTER_SECONDS = 0.55  # after the longest timeout
SEND_ANSWERS_SECONDS = 0.1
LAST_TURN_SECONDS = 0.02
DRAIN_INTERVAL_SECONDS = 0.005  # between two checks of which connections may be closed then
log = structlog.get_logger()


class ClientServer:
    """The front's service on one listening socket."""

    def __init__(
        self,
        config: Config,
        core: Core,
        admission: Admission,
        listening: socket.socket | None = None,
        has_successor: Callable[[], bool] = lambda: False,
    ) -> None:
        """Args: `has_successor` is whether another process takes new clients from the queue."""
        self._core, self._config, self._admission = core, config, admission
        self._clients: dict[ConnectionSlot, ClientConnection] = {}
        self._closer = ClientCloser(core)
        self._calls = ClientCalls(config, core, admission, self._closer)
        self._accepting = anyio.CancelScope()
        self._lines = RateLimitedLog()
        self._tasks: TaskGroup | None = None
        self._listener = ClientListener(
            config.listen,
            admission,
            lambda: self._config.sockets,
            self._add,
            self._evict,
            core.loop_monitor.turns,
            listening,
        )
        self._has_successor = has_successor
        self._fail_open_at = math.inf

    def apply_config(self, config: Config) -> None:
        """Use a configuration that was reloaded: its limits hold from now on."""
        self._config = self._calls.config = config
        self._listener.measure()

    @property
    def listener(self) -> socket.socket:
        """The listening socket."""
        return self._listener.listener

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens."""
        return self._listener.address

    @property
    def stopping(self) -> bool:
        """Whether the process is to end: new clients should go elsewhere."""
        return self._calls.stopping

    async def run(self) -> None:
        """Accepts clients until `stop` has let the last request be answered."""
        self._core.on_tick = self._tick
        async with anyio.create_task_group() as self._tasks:
            self._tasks.start_soon(self._sweep)
            await self._listener.run(self._accepting)
            await self._drain(self._fail_open_at)
            # These answers are owed too, and nobody waits for their requests any longer.
            self._core.fail_open_requests()
            await self._drain(self._fail_open_at + SEND_ANSWERS_SECONDS)
            for client in self._clients.values():
                # What still comes would make the end of the process a reset.
                self._closer.close(client, NO_LINGER_SECONDS)
            await self._drain(self._fail_open_at + SEND_ANSWERS_SECONDS + LAST_TURN_SECONDS)
            self._tasks.cancel_scope.cancel()

    async def _drain(self, until: float) -> None:
        """Closes connections as they fall idle, until none is left or its time is up."""
        while self._clients and monotonic() < until:
            for client in list(self._clients.values()):
                self._closer.close_idle_at_shutdown(client)
            await anyio.sleep(DRAIN_INTERVAL_SECONDS)

    async def stop(self, stopping: anyio.Event) -> None:
        """Guards a planned restart: says so to `status`, but takes what still comes for a while."""
        await stopping.wait()
        self._calls.stopping = True
        longest = max(request_class.timeout for request_class in self._core.settings.classes)
        self._fail_open_at = monotonic() + min(MAX_COUNTED_TIMEOUT_SECONDS, longest) + FAIL_OPEN_AFTER_SECONDS
        log.info("stopping", open=len(self._calls.open_traces), clients=len(self._clients))
        if self._has_successor():
            self._listener.has_successor = True
        else:
            await anyio.sleep(ACCEPT_AFTER_STOP_SECONDS)
        self._calls.draining = True
        self._accepting.cancel()

    # Connections ------------------------------------------------------------------------------------

    def _add(self, sock: socket.socket, decision: Decision, came_after: float) -> None:
        now = monotonic()
        slot = self._admission.open_slot(decision, now)
        write_queue = WriteQueue(sock, UnreadAnswersCounter(self._admission, slot))
        arrival = ArrivalBound(self._core.loop_monitor.turns, came_after)
        client = ClientConnection(sock, slot, ReadBuffer(sock), write_queue, arrival, now, now)
        self._clients[slot] = client
        assert self._tasks is not None
        self._tasks.start_soon(self._serve, client)

    def _evict(self, slot: ConnectionSlot, reason: RejectionReason) -> None:
        """Closes a connection that admission chose.

        It stays if it has a request open or, where it was to make room, is not idle any more.
        """
        client = self._clients.get(slot)
        if client is None:
            return
        if client.closed:
            client.linger_scope.cancel()  # what is here already is read all the same
            return
        label = "crowded" if reason is RejectionReason.NO_CAPACITY else reason.value
        if self._closer.close_idle(client, label, NO_LINGER_SECONDS):
            return
        if client.open or reason is RejectionReason.NO_CAPACITY:
            self._admission.cancel_eviction(slot, monotonic())
            return
        self._core.counts["client_ends", label] += 1
        self._closer.close(client, NO_LINGER_SECONDS)

    async def _serve(self, client: ClientConnection) -> None:
        try:
            client.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._core.counts["clients", "accepted"] += 1
            with client.scope:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._write, client)
                    try:
                        await self._calls.read(client, tasks)
                    except ConnectionEndedError as error:
                        self._note_end(client, error)
                    client.close()  # the client is gone: nobody waits for what is open
        except Exception:  # guards all other clients: what goes wrong with one ends its connection only
            log.exception("client failed")
        finally:
            try:
                if client.linger_seconds is not None:
                    with client.linger_scope:
                        await client.write_queue.drain(client.linger_seconds)
                        await lingering_close(client.sock, client.linger_seconds)
                    if client.linger_scope.cancelled_caught:
                        await lingering_close(client.sock, NO_LINGER_SECONDS)
            finally:
                del self._clients[client.slot]
                client.write_queue.clear()
                client.sock.close()
                self._admission.release_slot(client.slot, monotonic())

    def _note_end(self, client: ClientConnection, error: ConnectionEndedError) -> None:
        self._core.counts["client_ends", error.reason.value] += 1
        if client.open and error.reason in (EndReason.CLOSED_BY_PEER, EndReason.CONNECTION_LOST):
            self._admission.record_offense(client.slot, Offense.ABANDONED, monotonic())
        if error.reason is EndReason.PROTOCOL_ERROR:
            self._closer.close(client, LINGER_SECONDS)
            self._admission.record_offense(client.slot, Offense.MALFORMED, monotonic())
            self._lines.warning("client connection ended", reason=str(error), open=len(client.open))

    async def _write(self, client: ClientConnection) -> None:
        try:
            await client.write_queue.run(STALL_TIMEOUT_SECONDS)
        except ConnectionEndedError as error:
            self._core.counts["client_ends", error.reason.value] += 1
            if error.reason is EndReason.PEER_STALLED:
                self._admission.record_offense(client.slot, Offense.STALLED, monotonic())
                self._lines.warning("client does not read", reason=str(error), open=len(client.open))
            client.close()

    # Timers -----------------------------------------------------------------------------------------

    def _tick(self) -> None:
        """At each tick of the core: who may be read again, and whose connection is closed."""
        verdicts = self._admission.tick(monotonic(), self._core.loop_monitor.lag_seconds)
        for slot in verdicts.to_wake:
            client = self._clients.get(slot)
            if client is not None:
                client.may_read.set()
        for slot, reason in verdicts.to_evict:
            self._evict(slot, reason)
        self._listener.tick()

    async def _sweep(self) -> None:
        """Closes connections that send nothing, stop inside a message, or are used no more."""
        cpu_seconds, measured_at = time.process_time(), monotonic()
        while True:
            await anyio.sleep(SWEEP_INTERVAL_SECONDS)
            now = monotonic()
            if now - measured_at >= LOAD_INTERVAL_SECONDS:
                cpu_seconds_now = time.process_time()
                self._admission.record_cpu_seconds(cpu_seconds_now - cpu_seconds)
                cpu_seconds, measured_at = cpu_seconds_now, now
                self._listener.measure()
            for client in [client for client in self._clients.values() if not client.closed]:
                if self._owes_message(client, now):
                    self._lines.warning("client sent no complete message", open=len(client.open))
                    self._admission.record_offense(client.slot, Offense.STALLED, now)
                    self._core.counts["client_ends", EndReason.PEER_STALLED.value] += 1
                    self._closer.close(client, LINGER_SECONDS)
                elif now - client.used_at > IDLE_TIMEOUT_SECONDS:
                    self._closer.close_idle(client)

    def _owes_message(self, client: ClientConnection, now: float) -> bool:
        """Whether a client owes the first message, or the rest of one, for too long.

        Not while something of it lies unread: after a stall of the process this check goes before the reader.
        """
        started_at = client.message_started_at
        is_partial = started_at > 0 and now - started_at > STALL_TIMEOUT_SECONDS
        waited_seconds = now - client.connected_at
        is_silent = not client.has_sent_message and waited_seconds > FIRST_MESSAGE_TIMEOUT_SECONDS
        return (is_partial or is_silent) and not peek_unread(client.sock, 1).data
