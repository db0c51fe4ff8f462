"""Admission: decides over connections, reads, requests and evictions, by source. No I/O; time comes in."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import log
from typing import Protocol

from zincladder.admission import shares as cost
from zincladder.admission.ledger import Ledger, Use
from zincladder.admission.model import (
    V4,
    V6_64,
    Act,
    Decision,
    Lane,
    Limits,
    Network,
    Seat,
    Source,
    Tallies,
    Verdict,
    Why,
    key_of,
    text_of,
)
from zincladder.admission.networks import NetworkMap
from zincladder.admission.rate import conforms, decayed
from zincladder.admission.seats import Rows
from zincladder.admission.shares import Shares
from zincladder.admission.sources import Sources

STRIKES = 8.0  # that bring a penalty; they halve every 10 s, and each served answer takes a little off
STRIKES_FOR, LEVEL_FOR, USED_FOR = 10.0, 60.0, 5.0  # half-lives in seconds
FORGIVEN = 0.05  # strikes that a served answer makes good
PRESSED = 0.15  # seconds of waiting past which a source has asked for more than its share
EARN_EVERY = 1.0  # seconds between two points of standing: they count time, not requests
STANDING_MOST = 60.0
LIMITED_SEATS, LIMITED_RATE = 4, 4.0  # of one source under a penalty: limited, not banned
LIMITED_POOL = 0.1  # of the seats, for all of them together
OVERDUE = 2.0  # seconds that a message may wait for its turn; a close is owed within 3
LATE, TOO_LATE = 0.04, 0.25  # seconds by which the loop is late
SAID_MOST = 1024  # networks that operators name while the front runs
LEAST_EVEN = 4  # seats that nobody is asked to leave for being many


@dataclass(slots=True)
class Bounds:
    """What all clients together may hold; a reload may change it."""

    most_open: int
    most_unread: int


@dataclass(slots=True)
class Look:
    """What one look at the clock found: seats whose turn it is to be read, and seats to end."""

    wake: list[Seat] = field(default_factory=list)
    end: list[tuple[Seat, Why]] = field(default_factory=list)


class Admission(Protocol):
    """What the client side asks; `Gate` and `Plain` answer it."""

    ledger: Ledger
    tallies: Tallies

    def ready(self, now: float) -> Decision:
        """Before a connection is taken from the system's queue: may one be?"""

    def connect(self, host: str, now: float) -> Decision:
        """A connection has been taken."""

    def seat(self, decision: Decision, now: float) -> Seat:
        """An admitted connection is set up."""

    def gone(self, seat: Seat, now: float) -> None:
        """A connection has been closed: its descriptor is free."""

    def may_read(self, seat: Seat, now: float) -> bool:
        """May a message be read? If not, the seat waits until `look` names it."""

    def told(self, seat: Seat, now: float) -> None:
        """A message that asks for no work was read."""

    def may_open(self, seat: Seat, now: float) -> Why:
        """A request was read: NONE if it may be worked on, else why it is refused."""

    def opened(self, seat: Seat) -> None: ...

    def closed(self, seat: Seat, now: float, served: bool) -> None:
        """A request has ended, by an answer or without."""

    def unread(self, seat: Seat, change: int) -> None:
        """Bytes of answers that wait to be read by the client: more or less of them."""

    def read_out(self, seat: Seat, now: float, sent: int) -> None:
        """A client has read all its answers; `sent` is how many bytes they were."""

    def did(self, seat: Seat, act: Act, now: float) -> None: ...

    def look(self, now: float, behind: float) -> Look: ...

    def measured(self, cpu: float) -> None: ...


