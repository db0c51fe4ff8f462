"""Reputation, strikes and penalties of sources."""

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


def test_connecting_above_the_rate_leads_to_penalties_that_grow_and_expire() -> None:
    admission = source_admission(sockets=2048)
    penalties: list[float] = []
    now = 0.0
    for _ in range(3):
        while lane_of(admission, FLOOD_HOST, now) is not PriorityLane.LIMITED:
            now += 0.001
            slot = admit(admission, FLOOD_HOST, now)
            if slot:
                admission.release_slot(slot, now)
        penalties.append(admission.sources.find_or_create(key_of(FLOOD_HOST), now).penalty_until - now)
        # A limited source is not banned: a few of its connections are still admitted.
        limited = [admit(admission, FLOOD_HOST, now + i * 0.3) for i in range(3)]
        assert any(limited)
        for slot in filter(None, limited):
            admission.release_slot(slot, now + 1)
        now += penalties[-1] + 0.01
        assert lane_of(admission, FLOOD_HOST, now) is PriorityLane.NEW
    assert penalties[0] < penalties[1] < penalties[2] and penalties[0] == pytest.approx(
        admission.limits.penalty_seconds, rel=0.2
    )


def test_an_address_shared_by_many_users_is_not_limited_when_a_few_misbehave() -> None:
    # The users of a terminal, for example, share one address, and among many users a few always misbehave.
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


def test_a_flood_whose_requests_are_partly_served_does_not_become_known() -> None:
    admission, now = source_admission(), 0.0
    slots = [s for _ in range(40) if (s := admit(admission, FLOOD_HOST, now))]
    waiting_slots: set[ConnectionSlot] = set()
    for _ in range(1200):
        now += 0.01
        for slot in slots:
            while slot not in waiting_slots:
                if not admission.may_read(slot, now):
                    waiting_slots.add(slot)
                elif open_request(admission, slot, now) is RejectionReason.NONE:
                    admission.request_closed(slot, now, True)
        # The waiting message of each of these slots has been charged already. Its client sends the next one
        # as soon as it is answered.
        for slot in admission.tick(now, 0.0).to_read:
            waiting_slots.discard(slot)
            if open_request(admission, slot, now) is RejectionReason.NONE:
                admission.request_closed(slot, now, True)
    source = admission.sources.find_or_create(key_of(FLOOD_HOST), now)
    assert source.served > 1000 and admission.lane_of(source, now) is not PriorityLane.KNOWN
