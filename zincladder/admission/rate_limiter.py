"""Rates of any number of addresses and networks in bounded memory."""

from __future__ import annotations

from typing import NamedTuple

CELLS = 1 << 12  # of each row; a power of two
CELL_MASK = CELLS - 1
SECOND_ROW_SHIFT = 40  # of the hash: the two rows use different bits of it
EMPTY_ROW = [float("-inf")] * CELLS


class Rate(NamedTuple):
    """A rate as the cell rate algorithm takes it, in seconds."""

    interval: float  # between two at the rate
    tolerance: float  # by which a key may be ahead of it

    @classmethod
    def of(cls, per_second: float, burst: int) -> Rate:
        """So many a second, and so many at once."""
        return cls(1 / per_second, burst / per_second)


class RateLimiter:
    """The generic cell rate algorithm (ITU-T I.371, virtual scheduling) over hashed cells.

    A key's theoretical arrival time is the lesser of two cells, one in each row, so a key that shares a cell
    with a flood is still judged by its other. A cell counts only while it lies ahead of the clock, a few
    seconds at most: nothing has to be swept, and a million keys seen once leave nothing behind. The seed
    keeps clients from aiming at the cells of others.
    """

    __slots__ = ("_first_row", "_second_row", "_seed")

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self.clear()

    def clear(self) -> None:
        """Forget all rates.

        Needed after a step back of the clock, which leaves all cells ahead of it.
        """
        self._first_row, self._second_row = EMPTY_ROW[:], EMPTY_ROW[:]

    def conforms(self, key: int, now: float, interval: float, burst: int) -> bool:
        """Count one more of this key at `now`, if it keeps the rate; `interval` is in seconds.

        What does not conform is not counted: a source is not rejected for longer because it asked again.
        """
        mixed = hash((key, self._seed))
        i, j = mixed & CELL_MASK, mixed >> SECOND_ROW_SHIFT & CELL_MASK
        first, second = self._first_row[i], self._second_row[j]
        arrival = first if first < second else second
        if arrival < now:
            arrival = now
        elif arrival - now > burst * interval:
            return False
        arrival += interval
        if first < arrival:
            self._first_row[i] = arrival
        if second < arrival:
            self._second_row[j] = arrival
        return True

    def conforms_both(self, key: int, network_key: int, now: float, own: Rate, network: Rate) -> bool:
        """Count one more of an address and of its network, if both keep their rates.

        Steps of `conforms` written out twice: this runs for every connection of a flood.
        """
        first_row, second_row = self._first_row, self._second_row
        interval, tolerance = own
        mixed = hash((key, self._seed))
        i, j = mixed & CELL_MASK, mixed >> SECOND_ROW_SHIFT & CELL_MASK
        first, second = first_row[i], second_row[j]
        arrival = first if first < second else second
        if arrival < now:
            arrival = now
        elif arrival - now > tolerance:
            return False
        arrival += interval
        if first < arrival:
            first_row[i] = arrival
        if second < arrival:
            second_row[j] = arrival
        interval, tolerance = network
        mixed = hash((network_key, self._seed))
        i, j = mixed & CELL_MASK, mixed >> SECOND_ROW_SHIFT & CELL_MASK
        first, second = first_row[i], second_row[j]
        arrival = first if first < second else second
        if arrival < now:
            arrival = now
        elif arrival - now > tolerance:
            return False
        arrival += interval
        if first < arrival:
            first_row[i] = arrival
        if second < arrival:
            second_row[j] = arrival
        return True