class Gate:
    """Admission by source."""

    def __init__(self, limits: Limits, bounds: Bounds, ledger: Ledger) -> None:
        self.limits, self.bounds, self.ledger = limits, bounds, ledger
        self.tallies = Tallies()
        self.sources = Sources(limits.sources)
        self.shares = Shares(limits.known_share, limits.new_share)
        self.rows = Rows()
        self.lanes: dict[Lane, int] = dict.fromkeys(Lane, 0)  # seats
        self.opens: dict[Lane, int] = dict.fromkeys(Lane, 0)
        self.open = self.unread_bytes = 0
        self._listed: NetworkMap[Network] = NetworkMap()
        self._blocked: NetworkMap[float] = NetworkMap()  # until when
        self._present = 0  # sources with a seat
        self._busy = 0  # sources with a request open
        self._waiting: dict[Seat, float] = {}
        self._leaving: list[tuple[Seat, Why]] = []
        self._behind = 0.0
        self._said_trust: dict[str, None] = {}  # by operators, while it runs
        self._said_block: dict[str, float] = {}  # until when
        self._list()

    # Settings ---------------------------------------------------------------------------------

    def use(self, limits: Limits) -> None:
        """Other limits from now on. What is open past a lowered cap stays until it has been answered."""
        self.limits = limits
        self.sources.most = limits.sources
        self.shares.weigh(limits.known_share, limits.new_share)
        self._list()

    def _list(self) -> None:
        self._listed, self._blocked = NetworkMap(), NetworkMap()
        for network in self.limits.networks:
            self._listed.put(network.net, network)
        for net in self._said_trust:
            self._listed.put(net, Network(net))
        for net in self.limits.blocked:
            self._blocked.put(net, float("inf"))
        for net, until in self._said_block.items():
            self._blocked.put(net, until)
        for source in self.sources:
            source.listed = self._listed.find(source.key)

    def block(self, net: str, until: float, now: float) -> int:
        """Turns a network away until a time. Gives the seats that this ends; busy ones end once answered.

        ValueError where `net` is no network, or where as many are blocked as may be.
        """
        self._said_block = {n: t for n, t in self._said_block.items() if t > now}
        if net not in self._said_block and len(self._said_block) >= SAID_MOST:
            raise ValueError(f"{SAID_MOST} networks are blocked already")
        self._blocked.put(net, until)
        self._said_block[net] = until
        found = [seat for seat in self.rows if self.blocked(seat.source.key, now)]
        for seat in found:
            self._leave(seat, Why.BLOCKED)
        return len(found)

    def unblock(self, net: str) -> bool:
        """False if no operator had blocked just this network; what the file blocks stays."""
        found = self._said_block.pop(net, None) is not None
        self._list()
        return found

    def trust(self, net: str) -> None:
        """Lists a network until the front ends, as if the operator's file named it."""
        if net not in self._said_trust and len(self._said_trust) >= SAID_MOST:
            raise ValueError(f"{SAID_MOST} networks are trusted already")
        NetworkMap[None]().put(net, None)  # ValueError where it is none, before anything is kept
        self._said_trust[net] = None
        self._list()

    def _leave(self, seat: Seat, why: Why) -> None:
        self.rows.busy(seat)
        seat.leaving = True
        self._leaving.append((seat, why))

    # Connections ------------------------------------------------------------------------------

    def lane_of(self, source: Source, now: float) -> Lane:
        if source.listed is not None:
            return Lane.LISTED
        if source.until > now:
            return Lane.LIMITED
        enough = self.limits.known_after
        if source.standing >= enough and self._standing(source, now) >= enough:
            return Lane.KNOWN
        return Lane.NEW

    def _standing(self, source: Source, now: float) -> float:
        return decayed(source.standing, source.standing_at, now, self.limits.known_for)

    def blocked(self, key: int, now: float) -> bool:
        until = self._blocked.find(key) if len(self._blocked) else None
        return until is not None and until > now

    def ready(self, now: float) -> Decision:
        """Always: who comes must be seen to be judged, and a place to turn it away from is kept."""
        return Decision(Verdict.ADMIT)

    def connect(self, host: str, now: float) -> Decision:
        """Whether a connection gets a seat. ValueError where `host` is no address."""
        key = key_of(host)
        source, new = self.sources.seen(key, now)
        if new and len(self._listed):
            source.listed = self._listed.find(key)
        if self.blocked(key, now):
            return self._turn(source, Lane.LIMITED, Why.BLOCKED)
        lane = self.lane_of(source, now)
        why = self._over_cap(source, lane) or self._over_rate(source, lane, now)
        if why:
            if why is Why.RATE:
                self._act(source, Act.PRESSING, now)
            return self._turn(source, lane, why)
        return self._room(source, lane, now)

    def again(self, decision: Decision, now: float) -> Decision:
        """A connection in the lobby, judged once more; its rate has been counted."""
        source = decision.source
        assert source is not None
        lane = self.lane_of(source, now)
        why = Why.BLOCKED if self.blocked(source.key, now) else self._over_cap(source, lane)
        return self._turn(source, lane, why) if why else self._room(source, lane, now)

    def _over_cap(self, source: Source, lane: Lane) -> Why | None:
        limits, listed, up = self.limits, source.listed, source.up
        if listed is not None:
            return Why.ADDRESS_CAP if listed.connections and source.seats >= listed.connections else None
        if lane is Lane.KNOWN:
            return Why.ADDRESS_CAP if source.seats >= limits.known_per_address else None
        if source.seats >= (LIMITED_SEATS if lane is Lane.LIMITED else limits.per_address):
            return Why.ADDRESS_CAP
        if up is not None and up.seats >= limits.per_network:
            return Why.NETWORK_CAP
        return None

    def _over_rate(self, source: Source, lane: Lane, now: float) -> Why | None:
        limits, listed = self.limits, source.listed
        if listed is not None:
            if listed.rate and not conforms(source, now, 1 / listed.rate, limits.burst):
                return Why.RATE
            return None
        if lane is Lane.LIMITED:
            return None if conforms(source, now, 1 / LIMITED_RATE, LIMITED_SEATS) else Why.RATE
        if lane is Lane.KNOWN:
            return None if conforms(source, now, 0.25 / limits.rate, 4 * limits.burst) else Why.RATE
        if not conforms(source, now, 1 / limits.rate, limits.burst):
            return Why.RATE
        interval, burst, up = 1 / limits.network_rate, limits.network_burst, source.up
        while up is not None:
            if not conforms(up, now, interval, burst):
                return Why.RATE
            interval, burst, up = interval / 4, burst * 4, up.up
        return None

    def _room(self, source: Source, lane: Lane, now: float) -> Decision:
        account = self.ledger.accounts[Use.CLIENTS]
        if lane >= Lane.NEW:
            # Guards the reserve: newcomers never hold what is kept for those who are known.
            pool = int(account.most * (1 - self.limits.reserve))
            here = self.lanes[Lane.NEW] + self.lanes[Lane.LIMITED]
            if lane is Lane.LIMITED and self.lanes[Lane.LIMITED] >= account.most * LIMITED_POOL:
                return self._turn(source, lane, Why.RESERVE)
        else:
            pool, here = account.most, account.used
        if here < pool and self.ledger.room(Use.CLIENTS) > 0:
            return Decision(Verdict.ADMIT, Why.NONE, source, lane)
        even = max(LEAST_EVEN, pool // max(1, self._present))
        if lane >= Lane.NEW and source.seats >= even:
            return self._turn(source, lane, Why.RESERVE)
        evict = self.rows.choose(lane, now, even)
        if evict is not None:
            self.rows.busy(evict)
            evict.leaving = True
            self.tallies.evicted[evict.lane] += 1
        # Also without: a seat may fall free in the moment that the lobby gives.
        return Decision(Verdict.WAIT, Why.FULL, source, lane, evict)

    def _turn(self, source: Source, lane: Lane, why: Why) -> Decision:
        self.tallies.turned[why] = self.tallies.turned.get(why, 0) + 1
        self.shares.charge(lane, cost.TURNED)
        return Decision(Verdict.TURN_AWAY, why, source, lane)

    def given_up(self, decision: Decision) -> None:
        """A connection that waited in the lobby in vain, or that the system had no descriptor for."""
        self.tallies.turned[decision.why] = self.tallies.turned.get(decision.why, 0) + 1

    def seat(self, decision: Decision, now: float) -> Seat:
        source, lane = decision.source, decision.lane
        assert source is not None and decision.verdict is Verdict.ADMIT
        taken = self.ledger.take(Use.CLIENTS)
        assert taken, "a seat was given without room"
        self.tallies.admitted[lane] += 1
        self.lanes[lane] += 1
        self._present += source.seats == 0
        self.sources.hold(source)
        up: Source | None = source
        while up is not None:
            up.seats += 1
            up = up.up
        self.shares.charge(lane, cost.CONNECTION)
        seat = Seat(source, lane, now)
        self.rows.idle(seat, now)
        return seat

    def gone(self, seat: Seat, now: float) -> None:
        source = seat.source
        self.ledger.give(Use.CLIENTS)
        self._stop_waiting(seat)
        self.rows.busy(seat)
        self.lanes[seat.lane] -= 1
        if seat.unread:
            self.unread(seat, -seat.unread)
        up: Source | None = source
        while up is not None:
            up.seats -= 1
            up = up.up
        self._present -= source.seats == 0
        lane = self.lane_of(source, now)
        self.sources.release(source, known=lane <= Lane.KNOWN, limited=lane is Lane.LIMITED)

    # Messages and requests --------------------------------------------------------------------

    def may_read(self, seat: Seat, now: float) -> bool:
        lane = self.lane_of(seat.source, now)
        if lane is not seat.lane:
            self._move(seat, lane, now)
        self._use(seat, cost.REQUEST, now)
        if self.shares.ask(lane):
            return True
        seat.asked_at = now
        self._waiting[seat] = now
        self.tallies.waits[lane] += 1
        self.shares.wait(seat)
        return False

    def _move(self, seat: Seat, lane: Lane, now: float) -> None:
        self.lanes[seat.lane] -= 1
        self.lanes[lane] += 1
        self.opens[seat.lane] -= seat.open
        self.opens[lane] += seat.open
        seat.lane = lane
        if seat.row is not None:
            self.rows.idle(seat, now)

    def _use(self, seat: Seat, amount: float, now: float) -> None:
        source = seat.source
        source.used = decayed(source.used, source.used_at, now, USED_FOR) + amount * self.shares.pace
        source.used_at = now

    def _stop_waiting(self, seat: Seat) -> None:
        if self._waiting.pop(seat, None) is not None:
            self.shares.leave(seat)
            seat.asked_at = 0.0

    def told(self, seat: Seat, now: float) -> None:
        self._give_back(seat, now)
        if not seat.spoke:
            seat.spoke = True
        if seat.row is not None:
            self.rows.idle(seat, now)

    def _give_back(self, seat: Seat, now: float) -> None:
        """A message that brought no work costs less than was paid for it."""
        back = cost.MESSAGE - cost.REQUEST
        self.shares.charge(seat.lane, back)
        self._use(seat, back, now)

    def may_open(self, seat: Seat, now: float) -> Why:
        seat.spoke = True
        why = self._over_share(seat)
        if why is not Why.NONE:
            self.tallies.refused[why] = self.tallies.refused.get(why, 0) + 1
            self._give_back(seat, now)
            self._press(seat.source, now)
            if seat.row is not None:
                self.rows.idle(seat, now)
        return why

    def _over_share(self, seat: Seat) -> Why:
        """Past half of what there is, each source has an even part; a part of it only the known may have."""
        source, lane, bounds = seat.source, seat.lane, self.bounds
        kept = 1.0 if lane <= Lane.KNOWN else 1.0 - self.limits.reserve
        most_open, most_unread = bounds.most_open * kept, bounds.most_unread * kept
        if self.open >= bounds.most_open or self.unread_bytes >= bounds.most_unread:
            return Why.FULL
        held, unread = self.open, self.unread_bytes
        if lane >= Lane.NEW:
            held = self.opens[Lane.NEW] + self.opens[Lane.LIMITED]
        busy = max(1, self._busy + (source.open == 0))
        if held >= most_open:
            return Why.SHARE
        if held >= most_open / 2 and source.open > 0 and source.open >= most_open / busy:
            return Why.SHARE
        if unread >= most_unread / 2 and source.unread > 0 and source.unread >= most_unread / (2 * busy):
            return Why.SHARE
        if self._behind > LATE and lane is not Lane.LISTED:
            # What is paid for was let in, so the loop is late through something else; who uses most yields.
            even = USED_FOR / log(2) * self.shares.rate / busy
            if lane is Lane.LIMITED or source.used > even or (lane is Lane.NEW and self._behind > TOO_LATE):
                return Why.LATE
        return Why.NONE

    def opened(self, seat: Seat) -> None:
        source = seat.source
        self._busy += source.open == 0
        source.open += 1
        seat.open += 1
        self.open += 1
        self.opens[seat.lane] += 1
        self.rows.busy(seat)

    def closed(self, seat: Seat, now: float, served: bool) -> None:
        source = seat.source
        source.open -= 1
        seat.open -= 1
        self.open -= 1
        self.opens[seat.lane] -= 1
        self._busy -= source.open == 0
        if served:
            self._earn(source, now)
        self._rest(seat, now)

    def _rest(self, seat: Seat, now: float) -> None:
        if seat.open or seat.unread:
            return
        if self.blocked(seat.source.key, now):
            self._leave(seat, Why.BLOCKED)
            return
        self.rows.idle(seat, now)

    def unread(self, seat: Seat, change: int) -> None:
        seat.unread += change
        seat.source.unread += change
        self.unread_bytes += change

    def read_out(self, seat: Seat, now: float, sent: int) -> None:
        """A client has read all its answers; `sent` is how many bytes they were."""
        self.shares.charge(seat.lane, sent * cost.PER_BYTE)
        self._rest(seat, now)

    # Standing ---------------------------------------------------------------------------------

    def _earn(self, source: Source, now: float) -> None:
        source.served += 1
        if source.strikes > 0.0:
            source.strikes = max(0.0, source.strikes - FORGIVEN)
        # Guards against a flood that is served a part of what it asks: it stands no better for that.
        if now - source.earned_at >= EARN_EVERY and now - source.pressed_at > EARN_EVERY:
            standing = self._standing(source, now)
            source.standing = min(STANDING_MOST, standing + 1.0)
            source.standing_at = source.earned_at = now

    def _press(self, source: Source, now: float) -> None:
        """A source that asks for more than its share: what it earned goes, a point a second."""
        if now - source.pressed_at >= EARN_EVERY:
            standing = self._standing(source, now)
            source.standing, source.standing_at = max(0.0, standing - 2.0), now
            source.pressed_at = now

    def did(self, seat: Seat, act: Act, now: float) -> None:
        self._act(seat.source, act, now)

    def _act(self, source: Source, act: Act, now: float) -> None:
        if source.listed is not None or source.until > now:
            return
        if act is Act.PRESSING:
            self._press(source, now)
        source.strikes = decayed(source.strikes, source.strikes_at, now, STRIKES_FOR) + act.value
        source.strikes_at = now
        if source.strikes < STRIKES:
            return
        # Grows with repetition, ends by itself, and limits without a ban.
        level = decayed(source.level, source.level_at, now, LEVEL_FOR)
        source.until = now + min(self.limits.penalty_most, self.limits.penalty * 2.0**level)
        source.level, source.level_at = level + 1.0, now
        source.strikes, source.standing = 0.0, source.standing / 2
        self.tallies.penalties += 1
        if not source.held:
            self.sources.place(source, known=False, limited=True)

    # The clock --------------------------------------------------------------------------------

    def look(self, now: float, behind: float) -> Look:
        """Every few milliseconds: whose turn it is, and who has to leave."""
        self._behind = behind
        found = Look()
        for seat in self.shares.pour(now, behind):
            waited = now - self._waiting.pop(seat, now)
            seat.asked_at = 0.0
            if waited > PRESSED:
                self._press(seat.source, now)
            found.wake.append(seat)
        for seat, since in self._waiting.items():
            if now - since < OVERDUE:
                break
            if not seat.open:
                found.end.append((seat, Why.OVERDUE))
        for seat, _ in found.end:
            self._stop_waiting(seat)
            self.rows.busy(seat)
            seat.leaving = True
            self._act(seat.source, Act.PRESSING, now)
        for _ in range(self.ledger.over):
            worst = self.rows.worst()
            if worst is None:
                break
            self.rows.busy(worst)
            worst.leaving = True
            self.tallies.evicted[worst.lane] += 1
            found.end.append((worst, Why.EXHAUSTED))
        found.end += self._leaving
        self._leaving = []
        return found

    def measured(self, cpu: float) -> None:
        self.shares.measured(cpu)

    def _rate(self, source: Source, now: float) -> float:
        """Loop seconds a second that a source used lately: what decays adds up to the rate times h / ln 2."""
        return decayed(source.used, source.used_at, now, USED_FOR) * log(2) / USED_FOR

    # What operators ask -----------------------------------------------------------------------

    def describe(self, source: Source, now: float) -> dict[str, object]:
        """A source as operators see it."""
        return {
            "source": text_of(source.key),
            "lane": self.lane_of(source, now).name.lower(),
            "connections": source.seats,
            "open": source.open,
            "unread_bytes": source.unread,
            "loop_percent": round(100 * self._rate(source, now), 2),
            "served": source.served,
            "standing": round(self._standing(source, now), 1),
            "strikes": round(decayed(source.strikes, source.strikes_at, now, STRIKES_FOR), 1),
            "penalty_s": round(max(0.0, source.until - now), 1),
            "listed": source.listed.net if source.listed else "",
            "blocked": self.blocked(source.key, now),
        }

    def top(self, now: float, most: int) -> list[dict[str, object]]:
        """The sources that use most loop time lately, and with it connections."""

        def order(source: Source) -> tuple[float, int]:
            return self._rate(source, now), source.seats

        leaves = [s for s in self.sources if s.key & 0xFF in (V4, V6_64) and (s.seats or s.used > 0.0)]
        return [self.describe(s, now) for s in sorted(leaves, key=order, reverse=True)[:most]]

    def show(self, address: str, now: float) -> dict[str, object] | None:
        """An address and the networks around it; None if it is not on record. ValueError for no address."""
        source = self.sources.find(key_of(address))
        if source is None:
            return None
        found = self.describe(source, now)
        around, up = [], source.up
        while up is not None:
            around.append({"source": text_of(up.key), "connections": up.seats})
            up = up.up
        return found | {"networks": around}
