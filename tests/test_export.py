"""Samples on their way: messages, the rules of delivery, what a crash leaves, and receivers that
misbehave.
"""

from __future__ import annotations

import os
import random
import signal
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import Callable, Iterator
from email.utils import formatdate
from itertools import pairwise
from pathlib import Path
from typing import Any

import anyio
import anyio.abc
import cramjam
import h11
import pytest
from hypothesis import given
from hypothesis import settings as effort
from hypothesis import strategies as st

from zincladder.config import ConfigError, RemoteWriteConfig
from zincladder.durable import records
from zincladder.export import messages
from zincladder.export.delivery import Delivery, Fate, Next, Outcome, Rules, retry_after
from zincladder.export.sender import RemoteWrite
from zincladder.export.spool import MemoryStore, Spool
from zincladder.metrics.exposition import Sample

SAMPLES = [
    Sample("zincladder_answers_total", (("kind", "served"), ("front", "n0")), 3.0),
    Sample("zincladder_members", (("front", "n0"),), 4.0),
    Sample("zincladder_odd", (("front", 'quote " and\nline \\ \u00e6'),), 1.0),
]
Spoil = Callable[[bytes], bytes]


def test_a_batch_says_the_same_in_both_protocols() -> None:
    payload, count = messages.batch(SAMPLES, 1_764_576_000_123, 1_764_570_000_000)
    request = messages.parse_v2(payload)
    symbols = list(request.symbols)
    assert count == 3 and symbols[0] == "" and len(symbols) == len(set(symbols))
    names = [[symbols[ref] for ref in series.labels_refs] for series in request.timeseries]
    assert names[0] == ["__name__", "zincladder_answers_total", "front", "n0", "kind", "served"]
    assert [s.metadata.type for s in request.timeseries] == [messages.COUNTER, messages.GAUGE, messages.GAUGE]
    assert request.timeseries[0].created_timestamp == 1_764_570_000_000
    old = messages.WriteRequest()
    old.ParseFromString(messages.to_v1(payload))
    assert [[t for pair in s.labels for t in (pair.name, pair.value)] for s in old.timeseries] == names
    assert [s.samples[0].value for s in old.timeseries] == [3.0, 4.0, 1.0]
    for bad in (b"\xff\xff", payload[:-3]):
        with pytest.raises(ValueError):
            messages.to_v1(bad)
    request.timeseries[0].labels_refs[0] = 99
    with pytest.raises(ValueError, match="no symbol"):
        messages.to_v1(request.SerializeToString())


# Delivery --------------------------------------------------------------------------------------------


def delivery(**changes: Any) -> Delivery:
    return Delivery(Rules(**changes), random.Random(5))


@pytest.mark.parametrize(
    ("outcome", "fate"),
    [
        (Outcome(200), Fate.SENT),
        (Outcome(204, written=7), Fate.SENT),
        (
            Outcome(200, written=6),
            Fate.PARTIAL,
        ),  # the rest was dropped there; sending it again would not help
        (Outcome(400), Fate.REFUSED),
        (Outcome(404), Fate.REFUSED),
        (Outcome(301), Fate.REFUSED),
        (Outcome(415), Fate.FELL_BACK),
        (Outcome(429), Fate.RETRIED),
        (Outcome(500), Fate.RETRIED),
        (Outcome(0), Fate.RETRIED),
    ],
)
def test_what_follows_from_each_answer(outcome: Outcome, fate: Fate) -> None:
    d = delivery()
    assert d.ended(outcome, 1000, 7, 100.0) is fate
    assert (d.next(100.0, 1)[0] is Next.WAIT) == (fate is Fate.RETRIED)
    if fate is Fate.FELL_BACK:
        assert d.version == 1 and d.ended(outcome, 1000, 7, 100.0) is Fate.REFUSED


def test_pauses_grow_with_jitter_to_their_bound_and_one_success_ends_them() -> None:
    d, now, pauses = delivery(), 0.0, []
    for _ in range(12):
        d.ended(Outcome(503), 10, 1, now)
        pauses.append(d.next(now, 1)[1])
        now += pauses[-1]
        assert d.next(now, 1) == (Next.SEND, 0.0)
    assert all(0.25 * 2.0**i <= p <= 0.5 * 2.0**i for i, p in enumerate(pauses[:6]))
    assert all(15.0 <= p <= 30.0 for p in pauses[7:]) and len(set(pauses)) == 12
    d.ended(Outcome(200), 10, 1, now)
    d.ended(Outcome(503), 10, 1, now)
    assert d.next(now, 1)[1] <= 0.5


