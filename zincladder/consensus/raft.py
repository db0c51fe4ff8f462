"""One node of a group that replicates a log: Raft, without I/O.

Messages and the time go in, an Output comes out at `take_output`. The host writes what is to be written
before it sends anything: what was promised then outlives a kill at any instruction. Messages may be lost,
duplicated and reordered. Time is any monotonic clock of the process; safety doesn't rest on it, only how
soon a leader is missed.
"""

from __future__ import annotations

from functools import singledispatchmethod

from zincladder.consensus.election import Election
from zincladder.consensus.errors import BusyError, NotLeaderError
from zincladder.consensus.leadership_transfer import LeadershipTransfer
from zincladder.consensus.log import Log
from zincladder.consensus.log_replication import LogReplication, follow
from zincladder.consensus.membership_change import MembershipChange
from zincladder.consensus.model import (
    AppendEntries,
    AppendEntriesResponse,
    Entry,
    EntryKind,
    HardState,
    InstallSnapshot,
    InstallSnapshotResponse,
    Membership,
    Message,
    Output,
    RequestVote,
    RequestVoteResponse,
    Snapshot,
    StoredState,
    TimeoutNow,
)
from zincladder.consensus.raft_state import PeerProgress, RaftState, RaftTiming, Role
from zincladder.consensus.read_index import ReadIndex
from zincladder.consensus.snapshot_transfer import SnapshotReceiver

MAX_UNCOMMITTED_ENTRIES = 1024


