"""When to send a batch, again or not at all, by the remote write specifications. No I/O; time comes in.

One Delivery stands for one receiver. It has at most one batch in flight, and takes batches in order, so that
the samples of a series arrive in the order of their times.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus

UNLIMITED_RATE = float("inf")
NO_RESPONSE = 0  # in place of a status
MAX_BACKOFF_DOUBLINGS = 30
MIN_JITTER = 0.5  # share of a backoff that is never taken off, so that many fronts do not retry at once
MAX_RETRY_AFTER_DIGITS = 9
MAX_REPLAY_WAIT_SECONDS = 1.0  # after the clock was set back


@dataclass(frozen=True, slots=True)
class DeliveryRules:
    """How batches are sent to a receiver."""

    version: int = 2  # of the protocol, to begin with
    may_fall_back: bool = True  # to 1.0, when the receiver does not know 2.0
    min_backoff_seconds: float = 0.5  # of the first retry; each further one doubles it
    max_backoff_seconds: float = 30.0
    max_retry_after_seconds: float = 300.0
    replay_bytes_per_s: float = 1_000_000.0  # while more than one batch waits


class PushOutcome(Enum):
    """What became of one push of a batch; the values are labels of a metric."""

    SENT = "sent"
    PARTIAL = "partial"  # accepted, but fewer samples were written than were sent
    RETRIED = "retried"
    REJECTED = "refused"  # a retry would get the same response: dropped
    FELL_BACK = "fell_back"  # the same batch goes again at once, in the older protocol


@dataclass(frozen=True, slots=True)
class PushResponse:
    """What a receiver answered to a push."""

    status: int = NO_RESPONSE
    retry_after_seconds: float | None = None
    written_samples: int | None = None  # None where the receiver does not say

    @property
    def accepted(self) -> bool:
        """Whether the status is one of success."""
        return HTTPStatus.OK <= self.status < HTTPStatus.MULTIPLE_CHOICES

    @property
    def retryable(self) -> bool:
        """Whether the same push may be accepted later."""
        return (
            self.status in (NO_RESPONSE, HTTPStatus.TOO_MANY_REQUESTS)
            or self.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        )


class Delivery:
    """The state of one receiver."""

    def __init__(self, rules: DeliveryRules, rng: random.Random) -> None:
        self.version = rules.version
        self._rules, self._rng = rules, rng
        self._failures_in_a_row = 0
        self._not_before = float("-inf")
        self._replay_paid_until = float("-inf")

    def wait_seconds(self, now: float, waiting: int) -> float:
        """How long to wait before the oldest of `waiting` batches is sent; 0 if it may be sent now."""
        not_before = self._not_before
        if waiting > 1:
            not_before = max(not_before, self._replay_paid_until)
        return max(0.0, not_before - now)

    def record_response(
        self, response: PushResponse, body_bytes: int, sample_count: int, now: float
    ) -> PushOutcome:
        """Take in the end of a push of `body_bytes` with `sample_count` samples; what follows from it."""
        self._pay_for_replay(body_bytes, now)
        if response.accepted:
            self._failures_in_a_row, self._not_before = 0, now
            # 2.0, 'Required Written Response Headers': a receiver that names fewer has dropped the others.
            written = response.written_samples
            return PushOutcome.SENT if written is None or written >= sample_count else PushOutcome.PARTIAL
        unsupported = response.status == HTTPStatus.UNSUPPORTED_MEDIA_TYPE
        if unsupported and self.version == 2 and self._rules.may_fall_back:
            self.version, self._not_before = 1, now
            return PushOutcome.FELL_BACK
        if response.retryable:
            self._not_before = now + self._backoff_seconds(response.retry_after_seconds)
            self._failures_in_a_row += 1
            return PushOutcome.RETRIED
        self._failures_in_a_row, self._not_before = 0, now
        return PushOutcome.REJECTED

    def _pay_for_replay(self, body_bytes: int, now: float) -> None:
        """Count a push against the rate, whatever came of it: one that fails costs the front as much."""
        rate = self._rules.replay_bytes_per_s
        cost_seconds = body_bytes / rate if rate < UNLIMITED_RATE else 0.0
        self._replay_paid_until = max(now, self._replay_paid_until) + cost_seconds

    def _backoff_seconds(self, retry_after_seconds: float | None) -> float:
        rules = self._rules
        doublings = min(self._failures_in_a_row, MAX_BACKOFF_DOUBLINGS)
        backoff = min(rules.max_backoff_seconds, rules.min_backoff_seconds * 2.0**doublings)
        backoff *= MIN_JITTER + (1.0 - MIN_JITTER) * self._rng.random()
        if retry_after_seconds is None:
            return backoff
        return max(backoff, min(retry_after_seconds, rules.max_retry_after_seconds))

    def clock_stepped_back(self, now: float) -> None:
        """The clock was set back: bound what is waited for, counted from now."""
        max_wait = max(self._rules.max_backoff_seconds, self._rules.max_retry_after_seconds)
        self._not_before = min(self._not_before, now + max_wait)
        self._replay_paid_until = min(self._replay_paid_until, now + MAX_REPLAY_WAIT_SECONDS)


def parse_retry_after(text: str, unix_now: float, parse_date: Callable[[str], float]) -> float | None:
    """The seconds of a Retry-After header (RFC 9110, 10.2.3), which holds a number or a date.

    Args:
        text: The header's value.
        unix_now: The present, in Unix seconds.
        parse_date: Gives a date in Unix seconds; raises ValueError, TypeError, IndexError or OverflowError.

    Returns:
        The seconds from now; None if the value is neither a number nor a date.
    """
    text = text.strip()
    if text.isascii() and text.isdigit() and len(text) <= MAX_RETRY_AFTER_DIGITS:
        return float(text)
    try:
        return max(0.0, parse_date(text) - unix_now)
    except (ValueError, TypeError, IndexError, OverflowError):
        return None
