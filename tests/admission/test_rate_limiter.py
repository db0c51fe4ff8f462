"""Rates in bounded memory."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from tests.support.admission import FLOOD_HOST
from zincladder.admission.rate_limiter import RateLimiter
from zincladder.admission.source_key import key_of


@given(
    rate=st.floats(1, 1000),
    burst=st.integers(1, 50),
    steps=st.lists(st.floats(0, 0.5), min_size=1, max_size=300),
)
@hypothesis_settings(max_examples=60, deadline=None)
def test_a_rate_is_never_exceeded_and_always_reached(rate: float, burst: int, steps: list[float]) -> None:
    sketch, now, passed = RateLimiter(3), 100.0, 0
    for step in steps:
        now += step
        passed += sketch.conforms(42, now, 1 / rate, burst)
        assert passed <= (now - 100.0) * rate + burst + 1 + 1e-6
    assert sketch.conforms(42, now + (burst + 1) / rate, 1 / rate, burst)


def test_a_flood_takes_nothing_from_the_rate_of_other_addresses() -> None:
    sketch, now = RateLimiter(11), 5.0
    for _ in range(3000):  # over its rate, and so ahead of the clock in both its cells
        sketch.conforms(key_of(FLOOD_HOST), now, 0.02, 100)
    innocent = [key_of(f"10.0.{i >> 8}.{i & 255}") for i in range(2000)]
    assert sum(sketch.conforms(key, now, 0.02, 100) for key in innocent) == 2000
