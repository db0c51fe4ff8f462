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
        self._members: list[tuple[int, Membership]] = [(self.base, stored.snapshot.members)]
        self.changed = self.base  # all up to here is stored
        for entry in stored.entries:
            self.append(entry)
        self.changed = self.last

    @property
    def base(self) -> int:
        return self.snapshot.index

    @property
    def last(self) -> int:
        return self.base + len(self._entries)

    @property
    def last_term(self) -> int:
        return self._entries[-1].term if self._entries else self.snapshot.term

    @property
    def members(self) -> Membership:
        return self._members[-1][1]

    @property
    def members_at(self) -> int:
        """The index of the entry that the members in force come from."""
        return self._members[-1][0]

    def term(self, index: int) -> int:
        """The term of the entry at an index; -1 if it isn't known (not there, or before the snapshot)."""
        if index == self.base:
            return self.snapshot.term
        return self._entries[index - self.base - 1].term if self.base < index <= self.last else -1

    def since(self, first: int, most: int | None = None, weight: int | None = None) -> tuple[Entry, ...]:
        """Entries from `first` on, at most so many and of so many bytes (but one whatever its size)."""
        at = first - self.base - 1
        found = self._entries[at : None if most is None else at + most]
        if weight is not None:
            for n, entry in enumerate(found):
                weight -= len(entry.data)
                if n and weight < 0:
                    return tuple(found[:n])
        return tuple(found)

    def first_of_term(self, index: int) -> int:
        """The first index of the run of one term that `index` stands in."""
        term = self.term(index)
        while index - 1 > self.base and self.term(index - 1) == term:
            index -= 1
        return index

    def append(self, entry: Entry) -> int:
        """Its index."""
        self._entries.append(entry)
        if entry.kind is EntryKind.MEMBERS:
            self._members.append((self.last, msgspec.msgpack.decode(entry.data, type=Membership)))
        return self.last

    def match(self, first: int, entries: Iterable[Entry]) -> None:
        """Makes the log hold these from `first` on; only from where they differ does it change."""
        for index, entry in enumerate(entries, first):
            if index <= self.last and self.term(index) != entry.term:
                self._cut(index)
            if index > self.last:
                self.append(entry)

    def _cut(self, index: int) -> None:
        del self._entries[index - self.base - 1 :]
        while self._members[-1][0] >= index:
            self._members.pop()
        self.changed = min(self.changed, index - 1)

    def compact(self, index: int, state: bytes) -> None:
        """A snapshot takes the place of all up to `index`, which have been applied."""
        members = next(m for at, m in reversed(self._members) if at <= index)
        snapshot = Snapshot(index, self.term(index), members, state)
        del self._entries[: index - self.base]
        self._members = [(index, members), *(pair for pair in self._members if pair[0] > index)]
        self.snapshot = snapshot

    def restore(self, snapshot: Snapshot) -> None:
        """A leader's snapshot takes the place of everything, but for entries that follow what it holds."""
        same = self.term(snapshot.index) == snapshot.term
        follow = self.since(snapshot.index + 1) if same else ()
        self.snapshot, self._entries = snapshot, []
        self._members = [(snapshot.index, snapshot.members)]
        for entry in follow:
            self.append(entry)
        self.changed = snapshot.index

    def unstored(self) -> tuple[int, tuple[Entry, ...]]:
        """What has to be written since the last time that this was asked, and its first index."""
        first, self.changed = max(self.changed, self.base) + 1, self.last
        return first, self.since(first)
