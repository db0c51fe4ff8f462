"""Decides which requests are opened, by fair shares of open requests, unread bytes and event loop time."""

from __future__ import annotations

from math import log

from zincladder.admission.loop_costs import REJECTED_MESSAGE_SECONDS, REQUEST_SECONDS, SECONDS_PER_SENT_BYTE
from zincladder.admission.model import ConnectionSlot, RejectionReason
from zincladder.admission.reputation import LOOP_USE_HALF_LIFE_SECONDS, Reputation
from zincladder.admission.state import KNOWN, LIMITED, LISTED, NEW, AdmissionState

MAX_LOOP_LAG_SECONDS = 0.04  # above this, sources that exceed their share of loop time are rejected
MAX_LOOP_LAG_FOR_NEW_SECONDS = 0.25  # above this, all sources in the NEW lane are rejected
LARGE_ANSWER_BYTES = 16_384  # sending an answer larger than this is charged separately
# Charged for a message that opened no request; negative, as the cost of a request was charged in advance.
UNUSED_COST_SECONDS = REJECTED_MESSAGE_SECONDS - REQUEST_SECONDS
# Enum members as module constants, because they are faster to look up (see `state`).
NONE, NO_CAPACITY, OVER_SHARE = (
    RejectionReason.NONE,
    RejectionReason.NO_CAPACITY,
    RejectionReason.OVER_SHARE,
)


class RequestControl:
    """Decides which requests may be opened, and counts open requests and unread bytes."""

    def __init__(self, state: AdmissionState, reputation: Reputation) -> None:
        self._state, self._reputation = state, reputation

    def record_message(self, slot: ConnectionSlot, now: float) -> None:
        """Record a message that was read and does not open a request."""
        self._refund_unused_cost(slot, now)
        if not slot.has_sent_message:
            slot.has_sent_message = True
        if slot.idle_list is not None:
            self._state.idle_slots.add(slot, now)

    def _refund_unused_cost(self, slot: ConnectionSlot, now: float) -> None:
        """Refund the difference between the cost of a request, charged in advance, and that of a message."""
        self._state.read_queue.charge(slot.lane, UNUSED_COST_SECONDS)
        self._reputation.record_loop_use(slot.source, UNUSED_COST_SECONDS, now)

    def may_open(self, slot: ConnectionSlot, now: float) -> RejectionReason:
        """Decide whether a request that was read may be opened; NONE means that it may."""
        slot.has_sent_message = True
        reason = self._judge(slot)
        if reason is not NONE:
            rejected = self._state.counters.rejected_requests
            rejected[reason.value] = rejected.get(reason.value, 0) + 1
            self._refund_unused_cost(slot, now)
            self._reputation.record_overuse(slot.source, now)
            if slot.idle_list is not None:
                self._state.idle_slots.add(slot, now)
        return reason

    def _judge(self, slot: ConnectionSlot) -> RejectionReason:
        """Return why a request may not be opened, or NONE.

        Once half of the allowed open requests are in use, each source is limited to an equal share of them.
        Once half of the allowed unread bytes are in use, it is limited to half an equal share of those. The
        reserve is available to known and listed sources only.
        """
        state = self._state
        source, lane, bounds = slot.source, slot.lane, state.bounds
        available = 1.0 if lane <= KNOWN else 1.0 - state.limits.reserve
        max_open, max_unread = bounds.max_open * available, bounds.max_unread_bytes * available
        if state.open_requests >= bounds.max_open or state.unread_bytes >= bounds.max_unread_bytes:
            return NO_CAPACITY
        open_requests, unread_bytes = state.open_requests, state.unread_bytes
        if lane >= NEW:
            open_requests = state.open_by_lane[NEW] + state.open_by_lane[LIMITED]
        # Shares are computed for at least two sources, so that one source leaves room for the next.
        sharing_sources = max(2, state.busy_sources + (source.open_requests == 0))
        if open_requests >= max_open:
            return OVER_SHARE
        if (
            open_requests >= max_open / 2
            and source.open_requests > 0
            and source.open_requests >= max_open / sharing_sources
        ):
            return OVER_SHARE
        if (
            unread_bytes >= max_unread / 2
            and source.unread_bytes > 0
            and source.unread_bytes >= max_unread / (2 * sharing_sources)
        ):
            return OVER_SHARE
        if state.loop_lag > MAX_LOOP_LAG_SECONDS and lane is not LISTED:
            # Reads are limited by their cost already, so the loop lags for another reason. The sources that
            # use the most loop time are rejected first.
            fair_use = LOOP_USE_HALF_LIFE_SECONDS / log(2) * state.read_queue.rate / sharing_sources
            too_late_for_new = lane is NEW and state.loop_lag > MAX_LOOP_LAG_FOR_NEW_SECONDS
            if lane is LIMITED or source.loop_seconds > fair_use or too_late_for_new:
                return RejectionReason.LOOP_LAGGING
        return NONE

    def request_opened(self, slot: ConnectionSlot) -> None:
        """Count a request as open."""
        state, source = self._state, slot.source
        state.busy_sources += source.open_requests == 0
        source.open_requests += 1
        slot.open_requests += 1
        state.open_requests += 1
        state.open_by_lane[slot.lane] += 1
        state.idle_slots.remove(slot)

    def request_closed(self, slot: ConnectionSlot, now: float, served: bool, size: int = 0) -> None:
        """Count a request as closed.

        `size` is the length of the answer's body in bytes, or 0 if there was none.
        """
        state, source = self._state, slot.source
        if size > LARGE_ANSWER_BYTES:
            state.read_queue.charge(slot.lane, size * SECONDS_PER_SENT_BYTE)
        source.open_requests -= 1
        slot.open_requests -= 1
        state.open_requests -= 1
        state.open_by_lane[slot.lane] -= 1
        state.busy_sources -= source.open_requests == 0
        if served:
            self._reputation.record_served(source, now)
        self.answers_read(slot, now)

    def add_unread_bytes(self, slot: ConnectionSlot, change: int) -> None:
        """Add `change`, which may be negative, to the answer bytes that the client has not read."""
        slot.unread_bytes += change
        slot.source.unread_bytes += change
        self._state.unread_bytes += change

    def answers_read(self, slot: ConnectionSlot, now: float) -> None:
        """Make a slot without open requests or unread bytes evictable; evict it if its source is blocked."""
        if slot.open_requests or slot.unread_bytes:
            return
        state = self._state
        if state.lists.is_blocked(slot.source.key, now):
            state.evict_at_next_tick(slot, RejectionReason.BLOCKED)
            return
        state.idle_slots.add(slot, now)
