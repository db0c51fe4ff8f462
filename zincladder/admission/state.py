"""The state that is shared by the parts of admission by source."""

from __future__ import annotations

from zincladder.admission.connection_slots import IdleSlots
from zincladder.admission.descriptor_budget import DescriptorBudget
from zincladder.admission.fair_queue import WeightedFairQueue
from zincladder.admission.interface import RequestBounds
from zincladder.admission.model import (
    AdmissionCounters,
    AdmissionLimits,
    ConnectionSlot,
    Eviction,
    PriorityLane,
    RejectionReason,
)
from zincladder.admission.operator_lists import OperatorLists
from zincladder.admission.source_table import SourceTable

MAX_LIMITED_SLOTS = 4  # slots of one source under a penalty, which is limited but not banned
# The lanes as module constants: a decision looks up a dozen of them, and each look-up in the enum class costs
# 0.2 µs in Python 3.11.
LISTED, KNOWN, NEW, LIMITED = PriorityLane


class AdmissionState:
    """The current state of sources, slots and requests."""

    __slots__ = (
        "bounds",
        "busy_sources",
        "counters",
        "descriptors",
        "evictions",
        "idle_slots",
        "limits",
        "lists",
        "loop_lag",
        "open_by_lane",
        "open_requests",
        "read_queue",
        "slots_by_lane",
        "slots_by_network",
        "sources",
        "sources_with_slots",
        "unread_bytes",
    )

    def __init__(self, limits: AdmissionLimits, bounds: RequestBounds, descriptors: DescriptorBudget) -> None:
        self.limits, self.bounds, self.descriptors = limits, bounds, descriptors
        self.counters = AdmissionCounters()
        self.sources = SourceTable(limits.max_sources)
        self.lists = OperatorLists(limits)
        self.read_queue = WeightedFairQueue(limits.known_share, limits.new_share)
        self.idle_slots = IdleSlots()
        self.slots_by_lane = [0] * len(PriorityLane)
        self.open_by_lane = [0] * len(PriorityLane)
        self.slots_by_network: dict[int, int] = {}  # slots by network key, without entries of 0
        self.sources_with_slots = 0
        self.busy_sources = 0  # number of sources with an open request
        self.open_requests = 0
        self.unread_bytes = 0
        self.loop_lag = 0.0  # delay of the event loop at the last tick, in seconds
        self.evictions: list[Eviction] = []  # evictions that the next tick returns

    def apply_limits(self, limits: AdmissionLimits) -> None:
        """Change the limits; a lowered cap ends no connection or request that is already open."""
        self.limits = limits
        self.sources.max_sources = limits.max_sources
        self.read_queue.set_shares(limits.known_share, limits.new_share)
        self.lists.apply_limits(limits)
        self.refresh_listed_networks()

    def refresh_listed_networks(self) -> None:
        """Look up again in which listed network each source is, after the operator's lists have changed."""
        for source in self.sources:
            source.listed_network = self.lists.listed_networks.find(source.key)

    def begin_eviction(self, slot: ConnectionSlot) -> None:
        """Mark a slot as being evicted, so that it is not chosen again."""
        self.idle_slots.remove(slot)
        slot.evicting = True

    def evict_at_next_tick(self, slot: ConnectionSlot, reason: RejectionReason) -> None:
        """Evict an idle slot at the next tick."""
        self.begin_eviction(slot)
        self.evictions.append(Eviction(slot, reason))
