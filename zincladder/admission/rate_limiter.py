"""Rates of any number of addresses and networks in bounded memory, and sums that decay."""

from __future__ import annotations

CELLS = 1 << 12  # of each row: both together stay in a core's nearest caches
MASK = CELLS - 1
EMPTY = [float("-inf")] * CELLS


class RateLimiter:
    """The generic cell rate algorithm (ITU-T I.371, virtual scheduling) over hashed cells.

    A key's theoretical arrival time is the lesser of two cells, one in each row, so one that shares a cell
    with a flood is still judged by its other. A cell says something for as long as it lies ahead of the
    clock, a few seconds at most; so nothing is forgotten in sweeps, and a million keys seen once leave
    nothing behind. The seed keeps
    anybody from aiming at another's cells.
    """

    __slots__ = ("_first", "_second", "_seed")

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self.clear()

    def clear(self) -> None:
        """Forgets all, as after a step back of the clock, which leaves all cells ahead of it."""
        self._first, self._second = EMPTY[:], EMPTY[:]

    def conforms(self, key: int, now: float, interval: float, burst: int) -> bool:
        """One more of this key at `now`? `interval` is the seconds between two at the rate.

        What does not conform is not counted: a source turned away is not turned away longer for asking.
        """
        mixed = hash((key, self._seed))
        i, j = mixed & MASK, mixed >> 40 & MASK
        first, second = self._first[i], self._second[j]
        tat = first if first < second else second
        if tat < now:
            tat = now
        elif tat - now > burst * interval:
            return False
        tat += interval
        if first < tat:
            self._first[i] = tat
        if second < tat:
            self._second[j] = tat
        return True

    def conforms_both(
        self, key: int, around: int, now: float, one: tuple[float, float], net: tuple[float, float]
    ) -> bool:
        """Whether an address and its network conform, each given as an interval and the most to be ahead.

        `conforms` twice, written out: this is asked for every connection of a flood.
        """
        first, second = self._first, self._second
        interval, most = one
        mixed = hash((key, self._seed))
        i, j = mixed & MASK, mixed >> 40 & MASK
        a, b = first[i], second[j]
        tat = a if a < b else b
        if tat < now:
            tat = now
        elif tat - now > most:
            return False
        tat += interval
        if a < tat:
            first[i] = tat
        if b < tat:
            second[j] = tat
        interval, most = net
        mixed = hash((around, self._seed))
        i, j = mixed & MASK, mixed >> 40 & MASK
        a, b = first[i], second[j]
        tat = a if a < b else b
        if tat < now:
            tat = now
        elif tat - now > most:
            return False
        tat += interval
        if a < tat:
            first[i] = tat
        if b < tat:
            second[j] = tat
        return True


def decayed(value: float, since: float, now: float, half_life: float) -> float:
    """A sum as it stands now; a clock that stepped back ages nothing."""
    if value == 0.0 or now <= since:
        return value
    return float(value * 2.0 ** ((since - now) / half_life))
