"""The watch on the coordinator: receives its events, and continues after the last one when it reconnects.

A coordinator that is slow to answer is not one that is away. A connection on which the events were requested
stays open until its first frame arrives, however long that takes. A connection that the network has cut off
looks the same, so the events are requested on further ones meanwhile, up to MAX_UNANSWERED_CONNECTIONS; the
first that is answered is followed, and the others are closed. An event that arrives twice is applied once.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from random import Random
from time import monotonic

import anyio
import anyio.abc
import structlog

from zincladder.config import Address
from zincladder.core.attempt_end import EndReason
from zincladder.discovery.freshness import Freshness
from zincladder.net.errors import ConnectionEndedError
from zincladder.net.events import KIND_NO_EVENT, Frame, WatchEvent, read_event
from zincladder.net.sockets import connect
from zincladder.net.watch_connection import WatchConnection
from zincladder.net.write_queue import WriteQueue
from zincladder.support.rate_limited_log import RateLimitedLog

POLL_INTERVAL_SECONDS = 0.005  # least time between two calls of `poll` that read; far below any grace period
SILENCE_TIMEOUT_SECONDS = 1.6  # the coordinator sends an empty frame each second
CONNECT_TIMEOUT_SECONDS = 0.5
MIN_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS = 0.05, 0.4  # doubled with each failure, up to the maximum
BACKOFF_JITTER = (0.5, 1.5)  # range of a random factor, so that fronts do not all reconnect at the same time
# Connections on which the first answer is awaited at the same time; the oldest is closed for one more.
MAX_UNANSWERED_CONNECTIONS = 5
# Delays between two such connections: the first is SILENCE_TIMEOUT_SECONDS, and it doubles up to the maximum,
# which is below the 4 s after which events of a coordinator that has stopped count as delivered.
MAX_REQUEST_INTERVAL_SECONDS = 3.2
REQUEST_JITTER = (1.0, 1.2)
log = structlog.get_logger()


class CoordinatorWatch:
    """Receives the coordinator's events after the last known one, for as long as the front runs."""

    def __init__(
        self,
        coordinator: Address,
        last_event: int,
        on_event: Callable[[WatchEvent], None],
        seed: int,
        freshness: Freshness | None = None,
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        """Creates a watch; `run` connects it.

        Args:
            coordinator: The coordinator's address.
            last_event: The number of the last known event.
            on_event: Called with each new event, in order.
            seed: The seed of the jitter of all delays.
            freshness: Notified of the state of the connection.
            on_change: Called after frames were applied, and after a connection has ended or has failed.
        """
        self._random = Random(seed)
        self._coordinator, self.last_event, self._on_event = coordinator, last_event, on_event
        self._freshness, self._on_change = freshness or Freshness(0.0), on_change
        self.connected = False  # a frame was received on the connection that is followed
        self._attempt_scope = anyio.CancelScope()
        self._backoff_seconds = MIN_BACKOFF_SECONDS
        self._rate_limited_log = RateLimitedLog()
        self._connections: list[WatchConnection] = []  # oldest first; one, once it has been answered
        self._state_changed = anyio.Event()
        self._has_timed_out = False  # the coordinator was connected, but sent no frame in time
        self._last_frame: Frame | None = None
        self._polled_at = 0.0

    @property
    def answer_wait_seconds(self) -> float:
        """Seconds for which an open connection has waited for its first answer; 0 if none waits."""
        if self.connected:
            return 0.0
        return max((connection.open_seconds for connection in self._connections), default=0.0)

    def follow(self, coordinator: Address) -> None:
        """Switches to another address, where the watch continues after the last event."""
        if coordinator != self._coordinator:
            self._coordinator, self._backoff_seconds = coordinator, MIN_BACKOFF_SECONDS
            self._attempt_scope.cancel()

    def poll(self) -> None:
        """Applies the events that the operating system has received but the watch has not read yet.

        Called before routing decisions: after a stall of the process or the event loop, a decision may be
        made before the watch's own task runs, and would otherwise use an outdated endpoint list.
        """
        now = monotonic()
        if now - self._polled_at >= POLL_INTERVAL_SECONDS:
            self._polled_at = now
            for connection in tuple(self._connections):
                self._poll_connection(connection)

    def _poll_connection(self, connection: WatchConnection) -> None:
        try:
            connection.read()
        except ConnectionEndedError as end:
            connection.fail(end)  # makes the connection's own task end it
        except Exception:  # must not fail the request that polled
            log.exception("coordinator's event could not be applied", last_event=self.last_event)
            connection.fail(
                ConnectionEndedError(
                    EndReason.PROTOCOL_ERROR, "an event of the coordinator could not be applied"
                )
            )

    async def run(self) -> None:
        """Keeps a connection to the coordinator until cancelled, with a backoff after each one that ends."""
        self._freshness.connect_started(monotonic())
        while True:
            with anyio.CancelScope() as self._attempt_scope:
                try:
                    await self._follow_once()
                except Exception:  # after any error the watch reconnects, or the front would miss events
                    log.exception("unexpected error in the watch", last_event=self.last_event)
                await anyio.sleep(self._backoff_seconds * self._random.uniform(*BACKOFF_JITTER))
                self._backoff_seconds = min(2 * self._backoff_seconds, MAX_BACKOFF_SECONDS)

    # Connections ----------------------------------------------------------------------------------

    async def _follow_once(self) -> None:
        """Requests the events, and applies them until no connection is left."""
        self._has_timed_out = False
        try:
            async with anyio.create_task_group() as tasks:
                await self._request_events(tasks)
                await self._request_again_until_answered(tasks)
                await self._until_no_connection_is_left()
        finally:
            for connection in self._connections:  # a task that was cancelled before its start closed nothing
                connection.close()
            self._connections.clear()
            self.connected = False
            self._freshness.watch_failed(monotonic(), self._has_timed_out)
            self._on_change()

    async def _request_events(self, tasks: anyio.abc.TaskGroup) -> None:
        """Connects, requests all events after the last one, and starts to read; logs if that fails."""
        sock: socket.socket | None = None
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_SECONDS):
                sock = await connect(*self._coordinator)
            if self.connected:  # an older connection was answered meanwhile
                sock.close()
                return
            WriteQueue(sock).put([self.last_event.to_bytes(8, "big")])
        except (ConnectionEndedError, OSError, TimeoutError) as fault:
            if sock is not None:
                sock.close()
            self._log_end(fault)
            return
        self._freshness.catch_up_requested(monotonic())
        connection = WatchConnection(sock, SILENCE_TIMEOUT_SECONDS, self._on_frame, self._on_frames_complete)
        self._connections.append(connection)
        tasks.start_soon(self._read_until_end, connection)

    async def _request_again_until_answered(self, tasks: anyio.abc.TaskGroup) -> None:
        """Requests the events on further connections, in case the older ones are cut off."""
        interval_seconds = SILENCE_TIMEOUT_SECONDS
        next_request_at = monotonic() + interval_seconds
        while self._connections and not self.connected:
            with anyio.move_on_after(max(0.0, next_request_at - monotonic())):
                await self._state_changed.wait()
                continue
            self._has_timed_out = True
            self._log_unanswered()
            if len(self._connections) >= MAX_UNANSWERED_CONNECTIONS:
                self._connections[0].supersede()
            await self._request_events(tasks)
            interval_seconds = min(2 * interval_seconds, MAX_REQUEST_INTERVAL_SECONDS)
            next_request_at = monotonic() + interval_seconds * self._random.uniform(*REQUEST_JITTER)

    async def _until_no_connection_is_left(self) -> None:
        while self._connections:
            await self._state_changed.wait()

    async def _read_until_end(self, connection: WatchConnection) -> None:
        try:
            await connection.run()
        except (ConnectionEndedError, OSError, TimeoutError) as fault:
            self._has_timed_out |= isinstance(fault, TimeoutError)
            self._log_end(fault, connection)
        except Exception:  # after any error the watch reconnects, or the front would miss events
            log.exception("unexpected error in the connection to the coordinator", last_event=self.last_event)
        finally:
            if connection in self._connections:
                self._connections.remove(connection)
            self._notify_supervisor()

    def _notify_supervisor(self) -> None:
        """Wakes `_follow_once`: a connection has ended or has been answered."""
        self._state_changed.set()
        self._state_changed = anyio.Event()

    # Frames ---------------------------------------------------------------------------------------

    def _on_frame(self, connection: WatchConnection, frame: Frame) -> None:
        self._last_frame = frame
        if not self.connected:
            self._follow_connection(connection, frame)
        event = read_event(frame)
        if event is not None and frame.number > self.last_event:
            self._on_event(event)
            self.last_event = frame.number

    def _follow_connection(self, connection: WatchConnection, first_frame: Frame) -> None:
        """Makes a connection that was answered the only one."""
        self._rate_limited_log.info(
            "connected to the coordinator",
            last_event=self.last_event,
            newest_event=first_frame.number,
            frame_kind=first_frame.kind,
            waited_s=round(connection.open_seconds, 3),
        )
        self.connected, self._backoff_seconds = True, MIN_BACKOFF_SECONDS
        for other in self._connections:
            if other is not connection:
                other.supersede()
        self._notify_supervisor()

    def _on_frames_complete(self) -> None:
        """Runs when all frames received so far were applied and none is incomplete."""
        last = self._last_frame
        nothing_follows = last is not None and last.kind == KIND_NO_EVENT and last.number <= self.last_event
        self._freshness.frame_received(monotonic(), ends_answer=nothing_follows)
        self._on_change()

    # Log ------------------------------------------------------------------------------------------

    def _log_end(self, fault: Exception, connection: WatchConnection | None = None) -> None:
        self._rate_limited_log.warning(
            "connection to the coordinator lost",
            reason=str(fault) or type(fault).__name__,
            last_event=self.last_event,
            frames=connection.frames_received if connection else 0,
            open_s=round(connection.open_seconds, 3) if connection else None,
        )

    def _log_unanswered(self) -> None:
        self._rate_limited_log.warning(
            "coordinator has not answered yet",
            last_event=self.last_event,
            waited_s=round(self.answer_wait_seconds, 3),
            connections=len(self._connections),
        )
