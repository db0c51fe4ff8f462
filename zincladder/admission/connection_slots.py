"""Which connection is closed when room is needed: one that is idle, by its lane and what it has sent."""

from __future__ import annotations

from collections.abc import Iterator

from zincladder.admission.model import ConnectionSlot, PriorityLane

# For so long a connection is not evicted after it came or was answered: a request may be on its way.
MIN_IDLE_SECONDS = 0.1


class IdleSlots:
    """Slots that may be evicted: by lane, and connections that have sent nothing before the others.

    Each list begins with the slot that has been idle longest, so a choice looks at the first of each list
    alone. A slot with an open request or an unread answer is in no list: it is never evicted.
    """

    def __init__(self) -> None:
        # By lane, and within it by `has_sent_message`: the slots with the moment since when they are idle.
        self._by_lane: list[tuple[dict[ConnectionSlot, float], dict[ConnectionSlot, float]]] = [
            ({}, {}) for _ in PriorityLane
        ]
        self._in_order = [(lane, idle) for lane in reversed(PriorityLane) for idle in self._by_lane[lane]]

    def add(self, slot: ConnectionSlot, now: float) -> None:
        """Put a slot last: it is idle from now, or has just been used."""
        if slot.evicting:
            return
        idle = self._by_lane[slot.lane][slot.has_sent_message]
        if slot.idle_list is not None:
            del slot.idle_list[slot]
        idle[slot] = now
        slot.idle_list = idle

    def remove(self, slot: ConnectionSlot) -> None:
        """Take out a slot that has something open, or whose connection is closed."""
        if slot.idle_list is not None:
            del slot.idle_list[slot]
            slot.idle_list = None

    def choose(self, lane: PriorityLane, now: float, fair_share: int) -> ConnectionSlot | None:
        """The slot that makes room for a newcomer of a lane; None if none may be evicted for it.

        Higher lanes are evicted first. Of its own lane a connection that has sent nothing is evicted, and
        of the others only one whose source has more than `fair_share` slots.
        """
        for other_lane, idle in self._in_order:
            if other_lane < lane:
                return None
            for slot, idle_since in idle.items():
                if now - idle_since < MIN_IDLE_SECONDS:
                    break
                if other_lane > lane or not slot.has_sent_message or slot.source.slot_count > fair_share:
                    return slot
                break  # only the first of a list is looked at
        return None

    def first(self) -> ConnectionSlot | None:
        """The slot to evict after the limit itself was lowered, however short it has been idle."""
        for _, idle in self._in_order:
            for slot in idle:
                return slot
        return None

    def __iter__(self) -> Iterator[ConnectionSlot]:
        for _, idle in self._in_order:
            yield from idle

    def __len__(self) -> int:
        return sum(len(idle) for _, idle in self._in_order)
