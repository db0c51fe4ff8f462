"""Types of the Raft messages between members of a group, and of the records that a member stores. No logic.

Messages and stored records are msgspec structs encoded as arrays. Indexes number the log's entries from 1;
terms number the elections. Names and rules follow the Raft paper (Ongaro and Ousterhout, 2014) and Ongaro's
dissertation.
"""

from __future__ import annotations

import enum
from typing import NamedTuple, TypeAlias

import msgspec


class EntryKind(enum.IntEnum):
    """The kinds of log entries."""

    EMPTY = 0  # the first entry of each term; committing it commits the entries of earlier terms too
    DATA = 1
    MEMBERS = 2


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log, with the term of the leader that appended it."""

    term: int
    kind: EntryKind
    data: bytes = b""


class Membership(msgspec.Struct, frozen=True, array_like=True):
    """The members of the group by name, with their addresses. Learners receive the log but do not vote."""

    voters: dict[str, str]
    learners: dict[str, str] = {}

    @property
    def addresses(self) -> dict[str, str]:
        """The address of each member, voter or learner."""
        return self.voters | self.learners


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """A member's current term, and the candidate that it voted for in that term; "" for none.

    It has to survive restarts: a member that lost its vote could vote twice in one term.
    """

    term: int = 0
    voted_for: str = ""


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The state after all entries up to `index` are applied. It replaces these entries."""

    index: int
    term: int
    membership: Membership
    state: bytes = b""


class StoredState(msgspec.Struct, frozen=True):
    """What a member reads from its directory when it starts."""

    hard_state: HardState
    snapshot: Snapshot
    entries: tuple[Entry, ...] = ()


# Messages ------------------------------------------------------------------------------------------


class RequestVote(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """A candidate requests a vote.

    With `pre_vote`, the sender asks whether it would get the vote in `term`, which has not begun yet.
    """

    term: int
    last_index: int
    last_term: int
    pre_vote: bool = False
    leadership_transfer: bool = False  # the leader asked the candidate to start this election


class RequestVoteResponse(msgspec.Struct, frozen=True, array_like=True, tag="vote"):
    """The response to RequestVote. `term` is the election's if the vote is granted, else the voter's own."""

    term: int
    granted: bool
    pre_vote: bool = False


class AppendEntries(msgspec.Struct, frozen=True, array_like=True, tag="append"):
    """The entries that follow `prev_index`. Without entries it is a heartbeat.

    `serial` numbers the messages that a leader sends in one term, so that a response can be matched to its
    message.
    """

    term: int
    serial: int
    prev_index: int
    prev_term: int
    commit_index: int
    entries: tuple[Entry, ...] = ()


class AppendEntriesResponse(msgspec.Struct, frozen=True, array_like=True, tag="appended"):
    """The response to AppendEntries, and to a snapshot that is installed or not needed.

    With `success` the member's log matches the leader's up to `index`. Otherwise its entry at `index` is
    missing or differs, and `next_index_hint` is the index at which the leader compares the logs next. Without
    `success`, an `index` of 0 rejects a message of an old term.
    """

    term: int
    serial: int
    success: bool
    index: int
    next_index_hint: int = 0


class InstallSnapshot(msgspec.Struct, frozen=True, array_like=True, tag="install"):
    """The chunk of a snapshot that begins at byte `offset`. The whole snapshot has `total_bytes`."""

    term: int
    serial: int
    index: int
    snapshot_term: int
    membership: Membership
    offset: int
    total_bytes: int
    chunk: bytes


class InstallSnapshotResponse(msgspec.Struct, frozen=True, array_like=True, tag="installing"):
    """The response to InstallSnapshot: the offset of the next chunk that the member needs."""

    term: int
    serial: int
    index: int
    offset: int


class TimeoutNow(msgspec.Struct, frozen=True, array_like=True, tag="now"):
    """The leader asks a voter to start an election at once, without waiting for its election timeout."""

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
    """A message and the name of the member that receives it."""

    to: str
    message: Message


class Output(msgspec.Struct, frozen=True):
    """What the host has to do for a node, in this order: write and sync to disk, send, apply.

    `entries` begin at `first_index` and replace all stored entries from that index on. A `snapshot` is
    written before them and replaces all entries up to its index; with `restore_state` the host also replaces
    its applied state by the snapshot's. The first of the `committed` entries to apply has the index
    `applied_index` + 1.
    """

    hard_state: HardState | None = None
    snapshot: Snapshot | None = None
    restore_state: bool = False
    first_index: int = 0
    entries: tuple[Entry, ...] = ()
    messages: tuple[OutgoingMessage, ...] = ()
    applied_index: int = 0
    committed: tuple[Entry, ...] = ()
    ready_reads: tuple[int, ...] = ()  # tickets of reads to answer once all of `committed` is applied
    failed_reads: tuple[int, ...] = ()  # tickets of reads that this node can no longer answer

    @property
    def has_writes(self) -> bool:
        """Whether something has to be written to disk before the messages are sent."""
        return self.hard_state is not None or self.snapshot is not None or bool(self.entries)
