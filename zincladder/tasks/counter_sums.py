"""Sums up the counters of many processes. The totals never fall when a process or a leader ends. No I/O.

A process reports what it has counted since its start. A leader adds up how much these counters have grown
since the first report that it received from each process. What was counted before is in the sums of the
former leader, and what was counted between the last report to that leader and the first one to the new leader
is lost. So nothing is counted twice, and a change of leader or lease holder loses one report interval at
most.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

import cramjam
import msgspec

MAX_SERIES = 4096
MAX_PROCESSES = 4096  # 2,048 fronts, each of which has a second process during an upgrade
MAX_COUNTERS_PER_PROCESS = 2048
MAX_COUNTER_NAME_LENGTH = 200  # characters
MAX_COUNTER_VALUE = 1e18


class CounterSums:
    """The sums of the counters that processes have reported to a leader in its term."""

    def __init__(self) -> None:
        self.totals: Counter[str] = Counter()
        self._latest: dict[tuple[str, str], Mapping[str, float]] = {}
        self.dropped = 0  # values left out because of MAX_COUNTERS_PER_PROCESS or MAX_SERIES

    def add_report(self, name: str, process: str, counters: Mapping[str, float]) -> None:
        """Adds the growth of the counters of one process since its last report."""
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
        """Returns the counters within the limits. A faulty process could report any names and values."""
        if len(counters) > MAX_COUNTERS_PER_PROCESS:
            self.dropped += len(counters) - MAX_COUNTERS_PER_PROCESS
            counters = dict(list(counters.items())[:MAX_COUNTERS_PER_PROCESS])
        return {
            name: value
            for name, value in counters.items()
            if len(name) <= MAX_COUNTER_NAME_LENGTH and 0.0 <= value < MAX_COUNTER_VALUE
        }

    def forget(self, name: str, process: str) -> None:
        """Removes a process whose link is closed. After it reconnects its next report counts as the first."""
        self._latest.pop((name, process), None)


class FleetTotals(msgspec.Struct, frozen=True, array_like=True):
    """The fleet's totals. A lease holder stores them as its checkpoint, and its successor continues them."""

    at: int = 0  # time of the samples that carry these totals, in Unix milliseconds
    epoch: str = ""  # identifies the leader and the term of the sums that were added last
    seen: dict[str, float] = {}  # the sums that were added last
    totals: dict[str, float] = {}

    def with_growth(self, epoch: str, sums: Mapping[str, float], at: int) -> FleetTotals:
        """Returns the totals plus the growth of a leader's sums. In each epoch the sums start at 0."""
        before = self.seen if epoch == self.epoch else {}
        totals = dict(self.totals)
        for series, value in sums.items():
            if series in totals or len(totals) < MAX_SERIES:
                totals[series] = totals.get(series, 0.0) + max(0.0, value - before.get(series, 0.0))
        return FleetTotals(at, epoch, dict(sums), totals)


def encode_totals(totals: FleetTotals) -> bytes:
    """Encodes totals as a checkpoint. It is compressed, because the names of series are similar."""
    return bytes(cramjam.snappy.compress_raw(msgspec.msgpack.encode(totals)))


def decode_totals(data: bytes) -> FleetTotals:
    """Decodes the totals in a checkpoint; no bytes stand for empty totals."""
    if not data:
        return FleetTotals()
    return msgspec.msgpack.decode(bytes(cramjam.snappy.decompress_raw(data)), type=FleetTotals)


def next_sample_at(last: int, now: int, interval: int) -> int:
    """Returns the time of the next samples in milliseconds.

    It is a multiple of the interval, and later than the last one even if the wall clock was set back: the
    receiver needs samples in the order of their times.
    """
    return max(now // interval * interval, last + interval)
