"""Tests the sums of the counters of many processes."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from zincladder.consensus.key_value_state import MAX_VALUE_BYTES
from zincladder.tasks.counter_sums import (
    MAX_COUNTERS_PER_PROCESS,
    MAX_PROCESSES,
    MAX_SERIES,
    CounterSums,
    FleetTotals,
    decode_totals,
    encode_totals,
    next_sample_at,
)


@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 50), st.sampled_from("tgl")), max_size=60))
def test_totals_never_fall_and_count_nothing_twice_when_processes_and_leaders_change(
    events: list[tuple[int, int, str]],
) -> None:
    sums, counters = CounterSums(), [0.0] * 4
    totals, epoch, last = FleetTotals(), 0, 0.0
    for process, amount, event in events:
        if event == "t":
            counters[process] += amount
            sums.add_report(f"f{process}", "p", {"s": counters[process]})
        elif event == "g":
            sums.forget(f"f{process}", "p")
        else:  # a new leader, whose sums start at 0
            sums, epoch = CounterSums(), epoch + 1
        totals = totals.with_growth(str(epoch), sums.totals, totals.at + 1)
        assert last <= totals.totals.get("s", 0.0) <= sum(counters)
        last = totals.totals.get("s", 0.0)


def test_a_process_is_counted_from_its_first_report() -> None:
    sums = CounterSums()
    sums.add_report("x", "p", {"s": 1000.0})
    sums.add_report("x", "p", {"s": 1007.0, "t": 2.0})
    sums.add_report("x", "other", {"s": 3.0})  # a new process of the same front
    sums.add_report("x", "other", {"s": 5.0, "n": float("nan"), "m": -1.0})
    assert dict(sums.totals) == {"s": 9.0, "t": 2.0}


def test_the_totals_of_a_large_fleet_fit_in_a_stored_value_and_the_sums_are_bounded() -> None:
    sums = CounterSums()
    for turn in range(2):  # 400 caches, each with a counter for five ends of an attempt
        names = [
            f"zincladder_fleet_cache_attempts_total\0s-{n:08x}\0end{e}" for n in range(400) for e in range(5)
        ]
        sums.add_report("x", "p", {name: 1e6 * turn + i for i, name in enumerate(names)})
    totals = FleetTotals().with_growth("k1/7", sums.totals, 1)
    assert len(totals.totals) == 2000 and len(encode_totals(totals)) < MAX_VALUE_BYTES // 2
    assert decode_totals(encode_totals(totals)) == totals and decode_totals(b"") == FleetTotals()
    for process in range(2 * MAX_PROCESSES):
        sums.add_report(
            "y",
            f"p{process}",
            {f"{process} {i}": 1.0 for i in range(2 * MAX_COUNTERS_PER_PROCESS if process < 5 else 9)},
        )
    assert (
        len(sums._latest) == MAX_PROCESSES
        and max(map(len, sums._latest.values())) == MAX_COUNTERS_PER_PROCESS
    )
    assert len(sums.totals) <= MAX_SERIES and sums.dropped


def test_sample_times_rise_in_multiples_of_the_interval_even_if_the_wall_clock_is_set_back() -> None:
    at, times = 0, []
    for now in (100_400, 101_100, 102_900, 50_000, 50_900, 130_000):  # the clock is set back, then forward
        at = next_sample_at(at, now, 1000)
        times.append(at)
    assert times == [100_000, 101_000, 102_000, 103_000, 104_000, 130_000]
