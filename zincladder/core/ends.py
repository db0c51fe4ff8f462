"""How connections and attempts end, and what each end means to the decision module."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, auto

from zincladder.routing import interface as api


class EndReason(Enum):
    """Every way in which a connection, or an attempt on one, can end."""

    SERVED = auto()  # a whole answer
    SAME = auto()  # a whole answer: the client's own copy is the one
    LACKING = auto()  # the member holds nothing suitable and fills nothing
    FULL = auto()  # turned away by the member or by its source
    FAULTED = auto()  # the member answered with an error
    TOO_LATE = auto()  # the member found the request over already, or its repeats are no longer dropped
    SILENT = auto()  # no answer in the time there was
    NO_CONNECTION = auto()  # refused, or not up in time
    NOT_WRITTEN = auto()  # the connection was lost, or judged too crowded, before a byte was written
    TURNED = auto()  # the member or source was told to drain between the decision and the send
    CUT = auto()  # the connection was lost with bytes of the request written
    GARBLED = auto()  # the peer broke its protocol; what ran before is not known
    CALLED_OFF = auto()  # given up by the router or by the client
    CLOSED = auto()  # a peer closed a connection that held nothing open
    IDLE = auto()  # this side closed a connection that nobody used
    STALLED = auto()  # a peer began a message and did not finish it, or does not read


# The one place where an end becomes the module's outcome. Claims that a request never ran (REFUSED,
# UNREACHABLE, UNSENT, MISS) stand only where that is proved: no byte written, or the member's own word.
RESULTS: dict[EndReason, api.AttemptOutcome] = {
    EndReason.SERVED: api.AttemptOutcome.OK,
    EndReason.SAME: api.AttemptOutcome.OK,
    EndReason.LACKING: api.AttemptOutcome.MISS,
    EndReason.FULL: api.AttemptOutcome.REJECTED,
    EndReason.FAULTED: api.AttemptOutcome.ERROR,
    EndReason.TOO_LATE: api.AttemptOutcome.NOT_SENT,
    EndReason.SILENT: api.AttemptOutcome.TIMED_OUT,
    EndReason.NO_CONNECTION: api.AttemptOutcome.UNREACHABLE,
    EndReason.NOT_WRITTEN: api.AttemptOutcome.UNREACHABLE,
    EndReason.TURNED: api.AttemptOutcome.REJECTED,
    EndReason.CUT: api.AttemptOutcome.RESET,
    EndReason.GARBLED: api.AttemptOutcome.RESET,
    EndReason.CALLED_OFF: api.AttemptOutcome.CANCELLED,
    EndReason.CLOSED: api.AttemptOutcome.RESET,
    EndReason.IDLE: api.AttemptOutcome.RESET,
    EndReason.STALLED: api.AttemptOutcome.RESET,
}


@dataclass(slots=True)
class AttemptEnd:
    """One end: how, and what came with it."""

    how: EndReason
    body: bytes | bytearray = b""
    fill_outcome: api.FillOutcome = api.FillOutcome.NONE
    fill_wait: float = 0.0  # seconds that the member waited for its source
    report: tuple[float, ...] = ()
    fields: Mapping[str, str] = field(default_factory=dict)
    why: str = ""

    @property
    def outcome(self) -> api.AttemptOutcome:
        return RESULTS[self.how]
