"""Decides when messages are read: at once while their lane has credit, otherwise in fair queueing order."""

from __future__ import annotations

from zincladder.admission.interface import TickResult
from zincladder.admission.loop_costs import REQUEST_SECONDS
from zincladder.admission.model import ConnectionSlot, Eviction, Offense, PriorityLane, RejectionReason
from zincladder.admission.reputation import Reputation
from zincladder.admission.state import AdmissionState

# A connection is evicted once its message has waited this long to be read; it has to be closed within 3 s.
MAX_WAIT_SECONDS = 2.0
# A source that has messages waiting for this long without a break sends more than its share.
OVERUSE_AFTER_SECONDS = 0.25
MIN_BREAK_SECONDS = 0.05  # a shorter time without a waiting message does not count as a break


class ReadControl:
    """Keeps the slots whose next message waits to be read.

    A waiting message stays in the kernel's receive buffer, so that TCP flow control stops a client that
    exceeds its share from sending.
    """

    def __init__(self, state: AdmissionState, reputation: Reputation) -> None:
        self._state, self._reputation = state, reputation
        # Each slot with the start of its wait, the longest wait first.
        self.waiting_slots: dict[ConnectionSlot, float] = {}

    def may_read(self, slot: ConnectionSlot, now: float) -> bool:
        """Return whether a message may be read now; if not, the slot is queued."""
        if slot in self.waiting_slots:
            return False
        source = slot.source
        lane = self._reputation.lane_of(source, now)
        if lane is not slot.lane:
            self._change_lane(slot, lane, now)
        self._reputation.record_loop_use(source, REQUEST_SECONDS, now)
        if self._state.read_queue.try_take(lane):
            return True
        slot.waiting_since = now
        self.waiting_slots[slot] = now
        if source.waiting_messages == 0 and now - source.last_waited_at > MIN_BREAK_SECONDS:
            source.waiting_since = now
        source.waiting_messages += 1
        self._state.counters.waits[lane] += 1
        self._state.read_queue.enqueue(slot)
        return False

    def _change_lane(self, slot: ConnectionSlot, lane: PriorityLane, now: float) -> None:
        state = self._state
        state.slots_by_lane[slot.lane] -= 1
        state.slots_by_lane[lane] += 1
        state.open_by_lane[slot.lane] -= slot.open_requests
        state.open_by_lane[lane] += slot.open_requests
        slot.lane = lane
        if slot.idle_list is not None:
            state.idle_slots.add(slot, now)

    def stop_waiting(self, slot: ConnectionSlot) -> None:
        """Remove a slot from the queue if it waits."""
        if self.waiting_slots.pop(slot, None) is not None:
            self._state.read_queue.remove(slot)
            slot.waiting_since = 0.0
            slot.source.waiting_messages -= 1

    def dispatch(self, result: TickResult, now: float) -> None:
        """Add to `result` the slots whose next message may be read now."""
        for slot in self._state.read_queue.dispatch(now, self._state.loop_lag):
            del self.waiting_slots[slot]
            source = slot.source
            slot.waiting_since, source.last_waited_at = 0.0, now
            source.waiting_messages -= 1
            if now - source.waiting_since > OVERUSE_AFTER_SECONDS:
                self._reputation.record_overuse(source, now)
            result.to_read.append(slot)

    def evict_overdue(self, result: TickResult, now: float) -> None:
        """Evict the slots whose message has waited too long, except those with an open request."""
        overdue = []
        for slot, waiting_since in self.waiting_slots.items():
            if now - waiting_since < MAX_WAIT_SECONDS:
                break
            if not slot.open_requests:
                overdue.append(slot)
        for slot in overdue:
            self.stop_waiting(slot)
            self._state.begin_eviction(slot)
            self._reputation.record_offense(slot.source, Offense.OVERUSE, now)
            result.to_evict.append(Eviction(slot, RejectionReason.READ_TIMEOUT))

    def restart_waiting(self, now: float) -> None:
        """Set the start of every wait to `now`, after the clock has stepped back."""
        self.waiting_slots = dict.fromkeys(self.waiting_slots, now)
