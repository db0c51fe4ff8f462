"""Admission's decisions, without sockets: what each guards against, and what holds whatever comes."""

from __future__ import annotations

import ast
from collections import Counter
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import settings as effort
from hypothesis import strategies as st

from zincladder.admission.descriptor_budget import ELASTIC_POOLS, DescriptorBudget, DescriptorUse
from zincladder.admission.fair_queue import LATE, REQUEST, WeightedFairQueue
from zincladder.admission.interface import RequestBounds
from zincladder.admission.lrfu import LrfuSet
from zincladder.admission.model import (
    AdmissionLimits,
    ConnectionSlot,
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
from zincladder.admission.response_rate_limiter import DatagramVerdict
from zincladder.admission.source_admission import SourceAdmission

PACKAGE = Path(__file__).resolve().parent.parent / "zincladder/admission"
FRIEND, FLOOD = "192.0.2.1", "198.51.100.9"


def gate(sockets: int = 256, *, max_open: int = 200, **changes: object) -> SourceAdmission:
    return SourceAdmission(
        AdmissionLimits(**changes),  # type: ignore[arg-type]
        RequestBounds(max_open, 1 << 20),
        DescriptorBudget(sockets, ELASTIC_POOLS),
        seed=7,
    )


def come(g: SourceAdmission, host: str, now: float) -> ConnectionSlot | None:
    decision = g.connect(host, now)
    return g.open_slot(decision, now) if decision.verdict is Verdict.ADMIT else None


def ask(g: SourceAdmission, seat: ConnectionSlot, now: float) -> RejectionReason:
    why = g.may_open(seat, now)
    if why is RejectionReason.NONE:
        g.request_opened(seat)
    return why


def earn(g: SourceAdmission, host: str, now: float, seconds: int = 5) -> float:
    """A source that is served once a second until it is known."""
    for _ in range(seconds):
        now += 1.1
        seat = come(g, host, now)
        assert seat is not None
        assert g.may_read(seat, now) and ask(g, seat, now) is RejectionReason.NONE
        g.request_closed(seat, now + 0.02, True)
        g.release_slot(seat, now + 0.03)
        g.tick(now + 0.03, 0.0)
    return now


def lane(g: SourceAdmission, host: str, now: float) -> PriorityLane:
    return g.lane_of(g.sources.record(key_of(host), now), now)


def test_the_package_does_no_io_and_reads_no_clock() -> None:
    for path in PACKAGE.glob("*.py"):
        names = {
            a.name
            for n in ast.walk(ast.parse(path.read_text()))
            if isinstance(n, ast.Import)
            for a in n.names
        }
        names |= {
            n.module or "" for n in ast.walk(ast.parse(path.read_text())) if isinstance(n, ast.ImportFrom)
        }
        ours = {n for n in names if n.startswith("zincladder") and not n.startswith("zincladder.admission")}
        assert not ours and not names & {
            "time",
            "os",
            "asyncio",
            "anyio",
            "structlog",
            "random",
            "datetime",
        }, path


@pytest.mark.parametrize(
    ("host", "text"),
    [
        ("192.0.2.7", "192.0.2.7"),
        ("::ffff:192.0.2.7", "192.0.2.7"),  # RFC 4291, 2.5.5.2: one peer, whichever socket it came to
        ("2001:db8:1:2:3::4", "2001:db8:1:2::/64"),
        ("fe80::1%lo", "fe80::/64"),
    ],
)
def test_an_address_is_one_source_however_it_is_written(host: str, text: str) -> None:
    assert text_of(key_of(host)) == text
    with pytest.raises(ValueError, match="not an address"):
        key_of("x.y" + host)


def test_networks_are_found_by_their_longest_prefix() -> None:
    found: NetworkMap[str] = NetworkMap()
    for net in ("10.0.0.0/8", "10.1.0.0/16", "10.1.2.3", "2001:db8::/32", "2001:db8:1::/64"):
        found.put(net, net)
    hosts = {"10.9.9.9": "10.0.0.0/8", "10.1.9.9": "10.1.0.0/16", "10.1.2.3": "10.1.2.3", "11.0.0.1": None,
             "2001:db8:9::1": "2001:db8::/32", "2001:db8:1::9": "2001:db8:1::/64"}  # fmt: skip
    assert {host: found.find(key_of(host)) for host in hosts} == hosts
    assert found.drop("10.1.0.0/16") and not found.drop("10.1.0.0/16")
    assert found.find(key_of("10.1.9.9")) == "10.0.0.0/8"
    for bad in ("10.0.0.1/8", "x", "2001:db8::/65"):
        with pytest.raises(ValueError):
            found.put(bad, bad)


# The record --------------------------------------------------------------------------------------


def test_a_million_addresses_seen_once_evict_no_one_who_is_known() -> None:
    g = gate(max_sources=256)
    friends = [f"192.0.2.{i}" for i in range(40)]
    now = 0.0
    for host in friends:
        now = earn(g, host, now)
    for i in range(20_000):
        now += 0.001
        seat = come(g, f"10.{i >> 16}.{i >> 8 & 255}.{i & 255}", now)
        if seat:
            g.release_slot(seat, now)
        assert len(g.sources) <= 256
    assert [lane(g, host, now) for host in friends] == [PriorityLane.KNOWN] * 40


def test_who_comes_often_is_kept_among_addresses_seen_once() -> None:
    part, regular = LrfuSet(20.0), Source(1)
    part.seen(regular, 0.0)
    part.add(regular)
    for i in range(2, 3000):
        now = i * 0.01
        once = Source(i)
        part.seen(once, now)
        part.add(once)
        if i % 20 == 0:
            part.seen(regular, now)
        if part.size > 50:
            least = part.least()
            assert least is not None and least is not regular
            part.drop(least)
    part.seen(regular, 60.0)
    for i in range(4000, 6000):  # and forgotten once it stays away: a count halves every 20 s
        once = Source(i)
        part.seen(once, 60.0 + i * 0.1)
        part.add(once)
        least = part.least()
        assert least is not None
        part.drop(least)
    assert regular.home is None


def test_a_clock_that_jumps_changes_nothing_that_is_kept() -> None:
    g = gate()
    now = earn(g, FRIEND, 1000.0)
    for jump in (-500.0, 3.0, -1e6, 0.0):
        now += jump
        g.tick(now, 0.0)
        seat = come(g, FRIEND, now)
        assert seat is not None and seat.lane is PriorityLane.KNOWN, jump
        assert g.may_read(seat, now) and ask(g, seat, now) is RejectionReason.NONE
        g.tick(now, 0.0)
        g.request_closed(seat, now, True)
        g.release_slot(seat, now)
    assert decayed(4.0, 10.0, 5.0, 1.0) == 4.0


@given(
    rate=st.floats(1, 1000),
    burst=st.integers(1, 50),
    steps=st.lists(st.floats(0, 0.5), min_size=1, max_size=300),
)
@effort(max_examples=60, deadline=None)
def test_a_rate_is_never_exceeded_and_always_reached(rate: float, burst: int, steps: list[float]) -> None:
    sketch, now, passed = RateLimiter(3), 100.0, 0
    for step in steps:
        now += step
        passed += sketch.conforms(42, now, 1 / rate, burst)
        assert passed <= (now - 100.0) * rate + burst + 1 + 1e-6
    assert sketch.conforms(42, now + (burst + 1) / rate, 1 / rate, burst)


def test_a_flood_beside_it_takes_nothing_from_an_addresss_rate() -> None:
    sketch, now = RateLimiter(11), 5.0
    for _ in range(3000):  # over its rate, and so ahead of the clock in both its cells
        sketch.conforms(key_of(FLOOD), now, 0.02, 100)
    innocent = [key_of(f"10.0.{i >> 8}.{i & 255}") for i in range(2000)]
    assert sum(sketch.conforms(key, now, 0.02, 100) for key in innocent) == 2000


# Connections -------------------------------------------------------------------------------------


def test_one_address_gets_its_cap_and_the_reserve_stays_for_the_known() -> None:
    g = gate()
    now = earn(g, FRIEND, 0.0)
    flood = [g.connect(FLOOD, now) for _ in range(1)]
    seats = [g.open_slot(flood[0], now)]
    for _ in range(300):
        decision = g.connect(FLOOD, now + 1)
        if decision.verdict is Verdict.ADMIT:
            seats.append(g.open_slot(decision, now + 1))
    assert len(seats) <= g.limits.max_per_address
    for i in range(200):  # and many addresses together leave the reserve
        come(g, f"10.{i}.0.1", now + 1)
    pool = g.descriptors.pools[DescriptorUse.CLIENTS]
    assert g.slots_by_lane[PriorityLane.NEW] <= pool.most * (1 - g.limits.reserve)
    friends = [come(g, FRIEND, now + 1) for _ in range(int(pool.most * g.limits.reserve) - 1)]
    assert all(friends) and all(seat and seat.lane is PriorityLane.KNOWN for seat in friends)


def test_a_network_has_a_cap_of_its_own() -> None:
    g = gate(sockets=2048)
    taken = [come(g, f"198.51.100.{i % 250}", i * 0.01) for i in range(400)]
    assert sum(seat is not None for seat in taken) == g.limits.max_per_network
    assert come(g, "203.0.113.1", 5.0)


def test_connecting_past_the_rate_brings_a_penalty_that_grows_and_ends() -> None:
    g = gate(sockets=2048)
    times: list[float] = []
    now = 0.0
    for _ in range(3):
        while lane(g, FLOOD, now) is not PriorityLane.LIMITED:
            now += 0.001
            seat = come(g, FLOOD, now)
            if seat:
                g.release_slot(seat, now)
        times.append(g.sources.record(key_of(FLOOD), now).until - now)
        # Limited is not banned: a few connections are still taken.
        limited = [come(g, FLOOD, now + i * 0.3) for i in range(3)]
        assert any(limited)
        for seat in filter(None, limited):
            g.release_slot(seat, now + 1)
        now += times[-1] + 0.01
        assert lane(g, FLOOD, now) is PriorityLane.NEW
    assert times[0] < times[1] < times[2] and times[0] == pytest.approx(g.limits.penalty_seconds, rel=0.2)


def test_a_large_gateway_with_a_few_bad_users_is_not_limited() -> None:
    # guards a terminal behind one address: of many users some always misbehave
    g, now = gate(sockets=1024), earn(gate(), FRIEND, 0.0)
    seat = come(g, FRIEND, now)
    assert seat
    for i in range(3000):
        now += 0.01
        assert ask(g, seat, now) is RejectionReason.NONE
        g.request_closed(seat, now, True)
        if i % 50 == 0:
            g.record_offense(seat, Offense.MALFORMED, now)
    assert lane(g, FRIEND, now) is PriorityLane.KNOWN


def test_listed_networks_have_caps_of_their_own_and_no_penalty() -> None:
    g = gate(networks=(ListedNetwork("192.0.2.0/24", connections=3),))
    seats = [come(g, FRIEND, 0.0) for _ in range(5)]
    assert [bool(s) for s in seats] == [True] * 3 + [False] * 2
    assert seats[0] and seats[0].lane is PriorityLane.LISTED
    for _ in range(100):
        g.record_offense(seats[0], Offense.MALFORMED, 0.1)
    assert lane(g, FRIEND, 0.2) is PriorityLane.LISTED


def test_what_stands_worse_makes_room_and_what_owes_an_answer_never_does() -> None:
    g, now = gate(sockets=128, max_per_address=1000), 0.0
    now = earn(g, FRIEND, now)
    busy = come(g, FLOOD, now)
    assert busy and ask(g, busy, now) is RejectionReason.NONE
    while come(g, FLOOD, now + 1):
        pass
    now += 5
    # A newcomer that has no seat yet takes one from whoever has many; a known one finds the reserve.
    newcomer = g.connect("203.0.113.5", now)
    assert newcomer.verdict is Verdict.WAIT and newcomer.evict and newcomer.evict.source.key == key_of(FLOOD)
    g.release_slot(newcomer.evict, now)
    assert g.reconsider(newcomer, now).verdict is Verdict.ADMIT
    while (seat := come(g, FRIEND, now)) is not None:
        assert seat.lane is PriorityLane.KNOWN
    evicted: list[ConnectionSlot] = []
    while (decision := g.connect(FRIEND, now)).evict:
        assert decision.evict is not busy and decision.evict.lane is PriorityLane.NEW
        evicted.append(decision.evict)
        g.release_slot(decision.evict, now)
        g.open_slot(g.reconsider(decision, now), now)
    assert evicted and g.connect(FRIEND, now).verdict is not Verdict.ADMIT
    assert busy.open == 1 and not busy.leaving


def test_operators_block_and_trust_and_a_reload_keeps_it() -> None:
    g = gate()
    idle, busy = come(g, FLOOD, 0.0), come(g, FLOOD, 0.0)
    assert idle and busy and ask(g, busy, 0.0) is RejectionReason.NONE
    assert g.block("198.51.100.0/24", 60.0, 1.0) == 1  # the busy one is answered first
    assert [seat for seat, _ in g.tick(1.0, 0.0).to_evict] == [idle]
    g.apply_limits(AdmissionLimits(max_per_address=3))
    assert g.connect(FLOOD, 2.0).reason is RejectionReason.BLOCKED
    g.request_closed(busy, 3.0, True)
    assert g.tick(3.0, 0.0).to_evict == [(busy, RejectionReason.BLOCKED)]
    assert g.connect(FLOOD, 61.0).verdict is Verdict.ADMIT  # it ends by itself
    assert g.unblock("198.51.100.0/24") and not g.unblock("198.51.100.0/24")
    g.trust("198.51.100.0/24")
    g.apply_limits(AdmissionLimits())
    seat = come(g, FLOOD, 62.0)
    assert seat and seat.lane is PriorityLane.LISTED
    for bad in ("198.51.100.9/24", "nonsense"):
        with pytest.raises(ValueError):
            g.block(bad, 1.0, 0.0)
        with pytest.raises(ValueError):
            g.trust(bad)


def test_lowered_caps_end_idle_seats_and_let_busy_ones_finish() -> None:
    g = gate(sockets=256)
    seats = [s for i in range(60) if (s := come(g, f"10.{i}.0.1", 0.0))]
    for seat in seats[:10]:
        assert ask(g, seat, 0.0) is RejectionReason.NONE
    g.descriptors.resize(64)
    found = g.tick(1.0, 0.0)
    assert len(found.to_evict) == 60 + 24 - 64 and not any(seat.open for seat, _ in found.to_evict)
    for seat, _ in found.to_evict:
        g.release_slot(seat, 1.0)
    assert not g.tick(2.0, 0.0).to_evict


# Requests and reads --------------------------------------------------------------------------------


def test_open_requests_of_one_source_leave_room_for_others() -> None:
    g = gate(max_open=100)
    now = earn(g, FRIEND, 0.0)
    flood, friend, other = come(g, FLOOD, now), come(g, FRIEND, now), come(g, "203.0.113.1", now)
    assert flood and friend and other
    taken = 0
    while ask(g, flood, now) is RejectionReason.NONE:
        taken += 1
    assert 25 <= taken <= 31  # half of what newcomers may have
    assert ask(g, other, now) is RejectionReason.NONE
    kept = 0
    while ask(g, friend, now) is RejectionReason.NONE:
        kept += 1
    assert kept >= 100 // 3 and g.open <= 100  # an even share of all at the least


def test_answers_that_a_source_leaves_unread_count_against_it_alone() -> None:
    g = gate()
    now = earn(g, FRIEND, 0.0)
    flood, friend = come(g, FLOOD, now), come(g, FRIEND, now)
    assert flood and friend and ask(g, flood, now) is RejectionReason.NONE
    g.add_unread_bytes(flood, 700_000)
    assert ask(g, flood, now) is RejectionReason.OVER_SHARE and ask(g, friend, now) is RejectionReason.NONE
    g.add_unread_bytes(flood, -700_000)
    assert ask(g, flood, now) is RejectionReason.NONE


def test_when_the_loop_is_late_whoever_uses_most_is_refused_first() -> None:
    g = gate()
    now = earn(g, FRIEND, 0.0)
    flood, friend = come(g, FLOOD, now), come(g, FRIEND, now)
    assert flood and friend
    for i in range(20_000):
        g.may_read(flood, now + i / 2000)
        g.tick(now + i / 2000, 0.0)
    now += 10.0
    g.tick(now, 0.06)
    assert ask(g, friend, now) is RejectionReason.NONE and ask(g, flood, now) is RejectionReason.LOOP_LAGGING


@given(
    flows=st.lists(st.integers(12, 40), min_size=1, max_size=8),
    lanes=st.lists(
        st.sampled_from([PriorityLane.KNOWN, PriorityLane.NEW, PriorityLane.LIMITED]), min_size=8, max_size=8
    ),
)
@effort(max_examples=60, deadline=None)
def test_no_source_starves_and_no_lane_overdraws(flows: list[int], lanes: list[PriorityLane]) -> None:
    read_queue, now = WeightedFairQueue(0.6, 0.3), 10.0
    seats = []
    for i, count in enumerate(flows):
        source = Source(key_of(f"10.{i}.0.1"))
        seats += [ConnectionSlot(source, lanes[i], 0.0) for _ in range(count)]
    read_queue.dispatch(now, 0.0)
    while any(read_queue.try_take(seat.lane) for seat in seats):
        pass  # until every account is empty
    for seat in seats:
        read_queue.enqueue(seat)
    got: Counter[int] = Counter()
    ticks = 400
    for _ in range(ticks):
        now += 0.01
        for seat in read_queue.dispatch(now, 0.0):
            got[seat.source.key] += 1
            read_queue.enqueue(seat)  # it wants more at once
    total = sum(got.values())
    assert total * REQUEST <= ticks * 0.01 * read_queue.rate + 0.2  # no more than there is
    assert total * REQUEST >= 0.5 * ticks * 0.01 * read_queue.rate  # nor is it wasted
    for chosen in (PriorityLane.KNOWN, PriorityLane.NEW, PriorityLane.LIMITED):
        mine = [got[key_of(f"10.{i}.0.1")] for i in range(len(flows)) if lanes[i] is chosen]
        # However many connections a source has, it gets as many turns as the others of its lane.
        assert not mine or (min(mine) > 0 and max(mine) <= 2 * min(mine) + 2)


def test_a_lane_that_asks_little_is_served_at_once_beside_one_that_floods() -> None:
    read_queue, now = WeightedFairQueue(0.6, 0.35), 0.0
    flood = [ConnectionSlot(Source(key_of(FLOOD)), PriorityLane.NEW, 0.0) for _ in range(100)]
    for seat in flood:
        read_queue.enqueue(seat)
    for i in range(300):
        now += 0.01
        for seat in read_queue.dispatch(now, 0.0):
            read_queue.enqueue(seat)
        if i > 5 and i % 10 == 0:
            assert read_queue.try_take(PriorityLane.KNOWN)


def test_late_loops_let_less_in_and_idle_ones_more() -> None:
    read_queue, now = WeightedFairQueue(0.6, 0.35), 0.0
    for _ in range(50):
        now += 0.01
        read_queue.dispatch(now, 2 * LATE)
    low = read_queue.rate
    for _ in range(100):
        now += 0.01
        read_queue.dispatch(now, 0.0)
    assert low < 0.2 < read_queue.rate


def test_costs_are_fitted_to_the_machine() -> None:
    read_queue = WeightedFairQueue(0.6, 0.35)
    for _ in range(40):
        read_queue.charge(PriorityLane.NEW, 0.2)
        read_queue.calibrate(0.4 * read_queue.pace / read_queue.pace)
    assert read_queue.pace == pytest.approx(2.0, rel=0.05)


def test_a_message_that_waits_too_long_ends_its_connection() -> None:
    g, now = gate(), 0.0
    seats = [s for _ in range(60) if (s := come(g, FLOOD, now))]
    waiting = [seat for seat in seats for _ in range(1) if not all(g.may_read(seat, now) for _ in range(60))]
    assert waiting
    g.read_queue.rate = 0.0
    found = g.tick(now + 2.5, 1.0)
    assert found.to_evict and all(why is RejectionReason.READ_TIMEOUT for _, why in found.to_evict)
    for seat in seats:
        g.release_slot(seat, now + 2.5)
    assert g.read_queue.waiting == 0 and not g.idle_slots and g.slots_by_lane == [0, 0, 0, 0]


def test_a_flood_that_is_served_a_part_of_what_it_asks_earns_nothing() -> None:
    g, now = gate(), 0.0
    seats = [s for _ in range(40) if (s := come(g, FLOOD, now))]
    asleep: set[ConnectionSlot] = set()
    for _ in range(1200):
        now += 0.01
        for seat in seats:
            while seat not in asleep:
                if not g.may_read(seat, now):
                    asleep.add(seat)
                elif ask(g, seat, now) is RejectionReason.NONE:
                    g.request_closed(seat, now, True)
        for seat in g.tick(now, 0.0).to_wake:  # its message is paid for, and it has the next one ready
            asleep.discard(seat)
            if ask(g, seat, now) is RejectionReason.NONE:
                g.request_closed(seat, now, True)
    source = g.sources.record(key_of(FLOOD), now)
    assert source.served > 1000 and g.lane_of(source, now) is not PriorityLane.KNOWN


# Descriptors ------------------------------------------------------------------------------------------


@given(
    total=st.integers(8, 2000),
    steps=st.lists(st.tuples(st.sampled_from(list(DescriptorUse)), st.booleans()), max_size=400),
    later=st.integers(8, 2000),
)
@effort(max_examples=80, deadline=None)
def test_descriptors_are_never_overdrawn(
    total: int, steps: list[tuple[DescriptorUse, bool]], later: int
) -> None:
    descriptors = DescriptorBudget(total, ELASTIC_POOLS)
    for use, take in steps:
        if take:
            descriptors.take(use)
        elif descriptors.pools[use].used:
            descriptors.give(use)
        assert descriptors.used <= max(total, 24)
        for other, pool in descriptors.pools.items():  # each is promised its floor, whatever the rest hold
            assert pool.used >= pool.floor or descriptors.room(other) > 0
    descriptors.resize(later)
    assert descriptors.over == max(0, descriptors.used - later)


# Other listeners ---------------------------------------------------------------------------------------


def test_visits_are_capped_by_address_and_given_back() -> None:
    g = gate()
    assert [g.open_connection(DescriptorUse.DNS, FLOOD, 0.0) for _ in range(9)][-2:] == [
        RejectionReason.NONE,
        RejectionReason.ADDRESS_CAP,
    ]
    assert g.open_connection(DescriptorUse.DNS, FRIEND, 0.0) is RejectionReason.NONE
    for _ in range(8):
        g.close_connection(DescriptorUse.DNS, FLOOD)
    assert (
        g.descriptors.pools[DescriptorUse.DNS].used == 1
        and g.open_connection(DescriptorUse.DNS, FLOOD, 1.0) is RejectionReason.NONE
    )


def test_datagrams_past_a_networks_rate_get_a_truncated_answer_now_and_then() -> None:
    g = gate()
    now = earn(g, FRIEND, 0.0)
    forged = Counter(g.judge_datagram(f"192.0.2.{i % 200 + 2}", now + i * 1e-5) for i in range(4000))
    assert forged[DatagramVerdict.ANSWER] <= g.limits.dns_burst + 10
    assert (
        0.3
        < forged[DatagramVerdict.TRUNCATED]
        / (forged[DatagramVerdict.TRUNCATED] + forged[DatagramVerdict.NOTHING])
        < 0.36
    )
    # What is forged in its network takes nothing from a known address.
    assert all(g.judge_datagram(FRIEND, now + 0.04) is DatagramVerdict.ANSWER for _ in range(100))


@given(
    st.lists(
        st.tuples(st.sampled_from(["come", "ask", "answer", "go", "look", "garble", "read"]),
                  st.integers(0, 30), st.floats(0, 0.3)),
        max_size=300,
    )
)  # fmt: skip
@effort(max_examples=60, deadline=None)
def test_whatever_comes_the_books_balance_and_the_known_are_let_in(
    steps: list[tuple[str, int, float]],
) -> None:
    g = gate(sockets=96, max_open=40, max_sources=64)
    now = earn(g, FRIEND, 0.0)
    seats: list[ConnectionSlot] = []
    for step, n, passed in steps:
        now += passed
        seat = seats[n % len(seats)] if seats else None
        if step == "come":
            new = come(g, f"10.{n}.0.1", now)
            seats += [new] if new else []
        elif step == "look":
            for gone, _ in g.tick(now, passed / 4).to_evict:
                assert not gone.open
                g.release_slot(gone, now)
                seats.remove(gone)
        elif seat is None:
            continue
        elif step == "read" and not seat.asked_at:
            g.may_read(seat, now)
        elif step == "ask":
            ask(g, seat, now)
        elif step == "answer" and seat.open:
            g.request_closed(seat, now, n % 2 == 0)
        elif step == "garble":
            g.record_offense(seat, Offense.MALFORMED, now)
        elif step == "go" and not seat.open:
            g.release_slot(seat, now)
            seats.remove(seat)
        assert sum(g.slots_by_lane) == len(seats) == g.descriptors.pools[DescriptorUse.CLIENTS].used
        assert sum(g.open_by_lane) == g.open == sum(s.open for s in seats) <= g.bounds.max_open
        newcomers = g.slots_by_lane[PriorityLane.NEW] + g.slots_by_lane[PriorityLane.LIMITED]
        assert newcomers <= g.descriptors.pools[DescriptorUse.CLIENTS].most
    friend = come(g, FRIEND, now)
    assert friend is not None and friend.lane is PriorityLane.KNOWN
    if g.open < g.bounds.max_open:
        assert ask(g, friend, now) is RejectionReason.NONE
