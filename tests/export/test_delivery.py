"""When a batch is sent, again or not at all."""

from __future__ import annotations

import random
from email.utils import formatdate
from typing import Any

import pytest

from zincladder.export.delivery import Delivery, DeliveryRules, PushOutcome, PushResponse, parse_retry_after
from zincladder.export.push import parse_http_date


def delivery(**changes: Any) -> Delivery:
    return Delivery(DeliveryRules(**changes), random.Random(5))


@pytest.mark.parametrize(
    ("response", "outcome"),
    [
        (PushResponse(200), PushOutcome.SENT),
        (PushResponse(204, written_samples=7), PushOutcome.SENT),
        (
            PushResponse(200, written_samples=6),
            PushOutcome.PARTIAL,
        ),  # the rest was dropped there; sending it again would not help
        (PushResponse(400), PushOutcome.REJECTED),
        (PushResponse(404), PushOutcome.REJECTED),
        (PushResponse(301), PushOutcome.REJECTED),
        (PushResponse(415), PushOutcome.FELL_BACK),
        (PushResponse(429), PushOutcome.RETRIED),
        (PushResponse(500), PushOutcome.RETRIED),
        (PushResponse(0), PushOutcome.RETRIED),
    ],
)
def test_what_follows_from_each_answer(response: PushResponse, outcome: PushOutcome) -> None:
    d = delivery()
    assert d.record_response(response, 1000, 7, 100.0) is outcome
    assert (d.wait_seconds(100.0, 1) > 0) == (outcome is PushOutcome.RETRIED)
    if outcome is PushOutcome.FELL_BACK:
        assert d.version == 1 and d.record_response(response, 1000, 7, 100.0) is PushOutcome.REJECTED


def test_pauses_grow_with_jitter_to_their_bound_and_one_success_ends_them() -> None:
    d, now, pauses = delivery(), 0.0, []
    for _ in range(12):
        d.record_response(PushResponse(503), 10, 1, now)
        pauses.append(d.wait_seconds(now, 1))
        now += pauses[-1]
        assert d.wait_seconds(now, 1) == 0.0
    assert all(0.25 * 2.0**i <= p <= 0.5 * 2.0**i for i, p in enumerate(pauses[:6]))
    assert all(15.0 <= p <= 30.0 for p in pauses[7:]) and len(set(pauses)) == 12
    d.record_response(PushResponse(200), 10, 1, now)
    d.record_response(PushResponse(503), 10, 1, now)
    assert d.wait_seconds(now, 1) <= 0.5


def test_a_time_that_the_receiver_names_is_kept_up_to_a_bound() -> None:
    d = delivery()
    d.record_response(PushResponse(429, retry_after_seconds=20.0), 10, 1, 0.0)
    assert d.wait_seconds(0.0, 1) == 20.0
    d.record_response(PushResponse(503, retry_after_seconds=1e9), 10, 1, 20.0)
    assert d.wait_seconds(20.0, 1) == 300.0
    d.clock_stepped_back(-5000.0)
    assert d.wait_seconds(-5000.0, 1) <= 300.0
    date = formatdate(1_764_576_060, usegmt=True)
    assert parse_retry_after(date, 1_764_576_000.0, parse_http_date) == 60.0
    assert parse_retry_after(" 7 ", 0.0, parse_http_date) == 7.0
    assert [parse_retry_after(t, 0.0, parse_http_date) for t in ("soon", "", "-1", "9" * 30, "\u0663")] == [
        None
    ] * 5


def test_a_backlog_is_replayed_at_a_rate_and_a_fresh_batch_at_once() -> None:
    d, now, sent = delivery(replay_bytes_per_s=10_000), 0.0, 0
    while now < 10.0:
        pause = d.wait_seconds(now, 50)
        if pause == 0.0:
            d.record_response(PushResponse(200), 1000, 1, now)
            sent += 1
        now += pause
    assert 99 <= sent <= 102
    assert d.wait_seconds(now, 1) == 0.0
