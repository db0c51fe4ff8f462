"""How connections and attempts end, and what each end means to the decision module."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, auto

from zincladder import interface as api


class How(Enum):
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
RESULTS: dict[How, api.Result] = {
    How.SERVED: api.Result.OK,
    How.SAME: api.Result.OK,
    How.LACKING: api.Result.MISS,
    How.FULL: api.Result.REFUSED,
    How.FAULTED: api.Result.ERROR,
    How.TOO_LATE: api.Result.UNSENT,
    How.SILENT: api.Result.TIMED_OUT,
    How.NO_CONNECTION: api.Result.UNREACHABLE,
    How.NOT_WRITTEN: api.Result.UNREACHABLE,
    How.TURNED: api.Result.REFUSED,
    How.CUT: api.Result.RESET,
    How.GARBLED: api.Result.RESET,
    How.CALLED_OFF: api.Result.CANCELLED,
    How.CLOSED: api.Result.RESET,
    How.IDLE: api.Result.RESET,
    How.STALLED: api.Result.RESET,
}


@dataclass(slots=True)
class End:
    """One end: how, and what came with it."""

    how: How
    body: bytes | bytearray = b""
    note: api.Note = api.Note.NONE
    fill_wait: float = 0.0  # seconds that the member waited for its source
    report: tuple[float, ...] = ()
    fields: Mapping[str, str] = field(default_factory=dict)
    why: str = ""

    @property
    def result(self) -> api.Result:
        return RESULTS[self.how]
