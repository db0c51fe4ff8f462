"""The durable state of a replica: its identity, vote, snapshot and log, in one journal.

All calls block. The host runs them in a worker thread, one at a time.
"""

from __future__ import annotations

import enum
import os
from pathlib import Path

import msgspec

from zincladder.consensus.model import Entry, HardState, Membership, Output, Snapshot, StoredState
from zincladder.durable.errors import JournalError
from zincladder.durable.files import FileSystem
from zincladder.durable.journal import Item, Journal

VERSION = 1
INSTANCE_ID_BYTES = 8
MIN_COMPACTION_BYTES = 1 << 20
COMPACTION_FACTOR = 4  # the journal is rewritten once it exceeds this many times the snapshot's state


class RecordKind(enum.IntEnum):
    """The kinds of records. The numbers are stored on disk."""

    IDENTITY = 0
    HARD_STATE = 1
    SNAPSHOT = 2
    ENTRY = 3
    PEER_INSTANCES = 4


class ReplicaIdentity(msgspec.Struct, frozen=True, array_like=True):
    """The replica that a directory belongs to. `instance_id` is a random id of the directory."""

    version: int
    group: str
    name: str
    instance_id: str


class _IndexedEntry(msgspec.Struct, frozen=True, array_like=True):
    index: int
    entry: Entry


encode = msgspec.msgpack.encode


class ReplicaStore:
    """The directory of one replica.

    Raises JournalError if it belongs to another replica, is corrupt or can't be written.
    """

    def __init__(
        self,
        folder: Path,
        group: str,
        name: str,
        initial_membership: Membership,
        file_system: FileSystem | None = None,
    ) -> None:
        self.folder = folder
        self.peer_instances: dict[str, str] = {}  # the instance ids of the other replicas' directories
        self._journal = Journal(folder, file_system)
        self.torn_bytes = self._journal.torn_bytes
        self._hard_state, self._snapshot = HardState(), Snapshot(0, 0, initial_membership)
        self._entries: list[Entry] = []
        self.existed = bool(self._journal.items)  # False if the directory was created just now
        try:
            self.identity = self._read_identity(group, name)
            self._replay()
        except (msgspec.DecodeError, ValueError) as error:
            self._journal.close()
            raise JournalError(f"{folder}: cannot decode a record: {error}") from None
        except JournalError:
            self._journal.close()
            raise

    @property
    def stored(self) -> StoredState:
        """The stored state that a node starts from."""
        return StoredState(self._hard_state, self._snapshot, tuple(self._entries))

    def _read_identity(self, group: str, name: str) -> ReplicaIdentity:
        """Returns the identity of the directory; writes a new one first if the directory is empty.

        Raises JournalError for the directory of another replica, whose votes and entries are not this one's.
        """
        if not self.existed:
            identity = ReplicaIdentity(VERSION, group, name, os.urandom(INSTANCE_ID_BYTES).hex())
            self._journal.rewrite([Item(RecordKind.IDENTITY, encode(identity)), *self._state_items()])
            return identity
        kind, data = self._journal.items[0]
        if kind != RecordKind.IDENTITY:
            raise JournalError(f"{self.folder}: the first record does not identify the replica")
        version = msgspec.msgpack.decode(data)[0]
        if version != VERSION:
            raise JournalError(f"{self.folder}: unsupported format version {version}, expected {VERSION}")
        stored: ReplicaIdentity = msgspec.msgpack.decode(data, type=ReplicaIdentity)
        if (stored.group, stored.name) != (group, name):
            raise JournalError(
                f"{self.folder}: the directory belongs to another replica:"
                f" it is {stored.name!r}'s of {stored.group!r}, not {name!r}'s of {group!r}"
            )
        return stored

    def _replay(self) -> None:
        decode = msgspec.msgpack.decode
        for kind, data in self._journal.items[1:]:
            if kind == RecordKind.HARD_STATE:
                self._hard_state = decode(data, type=HardState)
            elif kind == RecordKind.SNAPSHOT:
                self._snapshot, self._entries = decode(data, type=Snapshot), []
            elif kind == RecordKind.ENTRY:
                indexed: _IndexedEntry = decode(data, type=_IndexedEntry)
                self._replace_from(indexed.index, (indexed.entry,))
            elif kind == RecordKind.PEER_INSTANCES:
                self.peer_instances = decode(data, type=dict[str, str])
            else:
                raise ValueError(f"unknown record kind {kind}")
        self._journal.items.clear()

    def _replace_from(self, first_index: int, entries: tuple[Entry, ...]) -> None:
        position = first_index - self._snapshot.index - 1
        if not 0 <= position <= len(self._entries):
            raise ValueError(
                f"entry {first_index} does not follow entry {self._snapshot.index + len(self._entries)}"
            )
        self._entries[position:] = entries

    def _state_items(self) -> list[Item]:
        """All records except the identity."""
        return [
            Item(RecordKind.PEER_INSTANCES, encode(self.peer_instances)),
            Item(RecordKind.SNAPSHOT, encode(self._snapshot)),
            Item(RecordKind.HARD_STATE, encode(self._hard_state)),
            *self._entry_items(self._snapshot.index + 1, tuple(self._entries)),
        ]

    @staticmethod
    def _entry_items(first_index: int, entries: tuple[Entry, ...]) -> list[Item]:
        return [
            Item(RecordKind.ENTRY, encode(_IndexedEntry(index, entry)))
            for index, entry in enumerate(entries, first_index)
        ]

    def write(self, output: Output) -> None:
        """Writes the records of an output and returns once they are synced to disk.

        After a JournalError the replica must not send or apply anything.
        """
        if not output.has_writes:
            return
        if output.hard_state:
            self._hard_state = output.hard_state
        if output.snapshot:
            self._snapshot, self._entries = output.snapshot, list(output.entries)
            self._rewrite()
            return
        items: list[Item] = []
        if output.hard_state:
            items.append(Item(RecordKind.HARD_STATE, encode(output.hard_state)))
        if output.entries:
            self._replace_from(output.first_index, output.entries)
            items += self._entry_items(output.first_index, output.entries)
        self._journal.append(items)

    def _rewrite(self) -> None:
        self._journal.rewrite([Item(RecordKind.IDENTITY, encode(self.identity)), *self._state_items()])

    def remember_peer(self, name: str, instance_id: str) -> bool:
        """Returns whether `instance_id` is the one recorded for this member; records it if there is none."""
        known = self.peer_instances.get(name)
        if known is None:
            self.peer_instances[name] = instance_id
            self._append_peer_instances()
            return True
        return known == instance_id

    def forget_peer(self, name: str) -> None:
        """Deletes a removed member's instance id, so that its name can be used with another directory."""
        if self.peer_instances.pop(name, None) is not None:
            self._append_peer_instances()

    def _append_peer_instances(self) -> None:
        self._journal.append([Item(RecordKind.PEER_INSTANCES, encode(self.peer_instances))])

    @property
    def size_bytes(self) -> int:
        """The size of the journal's file in bytes."""
        return self._journal.size_bytes

    @property
    def needs_compaction(self) -> bool:
        """Whether the journal is so much larger than the snapshot's state that it has to be compacted."""
        return self.size_bytes > max(MIN_COMPACTION_BYTES, COMPACTION_FACTOR * len(self._snapshot.state))

    def close(self) -> None:
        """Closes the journal. Another process may then open the directory."""
        self._journal.close()
