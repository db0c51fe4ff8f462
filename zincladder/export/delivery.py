"""Decides when a batch is sent, retried or dropped, according to the remote write specifications.

There is one Delivery for each receiver. At most one batch is in flight, and batches are sent in order, so
that the samples of a series arrive in the order of their times. Performs no I/O; callers pass the time.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus

UNLIMITED_RATE = float("inf")
NO_RESPONSE = 0  # the status if no response arrived
MAX_BACKOFF_DOUBLINGS = 30
# Share of a backoff that is always waited. The rest is random, so that many fronts do not retry at once.
MIN_BACKOFF_SHARE = 0.5
MAX_RETRY_AFTER_DIGITS = 9
MAX_REPLAY_WAIT_SECONDS = 1.0  # limit of a remaining wait after the clock was set back


@dataclass(frozen=True, slots=True)
class DeliveryRules:
    """The protocol, backoff and rate with which batches are sent to a receiver."""

    version: int = 2  # protocol version of the first push
    may_fall_back: bool = True  # change to version 1.0 if the receiver does not support 2.0
    min_backoff_seconds: float = 0.5  # before the first retry; doubles with each further one
    max_backoff_seconds: float = 30.0
    max_retry_after_seconds: float = 300.0
    replay_bytes_per_s: float = 1_000_000.0  # while more than one batch waits


class PushOutcome(Enum):
    """The outcome of one push of a batch. The values are label values of a metric."""

    SENT = "sent"
    PARTIAL = "partial"  # accepted, but fewer samples were written than were sent
    RETRIED = "retried"  # failed, and is pushed again later
    REJECTED = "refused"  # dropped, because a retry would get the same response
    FELL_BACK = "fell_back"  # the same batch is pushed again at once, with the older protocol


@dataclass(frozen=True, slots=True)
class PushResponse:
    """A receiver's response to a push; its status is NO_RESPONSE if none arrived."""

    status: int = NO_RESPONSE
    retry_after_seconds: float | None = None
    written_samples: int | None = None  # None if the response has no valid count

    @property
    def accepted(self) -> bool:
        """Whether the status is a success (2xx)."""
        return HTTPStatus.OK <= self.status < HTTPStatus.MULTIPLE_CHOICES

    @property
    def retryable(self) -> bool:
        """Whether the same push may be accepted later."""
        return (
            self.status in (NO_RESPONSE, HTTPStatus.TOO_MANY_REQUESTS)
            or self.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        )


class Delivery:
    """The retry and rate state of one receiver."""

    def __init__(self, rules: DeliveryRules, rng: random.Random) -> None:
        self.version = rules.version
        self._rules, self._rng = rules, rng
        self._consecutive_failures = 0
        self._not_before = float("-inf")
        self._next_replay_at = float("-inf")

    def wait_seconds(self, now: float, waiting_batches: int) -> float:
        """Returns the seconds until the oldest of `waiting_batches` may be sent; 0 if it may be sent now."""
        not_before = self._not_before
        if waiting_batches > 1:
            not_before = max(not_before, self._next_replay_at)
        return max(0.0, not_before - now)

    def record_response(
        self, response: PushResponse, body_bytes: int, sample_count: int, now: float
    ) -> PushOutcome:
        """Records the response to a push of `body_bytes` with `sample_count` samples; returns the outcome."""
        self._charge_replay_rate(body_bytes, now)
        if response.accepted:
            self._consecutive_failures, self._not_before = 0, now
            # Remote write 2.0, 'Required Written Response Headers': a receiver that reports fewer written
            # samples has dropped the others.
            written = response.written_samples
            return PushOutcome.SENT if written is None or written >= sample_count else PushOutcome.PARTIAL
        unsupported = response.status == HTTPStatus.UNSUPPORTED_MEDIA_TYPE
        if unsupported and self.version == 2 and self._rules.may_fall_back:
            self.version, self._not_before = 1, now
            return PushOutcome.FELL_BACK
        if response.retryable:
            self._not_before = now + self._backoff_seconds(response.retry_after_seconds)
            self._consecutive_failures += 1
            return PushOutcome.RETRIED
        self._consecutive_failures, self._not_before = 0, now
        return PushOutcome.REJECTED

    def _charge_replay_rate(self, body_bytes: int, now: float) -> None:
        """Counts a push against the replay rate; a failed push too, since it costs the front as much."""
        rate = self._rules.replay_bytes_per_s
        cost_seconds = body_bytes / rate if rate < UNLIMITED_RATE else 0.0
        self._next_replay_at = max(now, self._next_replay_at) + cost_seconds

    def _backoff_seconds(self, retry_after_seconds: float | None) -> float:
        rules = self._rules
        doublings = min(self._consecutive_failures, MAX_BACKOFF_DOUBLINGS)
        backoff = min(rules.max_backoff_seconds, rules.min_backoff_seconds * 2.0**doublings)
        backoff *= MIN_BACKOFF_SHARE + (1.0 - MIN_BACKOFF_SHARE) * self._rng.random()
        if retry_after_seconds is None:
            return backoff
        return max(backoff, min(retry_after_seconds, rules.max_retry_after_seconds))

    def limit_waits_after_clock_step(self, now: float) -> None:
        """Limits the remaining waits after the clock was set back."""
        max_wait = max(self._rules.max_backoff_seconds, self._rules.max_retry_after_seconds)
        self._not_before = min(self._not_before, now + max_wait)
        self._next_replay_at = min(self._next_replay_at, now + MAX_REPLAY_WAIT_SECONDS)


def parse_retry_after(text: str, unix_now: float, parse_date: Callable[[str], float]) -> float | None:
    """Parses a Retry-After header (RFC 9110, 10.2.3), which holds a number of seconds or a date.

    Args:
        text: The header's value.
        unix_now: The current time in Unix seconds.
        parse_date: Parses a date to Unix seconds. May raise ValueError, TypeError, IndexError or
            OverflowError.

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
