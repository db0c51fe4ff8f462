"""Runs the program with faulty clocks: python -m tests.support.jumping_clocks DRIFT [ARGUMENT ...]

Each reading of the time of day is off by up to a day, except the one with which a front sets its own clock.
The clock that measures leases (CLOCK_BOOTTIME) runs fast by the share DRIFT, or slow if DRIFT is negative.
"""

from __future__ import annotations

import random
import sys
import time

drift, started_at = float(sys.argv.pop(1)), time.clock_gettime(time.CLOCK_BOOTTIME)
time_of_day, real_clock_gettime = time.time, time.clock_gettime


def jumping_time() -> float:
    return time_of_day() + random.uniform(-86_400, 86_400)


def drifting_clock_gettime(clock_id: int) -> float:
    now = real_clock_gettime(clock_id)
    return started_at + (now - started_at) * (1 + drift) if clock_id == time.CLOCK_BOOTTIME else now


time.time, time.clock_gettime = jumping_time, drifting_clock_gettime

from zincladder.__main__ import main  # noqa: E402  # imported after the clocks are replaced
from zincladder.core.clock import Clock  # noqa: E402

real_init = Clock.__init__


def init_with_real_time(self: Clock) -> None:
    time.time = time_of_day
    try:
        real_init(self)
    finally:
        time.time = jumping_time


Clock.__init__ = init_with_real_time  # type: ignore[method-assign]

raise SystemExit(main())
