"""Who leaves when room is needed: seats that owe nothing, by how they stand and how they behaved."""

from __future__ import annotations

from collections.abc import Iterator

from zincladder.admission.model import Lane, Seat

SETTLED = (
    0.1  # seconds for which a seat is left alone after it came or was answered: its request may be coming
)
RANKS = tuple(
    (lane, spoke) for lane in (Lane.LIMITED, Lane.NEW, Lane.KNOWN, Lane.LISTED) for spoke in (False, True)
)


class Rows:
    """Seats that may be evicted, in rows: by lane, silent ones before those that have spoken.

    In a row whoever has been idle longest is first, so the choice looks at the first of each row alone. A
    seat with a request open, or an answer that it has not read, is in no row.
    """

    def __init__(self) -> None:
        self._rows: dict[tuple[Lane, bool], dict[Seat, float]] = {rank: {} for rank in RANKS}

    def idle(self, seat: Seat, now: float) -> None:
        """A seat that owes nothing from now on, or has just been used."""
        if seat.leaving:
            return
        row = self._rows[seat.lane, seat.spoke]
        if seat.row is not None:
            del seat.row[seat]
        row[seat] = now
        seat.row = row

    def busy(self, seat: Seat) -> None:
        """A seat with something open, or one that is gone."""
        if seat.row is not None:
            del seat.row[seat]
            seat.row = None

    def choose(self, lane: Lane, now: float, even: int) -> Seat | None:
        """Who makes room for a newcomer of a lane; None if nobody may be asked to.

        Whoever stands worse leaves first. Of those who stand alike, silent ones leave, and of the others
        only one whose source holds more than `even` seats.
        """
        for rank in RANKS:
            if rank[0] < lane:
                return None
            for seat, since in self._rows[rank].items():
                if now - since < SETTLED:
                    break
                if rank[0] > lane or not seat.spoke or seat.source.seats > even:
                    return seat
                break  # the longest idle of this row may stay: none is looked for behind it
        return None

    def worst(self) -> Seat | None:
        """Who leaves when the limit itself was lowered; nobody is settled then."""
        for rank in RANKS:
            for seat in self._rows[rank]:
                return seat
        return None

    def __iter__(self) -> Iterator[Seat]:
        for row in self._rows.values():
            yield from row

    def __len__(self) -> int:
        return sum(map(len, self._rows.values()))
