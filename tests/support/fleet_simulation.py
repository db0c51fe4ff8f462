"""Simulates fronts and a replica group on drifting clocks, with leases, policy changes and seeded faults."""

from __future__ import annotations

import itertools
from collections import deque
from dataclasses import dataclass, field

from tests.support.fleet_judge import PolicyInvariants
from tests.support.raft_simulation import InvariantError, SimulatedGroup, SimulatedReplica
from zincladder.consensus.errors import BusyError, NotLeaderError
from zincladder.consensus.key_value_state import CompareAndSwap, KeyValueState
from zincladder.consensus.lease_timing import LeaseTiming
from zincladder.consensus.model import Entry, EntryKind, Snapshot
from zincladder.consensus.raft_state import Role
from zincladder.policy import change_log
from zincladder.policy.change_states import propose_change
from zincladder.policy.coordinator import ChangeCoordinator
from zincladder.policy.errors import ChangeRejectedError
from zincladder.policy.model import (
    POLICY_KEY,
    ChangeOutcome,
    DocumentValidated,
    FromCoordinator,
    FromParticipant,
    PolicyLeaseGranted,
    document_id,
)
from zincladder.policy.participant import ChangeParticipant

LEASE_TIMING = LeaseTiming(
    lease_seconds=2.5,
    renew_seconds=0.5,
    clock_drift=0.1,
    check_timeout_seconds=1.0,
    release_timeout_seconds=0.4,
)


@dataclass
class FrontLink:
    """A link between a front and a replica, which delivers messages in order until it breaks.

    `free_at` is, for each direction, the time at which the last message sent will arrive.
    """

    number: int
    front: str
    replica: str
    replica_generation: int
    is_open: bool = True
    free_at: dict[str, float] = field(default_factory=lambda: {"to_leader": 0.0, "to_front": 0.0})


@dataclass
class SimulatedFront:
    """A front with its clock, its link and the state machine that takes part in policy changes."""

    name: str
    clock_rate: float
    clock_offset: float
    participant: ChangeParticipant | None = None
    generation: int = 0  # counts the starts of the front
    paused: bool = False
    link: FrontLink | None = None
    objects_to: set[str] = field(default_factory=set)  # documents that it cannot serve under
    undelivered: list[tuple[FrontLink, FromCoordinator]] = field(default_factory=list)


