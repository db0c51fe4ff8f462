"""Fronts beside a simulated group: leases and changes of policy on given clocks, with faults by seed."""

from __future__ import annotations

import itertools
from collections import deque
from dataclasses import dataclass, field

from tests.support.raft_simulation import Broken, Process, World
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
    ChangePhase,
    DocumentValidated,
    FromCoordinator,
    FromParticipant,
    PolicyLeaseGranted,
    document_id,
)
from zincladder.policy.participant import ChangeParticipant

TERMS = LeaseTiming(
    lease_seconds=2.5,
    renew_seconds=0.5,
    clock_drift=0.1,
    check_timeout_seconds=1.0,
    release_timeout_seconds=0.4,
)


@dataclass
class Line:
    """A link between a front and a keeper: in order, each way by itself, until it breaks."""

    number: int
    front: str
    replica: str
    life: int  # the keeper's
    up: bool = True
    free: dict[str, float] = field(default_factory=lambda: {"to": 0.0, "back": 0.0})


@dataclass
class Front:
    """A front's process."""

    name: str
    rate: float
    offset: float
    participant: ChangeParticipant | None = None
    process: int = 0
    asleep: bool = False
    line: Line | None = None
    against: set[str] = field(default_factory=set)  # documents that it can't take
    missed: list[tuple[Line, FromCoordinator]] = field(default_factory=list)


