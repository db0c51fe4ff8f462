"""Which requests are worked on: shares of what may be open and unread, and of the loop's time."""

from __future__ import annotations

from math import log

from zincladder.admission.loop_costs import MESSAGE_SECONDS, REQUEST_SECONDS, SECONDS_PER_BYTE
from zincladder.admission.model import ConnectionSlot, RejectionReason
from zincladder.admission.reputation import LOOP_USE_HALF_LIFE_SECONDS, Reputation
from zincladder.admission.state import KNOWN, LIMITED, LISTED, NEW, AdmissionState

MAX_LOOP_LAG_SECONDS = 0.04  # past which sources over their share of the loop's time are rejected
MAX_LOOP_LAG_FOR_NEW_SECONDS = 0.25  # past which all new sources are
LARGE_ANSWER_BYTES = 16_384  # past which its sending is charged
UNUSED_SECONDS = MESSAGE_SECONDS - REQUEST_SECONDS  # charged for a message that brought no work
# Members by themselves: a look-up on the enum's class costs 0.2 µs in Python 3.11.
NONE, NO_CAPACITY, OVER_SHARE = (
    RejectionReason.NONE,
    RejectionReason.NO_CAPACITY,
    RejectionReason.OVER_SHARE,
)


class RequestControl:
    """Judges requests, and counts what is open and unread."""

    def __init__(self, state: AdmissionState, reputation: Reputation) -> None:
        self._state, self._reputation = state, reputation

    def record_message(self, slot: ConnectionSlot, now: float) -> None:
        """Count a message that was read and asks for no work."""
        self._give_back_unused(slot, now)
        if not slot.has_sent_message:
            slot.has_sent_message = True
        if slot.idle_list is not None:
            self._state.idle_slots.add(slot, now)

    def _give_back_unused(self, slot: ConnectionSlot, now: float) -> None:
        """Give back what a message cost less than was taken for it."""
        self._state.read_queue.charge(slot.lane, UNUSED_SECONDS)
        self._reputation.record_loop_use(slot.source, UNUSED_SECONDS, now)

    def may_open(self, slot: ConnectionSlot, now: float) -> RejectionReason:
        """Judge a request that was read: NONE if it may be worked on."""
        slot.has_sent_message = True
        reason = self._judge(slot)
        if reason is not NONE:
            rejected = self._state.counters.rejected_requests
            rejected[reason.value] = rejected.get(reason.value, 0) + 1
            self._give_back_unused(slot, now)
            self._reputation.record_overuse(slot.source, now)
            if slot.idle_list is not None:
                self._state.idle_slots.add(slot, now)
        return reason

    def _judge(self, slot: ConnectionSlot) -> RejectionReason:
        """Past half of what there is, each source has an even share; the reserve is for known sources."""
        state = self._state
        source, lane, bounds = slot.source, slot.lane, state.bounds
        available = 1.0 if lane <= KNOWN else 1.0 - state.limits.reserve
        max_open, max_unread = bounds.max_open * available, bounds.max_unread_bytes * available
        if state.open_requests >= bounds.max_open or state.unread_bytes >= bounds.max_unread_bytes:
            return NO_CAPACITY
        open_requests, unread_bytes = state.open_requests, state.unread_bytes
        if lane >= NEW:
            open_requests = state.open_by_lane[NEW] + state.open_by_lane[LIMITED]
        busy = max(2, state.busy_sources + (source.open_requests == 0))  # the next to come finds room too
        if open_requests >= max_open:
            return OVER_SHARE
        if (
            open_requests >= max_open / 2
            and source.open_requests > 0
            and source.open_requests >= max_open / busy
        ):
            return OVER_SHARE
        if (
            unread_bytes >= max_unread / 2
            and source.unread_bytes > 0
            and source.unread_bytes >= max_unread / (2 * busy)
        ):
            return OVER_SHARE
        if state.loop_lag > MAX_LOOP_LAG_SECONDS and lane is not LISTED:
            # What was read has been paid for, so the loop lags for another reason: the largest users yield.
            fair_use = LOOP_USE_HALF_LIFE_SECONDS / log(2) * state.read_queue.rate / busy
            too_late_for_new = lane is NEW and state.loop_lag > MAX_LOOP_LAG_FOR_NEW_SECONDS
            if lane is LIMITED or source.loop_seconds > fair_use or too_late_for_new:
                return RejectionReason.LOOP_LAGGING
        return NONE

    def request_opened(self, slot: ConnectionSlot) -> None:
        """Count a request that is worked on from now."""
        state, source = self._state, slot.source
        state.busy_sources += source.open_requests == 0
        source.open_requests += 1
        slot.open_requests += 1
        state.open_requests += 1
        state.open_by_lane[slot.lane] += 1
        state.idle_slots.remove(slot)

    def request_closed(self, slot: ConnectionSlot, now: float, served: bool, size: int = 0) -> None:
        """Count a request that ended, by an answer whose body has `size` bytes or without one."""
        state, source = self._state, slot.source
        if size > LARGE_ANSWER_BYTES:
            state.read_queue.charge(slot.lane, size * SECONDS_PER_BYTE)
        source.open_requests -= 1
        slot.open_requests -= 1
        state.open_requests -= 1
        state.open_by_lane[slot.lane] -= 1
        state.busy_sources -= source.open_requests == 0
        if served:
            self._reputation.record_served(source, now)
        self.answers_read(slot, now)

    def add_unread_bytes(self, slot: ConnectionSlot, change: int) -> None:
        """Count bytes of answers that the client has not read."""
        slot.unread_bytes += change
        slot.source.unread_bytes += change
        self._state.unread_bytes += change

    def answers_read(self, slot: ConnectionSlot, now: float) -> None:
        """Let a slot with nothing open or unread be evicted; it has to leave if it was blocked meanwhile."""
        if slot.open_requests or slot.unread_bytes:
            return
        state = self._state
        if state.lists.is_blocked(slot.source.key, now):
            state.evict_at_next_tick(slot, RejectionReason.BLOCKED)
            return
        state.idle_slots.add(slot, now)
