"""What the members of a group say to each other and store. Shapes only.

All are msgspec structs written as arrays. Indexes count the log's entries from 1; terms count elections.
Names, terms and rules are those of the Raft paper (Ongaro and Ousterhout, 2014) and its dissertation.
"""

from __future__ import annotations

import enum
from typing import TypeAlias

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
    """A candidate asks for a vote; with `pre` only whether it would get one, in a term yet to begin."""

    term: int
    last_index: int
    last_term: int
    pre_vote: bool = False
    leadership_transfer: bool = False  # the leader itself wishes it


class RequestVoteResponse(msgspec.Struct, frozen=True, array_like=True, tag="vote"):
    """The answer to `Ask`; the term is that of the election where it is granted, else the voter's."""

    term: int
    granted: bool
    pre_vote: bool = False


class AppendEntries(msgspec.Struct, frozen=True, array_like=True, tag="append"):
    """Entries that follow the one at `prev`; with none a heartbeat. `serial` rises with each message."""

    term: int
    serial: int
    prev_index: int
    prev_term: int
    commit_index: int
    entries: tuple[Entry, ...] = ()


class AppendEntriesResponse(msgspec.Struct, frozen=True, array_like=True, tag="appended"):
    """The answer: all up to `index` is stored as the leader has it, or what is at `index` differs.

    `hint` is where to go on trying.
    """

    term: int
    serial: int
    success: bool
    index: int
    next_index_hint: int = 0


class InstallSnapshot(msgspec.Struct, frozen=True, array_like=True, tag="install"):
    """A piece of a snapshot, from `offset` of `size` bytes."""

    term: int
    serial: int
    index: int
    snapshot_term: int
    membership: Membership
    offset: int
    total_bytes: int
    chunk: bytes


class InstallSnapshotResponse(msgspec.Struct, frozen=True, array_like=True, tag="installing"):
    """The answer: the piece that is wanted next."""

    term: int
    serial: int
    index: int
    offset: int


class TimeoutNow(msgspec.Struct, frozen=True, array_like=True, tag="now"):
    """The leader wishes to be followed by whoever gets this."""

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


class Output(msgspec.Struct, frozen=True):
    """What a member wants done, in this order: written and on the disk; then sent; then applied.

    `first` is the index of the first of `entries`, which take the place of all that is stored from there on.
    A `snapshot` goes before them and takes the place of all up to its index; with `fresh` the state is to
    be read from it. `committed` are to be applied from index `applied` + 1 on.
    """

    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    restore_state: bool = False
    first_index: int = 0
    entries: tuple[Entry, ...] = ()
    messages: tuple[tuple[str, Message], ...] = ()
    applied_index: int = 0
    committed: tuple[Entry, ...] = ()
    ready_reads: tuple[int, ...] = ()  # tickets: the state may be read once all that is committed is applied
    failed_reads: tuple[int, ...] = ()  # tickets that this member can't answer for any more

    @property
    def has_writes(self) -> bool:
        return self.hard_state is not None or self.snapshot is not None or bool(self.entries)
