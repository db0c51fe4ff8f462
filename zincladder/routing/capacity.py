"""What is judged where it is not told: the cores of a cache and the sending times of classes. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

BUSY_BOUNDS = (0.25, 0.8)  # how busy a cache must be for its report to tell its cores
REPORTS_LEAST = 3  # before they are gone by: one alone is noise
STEP_UP, STEP_DOWN = 0.02, 0.1  # weight of a report that tells of more cores, and of fewer: rather too few
RECENT = 0.02  # weight of the newest request in running means of sending times


class CoresEstimate:
    """The transfers that one cache of the location sends at full pace: a running mean over all its caches."""

    def __init__(self) -> None:
        self.value = 1.0
        self._reports = 0

    def told(self, busy: float, held: float) -> None:
        """Counts one report: `busy` is the share of the cores in use, `held` the requests that it holds."""
        if not BUSY_BOUNDS[0] <= busy <= BUSY_BOUNDS[1]:
            return
        self._reports += 1
        cores = held / busy
        step = STEP_DOWN if cores < self.value else STEP_UP
        step = max(step, 1 / self._reports)  # the first weigh alike: a slow start refused much of a calm day
        self.value = max(1.0, self.value + step * (cores - self.value))

    def is_known(self) -> bool:
        """Whether enough has been told."""
        return self._reports >= REPORTS_LEAST


@dataclass(slots=True)
class WorkEstimate:
    """The mean sending time of one class, in seconds; 0 until something tells of it."""

    mean: float = 0.0
    _timed: int = 0

    def sized(self, work: float) -> float:
        """Counts a request whose size tells its sending time; gives that time."""
        self.mean = self.mean + (work - self.mean) * RECENT if self.mean else work
        return work

    def unsized(self, latency_objective: float) -> float:
        """The sending time of a request whose size is not told; the base aim stands until hits were timed."""
        self.mean = self.mean or latency_objective
        return self.mean

    def timed(self, latency: float) -> None:
        """Counts a hit of unknown size. Without it no link would be spared where sizes are not told."""
        self._timed += 1
        self.mean += (latency - self.mean) * max(RECENT, 1 / self._timed)
