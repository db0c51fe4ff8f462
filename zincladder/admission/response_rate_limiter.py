"""Response rate limiting for datagrams, whose source addresses can be forged."""

from __future__ import annotations

from enum import Enum, auto

from zincladder.admission.rate_limiter import RateLimiter
from zincladder.admission.source_key import network_key_of

TRUNCATED_EVERY = 3  # one in this many answers that exceed the rate is sent truncated; the others are dropped
KNOWN_TO_NETWORK_RATE_RATIO = 10  # ratio of a known address's rate to a network's


class DatagramVerdict(Enum):
    """How a datagram is answered."""

    ANSWER = auto()
    TRUNCATED = auto()  # a real client retries over TCP, which verifies its address
    DROP = auto()


class ResponseRateLimiter:
    """Limits the rate of answers to each /24 or /48 network; a known address has a tenfold rate of its own.

    Forged queries direct the answers to a victim's network, so the rate is limited by network.
    """

    def __init__(self, rate: float, burst: int, seed: int) -> None:
        self._rate, self._burst = rate, burst
        self._limiter = RateLimiter(seed)
        self._over_rate = 0

    def set_rate(self, rate: float, burst: int) -> None:
        """Change the rate, in answers per second, and the burst from now on."""
        self._rate, self._burst = rate, burst

    def judge(self, key: int, known: bool, now: float) -> DatagramVerdict:
        """Decide how one more query is answered; `key` is the source key of its sender."""
        factor = KNOWN_TO_NETWORK_RATE_RATIO if known else 1
        # A known address has its own rate, so that forged queries from its network cannot use it up.
        limited_key = key if known else network_key_of(key)
        if self._limiter.conforms(limited_key, now, 1 / (self._rate * factor), self._burst * factor):
            return DatagramVerdict.ANSWER
        self._over_rate += 1
        if self._over_rate % TRUNCATED_EVERY == 0:
            return DatagramVerdict.TRUNCATED
        return DatagramVerdict.DROP
