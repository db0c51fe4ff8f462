"""Which connections get a slot, and which idle connection is evicted for a new one."""

from __future__ import annotations

from tests.support.admission import (
    FLOOD_HOST,
    KNOWN_HOST,
    admit,
    become_known,
    lane_of,
    open_request,
    source_admission,
)
from zincladder.admission.descriptor_budget import DescriptorUse
from zincladder.admission.model import (
    ConnectionSlot,
    ListedNetwork,
    Offense,
    PriorityLane,
    RejectionReason,
    Verdict,
)
from zincladder.admission.source_key import key_of


def test_one_address_gets_its_cap_and_the_reserve_stays_for_known_sources() -> None:
    admission = source_admission()
    now = become_known(admission, KNOWN_HOST, 0.0)
    slots = [admission.open_slot(admission.connect(FLOOD_HOST, now), now)]
    for _ in range(300):
        decision = admission.connect(FLOOD_HOST, now + 1)
        if decision.verdict is Verdict.ADMIT:
            slots.append(admission.open_slot(decision, now + 1))
    assert len(slots) <= admission.limits.max_per_address
    for i in range(200):  # many addresses together do not use up the reserve either
        admit(admission, f"10.{i}.0.1", now + 1)
    pool = admission.descriptors.pools[DescriptorUse.CLIENTS]
    assert admission.slots_by_lane[PriorityLane.NEW] <= pool.max_used * (1 - admission.limits.reserve)
    known_slots = [
        admit(admission, KNOWN_HOST, now + 1)
        for _ in range(int(pool.max_used * admission.limits.reserve) - 1)
    ]
    assert all(known_slots) and all(slot and slot.lane is PriorityLane.KNOWN for slot in known_slots)


def test_the_connections_of_a_network_are_capped() -> None:
    admission = source_admission(sockets=2048)
    admitted = [admit(admission, f"198.51.100.{i % 250}", i * 0.01) for i in range(400)]
    assert sum(slot is not None for slot in admitted) == admission.limits.max_per_network
    assert admit(admission, "203.0.113.1", 5.0)


def test_listed_networks_have_their_own_caps_and_get_no_penalty() -> None:
    admission = source_admission(networks=(ListedNetwork("192.0.2.0/24", connections=3),))
    slots = [admit(admission, KNOWN_HOST, 0.0) for _ in range(5)]
    assert [bool(s) for s in slots] == [True] * 3 + [False] * 2
    assert slots[0] and slots[0].lane is PriorityLane.LISTED
    for _ in range(100):
        admission.record_offense(slots[0], Offense.MALFORMED, 0.1)
    assert lane_of(admission, KNOWN_HOST, 0.2) is PriorityLane.LISTED


def test_higher_lanes_are_evicted_first_and_slots_with_an_open_request_never() -> None:
    admission, now = source_admission(sockets=128, max_per_address=1000), 0.0
    now = become_known(admission, KNOWN_HOST, now)
    busy = admit(admission, FLOOD_HOST, now)
    assert busy and open_request(admission, busy, now) is RejectionReason.NONE
    while admit(admission, FLOOD_HOST, now + 1):
        pass
    now += 5
    # For a new source without a slot, one is evicted from the source with many; a known source gets the
    # reserved slots.
    pending = admission.connect("203.0.113.5", now)
    assert (
        pending.verdict is Verdict.WAIT and pending.evict and pending.evict.source.key == key_of(FLOOD_HOST)
    )
    admission.release_slot(pending.evict, now)
    assert admission.reconsider(pending, now).verdict is Verdict.ADMIT
    while (slot := admit(admission, KNOWN_HOST, now)) is not None:
        assert slot.lane is PriorityLane.KNOWN
    evicted: list[ConnectionSlot] = []
    while (decision := admission.connect(KNOWN_HOST, now)).evict:
        assert decision.evict is not busy and decision.evict.lane is PriorityLane.NEW
        evicted.append(decision.evict)
        admission.release_slot(decision.evict, now)
        admission.open_slot(admission.reconsider(decision, now), now)
    assert evicted and admission.connect(KNOWN_HOST, now).verdict is not Verdict.ADMIT
    assert busy.open_requests == 1 and not busy.evicting


def test_a_lowered_descriptor_limit_evicts_idle_slots_and_lets_busy_ones_finish() -> None:
    admission = source_admission(sockets=256)
    slots = [s for i in range(60) if (s := admit(admission, f"10.{i}.0.1", 0.0))]
    for slot in slots[:10]:
        assert open_request(admission, slot, 0.0) is RejectionReason.NONE
    admission.descriptors.resize(64)
    result = admission.tick(1.0, 0.0)
    assert len(result.to_evict) == 60 + 24 - 64 and not any(slot.open_requests for slot, _ in result.to_evict)
    for slot, _ in result.to_evict:
        admission.release_slot(slot, 1.0)
    assert not admission.tick(2.0, 0.0).to_evict
