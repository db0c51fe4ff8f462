"""Tracks whether a front's endpoint list and purges are current. No I/O.

The coordinator may count an event as delivered before it has reached the front; it does so at the latest when
the front sends a catch-up request, for all events after the last one received. Until that request is
answered, the front's list, purges and start times may be out of date, and its decisions may send requests to
a draining endpoint. All times are in seconds on one monotonic clock.

States and transitions of the watch on the coordinator:

    STARTING ----- answer ---> FOLLOWING ---- failure ----> RECONNECTING
    STARTING ----- MAX_FAILED_ATTEMPTS failures ----------> UNREACHABLE
    STARTING ----- frame of an answer, if the wait is over
                                                      ----> RECONNECTING
    RECONNECTING - answer ---> FOLLOWING
    RECONNECTING - MAX_FAILED_ATTEMPTS failures ----------> UNREACHABLE
    UNREACHABLE -- answer ---> FOLLOWING
    UNREACHABLE -- frame of an answer, or catch-up request, if the last attempt did not time out
                                                      ----> RECONNECTING

The answer to a catch-up request is all later events, and nothing in it says which one is the last. It is
complete with an empty frame, or once no frame has followed for ANSWER_GAP_SECONDS.
"""

from __future__ import annotations

import math
from enum import Enum

# Data is stale this long after the last frame: by then, later events may already count as delivered.
STALE_AFTER_SECONDS = 2.0
# Longest wait for the first frame: two connections in a row on which no frame arrives must not keep a front
# out of service.
INITIAL_SYNC_SECONDS = 3.0
RESYNC_SECONDS = 1.6  # longest wait for a later frame: a stalled coordinator must not stop the whole fleet
# The events of an answer are written one after the other; a longer gap between two frames ends the answer.
ANSWER_GAP_SECONDS = 0.03
# After this many failed attempts in a row, the coordinator counts as unreachable. Fewer are tolerated:
# a connect may fail briefly, and a watch may be interrupted once.
MAX_FAILED_ATTEMPTS = 3
# Share of the minimum grace for which a front still uses its previous data after a catch-up request.
MAX_GRACE_SHARE = 0.5


class WatchPhase(Enum):
    """The states of the watch on the coordinator; log lines contain the values."""

    STARTING = "starting"  # no frame has arrived since the process started
    FOLLOWING = "following"  # frames are arriving
    RECONNECTING = "reconnecting"  # the watch was interrupted and is being restored
    UNREACHABLE = "unreachable"  # attempts to connect failed repeatedly; the front uses the data it has


