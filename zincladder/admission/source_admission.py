"""Admission: decides over connections, reads, requests and evictions, by source. No I/O; time comes in."""

from __future__ import annotations

from math import log

from zincladder.admission import fair_queue as cost
from zincladder.admission.connection_slots import IdleSlots
from zincladder.admission.descriptor_budget import DescriptorBudget, DescriptorUse
from zincladder.admission.fair_queue import WeightedFairQueue
from zincladder.admission.interface import ADMITTED, NOTHING_DUE, RequestBounds, TickResult
from zincladder.admission.model import (
    STRIKES_FOR_OFFENSE,
    V4,
    V4_16,
    V4_24,
    V6_48,
    AdmissionCounters,
    AdmissionLimits,
    ConnectionSlot,
    Decision,
    ListedNetwork,
    Offense,
    PriorityLane,
    RejectionReason,
    Source,
    Verdict,
    key_of,
    text_of,
)
from zincladder.admission.networks import NetworkMap
from zincladder.admission.rate_limiter import RateLimiter, decayed
from zincladder.admission.response_rate_limiter import DatagramVerdict, ResponseRateLimiter
from zincladder.admission.source_table import SourceTable

STRIKES = 8.0  # that bring a penalty; they halve every 10 s, and each served answer takes a little off
STRIKES_FOR, LEVEL_FOR, USED_FOR = 10.0, 60.0, 5.0  # half-lives in seconds
FORGIVEN = 0.05  # strikes that a served answer makes good
# Seconds through which some of a source's messages wait, past which it asks for more than its share; and how
# short a time without any is no break.
PRESSED, BREAK = 0.25, 0.05
EARN_EVERY = 1.0  # seconds between two points of standing: they count time, not requests
STANDING_MOST = 60.0
LIMITED_SEATS, LIMITED_RATE = 4, 4.0  # of one source under a penalty: limited, not banned
LIMITED_POOL = 0.1  # of the seats, for all of them together
OVERDUE = 2.0  # seconds that a message may wait for its turn; a close is owed within 3
LATE, TOO_LATE = 0.04, 0.25  # seconds by which the loop is late
SAID_MOST = 1024  # networks that operators name while the front runs
# Members at hand: looking one up on its class costs 0.2 µs in Python 3.11, and a decision needs a dozen.
LISTED, KNOWN, NEW, LIMITED = PriorityLane
ADMIT, WAIT, REJECT = Verdict
NONE, FULL, SHARE = RejectionReason.NONE, RejectionReason.NO_CAPACITY, RejectionReason.OVER_SHARE
STEP = 0.5  # seconds by which the clock may run back and forth between two looks
APART = 1 << 80  # past all keys
LARGE = 16_384  # bytes of an answer past which they are counted
SELDOM = 0.03  # seconds between two looks while nobody waits
LEAST_EVEN = 4  # seats that nobody is asked to leave for being many


