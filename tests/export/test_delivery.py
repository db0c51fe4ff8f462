"""Tests when a batch is sent, retried or dropped."""

from __future__ import annotations

import random
from email.utils import formatdate
from typing import Any

import pytest

from zincladder.export.delivery import Delivery, DeliveryRules, PushOutcome, PushResponse, parse_retry_after
from zincladder.export.push import parse_http_date


def new_delivery(**changes: Any) -> Delivery:
    return Delivery(DeliveryRules(**changes), random.Random(5))


@pytest.mark.parametrize(
    ("response", "outcome"),
    [
        (PushResponse(200), PushOutcome.SENT),
        (PushResponse(204, written_samples=7), PushOutcome.SENT),
        # The receiver has dropped one of the 7 samples and would drop it again, so there is no retry.
        (PushResponse(200, written_samples=6), PushOutcome.PARTIAL),
        (PushResponse(400), PushOutcome.REJECTED),
        (PushResponse(404), PushOutcome.REJECTED),
        (PushResponse(301), PushOutcome.REJECTED),
        (PushResponse(415), PushOutcome.FELL_BACK),
        (PushResponse(429), PushOutcome.RETRIED),
        (PushResponse(500), PushOutcome.RETRIED),
        (PushResponse(0), PushOutcome.RETRIED),
    ],
)
def test_each_response_leads_to_its_outcome(response: PushResponse, outcome: PushOutcome) -> None:
    delivery = new_delivery()
    assert delivery.record_response(response, 1000, 7, 100.0) is outcome
    assert (delivery.wait_seconds(100.0, 1) > 0) == (outcome is PushOutcome.RETRIED)
    if outcome is PushOutcome.FELL_BACK:
        assert (
            delivery.version == 1
            and delivery.record_response(response, 1000, 7, 100.0) is PushOutcome.REJECTED
        )


def test_the_backoff_grows_with_jitter_to_its_limit_and_a_success_resets_it() -> None:
    delivery, now, waits = new_delivery(), 0.0, []
    for _ in range(12):
        delivery.record_response(PushResponse(503), 10, 1, now)
        waits.append(delivery.wait_seconds(now, 1))
        now += waits[-1]
        assert delivery.wait_seconds(now, 1) == 0.0
    assert all(0.25 * 2.0**i <= p <= 0.5 * 2.0**i for i, p in enumerate(waits[:6]))
    assert all(15.0 <= p <= 30.0 for p in waits[7:]) and len(set(waits)) == 12
    delivery.record_response(PushResponse(200), 10, 1, now)
    delivery.record_response(PushResponse(503), 10, 1, now)
    assert delivery.wait_seconds(now, 1) <= 0.5


def test_retry_after_is_obeyed_up_to_a_limit() -> None:
    delivery = new_delivery()
    delivery.record_response(PushResponse(429, retry_after_seconds=20.0), 10, 1, 0.0)
    assert delivery.wait_seconds(0.0, 1) == 20.0
    delivery.record_response(PushResponse(503, retry_after_seconds=1e9), 10, 1, 20.0)
    assert delivery.wait_seconds(20.0, 1) == 300.0
    delivery.limit_waits_after_clock_step(-5000.0)
    assert delivery.wait_seconds(-5000.0, 1) <= 300.0
    date = formatdate(1_764_576_060, usegmt=True)
    assert parse_retry_after(date, 1_764_576_000.0, parse_http_date) == 60.0
    assert parse_retry_after(" 7 ", 0.0, parse_http_date) == 7.0
    assert [parse_retry_after(t, 0.0, parse_http_date) for t in ("soon", "", "-1", "9" * 30, "\u0663")] == [
        None
    ] * 5


def test_a_backlog_is_sent_at_the_replay_rate_and_a_single_batch_at_once() -> None:
    delivery, now, sent = new_delivery(replay_bytes_per_s=10_000), 0.0, 0
    while now < 10.0:
        wait = delivery.wait_seconds(now, 50)
        if wait == 0.0:
            delivery.record_response(PushResponse(200), 1000, 1, now)
            sent += 1
        now += wait
    assert 99 <= sent <= 102
    assert delivery.wait_seconds(now, 1) == 0.0
