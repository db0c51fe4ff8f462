"""Admission without sources: even shares by connection, for a platform whose clients share addresses."""

from __future__ import annotations

from zincladder.admission.interface import NOTHING, TAKE, Bounds, Look
from zincladder.admission.ledger import Ledger, Use
from zincladder.admission.model import Act, Decision, Lane, Seat, Source, Tallies, Verdict, Why
from zincladder.admission.responses import Response
from zincladder.admission.seats import SETTLED

BEHIND = 0.04  # seconds that the event loop may be late before new requests are refused at once


class Plain:
    """Connections wait in the system's queue while there is no room; requests past an even share are
    refused.
    """

    def __init__(self, bounds: Bounds, ledger: Ledger) -> None:
        self.bounds, self.ledger = bounds, ledger
        self.tallies = Tallies()
        self._nobody = Source(0)
        self._silent: dict[Seat, float] = {}  # that owe nothing, the longest idle first
        self._spoken: dict[Seat, float] = {}
        self._leaving = 0
        self._open = self._unread = self._active = 0
        self._behind = 0.0

    def ready(self, now: float) -> Decision:
        if self.ledger.room(Use.CLIENTS) > 0:
            return TAKE
        if self._leaving:  # its descriptor is free only once it is closed
            return Decision(Verdict.WAIT)
        # Guards the descriptors: whoever said nothing longest goes first, then whoever is idle longest. Not
        # one that has just come or just been answered, whose request may be on its way; nor one with a
        # request open, which would be lost.
        for row in (self._silent, self._spoken):
            for seat, since in row.items():
                if now - since > SETTLED:
                    self._busy(seat)
                    seat.leaving = True
                    self._leaving += 1
                    self.tallies.evicted[Lane.NEW] += 1
                    return Decision(Verdict.WAIT, evict=seat)
                break
        return Decision(Verdict.WAIT, Why.FULL)

    def connect(self, host: str, now: float) -> Decision:
        return TAKE

    def seat(self, decision: Decision, now: float) -> Seat:
        self.ledger.force(Use.CLIENTS)
        self.tallies.admitted[Lane.NEW] += 1
        seat = Seat(self._nobody, Lane.NEW, now)
        self._idle(seat, now)
        return seat

    def _idle(self, seat: Seat, now: float) -> None:
        self._busy(seat)
        if seat.leaving:
            return
        seat.row = self._spoken if seat.spoke else self._silent
        seat.row[seat] = now

    def _busy(self, seat: Seat) -> None:
        if seat.row is not None:
            del seat.row[seat]
            seat.row = None

    def gone(self, seat: Seat, now: float) -> None:
        self.ledger.give(Use.CLIENTS)
        self._leaving -= seat.leaving
        self._busy(seat)
        self._unread -= seat.unread

    def stays(self, seat: Seat, now: float) -> None:
        if seat.leaving:
            seat.leaving = False
            self._leaving -= 1
            if not seat.open:
                self._idle(seat, now)

    def may_read(self, seat: Seat, now: float) -> bool:
        return True

    def told(self, seat: Seat, now: float) -> None:
        seat.spoke = True
        if seat.row is not None:
            self._idle(seat, now)

    def may_open(self, seat: Seat, now: float) -> Why:
        """Past half of what may be open each client has an even share of the whole, and at least one."""
        seat.spoke = True
        why, most = Why.NONE, self.bounds.most_open
        if self._behind > BEHIND:
            # Guards what is open against a rate past this front's part of a core: a refusal costs far less
            # than a request, and one that waits for its turn ends too late for anybody.
            why = Why.LATE
        elif self._open >= most or self._unread > self.bounds.most_unread:
            why = Why.FULL
        elif self._open >= most / 2 and seat.open > 0 and seat.open >= most / max(1, self._active):
            why = Why.SHARE
        if why is not Why.NONE:
            self.tallies.refused[why.value] = self.tallies.refused.get(why.value, 0) + 1
            if seat.row is not None:
                self._idle(seat, now)
        return why

    def opened(self, seat: Seat) -> None:
        self._busy(seat)
        self._active += seat.open == 0
        self._open += 1
        seat.open += 1

    def closed(self, seat: Seat, now: float, served: bool, size: int = 0) -> None:
        self._open -= 1
        seat.open -= 1
        self._active -= seat.open == 0
        if not seat.open and not seat.unread:
            self._idle(seat, now)

    def unread(self, seat: Seat, change: int) -> None:
        seat.unread += change
        self._unread += change

    def read_out(self, seat: Seat, now: float) -> None:
        if not seat.open:
            self._idle(seat, now)

    def did(self, seat: Seat, act: Act, now: float) -> None:
        """Nothing follows: who did it cannot be told from others at its address."""

    def look(self, now: float, behind: float) -> Look:
        self._behind = behind
        return NOTHING

    def measured(self, cpu: float) -> None:
        """Costs are not counted here."""

    def visit(self, use: Use, host: str, now: float) -> Why:
        return Why.NONE if self.ledger.take(use) else Why.FULL

    def left(self, use: Use, host: str) -> None:
        self.ledger.give(use)

    def datagram(self, host: str, now: float) -> Response:
        return Response.ANSWER
