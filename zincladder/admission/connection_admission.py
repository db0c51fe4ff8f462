"""Admission without sources: even shares by connection, for a platform whose clients share addresses."""

from __future__ import annotations

from zincladder.admission.connection_slots import MIN_IDLE_SECONDS
from zincladder.admission.descriptor_budget import DescriptorBudget, DescriptorUse
from zincladder.admission.interface import ADMITTED, NOTHING_DUE, RequestBounds, TickResult
from zincladder.admission.model import (
    AdmissionCounters,
    ConnectionSlot,
    Decision,
    Offense,
    PriorityLane,
    RejectionReason,
    Source,
    Verdict,
)
from zincladder.admission.response_rate_limiter import DatagramVerdict

MAX_LOOP_LAG_SECONDS = 0.04  # seconds that the event loop may be late before new requests are refused at once


class ConnectionAdmission:
    """Connections wait in the system's queue while there is no room; requests past an even share are
    refused.
    """

    def __init__(self, bounds: RequestBounds, descriptors: DescriptorBudget) -> None:
        self.bounds, self.descriptors = bounds, descriptors
        self.counters = AdmissionCounters()
        self._nobody = Source(0)
        self._silent: dict[ConnectionSlot, float] = {}  # that owe nothing, the longest idle first
        self._spoken: dict[ConnectionSlot, float] = {}
        self._leaving = 0
        self._open = self._unread = self._active = 0
        self._behind = 0.0

    def may_accept(self, now: float) -> Decision:
        if self.descriptors.room(DescriptorUse.CLIENTS) > 0:
            return ADMITTED
        if self._leaving:  # its descriptor is free only once it is closed
            return Decision(Verdict.WAIT)
        # Guards the descriptors: whoever said nothing longest goes first, then whoever is idle longest. Not
        # one that has just come or just been answered, whose request may be on its way; nor one with a
        # request open, which would be lost.
        for row in (self._silent, self._spoken):
            for seat, since in row.items():
                if now - since > MIN_IDLE_SECONDS:
                    self._busy(seat)
                    seat.leaving = True
                    self._leaving += 1
                    self.counters.evicted[PriorityLane.NEW] += 1
                    return Decision(Verdict.WAIT, evict=seat)
                break
        return Decision(Verdict.WAIT, RejectionReason.NO_CAPACITY)

    def connect(self, host: str, now: float) -> Decision:
        return ADMITTED

    def open_slot(self, decision: Decision, now: float) -> ConnectionSlot:
        self.descriptors.force(DescriptorUse.CLIENTS)
        self.counters.admitted[PriorityLane.NEW] += 1
        seat = ConnectionSlot(self._nobody, PriorityLane.NEW, now)
        self._idle(seat, now)
        return seat

    def _idle(self, seat: ConnectionSlot, now: float) -> None:
        self._busy(seat)
        if seat.leaving:
            return
        seat.row = self._spoken if seat.spoke else self._silent
        seat.row[seat] = now

    def _busy(self, seat: ConnectionSlot) -> None:
        if seat.row is not None:
            del seat.row[seat]
            seat.row = None

    def release_slot(self, seat: ConnectionSlot, now: float) -> None:
        self.descriptors.give(DescriptorUse.CLIENTS)
        self._leaving -= seat.leaving
        self._busy(seat)
        self._unread -= seat.unread

    def cancel_eviction(self, seat: ConnectionSlot, now: float) -> None:
        if seat.leaving:
            seat.leaving = False
            self._leaving -= 1
            if not seat.open:
                self._idle(seat, now)

    def may_read(self, seat: ConnectionSlot, now: float) -> bool:
        return True

    def record_message(self, seat: ConnectionSlot, now: float) -> None:
        seat.spoke = True
        if seat.row is not None:
            self._idle(seat, now)

    def may_open(self, seat: ConnectionSlot, now: float) -> RejectionReason:
        """Past half of what may be open each client has an even share of the whole, and at least one."""
        seat.spoke = True
        why, most = RejectionReason.NONE, self.bounds.max_open
        if self._behind > MAX_LOOP_LAG_SECONDS:
            # Guards what is open against a rate past this front's part of a core: a refusal costs far less
            # than a request, and one that waits for its turn ends too late for anybody.
            why = RejectionReason.LOOP_LAGGING
        elif self._open >= most or self._unread > self.bounds.max_unread_bytes:
            why = RejectionReason.NO_CAPACITY
        elif self._open >= most / 2 and seat.open > 0 and seat.open >= most / max(1, self._active):
            why = RejectionReason.OVER_SHARE
        if why is not RejectionReason.NONE:
            self.counters.rejected_requests[why.value] = self.counters.rejected_requests.get(why.value, 0) + 1
            if seat.row is not None:
                self._idle(seat, now)
        return why

    def request_opened(self, seat: ConnectionSlot) -> None:
        self._busy(seat)
        self._active += seat.open == 0
        self._open += 1
        seat.open += 1

    def request_closed(self, seat: ConnectionSlot, now: float, served: bool, size: int = 0) -> None:
        self._open -= 1
        seat.open -= 1
        self._active -= seat.open == 0
        if not seat.open and not seat.unread:
            self._idle(seat, now)

    def add_unread_bytes(self, seat: ConnectionSlot, change: int) -> None:
        seat.unread += change
        self._unread += change

    def answers_read(self, seat: ConnectionSlot, now: float) -> None:
        if not seat.open:
            self._idle(seat, now)

    def record_offense(self, seat: ConnectionSlot, act: Offense, now: float) -> None:
        """Nothing follows: who did it cannot be told from others at its address."""

    def tick(self, now: float, behind: float) -> TickResult:
        self._behind = behind
        return NOTHING_DUE

    def record_cpu_seconds(self, cpu: float) -> None:
        """Costs are not counted here."""

    def open_connection(self, use: DescriptorUse, host: str, now: float) -> RejectionReason:
        return RejectionReason.NONE if self.descriptors.take(use) else RejectionReason.NO_CAPACITY

    def close_connection(self, use: DescriptorUse, host: str) -> None:
        self.descriptors.give(use)

    def judge_datagram(self, host: str, now: float) -> DatagramVerdict:
        return DatagramVerdict.ANSWER
