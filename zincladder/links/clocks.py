"""The clock that leases are counted on. It loads neither a front's nor a replica's modules."""

from __future__ import annotations

import time


def boottime() -> float:
    """Seconds by a clock that goes on while the machine sleeps, and that nobody sets."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
