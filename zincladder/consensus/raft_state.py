"""The state that the parts of a Raft node share: term, vote, log, role, peers, outgoing messages. No I/O."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass

from zincladder.consensus.log import Log
from zincladder.consensus.model import Membership, Message, OutgoingMessage, Snapshot, StoredState


class Role(enum.Enum):
    """The role of a node in the current term. The values are shown to operators."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "asking"  # collects pre-votes before it begins a new term
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class RaftTiming:
    """Timing of heartbeats and elections.

    A voter that receives nothing from a leader starts a pre-vote after a random time between
    `election_timeout_seconds` and twice that; the time is drawn again for each election.
    """

    heartbeat_seconds: float = 0.1
    election_timeout_seconds: float = 1.0


@dataclass(slots=True)
class PeerProgress:
    """The replication progress of another member, as recorded by the leader."""

    next_index: int
    last_contact_at: float  # when the latest response arrived
    match_index: int = 0
    match_serial: int = 0  # serial of the message whose response set `match_index`
    acknowledged_serial: int = 0  # highest serial that the member has answered
    awaiting_response: bool = False  # entries or a snapshot chunk were sent and are not answered yet
    snapshot: Snapshot | None = None  # the snapshot being transferred
    offset: int = 0  # byte offset of its next chunk
    stale: bool = False  # it lost entries that it had confirmed: its directory is an older copy


class RaftState:
    """The state of one node. `name` may be missing from the stored members until the node is added."""

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
        self.message_serial = 0  # serial of the latest message sent in this leader's term
        self.outgoing: list[OutgoingMessage] = []

    @property
    def membership(self) -> Membership:
        """The current members: those of the latest membership entry in the log, committed or not."""
        return self.log.membership

    @property
    def is_leader(self) -> bool:
        """Whether this node leads in its current term; a later term may have another leader."""
        return self.role is Role.LEADER

    @property
    def is_voter(self) -> bool:
        """Whether this node is a voter."""
        return self.name in self.membership.voters

    def is_quorum(self, names: Iterable[str]) -> bool:
        """Whether `names` include a majority of the voters."""
        voters = self.membership.voters
        return 2 * len(voters.keys() & set(names)) > len(voters)

    def has_committed_in_term(self) -> bool:
        """Whether an entry of the current term is committed, and with it all entries before it."""
        return self.log.term_at(self.commit_index) == self.term

    def membership_change_is_open(self) -> bool:
        """Whether the latest membership entry is not committed yet."""
        return self.log.membership_index > self.commit_index

    def send(self, to: str, message: Message) -> None:
        """Queues a message for the next output."""
        self.outgoing.append(OutgoingMessage(to, message))
