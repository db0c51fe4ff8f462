"""The watch on the coordinator: receives its events, and continues after the last one when it reconnects."""

from __future__ import annotations

import socket
from collections.abc import Callable
from random import Random
from time import monotonic

import anyio
import structlog

from zincladder.config import Address
from zincladder.core.attempt_end import EndReason
from zincladder.discovery.freshness import Freshness
from zincladder.net.errors import ConnectionEndedError
from zincladder.net.events import KIND_NO_EVENT, Frame, FrameReader, WatchEvent, read_event
from zincladder.net.sockets import connect
from zincladder.net.write_queue import WriteQueue
from zincladder.support.rate_limited_log import RateLimitedLog

READ_BYTES = 1 << 16  # maximum of one read
MAX_READS_PER_TURN = 16  # other tasks may run between two turns
POLL_INTERVAL_SECONDS = 0.005  # least time between two calls of `poll` that read; far below any grace period
SILENCE_TIMEOUT_SECONDS = 1.6  # the coordinator sends an empty frame each second
CONNECT_TIMEOUT_SECONDS = 0.5
MIN_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS = 0.05, 0.4  # doubled with each failure, up to the maximum
BACKOFF_JITTER = (0.5, 1.5)  # range of a random factor, so that fronts do not all reconnect at the same time
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
            seed: The seed of the backoff's jitter.
            freshness: Notified of the state of the connection.
            on_change: Called after frames were applied, and after a connection has ended or has failed.
        """
        self._random = Random(seed)
        self._coordinator, self.last_event, self._on_event = coordinator, last_event, on_event
        self._freshness, self._on_change = freshness or Freshness(0.0), on_change
        self.connected = False  # a frame was received on the current connection
        self._attempt_scope = anyio.CancelScope()
        self._backoff_seconds = MIN_BACKOFF_SECONDS
        self._rate_limited_log = RateLimitedLog()
        self._connection: _WatchConnection | None = None
        self._last_frame: Frame | None = None
        self._polled_at = 0.0
        # Of the current connection, for the log line of its end: they tell one that was not answered from one
        # that was lost, or that was never established.
        self._frames_received = 0
        self._opened_at: float | None = None

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
        if self._connection is not None and now - self._polled_at >= POLL_INTERVAL_SECONDS:
            self._polled_at = now
            try:
                self._connection.read()
            except ConnectionEndedError as end:
                self._connection.fail(end)  # makes the connection's own task end it
            except Exception:  # must not fail the request that polled
                log.exception("coordinator's event could not be applied", last_event=self.last_event)
                self._connection.fail(
                    ConnectionEndedError(
                        EndReason.PROTOCOL_ERROR, "an event of the coordinator could not be applied"
                    )
                )

    async def run(self) -> None:
        """Keeps a connection to the coordinator until cancelled, with a backoff after each one that ends."""
        self._freshness.connect_started(monotonic())
        while True:
            with anyio.CancelScope() as self._attempt_scope:
                self._frames_received, self._opened_at = 0, None
                try:
                    await self._follow_once()
                except (ConnectionEndedError, OSError, TimeoutError) as fault:
                    if self.connected:
                        self._backoff_seconds = MIN_BACKOFF_SECONDS
                    reason = str(fault) or type(fault).__name__
                    self._rate_limited_log.warning(
                        "connection to the coordinator lost",
                        reason=reason,
                        last_event=self.last_event,
                        frames=self._frames_received,
                        open_s=round(monotonic() - self._opened_at, 3) if self._opened_at else None,
                    )
                except Exception:  # after any error the watch reconnects, or the front would miss events
                    log.exception(
                        "unexpected error in the connection to the coordinator", last_event=self.last_event
                    )
                finally:
                    self.connected = False
                await anyio.sleep(self._backoff_seconds * self._random.uniform(*BACKOFF_JITTER))
                self._backoff_seconds = min(2 * self._backoff_seconds, MAX_BACKOFF_SECONDS)

    async def _follow_once(self) -> None:
        sock: socket.socket | None = None
        was_silent = False
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_SECONDS):
                sock = await connect(*self._coordinator)
            self._opened_at = monotonic()
            WriteQueue(sock).put([self.last_event.to_bytes(8, "big")])
            self._freshness.catch_up_requested(monotonic())
            self._connection = _WatchConnection(sock, self._on_frame, self._on_frames_complete)
            await self._connection.run()
        except TimeoutError:
            was_silent = sock is not None
            raise
        finally:
            self._connection = None
            if sock is not None:
                sock.close()
            self._freshness.watch_failed(monotonic(), was_silent)
            self._on_change()

    def _on_frame(self, frame: Frame, waited_seconds: float) -> None:
        self._last_frame = frame
        self._frames_received += 1
        if not self.connected:
            self._rate_limited_log.info(
                "connected to the coordinator",
                last_event=self.last_event,
                newest_event=frame.number,
                frame_kind=frame.kind,
                waited_s=round(waited_seconds, 3),
            )
        self.connected = True
        event = read_event(frame)
        if event is not None and frame.number > self.last_event:
            self._on_event(event)
            self.last_event = frame.number

    def _on_frames_complete(self) -> None:
        """Runs when all frames received so far were applied and none is incomplete."""
        last = self._last_frame
        nothing_follows = last is not None and last.kind == KIND_NO_EVENT and last.number <= self.last_event
        self._freshness.frame_received(monotonic(), ends_answer=nothing_follows)
        self._on_change()


class _WatchConnection:
    """One connection to the coordinator."""

    def __init__(
        self,
        sock: socket.socket,
        on_frame: Callable[[Frame, float], None],
        on_complete: Callable[[], None],
    ) -> None:
        """Wraps a connected socket.

        Args:
            sock: The socket.
            on_frame: Called with each frame and the seconds since the start of the connection.
            on_complete: Called after frames were received and none is incomplete.
        """
        self._sock, self._on_frame, self._on_complete = sock, on_frame, on_complete
        self._frames = FrameReader()
        self._started_at = self._last_frame_at = monotonic()
        self._failure: ConnectionEndedError | None = None
        self._read_scope = anyio.CancelScope()

    async def run(self) -> None:
        """Reads frames until the connection ends; never returns without an exception.

        Raises:
            ConnectionEndedError: The connection has ended, or a frame cannot be parsed.
            TimeoutError: No complete frame was received for `SILENCE_TIMEOUT_SECONDS`.
        """
        while True:
            timeout_seconds = self._last_frame_at + SILENCE_TIMEOUT_SECONDS - monotonic()
            deadline = anyio.current_time() + max(0.0, timeout_seconds)
            with anyio.CancelScope(deadline=deadline) as self._read_scope:
                await anyio.wait_readable(self._sock)
            if self._failure is not None:
                raise self._failure
            self.read()
            # A coordinator that the network has cut off leaves the connection open and silent.
            if monotonic() - self._last_frame_at > SILENCE_TIMEOUT_SECONDS:
                raise TimeoutError

    def fail(self, fault: ConnectionEndedError) -> None:
        """Ends the connection from outside its own task."""
        self._failure = fault
        self._read_scope.cancel()

    def read(self) -> None:
        """Reads and applies what has been received, without waiting.

        Raises:
            ConnectionEndedError: The connection has ended, or a frame cannot be parsed.
        """
        if self._failure is not None:
            return
        previous_frame_at = self._last_frame_at
        for _ in range(MAX_READS_PER_TURN):
            try:
                data = self._sock.recv(READ_BYTES)
            except (BlockingIOError, InterruptedError):
                break
            except OSError as fault:
                raise ConnectionEndedError(EndReason.CONNECTION_LOST, str(fault)) from None
            if not data:
                raise ConnectionEndedError(EndReason.CLOSED_BY_PEER)
            for frame in self._frames.feed(data):
                self._last_frame_at = monotonic()
                self._on_frame(frame, self._last_frame_at - self._started_at)
            if len(data) < READ_BYTES:
                break
        if self._last_frame_at > previous_frame_at and not self._frames.partial:
            self._on_complete()
