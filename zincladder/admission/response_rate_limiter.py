"""Response rate limiting for datagrams, whose source address anyone can forge."""

from __future__ import annotations

from enum import Enum, auto

from zincladder.admission.model import BITS, V4, V4_24, V6_48
from zincladder.admission.rate_limiter import RateLimiter

SLIP = 3  # of what is over the rate, one in so many gets a truncated answer


class DatagramVerdict(Enum):
    """What a datagram's sender gets."""

    ANSWER = auto()
    TRUNCATED = auto()  # a real client comes again over TCP, where its address is proved
    NOTHING = auto()


class ResponseRateLimiter:
    """At most so many answers a second to each network, /24 or /48; known addresses have ten times as much.

    A forger makes the answers go to somebody else's network, so the network is what the limit protects.
    """

    def __init__(self, rate: float, burst: int, seed: int) -> None:
        self._rate, self._burst = rate, burst
        self._sketch = RateLimiter(seed)
        self._over = 0

    def use(self, rate: float, burst: int) -> None:
        """Another rate from now on."""
        self._rate, self._burst = rate, burst

    def judge(self, key: int, known: bool, now: float) -> DatagramVerdict:
        """What the sender of one more query gets; `key` is its address."""
        kind = V4_24 if key & 0xFF == V4 else V6_48
        network = key >> 8 + (8 if kind == V4_24 else 64 - BITS[V6_48]) << 8 | kind
        times = 10 if known else 1
        # A known address has an account of its own: what is forged beside it in its network takes nothing.
        if self._sketch.conforms(
            key if known else network, now, 1 / (self._rate * times), self._burst * times
        ):
            return DatagramVerdict.ANSWER
        self._over += 1
        return DatagramVerdict.TRUNCATED if self._over % SLIP == 0 else DatagramVerdict.NOTHING