def test_a_time_that_the_receiver_names_is_kept_up_to_a_bound() -> None:
    d = delivery()
    d.ended(Outcome(429, retry_after=20.0), 10, 1, 0.0)
    assert d.next(0.0, 1) == (Next.WAIT, 20.0)
    d.ended(Outcome(503, retry_after=1e9), 10, 1, 20.0)
    assert d.next(20.0, 1)[1] == 300.0
    d.stepped_back(-5000.0)
    assert d.next(-5000.0, 1)[1] <= 300.0
    date = formatdate(1_764_576_060, usegmt=True)
    from zincladder.export.push import _unix

    assert retry_after(date, 1_764_576_000.0, _unix) == 60.0
    assert retry_after(" 7 ", 0.0, _unix) == 7.0
    assert [retry_after(t, 0.0, _unix) for t in ("soon", "", "-1", "9" * 30, "\u0663")] == [None] * 5


def test_a_backlog_is_replayed_at_a_rate_and_a_fresh_batch_at_once() -> None:
    d, now, sent = delivery(replay_bytes_per_s=10_000), 0.0, 0
    while now < 10.0:
        what, pause = d.next(now, 50)
        if what is Next.SEND:
            d.ended(Outcome(200), 1000, 1, now)
            sent += 1
        now += pause
    assert 99 <= sent <= 102
    assert d.next(now, 1)[0] is Next.SEND


# What is kept -----------------------------------------------------------------------------------------


def test_memory_keeps_the_newest_and_its_bound() -> None:
    store = MemoryStore(1000)
    for i in range(50):
        store.put(i, b"x" * 100)
        assert store.size <= 1000
    first = store.first()
    assert first is not None and (first.unix_ms, len(store), store.lost) == (40, 10, 40)
    store.put(50, b"x" * 100)
    store.done(first)  # it was dropped meanwhile: nothing else goes for it
    second = store.first()
    assert second is not None and second.unix_ms == 41


def drain(spool: Spool, most: int = 10**9) -> list[int]:
    found: list[int] = []
    while len(found) < most and (kept := spool.first()) is not None:
        found.append(kept.unix_ms)
        spool.done(kept)
    return found


def payload(i: int) -> bytes:
    return bytes([i % 251]) * (i * 37 % 300)


def test_a_spool_resumes_where_it_was(tmp_path: Path) -> None:
    spool = Spool(tmp_path, 1 << 20)
    for i in range(1, 101):
        spool.put(i, payload(i))
    assert drain(spool, 40) == list(range(1, 41))
    # No close: the process was killed.
    again = Spool(tmp_path, 1 << 20)
    again.put(101, b"new")
    assert len(again) == 61 and drain(again) == list(range(41, 102)) and again.lost == 0
    assert drain(Spool(tmp_path, 1 << 20)) == []


@given(st.data())
@effort(max_examples=80, deadline=None)
def test_a_crash_at_any_byte_loses_only_what_was_not_yet_written(data: st.DataObject) -> None:
    with tempfile.TemporaryDirectory() as folder:
        spool = Spool(Path(folder), 1 << 30)
        count = data.draw(st.integers(1, 30))
        for i in range(1, count + 1):
            spool.put(i, payload(i))
        done = data.draw(st.integers(0, count))
        assert drain(spool, done) == list(range(1, done + 1))
        segments = sorted(Path(folder).glob("*.seg"))
        whole = segments[-1].read_bytes()
        cut = data.draw(st.integers(0, len(whole)))
        segments[-1].write_bytes(whole[:cut])
        if data.draw(st.booleans()):  # torn while the cursor was written: the other slot stands
            cursor = Path(folder) / "cursor"
            slots = bytearray(cursor.read_bytes())
            slot = spool._generation % 2 * records.SLOT.size
            slots[slot + data.draw(st.integers(0, records.SLOT.size - 1))] ^= 0x55
            cursor.write_bytes(bytes(slots))
        kept = [r.stamp for r in records.scan(whole[:cut], records.SPOOL)]
        again = Spool(Path(folder), 1 << 30)
        found = drain(again)
        # In order, whole, nothing that was done before the last one, and all that was written.
        assert found == [i for i in kept if i > done] or found == [i for i in kept if i >= done]
        again.put(1000, b"later")
        assert drain(again) == [1000]