class FleetWorld(SimulatedGroup):
    """A group of replicas with fronts; the invariants are checked whenever a front has acted."""

    def __init__(
        self, seed: int, voters: int = 3, fronts: int = 4, lease_timing: LeaseTiming = LEASE_TIMING
    ) -> None:
        self.lease_timing = lease_timing
        self.registers: dict[str, KeyValueState] = {}
        self.coordinators: dict[str, ChangeCoordinator] = {}
        self.unconfirmed: dict[str, deque[tuple[int, FrontLink, FromParticipant | None]]] = {}
        self.read_index: dict[str, int] = {}
        self.fronts: dict[str, SimulatedFront] = {}
        self.link_numbers = itertools.count(1)
        self.invariants = PolicyInvariants(lease_timing.min_agreeing_share)
        self.proposals = itertools.count()
        self.isolated: dict[str, set[str]] = {}  # front -> directions in which messages are lost
        super().__init__(seed, voters)
        self.counts |= {
            "activated": 0,
            "withdrawn": 0,
            "grants": 0,
            "served": 0,
            "proposed": 0,
            "retreats": 0,
        }
        for n in range(fronts):
            drift = lease_timing.clock_drift
            clock_rate = self.random.choice((1 - drift, 1.0, 1 + drift))
            front = self.fronts[f"f{n}"] = SimulatedFront(f"f{n}", clock_rate, self.random.uniform(0, 100))
            self.start_front(front)
            self._front_loop(front)

    def front_clock(self, front: SimulatedFront) -> float:
        return self.now * front.clock_rate + front.clock_offset

    # Fronts ---------------------------------------------------------------------------------------

    def start_front(self, front: SimulatedFront) -> None:
        if front.participant is None:
            front.generation += 1
            front.participant = self.new_participant(front)

    def new_participant(self, front: SimulatedFront) -> ChangeParticipant:
        return ChangeParticipant(self.front_clock(front))

    def end_front(self, front: SimulatedFront) -> None:
        front.participant, front.paused = None, False
        front.undelivered.clear()
        self.break_link(front.link)

    def _front_loop(self, front: SimulatedFront) -> None:
        self.schedule(self.random.uniform(0.05, 0.3), lambda: self._front_loop(front))
        if front.participant is None or front.paused:
            return
        if front.link is None:
            self.connect(front)
        front.participant.tick(self.front_clock(front))
        self.carry_out(front)
        self.check_invariants()

    def connect(self, front: SimulatedFront) -> None:
        process = self.processes[self.random.choice(sorted(self.processes))]
        if process.node is None or process.paused or (front.name, process.name) in self.cut_links:
            return
        if front.name in self.isolated:
            return
        coordinator = self.coordinators.get(process.name)
        if coordinator is None or process.node.role is not Role.LEADER:
            return
        assert front.participant is not None
        link = front.link = FrontLink(next(self.link_numbers), front.name, process.name, process.incarnation)
        coordinator.link_opened(link.number, front.name, str(front.generation), self.clock(process))
        front.participant.link_changed(True, self.front_clock(front))

    def break_link(self, link: FrontLink | None) -> None:
        """Breaks a link; each side notices it after a random delay of up to 2 s."""
        if link is None or not link.is_open:
            return
        link.is_open = False
        self.schedule(self.random.uniform(0, 2), lambda: self._front_notices_lost_link(link))
        self.schedule(self.random.uniform(0, 2), lambda: self._leader_notices_lost_link(link))

    def _front_notices_lost_link(self, link: FrontLink) -> None:
        front = self.fronts[link.front]
        if front.link is link:
            front.link = None
            if front.participant is not None:
                front.participant.link_changed(False, self.front_clock(front))

    def _leader_notices_lost_link(self, link: FrontLink) -> None:
        process, coordinator = self.processes[link.replica], self.coordinators.get(link.replica)
        if (
            coordinator is not None
            and process.node is not None
            and process.incarnation == link.replica_generation
        ):
            coordinator.link_closed(link.number, self.clock(process))
            if not process.paused:
                self.advance_coordinator(process)

    def carry_out(self, front: SimulatedFront) -> None:
        participant, link = front.participant, front.link
        assert participant is not None
        while True:
            actions = participant.take_actions()
            for document, _ in actions.apply:
                participant.applied(document, "it can't" if document in front.objects_to else "")
            for check in actions.validate:
                rejected = check.document in front.objects_to
                if not rejected:
                    self.invariants.agreed.add((front.name, check.document))
                participant.validated(check, ("it can't",) if rejected else ())
            if link is not None:
                for message in actions.messages:
                    self._transmit(link, "to_leader", message)
            if not actions.messages and not actions.apply and not actions.validate:
                break

    # Links ----------------------------------------------------------------------------------------

    def _transmit(self, link: FrontLink, direction: str, message: FromParticipant | FromCoordinator) -> None:
        """Sends a message to arrive after those before it, possibly after the link has broken."""
        if direction in self.isolated.get(link.front, ()):
            return None  # the message is lost and neither side notices
        if (link.front, link.replica) in self.cut_links and direction == "to_leader":
            return self.break_link(link)
        if (link.replica, link.front) in self.cut_links and direction == "to_front":
            return self.break_link(link)
        at = max(
            link.free_at[direction],
            self.now + self.random.choice((0.01, 0.02, 0.05, 0.3, 1.0 if self.message_loss else 0.05)),
        )
        link.free_at[direction] = at
        if direction == "to_leader":
            self.schedule(at - self.now, lambda: self._deliver_to_leader(link, message))  # type: ignore[arg-type]
        else:
            self.schedule(at - self.now, lambda: self._deliver_to_front(link, message))  # type: ignore[arg-type]
        return None

    def _deliver_to_leader(self, link: FrontLink, message: FromParticipant) -> None:
        process = self.processes[link.replica]
        if process.node is None or process.incarnation != link.replica_generation:
            return
        if process.paused:
            self.schedule(0.3, lambda: self._deliver_to_leader(link, message))
            return
        self.confirm_leadership_first(process, link, message)

    def confirm_leadership_first(
        self, process: SimulatedReplica, link: FrontLink, message: FromParticipant
    ) -> None:
        """Queues a front's message until a majority has confirmed that this replica leads."""
        assert process.node is not None
        ticket = next(self._tickets)
        try:
            process.node.request_read(ticket)
        except (BusyError, NotLeaderError):
            self.break_link(link)
            return
        self.unconfirmed.setdefault(process.name, deque()).append((ticket, link, message))
        self.process_output(process)

    def _deliver_to_front(self, link: FrontLink, message: FromCoordinator) -> None:
        front = self.fronts[link.front]
        if front.link is not link or front.participant is None:
            return
        if front.paused:
            front.undelivered.append((link, message))
            return
        front.participant.message_received(message, self.front_clock(front))
        self.carry_out(front)
        self.check_invariants()

    # Replicas -------------------------------------------------------------------------------------

    def restore(self, process: SimulatedReplica, snapshot: Snapshot) -> None:
        process.index = snapshot.index
        self.registers[process.name] = KeyValueState(snapshot.state)

    def dump(self, process: SimulatedReplica) -> bytes:
        return self.registers[process.name].dump()

    def crash(self, process: SimulatedReplica) -> None:
        super().crash(process)
        self.coordinators.pop(process.name, None)
        self.unconfirmed.pop(process.name, None)
        for front in self.fronts.values():
            if front.link and front.link.replica == process.name:
                self.break_link(front.link)

    def apply(self, process: SimulatedReplica, entry: Entry) -> None:
        process.index += 1
        first = self.log.setdefault(process.index, entry)
        if first != entry:
            raise InvariantError(f"{process.name} applies a different entry at index {process.index}")
        if entry.kind is EntryKind.DATA:
            self.registers[process.name].apply(process.index, entry.data)
            registers = self.registers[process.name]
            found = registers.get(POLICY_KEY)
            if found is not None and found.version == process.index:
                self.invariants.check_applied(change_log.read(registers.with_prefix("")))

    def process_output(self, process: SimulatedReplica) -> None:
        super().process_output(process)
        self.advance_coordinator(process)

    def answer_read(self, process: SimulatedReplica, ticket: int) -> None:
        queue = self.unconfirmed.get(process.name, deque())
        while queue and queue[0][0] <= ticket:
            _, link, message = queue.popleft()
            coordinator = self.coordinators.get(process.name)
            if coordinator is None:
                continue
            self.read_registers(process, coordinator)
            if message is not None:
                known = link.number in coordinator.fronts
                if known and isinstance(message, DocumentValidated) and message.reasons:
                    self.invariants.objections_heard.add((process.name, coordinator.term, message.document))
                coordinator.message_received(link.number, message, self.clock(process))

    def read_registers(self, process: SimulatedReplica, coordinator: ChangeCoordinator) -> None:
        stored = change_log.read(self.registers[process.name].with_prefix(""))
        if self.read_index.get(process.name) != process.index:
            self.read_index[process.name] = process.index
            coordinator.record_read(
                stored.record,
                stored.record_version,
                stored.expected_fronts,
                stored.contents,
                self.clock(process),
            )

    def advance_coordinator(self, process: SimulatedReplica) -> None:
        member = process.node
        if member is None:
            return
        coordinator = self.coordinators.get(process.name)
        if member.role is not Role.LEADER:
            if coordinator is not None:
                del self.coordinators[process.name]
                self.unconfirmed.pop(process.name, None)
                for front in self.fronts.values():
                    if front.link and front.link.replica == process.name:
                        self.break_link(front.link)
            return
        if coordinator is None or coordinator.term != member.term:
            coordinator = self.coordinators[process.name] = ChangeCoordinator(
                self.lease_timing, self.clock(process), member.term
            )
            self.read_index.pop(process.name, None)
            self.unconfirmed[process.name] = deque()
            ticket = next(self._tickets)
            member.request_read(ticket)
            self.unconfirmed[process.name].append((ticket, FrontLink(0, "", process.name, 0), None))
            self.process_output(process)
            return
        if coordinator.has_read_state:
            self.read_registers(process, coordinator)
        coordinator.tick(self.clock(process))
        actions = coordinator.take_actions()
        links = {f.link.number: f.link for f in self.fronts.values() if f.link}
        for number, message in actions.messages:
            self.counts["grants"] += isinstance(message, PolicyLeaseGranted)
            if number in links:
                self._transmit(links[number], "to_front", message)
        swaps = [change_log.write_expected_front(name) for name in actions.expect_fronts]
        if actions.write:
            change = actions.write.record.open_change
            self.invariants.check_write(process.name, coordinator.term, change)
            swaps.append(change_log.write_record(actions.write.expected_version, actions.write.record))
        for swap in swaps:
            self.propose_write(process, swap)
        if swaps:
            self.process_output(process)

    def propose_write(self, process: SimulatedReplica, swap: CompareAndSwap) -> None:
        assert process.node is not None
        try:
            process.node.propose(change_log.encode(swap))
        except (BusyError, NotLeaderError):
            return

    def _run_timer(self, process: SimulatedReplica, incarnation: int) -> None:
        super()._run_timer(process, incarnation)
        if process.node is not None and process.incarnation == incarnation and not process.paused:
            self.advance_coordinator(process)

    # Operators ------------------------------------------------------------------------------------

    def issue_request(self) -> None:
        if self.random.random() < 0.5:
            return
        process = self.leader()
        if process is None or process.node is None:
            return
        stored = change_log.read(self.registers[process.name].with_prefix(""))  # possibly stale
        data = b"policy %d" % next(self.proposals)
        if self.random.random() < 0.2:
            self.random.choice(list(self.fronts.values())).objects_to.add(document_id(data))
        base = stored.record.version
        try:
            proposed = propose_change(stored.record, base, document_id(data), "op", "", self.now)
        except ChangeRejectedError:
            return
        self.counts["proposed"] += 1
        self.propose_write(process, change_log.write_document(data))
        self.propose_write(process, change_log.write_record(stored.record_version, proposed))
        self.process_output(process)

    def inject_fault(self) -> None:
        r = self.random
        if r.random() < 0.35:
            super().inject_fault()
        front = r.choice(list(self.fronts.values()))
        kind = r.randrange(7)
        if kind == 0 and front.participant:
            self.end_front(front)
            self.schedule(r.uniform(0.1, 9), lambda: self.start_front(front))
        elif kind == 1 and front.participant and not front.paused:
            front.paused = True
            self.schedule(r.uniform(0.1, 8), lambda: self.resume_front(front))
        elif kind == 2:
            self.break_link(front.link)
        elif kind == 4 and front.name not in self.isolated:
            self.isolated[front.name] = r.choice(({"to_leader"}, {"to_front"}, {"to_leader", "to_front"}))
            self.schedule(r.uniform(1, 9), lambda: self.reconnect(front))
        elif kind == 3:
            replica = r.choice(sorted(self.processes))
            self.cut_links.add(r.choice(((front.name, replica), (replica, front.name))))

    def reconnect(self, front: SimulatedFront) -> None:
        self.isolated.pop(front.name, None)

    def read(self, process: SimulatedReplica) -> None:
        """Does nothing: in this simulation the fronts send the requests, and there are no clients."""

    def write(self, process: SimulatedReplica) -> None:
        """Does nothing: in this simulation only the policy's records are written, and no clients' values."""

    def resume_front(self, front: SimulatedFront) -> None:
        if front.participant is None or not front.paused:
            return
        front.paused = False
        self.check_invariants()  # before it receives the messages that arrived while it was paused
        undelivered, front.undelivered = front.undelivered, []
        for link, message in undelivered:
            self._deliver_to_front(link, message)

    # Checks ---------------------------------------------------------------------------------------

    def check_invariants(self) -> None:
        serving = {}
        for front in self.fronts.values():
            if front.participant is not None and not front.paused:
                version = front.participant.serving_version(self.front_clock(front))
                if version:
                    serving[front.name] = version
                    self.counts["served"] += 1
        self.invariants.check_serving(serving)

    def heal_and_check(self) -> None:
        self.cut_links.clear()
        self.isolated.clear()
        self.message_loss = self.crash_probability = 0.0
        for process in self.processes.values():
            self.resume(process)
            self.start(process)
        for front in self.fronts.values():
            self.resume_front(front)
            self.start_front(front)
        for _ in range(80):
            self.run(self.now + 1)
            leader = self.leader()
            if leader is None:
                continue
            record = change_log.read(self.registers[leader.name].with_prefix("")).record
            versions = {
                f.participant.serving_version(self.front_clock(f)) if f.participant else 0
                for f in self.fronts.values()
            }
            rejected = any(record.document in f.objects_to for f in self.fronts.values())
            done = record.open_change is None and self.invariants.decided.keys() <= {
                p.version for p in record.log
            }
            if done and (versions == {record.version} or rejected or not record.version):
                break
        else:
            raise InvariantError(
                f"fronts did not settle on one version within {80} s after all faults ended: "
                f"{versions}, {record.open_change}"
            )
        self.counts["activated"] += sum(p.outcome is ChangeOutcome.ACTIVATED for p in record.log)
        self.counts["withdrawn"] += sum(p.outcome is ChangeOutcome.WITHDRAWN for p in record.log)
