"""Measures the CPU time and memory of admission decisions, compared with a plain dict of counters.

    python -m benchmarks.decisions [--quick] [--out DIR]

Of a million connections, nine in ten come from random addresses, and one in ten from a hundred addresses that
connect again and again. Eight further addresses are known from the start. Times are the median and the 95th
percentile of batches of 1,000 decisions, in microseconds per decision. Memory is what tracemalloc counts for
the admission object with its table of sources, and for the dict.
"""

from __future__ import annotations

import argparse
import json
import random
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import Any

from zincladder.admission.descriptor_budget import ELASTIC_POOLS, DescriptorBudget
from zincladder.admission.interface import RequestBounds
from zincladder.admission.model import AdmissionLimits, PriorityLane, Verdict
from zincladder.admission.source_admission import SourceAdmission
from zincladder.admission.source_key import key_of

BATCH = 1000


def source_admission(limits: AdmissionLimits | None = None) -> SourceAdmission:
    return SourceAdmission(
        limits or AdmissionLimits(), RequestBounds(696, 34 << 20), DescriptorBudget(1024, ELASTIC_POOLS)
    )


def become_known(admission: SourceAdmission, host: str, now: float, seconds: int = 6) -> float:
    """Serves one request a second to `host` until it counts as known; returns the time after the last one."""
    for _ in range(seconds):
        now += 1.0
        slot = admission.open_slot(admission.connect(host, now), now)
        admission.may_read(slot, now)
        admission.may_open(slot, now)
        admission.request_opened(slot)
        admission.request_closed(slot, now, True)
        admission.release_slot(slot, now)
        admission.tick(now, 0.0)
    return now


def hosts(count: int, seed: int = 1) -> list[str]:
    rng = random.Random(seed)
    return [f"{rng.randrange(1, 224)}.{rng.randrange(256)}.{rng.randrange(256)}.{rng.randrange(1, 255)}"
            for _ in range(count)]  # fmt: skip


def timed(step: Callable[[str, float], Any], names: list[str], now: float, every: float) -> dict[str, float]:
    """Times batches of steps, in microseconds per step; `every` is the simulated time between steps in s."""
    found = []
    for start in range(0, len(names), BATCH):
        batch = names[start : start + BATCH]
        began = time.perf_counter()
        for name in batch:
            now += every
            step(name, now)
        found.append((time.perf_counter() - began) / len(batch) * 1e6)
    found.sort()
    return {
        "median_us": round(statistics.median(found), 2),
        "p95_us": round(found[int(0.95 * (len(found) - 1))], 2),
    }


class CounterDict:
    """The baseline: a decaying counter for each address, which is never evicted."""

    def __init__(self) -> None:
        self.seen: dict[str, list[float]] = {}

    def __call__(self, host: str, now: float) -> bool:
        entry = self.seen.get(host)
        if entry is None:
            entry = self.seen[host] = [0.0, now]
        entry[0] = entry[0] * 2.0 ** ((entry[1] - now) / 20.0) + 1.0
        entry[1] = now
        return entry[0] < 100.0


def measure(count: int) -> dict[str, Any]:
    names = hosts(count)
    returning_hosts = [f"10.1.1.{i}" for i in range(100)]
    connecting_hosts = [returning_hosts[i % 100] if i % 10 == 0 else name for i, name in enumerate(names)]
    known = [f"10.2.2.{i}" for i in range(8)]

    def with_known_sources() -> tuple[SourceAdmission, float]:
        admission, now = source_admission(), 1000.0
        for host in known:
            now = become_known(admission, host, now)
        return admission, now

    admission, now = with_known_sources()
    result: dict[str, Any] = {"addresses": count}
    result["connect"] = timed(admission.connect, connecting_hosts, now, 1e-4)
    now += count * 1e-4
    lanes = [admission.lane_of(admission.sources.find_or_create(key_of(host), now), now) for host in known]
    result["known_after"] = sum(lane is PriorityLane.KNOWN for lane in lanes)
    result["recorded"] = len(admission.sources)
    result["bound"] = admission.limits.max_sources
    result["connect_known"] = timed(admission.connect, known * (BATCH * 20 // 8), now + 60, 0.02)
    counters = CounterDict()
    result["dict"] = timed(counters, connecting_hosts, now, 1e-4)
    result["dict_recorded"] = len(counters.seen)

    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    admission, now = with_known_sources()
    for i, host in enumerate(names[: 4 * admission.limits.max_sources]):
        at = now + i * 1e-4
        # Only a source that has had a slot is recorded.
        admission.release_slot(admission.open_slot(admission.connect(host, at), at), at)
    memory = tracemalloc.get_traced_memory()[0] - before
    result["record_mb"] = round(memory / 1e6, 2)
    result["record_bytes_each"] = round(memory / len(admission.sources))
    before = tracemalloc.get_traced_memory()[0]
    counters = CounterDict()
    for host in names[:32768]:
        counters(host, 1.0)
    each = (tracemalloc.get_traced_memory()[0] - before) / len(counters.seen)
    tracemalloc.stop()
    result["dict_bytes_a_record"] = round(each)
    result["dict_mb_at_all_addresses"] = round(each * result["dict_recorded"] / 1e6, 1)

    # Each step is one request of a known client without other load: it is checked, read, opened and closed.
    admission, now = with_known_sources()
    slot = admission.open_slot(admission.connect(known[0], now), now)

    def handle_request(_: str, at: float) -> None:
        if admission.may_read(slot, at) and admission.may_open(slot, at).value == "none":
            admission.request_opened(slot)
            admission.request_closed(slot, at, True)
        if int(at * 100) != int((at - 0.0125) * 100):
            admission.tick(at, 0.0)

    result["request"] = timed(handle_request, [""] * (20 * BATCH), now, 0.0125)
    return result


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--quick", action="store_true", help="50,000 addresses instead of a million")
    parser.add_argument("--out", type=Path, help="write a table to this directory")
    options = parser.parse_args()
    result = measure(50_000 if options.quick else 1_000_000)
    assert source_admission().connect("127.0.0.1", 1.0).verdict is Verdict.ADMIT
    if options.out:
        options.out.mkdir(parents=True, exist_ok=True)
        lines = ["| measure | value |", "|---|---|", *(f"| {k} | {v} |" for k, v in result.items())]
        (options.out / "decisions.md").write_text("\n".join(lines) + "\n")
    print(json.dumps(result))
    return 0


if __name__ == "__main__":
    sys.exit(main())
