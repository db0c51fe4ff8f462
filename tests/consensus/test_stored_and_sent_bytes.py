"""Tests that messages, records on disk and a replica's directory keep their bytes between versions.

The fixtures were written by an earlier version of the program. Classes and fields may be renamed; tags, types
and the order of fields must stay. Each line of a fixture holds a name and the bytes in hexadecimal.
"""

from __future__ import annotations

import os
import shutil
from pathlib import Path
from typing import Any

import msgspec
import pytest

from zincladder.consensus import rpc
from zincladder.consensus.key_value_state import (
    CapacityExceeded,
    CompareAndSwap,
    FencingTokenRejected,
    KeyValueState,
    Swapped,
    VersionedValue,
    VersionGuard,
    VersionMismatch,
)
from zincladder.consensus.lease_timing import LeaseTiming
from zincladder.consensus.model import (
    AppendEntries,
    AppendEntriesResponse,
    Entry,
    EntryKind,
    HardState,
    InstallSnapshot,
    InstallSnapshotResponse,
    Membership,
    Message,
    Output,
    RequestVote,
    RequestVoteResponse,
    Snapshot,
    TimeoutNow,
)
from zincladder.consensus.store import RecordKind, ReplicaIdentity, ReplicaStore
from zincladder.durable import records
from zincladder.durable.journal import Item, Journal
from zincladder.links.frames import FrameDecoder, HandshakeResponse, Hello, Rejected, Welcome, encode_frame

DATA = Path(__file__).resolve().parent.parent / "data"
VOTERS = {"k1": "127.0.0.1:7301", "k2": "127.0.0.1:7302", "k3": "10.0.0.3:7300"}
MEMBERS = Membership(VOTERS, {"k4": "127.0.0.1:7304"})
ENTRIES = (
    Entry(3, EntryKind.EMPTY),
    Entry(3, EntryKind.DATA, b"\x00\xffdata"),
    Entry(4, EntryKind.MEMBERS, msgspec.msgpack.encode(MEMBERS)),
)

