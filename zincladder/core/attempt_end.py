"""How connections and attempts end, and the outcome that the router is notified of for each end."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from zincladder.routing import interface as api


class EndReason(Enum):
    """Why a connection, or an attempt on a connection, ended.

    The value is the label in metrics, in `STATS` and in the fleet's counters.
    """

    SERVED = "served"  # a complete answer
    NOT_MODIFIED = "same"  # a complete answer: the client's cached copy is current
    MISS = "lacking"  # the endpoint has no suitable copy and was not to fill one
    REJECTED = "full"  # rejected by the endpoint or by its source
    SERVER_ERROR = "faulted"  # the endpoint answered with an error
    DEADLINE_EXCEEDED = "too_late"  # did not run: the deadline or the deduplication window had passed
    TIMED_OUT = "silent"  # no answer before the deadline of the attempt
    CONNECT_FAILED = "no_connection"  # the connection was refused or not established in time
    LOST_BEFORE_SEND = "not_written"  # the connection was lost or congested before a byte was written
    DRAINING = "turned"  # the endpoint or source stopped being ready between the decision and the send
    CONNECTION_LOST = "cut"  # the connection was lost after bytes of the request were written
    PROTOCOL_ERROR = "garbled"  # the peer violated its protocol; whether the request ran is unknown
    CANCELLED = "called_off"  # cancelled by the router or by the client
    CLOSED_BY_PEER = "closed"  # the peer closed a connection that had no open requests
    IDLE_CLOSED = "idle"  # this side closed an unused connection
    PEER_STALLED = "stalled"  # the peer sent part of a message and no more, or stopped reading


# REJECTED, UNREACHABLE, NOT_SENT and MISS mean that the request did not run. A reason may map to one of them
# only if no byte of the request was written, or the endpoint stated that it did not run. Otherwise a retry
# could run a write twice.
OUTCOME_OF_END: dict[EndReason, api.AttemptOutcome] = {
    EndReason.SERVED: api.AttemptOutcome.OK,
    EndReason.NOT_MODIFIED: api.AttemptOutcome.OK,
    EndReason.MISS: api.AttemptOutcome.MISS,
    EndReason.REJECTED: api.AttemptOutcome.REJECTED,
    EndReason.SERVER_ERROR: api.AttemptOutcome.ERROR,
    EndReason.DEADLINE_EXCEEDED: api.AttemptOutcome.NOT_SENT,
    EndReason.TIMED_OUT: api.AttemptOutcome.TIMED_OUT,
    EndReason.CONNECT_FAILED: api.AttemptOutcome.UNREACHABLE,
    EndReason.LOST_BEFORE_SEND: api.AttemptOutcome.UNREACHABLE,
    EndReason.DRAINING: api.AttemptOutcome.REJECTED,
    EndReason.CONNECTION_LOST: api.AttemptOutcome.RESET,
    EndReason.PROTOCOL_ERROR: api.AttemptOutcome.RESET,
    EndReason.CANCELLED: api.AttemptOutcome.CANCELLED,
    EndReason.CLOSED_BY_PEER: api.AttemptOutcome.RESET,
    EndReason.IDLE_CLOSED: api.AttemptOutcome.RESET,
    EndReason.PEER_STALLED: api.AttemptOutcome.RESET,
}


@dataclass(slots=True)
class AttemptEnd:
    """The end of one attempt, health check or connection, with the contents of the answer if there is one."""

    reason: EndReason
    body: bytes | bytearray = b""
    fill_outcome: api.FillOutcome = api.FillOutcome.NONE
    fill_wait: float = 0.0  # seconds that the endpoint waited for its source
    report: tuple[float, ...] = ()  # load report, in the order of the settings' report names
    fields: Mapping[str, str] = field(default_factory=dict)
    detail: str = ""  # text for log lines

    @property
    def outcome(self) -> api.AttemptOutcome:
        """The outcome that the router is notified of."""
        return OUTCOME_OF_END[self.reason]
