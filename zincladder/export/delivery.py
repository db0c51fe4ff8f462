"""When to send a batch, again or not at all, by the remote write specifications. No I/O; time comes in.

One Delivery stands for one receiver. It never has two batches out at once, and takes them in order, so that
the samples of a series arrive in the order of their times.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

FULL_RATE = float("inf")


@dataclass(frozen=True, slots=True)
class Rules:
    """How a receiver is treated."""

    version: int = 2  # of the protocol, to begin with
    may_fall_back: bool = True  # to 1.0, when 2.0 gets a 415
    backoff: tuple[float, float] = (0.5, 30.0)  # seconds, doubled from the first to the second
    longest_wait: float = 300.0  # of a Retry-After
    replay_bytes_per_s: float = 1_000_000.0  # while more than one batch waits


class Fate(Enum):
    """What became of one try of a batch."""

    SENT = "sent"
    PARTIAL = "partial"  # taken, but fewer samples were written than were sent
    RETRIED = "retried"
    REFUSED = "refused"  # it would meet the same answer for ever: dropped
    FELL_BACK = "fell_back"  # the same batch goes again at once, in the older protocol


class Next(Enum):
    """What the sender is to do now."""

    SEND = auto()
    WAIT = auto()


@dataclass(slots=True)
class Outcome:
    """How a push ended: `status` is 0 where no answer came, `written` None where none was told."""

    status: int
    retry_after: float | None = None  # seconds
    written: int | None = None


class Delivery:
    """The state of one receiver."""

    def __init__(self, rules: Rules, rng: random.Random) -> None:
        self._rules, self._rng = rules, rng
        self.version = rules.version
        self.failures = 0  # in a row
        self._not_before = float("-inf")
        self._paid_until = float("-inf")  # of the replay's rate

    def next(self, now: float, waiting: int) -> tuple[Next, float]:
        """Whether to send the oldest of `waiting` batches, or for how long to wait first (at most).

        Waiting for a batch to come is the sender's own matter: this is asked when there is one.
        """
        until = self._not_before
        if waiting > 1:
            until = max(until, self._paid_until)
        if now >= until:
            return Next.SEND, 0.0
        return Next.WAIT, until - now

    def ended(self, outcome: Outcome, size: int, count: int, now: float) -> Fate:
        """The end of a push of `size` bytes with `count` samples, and so what follows."""
        status = outcome.status
        # The rate holds for what is tried, not for what arrives: failing pushes cost the front as much.
        rate = self._rules.replay_bytes_per_s
        self._paid_until = max(now, self._paid_until) + (size / rate if rate < FULL_RATE else 0.0)
        if 200 <= status < 300:
            self.failures, self._not_before = 0, now
            # 2.0, 'Required Written Response Headers': a receiver that names fewer has dropped the others.
            return Fate.SENT if outcome.written is None or outcome.written >= count else Fate.PARTIAL
        if status == 415 and self.version == 2 and self._rules.may_fall_back:
            self.version, self._not_before = 1, now
            return Fate.FELL_BACK
        if status == 0 or status == 429 or status >= 500:
            least, most = self._rules.backoff
            pause = min(most, least * 2.0 ** min(self.failures, 30))
            pause *= 0.5 + 0.5 * self._rng.random()  # so that many fronts do not come back as one
            if outcome.retry_after is not None:
                pause = max(pause, min(outcome.retry_after, self._rules.longest_wait))
            self.failures += 1
            self._not_before = now + pause
            return Fate.RETRIED
        self.failures, self._not_before = 0, now
        return Fate.REFUSED

    def stepped_back(self, now: float) -> None:
        """The clock was set back: what was to be waited for counts from now."""
        most = max(self._rules.backoff[1], self._rules.longest_wait)
        self._not_before = min(self._not_before, now + most)
        self._paid_until = min(self._paid_until, now + 1.0)


def retry_after(text: str, unix_now: float, parse_date: Callable[[str], float]) -> float | None:
    """A Retry-After header in seconds (RFC 9110, 10.2.3): so many, or until a date; None if neither."""
    text = text.strip()
    if text.isascii() and text.isdigit() and len(text) < 10:
        return float(text)
    try:
        return max(0.0, parse_date(text) - unix_now)
    except (ValueError, TypeError, IndexError, OverflowError):
        return None
