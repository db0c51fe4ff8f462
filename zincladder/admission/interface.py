"""What the listeners ask of admission, whether it judges by source (`Gate`) or lets all pass (`Plain`)."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from zincladder.admission.ledger import Ledger, Use
from zincladder.admission.model import Act, Decision, Seat, Tallies, Verdict, Why
from zincladder.admission.responses import Response


@dataclass(slots=True)
class Bounds:
    """What all clients together may hold; a reload may change it."""

    most_open: int
    most_unread: int


@dataclass(slots=True)
class Look:
    """What one look at the clock found: seats whose turn it is to be read, and seats to end."""

    wake: list[Seat] = field(default_factory=list)
    end: list[tuple[Seat, Why]] = field(default_factory=list)


TAKE, NOTHING = Decision(Verdict.ADMIT), Look()  # said so often that they are made once


class Admission(Protocol):
    """What the client side asks; `Gate` and `Plain` answer it."""

    bounds: Bounds
    ledger: Ledger
    tallies: Tallies

    def ready(self, now: float) -> Decision:
        """Before a connection is taken from the system's queue: may one be?"""

    def connect(self, host: str, now: float) -> Decision:
        """A connection has been taken."""

    def seat(self, decision: Decision, now: float) -> Seat:
        """An admitted connection is set up."""

    def gone(self, seat: Seat, now: float) -> None:
        """A connection has been closed: its descriptor is free."""

    def stays(self, seat: Seat, now: float) -> None:
        """A connection that was chosen to make room has something to say: it is not closed."""

    def may_read(self, seat: Seat, now: float) -> bool:
        """May a message be read? If not, the seat waits until `look` names it."""

    def told(self, seat: Seat, now: float) -> None:
        """A message that asks for no work was read."""

    def may_open(self, seat: Seat, now: float) -> Why:
        """A request was read: NONE if it may be worked on, else why it is refused."""

    def opened(self, seat: Seat) -> None: ...

    def closed(self, seat: Seat, now: float, served: bool, size: int = 0) -> None:
        """A request has ended, by an answer whose body has `size` bytes or without."""

    def unread(self, seat: Seat, change: int) -> None:
        """Bytes of answers that wait to be read by the client: more or less of them."""

    def read_out(self, seat: Seat, now: float) -> None:
        """A client has read all its answers."""

    def did(self, seat: Seat, act: Act, now: float) -> None: ...

    def look(self, now: float, behind: float) -> Look: ...

    def measured(self, cpu: float) -> None:
        """The process's time since the last call, in seconds."""

    def visit(self, use: Use, host: str, now: float) -> Why:
        """A connection to another listener than the clients': NONE if it is taken, to be given back by
        `left`.
        """

    def left(self, use: Use, host: str) -> None: ...

    def datagram(self, host: str, now: float) -> Response:
        """What the sender of one more datagram gets."""
