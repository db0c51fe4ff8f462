"""Chooses the idle connection that is evicted when there is no free slot."""

from __future__ import annotations

from collections.abc import Iterator

from zincladder.admission.model import ConnectionSlot, PriorityLane

# A connection is not evicted for this long after it was opened or answered: a request may be on its way.
MIN_IDLE_SECONDS = 0.1


class IdleSlots:
    """The slots that may be evicted, in two lists per lane: those whose client has sent nothing, and others.

    In each lane, connections that have sent nothing are evicted first. Each list is ordered by idle time,
    longest first: if its first slot has not been idle for long enough, no other has. Only the first slot of
    each list is examined. A slot with an open request or an unread answer is in no list and is never evicted.
    """

    def __init__(self) -> None:
        # Indexed by lane and `has_sent_message`; each dict maps a slot to the time at which it became idle.
        self._by_lane: list[tuple[dict[ConnectionSlot, float], dict[ConnectionSlot, float]]] = [
            ({}, {}) for _ in PriorityLane
        ]
        self._eviction_order = [
            (lane, idle) for lane in reversed(PriorityLane) for idle in self._by_lane[lane]
        ]

    def add(self, slot: ConnectionSlot, now: float) -> None:
        """Add a slot that becomes idle now; if it is in a list already, its idle time starts again."""
        if slot.evicting:
            return
        idle = self._by_lane[slot.lane][slot.has_sent_message]
        if slot.idle_list is not None:
            del slot.idle_list[slot]
        idle[slot] = now
        slot.idle_list = idle

    def remove(self, slot: ConnectionSlot) -> None:
        """Remove a slot that is no longer idle or whose connection is closed, if it is in a list."""
        if slot.idle_list is not None:
            del slot.idle_list[slot]
            slot.idle_list = None

    def choose_victim(self, lane: PriorityLane, now: float, fair_share: int) -> ConnectionSlot | None:
        """Return the slot to evict for a new connection in `lane`, or None if no slot may be evicted for it.

        Slots in lanes with a higher value are evicted first. A slot in `lane` itself is evicted only if its
        client has sent nothing or if its source has more than `fair_share` slots. Slots in lanes with a lower
        value are not evicted.
        """
        for other_lane, idle in self._eviction_order:
            if other_lane < lane:
                return None
            for slot, idle_since in idle.items():
                if now - idle_since < MIN_IDLE_SECONDS:
                    break
                if other_lane > lane or not slot.has_sent_message or slot.source.slot_count > fair_share:
                    return slot
                break  # only the first slot of each list is examined
        return None

    def choose_any_victim(self) -> ConnectionSlot | None:
        """Return the slot to evict after the descriptor limit was lowered, without a minimum idle time."""
        for _, idle in self._eviction_order:
            for slot in idle:
                return slot
        return None

    def __iter__(self) -> Iterator[ConnectionSlot]:
        for _, idle in self._eviction_order:
            yield from idle

    def __len__(self) -> int:
        return sum(len(idle) for _, idle in self._eviction_order)
