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
from zincladder.net.events import Frame, FrameReader, News, read_frame
from zincladder.net.stream import Ended, Outbox, connect
from zincladder.support.rate_limited_log import RateLimitedLog

READ_SIZE, MOST_READS = 1 << 16, 16  # bytes of one read, and reads in a row before others have their turn
LOOK_EVERY = 0.005  # seconds between two looks at what lies unread: far below any grace
SILENCE = 1.6  # an empty frame follows each second
CONNECT_LIMIT = 0.5
RETRY = (0.05, 0.4)  # seconds between tries, doubled from the first to the second
SPREAD = (0.5, 1.5)  # of these: a coordinator that comes back is not asked by all fronts at one moment
log = structlog.get_logger()


class Feed:
    """Follows the coordinator from the last known event on, for as long as the front runs."""

    def __init__(
        self,
        coordinator: Address,
        last: int,
        tell: Callable[[News], None],
        seed: int,
        freshness: Freshness | None = None,
        changed: Callable[[], None] = lambda: None,
    ) -> None:
        """`freshness` hears what becomes of the watch; `changed` is called when it may have changed."""
        self._random = Random(seed)
        self._coordinator, self.last, self._tell = coordinator, last, tell
        self._freshness, self._changed = freshness or Freshness(0.0), changed
        self.connected = False  # it is followed now
        self._turn = anyio.CancelScope()
        self._pause = RETRY[0]
        self._warn = RateLimitedLog()
        self._watch: _Watch | None = None
        self._looked_at = 0.0

    def follow(self, coordinator: Address) -> None:
        """Goes on at another address, from the last event: the old one tells nothing more."""
        if coordinator != self._coordinator:
            self._coordinator, self._pause = coordinator, RETRY[0]
            self._turn.cancel()

    def look(self) -> None:
        """Tells what has come in and lies unread.

        Guards what is decided in a process that stood still, or in a loop that is late: the watch's own turn
        comes after that.
        """
        now = monotonic()
        if self._watch is not None and now - self._looked_at >= LOOK_EVERY:
            self._looked_at = now
            try:
                self._watch.read()
            except Ended as end:
                self._watch.fail(end)  # its own task ends it
            except Exception:  # guards the request that looked, which has no part in it
                log.exception("coordinator lost", last=self.last)
                self._watch.fail(Ended(EndReason.PROTOCOL_ERROR, "an event that could not be told"))

    async def run(self) -> None:
        self._freshness.connecting(monotonic())
        while True:
            with anyio.CancelScope() as self._turn:
                try:
                    await self._follow()
                except (Ended, OSError, TimeoutError) as fault:
                    if self.connected:
                        self._pause = RETRY[0]
                    why = str(fault) or type(fault).__name__
                    self._warn.warning("coordinator lost", why=why, last=self.last)
                except (
                    Exception
                ):  # guards drains and purges: whatever goes wrong, the coordinator is followed again
                    log.exception("coordinator lost", last=self.last)
                finally:
                    self.connected = False
                await anyio.sleep(self._pause * self._random.uniform(*SPREAD))
                self._pause = min(2 * self._pause, RETRY[1])

    async def _follow(self) -> None:
        sock: socket.socket | None = None
        silent = False
        try:
            with anyio.fail_after(CONNECT_LIMIT):
                sock = await connect(*self._coordinator)
            Outbox(sock).put([self.last.to_bytes(8, "big")])
            self._freshness.asked(monotonic())
            self._watch = _Watch(sock, self._frame, self._spoke)
            await self._watch.run()
        except TimeoutError:
            silent = sock is not None
            raise
        finally:
            self._watch = None
            if sock is not None:
                sock.close()
            self._freshness.watch_failed(monotonic(), silent)
            self._changed()

    def _frame(self, frame: Frame, waited: float) -> None:
        if not self.connected:
            self._warn.info(
                "coordinator followed",
                after=self.last,
                newest=frame.number,
                kind=frame.kind,
                waited_s=round(waited, 3),
            )
        self.connected = True
        news = read_frame(frame.kind, frame.number, frame.payload)
        if news is not None and frame.number > self.last:
            self._tell(news)
            self.last = frame.number

    def _spoke(self) -> None:
        """All that has come so far is told, and no event stands half read."""
        self._freshness.frame_received(monotonic())
        self._changed()


class _Watch:
    """One connection to the coordinator."""

    def __init__(
        self, sock: socket.socket, frame: Callable[[Frame, float], None], whole: Callable[[], None]
    ) -> None:
        """`frame` hears of each, and after how many seconds; `whole` when none is half read after it."""
        self._sock, self._frame, self._whole = sock, frame, whole
        self._frames = FrameReader()
        self._began = self._frame_at = monotonic()
        self._fault: Ended | None = None
        self._waiting = anyio.CancelScope()

    async def run(self) -> None:
        """Reads frames until the connection ends or one takes too long: always by an exception."""
        while True:
            patience = self._frame_at + SILENCE - monotonic()
            with anyio.CancelScope(deadline=anyio.current_time() + max(0.0, patience)) as self._waiting:
                await anyio.wait_readable(self._sock)
            if self._fault is not None:
                raise self._fault
            self.read()
            if monotonic() - self._frame_at > SILENCE:  # guards against a coordinator that is cut off
                raise TimeoutError

    def fail(self, fault: Ended) -> None:
        """Ends the connection from outside its own task."""
        self._fault = fault
        self._waiting.cancel()

    def read(self) -> None:
        """Reads what is here, without waiting; `Ended` where the connection has ended or is garbled."""
        if self._fault is not None:
            return
        before = self._frame_at
        for _ in range(MOST_READS):
            try:
                data = self._sock.recv(READ_SIZE)
            except (BlockingIOError, InterruptedError):
                break
            except OSError as fault:
                raise Ended(EndReason.CONNECTION_LOST, str(fault)) from None
            if not data:
                raise Ended(EndReason.CLOSED_BY_PEER)
            for frame in self._frames.take(data):
                self._frame_at = monotonic()
                self._frame(frame, self._frame_at - self._began)
            if len(data) < READ_SIZE:
                break
        if self._frame_at > before and not self._frames.partial:
            self._whole()
