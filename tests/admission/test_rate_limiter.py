"""Rate limiting in a fixed amount of memory."""

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
def test_a_rate_is_never_exceeded_and_can_always_be_reached(
    rate: float, burst: int, steps: list[float]
) -> None:
    limiter, now, conforming = RateLimiter(3), 100.0, 0
    for step in steps:
        now += step
        conforming += limiter.conforms(42, now, 1 / rate, burst)
        assert conforming <= (now - 100.0) * rate + burst + 1 + 1e-6
    assert limiter.conforms(42, now + (burst + 1) / rate, 1 / rate, burst)


def test_a_flood_does_not_limit_other_addresses() -> None:
    limiter, now = RateLimiter(11), 5.0
    for _ in range(3000):  # exceeds its rate, so both of its cells hold times in the future
        limiter.conforms(key_of(FLOOD_HOST), now, 0.02, 100)
    other_keys = [key_of(f"10.0.{i >> 8}.{i & 255}") for i in range(2000)]
    assert sum(limiter.conforms(key, now, 0.02, 100) for key in other_keys) == 2000
