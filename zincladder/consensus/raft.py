"""One member of a group that keeps a log as one: Raft, without I/O.

Messages and the time go in, an Output comes out at `take`. Its host writes what is to be written before it
sends anything: what was promised then outlives a kill at any instruction. Messages may be lost, doubled and
come in any order. Time is any clock of the process that never goes back; no promise rests on it, only how
soon a leader is missed.
"""

from __future__ import annotations

import enum
import random
from collections.abc import Iterable
from dataclasses import dataclass
from functools import singledispatchmethod

import msgspec

from zincladder.consensus.log import Log
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

MAX_ENTRIES_PER_MESSAGE = 256  # in a message
MAX_ENTRIES_BYTES = 256 << 10
SNAPSHOT_CHUNK_BYTES = 128 << 10  # of a snapshot
MAX_SNAPSHOT_BYTES = 8 << 20  # of a snapshot: what a member takes in before it is whole; a record holds 16 MB
MAX_UNCOMMITTED_ENTRIES = 1024  # entries that wait for a majority
MAX_PENDING_READS = 1024
PROMOTION_LAG_ENTRIES = 64  # entries: a learner that lacks no more becomes a voter


class Role(enum.Enum):
    """What a member is in the present term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "asking"  # whether it would be elected, before it begins a term for it
    CANDIDATE = "candidate"
    LEADER = "leader"


class NotLeaderError(Exception):
    """Only the leader can do this; the text is the leader's name, if it is known."""


class BusyError(Exception):
    """Not now: the text says what stands in the way."""


@dataclass(frozen=True, slots=True)
class RaftTiming:
    """Seconds. A follower stands after `election` to twice that without its leader, drawn anew each time."""

    heartbeat: float = 0.1
    election: float = 1.0


@dataclass(slots=True)
class PeerProgress:
    """What a leader knows of another member."""

    next_index: int
    heard_at: float
    match_index: int = 0
    match_serial: int = 0
    acknowledged_serial: int = 0  # the latest of this leader's messages that was answered
    awaiting_response: bool = False  # for the answer to entries, or to a piece of a snapshot
    snapshot: Snapshot | None = None  # on its way
    offset: int = 0
    stale: bool = False  # it no longer has what it said that it had stored


@dataclass(slots=True)
class PendingRead:
    """A question that may be answered once a majority has confirmed that this is still the leader."""

    ticket: int
    serial: int


