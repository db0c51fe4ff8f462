"""The watch on the coordinator: one connection, made again from the last event on whenever it ends."""

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
from zincladder.net.events import Frame, FrameReader, WatchEvent, read_event
from zincladder.net.sockets import connect
from zincladder.net.write_queue import WriteQueue
from zincladder.support.rate_limited_log import RateLimitedLog

READ_BYTES = 1 << 16  # of one read
MAX_READS = 16  # in a row before other tasks have their turn
POLL_INTERVAL_SECONDS = 0.005  # between two reads from outside the watch's task: far below any grace
SILENCE_TIMEOUT_SECONDS = 1.6  # an empty frame follows each second
CONNECT_TIMEOUT_SECONDS = 0.5
MIN_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS = 0.05, 0.4  # doubled from the first to the second
BACKOFF_JITTER = (0.5, 1.5)  # times the backoff: fronts don't all ask a coordinator that comes back at once
log = structlog.get_logger()


class CoordinatorWatch:
    """Follows the coordinator from the last known event on, for as long as the front runs."""

    def __init__(
        self,
        coordinator: Address,
        last_event: int,
        on_event: Callable[[WatchEvent], None],
        seed: int,
        freshness: Freshness | None = None,
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        """Args: `freshness` is notified of the watch's state; `on_change` when that may have changed."""
        self._random = Random(seed)
        self._coordinator, self.last_event, self._on_event = coordinator, last_event, on_event
        self._freshness, self._on_change = freshness or Freshness(0.0), on_change
        self.connected = False  # a frame has come on the present connection
        self._attempt_scope = anyio.CancelScope()
        self._backoff_seconds = MIN_BACKOFF_SECONDS
        self._lines = RateLimitedLog()
        self._connection: _WatchConnection | None = None
        self._polled_at = 0.0

    def follow(self, coordinator: Address) -> None:
        """Go on at another address, from the last event; the old one is not read any more."""
        if coordinator != self._coordinator:
            self._coordinator, self._backoff_seconds = coordinator, MIN_BACKOFF_SECONDS
            self._attempt_scope.cancel()

    def poll(self) -> None:
        """Apply the events that have come in and lie unread.

        Guards decisions in a process that stalled, or in a loop that lags: the watch's own task has its turn
        after them.
        """
        now = monotonic()
        if self._connection is not None and now - self._polled_at >= POLL_INTERVAL_SECONDS:
            self._polled_at = now
            try:
                self._connection.read()
            except ConnectionEndedError as end:
                self._connection.fail(end)  # its own task ends it
            except Exception:  # guards the request that polled, which has no part in it
                log.exception("coordinator lost", last_event=self.last_event)
                self._connection.fail(
                    ConnectionEndedError(EndReason.PROTOCOL_ERROR, "an event that could not be applied")
                )

    async def run(self) -> None:
        """Follow the coordinator until cancelled, with a backoff after each connection that ends."""
        self._freshness.connecting(monotonic())
        while True:
            with anyio.CancelScope() as self._attempt_scope:
                try:
                    await self._follow_once()
                except (ConnectionEndedError, OSError, TimeoutError) as fault:
                    if self.connected:
                        self._backoff_seconds = MIN_BACKOFF_SECONDS
                    reason = str(fault) or type(fault).__name__
                    self._lines.warning("coordinator lost", reason=reason, last_event=self.last_event)
                except (
                    Exception
                ):  # guards drains and purges: whatever fails, the coordinator is followed again
                    log.exception("coordinator lost", last_event=self.last_event)
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
            WriteQueue(sock).put([self.last_event.to_bytes(8, "big")])
            self._freshness.asked(monotonic())
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
        if not self.connected:
            self._lines.info(
                "coordinator followed",
                after=self.last_event,
                newest=frame.number,
                kind=frame.kind,
                waited_s=round(waited_seconds, 3),
            )
        self.connected = True
        event = read_event(frame)
        if event is not None and frame.number > self.last_event:
            self._on_event(event)
            self.last_event = frame.number

    def _on_frames_complete(self) -> None:
        """All that has come so far was applied, and no frame is incomplete."""
        self._freshness.frame_received(monotonic())
        self._on_change()


class _WatchConnection:
    """One connection to the coordinator."""

    def __init__(
        self,
        sock: socket.socket,
        on_frame: Callable[[Frame, float], None],
        on_complete: Callable[[], None],
    ) -> None:
        """Args: `on_frame` takes each frame and the seconds since the start.

        `on_complete` runs when no frame is incomplete after it.
        """
        self._sock, self._on_frame, self._on_complete = sock, on_frame, on_complete
        self._frames = FrameReader()
        self._started_at = self._frame_at = monotonic()
        self._fault: ConnectionEndedError | None = None
        self._read_scope = anyio.CancelScope()

    async def run(self) -> None:
        """Read frames until the connection ends or one takes too long; ends by an exception only."""
        while True:
            timeout_seconds = self._frame_at + SILENCE_TIMEOUT_SECONDS - monotonic()
            deadline = anyio.current_time() + max(0.0, timeout_seconds)
            with anyio.CancelScope(deadline=deadline) as self._read_scope:
                await anyio.wait_readable(self._sock)
            if self._fault is not None:
                raise self._fault
            self.read()
            if monotonic() - self._frame_at > SILENCE_TIMEOUT_SECONDS:  # guards against a cut-off coordinator
                raise TimeoutError

    def fail(self, fault: ConnectionEndedError) -> None:
        """End the connection from outside its own task."""
        self._fault = fault
        self._read_scope.cancel()

    def read(self) -> None:
        """Read what is here, without waiting.

        Raises:
            ConnectionEndedError: The connection has ended, or a frame cannot be read.
        """
        if self._fault is not None:
            return
        frame_at_before = self._frame_at
        for _ in range(MAX_READS):
            try:
                data = self._sock.recv(READ_BYTES)
            except (BlockingIOError, InterruptedError):
                break
            except OSError as fault:
                raise ConnectionEndedError(EndReason.CONNECTION_LOST, str(fault)) from None
            if not data:
                raise ConnectionEndedError(EndReason.CLOSED_BY_PEER)
            for frame in self._frames.take(data):
                self._frame_at = monotonic()
                self._on_frame(frame, self._frame_at - self._started_at)
            if len(data) < READ_BYTES:
                break
        if self._frame_at > frame_at_before and not self._frames.partial:
            self._on_complete()