class SourceAdmission:
    """Admission by source."""

    def __init__(
        self, limits: AdmissionLimits, bounds: RequestBounds, descriptors: DescriptorBudget, seed: int = 0
    ) -> None:
        self.limits, self.bounds, self.descriptors = limits, bounds, descriptors
        self.counters = AdmissionCounters()
        self.sources = SourceTable(limits.max_sources)
        self.read_queue = WeightedFairQueue(limits.known_share, limits.new_share)
        self.idle_slots = IdleSlots()
        self.slots_by_lane = [0] * len(PriorityLane)  # seats
        self.open_by_lane = [0] * len(PriorityLane)
        self._pool = descriptors.pools[DescriptorUse.CLIENTS]
        self.open = self.unread_bytes = 0
        self._listed: NetworkMap[ListedNetwork] = NetworkMap()
        self._blocked: NetworkMap[float] = NetworkMap()  # until when
        self._rates = RateLimiter(seed)
        self._pace_newcomers()
        self._responses = ResponseRateLimiter(limits.dns_rate, limits.dns_burst, seed + 1)
        self._visits: dict[
            tuple[DescriptorUse, int], int
        ] = {}  # to other listeners, bounded by their descriptors
        self._net_seats: dict[int, int] = {}  # by network, of those that have any
        self._any_listed = self._any_blocked = False
        self._present = 0  # sources with a seat
        self._busy = 0  # sources with a request open
        self._waiting: dict[ConnectionSlot, float] = {}
        self._leaving: list[tuple[ConnectionSlot, RejectionReason]] = []
        self._behind = 0.0
        self._looked_at = float("-inf")
        self._said_trust: dict[str, None] = {}  # by operators, while it runs
        self._said_block: dict[str, float] = {}  # until when
        self._list()

    # Settings ---------------------------------------------------------------------------------

    def apply_limits(self, limits: AdmissionLimits) -> None:
        """Other limits from now on. What is open past a lowered cap stays until it has been answered."""
        self.limits = limits
        self._pace_newcomers()
        self.sources.most = limits.max_sources
        self.read_queue.set_shares(limits.known_share, limits.new_share)
        self._responses.use(limits.dns_rate, limits.dns_burst)
        self._list()

    def _pace_newcomers(self) -> None:
        """Their rates as intervals and the most that one may be ahead, for an address and a network."""
        limits = self.limits
        self._one = 1 / limits.rate, limits.burst / limits.rate
        self._net = 1 / limits.network_rate, limits.network_burst / limits.network_rate

    def _list(self) -> None:
        self._listed, self._blocked = NetworkMap(), NetworkMap()
        for network in self.limits.networks:
            self._listed.put(network.net, network)
        for net in self._said_trust:
            self._listed.put(net, ListedNetwork(net))
        for net in self.limits.blocked:
            self._blocked.put(net, float("inf"))
        for net, until in self._said_block.items():
            self._blocked.put(net, until)
        self._any_listed, self._any_blocked = bool(len(self._listed)), bool(len(self._blocked))
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
        self._said_block[net], self._any_blocked = until, True
        found = [seat for seat in self.idle_slots if self.is_blocked(seat.source.key, now)]
        for seat in found:
            self._leave(seat, RejectionReason.BLOCKED)
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

    def _leave(self, seat: ConnectionSlot, why: RejectionReason) -> None:
        self.idle_slots.busy(seat)
        seat.leaving = True
        self._leaving.append((seat, why))

    # Connections ------------------------------------------------------------------------------

    def lane_of(self, source: Source, now: float) -> PriorityLane:
        if source.listed is not None:
            return LISTED
        if source.until > now:
            return LIMITED
        enough = self.limits.known_after_seconds
        if source.standing >= enough and self._standing(source, now) >= enough:
            return KNOWN
        return NEW

    def _standing(self, source: Source, now: float) -> float:
        return decayed(source.standing, source.standing_at, now, self.limits.known_half_life_seconds)

    def is_blocked(self, key: int, now: float) -> bool:
        until = self._blocked.find(key) if self._any_blocked else None
        return until is not None and until > now

    def may_accept(self, now: float) -> Decision:
        """Always: who comes must be seen to be judged, and a place to turn it away from is kept."""
        return ADMITTED

    def connect(self, host: str, now: float) -> Decision:
        """Whether a connection gets a seat. ValueError where `host` is no address."""
        key = key_of(host)
        source = self.sources.find(key)
        if source is None:
            listed = self._listed.find(key) if self._any_listed else None
            lane, seats = NEW if listed is None else LISTED, 0
        else:
            self.sources.seen(source, now)
            lane, seats, listed = self.lane_of(source, now), source.held, source.listed
        if self._any_blocked and self.is_blocked(key, now):
            return self._turn(key, lane, RejectionReason.BLOCKED)
        why = self._over_cap(key, lane, seats, listed)
        if why is not None:
            return self._turn(key, lane, why)
        if not self._in_rate(key, lane, listed, now):
            self._act(source or self.sources.record(key, now), Offense.OVERUSE, now)
            return self._turn(key, lane, RejectionReason.RATE_LIMIT)
        return self._room(key, lane, seats, now)

    def reconsider(self, decision: Decision, now: float) -> Decision:
        """A connection in the lobby, judged once more; its rate has been counted."""
        key, source = decision.key, self.sources.find(decision.key)
        lane, seats = decision.lane, 0
        if source is not None:
            lane, seats = self.lane_of(source, now), source.held
        why = RejectionReason.BLOCKED if self.is_blocked(key, now) else None
        why = why or self._over_cap(key, lane, seats, self._listed.find(key))
        return self._turn(key, lane, why) if why else self._room(key, lane, seats, now)

    def _over_cap(
        self, key: int, lane: PriorityLane, seats: int, listed: ListedNetwork | None
    ) -> RejectionReason | None:
        if lane is NEW:
            if seats >= self.limits.max_per_address:
                return RejectionReason.ADDRESS_CAP
            around = key >> 16 << 8 | V4_24 if key & 0xFF == V4 else key >> 24 << 8 | V6_48
            if self._net_seats.get(around, 0) >= self.limits.max_per_network:
                return RejectionReason.NETWORK_CAP
            return None
        if lane is KNOWN:
            most = self.limits.max_known_per_address
        elif lane is LIMITED:
            most = LIMITED_SEATS
        else:
            most = listed.connections if listed is not None else 0
        return RejectionReason.ADDRESS_CAP if most and seats >= most else None

    def _in_rate(self, key: int, lane: PriorityLane, listed: ListedNetwork | None, now: float) -> bool:
        limits, rates = self.limits, self._rates
        if lane is NEW:
            if key & 0xFF == V4:
                wide = key >> 24 << 8 | V4_16
                return rates.conforms_both(key, key >> 16 << 8 | V4_24, now, self._one, self._net) and (
                    rates.conforms(wide, now, self._net[0] / 4, 4 * limits.network_burst)
                )
            return rates.conforms_both(key, key >> 24 << 8 | V6_48, now, self._one, self._net)
        if lane is KNOWN:
            return rates.conforms(key, now, 0.25 / limits.rate, 4 * limits.burst)
        if lane is LIMITED:
            # An account of its own: what it overdrew before must not make the limit a ban.
            return rates.conforms(key | APART, now, 1 / LIMITED_RATE, LIMITED_SEATS)
        if listed is None or not listed.rate:
            return True
        return rates.conforms(key, now, 1 / listed.rate, limits.burst)

    def _room(self, key: int, lane: PriorityLane, seats: int, now: float) -> Decision:
        pool = self._pool
        if lane >= NEW:
            # Guards the reserve: newcomers never hold what is kept for those who are known.
            most = int(pool.most * (1 - self.limits.reserve))
            _, _, new, limited = self.slots_by_lane
            here = new + limited
            if lane is LIMITED and limited >= pool.most * LIMITED_POOL:
                return self._turn(key, lane, RejectionReason.RESERVED)
        else:
            most, here = pool.most, pool.used
        if here < most and self.descriptors.room_of(pool) > 0:
            return Decision(ADMIT, NONE, key, lane)
        even = max(LEAST_EVEN, most // max(1, self._present))
        if lane >= NEW and seats >= even:
            return self._turn(key, lane, RejectionReason.RESERVED)
        evict = self.idle_slots.choose(lane, now, even)
        if evict is not None:
            self.idle_slots.busy(evict)
            evict.leaving = True
            self.counters.evicted[evict.lane] += 1
        # Also without: a seat may fall free in the moment that the lobby gives.
        return Decision(WAIT, FULL, key, lane, evict)

    def _turn(self, key: int, lane: PriorityLane, why: RejectionReason) -> Decision:
        name, turned = (
            why._value_,
            self.counters.rejected_connections,
        )  # as said for every connection of a flood
        turned[name] = turned.get(name, 0) + 1
        self.read_queue.charge_shared(cost.TURNED)
        return Decision(REJECT, why, key, lane)

    def record_expired(self, decision: Decision) -> None:
        """A connection that waited in the lobby in vain, or that the system had no descriptor for."""
        self.counters.rejected_connections[decision.reason.value] = (
            self.counters.rejected_connections.get(decision.reason.value, 0) + 1
        )

    def open_slot(self, decision: Decision, now: float) -> ConnectionSlot:
        lane = decision.lane
        assert decision.verdict is ADMIT
        taken = self.descriptors.take(DescriptorUse.CLIENTS)
        assert taken, "a seat was given without room"
        source = self.sources.record(decision.key, now)
        if self._any_listed:
            source.listed = self._listed.find(source.key)
        self.counters.admitted[lane] += 1
        self.slots_by_lane[lane] += 1
        self._present += source.held == 0
        self.sources.hold(source)
        self._net_seats[source.net] = self._net_seats.get(source.net, 0) + 1
        self.read_queue.charge_shared(cost.CONNECTION)
        seat = ConnectionSlot(source, lane, now)
        self.idle_slots.idle(seat, now)
        return seat

    def cancel_eviction(self, seat: ConnectionSlot, now: float) -> None:
        seat.leaving = False
        if not (seat.open or seat.unread or seat in self._waiting):
            self.idle_slots.idle(seat, now)

    def release_slot(self, seat: ConnectionSlot, now: float) -> None:
        source = seat.source
        self.descriptors.give(DescriptorUse.CLIENTS)
        self._stop_waiting(seat)
        self.idle_slots.busy(seat)
        self.slots_by_lane[seat.lane] -= 1
        if seat.unread:
            self.add_unread_bytes(seat, -seat.unread)
        left = self._net_seats[source.net] - 1
        if left:
            self._net_seats[source.net] = left
        else:
            del self._net_seats[source.net]
        lane = self.lane_of(source, now)
        self.sources.release(source, known=lane <= KNOWN, limited=lane is LIMITED)
        self._present -= source.held == 0

    # Other listeners ----------------------------------------------------------------------

    def open_connection(self, use: DescriptorUse, host: str, now: float) -> RejectionReason:
        """A connection to another listener than the clients': NONE if it is taken, to be given back by
        `left`.
        """
        key = key_of(host)
        if self.is_blocked(key, now):
            return RejectionReason.BLOCKED
        source = self.sources.find(key)
        lane = NEW if source is None else self.lane_of(source, now)
        here = self._visits.get((use, key), 0)
        if here >= self.limits.max_dns_per_address and lane >= NEW:
            return RejectionReason.ADDRESS_CAP
        if not self._in_rate(key, lane, self._listed.find(key), now):
            return RejectionReason.RATE_LIMIT
        if not self.descriptors.take(use):
            return FULL
        self._visits[use, key] = here + 1
        return NONE

    def close_connection(self, use: DescriptorUse, host: str) -> None:
        key = key_of(host)
        here = self._visits.pop((use, key)) - 1
        if here:
            self._visits[use, key] = here
        self.descriptors.give(use)

    def judge_datagram(self, host: str, now: float) -> DatagramVerdict:
        """What the sender of one more datagram gets."""
        key = key_of(host)
        if self._any_blocked and self.is_blocked(key, now):
            return DatagramVerdict.NOTHING
        source = self.sources.find(key)
        known = source is not None and self.lane_of(source, now) <= KNOWN
        return self._responses.judge(key, known or self._listed.find(key) is not None, now)

    # Messages and requests --------------------------------------------------------------------

    def may_read(self, seat: ConnectionSlot, now: float) -> bool:
        if seat in self._waiting:
            return False
        lane = self.lane_of(seat.source, now)
        if lane is not seat.lane:
            self._move(seat, lane, now)
        self._use(seat, cost.REQUEST, now)
        if self.read_queue.try_take(lane):
            return True
        seat.asked_at = now
        self._waiting[seat] = now
        source = seat.source
        if source.queued == 0 and now - source.queued_to > BREAK:
            source.queued_at = now
        source.queued += 1
        self.counters.waits[lane] += 1
        self.read_queue.enqueue(seat)
        return False

    def _move(self, seat: ConnectionSlot, lane: PriorityLane, now: float) -> None:
        self.slots_by_lane[seat.lane] -= 1
        self.slots_by_lane[lane] += 1
        self.open_by_lane[seat.lane] -= seat.open
        self.open_by_lane[lane] += seat.open
        seat.lane = lane
        if seat.row is not None:
            self.idle_slots.idle(seat, now)

    def _use(self, seat: ConnectionSlot, amount: float, now: float) -> None:
        source = seat.source
        source.used = decayed(source.used, source.used_at, now, USED_FOR) + amount * self.read_queue.pace
        source.used_at = now

    def _stop_waiting(self, seat: ConnectionSlot) -> None:
        if self._waiting.pop(seat, None) is not None:
            self.read_queue.remove(seat)
            seat.asked_at = 0.0
            seat.source.queued -= 1

    def record_message(self, seat: ConnectionSlot, now: float) -> None:
        self._give_back(seat, now)
        if not seat.spoke:
            seat.spoke = True
        if seat.row is not None:
            self.idle_slots.idle(seat, now)

    def _give_back(self, seat: ConnectionSlot, now: float) -> None:
        """A message that brought no work costs less than was paid for it."""
        back = cost.MESSAGE - cost.REQUEST
        self.read_queue.charge(seat.lane, back)
        self._use(seat, back, now)

    def may_open(self, seat: ConnectionSlot, now: float) -> RejectionReason:
        seat.spoke = True
        why = self._over_share(seat)
        if why is not NONE:
            self.counters.rejected_requests[why.value] = self.counters.rejected_requests.get(why.value, 0) + 1
            self._give_back(seat, now)
            self._press(seat.source, now)
            if seat.row is not None:
                self.idle_slots.idle(seat, now)
        return why

    def _over_share(self, seat: ConnectionSlot) -> RejectionReason:
        """Past half of what there is, each source has an even part; a part of it only the known may have."""
        source, lane, bounds = seat.source, seat.lane, self.bounds
        kept = 1.0 if lane <= KNOWN else 1.0 - self.limits.reserve
        max_open, max_unread_bytes = bounds.max_open * kept, bounds.max_unread_bytes * kept
        if self.open >= bounds.max_open or self.unread_bytes >= bounds.max_unread_bytes:
            return FULL
        held, unread = self.open, self.unread_bytes
        if lane >= NEW:
            held = self.open_by_lane[NEW] + self.open_by_lane[LIMITED]
        busy = max(2, self._busy + (source.open == 0))  # the next to come finds room too
        if held >= max_open:
            return SHARE
        if held >= max_open / 2 and source.open > 0 and source.open >= max_open / busy:
            return SHARE
        if (
            unread >= max_unread_bytes / 2
            and source.unread > 0
            and source.unread >= max_unread_bytes / (2 * busy)
        ):
            return SHARE
        if self._behind > LATE and lane is not LISTED:
            # What is paid for was let in, so the loop is late through something else; who uses most yields.
            even = USED_FOR / log(2) * self.read_queue.rate / busy
            if lane is LIMITED or source.used > even or (lane is NEW and self._behind > TOO_LATE):
                return RejectionReason.LOOP_LAGGING
        return NONE

    def request_opened(self, seat: ConnectionSlot) -> None:
        source = seat.source
        self._busy += source.open == 0
        source.open += 1
        seat.open += 1
        self.open += 1
        self.open_by_lane[seat.lane] += 1
        self.idle_slots.busy(seat)

    def request_closed(self, seat: ConnectionSlot, now: float, served: bool, size: int = 0) -> None:
        source = seat.source
        if size > LARGE:
            self.read_queue.charge(seat.lane, size * cost.PER_BYTE)
        source.open -= 1
        seat.open -= 1
        self.open -= 1
        self.open_by_lane[seat.lane] -= 1
        self._busy -= source.open == 0
        if served:
            self._earn(source, now)
        self._rest(seat, now)

    def _rest(self, seat: ConnectionSlot, now: float) -> None:
        if seat.open or seat.unread:
            return
        if self.is_blocked(seat.source.key, now):
            self._leave(seat, RejectionReason.BLOCKED)
            return
        self.idle_slots.idle(seat, now)

    def add_unread_bytes(self, seat: ConnectionSlot, change: int) -> None:
        seat.unread += change
        seat.source.unread += change
        self.unread_bytes += change

    def answers_read(self, seat: ConnectionSlot, now: float) -> None:
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

    def record_offense(self, seat: ConnectionSlot, act: Offense, now: float) -> None:
        self._act(seat.source, act, now)

    def _act(self, source: Source, act: Offense, now: float) -> None:
        if source.listed is not None or source.until > now:
            return
        if act is Offense.OVERUSE:
            self._press(source, now)
        source.strikes = decayed(source.strikes, source.strikes_at, now, STRIKES_FOR)
        source.strikes += STRIKES_FOR_OFFENSE[act]
        source.strikes_at = now
        if source.strikes < STRIKES:
            return
        # Grows with repetition, ends by itself, and limits without a ban.
        level = decayed(source.level, source.level_at, now, LEVEL_FOR)
        source.until = now + min(self.limits.max_penalty_seconds, self.limits.penalty_seconds * 2.0**level)
        source.level, source.level_at = level + 1.0, now
        source.strikes, source.standing = 0.0, source.standing / 2
        self.counters.penalties += 1
        if not source.held:
            self.sources.place(source, known=False, limited=True)

    # The clock --------------------------------------------------------------------------------

    def tick(self, now: float, behind: float) -> TickResult:
        """Every few milliseconds: whose turn it is, and who has to leave."""
        if now < self._looked_at - STEP:
            self._stepped_back(self._looked_at - now, now)
        self._behind = behind
        quiet = not (self._waiting or self._leaving or self.descriptors.over)
        if quiet and 0.0 <= now - self._looked_at < SELDOM:
            return NOTHING_DUE
        self._looked_at = now
        found = TickResult()
        for seat in self.read_queue.dispatch(now, behind):
            del self._waiting[seat]
            source = seat.source
            seat.asked_at, source.queued_to = 0.0, now
            source.queued -= 1
            if now - source.queued_at > PRESSED:
                self._press(source, now)
            found.to_wake.append(seat)
        for seat, since in self._waiting.items():
            if now - since < OVERDUE:
                break
            if not seat.open:
                found.to_evict.append((seat, RejectionReason.READ_TIMEOUT))
        for seat, _ in found.to_evict:
            self._stop_waiting(seat)
            self.idle_slots.busy(seat)
            seat.leaving = True
            self._act(seat.source, Offense.OVERUSE, now)
        for _ in range(self.descriptors.over):
            worst = self.idle_slots.worst()
            if worst is None:
                break
            self.idle_slots.busy(worst)
            worst.leaving = True
            self.counters.evicted[worst.lane] += 1
            found.to_evict.append((worst, RejectionReason.NO_DESCRIPTOR))
        found.to_evict += self._leaving
        self._leaving = []
        return found

    def _stepped_back(self, by: float, now: float) -> None:
        """Guards against a clock that jumps: what lay ahead of it would hold for as long as the jump was."""
        self._rates.clear()
        for source in self.sources:
            source.used_at -= by
            source.standing_at -= by
            source.strikes_at -= by
            source.level_at -= by
            source.earned_at -= by
            source.pressed_at -= by
            source.until -= by
        for seat in list(self.idle_slots):
            self.idle_slots.idle(seat, now)
        self._waiting = dict.fromkeys(self._waiting, now)

    def record_cpu_seconds(self, cpu: float) -> None:
        self.read_queue.calibrate(cpu)

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
            "blocked": self.is_blocked(source.key, now),
        }

    def top(self, now: float, most: int) -> list[dict[str, object]]:
        """The sources that use most loop time lately, and with it connections."""

        def order(source: Source) -> tuple[float, int]:
            return self._rate(source, now), source.seats

        active = [s for s in self.sources if s.held or s.used > 0.0]
        return [self.describe(s, now) for s in sorted(active, key=order, reverse=True)[:most]]

    def show(self, address: str, now: float) -> dict[str, object] | None:
        """An address and the networks around it; None if it is not on record. ValueError for no address."""
        source = self.sources.find(key_of(address))
        if source is None:
            return None
        found = self.describe(source, now)
        return found | {
            "network": text_of(source.net),
            "network_connections": self._net_seats.get(source.net, 0),
        }
