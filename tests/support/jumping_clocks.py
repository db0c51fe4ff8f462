"""Runs the program on clocks that go wrong: python -m tests.support.jumping_clocks DRIFT [ARGUMENT ...]

The time of day jumps by up to a day at each look but the one by which a front sets its clock; the clock that
leases are counted on runs faster by DRIFT (slower, where it is below 0).
"""

from __future__ import annotations

import random
import sys
import time

drift, began = float(sys.argv.pop(1)), time.clock_gettime(time.CLOCK_BOOTTIME)
of_day, gettime = time.time, time.clock_gettime


def jumps() -> float:
    return of_day() + random.uniform(-86_400, 86_400)


def drifts(which: int) -> float:
    now = gettime(which)
    return began + (now - began) * (1 + drift) if which == time.CLOCK_BOOTTIME else now


time.time, time.clock_gettime = jumps, drifts

from zincladder.__main__ import main  # noqa: E402  # what it loads is to find the clocks changed
from zincladder.core.clock import Clock  # noqa: E402

set_up = Clock.__init__


def set_once(self: Clock) -> None:
    time.time = of_day
    try:
        set_up(self)
    finally:
        time.time = jumps


Clock.__init__ = set_once  # type: ignore[method-assign]

raise SystemExit(main())
