"""Rates and decaying sums of one source, kept in its record."""

from __future__ import annotations

from zincladder.admission.model import Source


def conforms(source: Source, now: float, interval: float, burst: int) -> bool:
    """The generic cell rate algorithm (ITU-T I.371, virtual scheduling): one more at `now`?

    `interval` is the seconds between two at the rate, `burst` how many may come at once. What does not
    conform is not counted, so that a source turned away is not turned away longer for asking.
    """
    if interval <= 0.0:
        return True
    due = source.tat
    if due < now:
        due = now
    elif due - now > burst * interval:
        return False
    source.tat = due + interval
    return True


def decayed(value: float, since: float, now: float, half_life: float) -> float:
    """A sum as it stands now; a clock that stepped back ages nothing."""
    if value == 0.0 or now <= since:
        return value
    return float(value * 2.0 ** ((since - now) / half_life))