RAFT_MESSAGES: dict[str, Any] = {
    "vote requested": RequestVote(4, 17, 3),
    "vote requested before an election": RequestVote(5, 17, 3, True),
    "vote requested at a transfer": RequestVote(5, 17, 3, False, True),
    "vote granted": RequestVoteResponse(4, True),
    "vote denied before an election": RequestVoteResponse(4, False, True),
    "heartbeat": AppendEntries(4, 9, 17, 3, 16),
    "entries": AppendEntries(4, 10, 17, 3, 16, ENTRIES),
    "entries stored": AppendEntriesResponse(4, 10, True, 20),
    "entries rejected": AppendEntriesResponse(4, 10, False, 17, 12),
    "part of a snapshot": InstallSnapshot(4, 11, 500, 3, MEMBERS, 131072, 300000, b"\x01\x02part"),
    "part of a snapshot stored": InstallSnapshotResponse(4, 11, 500, 131078),
    "election at once": TimeoutNow(70000),
}
REQUESTS: dict[str, Any] = {
    "status": rpc.RpcRequest(1, rpc.GetStatus()),
    "get": rpc.RpcRequest(2, rpc.GetByPrefix("policy/")),
    "swap": rpc.RpcRequest(3, CompareAndSwap("policy/a", 17, b"\x00\xffvalue")),
    "swap that removes": rpc.RpcRequest(4, CompareAndSwap("policy/a", 18, None)),
    "swap with a guard": rpc.RpcRequest(
        5, CompareAndSwap("progress/x", 0, b"p", VersionGuard("duty/x", 300))
    ),
    "add": rpc.RpcRequest(6, rpc.ChangeMembership({"k4": "127.0.0.1:7304"})),
    "remove": rpc.RpcRequest(7, rpc.ChangeMembership({}, "k2")),
    "transfer of leadership": rpc.RpcRequest(8, rpc.TransferLeadership()),
    "progress": rpc.RpcRequest(9, rpc.GetProgress()),
    "collect": rpc.RpcRequest(2**40, rpc.CollectCounters()),
}
RESPONSES: dict[str, Any] = {
    "status": rpc.RpcResponse(
        1,
        rpc.ReplicaStatus(
            *("k1", "leader", "k1", 4, 20, 21, 5, VOTERS, {"k4": "127.0.0.1:7304"}),
            *({"k2": 20, "k3": 0}, ["k3"], ["k5"], 12, 4096),
        ),
    ),
    "values": rpc.RpcResponse(
        2,
        rpc.ValuesByPrefix(
            {"policy/a": VersionedValue(17, b"\x00\xff"), "policy/b": VersionedValue(18, b"")}
        ),
    ),
    "progress": rpc.RpcResponse(3, rpc.ProgressReport(b'{"fronts": {}}')),
    "sums": rpc.RpcResponse(4, rpc.CollectedCounters("k1/4", {"served": 12.0, "failed": 0.5})),
    "swapped": rpc.RpcResponse(5, Swapped(18)),
    "version differs": rpc.RpcResponse(6, VersionMismatch(17)),
    "no room": rpc.RpcResponse(7, CapacityExceeded("4096 registers at most")),
    "guard differs": rpc.RpcResponse(8, FencingTokenRejected(301)),
    "another leads": rpc.RpcResponse(9, rpc.NotLeader("k2", "127.0.0.1:7302")),
    "nobody leads": rpc.RpcResponse(10, rpc.NotLeader("", "")),
    "failed": rpc.RpcResponse(11, rpc.RequestFailed("one voter at a time")),
    "unknown": rpc.RpcResponse(12, rpc.OutcomeUnknown("no majority has answered yet")),
    "done": rpc.RpcResponse(13, rpc.Done()),
}
HANDSHAKES: dict[str, Any] = {
    "replica": Hello(1, "fleet", "keeper", "k1", "00112233aabbccdd"),
    "operator without a birth": Hello(1, "fleet", "operator", "me"),
    "front": Hello(1, "fleet", "front", "front-1", "ffeeddcc00112233"),
    "worker": Hello(1, "fleet", "worker", "front-1", "ffeeddcc00112233"),
    "welcome": Welcome("k1", "00112233aabbccdd"),
    "refused": Rejected("group 'other', not 'fleet'"),
}
RECORDS: dict[str, Any] = {
    "identity": ReplicaIdentity(1, "fleet", "k1", "00112233aabbccdd"),
    "vote": HardState(4, "k2"),
    "no vote": HardState(),
    "members": MEMBERS,
    "entry without data": ENTRIES[0],
    "entry with data": ENTRIES[1],
    "snapshot": Snapshot(500, 3, MEMBERS, b"\x00\xffstate"),
    "value": VersionedValue(17, b"\x00\xffvalue"),
    "lease terms": LeaseTiming(6.0, 1.5, 0.02, 3.5, 0.4, 0.6, 16.0, 0.25),
    "lease terms by default": LeaseTiming(),
}


# The fields in the order in which they are encoded. The fixtures alone may not show that two fields of the
# same type were swapped.
FIELDS: dict[type[msgspec.Struct], str] = {
    RequestVote: "term last_index last_term pre_vote leadership_transfer",
    RequestVoteResponse: "term granted pre_vote",
    AppendEntries: "term serial prev_index prev_term commit_index entries",
    Entry: "term kind data",
    AppendEntriesResponse: "term serial success index next_index_hint",
    InstallSnapshot: "term serial index snapshot_term membership offset total_bytes chunk",
    Membership: "voters learners",
    InstallSnapshotResponse: "term serial index offset",
    TimeoutNow: "term",
    rpc.RpcRequest: "number body",
    rpc.GetByPrefix: "prefix",
    CompareAndSwap: "key expected data guard",
    VersionGuard: "key version",
    rpc.ChangeMembership: "add remove",
    rpc.RpcResponse: "number body",
    rpc.ReplicaStatus: (
        "name role leader term commit_index last_index snapshot_index voters learners match_indexes"
        " silent_peers stale_peers key_count journal_bytes"
    ),
    rpc.ValuesByPrefix: "values",
    VersionedValue: "version data",
    rpc.ProgressReport: "data",
    rpc.CollectedCounters: "epoch totals",
    Swapped: "version",
    VersionMismatch: "version",
    CapacityExceeded: "reason",
    FencingTokenRejected: "version",
    rpc.NotLeader: "leader address",
    rpc.RequestFailed: "reason",
    rpc.OutcomeUnknown: "reason",
    Hello: "version group role name instance_id",
    Welcome: "name instance_id",
    Rejected: "reason",
    ReplicaIdentity: "version group name instance_id",
    HardState: "term voted_for",
    Snapshot: "index term membership state",
    LeaseTiming: (
        "lease_seconds renew_seconds clock_drift check_timeout_seconds release_timeout_seconds"
        " min_agreeing_share max_deferral_seconds max_action_seconds"
    ),
}