class Freshness:
    """Tracks the watch's events, and returns how long a decision has to wait for current data."""

    def __init__(self, min_grace_seconds: float) -> None:
        """`min_grace_seconds` is the shortest time in the settings between an event and its effect."""
        self.min_grace_seconds = min_grace_seconds
        self.phase = WatchPhase.STARTING
        self._phase_since: float | None = None  # in STARTING: the beginning of the first attempt
        self._last_frame_at = -math.inf
        self._catch_up_requested_at = math.inf  # time of the unanswered catch-up request
        self._answer_frame_at: float | None = None  # time of the latest frame of an incomplete answer
        self._failed_attempts = 0  # since the last frame
        self._timed_out = False  # the last attempt connected, but received no frame in time
        self._synced = False

    # Events of the watch ------------------------------------------------------------------------

    def connect_started(self, now: float) -> None:
        """The watch begins to connect; the first call starts the initial wait."""
        if self._phase_since is None:
            self._phase_since = now

    def catch_up_requested(self, now: float) -> None:
        """A catch-up request was sent: for all events after the last one received.

        It may be sent on several connections until it is answered on one; its time is that of the first.
        """
        self._catch_up_requested_at = min(self._catch_up_requested_at, now)
        if self.phase is WatchPhase.UNREACHABLE and not self._timed_out:
            self._enter(WatchPhase.RECONNECTING, now)

    def frame_received(self, now: float, ends_answer: bool = True) -> None:
        """A frame has arrived, so all earlier events have been received.

        If it belongs to the answer to a catch-up request, more may follow at once, unless `ends_answer`.
        """
        self._failed_attempts, self._timed_out = 0, False
        if ends_answer or self._catch_up_requested_at == math.inf:
            self._follow(now)
            return
        is_first_frame, self._answer_frame_at = self._answer_frame_at is None, now
        if is_first_frame and self._is_wait_over(now):
            self._enter(WatchPhase.RECONNECTING, now)

    def _follow(self, frame_at: float) -> None:
        """All events up to a frame have been received."""
        self.phase, self._last_frame_at = WatchPhase.FOLLOWING, frame_at
        self._catch_up_requested_at, self._answer_frame_at = math.inf, None

    def watch_failed(self, now: float, timed_out: bool = False) -> None:
        """No connection is left; `timed_out` is true if one was open but received no frame in time.

        In UNREACHABLE, decisions do not wait again for a coordinator that timed out. They do for one that
        closed the connection: this costs no time, and the coordinator may have recovered.
        """
        self._answer_frame_at = None
        if self.phase is WatchPhase.FOLLOWING:
            self._enter(WatchPhase.RECONNECTING, now)
            return
        self._timed_out, self._catch_up_requested_at = timed_out, math.inf
        self._failed_attempts += 1
        if self._failed_attempts >= MAX_FAILED_ATTEMPTS:
            self.phase = WatchPhase.UNREACHABLE

    def _enter(self, phase: WatchPhase, now: float) -> None:
        self.phase, self._phase_since = phase, now

    # Queries --------------------------------------------------------------------------------------

    def seconds_until_usable(self, now: float) -> float:
        """Returns the seconds to wait before a decision, unless an event arrives first; 0: data is usable."""
        seconds = self._seconds_until_usable(now)
        self._synced |= seconds == 0
        return seconds

    def has_synced(self, now: float) -> bool:
        """Whether decisions were possible at any time since the start, so that the front may get clients."""
        return self._synced or self.seconds_until_usable(now) == 0

    def _seconds_until_usable(self, now: float) -> float:
        if self._answer_frame_at is None:
            return self._seconds_in_phase(now)
        gap_left = self._answer_frame_at + ANSWER_GAP_SECONDS - now
        if gap_left > 0:
            return min(gap_left, self._seconds_in_phase(now))
        self._follow(self._answer_frame_at)
        return self._seconds_in_phase(now)

    def _seconds_in_phase(self, now: float) -> float:
        stale = now - self._last_frame_at > STALE_AFTER_SECONDS
        match self.phase:
            case WatchPhase.STARTING:
                return self._seconds_left(INITIAL_SYNC_SECONDS, now)
            case WatchPhase.FOLLOWING:
                # Data is stale here only after a stall of this process: otherwise the watch fails earlier.
                return RESYNC_SECONDS if stale else 0.0
            case WatchPhase.RECONNECTING:
                grace_over = now - self._catch_up_requested_at >= MAX_GRACE_SHARE * self.min_grace_seconds
                return self._seconds_left(RESYNC_SECONDS, now) if stale or grace_over else 0.0
            case WatchPhase.UNREACHABLE:
                return 0.0

    def _is_wait_over(self, now: float) -> bool:
        """Whether decisions have stopped waiting for the answer to the catch-up request."""
        match self.phase:
            case WatchPhase.STARTING:
                return self._seconds_left(INITIAL_SYNC_SECONDS, now) == 0
            case WatchPhase.RECONNECTING:
                return self._seconds_left(RESYNC_SECONDS, now) == 0
            case WatchPhase.FOLLOWING:
                return False
            case WatchPhase.UNREACHABLE:
                return True

    def _seconds_left(self, limit: float, now: float) -> float:
        return limit if self._phase_since is None else max(0.0, self._phase_since + limit - now)
