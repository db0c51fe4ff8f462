"""Response rate limiting for datagrams, whose source address anyone can forge."""

from __future__ import annotations

from enum import Enum, auto

from zincladder.admission.rate_limiter import RateLimiter
from zincladder.admission.source_key import rate_network_key

TRUNCATED_EVERY = 3  # of the answers over the rate, one in so many is sent truncated
KNOWN_FACTOR = 10  # rate of a known address over that of a network


class DatagramVerdict(Enum):
    """What a datagram's sender gets."""

    ANSWER = auto()
    TRUNCATED = auto()  # a real client repeats over TCP, where its address is proved
    NOTHING = auto()


class ResponseRateLimiter:
    """Bounds the answers a second to each network, /24 or /48; known addresses have ten times as much.

    A forger makes the answers go to somebody else's network, so the network is what the limit protects.
    """

    def __init__(self, rate: float, burst: int, seed: int) -> None:
        self._rate, self._burst = rate, burst
        self._limiter = RateLimiter(seed)
        self._over_rate = 0

    def set_rate(self, rate: float, burst: int) -> None:
        """Change the answers a second, and at once, from now on."""
        self._rate, self._burst = rate, burst

    def judge(self, key: int, known: bool, now: float) -> DatagramVerdict:
        """What the sender of one more query gets; `key` is its address."""
        factor = KNOWN_FACTOR if known else 1
        # A known address has a rate of its own: what is forged beside it in its network takes nothing.
        limited_key = key if known else rate_network_key(key)
        if self._limiter.conforms(limited_key, now, 1 / (self._rate * factor), self._burst * factor):
            return DatagramVerdict.ANSWER
        self._over_rate += 1
        if self._over_rate % TRUNCATED_EVERY == 0:
            return DatagramVerdict.TRUNCATED
        return DatagramVerdict.NOTHING