def read_fixture(name: str) -> dict[str, bytes]:
    """The bytes in the lines of a fixture file, by name."""
    rows = (line.rsplit(" ", 1) for line in (DATA / name).read_text().splitlines())
    return {key: bytes.fromhex(data) for key, data in rows}


@pytest.mark.parametrize(
    "file, messages, kind",
    [
        ("raft_messages.hex", RAFT_MESSAGES, Message),
        ("replica_calls.hex", REQUESTS, rpc.RpcRequest),
        ("replica_answers.hex", RESPONSES, rpc.RpcResponse),
    ],
)
def test_messages_between_processes_keep_their_bytes(file: str, messages: dict[str, Any], kind: Any) -> None:
    stored = read_fixture(file)
    assert stored.keys() == messages.keys()
    for name, data in stored.items():
        assert msgspec.msgpack.encode(messages[name]) == data, name
        assert msgspec.msgpack.decode(data, type=kind) == messages[name], name


def test_handshake_messages_and_their_frames_keep_their_bytes() -> None:
    stored = read_fixture("link_frames.hex")
    assert stored.keys() == HANDSHAKES.keys()
    for name, data in stored.items():
        message = HANDSHAKES[name]
        assert encode_frame(msgspec.msgpack.encode(message)) == data, name
        (body,) = FrameDecoder().feed(data)
        kind: Any = Hello if isinstance(message, Hello) else HandshakeResponse
        assert msgspec.msgpack.decode(body, type=kind) == message, name


def test_records_of_a_replica_keep_their_bytes() -> None:
    stored = read_fixture("replica_records.hex")
    assert stored.keys() == RECORDS.keys()
    for name, data in stored.items():
        assert msgspec.msgpack.encode(RECORDS[name]) == data, name
        assert msgspec.msgpack.decode(data, type=type(RECORDS[name])) == RECORDS[name], name


@pytest.mark.parametrize("message, names", FIELDS.items(), ids=lambda value: getattr(value, "__name__", ""))
def test_fields_keep_their_order(message: type[msgspec.Struct], names: str) -> None:
    assert message.__struct_fields__ == tuple(names.split())


def test_record_kinds_and_entry_kinds_keep_their_numbers() -> None:
    # identity, hard state, snapshot, entry, peer instances
    assert [int(kind) for kind in RecordKind] == [0, 1, 2, 3, 4]
    # empty, data, members
    assert [int(kind) for kind in EntryKind] == [0, 1, 2]


def test_the_key_value_state_is_dumped_to_the_same_bytes() -> None:
    state = KeyValueState()
    state.apply(5, msgspec.msgpack.encode(CompareAndSwap("b", 0, b"second key")))
    state.apply(6, msgspec.msgpack.encode(CompareAndSwap("a", 0, b"\x00\xff")))
    state.apply(7, msgspec.msgpack.encode(CompareAndSwap("progress/x", 0, b"p", VersionGuard("a", 6))))
    (data,) = read_fixture("key_value_state.hex").values()
    assert state.dump() == data and KeyValueState(data).dump() == data


def test_records_of_segments_and_cursors_keep_their_bytes() -> None:
    stored = read_fixture("segments.hex")
    segment = records.segment_header(records.JOURNAL_MAGIC, 1)
    segment += (
        records.pack(1, 257, b"first") + records.pack(2, 386, b"") + records.pack(3, 2**40, b"\xff" * 9)
    )
    spool = records.segment_header(records.SPOOL_MAGIC, 70000) + records.pack(
        70000, 1_700_000_000_000, b"batch"
    )
    cursor = records.pack_cursor(3, 70000) + records.pack_cursor(4, 70007)
    assert stored == {"journal": segment, "spool": spool, "cursor": cursor}
    found = [
        (r.number, r.stamp, r.payload) for r in records.scan_records(stored["journal"], records.JOURNAL_MAGIC)
    ]
    assert found == [(1, 257, b"first"), (2, 386, b""), (3, 2**40, b"\xff" * 9)]
    assert records.read_cursor(stored["cursor"]) == (4, 70007)


