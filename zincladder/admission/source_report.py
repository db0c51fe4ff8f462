"""Reports on sources for the operators' commands."""

from __future__ import annotations

from zincladder.admission.model import Source
from zincladder.admission.reputation import Reputation
from zincladder.admission.source_key import key_of, text_of
from zincladder.admission.state import AdmissionState


class SourceReport:
    """Describes sources; the keys of the dicts are part of the replies to operators' commands."""

    def __init__(self, state: AdmissionState, reputation: Reputation) -> None:
        self._state, self._reputation = state, reputation

    def describe(self, source: Source, now: float) -> dict[str, object]:
        """Return the description of one source."""
        reputation = self._reputation
        return {
            "source": text_of(source.key),
            "lane": reputation.lane_of(source, now).name.lower(),
            "connections": source.slot_count,
            "open": source.open_requests,
            "unread_bytes": source.unread_bytes,
            "loop_percent": round(100 * reputation.loop_utilization(source, now), 2),
            "served": source.served,
            "standing": round(reputation.points(source, now), 1),
            "strikes": round(reputation.strikes(source, now), 1),
            "penalty_s": round(max(0.0, source.penalty_until - now), 1),
            "listed": source.listed_network.net if source.listed_network else "",
            "blocked": self._state.lists.is_blocked(source.key, now),
        }

    def top(self, now: float, max_rows: int) -> list[dict[str, object]]:
        """Describe at most `max_rows` sources, sorted by recent use of loop time, then by connections."""

        def loop_usage(source: Source) -> tuple[float, int]:
            return self._reputation.loop_utilization(source, now), source.slot_count

        active = [source for source in self._state.sources if source.slot_count or source.loop_seconds > 0.0]
        return [
            self.describe(source, now) for source in sorted(active, key=loop_usage, reverse=True)[:max_rows]
        ]

    def show(self, address: str, now: float) -> dict[str, object] | None:
        """Describe an address and the network around it; return None if the source table does not hold it.

        Raises:
            ValueError: `address` is not an IP address.
        """
        source = self._state.sources.find(key_of(address))
        if source is None:
            return None
        return self.describe(source, now) | {
            "network": text_of(source.network_key),
            "network_connections": self._state.slots_by_network.get(source.network_key, 0),
        }
