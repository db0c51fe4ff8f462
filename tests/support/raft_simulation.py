"""Simulates a group of Raft nodes in one process, with a simulated clock and faults drawn from a seed.

Checked invariants: at most one leader per term, the same entry at an index on all replicas, no acknowledged
entry lost, no entry applied twice, no stale read.
"""

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
# The chunks are so small that a snapshot is sent in several of them, between which the log can grow.
snapshot_transfer.SNAPSHOT_CHUNK_BYTES = 24


class InvariantError(AssertionError):
    """An invariant is violated; the message says which."""


@dataclass
class SimulatedDisk:
    """The state that a node has written to disk, as it would be read back from a journal."""

    hard_state: HardState
    snapshot: Snapshot
    entries: list[Entry] = field(default_factory=list)

    def write(self, output: Output) -> None:
        self.hard_state = output.hard_state or self.hard_state
        if output.snapshot:
            self.snapshot, self.entries = output.snapshot, list(output.entries)
        elif output.entries:
            position = output.first_index - self.snapshot.index - 1
            assert 0 <= position <= len(self.entries)
            self.entries[position:] = output.entries

    @property
    def stored(self) -> StoredState:
        return StoredState(self.hard_state, self.snapshot, tuple(self.entries))


@dataclass
class SimulatedReplica:
    """A node with its disk, its clock and the state that it has applied."""

    name: str
    disk: SimulatedDisk
    node: RaftNode | None = None
    state: list[str] = field(default_factory=list)
    index: int = 0
    incarnation: int = 0
    paused: bool = False
    clock_rate: float = 1.0
    clock_offset: float = 0.0
    delayed_messages: list[tuple[str, Message]] = field(default_factory=list)
    open_proposals: dict[tuple[int, int], str] = field(default_factory=dict)  # (index, term) -> value
    # ticket -> values that were acknowledged before the read
    open_reads: dict[int, frozenset[str]] = field(default_factory=dict)


