"""The in-memory log of a node: a snapshot and the entries after it. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from zincladder.consensus.model import Entry, EntryKind, Membership, Snapshot, StoredState


@dataclass(frozen=True, slots=True)
class _IndexedMembership:
    """A membership, and the index of the log entry or snapshot that set it."""

    index: int
    membership: Membership


class Log:
    """A snapshot and the entries after it. The latest membership entry defines the current members."""

    def __init__(self, stored: StoredState) -> None:
        self.snapshot = stored.snapshot
        self._entries: list[Entry] = []
        self._memberships = [_IndexedMembership(self.snapshot_index, stored.snapshot.membership)]
        # Index of the last entry that is on disk or was returned by `take_unstored`.
        self.stored_index = self.snapshot_index
        for entry in stored.entries:
            self.append(entry)
        self.stored_index = self.last_index

    @property
    def snapshot_index(self) -> int:
        """The index of the last entry that the snapshot covers."""
        return self.snapshot.index

    @property
    def last_index(self) -> int:
        """The index of the last entry."""
        return self.snapshot_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        return self._entries[-1].term if self._entries else self.snapshot.term

    @property
    def membership(self) -> Membership:
        """The current members."""
        return self._memberships[-1].membership

    @property
    def membership_index(self) -> int:
        """The index of the entry that set the current members."""
        return self._memberships[-1].index

    def term_at(self, index: int) -> int:
        """The term of the entry at `index`; -1 if the log does not hold it (not yet, or no longer)."""
        if index == self.snapshot_index:
            return self.snapshot.term
        if self.snapshot_index < index <= self.last_index:
            return self._entries[self._position(index)].term
        return -1

    def _position(self, index: int) -> int:
        return index - self.snapshot_index - 1

    def entries_from(
        self, first_index: int, max_entries: int | None = None, max_bytes: int | None = None
    ) -> tuple[Entry, ...]:
        """The entries from `first_index` on, within both limits; the first one may exceed `max_bytes`."""
        start = self._position(first_index)
        entries = self._entries[start : None if max_entries is None else start + max_entries]
        if max_bytes is not None:
            total_bytes = 0
            for count, entry in enumerate(entries):
                total_bytes += len(entry.data)
                if count and total_bytes > max_bytes:
                    return tuple(entries[:count])
        return tuple(entries)

    def first_index_of_term(self, index: int) -> int:
        """The index of the first entry after the snapshot that has the same term as the entry at `index`."""
        term = self.term_at(index)
        while index - 1 > self.snapshot_index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def append(self, entry: Entry) -> int:
        """Appends an entry and returns its index.

        Raises msgspec.DecodeError for a membership that cannot be decoded; the log is unchanged then.
        """
        membership = _membership_of(entry)
        self._entries.append(entry)
        if membership is not None:
            self._memberships.append(_IndexedMembership(self.last_index, membership))
        return self.last_index

    def replace_from(self, first_index: int, entries: Iterable[Entry]) -> None:
        """Makes the log hold `entries` from `first_index` on.

        The log is truncated only at an entry that differs. Entries after matching ones are kept, because
        `entries` may come from a delayed message. Raises msgspec.DecodeError for a membership that cannot be
        decoded; the log is unchanged then.
        """
        entries = list(entries)
        for entry in entries:
            _membership_of(entry)
        for index, entry in enumerate(entries, first_index):
            if index <= self.last_index and self.term_at(index) != entry.term:
                self._truncate(index)
            if index > self.last_index:
                self.append(entry)

    def _truncate(self, index: int) -> None:
        del self._entries[self._position(index) :]
        while self._memberships[-1].index >= index:
            self._memberships.pop()
        self.stored_index = min(self.stored_index, index - 1)

    def compact(self, index: int, state: bytes) -> None:
        """Replaces all entries up to `index`, which must be applied, by a snapshot of `state`."""
        membership = next(item.membership for item in reversed(self._memberships) if item.index <= index)
        snapshot = Snapshot(index, self.term_at(index), membership, state)
        del self._entries[: index - self.snapshot_index]
        later = [item for item in self._memberships if item.index > index]
        self._memberships = [_IndexedMembership(index, membership), *later]
        self.snapshot = snapshot

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Replaces the log by a leader's snapshot.

        Keeps the entries after it if the log holds the snapshot's last entry.
        """
        matches = self.term_at(snapshot.index) == snapshot.term
        following = self.entries_from(snapshot.index + 1) if matches else ()
        self.snapshot, self._entries = snapshot, []
        self._memberships = [_IndexedMembership(snapshot.index, snapshot.membership)]
        for entry in following:
            self.append(entry)
        self.stored_index = snapshot.index

    def take_unstored(self) -> tuple[int, tuple[Entry, ...]]:
        """Returns the entries after `stored_index`, which have to be written, and the first one's index."""
        first_index = max(self.stored_index, self.snapshot_index) + 1
        self.stored_index = self.last_index
        return first_index, self.entries_from(first_index)


def _membership_of(entry: Entry) -> Membership | None:
    """The membership in an entry; None if it is an entry of another kind."""
    if entry.kind is not EntryKind.MEMBERS:
        return None
    membership: Membership = msgspec.msgpack.decode(entry.data, type=Membership)
    return membership
