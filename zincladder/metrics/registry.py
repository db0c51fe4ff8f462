"""The registry of a front's metrics, which reads its samples off the front's parts when it is asked."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping

from zincladder.admission.interface import Admission
from zincladder.admission.model import PriorityLane
from zincladder.admission.source_admission import SourceAdmission
from zincladder.core.engine import Core
from zincladder.metrics.exposition import Sample, exposition
from zincladder.metrics.front_metrics import (
    ADMISSION_COUNTERS,
    ADMISSION_GAUGES,
    CACHE_METRICS,
    CLASS_METRICS,
    COUNTERS,
    FORWARDS,
    GAUGES,
    METRICS,
    PENALTIES,
    POLICY_METRICS,
    TASK_METRICS,
)

Figures = Callable[[], Mapping[str, float]]


def one_process() -> int:
    """The number of processes of a front that is not upgraded."""
    return 1


class Registry:
    """All samples of one front."""

    def __init__(
        self,
        core: Core,
        front_name: str,
        is_watch_connected: Callable[[], bool],
        admission: Admission,
        process_count: Callable[[], int] = one_process,
        policy_figures: Figures = dict,
        task_figures: Figures = dict,
    ) -> None:
        """Make the registry of one front.

        Args:
            core: Counts requests and attempts.
            front_name: The value of the label `front` of every sample.
            is_watch_connected: Whether the coordinator is followed.
            admission: Counts connections and descriptors.
            process_count: How many processes of the front there are: 2 during an upgrade.
            policy_figures: The values of POLICY_METRICS by key; none where there is no fleet policy.
            task_figures: The values of TASK_METRICS by key; none where there are no singleton tasks.
        """
        self._core = core
        self._front = ("front", front_name)
        self._is_watch_connected = is_watch_connected
        self._admission = admission
        self._process_count = process_count
        self._policy_figures = policy_figures
        self._task_figures = task_figures

    def samples(self) -> Iterator[Sample]:
        """The samples of this moment. A caller may let the front run between two of them."""
        front = self._front
        for (group, key), count in sorted(self._core.counts.items()):
            if group in COUNTERS:
                metric = COUNTERS[group]
                yield metric.sample(count, front, (metric.label, key))
        for key, value in self._gauge_values().items():
            yield GAUGES[key].sample(value, front)
        yield FORWARDS.sample(self._core.statistics.forwarded, front)
        for key, figure in self._policy_figures().items():
            yield POLICY_METRICS[key].sample(figure, front)
        for key, figure in self._task_figures().items():
            yield TASK_METRICS[key].sample(figure, front)
        yield from self._admission_counters()
        yield from self._admission_gauges()
        yield from self._class_samples()
        yield from self._cache_samples()

    def _gauge_values(self) -> dict[str, int]:
        endpoint_list = self._core.endpoint_list
        return {
            "open": len(self._core.open_requests),
            "members": len(endpoint_list.endpoints),
            "ready": endpoint_list.ready_count(),
            "avoided": self._core.ejected_count(),
            "processes": self._process_count(),
            "feed": self._is_watch_connected(),
        }

    def _class_samples(self) -> Iterator[Sample]:
        statistics = self._core.statistics
        for (request_class, kind), count in sorted(statistics.answers.items()):
            labels = (("class", request_class), ("kind", kind))
            yield CLASS_METRICS["answers"].sample(count, self._front, *labels)
        for request_class, count in sorted(statistics.attempts.items()):
            yield CLASS_METRICS["attempts"].sample(count, self._front, ("class", request_class))

    def _cache_samples(self) -> Iterator[Sample]:
        statistics, now = self._core.statistics, self._core.clock.now()
        for endpoint, figures in list(statistics.endpoints.items()):
            labels = (self._front, ("cache", endpoint.decode("latin-1")))
            for key, counts in (("attempts", figures.attempts), ("probes", figures.health_checks)):
                metric = CACHE_METRICS[key]
                for reason, count in sorted(counts.items()):
                    yield metric.sample(count, *labels, (metric.label, reason))
            yield CACHE_METRICS["probe_seconds"].sample(round(figures.health_check_seconds, 4), *labels)
            yield CACHE_METRICS["open"].sample(figures.in_flight, *labels)
            if endpoint in statistics.endpoints:  # it may have gone while the caller let the front run
                silent_seconds = statistics.silent_seconds(endpoint, now)
                yield CACHE_METRICS["silent"].sample(round(silent_seconds, 3), *labels)
            if figures.reported_at is not None:
                report_age_seconds = max(0.0, now - figures.reported_at)
                yield CACHE_METRICS["report_age"].sample(round(report_age_seconds, 3), *labels)

    def _admission_counters(self) -> Iterator[Sample]:
        counters = self._admission.counters
        counts_by_lane = {
            "admitted": counters.admitted,
            "evicted": counters.evicted,
            "waits": counters.waits,
        }
        for key, counts in counts_by_lane.items():
            metric = ADMISSION_COUNTERS[key]
            for lane, count in zip(PriorityLane, counts, strict=True):
                yield metric.sample(count, self._front, (metric.label, lane.name.lower()))
        counts_by_reason = {
            "turned": counters.rejected_connections,
            "refused": counters.rejected_requests,
        }
        for key, reasons in counts_by_reason.items():
            metric = ADMISSION_COUNTERS[key]
            for reason, count in sorted(reasons.items()):
                yield metric.sample(count, self._front, (metric.label, reason))
        yield PENALTIES.sample(counters.penalties, self._front)

    def _admission_gauges(self) -> Iterator[Sample]:
        admission, front = self._admission, self._front
        metric = ADMISSION_GAUGES["descriptors"]
        for use, pool in admission.descriptors.pools.items():
            yield metric.sample(pool.used, front, (metric.label, use.value))
        yield ADMISSION_GAUGES["limit"].sample(admission.descriptors.total, front)
        lag_seconds = self._core.loop_monitor.lag_seconds
        yield ADMISSION_GAUGES["behind"].sample(round(lag_seconds, 4), front)
        if not isinstance(admission, SourceAdmission):
            return
        metric = ADMISSION_GAUGES["seats"]
        for lane, count in zip(PriorityLane, admission.slots_by_lane, strict=True):
            yield metric.sample(count, front, (metric.label, lane.name.lower()))
        yield ADMISSION_GAUGES["sources"].sample(len(admission.sources), front)
        yield ADMISSION_GAUGES["waiting"].sample(admission.read_queue.waiting, front)
        yield ADMISSION_GAUGES["rate"].sample(admission.read_queue.rate, front)

    def text(self) -> str:
        """The samples of this moment in the text format of Prometheus."""
        return exposition(self.samples(), METRICS)
