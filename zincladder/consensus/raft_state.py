"""The state of one Raft node that its rules share: term, vote, log, role, peers, messages. No I/O."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass

from zincladder.consensus.log import Log
from zincladder.consensus.model import Membership, Message, OutgoingMessage, Snapshot, StoredState


class Role(enum.Enum):
    """What a node is in the present term. The values are shown to operators."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "asking"  # collects pre-votes before it begins a term
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class RaftTiming:
    """Timing of heartbeats and elections.

    A follower that hears no leader becomes a candidate after `election_timeout_seconds` to twice that, drawn
    anew each time.
    """

    heartbeat_seconds: float = 0.1
    election_timeout_seconds: float = 1.0


@dataclass(slots=True)
class PeerProgress:
    """What a leader knows of another member."""

    next_index: int
    heard_at: float
    match_index: int = 0
    match_serial: int = 0  # of the message by whose answer `match_index` was learned
    acknowledged_serial: int = 0  # the latest of this leader's messages that was answered
    awaiting_response: bool = False  # to entries, or to a chunk of a snapshot
    snapshot: Snapshot | None = None  # being transferred
    offset: int = 0  # of the next chunk of it
    stale: bool = False  # it lacks entries that it had confirmed: it runs on an older directory


class RaftState:
    """One node's state. `name` is among the stored members, or will be once it has been added."""

    def __init__(self, name: str, stored: StoredState, timing: RaftTiming) -> None:
        self.name, self.timing = name, timing
        self.term = stored.hard_state.term
        self.voted_for = stored.hard_state.voted_for
        self.log = Log(stored)
        self.commit_index = self.log.snapshot_index
        self.role = Role.FOLLOWER
        self.leader = ""
        self.peers: dict[str, PeerProgress] = {}
        self.next_heartbeat_at = 0.0
        self.message_serial = 0  # of the latest message of this leader's term
        self.outgoing: list[OutgoingMessage] = []

    @property
    def membership(self) -> Membership:
        """The members in force: those of the log's latest entry on them, committed or not."""
        return self.log.membership

    @property
    def is_leader(self) -> bool:
        """Whether this node leads, as far as it knows."""
        return self.role is Role.LEADER

    @property
    def is_voter(self) -> bool:
        """Whether this node has a vote."""
        return self.name in self.membership.voters

    def is_quorum(self, names: Iterable[str]) -> bool:
        """Whether these include a majority of the voters."""
        voters = self.membership.voters
        return 2 * len(voters.keys() & set(names)) > len(voters)

    def has_committed_in_term(self) -> bool:
        """Whether an entry of the present term is committed, and so all entries before it."""
        return self.log.term_at(self.commit_index) == self.term

    def membership_change_is_open(self) -> bool:
        """Whether the latest entry on the members is not committed yet."""
        return self.log.membership_index > self.commit_index

    def send(self, to: str, message: Message) -> None:
        """Queues a message for the next output."""
        self.outgoing.append(OutgoingMessage(to, message))
