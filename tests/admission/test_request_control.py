"""Which requests may be opened."""

from __future__ import annotations

from tests.support.admission import (
    FLOOD_HOST,
    KNOWN_HOST,
    admit,
    become_known,
    open_request,
    source_admission,
)
from zincladder.admission.model import RejectionReason


def test_the_open_requests_of_one_source_leave_capacity_for_others() -> None:
    admission = source_admission(max_open=100)
    now = become_known(admission, KNOWN_HOST, 0.0)
    flood, known, other = (
        admit(admission, FLOOD_HOST, now),
        admit(admission, KNOWN_HOST, now),
        admit(admission, "203.0.113.1", now),
    )
    assert flood and known and other
    flood_opened = 0
    while open_request(admission, flood, now) is RejectionReason.NONE:
        flood_opened += 1
    assert 25 <= flood_opened <= 31  # half of the requests that new sources may have open
    assert open_request(admission, other, now) is RejectionReason.NONE
    known_opened = 0
    while open_request(admission, known, now) is RejectionReason.NONE:
        known_opened += 1
    assert known_opened >= 100 // 3 and admission.open_requests <= 100  # at least an equal share


def test_unread_answers_of_a_source_cause_rejections_of_that_source_only() -> None:
    admission = source_admission()
    now = become_known(admission, KNOWN_HOST, 0.0)
    flood, known = admit(admission, FLOOD_HOST, now), admit(admission, KNOWN_HOST, now)
    assert flood and known and open_request(admission, flood, now) is RejectionReason.NONE
    admission.add_unread_bytes(flood, 700_000)
    assert (
        open_request(admission, flood, now) is RejectionReason.OVER_SHARE
        and open_request(admission, known, now) is RejectionReason.NONE
    )
    admission.add_unread_bytes(flood, -700_000)
    assert open_request(admission, flood, now) is RejectionReason.NONE


def test_while_the_loop_lags_the_source_with_the_most_loop_time_is_rejected() -> None:
    admission = source_admission()
    now = become_known(admission, KNOWN_HOST, 0.0)
    flood, known = admit(admission, FLOOD_HOST, now), admit(admission, KNOWN_HOST, now)
    assert flood and known
    for i in range(20_000):
        admission.may_read(flood, now + i / 2000)
        admission.tick(now + i / 2000, 0.0)
    now += 10.0
    admission.tick(now, 0.06)
    assert (
        open_request(admission, known, now) is RejectionReason.NONE
        and open_request(admission, flood, now) is RejectionReason.LOOP_LAGGING
    )
