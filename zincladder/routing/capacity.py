"""Estimates of values that are not announced: cores of a cache, transfer times of classes. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

MIN_BUSY_SHARE, MAX_BUSY_SHARE = 0.25, 0.8  # load reports with fewer or more cores in use are ignored
MIN_REPORTS = 3  # the estimate is unknown before: a single report is noise
# Weights of a report of more cores than estimated, and of fewer; the estimate is biased low on purpose.
INCREASE_EWMA_WEIGHT, DECREASE_EWMA_WEIGHT = 0.02, 0.1
TRANSFER_TIME_EWMA_WEIGHT = 0.02


class CoresEstimate:
    """The number of transfers that one cache can send at the same time, each at the client's full rate.

    The estimate is a moving average over the load reports of all caches of the location.
    """

    def __init__(self) -> None:
        self.cores = 1.0
        self._reports = 0

    def record_report(self, busy: float, in_flight: float) -> None:
        """Counts one load report: the share of cores in use, and the requests that the cache is serving."""
        if not MIN_BUSY_SHARE <= busy <= MAX_BUSY_SHARE:
            return
        self._reports += 1
        cores = in_flight / busy
        weight = DECREASE_EWMA_WEIGHT if cores < self.cores else INCREASE_EWMA_WEIGHT
        weight = max(weight, 1 / self._reports)  # the first reports are weighted equally
        self.cores = max(1.0, self.cores + weight * (cores - self.cores))

    def is_known(self) -> bool:
        """Whether there were enough reports for an estimate."""
        return self._reports >= MIN_REPORTS


@dataclass(slots=True)
class TransferTimeEstimate:
    """The mean transfer time of one class, in seconds; 0 while it is not known."""

    mean_seconds: float = 0.0
    _hits_timed: int = 0

    def record_sized(self, seconds: float) -> None:
        """Counts a request of known size, which takes `seconds` to transfer."""
        mean = self.mean_seconds
        self.mean_seconds = mean + (seconds - mean) * TRANSFER_TIME_EWMA_WEIGHT if mean else seconds

    def expect_unsized(self, latency_objective: float) -> float:
        """Returns the seconds expected for a request of unknown size: the objective until a hit was timed."""
        self.mean_seconds = self.mean_seconds or latency_objective
        return self.mean_seconds

    def record_hit(self, latency: float) -> None:
        """Counts a hit of unknown size; `latency` is in seconds.

        Without it no load would be shed for a busy link if sizes are not announced.
        """
        self._hits_timed += 1
        weight = max(TRANSFER_TIME_EWMA_WEIGHT, 1 / self._hits_timed)
        self.mean_seconds += (latency - self.mean_seconds) * weight
