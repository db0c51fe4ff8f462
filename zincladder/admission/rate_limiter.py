"""Rate limiting of any number of addresses and networks in a fixed amount of memory."""

from __future__ import annotations

from typing import NamedTuple

CELLS = 1 << 12  # cells per row; has to be a power of two because of CELL_MASK
CELL_MASK = CELLS - 1
SECOND_ROW_SHIFT = 40  # the lowest bits of the hash index the first row; those from here, the second
INITIAL_ROW = [float("-inf")] * CELLS


class Rate(NamedTuple):
    """A rate limit as the parameters of the generic cell rate algorithm, in seconds."""

    interval: float  # time between two events at the rate
    tolerance: float  # how far a key's theoretical arrival time may lie in the future

    @classmethod
    def of(cls, per_second: float, burst: int) -> Rate:
        """Return the limit of `per_second` events with bursts of `burst`."""
        return cls(1 / per_second, burst / per_second)


class RateLimiter:
    """The generic cell rate algorithm (ITU-T I.371, virtual scheduling) over hashed cells.

    A key's theoretical arrival time is the lesser value of two cells, one in each row, so a key that shares
    one cell with a flood is still judged by its other cell. A cell has an effect only while its time lies in
    the future, which is a few seconds at most, so no cleanup is needed, and a million keys seen once have no
    lasting effect. The seed keeps clients from choosing addresses that share cells with those of others.
    """

    __slots__ = ("_first_row", "_second_row", "_seed")

    def __init__(self, seed: int) -> None:
        self._seed = seed
        self.clear()

    def clear(self) -> None:
        """Discard all counted events.

        This is needed after the clock has stepped back, which leaves the times of all cells in the future.
        """
        self._first_row, self._second_row = INITIAL_ROW[:], INITIAL_ROW[:]

    def conforms(self, key: int, now: float, interval: float, burst: int) -> bool:
        """Return whether one more event of a key conforms to the rate, and count it if it does.

        `interval` is the time between two events at the rate, in seconds. An event that does not conform is
        not counted, so a source that retries while it is rejected is not rejected for longer.
        """
        hashed = hash((key, self._seed))
        i, j = hashed & CELL_MASK, hashed >> SECOND_ROW_SHIFT & CELL_MASK
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

    def conforms_both(
        self, key: int, network_key: int, now: float, address_rate: Rate, network_rate: Rate
    ) -> bool:
        """Return whether one more event conforms to the rates of both an address and its network.

        The event is counted for the address even if it then exceeds the network's rate. The body of
        `conforms` is inlined twice, because this runs for every connection of a flood.
        """
        first_row, second_row = self._first_row, self._second_row
        interval, tolerance = address_rate
        hashed = hash((key, self._seed))
        i, j = hashed & CELL_MASK, hashed >> SECOND_ROW_SHIFT & CELL_MASK
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
        interval, tolerance = network_rate
        hashed = hash((network_key, self._seed))
        i, j = hashed & CELL_MASK, hashed >> SECOND_ROW_SHIFT & CELL_MASK
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
