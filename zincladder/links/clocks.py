"""The clock that leases are counted on. Importing it loads no parts of fronts or replicas."""

from __future__ import annotations

import time


def boottime() -> float:
    """Seconds of a clock that goes on while the machine is suspended, and that nobody sets."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
