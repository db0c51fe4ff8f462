"""Sums that decay exponentially."""

from __future__ import annotations


def decayed(value: float, updated_at: float, now: float, half_life: float) -> float:
    """A sum as it stands at `now`; a clock that stepped back decays nothing."""
    if value == 0.0 or now <= updated_at:
        return value
    return float(value * 2.0 ** ((updated_at - now) / half_life))
