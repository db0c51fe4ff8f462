"""Messages between the members of a group, and their records on disk. Types only.

All are msgspec structs written as arrays. Indexes count the log's entries from 1; terms count elections.
Names, terms and rules are those of the Raft paper (Ongaro and Ousterhout, 2014) and its dissertation.
"""

from __future__ import annotations

import enum
from typing import NamedTuple, TypeAlias

import msgspec


class EntryKind(enum.IntEnum):
    """What an entry of the log holds."""

    EMPTY = 0  # a new leader's first, by which what came before is committed
    DATA = 1
    MEMBERS = 2


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log, and the term of the leader that took it."""

    term: int
    kind: EntryKind
    data: bytes = b""


class Membership(msgspec.Struct, frozen=True, array_like=True):
    """Who belongs to the group, with the address of each; learners get the log and have no vote yet."""

    voters: dict[str, str]
    learners: dict[str, str] = {}

    @property
    def addresses(self) -> dict[str, str]:
        """The address of each member, voter or learner."""
        return self.voters | self.learners


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """What a member may never forget: the latest term it knows, and whom it gave its vote in it."""

    term: int = 0
    voted_for: str = ""


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The state that all entries up to `index` lead to, in their place."""

    index: int
    term: int
    membership: Membership
    state: bytes = b""


class StoredState(msgspec.Struct, frozen=True):
    """All that a member finds in its directory when it starts."""

    hard_state: HardState
    snapshot: Snapshot
    entries: tuple[Entry, ...] = ()


# Messages ------------------------------------------------------------------------------------------


class RequestVote(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """A candidate asks for a vote; with `pre_vote`, whether it would get one in a term not begun yet."""

    term: int
    last_index: int
    last_term: int
    pre_vote: bool = False
    leadership_transfer: bool = False  # at the leader's own request


class RequestVoteResponse(msgspec.Struct, frozen=True, array_like=True, tag="vote"):
    """The answer; `term` is that of the election if it is granted, else the voter's."""

    term: int
    granted: bool
    pre_vote: bool = False


class AppendEntries(msgspec.Struct, frozen=True, array_like=True, tag="append"):
    """Entries that follow `prev_index`; a heartbeat without any. `serial` rises with each message."""

    term: int
    serial: int
    prev_index: int
    prev_term: int
    commit_index: int
    entries: tuple[Entry, ...] = ()


class AppendEntriesResponse(msgspec.Struct, frozen=True, array_like=True, tag="appended"):
    """The answer: all up to `index` is stored as the leader has it, or the entry at `index` differs.

    `next_index_hint` is where to try next.
    """

    term: int
    serial: int
    success: bool
    index: int
    next_index_hint: int = 0


class InstallSnapshot(msgspec.Struct, frozen=True, array_like=True, tag="install"):
    """A chunk of a snapshot, at `offset` of `total_bytes`."""

    term: int
    serial: int
    index: int
    snapshot_term: int
    membership: Membership
    offset: int
    total_bytes: int
    chunk: bytes


class InstallSnapshotResponse(msgspec.Struct, frozen=True, array_like=True, tag="installing"):
    """The answer: the offset of the chunk that is wanted next."""

    term: int
    serial: int
    index: int
    offset: int


class TimeoutNow(msgspec.Struct, frozen=True, array_like=True, tag="now"):
    """The leader tells its successor to stand for election at once."""

    term: int


Message: TypeAlias = (
    RequestVote
    | RequestVoteResponse
    | AppendEntries
    | AppendEntriesResponse
    | InstallSnapshot
    | InstallSnapshotResponse
    | TimeoutNow
)


class OutgoingMessage(NamedTuple):
    """A message and the name of the member that it goes to."""

    to: str
    message: Message


class Output(msgspec.Struct, frozen=True):
    """What a node wants done, in this order: written and synced to disk; then sent; then applied.

    `entries` begin at `first_index` and replace all stored entries from there on. A `snapshot` goes before
    them and replaces all up to its index; with `restore_state` the state is to be read from it. `committed`
    entries are to be applied from index `applied_index` + 1 on.
    """

    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    restore_state: bool = False
    first_index: int = 0
    entries: tuple[Entry, ...] = ()
    messages: tuple[OutgoingMessage, ...] = ()
    applied_index: int = 0
    committed: tuple[Entry, ...] = ()
    ready_reads: tuple[int, ...] = ()  # tickets: the state may be read once all of `committed` is applied
    failed_reads: tuple[int, ...] = ()  # tickets that this node can't answer any more

    @property
    def has_writes(self) -> bool:
        """Whether anything has to be written before the messages are sent."""
        return self.hard_state is not None or self.snapshot is not None or bool(self.entries)
