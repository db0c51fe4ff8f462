"""The registry of a front's metrics; it reads the samples from the front's parts on request."""

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

ReadValues = Callable[[], Mapping[str, float]]


def single_process() -> int:
    """Returns the number of processes of a front that is not being upgraded."""
    return 1


class Registry:
    """Provides all samples of one front."""

    def __init__(
        self,
        core: Core,
        front_name: str,
        is_watch_connected: Callable[[], bool],
        admission: Admission,
        process_count: Callable[[], int] = single_process,
        policy_values: ReadValues = dict,
        task_values: ReadValues = dict,
    ) -> None:
        """Creates the registry of one front.

        Args:
            core: Provides the counts of requests and attempts.
            front_name: The value of the label `front` of every sample.
            is_watch_connected: Returns whether the front is connected to the coordinator.
            admission: Provides the counts of connections and descriptors.
            process_count: Returns the number of processes of the front, which is 2 during an upgrade.
            policy_values: Returns the values of POLICY_METRICS by key; none if there is no fleet policy.
            task_values: Returns the values of TASK_METRICS by key; none if there are no singleton tasks.
        """
        self._core = core
        self._front_label = ("front", front_name)
        self._is_watch_connected = is_watch_connected
        self._admission = admission
        self._process_count = process_count
        self._read_policy_values = policy_values
        self._read_task_values = task_values

    def samples(self) -> Iterator[Sample]:
        """Yields the current samples. A caller may let the event loop run between two of them."""
        front_label = self._front_label
        for (group, key), count in sorted(self._core.counts.items()):
            if group in COUNTERS:
                metric = COUNTERS[group]
                yield metric.sample(count, front_label, (metric.label, key))
        for key, value in self._gauge_values().items():
            yield GAUGES[key].sample(value, front_label)
        yield FORWARDS.sample(self._core.statistics.forwarded, front_label)
        for key, metric_value in self._read_policy_values().items():
            yield POLICY_METRICS[key].sample(metric_value, front_label)
        for key, metric_value in self._read_task_values().items():
            yield TASK_METRICS[key].sample(metric_value, front_label)
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
            yield CLASS_METRICS["answers"].sample(count, self._front_label, *labels)
        for request_class, count in sorted(statistics.attempts.items()):
            yield CLASS_METRICS["attempts"].sample(count, self._front_label, ("class", request_class))

    def _cache_samples(self) -> Iterator[Sample]:
        statistics, now = self._core.statistics, self._core.clock.now()
        for endpoint, cache in list(statistics.endpoints.items()):
            labels = (self._front_label, ("cache", endpoint.decode("latin-1")))
            for key, counts in (("attempts", cache.attempts), ("probes", cache.health_checks)):
                metric = CACHE_METRICS[key]
                for reason, count in sorted(counts.items()):
                    yield metric.sample(count, *labels, (metric.label, reason))
            yield CACHE_METRICS["probe_seconds"].sample(round(cache.health_check_seconds, 4), *labels)
            yield CACHE_METRICS["open"].sample(cache.in_flight, *labels)
            # The endpoint may have been removed while the caller let the event loop run.
            if endpoint in statistics.endpoints:
                silent_seconds = statistics.silent_seconds(endpoint, now)
                yield CACHE_METRICS["silent"].sample(round(silent_seconds, 3), *labels)
            if cache.reported_at is not None:
                report_age_seconds = max(0.0, now - cache.reported_at)
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
                yield metric.sample(count, self._front_label, (metric.label, lane.name.lower()))
        counts_by_reason = {
            "turned": counters.rejected_connections,
            "refused": counters.rejected_requests,
        }
        for key, reasons in counts_by_reason.items():
            metric = ADMISSION_COUNTERS[key]
            for reason, count in sorted(reasons.items()):
                yield metric.sample(count, self._front_label, (metric.label, reason))
        yield PENALTIES.sample(counters.penalties, self._front_label)

    def _admission_gauges(self) -> Iterator[Sample]:
        admission, front_label = self._admission, self._front_label
        metric = ADMISSION_GAUGES["descriptors"]
        for use, pool in admission.descriptors.pools.items():
            yield metric.sample(pool.used, front_label, (metric.label, use.value))
        yield ADMISSION_GAUGES["limit"].sample(admission.descriptors.total, front_label)
        lag_seconds = self._core.loop_monitor.lag_seconds
        yield ADMISSION_GAUGES["behind"].sample(round(lag_seconds, 4), front_label)
        if not isinstance(admission, SourceAdmission):
            return
        metric = ADMISSION_GAUGES["seats"]
        for lane, count in zip(PriorityLane, admission.slots_by_lane, strict=True):
            yield metric.sample(count, front_label, (metric.label, lane.name.lower()))
        yield ADMISSION_GAUGES["sources"].sample(len(admission.sources), front_label)
        yield ADMISSION_GAUGES["waiting"].sample(admission.read_queue.waiting, front_label)
        yield ADMISSION_GAUGES["rate"].sample(admission.read_queue.rate, front_label)

    def text(self) -> str:
        """Returns the current samples in the Prometheus text format."""
        return exposition(self.samples(), METRICS)
