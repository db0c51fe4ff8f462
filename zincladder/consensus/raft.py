"""One node of a group that replicates a log with the Raft algorithm. No I/O.

The host passes in messages and the time, and collects an Output with `take_output`. It writes the Output's
records to disk before it sends the messages, so that no vote or acknowledgement is lost if the process is
killed at any instruction. Messages may be lost, duplicated and reordered. The time may come from any
monotonic clock of the process: it affects only how soon a failed leader is detected, not safety.
"""

from __future__ import annotations

from functools import singledispatchmethod

from zincladder.consensus.election import Election
from zincladder.consensus.errors import BusyError, NotLeaderError
from zincladder.consensus.leadership_transfer import LeadershipTransfer
from zincladder.consensus.log import Log
from zincladder.consensus.log_replication import LogReplication, handle_append_entries
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
    """One member of the group. Passes messages and time to the parts of Raft and collects their output."""

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

    # State ----------------------------------------------------------------------------------------

    @property
    def name(self) -> str:
        """The member's name."""
        return self._state.name

    @property
    def term(self) -> int:
        """The current term of this node."""
        return self._state.term

    @property
    def role(self) -> Role:
        """The role of this node in its current term."""
        return self._state.role

    @property
    def leader(self) -> str:
        """The leader's name; empty while no leader is known."""
        return self._state.leader

    @property
    def log(self) -> Log:
        """The log as held in memory."""
        return self._state.log

    @property
    def commit_index(self) -> int:
        """The index of the last entry that is known to be committed."""
        return self._state.commit_index

    @property
    def peers(self) -> dict[str, PeerProgress]:
        """The replication progress of the other members while this node leads; empty otherwise."""
        return self._state.peers

    @property
    def membership(self) -> Membership:
        """The current members: those of the latest membership entry, committed or not."""
        return self._state.membership

    @property
    def stale_peers(self) -> list[str]:
        """Names of the members that lost entries they had confirmed: their directories are older copies."""
        return sorted(name for name, peer in self._state.peers.items() if peer.stale)

    @property
    def next_at(self) -> float:
        """When `tick` is due."""
        return self._state.next_heartbeat_at if self._state.is_leader else self._election.timeout_at

    # Time -----------------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Sends the heartbeats that are due if this node leads, else handles an election timeout."""
        if now < self.next_at:
            return
        if self._state.is_leader:
            self._tick_leader(now)
        elif self._state.is_voter:
            self._election.start(now, pre_vote=True)
        else:
            self._election.restart_timeout(now)

    def _tick_leader(self, now: float) -> None:
        timing = self._state.timing
        reachable = {
            name
            for name, peer in self._state.peers.items()
            if now - peer.last_contact_at < timing.election_timeout_seconds
        }
        if not self._state.is_quorum(reachable | {self.name}):
            # The others may have elected a new leader meanwhile, so callers must not wait for this one.
            self._become_follower(self.term, "", now)
            return
        self._state.next_heartbeat_at = now + timing.heartbeat_seconds
        self._replication.heartbeat()
        if not self._transfer.active:
            self._changes.promote_learner()
        self._transfer.proceed()

    # Changes of role ------------------------------------------------------------------------------

    def _become_follower(self, term: int, leader: str, now: float) -> None:
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
        """Handles one message from another member."""
        if message.term < self.term:
            self._reject_old_term(message, sender)
            return
        if message.term > self.term:
            if isinstance(message, RequestVote):
                if not message.leadership_transfer and self._election.has_leader(now):
                    return  # a member that is cut off from the leader must not depose it
                if not message.pre_vote:
                    self._become_follower(message.term, "", now)
            elif not (isinstance(message, RequestVoteResponse) and message.granted):
                self._become_follower(message.term, "", now)
        self._handle(message, sender, now)

    def _reject_old_term(self, message: Message, sender: str) -> None:
        """Answers a request of an old term with the current term. Drops other messages of old terms."""
        if isinstance(message, RequestVote):
            self._state.send(sender, RequestVoteResponse(self.term, False, message.pre_vote))
        elif isinstance(message, AppendEntries | InstallSnapshot):
            self._state.send(sender, AppendEntriesResponse(self.term, message.serial, False, 0))

    @singledispatchmethod
    def _handle(self, message: Message, sender: str, now: float) -> None:
        raise NotImplementedError(type(message))

    @_handle.register
    def _(self, message: RequestVote, sender: str, now: float) -> None:
        self._election.handle_vote_request(message, sender, now)

    @_handle.register
    def _(self, message: RequestVoteResponse, sender: str, now: float) -> None:
        self._election.handle_vote_response(message, sender, now)

    @_handle.register
    def _(self, message: TimeoutNow, sender: str, now: float) -> None:
        if self._state.is_voter and self.role is Role.FOLLOWER:
            self._election.start(now, pre_vote=False, leadership_transfer=True)

    @_handle.register
    def _(self, message: AppendEntries, sender: str, now: float) -> None:
        self._recognize_leader(sender, now)
        handle_append_entries(self._state, message, sender)

    @_handle.register
    def _(self, message: AppendEntriesResponse, sender: str, now: float) -> None:
        self._replication.handle_append_response(message, sender, now)

    @_handle.register
    def _(self, message: InstallSnapshot, sender: str, now: float) -> None:
        self._recognize_leader(sender, now)
        snapshot = self._snapshots.receive(message, sender)
        if snapshot is not None:
            self._applied_index = snapshot.index
            self._snapshot_to_store, self._restore_state = snapshot, True

    @_handle.register
    def _(self, message: InstallSnapshotResponse, sender: str, now: float) -> None:
        self._replication.handle_snapshot_response(message, sender, now)

    def _recognize_leader(self, sender: str, now: float) -> None:
        if self.role is not Role.FOLLOWER or self.leader != sender:
            self._become_follower(self.term, sender, now)
        self._election.record_leader_contact(now)

    # Requests to the leader -----------------------------------------------------------------------

    def _check_accepts(self) -> None:
        if not self._state.is_leader:
            raise NotLeaderError(self.leader)
        if self._transfer.active:
            raise BusyError("the leader hands over")

    def propose(self, data: bytes) -> tuple[int, int]:
        """Appends an entry and returns its index and term.

        Raises NotLeaderError or BusyError if the entry is not appended. Once an entry is applied at this
        index, its term shows the outcome: the appended entry was committed if the terms are equal.
        """
        self._check_accepts()
        if self.log.last_index - self.commit_index >= MAX_UNCOMMITTED_ENTRIES:
            raise BusyError(f"{MAX_UNCOMMITTED_ENTRIES} entries wait for a majority")
        return self._replication.append(Entry(self.term, EntryKind.DATA, data)), self.term

    def change_membership(self, membership: Membership) -> tuple[int, int]:
        """Appends a membership entry that adds or removes one voter at most, or changes learners.

        Returns the index and term of the entry, and raises the errors of `propose`.
        """
        self._check_accepts()
        index = self._changes.request(membership)
        return index, self.term

    def transfer_leadership(self) -> None:
        """Makes another voter the leader as soon as one has the whole log; until then rejects requests."""
        self._transfer.start()

    def request_read(self, ticket: int) -> None:
        """Starts a linearizable read; `ticket` is a number that the caller chooses.

        The ticket appears in `ready_reads` of an Output once the applied state is no older than this call,
        or in `failed_reads` if this node stops leading. Raises NotLeaderError or BusyError if the read is
        not accepted.
        """
        self._check_accepts()
        self._reads.request(ticket)

    # Output ---------------------------------------------------------------------------------------

    def compact(self, index: int, state: bytes) -> None:
        """Replaces all entries up to `index` by a snapshot of `state`, the state after they are applied.

        Does nothing if not all of them are applied, or if they are compacted already.
        """
        if self.log.snapshot_index < index <= self._applied_index:
            self.log.compact(index, state)
            self._snapshot_to_store = self.log.snapshot
            # The entries after the snapshot are written again, because storing a snapshot begins a new file.
            self.log.stored_index = index

    def take_output(self) -> Output:
        """Returns what the host has to do since the last call."""
        if self._reads.take_broadcast_request() and self._state.is_leader:
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
