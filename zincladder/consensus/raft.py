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

    next: int
    heard: float
    match: int = 0
    match_serial: int = 0
    serial: int = 0  # the latest of this leader's messages that was answered
    waiting: bool = False  # for the answer to entries, or to a piece of a snapshot
    snapshot: Snapshot | None = None  # on its way
    offset: int = 0
    older: bool = False  # it no longer has what it said that it had stored


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
        self.term, self.vote = stored.hard.term, stored.hard.vote
        self.log = Log(stored)
        self.commit = self._given = self.log.base
        self.role, self.leader = Role.FOLLOWER, ""
        self.peers: dict[str, PeerProgress] = {}
        self._random = random.Random(seed)
        self._votes: set[str] = set()
        self._heard = -float("inf")  # the leader, last
        self._serial = 0
        self._beat = 0.0
        self._messages: list[tuple[str, Message]] = []
        self._reads: list[PendingRead] = []
        self._early: list[int] = []  # tickets that wait for this leader's first entry
        self._ready: list[int] = []
        self._lost: list[int] = []
        self._hard = stored.hard
        self._snapshot: Snapshot | None = None
        self._fresh = False
        self._pieces = bytearray()
        self._pieces_of = (0, 0)
        self._aside = False  # asked to hand over: takes nothing more
        self._wait(now)

    # Questions ------------------------------------------------------------------------------------

    @property
    def members(self) -> Membership:
        return self.log.members

    @property
    def next_at(self) -> float:
        """When `tick` is due."""
        return self._beat if self.role is Role.LEADER else self._election_at

    @property
    def older(self) -> list[str]:
        """Members that came back with less than they had stored: their directories are older ones."""
        return sorted(name for name, peer in self.peers.items() if peer.older)

    def _majority(self, names: Iterable[str]) -> bool:
        voters = self.members.voters
        return 2 * len(voters.keys() & set(names)) > len(voters)

    def _settled(self) -> bool:
        """Whether an entry of this leader's own term is committed, and so all before it."""
        return self.log.term(self.commit) == self.term

    def _led(self, now: float) -> bool:
        return self.role is Role.LEADER or now - self._heard < self.timing.election

    # Time -----------------------------------------------------------------------------------------

    def _wait(self, now: float) -> None:
        self._election_at = now + self.timing.election * (1 + self._random.random())

    def tick(self, now: float) -> None:
        """Does what is due at this time."""
        if now < self.next_at:
            return
        if self.role is Role.LEADER:
            heard = {n for n, peer in self.peers.items() if now - peer.heard < self.timing.election}
            if not self._majority(heard | {self.name}):
                # Guards whoever asks this one, cut off, while the others have long elected another.
                self._follow(self.term, "", now)
                return
            self._beat = now + self.timing.heartbeat
            for peer in self.peers.values():
                peer.waiting = False
            self._tell_all()
            self._promote()
            self._hand_over()
        elif self.name in self.members.voters:
            self._campaign(now, pre=True)
        else:
            self._wait(now)

    # Elections ------------------------------------------------------------------------------------

    def _follow(self, term: int, leader: str, now: float) -> None:
        if term > self.term:
            self.term, self.vote = term, ""
        self._lead_no_more()
        self.leader, self._votes, self._aside = leader, set(), False
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
            self.role, self.vote = Role.CANDIDATE, self.name
            self.term = term = self.term + 1
        for name in self.members.voters:
            if name != self.name:
                self._send(name, RequestVote(term, self.log.last, self.log.last_term, pre, handed))
        self._count(now)

    def _count(self, now: float) -> None:
        if not self._majority(self._votes):
            return
        if self.role is Role.PRE_CANDIDATE:
            self._campaign(now, pre=False)
        elif self.role is Role.CANDIDATE:
            self.role, self.leader = Role.LEADER, self.name
            self._serial, self._aside = 0, False
            self._beat = now + self.timing.heartbeat
            self.peers = {n: PeerProgress(self.log.last + 1, now) for n in self.members.all if n != self.name}
            self._take(Entry(self.term, EntryKind.EMPTY))

    # Messages -------------------------------------------------------------------------------------

    def _send(self, to: str, message: Message) -> None:
        self._messages.append((to, message))

    def receive(self, sender: str, message: Message, now: float) -> None:
        """One message from another member."""
        if message.term > self.term:
            if isinstance(message, RequestVote):
                if not message.handed and self._led(now):
                    return  # guards a good leader from those who can't hear it
                if not message.pre:
                    self._follow(message.term, "", now)
            elif not (isinstance(message, RequestVoteResponse) and message.granted):
                self._follow(message.term, "", now)
        elif message.term < self.term:
            # An old leader or candidate learns that its time is over; answers to what is over are not heard.
            if isinstance(message, RequestVote):
                self._send(sender, RequestVoteResponse(self.term, False, message.pre))
            elif isinstance(message, AppendEntries | InstallSnapshot):
                self._send(sender, AppendEntriesResponse(self.term, message.serial, False, 0))
            return
        self._on(message, sender, now)

    def _current(self, m: RequestVote) -> bool:
        """Guards what a majority has stored: only who has all of it may lead."""
        return (m.last_term, m.last) >= (self.log.last_term, self.log.last)

    @singledispatchmethod
    def _on(self, message: Message, sender: str, now: float) -> None:
        raise NotImplementedError(type(message))

    @_on.register
    def _(self, m: RequestVote, sender: str, now: float) -> None:
        current = self._current(m)
        if m.pre:
            granted = current and m.term > self.term
            self._send(sender, RequestVoteResponse(m.term if granted else self.term, granted, True))
            return
        granted = current and self.vote in ("", sender) and self.role in (Role.FOLLOWER, Role.PRE_CANDIDATE)
        if granted:
            self.vote = sender
            self._wait(now)
        self._send(sender, RequestVoteResponse(self.term, granted))

    @_on.register
    def _(self, m: RequestVoteResponse, sender: str, now: float) -> None:
        asked = Role.PRE_CANDIDATE if m.pre else Role.CANDIDATE
        if m.granted and self.role is asked and m.term == self.term + m.pre:
            self._votes.add(sender)
            self._count(now)

    @_on.register
    def _(self, m: TimeoutNow, sender: str, now: float) -> None:
        if self.name in self.members.voters and self.role is Role.FOLLOWER:
            self._campaign(now, pre=False, handed=True)

    def _led_by(self, sender: str, now: float) -> None:
        if self.role is not Role.FOLLOWER or self.leader != sender:
            self._follow(self.term, sender, now)
        self._heard = now
        self._wait(now)

    @_on.register
    def _(self, m: AppendEntries, sender: str, now: float) -> None:
        self._led_by(sender, now)
        prev, entries = m.prev, m.entries
        if prev < self.log.base:  # all that the snapshot holds is committed, and so the same there
            entries = entries[self.log.base - prev :]
            prev = min(self.log.base, prev + len(m.entries))
        elif self.log.term(prev) != m.prev_term:
            hint = self.log.last if prev > self.log.last else self.log.first_of_term(prev) - 1
            self._send(sender, AppendEntriesResponse(self.term, m.serial, False, prev, hint))
            return
        self.log.match(prev + 1, entries)
        stored = prev + len(entries)
        self.commit = max(self.commit, min(m.commit, stored))
        self._send(sender, AppendEntriesResponse(self.term, m.serial, True, stored))

    @_on.register
    def _(self, m: AppendEntriesResponse, sender: str, now: float) -> None:
        peer = self._heard_of(sender, m.serial, now)
        if peer is None:
            return
        if m.good:
            if m.index > peer.match:
                peer.match, peer.match_serial = m.index, m.serial
            peer.next = max(peer.next, peer.match + 1)
            peer.waiting = False
            self._commit()
        elif m.index <= peer.match:
            # Stored and gone again in one term: it runs on an older directory, unless its word came late. 0
            # answers what this leader sent in an earlier term, and tells nothing of what it has stored.
            peer.older |= m.index > 0 and m.serial > peer.match_serial
            return
        elif m.index == peer.next - 1:
            peer.next = max(peer.match, min(m.hint, m.index - 1)) + 1
            peer.waiting = False
        if not peer.waiting and (peer.next <= self.log.last or not m.good):
            self._tell(sender, peer)

    @_on.register
    def _(self, m: InstallSnapshot, sender: str, now: float) -> None:
        self._led_by(sender, now)
        if m.index <= self.commit:
            self._send(sender, AppendEntriesResponse(self.term, m.serial, True, m.index))
            return
        if self._pieces_of != (m.index, m.index_term):
            self._pieces_of, self._pieces = (m.index, m.index_term), bytearray()
        if m.offset == len(self._pieces) and m.offset + len(m.piece) <= min(m.size, MAX_SNAPSHOT_BYTES):
            self._pieces += m.piece
        if len(self._pieces) < m.size:
            self._send(sender, InstallSnapshotResponse(self.term, m.serial, m.index, len(self._pieces)))
            return
        snapshot = Snapshot(m.index, m.index_term, m.members, bytes(self._pieces))
        self._pieces, self._pieces_of = bytearray(), (0, 0)
        self.log.restore(snapshot)
        self.commit = self._given = m.index
        self._snapshot, self._fresh = snapshot, True
        self._send(sender, AppendEntriesResponse(self.term, m.serial, True, m.index))

    @_on.register
    def _(self, m: InstallSnapshotResponse, sender: str, now: float) -> None:
        peer = self._heard_of(sender, m.serial, now)
        if peer is not None and peer.snapshot and peer.snapshot.index == m.index:
            peer.offset, peer.waiting = min(m.offset, len(peer.snapshot.state)), False
            self._tell(sender, peer)

    def _heard_of(self, sender: str, serial: int, now: float) -> PeerProgress | None:
        """Guards counts: whoever is no member, or runs on an older directory, is not heard."""
        peer = self.peers.get(sender)
        if self.role is not Role.LEADER or peer is None or peer.older:
            return None
        peer.heard, peer.serial = now, max(peer.serial, serial)
        self._confirm()
        return peer

    # Leading --------------------------------------------------------------------------------------

    def _tell_all(self) -> None:
        for name, peer in self.peers.items():
            self._tell(name, peer)

    def _tell(self, name: str, peer: PeerProgress) -> None:
        """The next entries or the next piece; where an answer is awaited, that all still stands."""
        self._serial += 1
        if peer.next <= self.log.base:
            self._tell_piece(name, peer)
            return
        peer.snapshot = None
        entries = (
            () if peer.waiting else self.log.since(peer.next, MAX_ENTRIES_PER_MESSAGE, MAX_ENTRIES_BYTES)
        )
        peer.waiting |= bool(entries)
        prev = peer.next - 1
        commit = min(self.commit, self.log.last)
        self._send(name, AppendEntries(self.term, self._serial, prev, self.log.term(prev), commit, entries))

    def _tell_piece(self, name: str, peer: PeerProgress) -> None:
        if peer.snapshot is None or peer.snapshot.index < peer.next:
            peer.snapshot, peer.offset = self.log.snapshot, 0
        s = peer.snapshot
        piece = b"" if peer.waiting else s.state[peer.offset : peer.offset + SNAPSHOT_CHUNK_BYTES]
        peer.waiting |= bool(piece)
        self._send(
            name,
            InstallSnapshot(
                self.term, self._serial, s.index, s.term, s.members, peer.offset, len(s.state), piece
            ),
        )

    def _take(self, entry: Entry) -> int:
        index = self.log.append(entry)
        for name, peer in self.peers.items():
            if not peer.waiting:
                self._tell(name, peer)
        self._commit()
        return index

    def _commit(self) -> None:
        """Only entries of this term are counted: an older one that a majority stores can still be lost."""
        voters = self.members.voters
        stored = sorted(
            self.log.last if n == self.name else self.peers[n].match if n in self.peers else 0 for n in voters
        )
        index = stored[(len(stored) - 1) // 2] if stored else 0
        if index <= self.commit or self.log.term(index) != self.term:
            return
        self.commit = index
        for ticket in self._early:
            self._ask_round(ticket)
        self._early.clear()
        self._tell_all()  # what is committed is to be known soon, not at the next heartbeat
        if self.name not in voters and self.commit >= self.log.members_at:
            self._lead_no_more()  # it has removed itself

    def _check_leads(self) -> None:
        if self.role is not Role.LEADER:
            raise NotLeaderError(self.leader)
        if self._aside:
            raise BusyError("the leader hands over")

    def propose(self, data: bytes) -> tuple[int, int]:
        """Takes an entry; where it will stand, and in which term: it holds if that is what is applied there.

        NotLeader or Busy where it isn't taken. Once it is, nobody but the log can tell what becomes of it.
        """
        self._check_leads()
        if self.log.last - self.commit >= MAX_UNCOMMITTED_ENTRIES:
            raise BusyError(f"{MAX_UNCOMMITTED_ENTRIES} entries wait for a majority")
        return self._take(Entry(self.term, EntryKind.DATA, data)), self.term

    def change(self, members: Membership) -> tuple[int, int]:
        """Takes other members, one voter more or less than now; as `propose`.

        Majorities of before and after have a member in common then. Whoever is new comes as a learner first
        and becomes a voter by itself once it has the log.
        """
        self._check_leads()
        old, new = self.members.voters, members.voters
        if self.log.members_at > self.commit or not self._settled():
            raise BusyError("another change of the members is not decided yet")
        if len(old.keys() ^ new.keys()) > 1 or not new:
            raise BusyError("one voter at a time")
        index = self._change(members)
        return index, self.term

    def _change(self, members: Membership) -> int:
        names = members.all.keys() - {self.name}
        self.peers = {
            n: self.peers.get(n) or PeerProgress(self.log.last + 1, self._beat) for n in sorted(names)
        }
        return self._take(Entry(self.term, EntryKind.MEMBERS, msgspec.msgpack.encode(members)))

    def _promote(self) -> None:
        if self._aside or not self._settled() or self.log.members_at > self.commit:
            return
        for name, where in self.members.learners.items():
            if self.peers[name].match + PROMOTION_LAG_ENTRIES >= self.log.last and self.peers[name].match:
                learners = {n: w for n, w in self.members.learners.items() if n != name}
                self._change(Membership(self.members.voters | {name: where}, learners))
                return

    def transfer_leadership(self, now: float) -> None:
        """Hands the lead to whoever has the whole log, once somebody has; nothing is taken meanwhile."""
        if self.role is Role.LEADER:
            self._aside = True
            self._hand_over()

    def _hand_over(self) -> None:
        if not self._aside or self.role is not Role.LEADER:
            return
        whole = [n for n in self.members.voters if n in self.peers and self.peers[n].match == self.log.last]
        if whole:
            self._send(max(whole, key=lambda n: self.peers[n].heard), TimeoutNow(self.term))

    def read(self, ticket: int) -> None:
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
            answered = {n for n, peer in self.peers.items() if peer.serial > serial}
            if not self._majority(answered | {self.name}):
                return
            self._ready.append(self._reads.pop(0).ticket)

    # Out ------------------------------------------------------------------------------------------

    _asked = False

    def compact(self, index: int, state: bytes) -> None:
        """The state that all entries up to `index` lead to, all applied, in their place."""
        if self.log.base < index <= self._given:
            self.log.compact(index, state)
            self._snapshot = self.log.snapshot
            self.log.changed = index  # what follows is written with it, in one new file

    def take(self) -> Output:
        """All that is to be done since the last time."""
        if self._asked and self.role is Role.LEADER:
            self._tell_all()
            self._confirm()
        self._asked = False
        hard = HardState(self.term, self.vote)
        first, entries = self.log.unstored()
        applied, self._given = self._given, max(self._given, self.commit)
        output = Output(
            hard if hard != self._hard else None,
            self._snapshot,
            self._fresh,
            first,
            entries,
            tuple(self._messages),
            applied,
            self.log.since(applied + 1, self.commit - applied),
            tuple(self._ready),
            tuple(self._lost),
        )
        self._hard, self._snapshot, self._fresh = hard, None, False
        self._messages, self._ready, self._lost = [], [], []
        return output