def test_a_process_that_is_killed_while_it_writes_leaves_a_spool_in_order(tmp_path: Path) -> None:
    code = (
        "import sys; from pathlib import Path; from zincladder.export.spool import Spool\n"
        "s = Spool(Path(sys.argv[1]), 4 << 20); i = s._next\n"
        "while True:\n"
        "    s.put(i, bytes([i % 251]) * 3000); i += 1\n"
        "    if i % 3 == 0: k = s.first(); print(k.unix_ms, flush=True); s.done(k)\n"
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
        spool.put(i, b"x" * 1000)
    segments = sorted(tmp_path.glob("*.seg"))
    assert len(segments) >= 4
    segments[1].write_bytes(spoil(segments[1].read_bytes()))
    (tmp_path / "notes.txt").write_text("not ours")
    again = Spool(tmp_path, 1 << 20)
    assert "notes.txt" in again.foreign
    found = drain(again)
    first = segments[0].read_bytes() if segments[0].exists() else None
    in_first = found.index(600) if first is None else len(list(records.scan(first, records.SPOOL)))
    assert found == sorted(found) and found[0] == 1 and found[-1] == 600 and len(found) + again.lost == 600
    assert in_first and (tmp_path / "notes.txt").read_text() == "not ours"


def test_a_spool_without_its_cursor_sends_nothing_twice(tmp_path: Path) -> None:
    spool = Spool(tmp_path, 1 << 20)
    for i in range(1, 11):
        spool.put(i, b"x")
    drain(spool, 5)
    (tmp_path / "cursor").write_bytes(b"nonsense" * 6)
    again = Spool(tmp_path, 1 << 20)
    assert drain(again) == [] and again.lost == 10
    again.put(11, b"y")
    assert drain(again) == [11]


def test_a_full_spool_drops_its_oldest_segment(tmp_path: Path) -> None:
    spool = Spool(tmp_path, 1 << 20)
    for i in range(1, 3001):
        spool.put(i, b"x" * 1000)
        assert spool.size <= (1 << 20) + 2000
    found = drain(spool)
    assert found[-1] == 3000 and len(found) + spool.lost == 3000 and spool.lost > 1500
    assert found == list(range(found[0], 3001))


# A receiver ---------------------------------------------------------------------------------------------


class Receiver:
    """Takes pushes; answers each with the next step of its script: a status with headers, or a way to
    fail.
    """

    def __init__(self, *script: Any) -> None:
        self.script = list(script)
        self.pushes: list[tuple[dict[bytes, bytes], bytes]] = []
        self.port = 0

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=self.port)
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        task_status.started()
        await listener.serve(self._connection)

    async def _connection(self, stream: anyio.abc.ByteStream) -> None:
        talk, body, head = h11.Connection(h11.SERVER), b"", {}
        async with stream:
            step = self.script.pop(0) if self.script else 204
            if step == "stall":
                await anyio.sleep_forever()
            while not isinstance(event := talk.next_event(), h11.EndOfMessage):
                if event is h11.NEED_DATA:
                    talk.receive_data(await stream.receive())
                elif isinstance(event, h11.Request):
                    head = dict(event.headers)
                elif isinstance(event, h11.Data):
                    body += bytes(event.data)
            self.pushes.append((head, body))
            if step == "reset":
                return
            if step == "trickle":
                await stream.send(b"HTTP/1.1 2")
                await anyio.sleep_forever()
            status, more = step if isinstance(step, tuple) else (step, [])
            answer = h11.Response(status_code=status, headers=[("Content-Length", "0"), *more])
            await stream.send((talk.send(answer) or b"") + (talk.send(h11.EndOfMessage()) or b""))

    def times(self) -> list[int]:
        """The time of each push, in the order in which they came."""
        found = []
        for head, body in self.pushes:
            data = bytes(cramjam.snappy.decompress_raw(body))
            if head[b"x-prometheus-remote-write-version"] == b"2.0.0":
                assert head[b"content-type"] == messages.V2_TYPE.encode()
                request = messages.parse_v2(data)
            else:
                request = messages.WriteRequest()
                request.ParseFromString(data)
            assert len(request.timeseries) == len(SAMPLES)
            found.append(request.timeseries[0].samples[0].timestamp)
        return found


