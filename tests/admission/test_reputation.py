"""What sources earn and lose."""

from __future__ import annotations

import pytest

from tests.support.admission import (
    FLOOD_HOST,
    KNOWN_HOST,
    admit,
    become_known,
    lane_of,
    open_request,
    source_admission,
)
from zincladder.admission.model import ConnectionSlot, Offense, PriorityLane, RejectionReason
from zincladder.admission.source_key import key_of


def test_connecting_past_the_rate_brings_a_penalty_that_grows_and_ends() -> None:
    admission = source_admission(sockets=2048)
    times: list[float] = []
    now = 0.0
    for _ in range(3):
        while lane_of(admission, FLOOD_HOST, now) is not PriorityLane.LIMITED:
            now += 0.001
            slot = admit(admission, FLOOD_HOST, now)
            if slot:
                admission.release_slot(slot, now)
        times.append(admission.sources.obtain(key_of(FLOOD_HOST), now).penalty_until - now)
        # Limited is not banned: a few connections are still taken.
        limited = [admit(admission, FLOOD_HOST, now + i * 0.3) for i in range(3)]
        assert any(limited)
        for slot in filter(None, limited):
            admission.release_slot(slot, now + 1)
        now += times[-1] + 0.01
        assert lane_of(admission, FLOOD_HOST, now) is PriorityLane.NEW
    assert times[0] < times[1] < times[2] and times[0] == pytest.approx(
        admission.limits.penalty_seconds, rel=0.2
    )


def test_a_large_gateway_with_a_few_bad_users_is_not_limited() -> None:
    # guards a terminal behind one address: of many users some always misbehave
    admission, now = source_admission(sockets=1024), become_known(source_admission(), KNOWN_HOST, 0.0)
    slot = admit(admission, KNOWN_HOST, now)
    assert slot
    for i in range(3000):
        now += 0.01
        assert open_request(admission, slot, now) is RejectionReason.NONE
        admission.request_closed(slot, now, True)
        if i % 50 == 0:
            admission.record_offense(slot, Offense.MALFORMED, now)
    assert lane_of(admission, KNOWN_HOST, now) is PriorityLane.KNOWN


def test_a_flood_that_is_served_a_part_of_what_it_asks_earns_nothing() -> None:
    admission, now = source_admission(), 0.0
    slots = [s for _ in range(40) if (s := admit(admission, FLOOD_HOST, now))]
    asleep: set[ConnectionSlot] = set()
    for _ in range(1200):
        now += 0.01
        for slot in slots:
            while slot not in asleep:
                if not admission.may_read(slot, now):
                    asleep.add(slot)
                elif open_request(admission, slot, now) is RejectionReason.NONE:
                    admission.request_closed(slot, now, True)
        for slot in admission.tick(
            now, 0.0
        ).to_wake:  # its message is paid for, and it has the next one ready
            asleep.discard(slot)
            if open_request(admission, slot, now) is RejectionReason.NONE:
                admission.request_closed(slot, now, True)
    source = admission.sources.obtain(key_of(FLOOD_HOST), now)
    assert source.served > 1000 and admission.lane_of(source, now) is not PriorityLane.KNOWN
