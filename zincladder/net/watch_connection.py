"""One connection to the coordinator: reads its frames until it ends."""

from __future__ import annotations

import math
import socket
from collections.abc import Callable
from time import monotonic

import anyio

from zincladder.core.attempt_end import EndReason
from zincladder.net.errors import ConnectionEndedError
from zincladder.net.events import Frame, FrameReader

READ_BYTES = 1 << 16  # maximum of one read
MAX_READS_PER_TURN = 16  # other tasks may run between two turns


class WatchConnection:
    """A connection on which all events after the last known one were requested."""

    def __init__(
        self,
        sock: socket.socket,
        silence_timeout_seconds: float,
        on_frame: Callable[[WatchConnection, Frame], None],
        on_complete: Callable[[], None],
    ) -> None:
        """Wraps a connected socket.

        Args:
            sock: The socket; it is closed by `run`.
            silence_timeout_seconds: Longest time between two frames. The first one may take any time: ending
                the connection would make a slow coordinator begin its answer anew.
            on_frame: Called with each frame.
            on_complete: Called after frames were received and none is incomplete.
        """
        self._sock, self._silence_timeout_seconds = sock, silence_timeout_seconds
        self._on_frame, self._on_complete = on_frame, on_complete
        self._frames = FrameReader()
        self.opened_at = monotonic()
        self.frames_received = 0
        self._last_frame_at = -math.inf
        self._failure: ConnectionEndedError | None = None
        self._is_superseded = False
        self._read_scope = anyio.CancelScope()

    @property
    def is_answered(self) -> bool:
        """Whether a frame was received."""
        return self.frames_received > 0

    @property
    def open_seconds(self) -> float:
        """Seconds since the connection was established."""
        return monotonic() - self.opened_at

    async def run(self) -> None:
        """Reads frames until the connection ends; returns only after `supersede`.

        Raises:
            ConnectionEndedError: The connection has ended, or a frame cannot be parsed.
            TimeoutError: No complete frame has followed the last one in time.
        """
        try:
            while not self._is_superseded:
                if self._failure is not None:
                    raise self._failure
                await self._wait_readable()
                self.read()
                # A coordinator that the network has cut off leaves the connection open and silent.
                if self._seconds_until_silent() < 0:
                    raise TimeoutError
        finally:
            self.close()

    def close(self) -> None:
        """Closes the socket."""
        self._sock.close()

    async def _wait_readable(self) -> None:
        deadline = anyio.current_time() + max(0.0, self._seconds_until_silent())
        with anyio.CancelScope(deadline=deadline) as self._read_scope:
            await anyio.wait_readable(self._sock)

    def _seconds_until_silent(self) -> float:
        if not self.is_answered:
            return math.inf
        return self._last_frame_at + self._silence_timeout_seconds - monotonic()

    def fail(self, fault: ConnectionEndedError) -> None:
        """Ends the connection from outside its own task; `run` raises the fault."""
        self._failure = fault
        self._read_scope.cancel()

    def supersede(self) -> None:
        """Ends the connection because another one has taken its place; nothing more is read from it."""
        self._is_superseded = True
        self._read_scope.cancel()

    def read(self) -> None:
        """Reads and applies what has been received, without waiting.

        Raises:
            ConnectionEndedError: The connection has ended, or a frame cannot be parsed.
        """
        if self._failure is not None or self._is_superseded:
            return
        frames_before = self.frames_received
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
                self.frames_received += 1
                self._on_frame(self, frame)
            if len(data) < READ_BYTES:
                break
        if self.frames_received > frames_before and not self._frames.partial:
            self._on_complete()
