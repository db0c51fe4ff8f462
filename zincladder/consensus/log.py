"""The part of the log that is held in memory: a snapshot and what follows it. No I/O."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from zincladder.consensus.model import Entry, EntryKind, Membership, Snapshot, StoredState


class Log:
    """Entries from the snapshot on. The members in force are those of its latest entry on them."""

    def __init__(self, stored: StoredState) -> None:
        self.snapshot = stored.snapshot
        self._entries: list[Entry] = []
        self._members: list[tuple[int, Membership]] = [(self.snapshot_index, stored.snapshot.membership)]
        self.stored_index = self.snapshot_index  # all up to here is stored
        for entry in stored.entries:
            self.append(entry)
        self.stored_index = self.last_index

    @property
    def snapshot_index(self) -> int:
        return self.snapshot.index

    @property
    def last_index(self) -> int:
        return self.snapshot_index + len(self._entries)

    @property
    def last_term(self) -> int:
        return self._entries[-1].term if self._entries else self.snapshot.term

    @property
    def membership(self) -> Membership:
        return self._members[-1][1]

    @property
    def membership_index(self) -> int:
        """The index of the entry that the members in force come from."""
        return self._members[-1][0]

    def term_at(self, index: int) -> int:
        """The term of the entry at an index; -1 if it isn't known (not there, or before the snapshot)."""
        if index == self.snapshot_index:
            return self.snapshot.term
        return (
            self._entries[index - self.snapshot_index - 1].term
            if self.snapshot_index < index <= self.last_index
            else -1
        )

    def entries_from(
        self, first: int, most: int | None = None, weight: int | None = None
    ) -> tuple[Entry, ...]:
        """Entries from `first` on, at most so many and of so many bytes (but one whatever its size)."""
        at = first - self.snapshot_index - 1
        found = self._entries[at : None if most is None else at + most]
        if weight is not None:
            for n, entry in enumerate(found):
                weight -= len(entry.data)
                if n and weight < 0:
                    return tuple(found[:n])
        return tuple(found)

    def first_index_of_term(self, index: int) -> int:
        """The first index of the run of one term that `index` stands in."""
        term = self.term_at(index)
        while index - 1 > self.snapshot_index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def append(self, entry: Entry) -> int:
        """Its index."""
        self._entries.append(entry)
        if entry.kind is EntryKind.MEMBERS:
            self._members.append((self.last_index, msgspec.msgpack.decode(entry.data, type=Membership)))
        return self.last_index

    def replace_from(self, first: int, entries: Iterable[Entry]) -> None:
        """Makes the log hold these from `first` on; only from where they differ does it change."""
        for index, entry in enumerate(entries, first):
            if index <= self.last_index and self.term_at(index) != entry.term:
                self._cut(index)
            if index > self.last_index:
                self.append(entry)

    def _cut(self, index: int) -> None:
        del self._entries[index - self.snapshot_index - 1 :]
        while self._members[-1][0] >= index:
            self._members.pop()
        self.stored_index = min(self.stored_index, index - 1)

    def compact(self, index: int, state: bytes) -> None:
        """A snapshot takes the place of all up to `index`, which have been applied."""
        membership = next(m for at, m in reversed(self._members) if at <= index)
        snapshot = Snapshot(index, self.term_at(index), membership, state)
        del self._entries[: index - self.snapshot_index]
        self._members = [(index, membership), *(pair for pair in self._members if pair[0] > index)]
        self.snapshot = snapshot

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """A leader's snapshot takes the place of everything, but for entries that follow what it holds."""
        same = self.term_at(snapshot.index) == snapshot.term
        follow = self.entries_from(snapshot.index + 1) if same else ()
        self.snapshot, self._entries = snapshot, []
        self._members = [(snapshot.index, snapshot.membership)]
        for entry in follow:
            self.append(entry)
        self.stored_index = snapshot.index

    def take_unstored(self) -> tuple[int, tuple[Entry, ...]]:
        """What has to be written since the last time that this was asked, and its first index."""
        first, self.stored_index = max(self.stored_index, self.snapshot_index) + 1, self.last_index
        return first, self.entries_from(first)
