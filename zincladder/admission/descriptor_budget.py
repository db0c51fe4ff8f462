"""The budget of the process's descriptors, with a pool for each use."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


class DescriptorUse(Enum):
    """What a descriptor is used for."""

    CLIENTS = "clients"
    CACHES = "caches"
    DNS = "dns"  # over TCP
    METRICS = "metrics"
    CONTROL = "control"  # operators' calls


# Standard streams, the event loop, listeners, the coordinator's connection, a spare to accept and close with.
OWN_DESCRIPTORS = 24


class PoolShare(NamedTuple):
    """Parts of all descriptors that one use is guaranteed, and may have at most."""

    guaranteed: float
    maximum: float


@dataclass(slots=True)
class DescriptorPool:
    """The descriptors of one use."""

    guaranteed: int  # kept free for this use whatever the others do
    max_used: int
    used: int = 0


class DescriptorBudget:
    """Lets each use take what no other use has or is guaranteed, up to its own maximum.

    Guards the process against running out of descriptors, and each use against the others.
    """

    def __init__(
        self, total: int, shares: dict[DescriptorUse, PoolShare], own: int = OWN_DESCRIPTORS
    ) -> None:
        """`own` descriptors are the process's own and in no pool."""
        self._shares, self._own = shares, own
        self.pools = {use: DescriptorPool(0, 0) for use in shares}
        self.total = 0
        self._reserved = 0  # that all uses have or are guaranteed
        self.resize(total)

    def resize(self, total: int) -> None:
        """Change the limit; descriptors in use past it are not taken back here."""
        self.total = total
        usable = max(0, total - self._own)
        for use, share in self._shares.items():
            pool = self.pools[use]
            pool.max_used = max(1, min(usable, int(total * share.maximum)))
            pool.guaranteed = min(pool.max_used, int(total * share.guaranteed))
        guaranteed = sum(pool.guaranteed for pool in self.pools.values())
        if guaranteed > usable:
            # Under so low a limit each use gets its part of what there is.
            for pool in self.pools.values():
                pool.guaranteed = pool.guaranteed * usable // guaranteed
        self._reserved = sum(max(pool.used, pool.guaranteed) for pool in self.pools.values())

    def _change_used(self, pool: DescriptorPool, change: int) -> None:
        reserved_before = max(pool.used, pool.guaranteed)
        pool.used += change
        self._reserved += max(pool.used, pool.guaranteed) - reserved_before

    def available(self, use: DescriptorUse) -> int:
        """How many more descriptors this use may take; negative where it has more than it may."""
        return self.available_in(self.pools[use])

    def available_in(self, pool: DescriptorPool) -> int:
        """`available` for a caller that keeps its pool: this runs for every connection of a flood."""
        used, guaranteed = pool.used, pool.guaranteed
        left = self.total - self._own - self._reserved + (used if used > guaranteed else guaranteed)
        return (left if left < pool.max_used else pool.max_used) - used

    def acquire(self, use: DescriptorUse) -> bool:
        """Take one descriptor if this use may have one more."""
        if self.available(use) <= 0:
            return False
        self._change_used(self.pools[use], 1)
        return True

    def force_acquire(self, use: DescriptorUse) -> None:
        """Take one although none is available: another of this use is about to be given back."""
        self._change_used(self.pools[use], 1)

    def release(self, use: DescriptorUse) -> None:
        """Give one descriptor back."""
        pool = self.pools[use]
        assert pool.used > 0, f"more {use.value} descriptors given back than were taken"
        self._change_used(pool, -1)

    @property
    def used(self) -> int:
        """All descriptors in use, with the process's own where the budget counts them."""
        return self._own + sum(pool.used for pool in self.pools.values())

    @property
    def over(self) -> int:
        """Descriptors in use past the limit, after it was lowered."""
        return max(0, self.used - self.total)


# Without admission by source: fixed shares.
FIXED_POOLS = {
    DescriptorUse.CLIENTS: PoolShare(0.55, 0.55),
    DescriptorUse.CACHES: PoolShare(0.33, 0.33),
    DescriptorUse.DNS: PoolShare(0.0, 0.25),
    DescriptorUse.METRICS: PoolShare(0.0, 0.06),
    DescriptorUse.CONTROL: PoolShare(0.03, 0.03),
}
# With it: a use that is short takes what the others leave.
ELASTIC_POOLS = {
    DescriptorUse.CLIENTS: PoolShare(0.40, 0.62),
    DescriptorUse.CACHES: PoolShare(0.22, 0.45),
    DescriptorUse.DNS: PoolShare(0.03, 0.25),
    DescriptorUse.METRICS: PoolShare(0.015, 0.06),
    DescriptorUse.CONTROL: PoolShare(0.008, 0.03),
}
