"""Decides which connections get a slot and which idle connection is evicted for a new one."""

from __future__ import annotations

from zincladder.admission.connection_rates import ConnectionRates
from zincladder.admission.descriptor_budget import DescriptorUse
from zincladder.admission.interface import ADMITTED
from zincladder.admission.loop_costs import ADMITTED_CONNECTION_SECONDS, REJECTED_CONNECTION_SECONDS
from zincladder.admission.model import (
    ConnectionSlot,
    Decision,
    ListedNetwork,
    Offense,
    PriorityLane,
    RejectionReason,
    Verdict,
)
from zincladder.admission.reputation import Reputation
from zincladder.admission.source_key import V4, V4_24, V6_48, key_of
from zincladder.admission.state import KNOWN, LIMITED, LISTED, MAX_LIMITED_SLOTS, NEW, AdmissionState

MAX_LIMITED_SLOTS_FRACTION = 0.1  # fraction of the slots that all sources under a penalty may have together
MIN_FAIR_SHARE = 4  # a source with this many slots or fewer is never over its fair share
# Enum members as module constants, because they are faster to look up (see `state`).
ADMIT, WAIT, REJECT = Verdict
NONE, NO_CAPACITY = RejectionReason.NONE, RejectionReason.NO_CAPACITY


class ConnectionControl:
    """Admits connections subject to blocked networks, caps, rates, the reserve and the descriptor budget."""

    def __init__(self, state: AdmissionState, reputation: Reputation, rates: ConnectionRates) -> None:
        self._state, self._reputation, self._rates = state, reputation, rates
        self._client_pool = state.descriptors.pools[DescriptorUse.CLIENTS]
        # Direct references to parts of the state, because `connect` runs for every connection of a flood.
        self._lists, self._sources = state.lists, state.sources
        self._descriptors, self._slots_by_lane = state.descriptors, state.slots_by_lane

    def may_accept(self, now: float) -> Decision:
        """Accept every connection, because its source is not known before it is accepted.

        A spare descriptor is kept so that a connection can be accepted and rejected when no other is left.
        """
        return ADMITTED

    def connect(self, host: str, now: float) -> Decision:
        """Decide whether a connection that was accepted from the kernel's queue is admitted.

        Raises:
            ValueError: `host` is not an address.
        """
        lists, sources = self._lists, self._sources
        key = key_of(host)
        source = sources.find(key)
        if source is None:
            listed_network = lists.listed_networks.find(key) if lists.has_listed_networks else None
            lane, slot_count = NEW if listed_network is None else LISTED, 0
        else:
            sources.record_access(source, now)
            lane, slot_count = self._reputation.lane_of(source, now), source.slot_count
            listed_network = source.listed_network
        if lists.has_blocked_networks and lists.is_blocked(key, now):
            return self._reject(key, lane, RejectionReason.BLOCKED)
        reason = self._exceeded_cap(key, lane, slot_count, listed_network)
        if reason is not None:
            return self._reject(key, lane, reason)
        if not self._rates.conforms(key, lane, listed_network, now):
            self._reputation.record_offense(source or sources.find_or_create(key, now), Offense.OVERUSE, now)
            return self._reject(key, lane, RejectionReason.RATE_LIMIT)
        return self._admit_or_evict(key, lane, slot_count, now)

    def reconsider(self, decision: Decision, now: float) -> Decision:
        """Decide again about a pending connection, without counting it against its rates again."""
        state, key, lane = self._state, decision.key, decision.lane
        source, slot_count = state.sources.find(key), 0
        if source is not None:
            lane, slot_count = self._reputation.lane_of(source, now), source.slot_count
        if state.lists.is_blocked(key, now):
            return self._reject(key, lane, RejectionReason.BLOCKED)
        reason = self._exceeded_cap(key, lane, slot_count, state.lists.listed_networks.find(key))
        if reason is not None:
            return self._reject(key, lane, reason)
        return self._admit_or_evict(key, lane, slot_count, now)

    def _exceeded_cap(
        self, key: int, lane: PriorityLane, slot_count: int, listed_network: ListedNetwork | None
    ) -> RejectionReason | None:
        """Return the cap that one more connection would exceed, or None."""
        limits = self._state.limits
        if lane is NEW:
            if slot_count >= limits.max_per_address:
                return RejectionReason.ADDRESS_CAP
            # The body of `network_key_of`, inlined because this runs for every connection of a flood.
            network_key = key >> 16 << 8 | V4_24 if key & 0xFF == V4 else key >> 24 << 8 | V6_48
            if self._state.slots_by_network.get(network_key, 0) >= limits.max_per_network:
                return RejectionReason.NETWORK_CAP
            return None
        if lane is KNOWN:
            max_slots = limits.max_known_per_address
        elif lane is LIMITED:
            max_slots = MAX_LIMITED_SLOTS
        else:
            max_slots = listed_network.connections if listed_network is not None else 0
        return RejectionReason.ADDRESS_CAP if max_slots and slot_count >= max_slots else None

    def _admit_or_evict(self, key: int, lane: PriorityLane, slot_count: int, now: float) -> Decision:
        """Admit a connection if a descriptor is available; otherwise choose a slot to evict for it.

        New and limited sources never get the slots that are reserved for known and listed sources.
        """
        state, pool = self._state, self._client_pool
        if lane >= NEW:
            max_slots = int(pool.max_used * (1 - state.limits.reserve))
            _, _, new, limited = self._slots_by_lane
            used = new + limited
            if lane is LIMITED and limited >= pool.max_used * MAX_LIMITED_SLOTS_FRACTION:
                return self._reject(key, lane, RejectionReason.RESERVED)
        else:
            max_slots, used = pool.max_used, pool.used
        if used < max_slots and self._descriptors.available_in(pool) > 0:
            return Decision(ADMIT, NONE, key, lane)
        fair_share = max(MIN_FAIR_SHARE, max_slots // max(1, state.sources_with_slots))
        if lane >= NEW and slot_count >= fair_share:
            return self._reject(key, lane, RejectionReason.RESERVED)
        evict = state.idle_slots.choose_victim(lane, now, fair_share)
        if evict is not None:
            state.begin_eviction(evict)
            state.counters.evicted[evict.lane] += 1
        # The connection waits even if there is no slot to evict: one may become free while it is pending.
        return Decision(WAIT, NO_CAPACITY, key, lane, evict)

    def _reject(self, key: int, lane: PriorityLane, reason: RejectionReason) -> Decision:
        # `_value_` instead of `value`, which costs a function call.
        label, rejected = reason._value_, self._state.counters.rejected_connections
        rejected[label] = rejected.get(label, 0) + 1
        self._state.read_queue.charge_shared(REJECTED_CONNECTION_SECONDS)
        return Decision(REJECT, reason, key, lane)

    def record_expired(self, decision: Decision) -> None:
        """Count a connection as rejected that was pending for too long, or found too many others pending."""
        rejected = self._state.counters.rejected_connections
        rejected[decision.reason.value] = rejected.get(decision.reason.value, 0) + 1

    def open_slot(self, decision: Decision, now: float) -> ConnectionSlot:
        """Create the slot of an admitted connection."""
        state, lane = self._state, decision.lane
        assert decision.verdict is ADMIT
        acquired = state.descriptors.acquire(DescriptorUse.CLIENTS)
        assert acquired, "no descriptor is available for an admitted connection"
        source = state.sources.find_or_create(decision.key, now)
        if state.lists.has_listed_networks:
            source.listed_network = state.lists.listed_networks.find(source.key)
        state.counters.admitted[lane] += 1
        state.slots_by_lane[lane] += 1
        state.sources_with_slots += source.slot_count == 0
        state.sources.add_slot(source)
        by_network = state.slots_by_network
        by_network[source.network_key] = by_network.get(source.network_key, 0) + 1
        state.read_queue.charge_shared(ADMITTED_CONNECTION_SECONDS)
        slot = ConnectionSlot(source, lane)
        state.idle_slots.add(slot, now)
        return slot

    def release_slot(self, slot: ConnectionSlot, now: float) -> None:
        """Release the slot of a closed connection, which must not be in the read queue any more."""
        state, source = self._state, slot.source
        state.descriptors.release(DescriptorUse.CLIENTS)
        state.idle_slots.remove(slot)
        state.slots_by_lane[slot.lane] -= 1
        remaining_in_network = state.slots_by_network[source.network_key] - 1
        if remaining_in_network:
            state.slots_by_network[source.network_key] = remaining_in_network
        else:
            del state.slots_by_network[source.network_key]
        lane = self._reputation.lane_of(source, now)
        state.sources.remove_slot(source, known=lane <= KNOWN, limited=lane is LIMITED)
        state.sources_with_slots -= source.slot_count == 0
