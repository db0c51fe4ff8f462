"""Estimates of values that are not announced."""

from __future__ import annotations

from tests.support.routing import WITHOUT_SIZES_AND_WEIGHTS, Driver, driver_without_sizes_and_weights


def test_transfer_times_are_estimated_from_hits_if_sizes_are_not_announced() -> None:
    # With transfer times of 0 no load would be shed, and slow start would admit every request.
    driver = Driver(**WITHOUT_SIZES_AND_WEIGHTS)
    driver.request(1, kb=0.0)
    # Until a hit was timed, the estimate is the latency objective of the class.
    assert driver.router.pending[1].transfer_seconds == 0.5
    driver = driver_without_sizes_and_weights()
    driver.request(1, kb=0.0)
    assert abs(driver.router.pending[1].transfer_seconds - 0.1) < 0.01
