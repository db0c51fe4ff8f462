"""Who leaves when room is needed: seats that owe nothing, by how they stand and how they behaved."""

from __future__ import annotations

from collections.abc import Iterator

from zincladder.admission.model import ConnectionSlot, PriorityLane

MIN_IDLE_SECONDS = (
    0.1  # seconds for which a seat is left alone after it came or was answered: its request may be coming
)


class IdleSlots:
    """Seats that may be evicted, in rows: by lane, silent ones before those that have spoken.

    In a row whoever has been idle longest is first, so the choice looks at the first of each row alone. A
    seat with a request open, or an answer that it has not read, is in no row.
    """

    def __init__(self) -> None:
        self._by_lane: list[tuple[dict[ConnectionSlot, float], dict[ConnectionSlot, float]]] = [
            ({}, {}) for _ in PriorityLane
        ]
        self._ranked = [(lane, row) for lane in reversed(PriorityLane) for row in self._by_lane[lane]]

    def idle(self, seat: ConnectionSlot, now: float) -> None:
        """A seat that owes nothing from now on, or has just been used."""
        if seat.leaving:
            return
        row = self._by_lane[seat.lane][seat.spoke]
        if seat.row is not None:
            del seat.row[seat]
        row[seat] = now
        seat.row = row

    def busy(self, seat: ConnectionSlot) -> None:
        """A seat with something open, or one that is gone."""
        if seat.row is not None:
            del seat.row[seat]
            seat.row = None

    def choose(self, lane: PriorityLane, now: float, even: int) -> ConnectionSlot | None:
        """Who makes room for a newcomer of a lane; None if nobody may be asked to.

        Whoever stands worse leaves first. Of those who stand alike, silent ones leave, and of the others
        only one whose source holds more than `even` seats.
        """
        for theirs, row in self._ranked:
            if theirs < lane:
                return None
            for seat, since in row.items():
                if now - since < MIN_IDLE_SECONDS:
                    break
                if theirs > lane or not seat.spoke or seat.source.seats > even:
                    return seat
                break  # the longest idle of this row may stay: none is looked for behind it
        return None

    def worst(self) -> ConnectionSlot | None:
        """Who leaves when the limit itself was lowered; nobody is settled then."""
        for _, row in self._ranked:
            for seat in row:
                return seat
        return None

    def __iter__(self) -> Iterator[ConnectionSlot]:
        for _, row in self._ranked:
            yield from row

    def __len__(self) -> int:
        return sum(len(row) for _, row in self._ranked)
