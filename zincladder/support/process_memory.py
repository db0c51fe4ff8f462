"""The memory that this process uses."""

from __future__ import annotations

import resource

STATM_PATH = "/proc/self/statm"  # proc(5): sizes in pages, of which the second is the resident set
PAGE_BYTES = resource.getpagesize()
RESIDENT_FIELD = 1


def resident_bytes() -> int:
    """Returns the resident set size of this process; 0 if the system does not report it."""
    try:
        with open(STATM_PATH, "rb") as file:
            return int(file.read().split()[RESIDENT_FIELD]) * PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0