class RaftNode:
    """One member's part. `name` is among the members of what is stored, or will be when it has been added."""

    def __init__(
        self, name: str, stored: StoredState, now: float, seed: int, timing: RaftTiming | None = None
    ) -> None:
        self.name, self.timing = name, timing or RaftTiming()
        self.term, self.voted_for = stored.hard_state.term, stored.hard_state.voted_for
        self.log = Log(stored)
        self.commit_index = self._applied_index = self.log.snapshot_index
        self.role, self.leader = Role.FOLLOWER, ""
        self.peers: dict[str, PeerProgress] = {}
        self._random = random.Random(seed)
        self._votes: set[str] = set()
        self._leader_heard_at = -float("inf")  # the leader, last
        self._serial = 0
        self._next_heartbeat_at = 0.0
        self._messages: list[tuple[str, Message]] = []
        self._reads: list[PendingRead] = []
        self._early: list[int] = []  # tickets that wait for this leader's first entry
        self._ready: list[int] = []
        self._lost: list[int] = []
        self._hard = stored.hard_state
        self._snapshot: Snapshot | None = None
        self._restore_state = False
        self._pieces = bytearray()
        self._pieces_of = (0, 0)
        self._transferring = False  # asked to hand over: takes nothing more
        self._wait(now)

    # Questions ------------------------------------------------------------------------------------

    @property
    def membership(self) -> Membership:
        return self.log.membership

    @property
    def next_at(self) -> float:
        """When `tick` is due."""
        return self._next_heartbeat_at if self.role is Role.LEADER else self._election_at

    @property
    def stale(self) -> list[str]:
        """Members that came back with less than they had stored: their directories are older ones."""
        return sorted(name for name, peer in self.peers.items() if peer.stale)

    def _majority(self, names: Iterable[str]) -> bool:
        voters = self.membership.voters
        return 2 * len(voters.keys() & set(names)) > len(voters)

    def _settled(self) -> bool:
        """Whether an entry of this leader's own term is committed, and so all before it."""
        return self.log.term_at(self.commit_index) == self.term

    def _led(self, now: float) -> bool:
        return self.role is Role.LEADER or now - self._leader_heard_at < self.timing.election

    # Time -----------------------------------------------------------------------------------------

    def _wait(self, now: float) -> None:
        self._election_at = now + self.timing.election * (1 + self._random.random())

    def tick(self, now: float) -> None:
        """Does what is due at this time."""
        if now < self.next_at:
            return
        if self.role is Role.LEADER:
            heard = {n for n, peer in self.peers.items() if now - peer.heard_at < self.timing.election}
            if not self._majority(heard | {self.name}):
                # Guards whoever asks this one, cut off, while the others have long elected another.
                self._follow(self.term, "", now)
                return
            self._next_heartbeat_at = now + self.timing.heartbeat
            for peer in self.peers.values():
                peer.awaiting_response = False
            self._tell_all()
            self._promote()
            self._hand_over()
        elif self.name in self.membership.voters:
            self._campaign(now, pre=True)
        else:
            self._wait(now)

    # Elections ------------------------------------------------------------------------------------

    def _follow(self, term: int, leader: str, now: float) -> None:
        if term > self.term:
            self.term, self.voted_for = term, ""
        self._lead_no_more()
        self.leader, self._votes, self._transferring = leader, set(), False
        self._wait(now)

    def _lead_no_more(self) -> None:
        if self.role is Role.LEADER:
            self._lost += [read.ticket for read in self._reads] + self._early
            self._reads, self._early, self.peers = [], [], {}
        self.role, self.leader = Role.FOLLOWER, ""

    def _campaign(self, now: float, pre: bool, handed: bool = False) -> None:
        """Without a pre-vote, one that was cut off would come back with a term that ends a good leader's."""
        self._wait(now)
        self.leader, self._votes = "", {self.name}
        if pre:
            self.role, term = Role.PRE_CANDIDATE, self.term + 1
        else:
            self.role, self.voted_for = Role.CANDIDATE, self.name
            self.term = term = self.term + 1
        for name in self.membership.voters:
            if name != self.name:
                self._send(name, RequestVote(term, self.log.last_index, self.log.last_term, pre, handed))
        self._count(now)

    def _count(self, now: float) -> None:
        if not self._majority(self._votes):
            return
        if self.role is Role.PRE_CANDIDATE:
            self._campaign(now, pre=False)
        elif self.role is Role.CANDIDATE:
            self.role, self.leader = Role.LEADER, self.name
            self._serial, self._transferring = 0, False
            self._next_heartbeat_at = now + self.timing.heartbeat
            self.peers = {
                n: PeerProgress(self.log.last_index + 1, now)
                for n in self.membership.addresses
                if n != self.name
            }
            self._take(Entry(self.term, EntryKind.EMPTY))

    # Messages -------------------------------------------------------------------------------------

    def _send(self, to: str, message: Message) -> None:
        self._messages.append((to, message))

    def receive(self, sender: str, message: Message, now: float) -> None:
        """One message from another member."""
        if message.term > self.term:
            if isinstance(message, RequestVote):
                if not message.leadership_transfer and self._led(now):
                    return  # guards a good leader from those who can't hear it
                if not message.pre_vote:
                    self._follow(message.term, "", now)
            elif not (isinstance(message, RequestVoteResponse) and message.granted):
                self._follow(message.term, "", now)
        elif message.term < self.term:
            # An old leader or candidate learns that its time is over; answers to what is over are not heard.
            if isinstance(message, RequestVote):
                self._send(sender, RequestVoteResponse(self.term, False, message.pre_vote))
            elif isinstance(message, AppendEntries | InstallSnapshot):
                self._send(sender, AppendEntriesResponse(self.term, message.serial, False, 0))
            return
        self._on(message, sender, now)

    def _current(self, m: RequestVote) -> bool:
        """Guards what a majority has stored: only who has all of it may lead."""
        return (m.last_term, m.last_index) >= (self.log.last_term, self.log.last_index)

    @singledispatchmethod
    def _on(self, message: Message, sender: str, now: float) -> None:
        raise NotImplementedError(type(message))

    @_on.register
    def _(self, m: RequestVote, sender: str, now: float) -> None:
        current = self._current(m)
        if m.pre_vote:
            granted = current and m.term > self.term
            self._send(sender, RequestVoteResponse(m.term if granted else self.term, granted, True))
            return
        granted = (
            current and self.voted_for in ("", sender) and self.role in (Role.FOLLOWER, Role.PRE_CANDIDATE)
        )
        if granted:
            self.voted_for = sender
            self._wait(now)
        self._send(sender, RequestVoteResponse(self.term, granted))

    @_on.register
    def _(self, m: RequestVoteResponse, sender: str, now: float) -> None:
        asked = Role.PRE_CANDIDATE if m.pre_vote else Role.CANDIDATE
        if m.granted and self.role is asked and m.term == self.term + m.pre_vote:
            self._votes.add(sender)
            self._count(now)

    @_on.register
    def _(self, m: TimeoutNow, sender: str, now: float) -> None:
        if self.name in self.membership.voters and self.role is Role.FOLLOWER:
            self._campaign(now, pre=False, handed=True)

    def _led_by(self, sender: str, now: float) -> None:
        if self.role is not Role.FOLLOWER or self.leader != sender:
            self._follow(self.term, sender, now)
        self._leader_heard_at = now
        self._wait(now)

    @_on.register
    def _(self, m: AppendEntries, sender: str, now: float) -> None:
        self._led_by(sender, now)
        prev, entries = m.prev_index, m.entries
        if prev < self.log.snapshot_index:  # all that the snapshot holds is committed, and so the same there
            entries = entries[self.log.snapshot_index - prev :]
            prev = min(self.log.snapshot_index, prev + len(m.entries))
        elif self.log.term_at(prev) != m.prev_term:
            hint = (
                self.log.last_index if prev > self.log.last_index else self.log.first_index_of_term(prev) - 1
            )
            self._send(sender, AppendEntriesResponse(self.term, m.serial, False, prev, hint))
            return
        self.log.replace_from(prev + 1, entries)
        stored = prev + len(entries)
        self.commit_index = max(self.commit_index, min(m.commit_index, stored))
        self._send(sender, AppendEntriesResponse(self.term, m.serial, True, stored))

    @_on.register
    def _(self, m: AppendEntriesResponse, sender: str, now: float) -> None:
        peer = self._heard_of(sender, m.serial, now)
        if peer is None:
            return
        if m.success:
            if m.index > peer.match_index:
                peer.match_index, peer.match_serial = m.index, m.serial
            peer.next_index = max(peer.next_index, peer.match_index + 1)
            peer.awaiting_response = False
            self._commit()
        elif m.index <= peer.match_index:
            # Stored and gone again in one term: it runs on an older directory, unless its word came late. 0
            # answers what this leader sent in an earlier term, and tells nothing of what it has stored.
            peer.stale |= m.index > 0 and m.serial > peer.match_serial
            return
        elif m.index == peer.next_index - 1:
            peer.next_index = max(peer.match_index, min(m.next_index_hint, m.index - 1)) + 1
            peer.awaiting_response = False
        if not peer.awaiting_response and (peer.next_index <= self.log.last_index or not m.success):
            self._tell(sender, peer)

    @_on.register
    def _(self, m: InstallSnapshot, sender: str, now: float) -> None:
        self._led_by(sender, now)
        if m.index <= self.commit_index:
            self._send(sender, AppendEntriesResponse(self.term, m.serial, True, m.index))
            return
        if self._pieces_of != (m.index, m.snapshot_term):
            self._pieces_of, self._pieces = (m.index, m.snapshot_term), bytearray()
        if m.offset == len(self._pieces) and m.offset + len(m.chunk) <= min(
            m.total_bytes, MAX_SNAPSHOT_BYTES
        ):
            self._pieces += m.chunk
        if len(self._pieces) < m.total_bytes:
            self._send(sender, InstallSnapshotResponse(self.term, m.serial, m.index, len(self._pieces)))
            return
        snapshot = Snapshot(m.index, m.snapshot_term, m.membership, bytes(self._pieces))
        self._pieces, self._pieces_of = bytearray(), (0, 0)
        self.log.install_snapshot(snapshot)
        self.commit_index = self._applied_index = m.index
        self._snapshot, self._restore_state = snapshot, True
        self._send(sender, AppendEntriesResponse(self.term, m.serial, True, m.index))

    @_on.register
    def _(self, m: InstallSnapshotResponse, sender: str, now: float) -> None:
        peer = self._heard_of(sender, m.serial, now)
        if peer is not None and peer.snapshot and peer.snapshot.index == m.index:
            peer.offset, peer.awaiting_response = min(m.offset, len(peer.snapshot.state)), False
            self._tell(sender, peer)

    def _heard_of(self, sender: str, serial: int, now: float) -> PeerProgress | None:
        """Guards counts: whoever is no member, or runs on an older directory, is not heard."""
        peer = self.peers.get(sender)
        if self.role is not Role.LEADER or peer is None or peer.stale:
            return None
        peer.heard_at, peer.acknowledged_serial = now, max(peer.acknowledged_serial, serial)
        self._confirm()
        return peer

    # Leading --------------------------------------------------------------------------------------

    def _tell_all(self) -> None:
        for name, peer in self.peers.items():
            self._tell(name, peer)

    def _tell(self, name: str, peer: PeerProgress) -> None:
        """The next entries or the next piece; where an answer is awaited, that all still stands."""
        self._serial += 1
        if peer.next_index <= self.log.snapshot_index:
            self._tell_piece(name, peer)
            return
        peer.snapshot = None
        entries = (
            ()
            if peer.awaiting_response
            else self.log.entries_from(peer.next_index, MAX_ENTRIES_PER_MESSAGE, MAX_ENTRIES_BYTES)
        )
        peer.awaiting_response |= bool(entries)
        prev = peer.next_index - 1
        commit = min(self.commit_index, self.log.last_index)
        self._send(
            name, AppendEntries(self.term, self._serial, prev, self.log.term_at(prev), commit, entries)
        )

    def _tell_piece(self, name: str, peer: PeerProgress) -> None:
        if peer.snapshot is None or peer.snapshot.index < peer.next_index:
            peer.snapshot, peer.offset = self.log.snapshot, 0
        s = peer.snapshot
        piece = b"" if peer.awaiting_response else s.state[peer.offset : peer.offset + SNAPSHOT_CHUNK_BYTES]
        peer.awaiting_response |= bool(piece)
        self._send(
            name,
            InstallSnapshot(
                self.term, self._serial, s.index, s.term, s.membership, peer.offset, len(s.state), piece
            ),
        )

    def _take(self, entry: Entry) -> int:
        index = self.log.append(entry)
        for name, peer in self.peers.items():
            if not peer.awaiting_response:
                self._tell(name, peer)
        self._commit()
        return index

    def _commit(self) -> None:
        """Only entries of this term are counted: an older one that a majority stores can still be lost."""
        voters = self.membership.voters
        stored = sorted(
            self.log.last_index if n == self.name else self.peers[n].match_index if n in self.peers else 0
            for n in voters
        )
        index = stored[(len(stored) - 1) // 2] if stored else 0
        if index <= self.commit_index or self.log.term_at(index) != self.term:
            return
        self.commit_index = index
        for ticket in self._early:
            self._ask_round(ticket)
        self._early.clear()
        self._tell_all()  # what is committed is to be known soon, not at the next heartbeat
        if self.name not in voters and self.commit_index >= self.log.membership_index:
            self._lead_no_more()  # it has removed itself

    def _check_leads(self) -> None:
        if self.role is not Role.LEADER:
            raise NotLeaderError(self.leader)
        if self._transferring:
            raise BusyError("the leader hands over")

    def propose(self, data: bytes) -> tuple[int, int]:
        """Takes an entry; where it will stand, and in which term: it holds if that is what is applied there.

        NotLeader or Busy where it isn't taken. Once it is, nobody but the log can tell what becomes of it.
        """
        self._check_leads()
        if self.log.last_index - self.commit_index >= MAX_UNCOMMITTED_ENTRIES:
            raise BusyError(f"{MAX_UNCOMMITTED_ENTRIES} entries wait for a majority")
        return self._take(Entry(self.term, EntryKind.DATA, data)), self.term

    def change_membership(self, members: Membership) -> tuple[int, int]:
        """Takes other members, one voter more or less than now; as `propose`.

        Majorities of before and after have a member in common then. Whoever is new comes as a learner first
        and becomes a voter by itself once it has the log.
        """
        self._check_leads()
        old, new = self.membership.voters, members.voters
        if self.log.membership_index > self.commit_index or not self._settled():
            raise BusyError("another change of the members is not decided yet")
        if len(old.keys() ^ new.keys()) > 1 or not new:
            raise BusyError("one voter at a time")
        index = self._change(members)
        return index, self.term

    def _change(self, members: Membership) -> int:
        names = members.addresses.keys() - {self.name}
        self.peers = {
            n: self.peers.get(n) or PeerProgress(self.log.last_index + 1, self._next_heartbeat_at)
            for n in sorted(names)
        }
        return self._take(Entry(self.term, EntryKind.MEMBERS, msgspec.msgpack.encode(members)))

    def _promote(self) -> None:
        if self._transferring or not self._settled() or self.log.membership_index > self.commit_index:
            return
        for name, where in self.membership.learners.items():
            if (
                self.peers[name].match_index + PROMOTION_LAG_ENTRIES >= self.log.last_index
                and self.peers[name].match_index
            ):
                learners = {n: w for n, w in self.membership.learners.items() if n != name}
                self._change(Membership(self.membership.voters | {name: where}, learners))
                return

    def transfer_leadership(self, now: float) -> None:
        """Hands the lead to whoever has the whole log, once somebody has; nothing is taken meanwhile."""
        if self.role is Role.LEADER:
            self._transferring = True
            self._hand_over()

    def _hand_over(self) -> None:
        if not self._transferring or self.role is not Role.LEADER:
            return
        whole = [
            n
            for n in self.membership.voters
            if n in self.peers and self.peers[n].match_index == self.log.last_index
        ]
        if whole:
            self._send(max(whole, key=lambda n: self.peers[n].heard_at), TimeoutNow(self.term))

    def request_read(self, ticket: int) -> None:
        """Comes back in `reads` once the state applied then is no older than this moment; else in `lost`."""
        self._check_leads()
        if len(self._reads) + len(self._early) >= MAX_PENDING_READS:
            raise BusyError(f"{MAX_PENDING_READS} reads wait")
        if self._settled():
            self._ask_round(ticket)
        else:
            self._early.append(ticket)

    def _ask_round(self, ticket: int) -> None:
        self._reads.append(PendingRead(ticket, self._serial))
        self._asked = True

    def _confirm(self) -> None:
        """Guards reads: a leader that was replaced while it looked away is not confirmed by a majority."""
        while self._reads:
            serial = self._reads[0].serial
            answered = {n for n, peer in self.peers.items() if peer.acknowledged_serial > serial}
            if not self._majority(answered | {self.name}):
                return
            self._ready.append(self._reads.pop(0).ticket)

    # Out ------------------------------------------------------------------------------------------

    _asked = False

    def compact(self, index: int, state: bytes) -> None:
        """The state that all entries up to `index` lead to, all applied, in their place."""
        if self.log.snapshot_index < index <= self._applied_index:
            self.log.compact(index, state)
            self._snapshot = self.log.snapshot
            self.log.stored_index = index  # what follows is written with it, in one new file

    def take_output(self) -> Output:
        """All that is to be done since the last time."""
        if self._asked and self.role is Role.LEADER:
            self._tell_all()
            self._confirm()
        self._asked = False
        hard = HardState(self.term, self.voted_for)
        first, entries = self.log.take_unstored()
        applied, self._applied_index = self._applied_index, max(self._applied_index, self.commit_index)
        output = Output(
            hard if hard != self._hard else None,
            self._snapshot,
            self._restore_state,
            first,
            entries,
            tuple(self._messages),
            applied,
            self.log.entries_from(applied + 1, self.commit_index - applied),
            tuple(self._ready),
            tuple(self._lost),
        )
        self._hard, self._snapshot, self._restore_state = hard, None, False
        self._messages, self._ready, self._lost = [], [], []
        return output