class RaftNode:
    """One member's part: it hands messages and the time to the rules, and gathers what they want done."""

    def __init__(
        self, name: str, stored: StoredState, now: float, seed: int, timing: RaftTiming | None = None
    ) -> None:
        self._state = RaftState(name, stored, timing or RaftTiming())
        self._reads = ReadIndex(self._state)
        self._replication = LogReplication(self._state, self._reads, self._step_down)
        self._election = Election(self._state, seed, self._become_leader)
        self._changes = MembershipChange(self._state, self._replication)
        self._transfer = LeadershipTransfer(self._state)
        self._snapshots = SnapshotReceiver(self._state)
        self._applied_index = self._state.commit_index
        self._stored_hard_state = stored.hard_state
        self._snapshot_to_store: Snapshot | None = None
        self._restore_state = False
        self._election.restart_timeout(now)

    # Questions ------------------------------------------------------------------------------------

    @property
    def name(self) -> str:
        """The member's name."""
        return self._state.name

    @property
    def term(self) -> int:
        """The latest term that this node knows."""
        return self._state.term

    @property
    def role(self) -> Role:
        """What this node is in that term."""
        return self._state.role

    @property
    def leader(self) -> str:
        """The leader's name; empty while none is known."""
        return self._state.leader

    @property
    def log(self) -> Log:
        """The log, in memory."""
        return self._state.log

    @property
    def commit_index(self) -> int:
        """The index of the last entry that is known to be committed."""
        return self._state.commit_index

    @property
    def peers(self) -> dict[str, PeerProgress]:
        """The other members' progress, while this node leads."""
        return self._state.peers

    @property
    def membership(self) -> Membership:
        """The members in force, committed or not."""
        return self._state.membership

    @property
    def stale_peers(self) -> list[str]:
        """Members that came back with less than they had stored: their directories are older copies."""
        return sorted(name for name, peer in self._state.peers.items() if peer.stale)

    @property
    def next_at(self) -> float:
        """When `tick` is due."""
        return self._state.next_heartbeat_at if self._state.is_leader else self._election.timeout_at

    # Time -----------------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Does what is due at this time: heartbeats of a leader, else the election timeout."""
        if now < self.next_at:
            return
        if self._state.is_leader:
            self._lead(now)
        elif self._state.is_voter:
            self._election.start(now, pre_vote=True)
        else:
            self._election.restart_timeout(now)

    def _lead(self, now: float) -> None:
        timing = self._state.timing
        heard = {
            name
            for name, peer in self._state.peers.items()
            if now - peer.heard_at < timing.election_timeout_seconds
        }
        if not self._state.is_quorum(heard | {self.name}):
            # Guards callers of a leader that is cut off while the others have long elected another.
            self._follow(self.term, "", now)
            return
        self._state.next_heartbeat_at = now + timing.heartbeat_seconds
        self._replication.heartbeat()
        if not self._transfer.active:
            self._changes.promote_learner()
        self._transfer.proceed()

    # Changes of role ------------------------------------------------------------------------------

    def _follow(self, term: int, leader: str, now: float) -> None:
        state = self._state
        if term > state.term:
            state.term, state.voted_for = term, ""
        self._step_down()
        state.leader = leader
        self._transfer.active = False
        self._election.clear_votes()
        self._election.restart_timeout(now)

    def _step_down(self) -> None:
        state = self._state
        if state.is_leader:
            self._reads.fail_all()
            state.peers = {}
        state.role, state.leader = Role.FOLLOWER, ""

    def _become_leader(self, now: float) -> None:
        state = self._state
        state.role, state.leader = Role.LEADER, state.name
        state.message_serial = 0
        self._transfer.active = False
        state.next_heartbeat_at = now + state.timing.heartbeat_seconds
        next_index = state.log.last_index + 1
        others = (name for name in state.membership.addresses if name != state.name)
        state.peers = {name: PeerProgress(next_index, now) for name in others}
        self._replication.append(Entry(state.term, EntryKind.EMPTY))

    # Messages -------------------------------------------------------------------------------------

    def receive(self, sender: str, message: Message, now: float) -> None:
        """One message from another member."""
        if message.term < self.term:
            self._reject_old_term(message, sender)
            return
        if message.term > self.term:
            if isinstance(message, RequestVote):
                if not message.leadership_transfer and self._election.has_leader(now):
                    return  # guards a good leader from those who can't hear it
                if not message.pre_vote:
                    self._follow(message.term, "", now)
            elif not (isinstance(message, RequestVoteResponse) and message.granted):
                self._follow(message.term, "", now)
        self._handle(message, sender, now)

    def _reject_old_term(self, message: Message, sender: str) -> None:
        """An old leader or candidate learns that its term is over; answers of an old term are dropped."""
        if isinstance(message, RequestVote):
            self._state.send(sender, RequestVoteResponse(self.term, False, message.pre_vote))
        elif isinstance(message, AppendEntries | InstallSnapshot):
            self._state.send(sender, AppendEntriesResponse(self.term, message.serial, False, 0))

    @singledispatchmethod
    def _handle(self, message: Message, sender: str, now: float) -> None:
        raise NotImplementedError(type(message))

    @_handle.register
    def _(self, message: RequestVote, sender: str, now: float) -> None:
        self._election.vote_requested(message, sender, now)

    @_handle.register
    def _(self, message: RequestVoteResponse, sender: str, now: float) -> None:
        self._election.vote_answered(message, sender, now)

    @_handle.register
    def _(self, message: TimeoutNow, sender: str, now: float) -> None:
        if self._state.is_voter and self.role is Role.FOLLOWER:
            self._election.start(now, pre_vote=False, leadership_transfer=True)

    @_handle.register
    def _(self, message: AppendEntries, sender: str, now: float) -> None:
        self._leader_heard(sender, now)
        follow(self._state, message, sender)

    @_handle.register
    def _(self, message: AppendEntriesResponse, sender: str, now: float) -> None:
        self._replication.entries_answered(message, sender, now)

    @_handle.register
    def _(self, message: InstallSnapshot, sender: str, now: float) -> None:
        self._leader_heard(sender, now)
        snapshot = self._snapshots.receive(message, sender)
        if snapshot is not None:
            self._applied_index = snapshot.index
            self._snapshot_to_store, self._restore_state = snapshot, True

    @_handle.register
    def _(self, message: InstallSnapshotResponse, sender: str, now: float) -> None:
        self._replication.chunk_answered(message, sender, now)

    def _leader_heard(self, sender: str, now: float) -> None:
        if self.role is not Role.FOLLOWER or self.leader != sender:
            self._follow(self.term, sender, now)
        self._election.leader_heard(now)

    # What a leader is asked for -------------------------------------------------------------------

    def _check_accepts(self) -> None:
        if not self._state.is_leader:
            raise NotLeaderError(self.leader)
        if self._transfer.active:
            raise BusyError("the leader hands over")

    def propose(self, data: bytes) -> tuple[int, int]:
        """Appends an entry; its index and term: it was committed if the entry applied there has that term.

        NotLeaderError or BusyError where it isn't appended. Once it is, only the log can tell its outcome.
        """
        self._check_accepts()
        if self.log.last_index - self.commit_index >= MAX_UNCOMMITTED_ENTRIES:
            raise BusyError(f"{MAX_UNCOMMITTED_ENTRIES} entries wait for a majority")
        return self._replication.append(Entry(self.term, EntryKind.DATA, data)), self.term

    def change_membership(self, membership: Membership) -> tuple[int, int]:
        """Appends other members, one voter more or less than now; returns and raises as `propose`."""
        self._check_accepts()
        index = self._changes.request(membership)
        return index, self.term

    def transfer_leadership(self) -> None:
        """Lets another voter lead once one has the whole log; nothing is accepted meanwhile."""
        self._transfer.start()

    def request_read(self, ticket: int) -> None:
        """Comes back in `ready_reads` once the state applied then is no older than this moment.

        In `failed_reads` if this node leads no more. NotLeaderError or BusyError where it isn't taken.
        """
        self._check_accepts()
        self._reads.request(ticket)

    # Output ---------------------------------------------------------------------------------------

    def compact(self, index: int, state: bytes) -> None:
        """A snapshot takes the place of all entries up to `index`; `state` is what they lead to.

        Ignored where they are not all applied, or are compacted already.
        """
        if self.log.snapshot_index < index <= self._applied_index:
            self.log.compact(index, state)
            self._snapshot_to_store = self.log.snapshot
            self.log.stored_index = index  # what follows is written with it, in one new file

    def take_output(self) -> Output:
        """All that is to be done since the last time."""
        if self._reads.take_round() and self._state.is_leader:
            self._replication.broadcast()
            self._reads.confirm()
        hard_state = HardState(self.term, self._state.voted_for)
        first_index, entries = self.log.take_unstored()
        applied_index, self._applied_index = self._applied_index, max(self._applied_index, self.commit_index)
        messages, self._state.outgoing = tuple(self._state.outgoing), []
        ready_reads, failed_reads = self._reads.take_results()
        output = Output(
            hard_state=hard_state if hard_state != self._stored_hard_state else None,
            snapshot=self._snapshot_to_store,
            restore_state=self._restore_state,
            first_index=first_index,
            entries=entries,
            messages=messages,
            applied_index=applied_index,
            committed=self.log.entries_from(applied_index + 1, self.commit_index - applied_index),
            ready_reads=ready_reads,
            failed_reads=failed_reads,
        )
        self._stored_hard_state = hard_state
        self._snapshot_to_store, self._restore_state = None, False
        return output
