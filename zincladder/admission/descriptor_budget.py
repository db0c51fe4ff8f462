"""One pool of the process's descriptors, by what holds them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class DescriptorUse(Enum):
    """What a descriptor is held for."""

    CLIENTS = "clients"
    CACHES = "caches"
    DNS = "dns"  # over TCP
    METRICS = "metrics"
    CONTROL = "control"  # operators' calls


OWN = 24  # standard streams, the event loop, listeners, the feed, a spare to accept and close with


@dataclass(slots=True)
class DescriptorPool:
    """What one use holds, what is kept free for it whatever the others do, and the most it may hold."""

    floor: int
    most: int
    used: int = 0


class DescriptorBudget:
    """Descriptors: each use may take what no other use holds or is promised, up to its own most."""

    def __init__(
        self, total: int, pool_shares: dict[DescriptorUse, tuple[float, float]], own: int = OWN
    ) -> None:
        """`shares` maps a use to the parts of the total that are its floor and its most."""
        self._shares, self._own = pool_shares, own
        self.pools = {use: DescriptorPool(0, 0) for use in pool_shares}
        self.total = self._held = 0  # what all hold or are promised
        self.resize(total)

    def resize(self, total: int) -> None:
        """Another limit from now on; what is held past it is not taken back here."""
        self.total = total
        free = max(0, total - self._own)
        for use, (floor, most) in self._shares.items():
            pool = self.pools[use]
            pool.most = max(1, min(free, int(total * most)))
            pool.floor = min(pool.most, int(total * floor))
        promised = sum(a.floor for a in self.pools.values())
        if (
            promised > free
        ):  # so small a limit that the floors do not fit: each gets its part of what there is
            for pool in self.pools.values():
                pool.floor = pool.floor * free // promised
        self._held = sum(max(a.used, a.floor) for a in self.pools.values())

    def _hold(self, pool: DescriptorPool, change: int) -> None:
        before = max(pool.used, pool.floor)
        pool.used += change
        self._held += max(pool.used, pool.floor) - before

    def room(self, use: DescriptorUse) -> int:
        """How many more descriptors this use may take now; negative where it holds more than it may."""
        return self.room_of(self.pools[use])

    def room_of(self, mine: DescriptorPool) -> int:
        """`room` for whoever keeps its pool at hand."""
        used, floor = mine.used, mine.floor
        left = self.total - self._own - self._held + (used if used > floor else floor)
        return (left if left < mine.most else mine.most) - used

    def take(self, use: DescriptorUse) -> bool:
        """Takes one descriptor if there is room for it."""
        if self.room(use) <= 0:
            return False
        self._hold(self.pools[use], 1)
        return True

    def force(self, use: DescriptorUse) -> None:
        """Takes one whether or not there is room: another of this use is about to be given back."""
        self._hold(self.pools[use], 1)

    def give(self, use: DescriptorUse) -> None:
        pool = self.pools[use]
        assert pool.used > 0, f"more {use.value} descriptors given back than were taken"
        self._hold(pool, -1)

    @property
    def used(self) -> int:
        return self._own + sum(a.used for a in self.pools.values())

    @property
    def over(self) -> int:
        """Descriptors held past the limit, after it was lowered."""
        return max(0, self.used - self.total)


# A front without admission: fixed shares, as its platform's clients hold a third at most.
FIXED_POOLS = {
    DescriptorUse.CLIENTS: (0.55, 0.55),
    DescriptorUse.CACHES: (0.33, 0.33),
    DescriptorUse.DNS: (0.0, 0.25),
    DescriptorUse.METRICS: (0.0, 0.06),
    DescriptorUse.CONTROL: (0.03, 0.03),
}
# With it, whoever is short takes what the others leave.
ELASTIC_POOLS = {
    DescriptorUse.CLIENTS: (0.40, 0.62),
    DescriptorUse.CACHES: (0.22, 0.45),
    DescriptorUse.DNS: (0.03, 0.25),
    DescriptorUse.METRICS: (0.015, 0.06),
    DescriptorUse.CONTROL: (0.008, 0.03),
}
