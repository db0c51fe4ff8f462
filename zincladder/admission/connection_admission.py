"""Admission by connection alone: even shares, for a platform whose clients share addresses."""

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

MAX_LOOP_LAG_SECONDS = 0.04  # past which new requests are rejected at once


class ConnectionAdmission:
    """Judges by connection alone; implements `Admission`.

    Connections wait in the system's queue while there is no room; requests past an even share are rejected.
    """

    def __init__(self, bounds: RequestBounds, descriptors: DescriptorBudget) -> None:
        self.bounds, self.descriptors = bounds, descriptors
        self.counters = AdmissionCounters()
        self._any_source = Source(0)
        # Slots that may be evicted, with the moment since when they are idle; the longest idle first.
        self._idle_unused: dict[ConnectionSlot, float] = {}  # whose client has sent nothing
        self._idle_used: dict[ConnectionSlot, float] = {}
        self._evicting = 0  # slots
        self._open_requests = self._unread_bytes = 0
        self._busy_slots = 0  # with a request open
        self._loop_lag = 0.0  # seconds

    def may_accept(self, now: float) -> Decision:
        """Whether there is a descriptor; else which idle connection is closed for one.

        Connections that have sent nothing go first, then the longest idle. Guards a connection that just
        came or was just answered, whose request may be on its way, and one with a request open, which
        would be lost.
        """
        if self.descriptors.room(DescriptorUse.CLIENTS) > 0:
            return ADMITTED
        if self._evicting:  # its descriptor is free only once it is closed
            return Decision(Verdict.WAIT)
        for idle in (self._idle_unused, self._idle_used):
            for slot, idle_since in idle.items():
                if now - idle_since > MIN_IDLE_SECONDS:
                    self._remove_idle(slot)
                    slot.evicting = True
                    self._evicting += 1
                    self.counters.evicted[PriorityLane.NEW] += 1
                    return Decision(Verdict.WAIT, evict=slot)
                break
        return Decision(Verdict.WAIT, RejectionReason.NO_CAPACITY)

    def connect(self, host: str, now: float) -> Decision:
        """Admit a connection: `may_accept` has judged it."""
        return ADMITTED

    def open_slot(self, decision: Decision, now: float) -> ConnectionSlot:
        """Give a connection its slot."""
        self.descriptors.force(DescriptorUse.CLIENTS)
        self.counters.admitted[PriorityLane.NEW] += 1
        slot = ConnectionSlot(self._any_source, PriorityLane.NEW, now)
        self._add_idle(slot, now)
        return slot

    def _add_idle(self, slot: ConnectionSlot, now: float) -> None:
        self._remove_idle(slot)
        if slot.evicting:
            return
        slot.idle_list = self._idle_used if slot.has_sent_message else self._idle_unused
        slot.idle_list[slot] = now

    def _remove_idle(self, slot: ConnectionSlot) -> None:
        if slot.idle_list is not None:
            del slot.idle_list[slot]
            slot.idle_list = None

    def release_slot(self, slot: ConnectionSlot, now: float) -> None:
        """Take back the slot of a connection that was closed."""
        self.descriptors.give(DescriptorUse.CLIENTS)
        self._evicting -= slot.evicting
        self._remove_idle(slot)
        self._unread_bytes -= slot.unread_bytes

    def cancel_eviction(self, slot: ConnectionSlot, now: float) -> None:
        """Keep a connection that was chosen to make room."""
        if slot.evicting:
            slot.evicting = False
            self._evicting -= 1
            if not slot.open_requests:
                self._add_idle(slot, now)

    def may_read(self, slot: ConnectionSlot, now: float) -> bool:
        """Read every message at once."""
        return True

    def record_message(self, slot: ConnectionSlot, now: float) -> None:
        """Count a message that was read and asks for no work."""
        slot.has_sent_message = True
        if slot.idle_list is not None:
            self._add_idle(slot, now)

    def may_open(self, slot: ConnectionSlot, now: float) -> RejectionReason:
        """Judge a request: past half of what may be open each client has an even share, and at least one.

        Guards the requests that are open against a rate past this process's part of a core: a rejection
        costs far less than a request, and a request that waits for its turn ends too late.
        """
        slot.has_sent_message = True
        reason, max_open = RejectionReason.NONE, self.bounds.max_open
        if self._loop_lag > MAX_LOOP_LAG_SECONDS:
            reason = RejectionReason.LOOP_LAGGING
        elif self._open_requests >= max_open or self._unread_bytes > self.bounds.max_unread_bytes:
            reason = RejectionReason.NO_CAPACITY
        elif (
            self._open_requests >= max_open / 2
            and slot.open_requests > 0
            and slot.open_requests >= max_open / max(1, self._busy_slots)
        ):
            reason = RejectionReason.OVER_SHARE
        if reason is not RejectionReason.NONE:
            rejected = self.counters.rejected_requests
            rejected[reason.value] = rejected.get(reason.value, 0) + 1
            if slot.idle_list is not None:
                self._add_idle(slot, now)
        return reason

    def request_opened(self, slot: ConnectionSlot) -> None:
        """Count a request that is worked on from now."""
        self._remove_idle(slot)
        self._busy_slots += slot.open_requests == 0
        self._open_requests += 1
        slot.open_requests += 1

    def request_closed(self, slot: ConnectionSlot, now: float, served: bool, size: int = 0) -> None:
        """Count a request that ended."""
        self._open_requests -= 1
        slot.open_requests -= 1
        self._busy_slots -= slot.open_requests == 0
        if not slot.open_requests and not slot.unread_bytes:
            self._add_idle(slot, now)

    def add_unread_bytes(self, slot: ConnectionSlot, change: int) -> None:
        """Count bytes of answers that the client has not read."""
        slot.unread_bytes += change
        self._unread_bytes += change

    def answers_read(self, slot: ConnectionSlot, now: float) -> None:
        """Note that a client has read all its answers."""
        if not slot.open_requests:
            self._add_idle(slot, now)

    def record_offense(self, slot: ConnectionSlot, offense: Offense, now: float) -> None:
        """Do nothing: the clients of one address cannot be distinguished."""

    def tick(self, now: float, loop_lag: float) -> TickResult:
        """Take in how late the event loop runs, in seconds; nothing is due."""
        self._loop_lag = loop_lag
        return NOTHING_DUE

    def record_cpu_seconds(self, cpu_seconds: float) -> None:
        """Do nothing: costs are not counted here."""

    def open_connection(self, use: DescriptorUse, host: str, now: float) -> RejectionReason:
        """Take a connection to another listener if there is a descriptor for it."""
        return RejectionReason.NONE if self.descriptors.take(use) else RejectionReason.NO_CAPACITY

    def close_connection(self, use: DescriptorUse, host: str) -> None:
        """Give back a connection to another listener."""
        self.descriptors.give(use)

    def judge_datagram(self, host: str, now: float) -> DatagramVerdict:
        """Answer every datagram."""
        return DatagramVerdict.ANSWER
