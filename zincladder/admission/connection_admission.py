"""Admission by connection, for platforms whose clients share addresses.

Open requests are shared equally among connections, whatever their addresses.
"""

from __future__ import annotations

from zincladder.admission.connection_slots import MIN_IDLE_SECONDS
from zincladder.admission.descriptor_budget import DescriptorBudget, DescriptorUse
from zincladder.admission.interface import ADMITTED, EMPTY_TICK_RESULT, RequestBounds, TickResult
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

MAX_LOOP_LAG_SECONDS = 0.04  # above this delay of the event loop, new requests are rejected


class ConnectionAdmission:
    """Implements `Admission` without regard to source addresses.

    While there is no descriptor left, connections wait in the kernel's accept queue. While many requests
    are open, further requests of a connection that already has an equal share are rejected (see `may_open`).
    """

    def __init__(self, bounds: RequestBounds, descriptors: DescriptorBudget) -> None:
        self.bounds, self.descriptors = bounds, descriptors
        self.counters = AdmissionCounters()
        self._shared_source = Source(0)
        # Slots that may be evicted, each with the time at which it became idle; the longest idle comes first.
        self._idle_unused: dict[ConnectionSlot, float] = {}  # slots whose client has sent nothing
        self._idle_used: dict[ConnectionSlot, float] = {}
        self._evicting_count = 0
        self._open_requests = self._unread_bytes = 0
        self._busy_slots = 0  # number of slots with an open request
        self._loop_lag = 0.0  # seconds

    def may_accept(self, now: float) -> Decision:
        """Decide whether a descriptor is available for a connection; if not, choose an idle one to evict.

        Connections that have sent nothing are evicted first, then the one that has been idle longest. A
        connection that was just opened or answered is not evicted, because its next request may be on its
        way. Nor is one with an open request, because that request would be lost.
        """
        if self.descriptors.available(DescriptorUse.CLIENTS) > 0:
            return ADMITTED
        if self._evicting_count:  # a descriptor becomes free once an evicted connection has closed
            return Decision(Verdict.WAIT)
        for idle in (self._idle_unused, self._idle_used):
            for slot, idle_since in idle.items():
                if now - idle_since > MIN_IDLE_SECONDS:
                    self._remove_idle(slot)
                    slot.evicting = True
                    self._evicting_count += 1
                    self.counters.evicted[PriorityLane.NEW] += 1
                    return Decision(Verdict.WAIT, evict=slot)
                break
        return Decision(Verdict.WAIT, RejectionReason.NO_CAPACITY)

    def connect(self, host: str, now: float) -> Decision:
        """Admit every connection: `may_accept` has decided already."""
        return ADMITTED

    def open_slot(self, decision: Decision, now: float) -> ConnectionSlot:
        """Create the slot of a connection and count its descriptor."""
        self.descriptors.force_acquire(DescriptorUse.CLIENTS)
        self.counters.admitted[PriorityLane.NEW] += 1
        slot = ConnectionSlot(self._shared_source, PriorityLane.NEW)
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
        """Release the slot of a connection that was closed."""
        self.descriptors.release(DescriptorUse.CLIENTS)
        self._evicting_count -= slot.evicting
        self._remove_idle(slot)
        self._unread_bytes -= slot.unread_bytes

    def cancel_eviction(self, slot: ConnectionSlot, now: float) -> None:
        """Keep a connection that was chosen for eviction."""
        if slot.evicting:
            slot.evicting = False
            self._evicting_count -= 1
            if not slot.open_requests:
                self._add_idle(slot, now)

    def may_read(self, slot: ConnectionSlot, now: float) -> bool:
        """Allow every message to be read at once."""
        return True

    def record_message(self, slot: ConnectionSlot, now: float) -> None:
        """Record a message that was read and does not open a request."""
        slot.has_sent_message = True
        if slot.idle_list is not None:
            self._add_idle(slot, now)

    def may_open(self, slot: ConnectionSlot, now: float) -> RejectionReason:
        """Decide whether a request may be opened; NONE means that it may.

        Once half of the allowed open requests are in use, each connection is limited to an equal share, which
        is at least one request. The excess is rejected to protect the open requests when more arrive than
        this process can serve with its part of a CPU core: a rejection costs far less than a request, and a
        request that had to wait would miss its deadline.
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
        """Count a request as open."""
        self._remove_idle(slot)
        self._busy_slots += slot.open_requests == 0
        self._open_requests += 1
        slot.open_requests += 1

    def request_closed(self, slot: ConnectionSlot, now: float, served: bool, size: int = 0) -> None:
        """Count a request as closed."""
        self._open_requests -= 1
        slot.open_requests -= 1
        self._busy_slots -= slot.open_requests == 0
        if not slot.open_requests and not slot.unread_bytes:
            self._add_idle(slot, now)

    def add_unread_bytes(self, slot: ConnectionSlot, change: int) -> None:
        """Add `change`, which may be negative, to the answer bytes that the client has not read."""
        slot.unread_bytes += change
        self._unread_bytes += change

    def answers_read(self, slot: ConnectionSlot, now: float) -> None:
        """Make the slot evictable if it has no open request, as the client has read all its answers."""
        if not slot.open_requests:
            self._add_idle(slot, now)

    def record_offense(self, slot: ConnectionSlot, offense: Offense, now: float) -> None:
        """Do nothing, because clients that share an address cannot be distinguished."""

    def tick(self, now: float, loop_lag: float) -> TickResult:
        """Record the delay of the event loop in seconds; return an empty result."""
        self._loop_lag = loop_lag
        return EMPTY_TICK_RESULT

    def record_cpu_seconds(self, cpu_seconds: float) -> None:
        """Do nothing, because admission by connection does not use costs."""

    def open_connection(self, use: DescriptorUse, host: str, now: float) -> RejectionReason:
        """Admit a connection to a listener that does not serve clients if a descriptor is available."""
        return RejectionReason.NONE if self.descriptors.acquire(use) else RejectionReason.NO_CAPACITY

    def close_connection(self, use: DescriptorUse, host: str) -> None:
        """Release the descriptor of a connection to a listener that does not serve clients."""
        self.descriptors.release(use)

    def judge_datagram(self, host: str, now: float) -> DatagramVerdict:
        """Answer every datagram."""
        return DatagramVerdict.ANSWER
