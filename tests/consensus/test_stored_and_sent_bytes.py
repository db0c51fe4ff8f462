"""Bytes that other processes and older programs rely on: messages, records on disk, a replica's directory.

The fixtures were written by the program before its names were changed. A class or a field may be renamed;
a tag, the order of fields or a type may not. Each line of a fixture is a name and the bytes in hexadecimal.
"""

from __future__ import annotations

import os
import shutil
from pathlib import Path
from typing import Any

import msgspec
import pytest

from zincladder.agreement import calls
from zincladder.agreement.model import (
    Append,
    Appended,
    Ask,
    Entry,
    Hard,
    Install,
    Installing,
    Kind,
    Members,
    Message,
    Now,
    Output,
    Snapshot,
    Vote,
)
from zincladder.agreement.registers import Fenced, Full, Guard, Missed, Registers, Swap, Swapped, Value
from zincladder.agreement.store import Identity, Kept, Store
from zincladder.agreement.terms import Terms
from zincladder.durable import records
from zincladder.durable.journal import Journal
from zincladder.links.frames import Frames, Greeting, Hello, Refused, Welcome, frame

DATA = Path(__file__).resolve().parent.parent / "data"
VOTERS = {"k1": "127.0.0.1:7301", "k2": "127.0.0.1:7302", "k3": "10.0.0.3:7300"}
MEMBERS = Members(VOTERS, {"k4": "127.0.0.1:7304"})
ENTRIES = (
    Entry(3, Kind.EMPTY),
    Entry(3, Kind.DATA, b"\x00\xffdata"),
    Entry(4, Kind.MEMBERS, msgspec.msgpack.encode(MEMBERS)),
)

RAFT: dict[str, Any] = {
    "vote requested": Ask(4, 17, 3),
    "vote requested before an election": Ask(5, 17, 3, True),
    "vote requested at a transfer": Ask(5, 17, 3, False, True),
    "vote granted": Vote(4, True),
    "vote denied before an election": Vote(4, False, True),
    "heartbeat": Append(4, 9, 17, 3, 16),
    "entries": Append(4, 10, 17, 3, 16, ENTRIES),
    "entries stored": Appended(4, 10, True, 20),
    "entries rejected": Appended(4, 10, False, 17, 12),
    "part of a snapshot": Install(4, 11, 500, 3, MEMBERS, 131072, 300000, b"\x01\x02part"),
    "part of a snapshot stored": Installing(4, 11, 500, 131078),
    "election at once": Now(70000),
}
CALLS: dict[str, Any] = {
    "status": calls.Call(1, calls.Status()),
    "get": calls.Call(2, calls.Get("policy/")),
    "swap": calls.Call(3, Swap("policy/a", 17, b"\x00\xffvalue")),
    "swap that removes": calls.Call(4, Swap("policy/a", 18, None)),
    "swap with a guard": calls.Call(5, Swap("progress/x", 0, b"p", Guard("duty/x", 300))),
    "add": calls.Call(6, calls.Change({"k4": "127.0.0.1:7304"})),
    "remove": calls.Call(7, calls.Change({}, "k2")),
    "transfer of leadership": calls.Call(8, calls.HandOver()),
    "progress": calls.Call(9, calls.Progress()),
    "collect": calls.Call(2**40, calls.Collect()),
}
ANSWERS: dict[str, Any] = {
    "status": calls.Answer(
        1,
        calls.Standing(
            *("k1", "leader", "k1", 4, 20, 21, 5, VOTERS, {"k4": "127.0.0.1:7304"}),
            *({"k2": 20, "k3": 0}, ["k3"], ["k5"], 12, 4096),
        ),
    ),
    "values": calls.Answer(2, calls.Found({"policy/a": Value(17, b"\x00\xff"), "policy/b": Value(18, b"")})),
    "progress": calls.Answer(3, calls.Told(b'{"fronts": {}}')),
    "sums": calls.Answer(4, calls.Collected("k1/4", {"served": 12.0, "failed": 0.5})),
    "swapped": calls.Answer(5, Swapped(18)),
    "version differs": calls.Answer(6, Missed(17)),
    "no room": calls.Answer(7, Full("4096 registers at most")),
    "guard differs": calls.Answer(8, Fenced(301)),
    "another leads": calls.Answer(9, calls.Moved("k2", "127.0.0.1:7302")),
    "nobody leads": calls.Answer(10, calls.Moved("", "")),
    "failed": calls.Answer(11, calls.Failed("one voter at a time")),
    "unknown": calls.Answer(12, calls.Unknown("no majority has answered yet")),
    "done": calls.Answer(13, calls.Done()),
}
GREETINGS: dict[str, Any] = {
    "replica": Hello(1, "fleet", "keeper", "k1", "00112233aabbccdd"),
    "operator without a birth": Hello(1, "fleet", "operator", "me"),
    "front": Hello(1, "fleet", "front", "front-1", "ffeeddcc00112233"),
    "worker": Hello(1, "fleet", "worker", "front-1", "ffeeddcc00112233"),
    "welcome": Welcome("k1", "00112233aabbccdd"),
    "refused": Refused("group 'other', not 'fleet'"),
}
STATE: dict[str, Any] = {
    "identity": Identity(1, "fleet", "k1", "00112233aabbccdd"),
    "vote": Hard(4, "k2"),
    "no vote": Hard(),
    "members": MEMBERS,
    "entry without data": ENTRIES[0],
    "entry with data": ENTRIES[1],
    "snapshot": Snapshot(500, 3, MEMBERS, b"\x00\xffstate"),
    "value": Value(17, b"\x00\xffvalue"),
    "lease terms": Terms(6.0, 1.5, 0.02, 3.5, 0.4, 0.6, 16.0, 0.25),
    "lease terms by default": Terms(),
}