def test_a_journal_is_written_to_the_same_bytes(tmp_path: Path) -> None:
    journal = Journal(tmp_path / "j")
    journal.rewrite([Item(0, b"first"), Item(2, b"")])
    journal.append([Item(1, b"alone")])
    journal.append([Item(3, b"one"), Item(127, b"two"), Item(3, b"three")])
    journal.close()
    (path,) = (tmp_path / "j").glob("*.log")
    assert path.name == "00000000000000000001.log"
    assert path.read_bytes() == read_fixture("journal.hex")["journal"]


def test_a_store_is_written_to_the_same_bytes(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(os, "urandom", lambda size: b"\xab" * size)
    store = ReplicaStore(tmp_path / "s", "fleet", "k1", Membership(VOTERS))
    store.write(Output(HardState(3, "k2"), None, False, 1, ENTRIES[:2]))
    assert store.remember_peer("k2", "0011")
    first = (tmp_path / "s" / "00000000000000000001.log").read_bytes()
    store.write(Output(HardState(4, "k1"), Snapshot(2, 3, MEMBERS, b"state"), True, 3, ENTRIES[2:]))
    store.forget_peer("k2")
    store.close()
    second = (tmp_path / "s" / "00000000000000000002.log").read_bytes()
    assert read_fixture("replica_journal.hex") == {"first": first, "after a snapshot": second}


def test_a_replica_directory_of_an_earlier_version_is_read_and_written_to(tmp_path: Path) -> None:
    folder = tmp_path / "replica"
    shutil.copytree(DATA / "replica", folder)
    store = ReplicaStore(folder, "test", "k2", Membership({}))
    assert store.identity == ReplicaIdentity(1, "test", "k2", "67944e2e3c4a6bb4")
    assert store.peer_instances == {"k1": "04910c05ed696596", "k3": "911b7ca07892bbf0"}
    assert store.existed and store.torn_bytes == 0
    hard, snapshot, entries = msgspec.structs.astuple(store.stored)
    members = Membership(dict.fromkeys(("k1", "k2", "k3"), "127.0.0.1:1"))
    dumped = msgspec.structs.astuple(snapshot)[3]
    assert hard == HardState(1, "k1") and snapshot == Snapshot(214, 1, members, dumped)
    state = KeyValueState(dumped)
    assert state.get("policy/a") == VersionedValue(5, b"second") and state.get("gone") is None
    terms = state.with_prefix("terms")["terms"]
    assert terms == VersionedValue(
        2, msgspec.msgpack.encode(LeaseTiming(1.5, 0.25, 0.01, 1.0, 0.3, 0.5, 4.0, 0.1))
    )
    swaps = (
        CompareAndSwap("policy/a", 1, bytes(5000)),
        CompareAndSwap("policy/b", 0, b"after the snapshot"),
        CompareAndSwap("note/x", 0, bytes(range(40))),
        CompareAndSwap("policy/c", 0, b"last"),
    )
    assert entries == tuple(Entry(1, EntryKind.DATA, msgspec.msgpack.encode(swap)) for swap in swaps)
    results = [state.apply(215 + n, msgspec.msgpack.encode(swap)) for n, swap in enumerate(swaps)]
    assert results == [VersionMismatch(5), Swapped(216), Swapped(217), Swapped(218)]
    store.write(Output(HardState(2, "k2"), None, False, 219, (Entry(2, EntryKind.EMPTY),)))
    store.close()
    store = ReplicaStore(folder, "test", "k2", Membership({}))
    reopened = msgspec.structs.astuple(store.stored)
    assert reopened[0] == HardState(2, "k2") and reopened[2] == (*entries, Entry(2, EntryKind.EMPTY))
    store.close()
