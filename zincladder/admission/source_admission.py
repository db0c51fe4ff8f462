"""Admission by source: puts the parts together that judge connections, reads and requests."""

from __future__ import annotations

from zincladder.admission.connection_control import ConnectionControl
from zincladder.admission.connection_rates import ConnectionRates
from zincladder.admission.descriptor_budget import DescriptorBudget
from zincladder.admission.interface import NOTHING_DUE, RequestBounds, TickResult
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

MAX_CLOCK_STEP_BACK_SECONDS = 0.5  # between two ticks, past which the clock counts as stepped back
IDLE_TICK_SECONDS = 0.03  # between two ticks that do something while nothing waits


class SourceAdmission:
    """Judges by source what each client may have; implements `Admission`.

    The methods that run for each connection and message are those of the parts, bound here without a call
    between: `interface.Admission` documents them.
    """

    def __init__(
        self,
        limits: AdmissionLimits,
        bounds: RequestBounds,
        descriptors: DescriptorBudget,
        seed: int = 0,
    ) -> None:
        """`seed` keeps clients from foreseeing which of them share a cell of the rates."""
        self._state = state = AdmissionState(limits, bounds, descriptors)
        self.bounds, self.descriptors, self.counters = bounds, descriptors, state.counters
        self.sources, self.read_queue, self.idle_slots = state.sources, state.read_queue, state.idle_slots
        self.slots_by_lane, self.open_by_lane = state.slots_by_lane, state.open_by_lane
        self._reputation = reputation = Reputation(state)
        self._rates = ConnectionRates(limits, seed)
        self._connections = connections = ConnectionControl(state, reputation, self._rates)
        self._reads = ReadControl(state, reputation)
        self._requests = requests = RequestControl(state, reputation)
        self._others = others = OtherListeners(state, reputation, self._rates, seed + 1)
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
        self.open_connection = others.open_connection
        self.close_connection = others.close_connection
        self.judge_datagram = others.judge_datagram
        self.top = report.top
        self.show = report.show

    @property
    def limits(self) -> AdmissionLimits:
        """The operator's limits."""
        return self._state.limits

    @property
    def open_requests(self) -> int:
        """Requests that are open."""
        return self._state.open_requests

    @property
    def unread_bytes(self) -> int:
        """Bytes of answers that clients have not read."""
        return self._state.unread_bytes

    # Operators -------------------------------------------------------------------------------------

    def apply_limits(self, limits: AdmissionLimits) -> None:
        """Change the limits; what is open past a lowered cap stays until it has been answered."""
        self._rates.apply_limits(limits)
        self._others.apply_limits(limits)
        self._state.apply_limits(limits)

    def block(self, net: str, until: float, now: float) -> int:
        """Block a network until a time.

        Returns:
            How many slots this ends at the next tick; busy ones end once they are answered.

        Raises:
            ValueError: `net` is no network, or too many are blocked.
        """
        state = self._state
        state.lists.block(net, until, now)
        blocked = [slot for slot in state.idle_slots if state.lists.is_blocked(slot.source.key, now)]
        for slot in blocked:
            state.evict_at_next_tick(slot, RejectionReason.BLOCKED)
        return len(blocked)

    def unblock(self, net: str) -> bool:
        """Take back a block by command; False if there was none on just this network."""
        was_blocked = self._state.lists.unblock(net)
        self._state.relist_sources()
        return was_blocked

    def trust(self, net: str) -> None:
        """List a network until the process ends, as if the operator's file named it.

        Raises:
            ValueError: `net` is no network, or too many are trusted.
        """
        self._state.lists.trust(net)
        self._state.relist_sources()

    # Slots ----------------------------------------------------------------------------------------

    def cancel_eviction(self, slot: ConnectionSlot, now: float) -> None:
        """Keep a connection that was chosen to make room, as it has sent something meanwhile."""
        slot.evicting = False
        if not (slot.open_requests or slot.unread_bytes or slot in self._reads.waiting):
            self.idle_slots.add(slot, now)

    def release_slot(self, slot: ConnectionSlot, now: float) -> None:
        """Take back the slot of a connection that was closed: its descriptor is free."""
        self._reads.stop_waiting(slot)
        if slot.unread_bytes:
            self.add_unread_bytes(slot, -slot.unread_bytes)
        self._connections.release_slot(slot, now)

    def record_offense(self, slot: ConnectionSlot, offense: Offense, now: float) -> None:
        """Count what a client did against its source."""
        self._reputation.record_offense(slot.source, offense, now)

    # The clock ------------------------------------------------------------------------------------

    def tick(self, now: float, loop_lag: float) -> TickResult:
        """Say whose turn it is and who has to leave; called every few milliseconds.

        `loop_lag` is the seconds by which the event loop runs late.
        """
        state = self._state
        if now < self._ticked_at - MAX_CLOCK_STEP_BACK_SECONDS:
            self._shift_times(self._ticked_at - now, now)
        state.loop_lag = loop_lag
        is_quiet = not (self._reads.waiting or state.evictions or self.descriptors.over)
        if is_quiet and 0.0 <= now - self._ticked_at < IDLE_TICK_SECONDS:
            return NOTHING_DUE
        self._ticked_at = now
        result = TickResult()
        self._reads.dispatch(result, now)
        self._reads.evict_overdue(result, now)
        self._evict_past_limit(result)
        result.to_evict += state.evictions
        state.evictions = []
        return result

    def _evict_past_limit(self, result: TickResult) -> None:
        """Evict as many idle slots as there are descriptors past a limit that was lowered."""
        for _ in range(self.descriptors.over):
            slot = self.idle_slots.first()
            if slot is None:
                break
            self._state.begin_eviction(slot)
            self.counters.evicted[slot.lane] += 1
            result.to_evict.append(Eviction(slot, RejectionReason.NO_DESCRIPTOR))

    def _shift_times(self, seconds: float, now: float) -> None:
        """Move what is recorded back with the clock.

        Guards against a step back: times that lay ahead of the clock would hold for as long as the step was.
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
