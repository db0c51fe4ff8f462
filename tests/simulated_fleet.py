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
from zincladder.policy import book
from zincladder.policy.conductor import Conductor, proposed
from zincladder.policy.holder import Holder
from zincladder.policy.model import RECORD, Checked, FromFront, FromKeeper, Outcome, Phase, document_id

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
    holder: Holder | None = None
    process: int = 0
    asleep: bool = False
    line: Line | None = None
    against: set[str] = field(default_factory=set)  # documents that it can't take
    missed: list[tuple[Line, FromKeeper]] = field(default_factory=list)


class FleetWorld(World):
    """A group of keepers with fronts; the judge looks after every event."""

    def __init__(self, seed: int, voters: int = 3, fronts: int = 4, terms: LeaseTiming = TERMS) -> None:
        self.terms = terms
        self.registers: dict[str, KeyValueState] = {}
        self.conductors: dict[str, Conductor] = {}
        self.inbox: dict[str, deque[tuple[int, Line, FromFront | None]]] = {}
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
        if front.holder is None:
            front.process += 1
            front.holder = self.holder(front)

    def holder(self, front: Front) -> Holder:
        return Holder(self.front_clock(front))

    def end_front(self, front: Front) -> None:
        front.holder, front.asleep = None, False
        front.missed.clear()
        self.break_line(front.line)

    def _front_loop(self, front: Front) -> None:
        self.at(self.random.uniform(0.05, 0.3), lambda: self._front_loop(front))
        if front.holder is None or front.asleep:
            return
        if front.line is None:
            self.connect(front)
        front.holder.tick(self.front_clock(front))
        self.front_settle(front)
        self.judge()

    def connect(self, front: Front) -> None:
        process = self.processes[self.random.choice(sorted(self.processes))]
        if process.node is None or process.asleep or (front.name, process.name) in self.cut:
            return
        if front.name in self.alone:
            return
        conductor = self.conductors.get(process.name)
        if conductor is None or process.node.role is not Role.LEADER:
            return
        assert front.holder is not None
        line = front.line = Line(next(self.lines), front.name, process.name, process.lives)
        conductor.linked(line.number, front.name, str(front.process), self.clock(process))
        front.holder.link(True, self.front_clock(front))

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
            if front.holder is not None:
                front.holder.link(False, self.front_clock(front))

    def _keeper_lost(self, line: Line) -> None:
        process, conductor = self.processes[line.replica], self.conductors.get(line.replica)
        if conductor is not None and process.node is not None and process.lives == line.life:
            conductor.unlinked(line.number, self.clock(process))
            if not process.asleep:
                self.conduct(process)

    def front_settle(self, front: Front) -> None:
        holder, line = front.holder, front.line
        assert holder is not None
        while True:
            wish = holder.take()
            for document, _ in wish.apply:
                holder.took(document, "it can't" if document in front.against else "")
            for check in wish.check:
                no = check.document in front.against
                if not no:
                    self.said_yes.add((front.name, check.document))
                holder.checked(check, ("it can't",) if no else ())
            if line is not None:
                for message in wish.say:
                    self._carry(line, "to", message)
            if not wish.say and not wish.apply and not wish.check:
                break

    # Links ----------------------------------------------------------------------------------------

    def _carry(self, line: Line, way: str, message: FromFront | FromKeeper) -> None:
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

    def _to_keeper(self, line: Line, message: FromFront) -> None:
        process = self.processes[line.replica]
        if process.node is None or process.lives != line.life:
            return
        if process.asleep:
            self.at(0.3, lambda: self._to_keeper(line, message))
            return
        self.ask_first(process, line, message)

    def ask_first(self, process: Process, line: Line, message: FromFront) -> None:
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

    def _to_front(self, line: Line, message: FromKeeper) -> None:
        front = self.fronts[line.front]
        if front.line is not line or front.holder is None:
            return
        if front.asleep:
            front.missed.append((line, message))
            return
        front.holder.heard(message, self.front_clock(front))
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
        self.conductors.pop(process.name, None)
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
            found = registers.get(RECORD)
            if found is not None and found.version == process.index:
                self.judge_record(book.read(registers.with_prefix("")))

    def settle(self, process: Process) -> None:
        super().settle(process)
        self.conduct(process)

    def ready(self, process: Process, ticket: int) -> None:
        queue = self.inbox.get(process.name, deque())
        while queue and queue[0][0] <= ticket:
            _, line, message = queue.popleft()
            conductor = self.conductors.get(process.name)
            if conductor is None:
                continue
            self.learn(process, conductor)
            if message is not None:
                known = line.number in conductor.fronts
                if known and isinstance(message, Checked) and message.reasons:
                    self.heard_no.add((process.name, conductor.term, message.document))
                conductor.heard(line.number, message, self.clock(process))

    def learn(self, process: Process, conductor: Conductor) -> None:
        found = book.read(self.registers[process.name].with_prefix(""))
        if self.read_at.get(process.name) != process.index:
            self.read_at[process.name] = process.index
            conductor.knows(found.record, found.at, found.roster, found.contents, self.clock(process))

    def conduct(self, process: Process) -> None:
        member = process.node
        if member is None:
            return
        conductor = self.conductors.get(process.name)
        if member.role is not Role.LEADER:
            if conductor is not None:
                del self.conductors[process.name]
                self.inbox.pop(process.name, None)
                for front in self.fronts.values():
                    if front.line and front.line.replica == process.name:
                        self.break_line(front.line)
            return
        if conductor is None or conductor.term != member.term:
            conductor = self.conductors[process.name] = Conductor(
                self.terms, self.clock(process), member.term
            )
            self.read_at.pop(process.name, None)
            self.inbox[process.name] = deque()
            ticket = next(self._tickets)
            member.request_read(ticket)
            self.inbox[process.name].append((ticket, Line(0, "", process.name, 0), None))
            self.settle(process)
            return
        if conductor.known:
            self.learn(process, conductor)
        conductor.tick(self.clock(process))
        wish = conductor.take()
        lines = {f.line.number: f.line for f in self.fronts.values() if f.line}
        for number, message in wish.say:
            self.figures["grants"] += type(message).__name__ == "Granted"
            if number in lines:
                self._carry(lines[number], "back", message)
        swaps = [book.expected_swap(name) for name in wish.expect]
        if wish.write:
            change = wish.write.record.open
            no = change and (process.name, conductor.term, change.document) in self.heard_no
            if no and change and change.phase is Phase.DECIDED and not self.decided.get(change.version):
                raise Broken(f"version {change.version} is decided against a front's word")
            swaps.append(book.record_swap(wish.write.expected, wish.write.record))
        for swap in swaps:
            self.put(process, swap)
        if swaps:
            self.settle(process)

    def put(self, process: Process, swap: CompareAndSwap) -> None:
        assert process.node is not None
        try:
            process.node.propose(book.encode(swap))
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
        found = book.read(self.registers[process.name].with_prefix(""))  # perhaps an old one
        data = b"policy %d" % next(self.proposals)
        if self.random.random() < 0.2:
            self.random.choice(list(self.fronts.values())).against.add(document_id(data))
        new = proposed(found.record, found.record.version, document_id(data), "op", "", self.now)
        if isinstance(new, str):
            return
        self.figures["asked"] += 1
        self.put(process, book.document_swap(data))
        self.put(process, book.record_swap(found.at, new))
        self.settle(process)

    def trouble(self) -> None:
        r = self.random
        if r.random() < 0.35:
            super().trouble()
        front = r.choice(list(self.fronts.values()))
        kind = r.randrange(7)
        if kind == 0 and front.holder:
            self.end_front(front)
            self.at(r.uniform(0.1, 9), lambda: self.begin(front))
        elif kind == 1 and front.holder and not front.asleep:
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
        if front.holder is None or not front.asleep:
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
            if front.holder is not None and not front.asleep:
                version = front.holder.serving(self.front_clock(front))
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

    def judge_record(self, found: book.Book) -> None:
        record, change = found.record, found.record.open
        if change is not None:
            self.expected.setdefault(change.version, len(found.roster))
        if change is not None and change.phase is not Phase.CHECKING and change.version not in self.decided:
            self.decided[change.version] = change.document
            names = {n for n, d in self.said_yes if d == change.document}
            expected = self.expected.get(change.version, 0)
            if expected and len(names) <= self.terms.min_agreeing_share * expected:
                raise Broken(f"version {change.version} was decided with {len(names)} of {expected}")
        for past in record.history:
            if past.version in self.decided and past.outcome is Outcome.WITHDRAWN:
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
            record = book.read(self.registers[leader.name].with_prefix("")).record
            versions = {
                f.holder.serving(self.front_clock(f)) if f.holder else 0 for f in self.fronts.values()
            }
            ill = any(record.document in f.against for f in self.fronts.values())
            done = record.open is None and self.decided.keys() <= {p.version for p in record.history}
            if done and (versions == {record.version} or ill or not record.version):
                break
        else:
            raise Broken(f"no version everywhere {80} s after all was mended: {versions}, {record.open}")
        self.figures["held"] += sum(p.outcome is Outcome.HELD for p in record.history)
        self.figures["withdrawn"] += sum(p.outcome is Outcome.WITHDRAWN for p in record.history)
