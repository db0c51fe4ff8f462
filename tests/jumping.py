"""Runs the program on clocks that go wrong: python -m tests.jumping DRIFT [ARGUMENT ...]

The time of day jumps by up to a day at each look, from a second after the start on; the clock that leases are
counted on runs faster by DRIFT (slower, where it is below 0).
"""

from __future__ import annotations

import random
import sys
import time

QUIET = 1.0  # seconds in which a front sets its clock by the time of day, once
drift, began = float(sys.argv.pop(1)), time.clock_gettime(time.CLOCK_BOOTTIME)
of_day, gettime = time.time, time.clock_gettime


def jumps() -> float:
    away = random.uniform(-86_400, 86_400) if gettime(time.CLOCK_BOOTTIME) - began > QUIET else 0.0
    return of_day() + away


def drifts(which: int) -> float:
    now = gettime(which)
    return began + (now - began) * (1 + drift) if which == time.CLOCK_BOOTTIME else now


time.time, time.clock_gettime = jumps, drifts

from zincladder.__main__ import main  # noqa: E402  # what it loads is to find the clocks changed

raise SystemExit(main())
