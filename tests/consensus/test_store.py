"""The store of a replica: what it returns after a restart, torn files, and disks that fail."""

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

FOUNDERS = Membership({"a": "127.0.0.1:1", "b": "127.0.0.1:2", "c": "127.0.0.1:3"})


def entries_of(*terms: int) -> tuple[Entry, ...]:
    return tuple(Entry(term, EntryKind.DATA, b"entry %d" % i) for i, term in enumerate(terms))


def reopen(store: ReplicaStore, folder: Path) -> ReplicaStore:
    store.close()
    return ReplicaStore(folder, "g", "a", FOUNDERS)


def test_a_store_returns_what_was_written_and_later_entries_replace_earlier_ones(
    tmp_path: Path,
) -> None:
    store = ReplicaStore(tmp_path / "s", "g", "a", FOUNDERS)
    assert store.stored == StoredState(HardState(), Snapshot(0, 0, FOUNDERS))
    store.write(Output(hard_state=HardState(1, "b"), first_index=1, entries=entries_of(1, 1, 1)))
    store.write(Output(first_index=2, entries=entries_of(2)))
    store = reopen(store, tmp_path / "s")
    assert store.stored.hard_state == HardState(1, "b")
    assert [e.term for e in store.stored.entries] == [1, 2]
    assert store.remember_peer("b", "first") and not store.remember_peer("b", "second")
    store.write(Output(snapshot=Snapshot(2, 2, FOUNDERS, b"state"), first_index=3, entries=entries_of(2)))
    store = reopen(store, tmp_path / "s")
    assert store.stored.snapshot == Snapshot(2, 2, FOUNDERS, b"state")
    assert [e.term for e in store.stored.entries] == [2] and store.stored.hard_state == HardState(1, "b")
    assert not store.remember_peer("b", "second")
    assert len(list((tmp_path / "s").glob("*.log"))) == 1


def test_a_store_truncated_at_any_byte_has_all_batches_before_the_last(tmp_path: Path) -> None:
    store = ReplicaStore(tmp_path / "s", "g", "a", FOUNDERS)
    store.write(Output(hard_state=HardState(3, "b"), first_index=1, entries=entries_of(1, 1)))
    before = store.size_bytes
    store.write(Output(hard_state=HardState(4, "c"), first_index=3, entries=entries_of(4, 4, 4)))
    store.close()
    (path,) = (tmp_path / "s").glob("*.log")
    whole = path.read_bytes()
    for cut in range(before, len(whole)):
        path.write_bytes(whole[:cut])
        again = ReplicaStore(tmp_path / "s", "g", "a", FOUNDERS)
        found = again.stored
        again.close()
        assert found.hard_state in (HardState(3, "b"), HardState(4, "c"))
        assert [e.term for e in found.entries] == [1, 1, 4, 4, 4][: len(found.entries)]
        assert len(found.entries) >= 2


class FailingFileSystem(FileSystem):
    """A disk that fails at its nth call, and works again after it."""

    def __init__(self, at: int, half: bool = False) -> None:
        self.left, self.half = at, half

    def _call(self) -> None:
        self.left -= 1
        if self.left == 0:
            raise OSError(errno.EIO, "input/output error")

    def append(self, file: int, data: bytes) -> None:
        if self.half and self.left == 1:
            os.write(file, data[: len(data) // 2])
        self._call()
        super().append(file, data)

    def sync(self, file: int) -> None:
        self._call()
        super().sync(file)

    def rename(self, old: Path, new: Path) -> None:
        self._call()
        super().rename(old, new)


@pytest.mark.parametrize("half", [False, True])
@pytest.mark.parametrize("call", range(1, 8))
def test_after_a_failed_call_a_store_accepts_no_write_and_loses_none(
    tmp_path: Path, call: int, half: bool
) -> None:
    # a failed sync is a lost vote, not a retry: the kernel may have dropped what it could not write
    store = ReplicaStore(tmp_path / "s", "g", "a", FOUNDERS)
    store.write(Output(hard_state=HardState(1, "b"), first_index=1, entries=entries_of(1)))
    store.close()
    store = ReplicaStore(tmp_path / "s", "g", "a", FOUNDERS, FailingFileSystem(call, half))
    written = [HardState(1, "b")]
    with pytest.raises(JournalError, match=r"input/output error"):
        for n in range(2, 9):
            snapshot = Snapshot(1, 1, FOUNDERS, b"state") if n % 3 == 0 else None
            store.write(Output(hard_state=HardState(n, "c"), snapshot=snapshot, first_index=2))
            written.append(HardState(n, "c"))
    with pytest.raises(JournalError):
        store.write(Output(hard_state=HardState(99, "c")))
    found = ReplicaStore(tmp_path / "s", "g", "a", FOUNDERS)
    assert found.stored.hard_state in (written[-1], HardState(written[-1].term + 1, "c"))
    found.close()


@pytest.mark.parametrize(
    "prepare, reason",
    [
        (
            lambda folder: ReplicaStore(folder, "other", "a", FOUNDERS).close(),
            "'a''s of 'other'|'a'.s of 'other'",
        ),
        (lambda folder: ReplicaStore(folder, "g", "b", FOUNDERS).close(), "'b'.s of 'g', not 'a'.s"),
        (lambda folder: write_file(folder, f"{1:020d}.log", b"ZCSPOOL1" + bytes(8)), "no journal"),
        (lambda folder: write_file(folder, "notes.txt", b"mine"), "none of a journal's files"),
    ],
)
def test_a_directory_of_another_replica_is_rejected_with_the_reason(
    tmp_path: Path, prepare: Callable[[Path], None], reason: str
) -> None:
    prepare(tmp_path / "s")
    with pytest.raises(JournalError, match=reason):
        ReplicaStore(tmp_path / "s", "g", "a", FOUNDERS)


def write_file(folder: Path, name: str, data: bytes) -> None:
    folder.mkdir()
    (folder / name).write_bytes(data)
