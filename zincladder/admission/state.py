"""The state that the parts of admission by source share."""

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

MAX_LIMITED_SLOTS = 4  # of one source under a penalty: it is limited, not banned
# The lanes by themselves: a look-up on the enum's class costs 0.2 µs in Python 3.11, and a decision needs a
# dozen.
LISTED, KNOWN, NEW, LIMITED = PriorityLane


class AdmissionState:
    """What is known of sources, slots and requests at this moment."""

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
        self.slots_by_network: dict[int, int] = {}  # by key of the network, where there are any
        self.sources_with_slots = 0
        self.busy_sources = 0  # with a request open
        self.open_requests = 0
        self.unread_bytes = 0
        self.loop_lag = 0.0  # seconds by which the event loop ran late at the last tick
        self.evictions: list[Eviction] = []  # to be returned by the next tick

    def apply_limits(self, limits: AdmissionLimits) -> None:
        """Change the limits; what is open past a lowered cap stays until it has been answered."""
        self.limits = limits
        self.sources.max_sources = limits.max_sources
        self.read_queue.set_shares(limits.known_share, limits.new_share)
        self.lists.apply_limits(limits)
        self.relist_sources()

    def relist_sources(self) -> None:
        """Look up which network each source belongs to, after the operator's lists have changed."""
        for source in self.sources:
            source.listed_as = self.lists.listed.find(source.key)

    def begin_eviction(self, slot: ConnectionSlot) -> None:
        """Mark an idle slot as leaving: it is chosen once, and no more may be evicted."""
        self.idle_slots.remove(slot)
        slot.evicting = True

    def evict_at_next_tick(self, slot: ConnectionSlot, reason: RejectionReason) -> None:
        """Evict a slot that nothing waits for."""
        self.begin_eviction(slot)
        self.evictions.append(Eviction(slot, reason))
