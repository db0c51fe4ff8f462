"""The leading keeper's part: who owns which duty. No I/O.

Who owns a duty is in the group's registers, by compare and swap. Leases are in this keeper's memory:
whoever comes to lead waits out what its predecessor may have granted before it gives a duty to anybody
else. The owner itself goes on meanwhile. Every message that is handed in was followed by a confirmation
that this one leads.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from zincladder.consensus.lease_timing import LeaseTiming
from zincladder.ownership.model import (
    MOST_DUTIES,
    MOST_NAME,
    MOST_WORKERS,
    Duty,
    FromKeeper,
    FromWorker,
    GivesBack,
    Keeps,
    Lent,
    Stop,
    Tells,
    Wants,
    Yours,
)


@dataclass(slots=True)
class Worker:
    """A process that has a link to this keeper."""

    name: str
    process: str
    wants: frozenset[str] = frozenset()
    lapsed: bool = False  # it let a lease run out and has said nothing since


@dataclass(frozen=True, slots=True)
class Take:
    """A duty's register is to change, from the version that was seen."""

    duty: str
    expected: int
    value: Duty


@dataclass(slots=True)
class Wish:
    """What the host is to do."""

    say: list[tuple[int, FromKeeper]] = field(default_factory=list)  # to a link
    write: list[Take] = field(default_factory=list)


