"""Exponential decay of sums."""

from __future__ import annotations


def decayed(value: float, updated_at: float, now: float, half_life: float) -> float:
    """Return the value at `now` of a sum that was last updated at `updated_at`; times are in seconds.

    Returns the sum unchanged if the clock has stepped back.
    """
    if value == 0.0 or now <= updated_at:
        return value
    return float(value * 2.0 ** ((updated_at - now) / half_life))
