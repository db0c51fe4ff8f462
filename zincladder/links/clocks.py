"""The clock that leases are counted on. No fronts' or keepers' parts are loaded for it."""

from __future__ import annotations

import time


def boottime() -> float:
    """Seconds by a clock that goes on while the machine sleeps, and that nobody sets."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