class Steward:
    """While one keeper leads. Made anew at each election."""

    def __init__(self, terms: LeaseTiming, now: float, term: int = 0) -> None:
        self.terms, self.term = terms, term
        self.workers: dict[int, Worker] = {}
        self.duties: dict[str, tuple[Duty, int]] = {}  # with the version of the register
        self.known = False
        # Who may act on a duty, by token, and until when: its owner, or the one that it was taken from.
        self.lent: dict[str, tuple[int, float]] = {}
        self._unknown = now + terms.expiry_seconds  # what a predecessor lent
        self._told: dict[str, tuple[int, int, float]] = {}  # token, link and time at which an owner was told
        self._writing: set[str] = set()
        self._looked = now  # when all duties were gone through last
        self._wish = Wish()

    # Questions ------------------------------------------------------------------------------------

    def free_at(self, duty: str) -> float:
        """When nobody can act on a duty any more, unless its owner renews."""
        return self.lent.get(duty, (0, self._unknown))[1]

    def wanted(self) -> set[str]:
        return {duty for worker in self.workers.values() for duty in worker.wants}

    @property
    def next_at(self) -> float:
        """When `tick` is due."""
        again = [at + self.terms.renew_seconds for _, _, at in self._told.values()]
        waits = [self.free_at(d) for d in self.wanted() | self.duties.keys() if d not in self._writing]
        return min((t for t in (*waits, *again) if t > self._looked), default=math.inf)

    def owner_link(self, duty: str) -> int:
        """The latest link of a duty's owner, as an older one may be dead unheard; 0 if there is none."""
        found = self.duties.get(duty, (Duty(), 0))[0]
        return max((n for n, worker in self.workers.items() if owns(worker, found)), default=0)

    # Registers ------------------------------------------------------------------------------------

    def knows(self, duties: Mapping[str, tuple[Duty, int]], now: float) -> None:
        """The duties as they stand, with the versions of their registers."""
        for name, (duty, token) in duties.items():
            before, old = self.duties.get(name, (Duty(), 0))
            if not self.known or old == token:
                continue
            for number, worker in self.workers.items():
                if owns(worker, before):  # moved or paused by a command, or its lease ran out
                    self._wish.say.append((number, Stop(name, old)))
            if duty.owner:
                self.lent[name] = (token, now + self.terms.expiry_seconds)
        self.duties, self.known = dict(duties), True
        self._go_on(now)

    def wrote(self, duty: str, now: float) -> None:
        """What was to be written of a duty has been decided, or will never be.

        Until then nobody gets a lease on it: whom it is taken from would have one past its successor's turn.
        """
        self._writing.discard(duty)
        self._go_on(now)

    # Workers --------------------------------------------------------------------------------------

    def linked(self, number: int, name: str, process: str, now: float) -> str:
        """A worker has come; why it can't take part, or nothing."""
        if len(self.workers) >= MOST_WORKERS:
            return f"{MOST_WORKERS} workers at most"
        self.workers[number] = Worker(name, process)
        return ""

    def unlinked(self, number: int, now: float) -> None:
        """Its link is gone. Whether it is, nobody knows: its leases run on."""
        self.workers.pop(number, None)
        self._go_on(now)

    def heard(self, number: int, message: FromWorker, now: float) -> None:
        """What a worker said, before a moment at which this keeper was confirmed to lead."""
        worker = self.workers.get(number)
        if worker is None:
            return
        worker.lapsed = False
        match message:
            case Wants(duties):
                worker.wants = frozenset(d for d in duties[:MOST_DUTIES] if 0 < len(d) <= MOST_NAME)
            case Keeps(serial, asked):
                self._lend(number, worker, serial, asked, now)
            case GivesBack(duty, token):
                self._given_back(worker, duty, token, now)
            case Tells():
                pass  # the host's
        self._go_on(now)

    def _given_back(self, worker: Worker, duty: str, token: int, now: float) -> None:
        found, standing = self.duties.get(duty, (Duty(), 0))
        if token == standing and owns(worker, found):
            # Nobody else can hold a lease: this token was given when all older ones had run out.
            self.lent[duty] = (token, now)
            if duty not in self._writing:
                self._write(duty, Duty(at=found.at, left=f"given back by {worker.name}"))
        elif duty in self.lent and token == self.lent[duty][0]:
            self.lent[duty] = (token, now)  # from whom a command took it, and who has stopped now

    def _lend(
        self, number: int, worker: Worker, serial: int, asked: tuple[tuple[str, int], ...], now: float
    ) -> None:
        granted = []
        for duty, token in asked[:MOST_DUTIES]:
            found, standing = self.duties.get(duty, (Duty(), 0))
            if owns(worker, found) and token == standing and duty not in self._writing:
                self.lent[duty] = (token, max(self.free_at(duty), now + self.terms.expiry_seconds))
                granted.append((duty, token))
        lent = Lent(serial, tuple(granted), self.terms.holder_seconds, self.terms.renew_seconds)
        self._wish.say.append((number, lent))

    # Duties ---------------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        self._go_on(now)

    def _write(self, duty: str, value: Duty) -> None:
        self._writing.add(duty)
        self._wish.write.append(Take(duty, self.duties.get(duty, (Duty(), 0))[1], value))

    def _go_on(self, now: float) -> None:
        """Tells owners what is theirs, and gives what nobody can act on any more to somebody."""
        self._looked = now
        if not self.known:
            return
        self._told = {name: told for name, told in self._told.items() if name in self.duties}
        for name in sorted(self.wanted() | self.duties.keys()):
            duty, token = self.duties.get(name, (Duty(), 0))
            if name in self._writing or duty.paused:
                self._told.pop(name, None)
                continue
            number = self.owner_link(name)
            self._tell(name, number, token, now)
            if now < self.free_at(name):
                continue
            if name not in self.duties and len(self.duties) + len(self._writing) >= MOST_DUTIES:
                continue
            chosen = self._chosen(name, duty, number)
            if chosen is not None:
                if number:
                    self.workers[number].lapsed = True
                self._write(name, Duty(chosen.name, chosen.process, now))
            elif duty.owner and not number:
                self._write(name, Duty(at=now, left=f"{duty.owner} is gone"))

    def _tell(self, name: str, number: int, token: int, now: float) -> None:
        """Its owner is told, and again while it doesn't ask for a lease."""
        if not number:
            self._told.pop(name, None)
            return
        told, link, at = self._told.get(name, (0, 0, 0.0))
        again = at + self.terms.renew_seconds <= now
        if (told, link) != (token, number) or (again and now >= self.free_at(name)):
            self._wish.say.append((number, Yours(name, token)))
        if (told, link) != (token, number) or again:
            self._told[name] = (token, number, now)

    def _chosen(self, name: str, duty: Duty, but: int) -> Worker | None:
        """Whoever was wished for; else the one with the fewest duties, and among these by lot.

        The lot is drawn from the names alone: all keepers draw the same one, and it spreads duties.
        """
        owned = [(d.owner, d.process) for d, _ in self.duties.values() if d.owner]
        owned += [(t.value.owner, t.value.process) for t in self._wish.write if t.value.owner]

        def order(worker: Worker) -> tuple[bool, bool, int, bytes]:
            lot = hashlib.sha256(f"{name}\0{worker.name}\0{worker.process}".encode()).digest()
            many = owned.count((worker.name, worker.process))
            return (worker.lapsed, worker.name != duty.wish, many, lot)

        found = [w for n, w in self.workers.items() if name in w.wants and n != but]
        return min(found, key=order, default=None)

    def take(self) -> Wish:
        """What is to be done since the last time."""
        wish, self._wish = self._wish, Wish()
        return wish


def owns(worker: Worker, duty: Duty) -> bool:
    return bool(duty.owner) and (worker.name, worker.process) == (duty.owner, duty.process)
