"""Rate limits of new connections by lane, address and network."""

from __future__ import annotations

from zincladder.admission.model import AdmissionLimits, ListedNetwork, PriorityLane
from zincladder.admission.rate_limiter import Rate, RateLimiter
from zincladder.admission.source_key import V4, V4_16, V4_24, V6_48
from zincladder.admission.state import KNOWN, LIMITED, MAX_LIMITED_SLOTS, NEW

LIMITED_CONNECTIONS_PER_SECOND = 4.0  # rate of one source under a penalty
KNOWN_TO_NEW_RATE_RATIO = 4  # ratio of a known address's rate to a new address's
WIDE_NETWORK_RATE_FACTOR = 4  # ratio of a /16's rate to a /24's
LIMITED_KEY_FLAG = 1 << 80  # marks the key of a source's separate rate; above all bits of source keys


class ConnectionRates:
    """Limits the rate of new connections of each address and of the networks around it."""

    def __init__(self, limits: AdmissionLimits, seed: int) -> None:
        self._limiter = RateLimiter(seed)
        self.clear = self._limiter.clear
        self.apply_limits(limits)

    def apply_limits(self, limits: AdmissionLimits) -> None:
        """Apply changed limits to connections from now on."""
        self._limits = limits
        self._new_rate = Rate.of(limits.rate, limits.burst)
        self._network_rate = Rate.of(limits.network_rate, limits.network_burst)

    def conforms(
        self, key: int, lane: PriorityLane, listed_network: ListedNetwork | None, now: float
    ) -> bool:
        """Return whether one more connection conforms to the rates that apply, and count it if it does.

        A new address's connection that exceeds only the rate of a network is still counted for the address
        and for any smaller network.
        """
        limits, limiter = self._limits, self._limiter
        if lane is NEW:
            # The body of `network_key_of`, inlined because this runs for every connection of a flood.
            if key & 0xFF == V4:
                wide_key = key >> 24 << 8 | V4_16
                return limiter.conforms_both(
                    key, key >> 16 << 8 | V4_24, now, self._new_rate, self._network_rate
                ) and limiter.conforms(
                    wide_key,
                    now,
                    self._network_rate.interval / WIDE_NETWORK_RATE_FACTOR,
                    WIDE_NETWORK_RATE_FACTOR * limits.network_burst,
                )
            return limiter.conforms_both(key, key >> 24 << 8 | V6_48, now, self._new_rate, self._network_rate)
        if lane is KNOWN:
            return limiter.conforms(
                key, now, 1 / KNOWN_TO_NEW_RATE_RATIO / limits.rate, KNOWN_TO_NEW_RATE_RATIO * limits.burst
            )
        if lane is LIMITED:
            # Connections under a penalty are counted separately: if the source's earlier overuse counted
            # here, the limit would act as a ban.
            return limiter.conforms(
                key | LIMITED_KEY_FLAG, now, 1 / LIMITED_CONNECTIONS_PER_SECOND, MAX_LIMITED_SLOTS
            )
        if listed_network is None or not listed_network.rate:
            return True
        return limiter.conforms(key, now, 1 / listed_network.rate, limits.burst)
