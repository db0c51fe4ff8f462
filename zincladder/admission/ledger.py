"""One account of the process's descriptors, by what holds them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Use(Enum):
    """What a descriptor is held for."""

    CLIENTS = "clients"
    CACHES = "caches"
    DNS = "dns"  # over TCP
    METRICS = "metrics"
    CONTROL = "control"  # operators' calls


OWN = 24  # standard streams, the event loop, listeners, the feed, a spare to accept and close with


@dataclass(slots=True)
class Account:
    """What one use holds, what is kept free for it whatever the others do, and the most it may hold."""

    floor: int
    most: int
    used: int = 0


class Ledger:
    """Descriptors: each use may take what no other use holds or is promised, up to its own most."""

    def __init__(self, total: int, shares: dict[Use, tuple[float, float]], own: int = OWN) -> None:
        """`shares` maps a use to the parts of the total that are its floor and its most."""
        self._shares, self._own = shares, own
        self.accounts = {use: Account(0, 0) for use in shares}
        self.total = self._held = 0  # what all hold or are promised
        self.resize(total)

    def resize(self, total: int) -> None:
        """Another limit from now on; what is held past it is not taken back here."""
        self.total = total
        free = max(0, total - self._own)
        for use, (floor, most) in self._shares.items():
            account = self.accounts[use]
            account.most = max(1, min(free, int(total * most)))
            account.floor = min(account.most, int(total * floor))
        promised = sum(a.floor for a in self.accounts.values())
        if (
            promised > free
        ):  # so small a limit that the floors do not fit: each gets its part of what there is
            for account in self.accounts.values():
                account.floor = account.floor * free // promised
        self._held = sum(max(a.used, a.floor) for a in self.accounts.values())

    def _hold(self, account: Account, change: int) -> None:
        before = max(account.used, account.floor)
        account.used += change
        self._held += max(account.used, account.floor) - before

    def room(self, use: Use) -> int:
        """How many more descriptors this use may take now; negative where it holds more than it may."""
        return self.room_of(self.accounts[use])

    def room_of(self, mine: Account) -> int:
        """`room` for whoever keeps its account at hand."""
        used, floor = mine.used, mine.floor
        left = self.total - self._own - self._held + (used if used > floor else floor)
        return (left if left < mine.most else mine.most) - used

    def take(self, use: Use) -> bool:
        """Takes one descriptor if there is room for it."""
        if self.room(use) <= 0:
            return False
        self._hold(self.accounts[use], 1)
        return True

    def force(self, use: Use) -> None:
        """Takes one whether or not there is room: another of this use is about to be given back."""
        self._hold(self.accounts[use], 1)

    def give(self, use: Use) -> None:
        account = self.accounts[use]
        assert account.used > 0, f"more {use.value} descriptors given back than were taken"
        self._hold(account, -1)

    @property
    def used(self) -> int:
        return self._own + sum(a.used for a in self.accounts.values())

    @property
    def over(self) -> int:
        """Descriptors held past the limit, after it was lowered."""
        return max(0, self.used - self.total)


# A front without admission: fixed shares, as its platform's clients hold a third at most.
PLAIN = {
    Use.CLIENTS: (0.55, 0.55),
    Use.CACHES: (0.33, 0.33),
    Use.DNS: (0.0, 0.25),
    Use.METRICS: (0.0, 0.06),
    Use.CONTROL: (0.03, 0.03),
}
# With it, whoever is short takes what the others leave.
SHARED = {
    Use.CLIENTS: (0.40, 0.62),
    Use.CACHES: (0.22, 0.45),
    Use.DNS: (0.03, 0.25),
    Use.METRICS: (0.015, 0.06),
    Use.CONTROL: (0.008, 0.03),
}
