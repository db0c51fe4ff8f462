"""Counters of many processes as one: sums that only rise, through processes and leaders that end. No I/O.

A process reports its counters since its start. A leader adds up what grew since the first report that it
received of each process: what was counted before a change of leader is in the former one's sums, and what
came between is lost. So nothing is ever counted twice, and a change of leader or lease holder loses one
interval at most.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

import cramjam
import msgspec

MAX_SERIES = 4096
MAX_PROCESSES = 4096  # of 2,048 fronts, each of which has a second one while it is upgraded
MAX_COUNTERS_PER_PROCESS = 2048
MAX_NAME_LENGTH = 200  # characters of a counter's name
MAX_COUNTER_VALUE = 1e18


class CounterSums:
    """A leader's sums of what processes have reported in its term."""

    def __init__(self) -> None:
        self.totals: Counter[str] = Counter()
        self._latest: dict[tuple[str, str], Mapping[str, float]] = {}
        self.dropped = 0  # series for which there was no room

    def reported(self, name: str, process: str, counters: Mapping[str, float]) -> None:
        """Adds what the counters of one process have grown by since its last report."""
        before = self._latest.get((name, process))
        if before is None and len(self._latest) >= MAX_PROCESSES:
            return
        accepted = self._accepted(counters)
        self._latest[name, process] = accepted
        for series, value in accepted.items():
            growth = value - before.get(series, 0.0) if before is not None else 0.0
            if series not in self.totals and len(self.totals) >= MAX_SERIES:
                self.dropped += 1
            else:
                self.totals[series] += max(0.0, growth)  # type: ignore[assignment]  # Counter is typed as int

    def _accepted(self, counters: Mapping[str, float]) -> dict[str, float]:
        """Guards the memory and the sums: names and values are a process's own claims."""
        if len(counters) > MAX_COUNTERS_PER_PROCESS:
            self.dropped += len(counters) - MAX_COUNTERS_PER_PROCESS
            counters = dict(list(counters.items())[:MAX_COUNTERS_PER_PROCESS])
        return {
            name: value
            for name, value in counters.items()
            if len(name) <= MAX_NAME_LENGTH and 0.0 <= value < MAX_COUNTER_VALUE
        }

    def forget(self, name: str, process: str) -> None:
        """A process reports no more on its link; should it connect again, it counts from its first report."""
        self._latest.pop((name, process), None)


class FleetTotals(msgspec.Struct, frozen=True, array_like=True):
    """A lease holder's totals, stored as its checkpoint: its successor goes on from them."""

    at: int = 0  # Unix milliseconds of the samples that go with them
    epoch: str = ""  # of the leader's sums that were added last
    seen: dict[str, float] = {}  # those sums
    totals: dict[str, float] = {}

    def advanced(self, epoch: str, sums: Mapping[str, float], at: int) -> FleetTotals:
        """With the growth of a leader's sums; the sums of another epoch began at 0."""
        before = self.seen if epoch == self.epoch else {}
        totals = dict(self.totals)
        for series, value in sums.items():
            if series in totals or len(totals) < MAX_SERIES:
                totals[series] = totals.get(series, 0.0) + max(0.0, value - before.get(series, 0.0))
        return FleetTotals(at, epoch, dict(sums), totals)


def encode_totals(totals: FleetTotals) -> bytes:
    """A checkpoint; compressed, as the names of series are alike."""
    return bytes(cramjam.snappy.compress_raw(msgspec.msgpack.encode(totals)))


def decode_totals(data: bytes) -> FleetTotals:
    """The totals in a checkpoint; empty ones for no bytes."""
    if not data:
        return FleetTotals()
    return msgspec.msgpack.decode(bytes(cramjam.snappy.decompress_raw(data)), type=FleetTotals)


def next_sample_at(last: int, now: int, interval: int) -> int:
    """The time of the next samples in ms: a multiple of the interval, and later than the last.

    Guards the receiver's order of samples against a wall clock that is set back.
    """
    return max(now // interval * interval, last + interval)
