"""Tests of a replica's store: what it reads after a restart, truncated files and failing disks."""

from __future__ import annotations

import errno
import os
from collections.abc import Callable
from pathlib import Path

import pytest

from zincladder.consensus.model import (
    Entry,
    EntryKind,
    HardState,
    Membership,
    Output,
    Snapshot,
    StoredState,
)
from zincladder.consensus.store import ReplicaStore
from zincladder.durable.errors import JournalError
from zincladder.durable.files import FileSystem

INITIAL_MEMBERS = Membership({"a": "127.0.0.1:1", "b": "127.0.0.1:2", "c": "127.0.0.1:3"})


def entries_of(*terms: int) -> tuple[Entry, ...]:
    return tuple(Entry(term, EntryKind.DATA, b"entry %d" % i) for i, term in enumerate(terms))


def reopen(store: ReplicaStore, folder: Path) -> ReplicaStore:
    store.close()
    return ReplicaStore(folder, "g", "a", INITIAL_MEMBERS)


def test_a_store_returns_what_was_written_and_later_entries_replace_earlier_ones(
    tmp_path: Path,
) -> None:
    store = ReplicaStore(tmp_path / "s", "g", "a", INITIAL_MEMBERS)
    assert store.stored == StoredState(HardState(), Snapshot(0, 0, INITIAL_MEMBERS))
    store.write(Output(hard_state=HardState(1, "b"), first_index=1, entries=entries_of(1, 1, 1)))
    store.write(Output(first_index=2, entries=entries_of(2)))
    store = reopen(store, tmp_path / "s")
    assert store.stored.hard_state == HardState(1, "b")
    assert [e.term for e in store.stored.entries] == [1, 2]
    assert store.remember_peer("b", "first") and not store.remember_peer("b", "second")
    store.write(
        Output(snapshot=Snapshot(2, 2, INITIAL_MEMBERS, b"state"), first_index=3, entries=entries_of(2))
    )
    store = reopen(store, tmp_path / "s")
    assert store.stored.snapshot == Snapshot(2, 2, INITIAL_MEMBERS, b"state")
    assert [e.term for e in store.stored.entries] == [2] and store.stored.hard_state == HardState(1, "b")
    assert not store.remember_peer("b", "second")
    assert len(list((tmp_path / "s").glob("*.log"))) == 1


def test_a_store_truncated_at_any_byte_has_all_batches_before_the_last(tmp_path: Path) -> None:
    store = ReplicaStore(tmp_path / "s", "g", "a", INITIAL_MEMBERS)
    store.write(Output(hard_state=HardState(3, "b"), first_index=1, entries=entries_of(1, 1)))
    before = store.size_bytes
    store.write(Output(hard_state=HardState(4, "c"), first_index=3, entries=entries_of(4, 4, 4)))
    store.close()
    (path,) = (tmp_path / "s").glob("*.log")
    whole = path.read_bytes()
    for cut in range(before, len(whole)):
        path.write_bytes(whole[:cut])
        reopened = ReplicaStore(tmp_path / "s", "g", "a", INITIAL_MEMBERS)
        found = reopened.stored
        reopened.close()
        assert found.hard_state in (HardState(3, "b"), HardState(4, "c"))
        assert [e.term for e in found.entries] == [1, 1, 4, 4, 4][: len(found.entries)]
        assert len(found.entries) >= 2


class FailingFileSystem(FileSystem):
    """A file system whose call number `failing_call` fails; the calls after it succeed.

    With `half`, an append that fails writes half of its data first.
    """

    def __init__(self, failing_call: int, half: bool = False) -> None:
        self.calls_left, self.half = failing_call, half

    def _call(self) -> None:
        self.calls_left -= 1
        if self.calls_left == 0:
            raise OSError(errno.EIO, "input/output error")

    def append(self, descriptor: int, data: bytes) -> None:
        if self.half and self.calls_left == 1:
            os.write(descriptor, data[: len(data) // 2])
        self._call()
        super().append(descriptor, data)

    def sync(self, descriptor: int) -> None:
        self._call()
        super().sync(descriptor)

    def rename(self, old: Path, new: Path) -> None:
        self._call()
        super().rename(old, new)


@pytest.mark.parametrize("half", [False, True])
@pytest.mark.parametrize("call", range(1, 8))
def test_after_a_failed_call_a_store_accepts_no_write_and_loses_none(
    tmp_path: Path, call: int, half: bool
) -> None:
    # A failed sync must not be retried: a second sync may succeed although the kernel has dropped the data,
    # and with it a vote.
    store = ReplicaStore(tmp_path / "s", "g", "a", INITIAL_MEMBERS)
    store.write(Output(hard_state=HardState(1, "b"), first_index=1, entries=entries_of(1)))
    store.close()
    store = ReplicaStore(tmp_path / "s", "g", "a", INITIAL_MEMBERS, FailingFileSystem(call, half))
    written = [HardState(1, "b")]
    with pytest.raises(JournalError, match=r"input/output error"):
        for n in range(2, 9):
            snapshot = Snapshot(1, 1, INITIAL_MEMBERS, b"state") if n % 3 == 0 else None
            store.write(Output(hard_state=HardState(n, "c"), snapshot=snapshot, first_index=2))
            written.append(HardState(n, "c"))
    with pytest.raises(JournalError):
        store.write(Output(hard_state=HardState(99, "c")))
    found = ReplicaStore(tmp_path / "s", "g", "a", INITIAL_MEMBERS)
    assert found.stored.hard_state in (written[-1], HardState(written[-1].term + 1, "c"))
    found.close()


@pytest.mark.parametrize(
    "prepare, reason",
    [
        (
            lambda folder: ReplicaStore(folder, "other", "a", INITIAL_MEMBERS).close(),
            "'a''s of 'other'|'a'.s of 'other'",
        ),
        (lambda folder: ReplicaStore(folder, "g", "b", INITIAL_MEMBERS).close(), "'b'.s of 'g', not 'a'.s"),
        (lambda folder: write_file(folder, f"{1:020d}.log", b"ZCSPOOL1" + bytes(8)), "no journal"),
        (lambda folder: write_file(folder, "notes.txt", b"mine"), "none of a journal's files"),
    ],
)
def test_a_directory_of_another_replica_is_rejected_with_the_reason(
    tmp_path: Path, prepare: Callable[[Path], None], reason: str
) -> None:
    prepare(tmp_path / "s")
    with pytest.raises(JournalError, match=reason):
        ReplicaStore(tmp_path / "s", "g", "a", INITIAL_MEMBERS)


def write_file(folder: Path, name: str, data: bytes) -> None:
    folder.mkdir()
    (folder / name).write_bytes(data)
