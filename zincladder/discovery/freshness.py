"""Whether the endpoint list and the purges that a front knows are current. No I/O; times are in seconds.

The coordinator counts an event as delivered whether or not it has reached the front, at the latest when the
front asks for what follows the last event it knows. From that question to its answer the front's list, purges
and start times are those of an earlier moment: what is decided by them may go to an endpoint that drains. All
times are of one monotonic clock.

States and transitions of the watch:

    STARTING ----- frame ----> FOLLOWING ---- failure ----> RECONNECTING
    STARTING ----- MAX_FAILED_ATTEMPTS failures ----------> UNREACHABLE
    RECONNECTING - frame ----> FOLLOWING
    RECONNECTING - MAX_FAILED_ATTEMPTS failures ----------> UNREACHABLE
    UNREACHABLE -- frame ----> FOLLOWING
    UNREACHABLE -- a question goes out, the last attempt was no silent one --> RECONNECTING
"""

from __future__ import annotations

import math
from enum import Enum

STALE_AFTER_SECONDS = 2.0  # after its last frame: the events behind a broken watch count as delivered then
INITIAL_SYNC_SECONDS = 3.0  # for the first answer: two silent watches in a row keep no front out of service
RESYNC_SECONDS = 1.6  # for a later one: a coordinator that stalls must not stop the whole fleet
MAX_FAILED_ATTEMPTS = 3  # in a row: a connect may fail for a moment, and a watch may break off once
GRACE_SHARE = 0.5  # of the least grace, for which a front that asked again decides by what it knew


class WatchPhase(Enum):
    """The states of the watch on the coordinator; the value stands in log lines."""

    STARTING = "starting"  # no frame since the start
    FOLLOWING = "following"  # frames arrive
    RECONNECTING = "reconnecting"  # the watch ended, and the first attempts to reconnect are under way
    UNREACHABLE = "unreachable"  # nobody can say more: the front decides by what it knows


class Freshness:
    """Follows the watch's events, and says how long a decision has to wait for the next one."""

    def __init__(self, min_grace_seconds: float) -> None:
        """`min_grace_seconds` is the least time that the settings leave from an event to its effect."""
        self.min_grace_seconds = min_grace_seconds
        self.phase = WatchPhase.STARTING
        self._phase_since: float | None = None  # at the start: when the first attempt began
        self._frame_at = -math.inf  # of the last frame
        self._asked_at = math.inf  # of the question that is not answered yet
        self._failed_attempts = 0  # since the last frame
        self._timed_out = False  # the last attempt was connected and silent
        self._synced = False

    # Events of the watch ------------------------------------------------------------------------

    def connecting(self, now: float) -> None:
        """The watch begins its first attempt to connect."""
        if self._phase_since is None:
            self._phase_since = now

    def asked(self, now: float) -> None:
        """The coordinator was asked for all that follows the last event known."""
        self._asked_at = now
        if self.phase is WatchPhase.UNREACHABLE and not self._timed_out:
            self._enter(WatchPhase.RECONNECTING, now)

    def frame_received(self, now: float) -> None:
        """A frame has arrived: all events before it are known."""
        self.phase, self._frame_at, self._asked_at = WatchPhase.FOLLOWING, now, math.inf
        self._failed_attempts, self._timed_out = 0, False

    def watch_failed(self, now: float, timed_out: bool = False) -> None:
        """The connection could not be made or ended; `timed_out`: it was up and silent for too long.

        Only a silent coordinator is not waited for again: one that closes costs no time and may be back.
        """
        if self.phase is WatchPhase.FOLLOWING:
            self._enter(WatchPhase.RECONNECTING, now)
            return
        self._timed_out, self._asked_at = timed_out, math.inf
        self._failed_attempts += 1
        if self._failed_attempts >= MAX_FAILED_ATTEMPTS:
            self.phase = WatchPhase.UNREACHABLE

    def _enter(self, phase: WatchPhase, now: float) -> None:
        self.phase, self._phase_since = phase, now

    # Questions ------------------------------------------------------------------------------------

    def seconds_until_usable(self, now: float) -> float:
        """Seconds for which nothing may be decided unless an event of the watch comes; 0: it may now."""
        seconds = self._seconds_until_usable(now)
        self._synced |= seconds == 0
        return seconds

    def has_synced(self, now: float) -> bool:
        """Whether decisions were possible at some moment since the start: the front may be sent clients."""
        return self._synced or self.seconds_until_usable(now) == 0

    def _seconds_until_usable(self, now: float) -> float:
        stale = now - self._frame_at > STALE_AFTER_SECONDS
        match self.phase:
            case WatchPhase.STARTING:
                return self._seconds_left(INITIAL_SYNC_SECONDS, now)
            case WatchPhase.FOLLOWING:
                # Only a stalled process gets here: the watch itself fails sooner, as soon as it runs.
                return RESYNC_SECONDS if stale else 0.0
            case WatchPhase.RECONNECTING:
                grace_over = now - self._asked_at >= GRACE_SHARE * self.min_grace_seconds
                return self._seconds_left(RESYNC_SECONDS, now) if stale or grace_over else 0.0
            case WatchPhase.UNREACHABLE:
                return 0.0

    def _seconds_left(self, limit: float, now: float) -> float:
        return limit if self._phase_since is None else max(0.0, self._phase_since + limit - now)
