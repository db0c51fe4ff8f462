"""The clock that leases are measured with. Importing this module loads no code of fronts or replicas."""

from __future__ import annotations

import time


def boottime() -> float:
    """Seconds since boot. The clock also runs while the machine is suspended, and can't be set."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