def lines(name: str) -> dict[str, bytes]:
    """A fixture file: what stands in each of its lines, by its name."""
    rows = (line.rsplit(" ", 1) for line in (DATA / name).read_text().splitlines())
    return {key: bytes.fromhex(data) for key, data in rows}


@pytest.mark.parametrize(
    "file, messages, kind",
    [
        ("raft_messages.hex", RAFT, Message),
        ("replica_calls.hex", CALLS, calls.Call),
        ("replica_answers.hex", ANSWERS, calls.Answer),
    ],
)
def test_messages_between_processes_keep_their_bytes(file: str, messages: dict[str, Any], kind: Any) -> None:
    stored = lines(file)
    assert stored.keys() == messages.keys()
    for name, data in stored.items():
        assert msgspec.msgpack.encode(messages[name]) == data, name
        assert msgspec.msgpack.decode(data, type=kind) == messages[name], name


def test_greetings_and_their_frames_keep_their_bytes() -> None:
    stored = lines("link_frames.hex")
    assert stored.keys() == GREETINGS.keys()
    for name, data in stored.items():
        message = GREETINGS[name]
        assert frame(msgspec.msgpack.encode(message)) == data, name
        (body,) = Frames().feed(data)
        kind: Any = Hello if isinstance(message, Hello) else Greeting
        assert msgspec.msgpack.decode(body, type=kind) == message, name


def test_what_a_replica_stores_keeps_its_bytes() -> None:
    stored = lines("replica_records.hex")
    assert stored.keys() == STATE.keys()
    for name, data in stored.items():
        assert msgspec.msgpack.encode(STATE[name]) == data, name
        assert msgspec.msgpack.decode(data, type=type(STATE[name])) == STATE[name], name


def test_the_numbers_of_the_kinds_of_records_and_entries_stay() -> None:
    assert [int(kind) for kind in Kept] == [0, 1, 2, 3, 4]  # identity, vote, snapshot, entry, births
    assert [int(kind) for kind in Kind] == [0, 1, 2]  # empty, data, members


def test_registers_are_dumped_to_the_same_bytes() -> None:
    state = Registers()
    state.apply(5, msgspec.msgpack.encode(Swap("b", 0, b"second key")))
    state.apply(6, msgspec.msgpack.encode(Swap("a", 0, b"\x00\xff")))
    state.apply(7, msgspec.msgpack.encode(Swap("progress/x", 0, b"p", Guard("a", 6))))
    (data,) = lines("key_value_state.hex").values()
    assert state.dump() == data and Registers(data).dump() == data