class FleetWorld(World):
    """A group of keepers with fronts; the judge looks after every event."""

    def __init__(self, seed: int, voters: int = 3, fronts: int = 4, terms: LeaseTiming = TERMS) -> None:
        self.terms = terms
        self.registers: dict[str, KeyValueState] = {}
        self.coordinators: dict[str, ChangeCoordinator] = {}
        self.inbox: dict[str, deque[tuple[int, Line, FromParticipant | None]]] = {}
        self.read_at: dict[str, int] = {}
        self.fronts: dict[str, Front] = {}
        self.lines = itertools.count(1)
        self.said_yes: set[tuple[str, str]] = set()
        self.heard_no: set[tuple[str, int, str]] = set()  # by a leader in its term
        self.decided: dict[int, str] = {}
        self.expected: dict[int, int] = {}  # fronts on the roster when a change was proposed
        self.in_force = 0
        self.proposals = itertools.count()
        self.alone: dict[str, set[str]] = {}  # fronts that no keeper reaches, or that reach none
        super().__init__(seed, voters)
        self.figures |= {"held": 0, "withdrawn": 0, "grants": 0, "served": 0, "asked": 0, "retreats": 0}
        for n in range(fronts):
            drift = terms.clock_drift
            rate = self.random.choice((1 - drift, 1.0, 1 + drift))
            front = self.fronts[f"f{n}"] = Front(f"f{n}", rate, self.random.uniform(0, 100))
            self.begin(front)
            self._front_loop(front)

    def front_clock(self, front: Front) -> float:
        return self.now * front.rate + front.offset

    # Fronts ---------------------------------------------------------------------------------------

    def begin(self, front: Front) -> None:
        if front.participant is None:
            front.process += 1
            front.participant = self.participant(front)

    def participant(self, front: Front) -> ChangeParticipant:
        return ChangeParticipant(self.front_clock(front))

    def end_front(self, front: Front) -> None:
        front.participant, front.asleep = None, False
        front.missed.clear()
        self.break_line(front.line)

    def _front_loop(self, front: Front) -> None:
        self.at(self.random.uniform(0.05, 0.3), lambda: self._front_loop(front))
        if front.participant is None or front.asleep:
            return
        if front.line is None:
            self.connect(front)
        front.participant.tick(self.front_clock(front))
        self.front_settle(front)
        self.judge()

    def connect(self, front: Front) -> None:
        process = self.processes[self.random.choice(sorted(self.processes))]
        if process.node is None or process.asleep or (front.name, process.name) in self.cut:
            return
        if front.name in self.alone:
            return
        coordinator = self.coordinators.get(process.name)
        if coordinator is None or process.node.role is not Role.LEADER:
            return
        assert front.participant is not None
        line = front.line = Line(next(self.lines), front.name, process.name, process.lives)
        coordinator.linked(line.number, front.name, str(front.process), self.clock(process))
        front.participant.link(True, self.front_clock(front))

    def break_line(self, line: Line | None) -> None:
        """Each side learns of it at a time of its own."""
        if line is None or not line.up:
            return
        line.up = False
        self.at(self.random.uniform(0, 2), lambda: self._front_lost(line))
        self.at(self.random.uniform(0, 2), lambda: self._keeper_lost(line))

    def _front_lost(self, line: Line) -> None:
        front = self.fronts[line.front]
        if front.line is line:
            front.line = None
            if front.participant is not None:
                front.participant.link(False, self.front_clock(front))

    def _keeper_lost(self, line: Line) -> None:
        process, coordinator = self.processes[line.replica], self.coordinators.get(line.replica)
        if coordinator is not None and process.node is not None and process.lives == line.life:
            coordinator.unlinked(line.number, self.clock(process))
            if not process.asleep:
                self.conduct(process)

    def front_settle(self, front: Front) -> None:
        participant, line = front.participant, front.line
        assert participant is not None
        while True:
            actions = participant.take_actions()
            for document, _ in actions.apply:
                participant.applied(document, "it can't" if document in front.against else "")
            for check in actions.validate:
                no = check.document in front.against
                if not no:
                    self.said_yes.add((front.name, check.document))
                participant.validated(check, ("it can't",) if no else ())
            if line is not None:
                for message in actions.messages:
                    self._carry(line, "to", message)
            if not actions.messages and not actions.apply and not actions.validate:
                break

    # Links ----------------------------------------------------------------------------------------

    def _carry(self, line: Line, way: str, message: FromParticipant | FromCoordinator) -> None:
        """In order, as a connection does; what is under way when it breaks may still come."""
        if way in self.alone.get(line.front, ()):
            return None  # nobody learns of it
        if (line.front, line.replica) in self.cut and way == "to":
            return self.break_line(line)
        if (line.replica, line.front) in self.cut and way == "back":
            return self.break_line(line)
        at = max(
            line.free[way], self.now + self.random.choice((0.01, 0.02, 0.05, 0.3, 1.0 if self.loss else 0.05))
        )
        line.free[way] = at
        if way == "to":
            self.at(at - self.now, lambda: self._to_keeper(line, message))  # type: ignore[arg-type]
        else:
            self.at(at - self.now, lambda: self._to_front(line, message))  # type: ignore[arg-type]
        return None

    def _to_keeper(self, line: Line, message: FromParticipant) -> None:
        process = self.processes[line.replica]
        if process.node is None or process.lives != line.life:
            return
        if process.asleep:
            self.at(0.3, lambda: self._to_keeper(line, message))
            return
        self.ask_first(process, line, message)

    def ask_first(self, process: Process, line: Line, message: FromParticipant) -> None:
        """What a front says is handed in once a majority has confirmed that this keeper leads."""
        assert process.node is not None
        ticket = next(self._tickets)
        try:
            process.node.request_read(ticket)
        except (BusyError, NotLeaderError):
            self.break_line(line)
            return
        self.inbox.setdefault(process.name, deque()).append((ticket, line, message))
        self.settle(process)

    def _to_front(self, line: Line, message: FromCoordinator) -> None:
        front = self.fronts[line.front]
        if front.line is not line or front.participant is None:
            return
        if front.asleep:
            front.missed.append((line, message))
            return
        front.participant.heard(message, self.front_clock(front))
        self.front_settle(front)
        self.judge()

    # Keepers --------------------------------------------------------------------------------------

    def restore(self, process: Process, snapshot: Snapshot) -> None:
        process.index = snapshot.index
        self.registers[process.name] = KeyValueState(snapshot.state)

    def dump(self, process: Process) -> bytes:
        return self.registers[process.name].dump()

    def crash(self, process: Process) -> None:
        super().crash(process)
        self.coordinators.pop(process.name, None)
        self.inbox.pop(process.name, None)
        for front in self.fronts.values():
            if front.line and front.line.replica == process.name:
                self.break_line(front.line)

    def apply(self, process: Process, entry: Entry) -> None:
        process.index += 1
        first = self.log.setdefault(process.index, entry)
        if first != entry:
            raise Broken(f"{process.name} applies another entry at {process.index}")
        if entry.kind is EntryKind.DATA:
            self.registers[process.name].apply(process.index, entry.data)
            registers = self.registers[process.name]
            found = registers.get(POLICY_KEY)
            if found is not None and found.version == process.index:
                self.judge_record(change_log.read(registers.with_prefix("")))

    def settle(self, process: Process) -> None:
        super().settle(process)
        self.conduct(process)

    def ready(self, process: Process, ticket: int) -> None:
        queue = self.inbox.get(process.name, deque())
        while queue and queue[0][0] <= ticket:
            _, line, message = queue.popleft()
            coordinator = self.coordinators.get(process.name)
            if coordinator is None:
                continue
            self.learn(process, coordinator)
            if message is not None:
                known = line.number in coordinator.fronts
                if known and isinstance(message, DocumentValidated) and message.reasons:
                    self.heard_no.add((process.name, coordinator.term, message.document))
                coordinator.heard(line.number, message, self.clock(process))

    def learn(self, process: Process, coordinator: ChangeCoordinator) -> None:
        found = change_log.read(self.registers[process.name].with_prefix(""))
        if self.read_at.get(process.name) != process.index:
            self.read_at[process.name] = process.index
            coordinator.record_read(
                found.record, found.record_version, found.expected_fronts, found.contents, self.clock(process)
            )

    def conduct(self, process: Process) -> None:
        member = process.node
        if member is None:
            return
        coordinator = self.coordinators.get(process.name)
        if member.role is not Role.LEADER:
            if coordinator is not None:
                del self.coordinators[process.name]
                self.inbox.pop(process.name, None)
                for front in self.fronts.values():
                    if front.line and front.line.replica == process.name:
                        self.break_line(front.line)
            return
        if coordinator is None or coordinator.term != member.term:
            coordinator = self.coordinators[process.name] = ChangeCoordinator(
                self.terms, self.clock(process), member.term
            )
            self.read_at.pop(process.name, None)
            self.inbox[process.name] = deque()
            ticket = next(self._tickets)
            member.request_read(ticket)
            self.inbox[process.name].append((ticket, Line(0, "", process.name, 0), None))
            self.settle(process)
            return
        if coordinator.known:
            self.learn(process, coordinator)
        coordinator.tick(self.clock(process))
        actions = coordinator.take_actions()
        lines = {f.line.number: f.line for f in self.fronts.values() if f.line}
        for number, message in actions.messages:
            self.figures["grants"] += isinstance(message, PolicyLeaseGranted)
            if number in lines:
                self._carry(lines[number], "back", message)
        swaps = [change_log.write_expected_front(name) for name in actions.expect_fronts]
        if actions.write:
            change = actions.write.record.open_change
            no = change and (process.name, coordinator.term, change.document) in self.heard_no
            if (
                no
                and change
                and change.phase is ChangePhase.COMMITTED
                and not self.decided.get(change.version)
            ):
                raise Broken(f"version {change.version} is decided against a front's word")
            swaps.append(change_log.write_record(actions.write.expected_version, actions.write.record))
        for swap in swaps:
            self.put(process, swap)
        if swaps:
            self.settle(process)

    def put(self, process: Process, swap: CompareAndSwap) -> None:
        assert process.node is not None
        try:
            process.node.propose(change_log.encode(swap))
        except (BusyError, NotLeaderError):
            return

    def _wake(self, process: Process, life: int) -> None:
        super()._wake(process, life)
        if process.node is not None and process.lives == life and not process.asleep:
            self.conduct(process)

    # Operators ------------------------------------------------------------------------------------

    def ask(self) -> None:
        if self.random.random() < 0.5:
            return
        process = self.leader()
        if process is None or process.node is None:
            return
        found = change_log.read(self.registers[process.name].with_prefix(""))  # perhaps an old one
        data = b"policy %d" % next(self.proposals)
        if self.random.random() < 0.2:
            self.random.choice(list(self.fronts.values())).against.add(document_id(data))
        base = found.record.version
        try:
            proposed = propose_change(found.record, base, document_id(data), "op", "", self.now)
        except ChangeRejectedError:
            return
        self.figures["asked"] += 1
        self.put(process, change_log.write_document(data))
        self.put(process, change_log.write_record(found.record_version, proposed))
        self.settle(process)

    def trouble(self) -> None:
        r = self.random
        if r.random() < 0.35:
            super().trouble()
        front = r.choice(list(self.fronts.values()))
        kind = r.randrange(7)
        if kind == 0 and front.participant:
            self.end_front(front)
            self.at(r.uniform(0.1, 9), lambda: self.begin(front))
        elif kind == 1 and front.participant and not front.asleep:
            front.asleep = True
            self.at(r.uniform(0.1, 8), lambda: self.wake_front(front))
        elif kind == 2:
            self.break_line(front.line)
        elif kind == 4 and front.name not in self.alone:
            self.alone[front.name] = r.choice(({"to"}, {"back"}, {"to", "back"}))
            self.at(r.uniform(1, 9), lambda: self.reached(front))
        elif kind == 3:
            replica = r.choice(sorted(self.processes))
            self.cut.add(r.choice(((front.name, replica), (replica, front.name))))

    def reached(self, front: Front) -> None:
        self.alone.pop(front.name, None)

    def read(self, process: Process) -> None:
        """Fronts ask here, not clients."""

    def write(self, process: Process) -> None:
        """What is written here are records."""

    def wake_front(self, front: Front) -> None:
        if front.participant is None or not front.asleep:
            return
        front.asleep = False
        self.judge()  # before it has heard anything
        missed, front.missed = front.missed, []
        for line, message in missed:
            self._to_front(line, message)

    # The judge ------------------------------------------------------------------------------------

    def judge(self) -> None:
        serving = {}
        for front in self.fronts.values():
            if front.participant is not None and not front.asleep:
                version = front.participant.serving_version(self.front_clock(front))
                if version:
                    serving[front.name] = version
                    self.figures["served"] += 1
        if len(set(serving.values())) > 1:
            raise Broken(f"two versions in force: {serving}")
        if serving:
            (version,) = set(serving.values())
            if version < self.in_force:
                raise Broken(f"version {version} is served after {self.in_force} was")
            self.in_force = version
            if version not in self.decided:
                raise Broken(f"version {version} is served and was never decided")

    def judge_record(self, found: change_log.ChangeLog) -> None:
        record, change = found.record, found.record.open_change
        if change is not None:
            self.expected.setdefault(change.version, len(found.expected_fronts))
        if (
            change is not None
            and change.phase is not ChangePhase.VALIDATING
            and change.version not in self.decided
        ):
            self.decided[change.version] = change.document
            names = {n for n, d in self.said_yes if d == change.document}
            expected = self.expected.get(change.version, 0)
            if expected and len(names) <= self.terms.min_agreeing_share * expected:
                raise Broken(f"version {change.version} was decided with {len(names)} of {expected}")
        for past in record.log:
            if past.version in self.decided and past.outcome is ChangeOutcome.WITHDRAWN:
                raise Broken(f"version {past.version} was decided and came to nothing")

    def mend(self) -> None:
        self.cut.clear()
        self.alone.clear()
        self.loss = self.fatal = 0.0
        for process in self.processes.values():
            self.wake_up(process)
            self.start(process)
        for front in self.fronts.values():
            self.wake_front(front)
            self.begin(front)
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
            ill = any(record.document in f.against for f in self.fronts.values())
            done = record.open_change is None and self.decided.keys() <= {p.version for p in record.log}
            if done and (versions == {record.version} or ill or not record.version):
                break
        else:
            raise Broken(
                f"no version everywhere {80} s after all was mended: {versions}, {record.open_change}"
            )
        self.figures["held"] += sum(p.outcome is ChangeOutcome.ACTIVATED for p in record.log)
        self.figures["withdrawn"] += sum(p.outcome is ChangeOutcome.WITHDRAWN for p in record.log)
