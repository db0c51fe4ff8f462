"""The leading keeper's part in a fleet's policy: who may serve under what, and how far a change is. No I/O.

What has to outlive any keeper is in the group's record, which changes by compare and swap. Leases are not in
it: whoever comes to lead waits out what its predecessor may have granted. Every message that is handed in was
followed by a confirmation that this one leads, so no lease began after a successor's election.

A change goes through: checking (every front that can be reached says whether it could serve under it),
decided (it will take hold), clearing (all let go of the old version, nobody gets it any more), in force.
Fronts that are silent are waited for before clearing, while all others go on serving; so what a change costs
the clients is one message to each front, its answer, and one write of the record.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from zincladder.consensus.lease_timing import LeaseTiming
from zincladder.policy.model import (
    MOST_HISTORY,
    MOST_NAMES,
    MOST_REASONS,
    MOST_RECORD,
    MOST_TEXT,
    Change,
    Check,
    Checked,
    Delivered,
    Fetch,
    FromFront,
    FromKeeper,
    Granted,
    Outcome,
    Past,
    Phase,
    Record,
    Release,
    Released,
    Renew,
    Waits,
)

MOST_FRONTS = 2048
Holding = tuple[str, str]  # a front's name and its process


@dataclass(slots=True)
class Front:
    """A front that has a link to this keeper."""

    name: str
    process: str
    renewed: float  # when it last asked
    parked: Renew | None = None  # an asking that waits for the next version
    checking: int = 0  # the version that it was asked about
    answer: Checked | None = None
    document: str = ""  # that it has applied
    told: int = 0  # the version that it was asked to let go


@dataclass(frozen=True, slots=True)
class Write:
    """The record is to change, from the version of the register that was seen."""

    expected: int
    record: Record


@dataclass(slots=True)
class Wish:
    """What the host is to do."""

    say: list[tuple[int, FromKeeper]] = field(default_factory=list)  # to a link
    write: Write | None = None
    expect: list[str] = field(default_factory=list)  # fronts not on the roster yet


def shortened(reasons: Iterable[str]) -> tuple[str, ...]:
    return tuple(r[:MOST_TEXT] for r in list(reasons)[:MOST_REASONS])


class Conductor:
    """While one keeper leads. Made anew at each election."""

    def __init__(self, terms: LeaseTiming, now: float, term: int = 0) -> None:
        self.terms, self.term = terms, term
        self.record, self._at = Record(), 0  # and the register's version
        self.known = False  # whether the record has been read in this term
        self.roster: frozenset[str] = frozenset()
        self.fronts: dict[int, Front] = {}
        # Until when a process may rely on a lease, and with which serial it asked for it.
        self.holding: dict[Holding, tuple[float, int]] = {}
        self._barred: set[Holding] = set()  # did not let go when they were asked to
        self._unknown = now + terms.expiry_seconds  # what a predecessor granted
        self._documents: dict[str, bytes] = {}
        self._against: list[tuple[int, str]] = []  # versions, and why a front can't take them
        self._decided = (0, now)  # the version that is decided, and since when this leader knows
        self.since = now  # when the open change came to its phase, as far as this leader knows
        self._writing = False
        self._wish = Wish()

    # Questions ------------------------------------------------------------------------------------

    @property
    def absent(self) -> tuple[str, ...]:
        """Fronts that are expected and have no link."""
        return tuple(sorted(self.roster - {f.name for f in self.fronts.values()}))

    def waits_for(self, now: float) -> tuple[str, ...]:
        """Who may still rely on the version in force, and can't be asked to let go."""
        linked = {(f.name, f.process): f for f in self.fronts.values()}
        found = []
        for holding, (until, _) in self.holding.items():
            front = linked.get(holding)
            if until > now and (front is None or holding in self._barred or self.silent(front, now)):
                found.append(holding[0])
        return tuple(sorted(found)) if now >= self._unknown else ("whoever the last leader let serve", *found)

    def silent(self, front: Front, now: float) -> bool:
        return now - front.renewed > 2 * self.terms.renew_seconds

    @property
    def next_at(self) -> float:
        """When `tick` is due."""
        change = self.record.open
        if change is None or self._writing:
            return math.inf
        if change.phase is Phase.CHECKING:
            return self.since + self.terms.check_timeout_seconds
        if change.phase is Phase.CLEARING and not self._forced(
            self.since + self.terms.release_timeout_seconds
        ):
            return self.since + self.terms.release_timeout_seconds
        ends = [until for until, _ in self.holding.values()]
        ends += [self._unknown, self._decided[1] + self.terms.max_deferral_seconds]
        return min((u for u in ends if u > self.since), default=math.inf)

    def _forced(self, now: float) -> bool:
        """Whether a decided change has waited long enough for a moment in which nobody is gone.

        Guards a change in a fleet of which some front is always gone: without it that moment may never come.
        All then wait at once for whoever is: for a lease at most, once.
        """
        return now >= self._decided[1] + self.terms.max_deferral_seconds

    # The record -----------------------------------------------------------------------------------

    def knows(
        self,
        record: Record,
        at: int,
        roster: Iterable[str],
        documents: dict[str, bytes],
        now: float,
    ) -> None:
        """The record as it stands, at a version of its register; what was to be written was, or was not."""
        old, self.record, self._at, self.known = self.record, record, at, True
        self.roster, self._documents, self._writing = frozenset(roster), documents, False
        if _stage(old) != _stage(record):
            self.since = now
        if record.open is None:
            self._barred.clear()
        elif record.open.phase is not Phase.CHECKING and self._decided[0] != record.open.version:
            self._decided = (record.open.version, now)
        if record.open is None or record.open.phase is not Phase.CLEARING:
            for number, front in self.fronts.items():
                front.told = 0
                self._grant(number, front, now)  # what was parked
        self._go_on(now)

    def _write(self, record: Record) -> None:
        self._writing = True
        self._wish.write = Write(self._at, record)

    # Fronts ---------------------------------------------------------------------------------------

    def linked(self, number: int, name: str, process: str, now: float) -> str:
        """A front has come; why it can't take part, or nothing."""
        if len(self.fronts) >= MOST_FRONTS:
            return f"{MOST_FRONTS} fronts at most"
        self.fronts[number] = Front(name, process, now)
        if name not in self.roster and len(self.roster) < MOST_FRONTS:  # names are a front's own claim
            self._wish.expect.append(name)
        self._go_on(now)
        return ""

    def unlinked(self, number: int, now: float) -> None:
        """Its link is gone. Whether it is, nobody knows: its lease runs on."""
        self.fronts.pop(number, None)
        self._go_on(now)

    def heard(self, number: int, message: FromFront, now: float) -> None:
        """What a front said, before a moment at which this keeper was confirmed to lead."""
        front = self.fronts.get(number)
        if front is None:
            return
        match message:
            case Renew():
                front.renewed, front.document = now, message.document
                front.parked = message
                self._grant(number, front, now)
                if front.parked is message:  # so that it does not take this keeper for dead
                    self._wish.say.append((number, Waits(message.serial)))
            case Checked():
                if message.version == front.checking:
                    front.answer = message
                    self._against += [(message.version, f"{front.name}: {why}") for why in message.reasons]
            case Released(_, serial):
                # One that was said on an older link, before a lease on this one, gives nothing back.
                holding = (front.name, front.process)
                if self.holding.get(holding, (0.0, 0))[1] <= serial:
                    self.holding.pop(holding, None)
                    self._barred.discard(holding)
            case Fetch(document):
                if document in self._documents:
                    self._wish.say.append((number, Delivered(document, self._documents[document])))
        self._go_on(now)

    def _clearing(self) -> bool:
        change = self.record.open
        # Also while the record is being written: it may be clearing already, for all that is known here.
        return not self.known or self._writing or (change is not None and change.phase is Phase.CLEARING)

    def _grant(self, number: int, front: Front, now: float) -> None:
        if front.parked is None or not self.record.version or self._clearing():
            return
        if (front.name, front.process) in self._barred:
            return
        serial, front.parked = front.parked.serial, None
        self.holding[front.name, front.process] = (now + self.terms.expiry_seconds, serial)
        terms, record = self.terms, self.record
        granted = Granted(serial, record.version, record.document, terms.trusted_seconds, terms.renew_seconds)
        self._wish.say.append((number, granted))

    # A change -------------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        self._go_on(now)

    def _go_on(self, now: float) -> None:
        """Takes the next step of the open change, if all that it needs is there."""
        self.holding = {h: lease for h, lease in self.holding.items() if lease[0] > now}
        change = self.record.open
        if not self.known or change is None or self._writing:
            return
        match change.phase:
            case Phase.CHECKING:
                self._check(change, now)
            case Phase.DECIDED:
                if not self.waits_for(now) or self._forced(now):
                    self._write(msgspec.structs.replace(self.record, open=_in(change, Phase.CLEARING)))
            case Phase.CLEARING:
                self._clear(change, now)

    def _check(self, change: Change, now: float) -> None:
        data = self._documents.get(change.document)
        if data is None:
            self._withdraw(change, ["the document is not there"])
            return
        for number, front in self.fronts.items():
            if front.checking != change.version:
                front.checking, front.answer = change.version, None
                self._wish.say.append((number, Check(change.version, change.document, data)))
        # A front that has said no and is gone again has said no all the same.
        self._against = [(version, why) for version, why in self._against if version == change.version]
        if self._against:
            self._withdraw(change, sorted(why for _, why in self._against))
            return
        silent = [front for front in self.fronts.values() if not front.answer]
        agreed = {front.name for front in self.fronts.values() if front.answer}
        expected = self.roster | agreed
        enough = len(agreed) > self.terms.min_agreeing_share * len(expected) or not expected
        if (silent or not enough) and now < self.since + self.terms.check_timeout_seconds:
            return
        missing = tuple(sorted(expected - agreed))[:MOST_NAMES]
        if not enough:
            self._withdraw(change, [f"only {len(agreed)} of {len(expected)} fronts answered"], missing)
            return
        record = msgspec.structs.replace(self.record, open=_in(change, Phase.DECIDED), absent=missing)
        self._write(record)

    def _withdraw(self, change: Change, reasons: Iterable[str], absent: tuple[str, ...] = ()) -> None:
        self._write(self._closed(change, Outcome.WITHDRAWN, shortened(reasons), absent))

    def _clear(self, change: Change, now: float) -> None:
        for number, front in self.fronts.items():
            if front.told != change.version:
                front.told = change.version
                self._wish.say.append((number, Release(change.version)))
        if not self.holding and now >= self._unknown:
            record = self._closed(change, Outcome.HELD, (), self.record.absent)
            self._write(msgspec.structs.replace(record, version=change.version, document=change.document))
        elif now >= self.since + self.terms.release_timeout_seconds and not self._forced(now):
            # Somebody has not let go: all others go on as before until its lease has run out. It gets no new
            # one, for it may be heard and hear nothing: its askings would then hold the change up for ever.
            self._barred = set(self.holding)
            self._write(msgspec.structs.replace(self.record, open=_in(change, Phase.DECIDED)))

    def _closed(
        self, change: Change, outcome: Outcome, reasons: tuple[str, ...], absent: tuple[str, ...]
    ) -> Record:
        past = Past(
            change.version, change.document, change.author, change.note, change.at, outcome, reasons, absent
        )
        history = (*self.record.history, past)[-MOST_HISTORY:]
        record = msgspec.structs.replace(self.record, open=None, absent=(), history=history)
        # Guards the change: a record that no register takes would leave it open for ever.
        while len(msgspec.msgpack.encode(record)) > MOST_RECORD and len(record.history) > 1:
            record = msgspec.structs.replace(record, history=record.history[1:])
        return record

    def take(self) -> Wish:
        """What is to be done since the last time."""
        wish, self._wish = self._wish, Wish()
        return wish


def _in(change: Change, phase: Phase) -> Change:
    return msgspec.structs.replace(change, phase=phase)


def _stage(record: Record) -> tuple[int, str]:
    return (record.open.version, record.open.phase) if record.open else (0, "")


def proposed(record: Record, base: int, document: str, author: str, note: str, at: float) -> Record | str:
    """The record with a change under way, or why there can't be one: another came first."""
    if record.open is not None:
        return f"version {record.open.version} by {record.open.author} is under way ({record.open.phase})"
    newest = record.version
    if base != newest:
        return f"version {newest} is in force, not {base}: look at what it changed"
    tried = max((p.version for p in record.history), default=0)
    change = Change(max(newest, tried) + 1, document, author[:MOST_TEXT], note[:MOST_TEXT], at)
    return msgspec.structs.replace(record, open=change)
