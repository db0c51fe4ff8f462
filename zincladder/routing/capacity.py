"""Estimates of what is not announced: the cores of a cache and the transfer times of classes. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

MIN_BUSY, MAX_BUSY = 0.25, 0.8  # share of its cores in use for which a cache's load report counts
MIN_REPORTS = 3  # before the estimate is used: a single report is noise
# Weights of a report of more cores than estimated, and of fewer: the estimate errs on the low side.
INCREASE_EWMA_WEIGHT, DECREASE_EWMA_WEIGHT = 0.02, 0.1
TRANSFER_TIME_EWMA_WEIGHT = 0.02


class CoresEstimate:
    """The transfers that a cache of the location sends at full pace: a moving average over all its caches."""

    def __init__(self) -> None:
        self.cores = 1.0
        self._reports = 0

    def record_report(self, busy: float, in_flight: float) -> None:
        """Counts one load report: the share of the cores in use, and the requests that the cache works on."""
        if not MIN_BUSY <= busy <= MAX_BUSY:
            return
        self._reports += 1
        cores = in_flight / busy
        weight = DECREASE_EWMA_WEIGHT if cores < self.cores else INCREASE_EWMA_WEIGHT
        weight = max(weight, 1 / self._reports)  # the first reports count alike
        self.cores = max(1.0, self.cores + weight * (cores - self.cores))

    def is_known(self) -> bool:
        """Whether there were enough reports to go by."""
        return self._reports >= MIN_REPORTS


@dataclass(slots=True)
class TransferTimeEstimate:
    """The mean transfer time of one class, in seconds; 0 while it is not known."""

    mean_seconds: float = 0.0
    _hits_timed: int = 0

    def record_sized(self, seconds: float) -> None:
        """Counts a request of known size."""
        mean = self.mean_seconds
        self.mean_seconds = mean + (seconds - mean) * TRANSFER_TIME_EWMA_WEIGHT if mean else seconds

    def expect_unsized(self, latency_objective: float) -> float:
        """The transfer time of a request of unknown size: the objective in seconds, until hits were timed."""
        self.mean_seconds = self.mean_seconds or latency_objective
        return self.mean_seconds

    def record_hit(self, latency: float) -> None:
        """Counts a hit of unknown size, in seconds.

        Without it no link would be spared where sizes are not announced.
        """
        self._hits_timed += 1
        weight = max(TRANSFER_TIME_EWMA_WEIGHT, 1 / self._hits_timed)
        self.mean_seconds += (latency - self.mean_seconds) * weight
