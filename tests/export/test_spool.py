"""Tests the stores of unsent batches: their size limits, and recovery after a crash or a corruption."""

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
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from zincladder.durable import records
from zincladder.export.batch_store import MemoryStore
from zincladder.export.spool import Spool

Corruption = Callable[[bytes], bytes]


def test_the_memory_store_keeps_the_newest_batches_within_its_limit() -> None:
    store = MemoryStore(1000)
    for i in range(50):
        store.append(i, b"x" * 100)
        assert store.size_bytes <= 1000
    first = store.oldest()
    assert first is not None and (first.unix_ms, len(store), store.lost_batches) == (40, 10, 40)
    store.append(50, b"x" * 100)
    store.acknowledge(first)  # the append has dropped it: no other batch is removed instead
    second = store.oldest()
    assert second is not None and second.unix_ms == 41


def drain(spool: Spool, max_batches: int = 10**9) -> list[int]:
    drained: list[int] = []
    while len(drained) < max_batches and (batch := spool.oldest()) is not None:
        drained.append(batch.unix_ms)
        spool.acknowledge(batch)
    return drained


def payload(i: int) -> bytes:
    return bytes([i % 251]) * (i * 37 % 300)


def test_a_reopened_spool_continues_after_the_last_acknowledged_batch(tmp_path: Path) -> None:
    spool = Spool(tmp_path, 1 << 20)
    for i in range(1, 101):
        spool.append(i, payload(i))
    assert drain(spool, 40) == list(range(1, 41))
    # The spool is not closed, as if the process had been killed.
    reopened = Spool(tmp_path, 1 << 20)
    reopened.append(101, b"new")
    assert len(reopened) == 61 and drain(reopened) == list(range(41, 102)) and reopened.lost_batches == 0
    assert drain(Spool(tmp_path, 1 << 20)) == []


@given(st.data())
@hypothesis_settings(max_examples=80, deadline=None)
def test_a_crash_at_any_byte_loses_only_batches_that_were_not_completely_written(data: st.DataObject) -> None:
    with tempfile.TemporaryDirectory() as folder:
        spool = Spool(Path(folder), 1 << 30)
        count = data.draw(st.integers(1, 30))
        for i in range(1, count + 1):
            spool.append(i, payload(i))
        acknowledged = data.draw(st.integers(0, count))
        assert drain(spool, acknowledged) == list(range(1, acknowledged + 1))
        segments = sorted(Path(folder).glob("*.seg"))
        segment_bytes = segments[-1].read_bytes()
        bytes_left = data.draw(st.integers(0, len(segment_bytes)))
        segments[-1].write_bytes(segment_bytes[:bytes_left])
        if data.draw(st.booleans()):  # a torn write of the cursor: the other slot stays valid
            cursor = Path(folder) / "cursor"
            slots = bytearray(cursor.read_bytes())
            assert spool._cursor is not None
            slot = spool._cursor.generation % 2 * records.CURSOR_SLOT.size
            slots[slot + data.draw(st.integers(0, records.CURSOR_SLOT.size - 1))] ^= 0x55
            cursor.write_bytes(bytes(slots))
        stored = [r.stamp for r in records.scan_records(segment_bytes[:bytes_left], records.SPOOL_MAGIC)]
        reopened = Spool(Path(folder), 1 << 30)
        drained = drain(reopened)
        # All complete batches that were not acknowledged, in order; the last acknowledged may precede them.
        assert drained == [i for i in stored if i > acknowledged] or drained == [
            i for i in stored if i >= acknowledged
        ]
        reopened.append(1000, b"later")
        assert drain(reopened) == [1000]


def test_a_process_that_is_killed_while_writing_leaves_the_spool_in_order(tmp_path: Path) -> None:
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
        output = process.communicate()[0]
        sent += [
            int(line)
            for line in output.splitlines()
            if output.endswith("\n") or line != output.splitlines()[-1]
        ]
    assert len(sent) > 30
    # After each kill at most the batch in flight is sent a second time, and no older batch.
    assert all(a <= b for a, b in pairwise(sent))
    assert sum(a == b for a, b in pairwise(sent)) <= 3
    spool = Spool(tmp_path, 4 << 20)
    rest = drain(spool)
    assert rest == sorted(set(rest)) and rest[0] >= sent[-1]


def torn(data: bytes) -> bytes:
    return data[:-1]


def spoilt(data: bytes) -> bytes:
    return data[:200] + bytes([data[200] ^ 1]) + data[201:]


@pytest.mark.parametrize("corrupt", [torn, spoilt, lambda data: b"", lambda data: os.urandom(len(data))])
def test_a_corrupt_segment_loses_only_its_own_batches_and_the_spool_opens(
    tmp_path: Path, corrupt: Corruption
) -> None:
    spool = Spool(tmp_path, 1 << 20)
    for i in range(1, 601):
        spool.append(i, b"x" * 1000)
    segments = sorted(tmp_path.glob("*.seg"))
    assert len(segments) >= 4
    segments[1].write_bytes(corrupt(segments[1].read_bytes()))
    (tmp_path / "notes.txt").write_text("not ours")
    reopened = Spool(tmp_path, 1 << 20)
    assert "notes.txt" in reopened.foreign_files
    drained = drain(reopened)
    first = segments[0].read_bytes() if segments[0].exists() else None
    in_first = (
        drained.index(600) if first is None else len(list(records.scan_records(first, records.SPOOL_MAGIC)))
    )
    assert (
        drained == sorted(drained)
        and drained[0] == 1
        and drained[-1] == 600
        and len(drained) + reopened.lost_batches == 600
    )
    assert in_first and (tmp_path / "notes.txt").read_text() == "not ours"


def test_a_spool_with_an_unreadable_cursor_sends_nothing_twice(tmp_path: Path) -> None:
    spool = Spool(tmp_path, 1 << 20)
    for i in range(1, 11):
        spool.append(i, b"x")
    drain(spool, 5)
    (tmp_path / "cursor").write_bytes(b"nonsense" * 6)
    reopened = Spool(tmp_path, 1 << 20)
    assert drain(reopened) == [] and reopened.lost_batches == 10
    reopened.append(11, b"y")
    assert drain(reopened) == [11]


def test_a_full_spool_drops_its_oldest_segments(tmp_path: Path) -> None:
    spool = Spool(tmp_path, 1 << 20)
    for i in range(1, 3001):
        spool.append(i, b"x" * 1000)
        assert spool.size_bytes <= (1 << 20) + 2000
    drained = drain(spool)
    assert drained[-1] == 3000 and len(drained) + spool.lost_batches == 3000 and spool.lost_batches > 1500
    assert drained == list(range(drained[0], 3001))
