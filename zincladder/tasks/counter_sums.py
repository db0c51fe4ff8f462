"""Counters of many processes as one: sums that only rise, through processes and leaders that go. No I/O.

What is told by a process is a counter since its start. What a leader sums is counted from the first word that
it hears of each process: what was counted before a leader changed is the former one's, and what came between
is lost. So nothing is ever counted twice, and a change of leader or owner loses one interval at most.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

import cramjam
import msgspec

MAX_SERIES = 4096
MAX_PROCESSES = 4096  # of 2,048 fronts, each of which has a second one while it is upgraded
MAX_COUNTERS_PER_PROCESS = 2048  # counters of one process
MAX_NAME_LENGTH = 200


class CounterSums:
    """A leader's: added up from what it is told."""

    def __init__(self) -> None:
        self.totals: Counter[str] = Counter()
        self._last: dict[tuple[str, str], Mapping[str, float]] = {}
        self.left_out = 0  # series that there was no room for

    def told(self, name: str, process: str, counters: Mapping[str, float]) -> None:
        """All counters of one process, as they stand."""
        before = self._last.get((name, process))
        if before is None and len(self._last) >= MAX_PROCESSES:
            return
        if len(counters) > MAX_COUNTERS_PER_PROCESS:  # names are what a process says they are
            self.left_out += len(counters) - MAX_COUNTERS_PER_PROCESS
            counters = dict(list(counters.items())[:MAX_COUNTERS_PER_PROCESS])
        fit = {k: v for k, v in counters.items() if len(k) <= MAX_NAME_LENGTH and 0.0 <= v < 1e18}
        self._last[name, process] = fit
        for series, value in fit.items():
            grown = value - before.get(series, 0.0) if before is not None else 0.0
            if series not in self.totals and len(self.totals) >= MAX_SERIES:
                self.left_out += 1
            else:
                self.totals[series] += max(0.0, grown)  # type: ignore[assignment]  # whole or not

    def gone(self, name: str, process: str) -> None:
        """A process that will tell nothing more on this link; should it come again, it counts from there."""
        self._last.pop((name, process), None)


class FleetTotals(msgspec.Struct, frozen=True, array_like=True):
    """An owner's, kept as its progress: whoever follows goes on from them."""

    at: int = 0  # Unix milliseconds of the samples that go with them
    epoch: str = ""  # whose sums were added last
    seen: dict[str, float] = {}  # those sums, as they stood
    totals: dict[str, float] = {}

    def grown(self, epoch: str, sums: Mapping[str, float], at: int) -> FleetTotals:
        """With the sums as they stand now; of another epoch they began at 0."""
        before = self.seen if epoch == self.epoch else {}
        totals = dict(self.totals)
        for series, value in sums.items():
            if series in totals or len(totals) < MAX_SERIES:
                totals[series] = totals.get(series, 0.0) + max(0.0, value - before.get(series, 0.0))
        return FleetTotals(at, epoch, dict(sums), totals)


def encode_totals(totals: FleetTotals) -> bytes:
    """As progress: names that look alike take little room."""
    return bytes(cramjam.snappy.compress_raw(msgspec.msgpack.encode(totals)))


def decode_totals(data: bytes) -> FleetTotals:
    """What was packed; nothing yet for no bytes."""
    if not data:
        return FleetTotals()
    return msgspec.msgpack.decode(bytes(cramjam.snappy.decompress_raw(data)), type=FleetTotals)


def next_sample_at(last: int, now: int, every: int) -> int:
    """The time of the next samples, ms: even, later than the last whatever a clock that was set says."""
    return max(now // every * every, last + every)
