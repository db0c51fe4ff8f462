"""What is estimated where it is not announced."""

from __future__ import annotations

from tests.support.routing import NOT_ANNOUNCED, Driver, driver_without_sizes_and_weights


def test_transfer_times_are_learned_from_hits_where_sizes_are_not_announced() -> None:
    # With transfer times of 0 nothing would be rejected, and slow start would admit whatever comes.
    driver = Driver(**NOT_ANNOUNCED)
    driver.request(1, kb=0.0)
    assert (
        driver.router.pending[1].transfer_seconds == 0.5
    )  # the latency objective of the class, until a hit was timed
    driver = driver_without_sizes_and_weights()
    driver.request(1, kb=0.0)
    assert abs(driver.router.pending[1].transfer_seconds - 0.1) < 0.01
