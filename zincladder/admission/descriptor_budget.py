"""The budget of the process's file descriptors, with a pool for each use."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


class DescriptorUse(Enum):
    """The use of a descriptor; the value is a metric label."""

    CLIENTS = "clients"
    CACHES = "caches"
    DNS = "dns"  # DNS over TCP
    METRICS = "metrics"
    CONTROL = "control"  # operators' commands


# Descriptors kept for the standard streams, the event loop, the listeners, the coordinator's connection, and
# a spare one, with which a connection can be accepted and closed at once when no other descriptor is left.
OWN_DESCRIPTORS = 24


class PoolShare(NamedTuple):
    """The fraction of all descriptors that one use is guaranteed, and the most that it may have."""

    guaranteed: float
    maximum: float


@dataclass(slots=True)
class DescriptorPool:
    """The descriptors of one use."""

    guaranteed: int  # other uses cannot take these descriptors
    max_used: int
    used: int = 0


class DescriptorBudget:
    """Divides the descriptors among the uses.

    A use may take any descriptor that no other use has taken or is guaranteed, up to a maximum of its own.
    The budget keeps the process from running out of descriptors and one use from starving the others.
    """

    def __init__(
        self, total: int, shares: dict[DescriptorUse, PoolShare], own: int = OWN_DESCRIPTORS
    ) -> None:
        """Create a budget of `total` descriptors, of which `own` are kept for the process itself."""
        self._shares, self._own = shares, own
        self._max_clients = math.inf  # connections of clients, whatever the number of descriptors
        self.pools = {use: DescriptorPool(0, 0) for use in shares}
        self.total = 0
        self._reserved = 0  # sum over all uses of the larger of the used and the guaranteed descriptors
        self.resize(total)

    def resize(self, total: int) -> None:
        """Change the limit; the caller has to close descriptors that exceed it (see `excess`)."""
        self.total = total
        usable = max(0, total - self._own)
        for use, share in self._shares.items():
            pool = self.pools[use]
            pool.max_used = max(1, min(usable, int(total * share.maximum)))
            if use is DescriptorUse.CLIENTS:
                pool.max_used = int(min(pool.max_used, self._max_clients))
            pool.guaranteed = min(pool.max_used, int(total * share.guaranteed))
        guaranteed = sum(pool.guaranteed for pool in self.pools.values())
        if guaranteed > usable:
            # The limit is too low for all guarantees, so reduce them in proportion.
            for pool in self.pools.values():
                pool.guaranteed = pool.guaranteed * usable // guaranteed
        self._reserved = sum(max(pool.used, pool.guaranteed) for pool in self.pools.values())

    def limit_clients(self, max_connections: int) -> None:
        """Limits the connections of clients, whose state takes memory; it may be changed at any time."""
        self._max_clients = max_connections
        self.resize(self.total)

    def _change_used(self, pool: DescriptorPool, change: int) -> None:
        reserved_before = max(pool.used, pool.guaranteed)
        pool.used += change
        self._reserved += max(pool.used, pool.guaranteed) - reserved_before

    def available(self, use: DescriptorUse) -> int:
        """Return how many more descriptors a use may take; negative if it has more than it may have."""
        return self.available_in(self.pools[use])

    def available_in(self, pool: DescriptorPool) -> int:
        """Return the same as `available` for a pool; saves a look-up for every connection of a flood."""
        used, guaranteed = pool.used, pool.guaranteed
        left = self.total - self._own - self._reserved + (used if used > guaranteed else guaranteed)
        return (left if left < pool.max_used else pool.max_used) - used

    def acquire(self, use: DescriptorUse) -> bool:
        """Take one descriptor if this use may have one more; return whether it was taken."""
        if self.available(use) <= 0:
            return False
        self._change_used(self.pools[use], 1)
        return True

    def force_acquire(self, use: DescriptorUse) -> None:
        """Take one descriptor without checking whether one is available.

        The caller has checked that one is available, or that another of this use is about to be released.
        """
        self._change_used(self.pools[use], 1)

    def release(self, use: DescriptorUse) -> None:
        """Release one descriptor."""
        pool = self.pools[use]
        assert pool.used > 0, f"released a {use.value} descriptor that was not acquired"
        self._change_used(pool, -1)

    @property
    def used(self) -> int:
        """Descriptors in use by all pools, plus all that are kept for the process itself."""
        return self._own + sum(pool.used for pool in self.pools.values())

    @property
    def excess(self) -> int:
        """How many descriptors in use exceed the limit, after it was lowered."""
        return max(0, self.used - self.total)


# Shares for admission by connection: each use but DNS and metrics has a fixed share.
FIXED_POOLS = {
    DescriptorUse.CLIENTS: PoolShare(0.55, 0.55),
    DescriptorUse.CACHES: PoolShare(0.33, 0.33),
    DescriptorUse.DNS: PoolShare(0.0, 0.25),
    DescriptorUse.METRICS: PoolShare(0.0, 0.06),
    DescriptorUse.CONTROL: PoolShare(0.03, 0.03),
}
# Shares for admission by source: a use may take what the others leave, up to its maximum.
ELASTIC_POOLS = {
    DescriptorUse.CLIENTS: PoolShare(0.40, 0.62),
    DescriptorUse.CACHES: PoolShare(0.22, 0.45),
    DescriptorUse.DNS: PoolShare(0.03, 0.25),
    DescriptorUse.METRICS: PoolShare(0.015, 0.06),
    DescriptorUse.CONTROL: PoolShare(0.008, 0.03),
}