def test_records_of_segments_and_cursors_keep_their_bytes() -> None:
    stored = lines("segments.hex")
    segment = records.segment_header(records.JOURNAL, 1)
    segment += (
        records.pack(1, 257, b"first") + records.pack(2, 386, b"") + records.pack(3, 2**40, b"\xff" * 9)
    )
    spool = records.segment_header(records.SPOOL, 70000) + records.pack(70000, 1_700_000_000_000, b"batch")
    cursor = records.pack_cursor(3, 70000) + records.pack_cursor(4, 70007)
    assert stored == {"journal": segment, "spool": spool, "cursor": cursor}
    found = [(r.number, r.stamp, r.payload) for r in records.scan(stored["journal"], records.JOURNAL)]
    assert found == [(1, 257, b"first"), (2, 386, b""), (3, 2**40, b"\xff" * 9)]
    assert records.read_cursor(stored["cursor"]) == (4, 70007)


def test_a_journal_is_written_to_the_same_bytes(tmp_path: Path) -> None:
    journal = Journal(tmp_path / "j")
    journal.rewrite([(0, b"first"), (2, b"")])
    journal.append([(1, b"alone")])
    journal.append([(3, b"one"), (127, b"two"), (3, b"three")])
    journal.close()
    (path,) = (tmp_path / "j").glob("*.log")
    assert path.name == "00000000000000000001.log"
    assert path.read_bytes() == lines("journal.hex")["journal"]


def test_a_store_is_written_to_the_same_bytes(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(os, "urandom", lambda size: b"\xab" * size)
    store = Store(tmp_path / "s", "fleet", "k1", Members(VOTERS))
    store.write(Output(Hard(3, "k2"), None, False, 1, ENTRIES[:2]))
    assert store.met("k2", "0011")
    first = (tmp_path / "s" / "00000000000000000001.log").read_bytes()
    store.write(Output(Hard(4, "k1"), Snapshot(2, 3, MEMBERS, b"state"), True, 3, ENTRIES[2:]))
    store.forget("k2")
    store.close()
    second = (tmp_path / "s" / "00000000000000000002.log").read_bytes()
    assert lines("replica_journal.hex") == {"first": first, "after a snapshot": second}


def test_the_directory_of_a_replica_of_the_earlier_program_is_read_and_goes_on(tmp_path: Path) -> None:
    folder = tmp_path / "replica"
    shutil.copytree(DATA / "replica", folder)
    store = Store(folder, "test", "k2", Members({}))
    assert store.identity == Identity(1, "test", "k2", "67944e2e3c4a6bb4")
    assert store.births == {"k1": "04910c05ed696596", "k3": "911b7ca07892bbf0"}
    assert store.found and store.torn == 0
    hard, snapshot, entries = msgspec.structs.astuple(store.stored)
    members = Members(dict.fromkeys(("k1", "k2", "k3"), "127.0.0.1:1"))
    dumped = msgspec.structs.astuple(snapshot)[3]
    assert hard == Hard(1, "k1") and snapshot == Snapshot(214, 1, members, dumped)
    state = Registers(dumped)
    assert state.get("policy/a") == Value(5, b"second") and state.get("gone") is None
    terms = state.under("terms")["terms"]
    assert terms == Value(2, msgspec.msgpack.encode(Terms(1.5, 0.25, 0.01, 1.0, 0.3, 0.5, 4.0, 0.1)))
    swaps = (
        Swap("policy/a", 1, bytes(5000)),
        Swap("policy/b", 0, b"after the snapshot"),
        Swap("note/x", 0, bytes(range(40))),
        Swap("policy/c", 0, b"last"),
    )
    assert entries == tuple(Entry(1, Kind.DATA, msgspec.msgpack.encode(swap)) for swap in swaps)
    results = [state.apply(215 + n, msgspec.msgpack.encode(swap)) for n, swap in enumerate(swaps)]
    assert results == [Missed(5), Swapped(216), Swapped(217), Swapped(218)]
    store.write(Output(Hard(2, "k2"), None, False, 219, (Entry(2, Kind.EMPTY),)))
    store.close()
    store = Store(folder, "test", "k2", Members({}))
    again = msgspec.structs.astuple(store.stored)
    assert again[0] == Hard(2, "k2") and again[2] == (*entries, Entry(2, Kind.EMPTY))
    store.close()
