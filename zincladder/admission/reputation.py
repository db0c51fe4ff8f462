"""The reputation of sources: points for served requests, strikes for offenses, and the resulting lane."""

from __future__ import annotations

from math import log

from zincladder.admission.decay import decayed
from zincladder.admission.model import STRIKES_FOR_OFFENSE, Offense, PriorityLane, Source
from zincladder.admission.state import KNOWN, LIMITED, LISTED, NEW, AdmissionState

MAX_STRIKES = 8.0  # a source with this many strikes gets a penalty
STRIKES_FORGIVEN_PER_SERVED_REQUEST = 0.05
STRIKES_HALF_LIFE_SECONDS = 10.0
PENALTY_LEVEL_HALF_LIFE_SECONDS = 60.0
LOOP_USE_HALF_LIFE_SECONDS = 5.0
# A source earns at most one point per interval, however many of its requests are served.
EARNING_INTERVAL_SECONDS = 1.0
MAX_REPUTATION = 60.0  # points
OVERUSE_COST = 2.0  # points


class Reputation:
    """Maintains the reputation of sources from their recent behavior."""

    def __init__(self, state: AdmissionState) -> None:
        self._state = state

    def lane_of(self, source: Source, now: float) -> PriorityLane:
        """Return the lane of a source."""
        if source.listed_network is not None:
            return LISTED
        if source.penalty_until > now:
            return LIMITED
        known_after = self._state.limits.known_after_seconds
        if source.reputation >= known_after and self.points(source, now) >= known_after:
            return KNOWN
        return NEW

    def points(self, source: Source, now: float) -> float:
        """Return a source's reputation points, decayed to `now`."""
        half_life = self._state.limits.known_half_life_seconds
        return decayed(source.reputation, source.reputation_at, now, half_life)

    def strikes(self, source: Source, now: float) -> float:
        """Return a source's strikes, decayed to `now`."""
        return decayed(source.strikes, source.strikes_at, now, STRIKES_HALF_LIFE_SECONDS)

    def record_loop_use(self, source: Source, cost: float, now: float) -> None:
        """Add `cost` modelled seconds of loop time to a source's use; a negative cost is a refund."""
        used = decayed(source.loop_seconds, source.loop_seconds_at, now, LOOP_USE_HALF_LIFE_SECONDS)
        source.loop_seconds = used + cost * self._state.read_queue.cost_scale
        source.loop_seconds_at = now

    def loop_utilization(self, source: Source, now: float) -> float:
        """Return the seconds of loop time per second that a source has used recently.

        The decaying sum of a steady use converges to its rate times half-life / ln 2.
        """
        used = decayed(source.loop_seconds, source.loop_seconds_at, now, LOOP_USE_HALF_LIFE_SECONDS)
        return used * log(2) / LOOP_USE_HALF_LIFE_SECONDS

    def record_served(self, source: Source, now: float) -> None:
        """Count a served request, which earns a point at most once per second and forgives part of a strike.

        A source that has exceeded its share within the last second earns nothing. Otherwise the source of a
        flood would become KNOWN through those of its requests that are served.
        """
        source.served += 1
        if source.strikes > 0.0:
            source.strikes = max(0.0, source.strikes - STRIKES_FORGIVEN_PER_SERVED_REQUEST)
        if (
            now - source.last_earned_at >= EARNING_INTERVAL_SECONDS
            and now - source.last_overuse_at > EARNING_INTERVAL_SECONDS
        ):
            source.reputation = min(MAX_REPUTATION, self.points(source, now) + 1.0)
            source.reputation_at = source.last_earned_at = now

    def record_overuse(self, source: Source, now: float) -> None:
        """Deduct points, at most once per second, from a source that exceeds its share."""
        if now - source.last_overuse_at >= EARNING_INTERVAL_SECONDS:
            points = self.points(source, now)
            source.reputation, source.reputation_at = max(0.0, points - OVERUSE_COST), now
            source.last_overuse_at = now

    def record_offense(self, source: Source, offense: Offense, now: float) -> None:
        """Add an offense's strikes, and start a penalty at `MAX_STRIKES`.

        Listed sources and sources under a penalty get no strikes.
        """
        if source.listed_network is not None or source.penalty_until > now:
            return
        if offense is Offense.OVERUSE:
            self.record_overuse(source, now)
        source.strikes = self.strikes(source, now) + STRIKES_FOR_OFFENSE[offense]
        source.strikes_at = now
        if source.strikes >= MAX_STRIKES:
            self._penalize(source, now)

    def _penalize(self, source: Source, now: float) -> None:
        """Put a source in the LIMITED lane for a time that doubles with each recent penalty."""
        limits = self._state.limits
        level = decayed(source.penalty_level, source.penalty_level_at, now, PENALTY_LEVEL_HALF_LIFE_SECONDS)
        seconds = min(limits.max_penalty_seconds, limits.penalty_seconds * 2.0**level)
        source.penalty_until = now + seconds
        source.penalty_level, source.penalty_level_at = level + 1.0, now
        source.strikes, source.reputation = 0.0, source.reputation / 2
        self._state.counters.penalties += 1
        if not source.slot_count:
            self._state.sources.assign_set(source, known=False, limited=True)
