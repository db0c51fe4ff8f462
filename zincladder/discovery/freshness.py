"""Whether what a front knows of the fleet is current enough to decide on. No I/O; times are in seconds.

The coordinator counts an event as told whether or not it has reached the front, at the latest when the front
asks for what came after the last event it knows. From the question to the answer the front's list, purges and
start times are those of an earlier moment: what is decided by them may go to a member that drains. All
times are of one monotonic clock.
"""

from __future__ import annotations

import math
from enum import Enum

STALE = 2.0  # seconds: what happens behind a watch that broke counts as told that long after the break
START_LIMIT = 3.0  # seconds for the first answer: two watches in a row that say nothing keep no front out
ANSWER_LIMIT = 1.6  # seconds for a later one: a coordinator that stalls must not stop the whole fleet
MOST_TRIES = 3  # in vain: a connect may fail for a moment, and a watch may break off once
SLACK = 0.5  # of the least grace: for that part of it a front that asked again goes by what it knew


class Phase(Enum):
    """Where a front stands with the coordinator."""

    STARTING = "starting"  # it has not spoken since the start
    FOLLOWING = "following"  # it speaks
    RECONNECTING = "reconnecting"  # the watch ended, and the first tries to come back are under way
    UNREACHABLE = "unreachable"  # nobody can tell more: the front goes by what it knows


class Freshness:
    """Follows the watch's events, and says how long a decision has to wait for the next one."""

    def __init__(self, grace: float) -> None:
        """`grace` is the least time in seconds that the settings leave from news to its effect."""
        self.grace = grace
        self.phase = Phase.STARTING
        self._since: float | None = None  # when the phase began; at the start, when the first try did
        self._heard_at = -math.inf
        self._asked_at = math.inf  # when the question went out that is not answered yet
        self._tries = 0  # that ended without a word since the last one
        self._silent = False  # on the last of them nothing was said for as long as the watch bears
        self._settled = False

    # Events of the watch ------------------------------------------------------------------------

    def trying(self, now: float) -> None:
        """The watch begins its first try."""
        if self._since is None:
            self._since = now

    def asked(self, now: float) -> None:
        """The coordinator has been asked for all that came after the last event known."""
        self._asked_at = now
        if self.phase is Phase.UNREACHABLE and not self._silent:
            self.phase, self._since = Phase.RECONNECTING, now

    def spoke(self, now: float) -> None:
        """A frame has come: all events before it are known."""
        self.phase, self._heard_at, self._asked_at = Phase.FOLLOWING, now, math.inf
        self._tries, self._silent = 0, False

    def failed(self, now: float, silent: bool = False) -> None:
        """The connection could not be made or ended; `silent`: it was up and said nothing for too long.

        Only silence is not waited for again: a coordinator that closes costs no time, and may be back next.
        """
        if self.phase is Phase.FOLLOWING:
            self.phase, self._since = Phase.RECONNECTING, now
            return
        self._silent, self._asked_at = silent, math.inf
        self._tries += 1
        if self._tries >= MOST_TRIES:
            self.phase = Phase.UNREACHABLE

    # Questions ------------------------------------------------------------------------------------

    def wait(self, now: float) -> float:
        """Seconds for which nothing may be decided unless an event of the watch comes; 0: it may now."""
        left = self._wait(now)
        self._settled |= left == 0
        return left

    def settled(self, now: float) -> bool:
        """Whether decisions could be made at some moment since the start: the front may be sent clients."""
        return self._settled or self.wait(now) == 0

    def _wait(self, now: float) -> float:
        old = now - self._heard_at > STALE
        match self.phase:
            case Phase.STARTING:
                return self._left(START_LIMIT, now)
            case Phase.FOLLOWING:
                # Only a process that stood still gets here: the watch gives up sooner, as soon as it runs.
                return ANSWER_LIMIT if old else 0.0
            case Phase.RECONNECTING:
                owed = old or now - self._asked_at >= SLACK * self.grace
                return self._left(ANSWER_LIMIT, now) if owed else 0.0
            case Phase.UNREACHABLE:
                return 0.0

    def _left(self, limit: float, now: float) -> float:
        return limit if self._since is None else max(0.0, self._since + limit - now)
