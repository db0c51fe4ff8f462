"""Admission by source: combines the parts that control connections, reads and requests."""

from __future__ import annotations

from zincladder.admission.connection_control import ConnectionControl
from zincladder.admission.connection_rates import ConnectionRates
from zincladder.admission.descriptor_budget import DescriptorBudget
from zincladder.admission.interface import EMPTY_TICK_RESULT, RequestBounds, TickResult
from zincladder.admission.model import (
    AdmissionLimits,
    ConnectionSlot,
    Eviction,
    Offense,
    RejectionReason,
)
from zincladder.admission.other_listeners import OtherListeners
from zincladder.admission.read_control import ReadControl
from zincladder.admission.reputation import Reputation
from zincladder.admission.request_control import RequestControl
from zincladder.admission.source_report import SourceReport
from zincladder.admission.state import AdmissionState

# If the clock goes back by more than this between two ticks, recorded times are shifted.
MAX_CLOCK_STEP_BACK_SECONDS = 0.5
# While no read or eviction waits, a tick sooner than this after the last complete one does nothing.
MIN_IDLE_TICK_INTERVAL_SECONDS = 0.03


class SourceAdmission:
    """Implements `Admission` with limits for each source.

    The methods that run for each connection and message are bound methods of the parts, assigned as
    attributes to avoid an extra call. They are documented in `interface.Admission`.
    """

    def __init__(
        self,
        limits: AdmissionLimits,
        bounds: RequestBounds,
        descriptors: DescriptorBudget,
        seed: int = 0,
    ) -> None:
        """`seed` keeps clients from predicting which addresses share a cell of the rate limiter."""
        self._state = state = AdmissionState(limits, bounds, descriptors)
        self.bounds, self.descriptors, self.counters = bounds, descriptors, state.counters
        self.sources, self.read_queue, self.idle_slots = state.sources, state.read_queue, state.idle_slots
        self.slots_by_lane, self.open_by_lane = state.slots_by_lane, state.open_by_lane
        self._reputation = reputation = Reputation(state)
        self._rates = ConnectionRates(limits, seed)
        self._connections = connections = ConnectionControl(state, reputation, self._rates)
        self._reads = ReadControl(state, reputation)
        self._requests = requests = RequestControl(state, reputation)
        self._other_listeners = other_listeners = OtherListeners(state, reputation, self._rates, seed + 1)
        report = SourceReport(state, reputation)
        self._ticked_at = float("-inf")

        self.lane_of = reputation.lane_of
        self.may_accept = connections.may_accept
        self.connect = connections.connect
        self.reconsider = connections.reconsider
        self.record_expired = connections.record_expired
        self.open_slot = connections.open_slot
        self.may_read = self._reads.may_read
        self.record_message = requests.record_message
        self.may_open = requests.may_open
        self.request_opened = requests.request_opened
        self.request_closed = requests.request_closed
        self.add_unread_bytes = requests.add_unread_bytes
        self.answers_read = requests.answers_read
        self.record_cpu_seconds = state.read_queue.calibrate
        self.open_connection = other_listeners.open_connection
        self.close_connection = other_listeners.close_connection
        self.judge_datagram = other_listeners.judge_datagram
        self.top = report.top
        self.show = report.show

    @property
    def limits(self) -> AdmissionLimits:
        """The limits that the operator has set."""
        return self._state.limits

    @property
    def open_requests(self) -> int:
        """The number of open requests."""
        return self._state.open_requests

    @property
    def unread_bytes(self) -> int:
        """The number of answer bytes that clients have not read."""
        return self._state.unread_bytes

    # Operators' commands and reloads ---------------------------------------------------------------

    def apply_limits(self, limits: AdmissionLimits) -> None:
        """Change the limits; a lowered cap ends no connection or request that is already open."""
        self._rates.apply_limits(limits)
        self._other_listeners.apply_limits(limits)
        self._state.apply_limits(limits)

    def block(self, net: str, until: float, now: float) -> int:
        """Block a network until the time `until`.

        Returns:
            The number of idle slots that are evicted at the next tick. Busy slots of the network are evicted
            after their requests have been answered.

        Raises:
            ValueError: `net` is not a network, or too many networks are blocked already.
        """
        state = self._state
        state.lists.block(net, until, now)
        blocked = [slot for slot in state.idle_slots if state.lists.is_blocked(slot.source.key, now)]
        for slot in blocked:
            state.evict_at_next_tick(slot, RejectionReason.BLOCKED)
        return len(blocked)

    def unblock(self, net: str) -> bool:
        """Remove a block by command; return False if there was none of exactly this network."""
        was_blocked = self._state.lists.unblock(net)
        self._state.refresh_listed_networks()
        return was_blocked

    def trust(self, net: str) -> None:
        """List a network until the process ends, as if it were listed in the operator's file.

        Raises:
            ValueError: `net` is not a network, or too many networks are trusted already.
        """
        self._state.lists.trust(net)
        self._state.refresh_listed_networks()

    # Slots ----------------------------------------------------------------------------------------

    def cancel_eviction(self, slot: ConnectionSlot, now: float) -> None:
        """Keep a connection that was chosen for eviction, because a message has arrived on it since."""
        slot.evicting = False
        if not (slot.open_requests or slot.unread_bytes or slot in self._reads.waiting_slots):
            self.idle_slots.add(slot, now)

    def release_slot(self, slot: ConnectionSlot, now: float) -> None:
        """Release the slot and the descriptor of a connection that was closed."""
        self._reads.stop_waiting(slot)
        if slot.unread_bytes:
            self.add_unread_bytes(slot, -slot.unread_bytes)
        self._connections.release_slot(slot, now)

    def record_offense(self, slot: ConnectionSlot, offense: Offense, now: float) -> None:
        """Record an offense of the source of a slot."""
        self._reputation.record_offense(slot.source, offense, now)

    # Ticks ----------------------------------------------------------------------------------------

    def tick(self, now: float, loop_lag: float) -> TickResult:
        """Return the slots to read from and those to evict; called every few milliseconds.

        `loop_lag` is the delay of the event loop in seconds.
        """
        state = self._state
        if now < self._ticked_at - MAX_CLOCK_STEP_BACK_SECONDS:
            self._shift_times(self._ticked_at - now, now)
        state.loop_lag = loop_lag
        is_idle = not (self._reads.waiting_slots or state.evictions or self.descriptors.excess)
        if is_idle and 0.0 <= now - self._ticked_at < MIN_IDLE_TICK_INTERVAL_SECONDS:
            return EMPTY_TICK_RESULT
        self._ticked_at = now
        result = TickResult()
        self._reads.dispatch(result, now)
        self._reads.evict_overdue(result, now)
        self._evict_past_limit(result)
        result.to_evict += state.evictions
        state.evictions = []
        return result

    def _evict_past_limit(self, result: TickResult) -> None:
        """Evict as many idle slots as there are descriptors in use above a lowered limit."""
        for _ in range(self.descriptors.excess):
            slot = self.idle_slots.choose_any_victim()
            if slot is None:
                break
            self._state.begin_eviction(slot)
            self.counters.evicted[slot.lane] += 1
            result.to_evict.append(Eviction(slot, RejectionReason.NO_DESCRIPTOR))

    def _shift_times(self, seconds: float, now: float) -> None:
        """Shift recorded times after the clock has stepped back by `seconds`.

        Otherwise recorded times would lie in the future, and penalties and intervals would last longer by the
        length of the step.
        """
        self._rates.clear()
        for source in self.sources:
            source.loop_seconds_at -= seconds
            source.reputation_at -= seconds
            source.strikes_at -= seconds
            source.penalty_level_at -= seconds
            source.last_earned_at -= seconds
            source.last_overuse_at -= seconds
            source.penalty_until -= seconds
        for slot in list(self.idle_slots):
            self.idle_slots.add(slot, now)
        self._reads.restart_waiting(now)
