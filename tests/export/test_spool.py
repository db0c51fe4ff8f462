"""Batches that wait: their bounds, and what a crash leaves."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import tempfile
from collections.abc import Callable
from itertools import pairwise
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import settings as effort
from hypothesis import strategies as st

from zincladder.durable import records
from zincladder.export.batch_store import MemoryStore
from zincladder.export.spool import Spool

Spoil = Callable[[bytes], bytes]


def test_memory_keeps_the_newest_and_its_bound() -> None:
    store = MemoryStore(1000)
    for i in range(50):
        store.append(i, b"x" * 100)
        assert store.size_bytes <= 1000
    first = store.oldest()
    assert first is not None and (first.unix_ms, len(store), store.lost_batches) == (40, 10, 40)
    store.append(50, b"x" * 100)
    store.acknowledge(first)  # it was dropped meanwhile: nothing else goes for it
    second = store.oldest()
    assert second is not None and second.unix_ms == 41


def drain(spool: Spool, most: int = 10**9) -> list[int]:
    found: list[int] = []
    while len(found) < most and (kept := spool.oldest()) is not None:
        found.append(kept.unix_ms)
        spool.acknowledge(kept)
    return found


def payload(i: int) -> bytes:
    return bytes([i % 251]) * (i * 37 % 300)


def test_a_spool_resumes_where_it_was(tmp_path: Path) -> None:
    spool = Spool(tmp_path, 1 << 20)
    for i in range(1, 101):
        spool.append(i, payload(i))
    assert drain(spool, 40) == list(range(1, 41))
    # No close: the process was killed.
    again = Spool(tmp_path, 1 << 20)
    again.append(101, b"new")
    assert len(again) == 61 and drain(again) == list(range(41, 102)) and again.lost_batches == 0
    assert drain(Spool(tmp_path, 1 << 20)) == []


@given(st.data())
@effort(max_examples=80, deadline=None)
def test_a_crash_at_any_byte_loses_only_what_was_not_yet_written(data: st.DataObject) -> None:
    with tempfile.TemporaryDirectory() as folder:
        spool = Spool(Path(folder), 1 << 30)
        count = data.draw(st.integers(1, 30))
        for i in range(1, count + 1):
            spool.append(i, payload(i))
        done = data.draw(st.integers(0, count))
        assert drain(spool, done) == list(range(1, done + 1))
        segments = sorted(Path(folder).glob("*.seg"))
        whole = segments[-1].read_bytes()
        cut = data.draw(st.integers(0, len(whole)))
        segments[-1].write_bytes(whole[:cut])
        if data.draw(st.booleans()):  # torn while the cursor was written: the other slot stands
            cursor = Path(folder) / "cursor"
            slots = bytearray(cursor.read_bytes())
            slot = spool._cursor_generation % 2 * records.SLOT.size
            slots[slot + data.draw(st.integers(0, records.SLOT.size - 1))] ^= 0x55
            cursor.write_bytes(bytes(slots))
        kept = [r.stamp for r in records.scan(whole[:cut], records.SPOOL)]
        again = Spool(Path(folder), 1 << 30)
        found = drain(again)
        # In order, whole, nothing that was done before the last one, and all that was written.
        assert found == [i for i in kept if i > done] or found == [i for i in kept if i >= done]
        again.append(1000, b"later")
        assert drain(again) == [1000]


def test_a_process_that_is_killed_while_it_writes_leaves_a_spool_in_order(tmp_path: Path) -> None:
    code = (
        "import sys; from pathlib import Path; from zincladder.export.spool import Spool\n"
        "s = Spool(Path(sys.argv[1]), 4 << 20); i = s._next_number\n"
        "while True:\n"
        "    s.append(i, bytes([i % 251]) * 3000); i += 1\n"
        "    if i % 3 == 0: k = s.oldest(); print(k.unix_ms, flush=True); s.acknowledge(k)\n"
    )
    sent: list[int] = []
    for pause in (0.25, 0.4, 0.3):
        process = subprocess.Popen(
            [sys.executable, "-c", code, str(tmp_path)], stdout=subprocess.PIPE, text=True
        )
        with pytest.raises(subprocess.TimeoutExpired):
            process.wait(0.3 + pause)
        os.kill(process.pid, signal.SIGKILL)
        out = process.communicate()[0]
        sent += [int(line) for line in out.splitlines() if out.endswith("\n") or line != out.splitlines()[-1]]
    assert len(sent) > 30
    # At most the one that was out is sent again, at once after itself; never one before it.
    assert all(a <= b for a, b in pairwise(sent))
    assert sum(a == b for a, b in pairwise(sent)) <= 3
    spool = Spool(tmp_path, 4 << 20)
    rest = drain(spool)
    assert rest == sorted(set(rest)) and rest[0] >= sent[-1]


def torn(data: bytes) -> bytes:
    return data[:-1]


def spoilt(data: bytes) -> bytes:
    return data[:200] + bytes([data[200] ^ 1]) + data[201:]


@pytest.mark.parametrize("spoil", [torn, spoilt, lambda data: b"", lambda data: os.urandom(len(data))])
def test_a_spoilt_segment_costs_its_own_records_and_the_front_starts(tmp_path: Path, spoil: Spoil) -> None:
    spool = Spool(tmp_path, 1 << 20)
    for i in range(1, 601):
        spool.append(i, b"x" * 1000)
    segments = sorted(tmp_path.glob("*.seg"))
    assert len(segments) >= 4
    segments[1].write_bytes(spoil(segments[1].read_bytes()))
    (tmp_path / "notes.txt").write_text("not ours")
    again = Spool(tmp_path, 1 << 20)
    assert "notes.txt" in again.foreign_files
    found = drain(again)
    first = segments[0].read_bytes() if segments[0].exists() else None
    in_first = found.index(600) if first is None else len(list(records.scan(first, records.SPOOL)))
    assert (
        found == sorted(found)
        and found[0] == 1
        and found[-1] == 600
        and len(found) + again.lost_batches == 600
    )
    assert in_first and (tmp_path / "notes.txt").read_text() == "not ours"


def test_a_spool_without_its_cursor_sends_nothing_twice(tmp_path: Path) -> None:
    spool = Spool(tmp_path, 1 << 20)
    for i in range(1, 11):
        spool.append(i, b"x")
    drain(spool, 5)
    (tmp_path / "cursor").write_bytes(b"nonsense" * 6)
    again = Spool(tmp_path, 1 << 20)
    assert drain(again) == [] and again.lost_batches == 10
    again.append(11, b"y")
    assert drain(again) == [11]


def test_a_full_spool_drops_its_oldest_segment(tmp_path: Path) -> None:
    spool = Spool(tmp_path, 1 << 20)
    for i in range(1, 3001):
        spool.append(i, b"x" * 1000)
        assert spool.size_bytes <= (1 << 20) + 2000
    found = drain(spool)
    assert found[-1] == 3000 and len(found) + spool.lost_batches == 3000 and spool.lost_batches > 1500
    assert found == list(range(found[0], 3001))
