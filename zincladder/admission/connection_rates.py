"""Rates of new connections, by lane, address and network."""

from __future__ import annotations

from zincladder.admission.model import AdmissionLimits, ListedNetwork, PriorityLane
from zincladder.admission.rate_limiter import Rate, RateLimiter
from zincladder.admission.source_key import V4, V4_16, V4_24, V6_48
from zincladder.admission.state import KNOWN, LIMITED, MAX_LIMITED_SLOTS, NEW

LIMITED_RATE = 4.0  # connections a second of one source under a penalty
KNOWN_FACTOR = 4  # rate of a known address over that of a new one
WIDE_FACTOR = 4  # rate of a /16 over that of a /24
LIMITED_KEY_FLAG = 1 << 80  # past all keys: a key with it is no address's


class ConnectionRates:
    """Counts connections against the rates of their address and networks."""

    def __init__(self, limits: AdmissionLimits, seed: int) -> None:
        self._limiter = RateLimiter(seed)
        self.clear = self._limiter.clear
        self.apply_limits(limits)

    def apply_limits(self, limits: AdmissionLimits) -> None:
        """Change the rates from now on."""
        self._limits = limits
        self._new_rate = Rate.of(limits.rate, limits.burst)
        self._network_rate = Rate.of(limits.network_rate, limits.network_burst)

    def conforms(self, key: int, lane: PriorityLane, listed: ListedNetwork | None, now: float) -> bool:
        """Whether one more connection of an address keeps its rates; if so, it is counted."""
        limits, limiter = self._limits, self._limiter
        if lane is NEW:
            if key & 0xFF == V4:
                wide = key >> 24 << 8 | V4_16
                return limiter.conforms_both(
                    key, key >> 16 << 8 | V4_24, now, self._new_rate, self._network_rate
                ) and limiter.conforms(
                    wide, now, self._network_rate.interval / WIDE_FACTOR, WIDE_FACTOR * limits.network_burst
                )
            return limiter.conforms_both(key, key >> 24 << 8 | V6_48, now, self._new_rate, self._network_rate)
        if lane is KNOWN:
            return limiter.conforms(key, now, 1 / KNOWN_FACTOR / limits.rate, KNOWN_FACTOR * limits.burst)
        if lane is LIMITED:
            # A rate of its own: what the source overused before must not make the limit a ban.
            return limiter.conforms(key | LIMITED_KEY_FLAG, now, 1 / LIMITED_RATE, MAX_LIMITED_SLOTS)
        if listed is None or not listed.rate:
            return True
        return limiter.conforms(key, now, 1 / listed.rate, limits.burst)