FAST = Rules(backoff=(0.01, 0.05), longest_wait=0.2)


def samples() -> Iterator[Sample]:
    return iter(SAMPLES)


async def pushed(receiver: Receiver, want: dict[str, int], **config: Any) -> Counter[str]:
    """Runs a sender every 20 ms against a receiver until it has counted what is wanted."""
    counts: Counter[str] = Counter()
    async with anyio.create_task_group() as tasks:
        await tasks.start(receiver.run)
        to = RemoteWriteConfig("127.0.0.1", receiver.port, "/api/v1/write", 0.02, **config)
        push = RemoteWrite(to, samples, lambda outcome, many: counts.update({outcome: many}), FAST)
        tasks.start_soon(push.run)
        with anyio.fail_after(10):
            while any(counts[k] < n for k, n in want.items()):
                await anyio.sleep(0.005)
        tasks.cancel_scope.cancel()
    return counts


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("script", "want"),
    [
        ([], {"sent": 3}),
        ([500, 503, 429], {"retried": 3, "sent": 2}),
        ([(429, [("Retry-After", "1")])], {"retried": 1, "sent": 1}),
        ([400, 404], {"refused": 2, "sent": 1}),
        (["reset", "reset"], {"retried": 2, "sent": 1}),
        (["trickle", "stall"], {"retried": 2, "sent": 1}),
        ([415], {"fell_back": 1, "sent": 2}),
        ([(200, [("X-Prometheus-Remote-Write-Samples-Written", "2")])], {"partial": 1, "sent": 1}),
    ],
)
async def test_a_receiver_that_misbehaves_gets_each_batch_in_order(
    script: list[Any], want: dict[str, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("zincladder.export.sender.LIMIT", 0.3)
    receiver = Receiver(*script)
    counts = await pushed(receiver, want)
    assert all(counts[k] == n for k, n in want.items() if k != "sent")
    times = receiver.times()
    assert times == sorted(times)
    if 500 in script:
        assert len({body for _, body in receiver.pushes[:4]}) == 1  # the same batch until it is taken
    if 415 in script:
        versions = [head[b"x-prometheus-remote-write-version"] for head, _ in receiver.pushes[:3]]
        assert versions == [b"2.0.0", b"0.1.0", b"0.1.0"] and times[0] == times[1]


@pytest.mark.anyio
async def test_an_outage_and_a_restart_lose_nothing_with_a_spool(tmp_path: Path) -> None:
    dead = Receiver(*["reset"] * 10_000)
    counts = await pushed(dead, {"retried": 8}, spool_folder=str(tmp_path))
    assert not counts["sent"] and not counts["overflowed"]
    waiting = len(Spool(tmp_path, 64 << 20))
    assert waiting >= 5
    receiver = Receiver()
    await pushed(receiver, {"sent": waiting + 2}, spool_folder=str(tmp_path))
    times = receiver.times()
    assert times == sorted(set(times)) and times[0] == dead.times()[0]


@pytest.mark.anyio
async def test_a_spool_that_cannot_be_written_leaves_memory_and_its_bound(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    tried, real = 0, os.pwrite

    def full(file: int, data: bytes, at: int) -> int:
        nonlocal tried
        tried += len(data) > 100  # a batch; the cursor has its place already
        return real(file, data[:50] if len(data) > 100 and 4 <= tried <= 6 else data, at)

    monkeypatch.setattr("zincladder.export.spool.os.pwrite", full)
    receiver = Receiver(*["reset"] * 4)
    counts = await pushed(receiver, {"sent": 40}, spool_folder=str(tmp_path), max_memory_bytes=1 << 14)
    times = receiver.times()
    assert times == sorted(times) and not counts["overflowed"] and tried > 8


def test_a_spool_that_cannot_be_a_folder_is_a_fault_of_the_configuration(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("x")
    config = RemoteWriteConfig("127.0.0.1", 1, "/", spool_folder=str(tmp_path / "file"))
    with pytest.raises(ConfigError, match=r"remote_write\.spool"):
        RemoteWrite(config, samples, lambda outcome, many: None)