class SimulatedGroup:
    """Replicas, the links between them, a client that sends requests, and the checks of the invariants.

    `spare` is the number of replicas that are not members at first and can be added.
    """

    def __init__(self, seed: int, voters: int = 3, spare: int = 0) -> None:
        self.random = random.Random(seed)
        self.now, self._order = 0.0, itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        names = [f"k{n}" for n in range(voters + spare)]
        self.founders = Membership({n: n for n in names[:voters]})
        self.processes = {
            n: SimulatedReplica(n, SimulatedDisk(HardState(), Snapshot(0, 0, self.founders))) for n in names
        }
        self.cut_links: set[tuple[str, str]] = set()
        self.message_loss = 0.0
        self.leaders: dict[int, str] = {}
        self.log: dict[int, Entry] = {}  # as first applied by any replica
        self.acknowledged: set[str] = set()
        self.counts = {"acknowledged": 0, "reads": 0, "crashes": 0, "changes": 0, "snapshots": 0}
        self._values, self._tickets = itertools.count(), itertools.count()
        for process in self.processes.values():
            process.clock_rate, process.clock_offset = (
                self.random.uniform(0.9, 1.1),
                self.random.uniform(0, 100),
            )
            self.start(process)

    # The clock ------------------------------------------------------------------------------------

    def schedule(self, delay: float, action: Callable[[], None]) -> None:
        """Schedules an action after a delay in seconds."""
        heapq.heappush(self._events, (self.now + delay, next(self._order), action))

    def run(self, until: float) -> None:
        """Runs all actions that are due by the time `until`."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until

    def clock(self, process: SimulatedReplica) -> float:
        """Returns the time on the replica's own clock, which drifts."""
        return self.now * process.clock_rate + process.clock_offset

    # Processes ------------------------------------------------------------------------------------

    def start(self, process: SimulatedReplica) -> None:
        if process.node is not None:
            return
        process.incarnation += 1
        seed = self.random.getrandbits(32)
        process.node = RaftNode(process.name, process.disk.stored, self.clock(process), seed, TIMING)
        self.restore(process, process.disk.snapshot)
        self._run_timer(process, process.incarnation)

    def restore(self, process: SimulatedReplica, snapshot: Snapshot) -> None:
        process.index = snapshot.index
        process.state = msgspec.msgpack.decode(snapshot.state, type=list[str]) if snapshot.state else []

    def dump(self, process: SimulatedReplica) -> bytes:
        return msgspec.msgpack.encode(process.state)

    def crash(self, process: SimulatedReplica) -> None:
        process.node, process.paused = None, False
        process.delayed_messages.clear()
        process.open_proposals.clear()
        process.open_reads.clear()
        self.counts["crashes"] += 1

    def _run_timer(self, process: SimulatedReplica, incarnation: int) -> None:
        if process.node is None or process.incarnation != incarnation:
            return
        if not process.paused:
            process.node.tick(self.clock(process))
            self.process_output(process)
        if process.node is not None:
            wait = (process.node.next_at - self.clock(process)) / process.clock_rate
            self.schedule(max(0.01, wait), lambda: self._run_timer(process, incarnation))

    def process_output(self, process: SimulatedReplica) -> None:
        """Carries out the node's output as the server does; may crash before or after the write to disk."""
        node = process.node
        assert node is not None
        output = node.take_output()
        if self.maybe_crash(process):
            return
        process.disk.write(output)
        if self.maybe_crash(process):
            return
        for to, message in output.messages:
            self.send(process.name, to, message)
        if output.restore_state and output.snapshot:
            self.restore(process, output.snapshot)
        for entry in output.committed:
            self.apply(process, entry)
        for ticket in output.failed_reads:
            process.open_reads.pop(ticket, None)
        for ticket in output.ready_reads:
            self.answer_read(process, ticket)
        if node.role is Role.LEADER and self.leaders.setdefault(node.term, process.name) != process.name:
            raise InvariantError(
                f"term {node.term} has two leaders: {self.leaders[node.term]}, {process.name}"
            )

    def answer_read(self, process: SimulatedReplica, ticket: int) -> None:
        """Answers a read, and checks that it returns every value acknowledged before it began."""
        before = process.open_reads.pop(ticket)
        self.counts["reads"] += 1
        if missing := before - set(process.state):
            raise InvariantError(f"a stale read at {process.name} lacks {sorted(missing)}")

    crash_probability = 0.0  # at each point where the replica may crash

    def maybe_crash(self, process: SimulatedReplica) -> bool:
        if self.crash_probability and self.random.random() < self.crash_probability:
            self.crash(process)
            max_delay = self.random.choice((0.001, 0.05, 5.0))
            self.schedule(self.random.uniform(0, max_delay), lambda: self.start(process))
            return True
        return False

    def apply(self, process: SimulatedReplica, entry: Entry) -> None:
        process.index += 1
        first = self.log.setdefault(process.index, entry)
        if first != entry:
            raise InvariantError(f"{process.name} applies a different entry at index {process.index}")
        if entry.kind is EntryKind.DATA:
            process.state.append(entry.data.decode())
        value = process.open_proposals.pop((process.index, entry.term), None)
        if value is not None:
            assert value == entry.data.decode()
            self.acknowledged.add(value)
            self.counts["acknowledged"] += 1

    # Links ----------------------------------------------------------------------------------------

    def send(self, sender: str, to: str, message: Message) -> None:
        if (sender, to) in self.cut_links or self.random.random() < self.message_loss:
            return
        for _ in range(1 + (self.random.random() < self.message_loss)):
            delay = self.random.choice((0.01, 0.01, 0.02, 0.05, 0.4 if self.message_loss else 0.03))
            self.schedule(delay, lambda: self.deliver(sender, to, message))

    def deliver(self, sender: str, to: str, message: Message) -> None:
        process = self.processes[to]
        if process.node is None:
            return
        if process.paused:
            process.delayed_messages.append((sender, message))
            return
        process.node.receive(sender, message, self.clock(process))
        self.process_output(process)

    # Clients and operators ------------------------------------------------------------------------

    def leader(self) -> SimulatedReplica | None:
        """Returns a running replica in the leader role, which a newer leader may have replaced, or None."""
        running = [p for p in self.processes.values() if p.node and not p.paused]
        leaders = [p for p in running if p.node and p.node.role is Role.LEADER]
        return self.random.choice(leaders) if leaders else None

    def issue_request(self) -> None:
        """Issues one random request: a client's write or read, or an operator's transfer of leadership."""
        process = self.leader()
        if process is None or process.node is None:
            return
        try:
            draw = self.random.random()
            if draw < 0.6:
                self.write(process)
                return
            elif draw < 0.97:
                self.read(process)
                return
            else:
                process.node.transfer_leadership()
        except (BusyError, NotLeaderError):
            return
        self.process_output(process)

    def write(self, process: SimulatedReplica) -> None:
        """Proposes a new value at this replica on behalf of a client, if its role is leader."""
        value = f"v{next(self._values)}"
        if process.node is None or process.node.role is not Role.LEADER:
            return
        with contextlib.suppress(BusyError, NotLeaderError):
            process.open_proposals[process.node.propose(value.encode())] = value
            self.process_output(process)

    def read(self, process: SimulatedReplica) -> None:
        """Starts a read at this replica on behalf of a client, if its role is leader."""
        ticket = next(self._tickets)
        if process.node is None or process.node.role is not Role.LEADER:
            return
        with contextlib.suppress(BusyError, NotLeaderError):
            process.node.request_read(ticket)
            process.open_reads[ticket] = frozenset(self.acknowledged)
            self.process_output(process)

    def request_membership_change(self) -> None:
        """Adds a replica as a learner or removes a voter, as an operator does."""
        process = self.leader()
        if process is None or process.node is None:
            return
        members = process.node.membership
        outside = sorted(self.processes.keys() - members.addresses.keys())
        if outside and (len(members.voters) < 3 or self.random.random() < 0.5):
            new = Membership(members.voters, members.learners | {outside[0]: outside[0]})
        elif len(members.voters) > 2:
            removed = self.random.choice(sorted(members.voters))
            voters = {name: place for name, place in members.voters.items() if name != removed}
            new = Membership(voters, members.learners)
        else:
            return
        try:
            process.node.change_membership(new)
        except (BusyError, NotLeaderError):
            return
        self.counts["changes"] += 1
        self.process_output(process)

    # Faults ---------------------------------------------------------------------------------------

    def inject_fault(self) -> None:
        """Causes at most one random event.

        The events are a crash, a pause, the cut of one link, a partition, the end of all cuts, a new rate of
        message loss, a compaction and a membership change.
        """
        r, names = self.random, sorted(self.processes)
        process = self.processes[r.choice(names)]
        kind = r.randrange(8)
        if kind == 0 and process.node:
            self.crash(process)
            self.schedule(r.uniform(0.1, 6), lambda: self.start(process))
        elif kind == 1 and process.node and not process.paused:
            process.paused = True
            self.schedule(r.uniform(0.1, 8), lambda: self.resume(process))
        elif kind == 2:
            self.cut_links.add((r.choice(names), r.choice(names)))
        elif kind == 3:
            side = set(r.sample(names, r.randrange(1, len(names))))
            self.cut_links = {(a, b) for a in names for b in names if (a in side) != (b in side)}
        elif kind == 4:
            self.cut_links.clear()
        elif kind == 5:
            self.message_loss = r.choice((0.0, 0.05, 0.3))
        elif kind == 6 and process.node and not process.paused:
            process.node.compact(process.index, self.dump(process))
            self.counts["snapshots"] += 1
            self.process_output(process)
        elif kind == 7 and len(names) > len(self.founders.voters):
            self.request_membership_change()

    def resume(self, process: SimulatedReplica) -> None:
        if process.node is None or not process.paused:
            return
        process.paused = False
        delayed_messages, process.delayed_messages = process.delayed_messages, []
        # In half of the cases the links were reset during the pause: the delayed messages are lost, and
        # requests of clients arrive before any message of another replica.
        if self.random.random() < 0.5:
            delayed_messages.clear()
            self.read(process)
            self.write(process)
        for sender, message in delayed_messages:
            self.deliver(sender, process.name, message)

    def play(self, seconds: float, every: float = 0.5) -> None:
        """Issues requests and faults for `seconds`, on average at intervals of `every`; heals and checks."""
        end = self.now + seconds
        while self.now < end:
            self.run(self.now + self.random.uniform(0, 2 * every))
            for _ in range(self.random.randrange(4)):
                self.issue_request()
            self.inject_fault()
        self.heal_and_check()

    def heal_and_check(self) -> None:
        """Ends all faults, and checks that the group commits again and has lost nothing."""
        self.cut_links.clear()
        self.message_loss = self.crash_probability = 0.0
        for process in self.processes.values():
            self.resume(process)
            self.start(process)
        acknowledged = len(self.acknowledged)
        for _ in range(60):
            self.run(self.now + 1)
            for _ in range(3):
                self.issue_request()
            voters = self._voters()
            if len(self.acknowledged) > acknowledged and voters and len({p.index for p in voters}) == 1:
                break
        else:
            raise InvariantError("the group did not converge within 60 s after all faults ended")
        states = [p.state for p in voters]
        if any(state != states[0] for state in states):
            raise InvariantError("replicas' states differ at the same index")
        if lost := self.acknowledged - set(states[0]):
            raise InvariantError(f"acknowledged values were lost: {sorted(lost)}")
        if len(states[0]) != len(set(states[0])):
            raise InvariantError("an entry was applied twice")

    def _voters(self) -> list[SimulatedReplica]:
        leader = self.leader()
        if leader is None or leader.node is None:
            return []
        return [self.processes[n] for n in leader.node.membership.voters]
