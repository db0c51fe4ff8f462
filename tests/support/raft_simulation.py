"""A group in one process on a given clock: the same members, faults by seed, and a judge of what was told."""

from __future__ import annotations

import contextlib
import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from zincladder.consensus import snapshot_transfer
from zincladder.consensus.errors import BusyError, NotLeaderError
from zincladder.consensus.model import (
    Entry,
    EntryKind,
    HardState,
    Membership,
    Message,
    Output,
    Snapshot,
    StoredState,
)
from zincladder.consensus.raft import RaftNode
from zincladder.consensus.raft_state import RaftTiming, Role

TIMING = RaftTiming(heartbeat_seconds=0.5, election_timeout_seconds=2.0)
snapshot_transfer.SNAPSHOT_CHUNK_BYTES = (
    24  # bytes: snapshots go in several pieces, and the log goes on meanwhile
)


class Broken(AssertionError):
    """A rule was broken; the text says which."""


@dataclass
class Disk:
    """What a member has written, as its journal would give it back."""

    hard_state: HardState
    snapshot: Snapshot
    entries: list[Entry] = field(default_factory=list)

    def write(self, output: Output) -> None:
        self.hard_state = output.hard_state or self.hard_state
        if output.snapshot:
            self.snapshot, self.entries = output.snapshot, list(output.entries)
        elif output.entries:
            at = output.first_index - self.snapshot.index - 1
            assert 0 <= at <= len(self.entries)
            self.entries[at:] = output.entries

    @property
    def stored(self) -> StoredState:
        return StoredState(self.hard_state, self.snapshot, tuple(self.entries))


@dataclass
class Process:
    """A member with its disk, its clock and what it has applied."""

    name: str
    disk: Disk
    node: RaftNode | None = None
    state: list[str] = field(default_factory=list)
    index: int = 0
    lives: int = 0
    asleep: bool = False
    rate: float = 1.0
    offset: float = 0.0
    missed: list[tuple[str, Message]] = field(default_factory=list)
    open: dict[tuple[int, int], str] = field(default_factory=dict)  # (index, term) -> value
    reads: dict[int, frozenset[str]] = field(default_factory=dict)  # ticket -> told before it began


