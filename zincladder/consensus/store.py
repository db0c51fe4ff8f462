"""What a member of a group keeps on disk: who it is, its vote, its snapshot and its log, in one journal.

Blocks; its host calls it in a worker thread, one call at a time.
"""

from __future__ import annotations

import enum
import os
from pathlib import Path

import msgspec

from zincladder.consensus.model import Entry, HardState, Membership, Output, Snapshot, StoredState
from zincladder.durable.files import FileSystem
from zincladder.durable.journal import Item, Journal, JournalError

VERSION = 1
MIN_COMPACTION_BYTES = 1 << 20  # bytes


class RecordKind(enum.IntEnum):
    """The kinds of records."""

    IDENTITY = 0
    HARD = 1
    SNAPSHOT = 2
    ENTRY = 3
    BIRTHS = 4


class ReplicaIdentity(msgspec.Struct, frozen=True, array_like=True):
    """Whose directory this is. `birth` is drawn when it is made: no other directory has the same one."""

    version: int
    group: str
    name: str
    birth: str


class _Placed(msgspec.Struct, frozen=True, array_like=True):
    index: int
    entry: Entry


encode = msgspec.msgpack.encode


class ReplicaStore:
    """The directory of one member. JournalError where it is another's, spoilt, or not to be written."""

    def __init__(
        self, folder: Path, group: str, name: str, founders: Membership, files: FileSystem | None = None
    ) -> None:
        self.folder = folder
        self.births: dict[str, str] = {}  # of the others' directories, as first met
        self._journal = Journal(folder, files)
        self.torn = self._journal.torn
        self._hard, self._snapshot = HardState(), Snapshot(0, 0, founders)
        self._entries: list[Entry] = []
        self.found: bool = bool(self._journal.items)
        try:
            self.identity = self._identity(group, name)
            self._replay()
        except (msgspec.DecodeError, ValueError) as fault:
            self._journal.close()
            raise JournalError(f"{folder}: a record that cannot be read: {fault}") from None
        except JournalError:
            self._journal.close()
            raise

    @property
    def stored(self) -> StoredState:
        return StoredState(self._hard, self._snapshot, tuple(self._entries))

    def _identity(self, group: str, name: str) -> ReplicaIdentity:
        if not self.found:
            identity = ReplicaIdentity(VERSION, group, name, os.urandom(8).hex())
            self._journal.rewrite([(RecordKind.IDENTITY, encode(identity)), *self._rest()])
            return identity
        kind, data = self._journal.items[0]
        if kind != RecordKind.IDENTITY:
            raise JournalError(f"{self.folder}: it does not say whose it is")
        version = msgspec.msgpack.decode(data)[0]
        if version != VERSION:
            raise JournalError(f"{self.folder}: of version {version}, not {VERSION}")
        found: ReplicaIdentity = msgspec.msgpack.decode(data, type=ReplicaIdentity)
        if (found.group, found.name) != (group, name):
            raise JournalError(
                f"{self.folder}: it is {found.name!r}'s of {found.group!r}, not {name!r}'s of {group!r}"
            )
        return found

    def _replay(self) -> None:
        decode = msgspec.msgpack.decode
        for kind, data in self._journal.items[1:]:
            if kind == RecordKind.HARD:
                self._hard = decode(data, type=HardState)
            elif kind == RecordKind.SNAPSHOT:
                self._snapshot, self._entries = decode(data, type=Snapshot), []
            elif kind == RecordKind.ENTRY:
                placed: _Placed = decode(data, type=_Placed)
                self._place(placed.index, (placed.entry,))
            elif kind == RecordKind.BIRTHS:
                self.births = decode(data, type=dict[str, str])
            else:
                raise ValueError(f"kind {kind}")
        self._journal.items.clear()

    def _place(self, first: int, entries: tuple[Entry, ...]) -> None:
        at = first - self._snapshot.index - 1
        if not 0 <= at <= len(self._entries):
            raise ValueError(f"entry {first} after {self._snapshot.index + len(self._entries)}")
        self._entries[at:] = entries

    def _rest(self) -> list[Item]:
        return [
            (RecordKind.BIRTHS, encode(self.births)),
            (RecordKind.SNAPSHOT, encode(self._snapshot)),
            (RecordKind.HARD, encode(self._hard)),
            *self._placed(self._snapshot.index + 1, tuple(self._entries)),
        ]

    @staticmethod
    def _placed(first: int, entries: tuple[Entry, ...]) -> list[Item]:
        return [(RecordKind.ENTRY, encode(_Placed(i, entry))) for i, entry in enumerate(entries, first)]

    def write(self, output: Output) -> None:
        """On the disk when this returns. JournalError: nothing may be said or applied any more."""
        if not output.has_writes:
            return
        if output.hard_state:
            self._hard = output.hard_state
        if output.snapshot:
            self._snapshot, self._entries = output.snapshot, list(output.entries)
            self._rewrite()
            return
        items: list[Item] = [(RecordKind.HARD, encode(output.hard_state))] if output.hard_state else []
        if output.entries:
            self._place(output.first_index, output.entries)
            items += self._placed(output.first_index, output.entries)
        self._journal.append(items)

    def _rewrite(self) -> None:
        self._journal.rewrite([(RecordKind.IDENTITY, encode(self.identity)), *self._rest()])

    def met(self, name: str, birth: str) -> bool:
        """Whether that member's directory is the one it always had. The first time counts, and is kept."""
        known = self.births.get(name)
        if known is None:
            self.births[name] = birth
            self._journal.append([(RecordKind.BIRTHS, encode(self.births))])
            return True
        return known == birth

    def forget(self, name: str) -> None:
        """A member that was removed from the group: under its name another directory may come."""
        if self.births.pop(name, None) is not None:
            self._journal.append([(RecordKind.BIRTHS, encode(self.births))])

    @property
    def size(self) -> int:
        return self._journal.size

    @property
    def long(self) -> bool:
        """Whether the journal holds so much more than the state that a snapshot is due."""
        return self.size > max(MIN_COMPACTION_BYTES, 4 * len(self._snapshot.state))

    def close(self) -> None:
        self._journal.close()
