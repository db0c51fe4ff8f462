"""What sources earn by served requests and lose by offenses, and the lane that follows from it."""

from __future__ import annotations

from math import log

from zincladder.admission.decay import decayed
from zincladder.admission.model import STRIKES_FOR_OFFENSE, Offense, PriorityLane, Source
from zincladder.admission.state import KNOWN, LIMITED, LISTED, NEW, AdmissionState

MAX_STRIKES = 8.0  # at which a penalty begins
STRIKES_FORGIVEN = 0.05  # by each served answer
STRIKES_HALF_LIFE_SECONDS = 10.0
PENALTY_LEVEL_HALF_LIFE_SECONDS = 60.0
LOOP_USE_HALF_LIFE_SECONDS = 5.0
EARNING_INTERVAL_SECONDS = 1.0  # between two points of reputation: they count time, not requests
MAX_REPUTATION = 60.0
OVERUSE_COST = 2.0  # points of reputation


class Reputation:
    """Judges sources by what they did lately."""

    def __init__(self, state: AdmissionState) -> None:
        self._state = state

    def lane_of(self, source: Source, now: float) -> PriorityLane:
        """The lane in which a source stands."""
        if source.listed_as is not None:
            return LISTED
        if source.penalty_until > now:
            return LIMITED
        known_after = self._state.limits.known_after_seconds
        if source.reputation >= known_after and self.points(source, now) >= known_after:
            return KNOWN
        return NEW

    def points(self, source: Source, now: float) -> float:
        """A source's reputation as it stands at `now`."""
        half_life = self._state.limits.known_half_life_seconds
        return decayed(source.reputation, source.reputation_at, now, half_life)

    def strikes(self, source: Source, now: float) -> float:
        """A source's strikes as they stand at `now`."""
        return decayed(source.strikes, source.strikes_at, now, STRIKES_HALF_LIFE_SECONDS)

    def record_loop_use(self, source: Source, cost: float, now: float) -> None:
        """Count modelled seconds of loop time that a source used; negative gives some back."""
        used = decayed(source.loop_seconds, source.loop_seconds_at, now, LOOP_USE_HALF_LIFE_SECONDS)
        source.loop_seconds = used + cost * self._state.read_queue.pace
        source.loop_seconds_at = now

    def loop_rate(self, source: Source, now: float) -> float:
        """Seconds of loop time a second that a source used lately.

        A decaying sum of a steady use comes to its rate times half-life / ln 2.
        """
        used = decayed(source.loop_seconds, source.loop_seconds_at, now, LOOP_USE_HALF_LIFE_SECONDS)
        return used * log(2) / LOOP_USE_HALF_LIFE_SECONDS

    def record_served(self, source: Source, now: float) -> None:
        """Count a served request: it earns a point a second, and makes a part of a strike good.

        Guards against a flood that is served a part of what it asks: overuse within the last second earns
        nothing.
        """
        source.served += 1
        if source.strikes > 0.0:
            source.strikes = max(0.0, source.strikes - STRIKES_FORGIVEN)
        if (
            now - source.last_earned_at >= EARNING_INTERVAL_SECONDS
            and now - source.last_overuse_at > EARNING_INTERVAL_SECONDS
        ):
            source.reputation = min(MAX_REPUTATION, self.points(source, now) + 1.0)
            source.reputation_at = source.last_earned_at = now

    def record_overuse(self, source: Source, now: float) -> None:
        """Take points, once a second at most, from a source that asks for more than its share."""
        if now - source.last_overuse_at >= EARNING_INTERVAL_SECONDS:
            points = self.points(source, now)
            source.reputation, source.reputation_at = max(0.0, points - OVERUSE_COST), now
            source.last_overuse_at = now

    def record_offense(self, source: Source, offense: Offense, now: float) -> None:
        """Add an offense's strikes; enough of them bring a penalty.

        Neither listed sources nor those under a penalty get strikes.
        """
        if source.listed_as is not None or source.penalty_until > now:
            return
        if offense is Offense.OVERUSE:
            self.record_overuse(source, now)
        source.strikes = self.strikes(source, now) + STRIKES_FOR_OFFENSE[offense]
        source.strikes_at = now
        if source.strikes >= MAX_STRIKES:
            self._penalize(source, now)

    def _penalize(self, source: Source, now: float) -> None:
        """Start a penalty: it grows with repetition, ends by itself, and limits without a ban."""
        limits = self._state.limits
        level = decayed(source.penalty_level, source.penalty_level_at, now, PENALTY_LEVEL_HALF_LIFE_SECONDS)
        seconds = min(limits.max_penalty_seconds, limits.penalty_seconds * 2.0**level)
        source.penalty_until = now + seconds
        source.penalty_level, source.penalty_level_at = level + 1.0, now
        source.strikes, source.reputation = 0.0, source.reputation / 2
        self._state.counters.penalties += 1
        if not source.slot_count:
            self._state.sources.place(source, known=False, limited=True)