class World:
    """Processes, links between them, a client that keeps asking, and the judge."""

    def __init__(self, seed: int, voters: int = 3, spare: int = 0) -> None:
        self.random = random.Random(seed)
        self.now, self._order = 0.0, itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        names = [f"k{n}" for n in range(voters + spare)]
        self.founders = Membership({n: n for n in names[:voters]})
        self.processes = {n: Process(n, Disk(HardState(), Snapshot(0, 0, self.founders))) for n in names}
        self.cut: set[tuple[str, str]] = set()
        self.loss = 0.0
        self.leaders: dict[int, str] = {}
        self.log: dict[int, Entry] = {}  # as first applied by anybody
        self.told: set[str] = set()
        self.figures = {"told": 0, "reads": 0, "crashes": 0, "changes": 0, "snapshots": 0}
        self._values, self._tickets = itertools.count(), itertools.count()
        for process in self.processes.values():
            process.rate, process.offset = self.random.uniform(0.9, 1.1), self.random.uniform(0, 100)
            self.start(process)

    # The clock ------------------------------------------------------------------------------------

    def at(self, delay: float, do: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + delay, next(self._order), do))

    def run(self, until: float) -> None:
        while self._events and self._events[0][0] <= until:
            self.now, _, do = heapq.heappop(self._events)
            do()
        self.now = until

    def clock(self, process: Process) -> float:
        return self.now * process.rate + process.offset

    # Processes ------------------------------------------------------------------------------------

    def start(self, process: Process) -> None:
        if process.node is not None:
            return
        process.lives += 1
        seed = self.random.getrandbits(32)
        process.node = RaftNode(process.name, process.disk.stored, self.clock(process), seed, TIMING)
        self.restore(process, process.disk.snapshot)
        self._wake(process, process.lives)

    def restore(self, process: Process, snapshot: Snapshot) -> None:
        process.index = snapshot.index
        process.state = msgspec.msgpack.decode(snapshot.state, type=list[str]) if snapshot.state else []

    def dump(self, process: Process) -> bytes:
        return msgspec.msgpack.encode(process.state)

    def crash(self, process: Process) -> None:
        process.node, process.asleep = None, False
        process.missed.clear()
        process.open.clear()
        process.reads.clear()
        self.figures["crashes"] += 1

    def _wake(self, process: Process, life: int) -> None:
        if process.node is None or process.lives != life:
            return
        if not process.asleep:
            process.node.tick(self.clock(process))
            self.settle(process)
        if process.node is not None:
            wait = (process.node.next_at - self.clock(process)) / process.rate
            self.at(max(0.01, wait), lambda: self._wake(process, life))

    def settle(self, process: Process) -> None:
        """What its host does after each event; a crash may come between any two steps."""
        member = process.node
        assert member is not None
        output = member.take_output()
        if self.dies(process):
            return
        process.disk.write(output)
        if self.dies(process):
            return
        for to, message in output.messages:
            self.send(process.name, to, message)
        if output.restore_state and output.snapshot:
            self.restore(process, output.snapshot)
        for entry in output.committed:
            self.apply(process, entry)
        for ticket in output.failed_reads:
            process.reads.pop(ticket, None)
        for ticket in output.ready_reads:
            self.ready(process, ticket)
        if member.role is Role.LEADER and self.leaders.setdefault(member.term, process.name) != process.name:
            raise Broken(f"two leaders in term {member.term}: {self.leaders[member.term]}, {process.name}")

    def ready(self, process: Process, ticket: int) -> None:
        """A read that is answered now."""
        before = process.reads.pop(ticket)
        self.figures["reads"] += 1
        if missing := before - set(process.state):
            raise Broken(f"a read at {process.name} lacks {sorted(missing)}, told before it began")

    fatal = 0.0  # chance that a process dies at a step

    def dies(self, process: Process) -> bool:
        if self.fatal and self.random.random() < self.fatal:
            self.crash(process)
            soon = self.random.choice((0.001, 0.05, 5.0))
            self.at(self.random.uniform(0, soon), lambda: self.start(process))
            return True
        return False

    def apply(self, process: Process, entry: Entry) -> None:
        process.index += 1
        first = self.log.setdefault(process.index, entry)
        if first != entry:
            raise Broken(f"{process.name} applies another entry at {process.index}")
        if entry.kind is EntryKind.DATA:
            process.state.append(entry.data.decode())
        value = process.open.pop((process.index, entry.term), None)
        if value is not None:
            assert value == entry.data.decode()
            self.told.add(value)
            self.figures["told"] += 1

    # Links ----------------------------------------------------------------------------------------

    def send(self, sender: str, to: str, message: Message) -> None:
        if (sender, to) in self.cut or self.random.random() < self.loss:
            return
        for _ in range(1 + (self.random.random() < self.loss)):
            delay = self.random.choice((0.01, 0.01, 0.02, 0.05, 0.4 if self.loss else 0.03))
            self.at(delay, lambda: self.deliver(sender, to, message))

    def deliver(self, sender: str, to: str, message: Message) -> None:
        process = self.processes[to]
        if process.node is None:
            return
        if process.asleep:
            process.missed.append((sender, message))
            return
        process.node.receive(sender, message, self.clock(process))
        self.settle(process)

    # Clients and operators ------------------------------------------------------------------------

    def leader(self) -> Process | None:
        """One that believes to lead, whether it does or not."""
        awake = [p for p in self.processes.values() if p.node and not p.asleep]
        found = [p for p in awake if p.node and p.node.role is Role.LEADER]
        return self.random.choice(found) if found else None

    def ask(self) -> None:
        process = self.leader()
        if process is None or process.node is None:
            return
        try:
            what = self.random.random()
            if what < 0.6:
                self.write(process)
                return
            elif what < 0.97:
                self.read(process)
                return
            else:
                process.node.transfer_leadership()
        except (BusyError, NotLeaderError):
            return
        self.settle(process)

    def write(self, process: Process) -> None:
        """A client's entry for one that may lead."""
        value = f"v{next(self._values)}"
        if process.node is None or process.node.role is not Role.LEADER:
            return
        with contextlib.suppress(BusyError, NotLeaderError):
            process.open[process.node.propose(value.encode())] = value
            self.settle(process)

    def read(self, process: Process) -> None:
        """A client's question to one that may lead."""
        ticket = next(self._tickets)
        if process.node is None or process.node.role is not Role.LEADER:
            return
        with contextlib.suppress(BusyError, NotLeaderError):
            process.node.request_read(ticket)
            process.reads[ticket] = frozenset(self.told)
            self.settle(process)

    def change(self) -> None:
        process = self.leader()
        if process is None or process.node is None:
            return
        members = process.node.membership
        outside = sorted(self.processes.keys() - members.addresses.keys())
        if outside and (len(members.voters) < 3 or self.random.random() < 0.5):
            new = Membership(members.voters, members.learners | {outside[0]: outside[0]})
        elif len(members.voters) > 2:
            gone = self.random.choice(sorted(members.voters))
            new = Membership({n: w for n, w in members.voters.items() if n != gone}, members.learners)
        else:
            return
        try:
            process.node.change_membership(new)
        except (BusyError, NotLeaderError):
            return
        self.figures["changes"] += 1
        self.settle(process)

    # Faults ---------------------------------------------------------------------------------------

    def trouble(self) -> None:
        r, names = self.random, sorted(self.processes)
        process = self.processes[r.choice(names)]
        kind = r.randrange(8)
        if kind == 0 and process.node:
            self.crash(process)
            self.at(r.uniform(0.1, 6), lambda: self.start(process))
        elif kind == 1 and process.node and not process.asleep:
            process.asleep = True
            self.at(r.uniform(0.1, 8), lambda: self.wake_up(process))
        elif kind == 2:
            self.cut.add((r.choice(names), r.choice(names)))
        elif kind == 3:
            side = set(r.sample(names, r.randrange(1, len(names))))
            self.cut = {(a, b) for a in names for b in names if (a in side) != (b in side)}
        elif kind == 4:
            self.cut.clear()
        elif kind == 5:
            self.loss = r.choice((0.0, 0.05, 0.3))
        elif kind == 6 and process.node and not process.asleep:
            process.node.compact(process.index, self.dump(process))
            self.figures["snapshots"] += 1
            self.settle(process)
        elif kind == 7 and len(names) > len(self.founders.voters):
            self.change()

    def wake_up(self, process: Process) -> None:
        if process.node is None or not process.asleep:
            return
        process.asleep = False
        missed, process.missed = process.missed, []
        if self.random.random() < 0.5:  # its links were reset while it slept, and clients are quicker
            missed.clear()
            self.read(process)
            self.write(process)
        for sender, message in missed:
            self.deliver(sender, process.name, message)

    def play(self, seconds: float, every: float = 0.5) -> None:
        """Asks and troubles for so long; then all is mended, and what was told has to be there."""
        end = self.now + seconds
        while self.now < end:
            self.run(self.now + self.random.uniform(0, 2 * every))
            for _ in range(self.random.randrange(4)):
                self.ask()
            self.trouble()
        self.mend()

    def mend(self) -> None:
        self.cut.clear()
        self.loss = self.fatal = 0.0
        for process in self.processes.values():
            self.wake_up(process)
            self.start(process)
        told = len(self.told)
        for _ in range(60):
            self.run(self.now + 1)
            for _ in range(3):
                self.ask()
            voters = self._voters()
            if len(self.told) > told and voters and len({p.index for p in voters}) == 1:
                break
        else:
            raise Broken("nothing is decided a minute after all was mended")
        states = [p.state for p in voters]
        if any(state != states[0] for state in states):
            raise Broken("states differ at the same index")
        if lost := self.told - set(states[0]):
            raise Broken(f"told and lost: {sorted(lost)}")
        if len(states[0]) != len(set(states[0])):
            raise Broken("an entry was applied twice")

    def _voters(self) -> list[Process]:
        leader = self.leader()
        if leader is None or leader.node is None:
            return []
        return [self.processes[n] for n in leader.node.membership.voters]
