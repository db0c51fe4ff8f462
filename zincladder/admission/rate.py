"""Rates of any number of addresses and networks in bounded memory, and sums that decay."""

from __future__ import annotations

from array import array
from collections.abc import Iterable

CELLS = 1 << 12  # of each row: both together stay in a core's nearest caches
MASK = CELLS - 1
EMPTY = array("d", [float("-inf")]) * CELLS


class RateSketch:
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

    def conforms_each(self, rates: Iterable[tuple[int, float, int]], now: float) -> bool:
        """Whether each key conforms to its interval and burst; the first that doesn't ends the count."""
        seed, one, two = self._seed, self._first, self._second
        for key, interval, burst in rates:
            # `conforms`, written out: this is asked for every connection of a flood.
            mixed = hash((key, seed))
            i, j = mixed & MASK, mixed >> 40 & MASK
            first, second = one[i], two[j]
            tat = first if first < second else second
            if tat < now:
                tat = now
            elif tat - now > burst * interval:
                return False
            tat += interval
            if first < tat:
                one[i] = tat
            if second < tat:
                two[j] = tat
        return True


def decayed(value: float, since: float, now: float, half_life: float) -> float:
    """A sum as it stands now; a clock that stepped back ages nothing."""
    if value == 0.0 or now <= since:
        return value
    return float(value * 2.0 ** ((since - now) / half_life))
