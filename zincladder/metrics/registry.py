"""The daemon's metrics: one table of names, read off the parts at the moment of asking."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping

from zincladder.admission.interface import Admission
from zincladder.admission.model import PriorityLane
from zincladder.admission.source_admission import SourceAdmission
from zincladder.core.engine import Core
from zincladder.metrics.exposition import Sample, exposition

# Counters of the core by their group: the metric's name, its label and its help line.
COUNTERS = {
    "answers": ("zincladder_answers_total", "kind", "Answers: served, refused, failed, withdrawn, unusable."),
    "attempts": ("zincladder_attempts_total", "end", "Attempts at members by how they ended."),
    "held_back": ("zincladder_attempts_held_back_total", "why", "Attempts that were not sent, by why."),
    "out_of_date": (
        "zincladder_requests_out_of_date_total",
        "outcome",
        "Requests that waited for a current list, and that were refused for want of one.",
    ),
    "requests": (
        "zincladder_requests_read_late_total",
        "why",
        "Requests that had lain unread for over 50 ms: the process stood still, or is short of its core.",
    ),
    "probes": ("zincladder_probes_total", "end", "Load probes by how they ended."),
    "clients": ("zincladder_client_connections_total", "event", "Client connections taken."),
    "client_ends": ("zincladder_client_ends_total", "end", "Client connections by how they ended."),
    "reloads": ("zincladder_reloads_total", "outcome", "Files read at SIGHUP: applied or rejected."),
    "steered": ("zincladder_steered_total", "outcome", "Clients steered by DNS: named or refused."),
    "dns": ("zincladder_dns_responses_total", "rcode", "DNS responses by code."),
    "remote_write": (
        "zincladder_remote_write_total",
        "outcome",
        "Batches: sent, retried, refused or overflowed.",
    ),
}
# Admission's, read off its tallies: the metric's name, its labels and its help line.
ADMISSION = {
    "admitted": ("zincladder_admission_admitted_total", "lane", "Client connections that got a seat."),
    "evicted": ("zincladder_admission_evicted_total", "lane", "Seats that made room for others."),
    "waits": ("zincladder_admission_waits_total", "lane", "Messages that waited for their turn to be read."),
    "turned": ("zincladder_admission_turned_away_total", "why", "Client connections turned away."),
    "refused": ("zincladder_admission_refused_total", "why", "Requests refused by admission."),
}
ADMISSION_GAUGES = {
    "descriptors": ("zincladder_descriptors", "use", "Descriptors held, by what for."),
    "limit": ("zincladder_descriptors_limit", "", "Descriptors that the front may hold."),
    "seats": ("zincladder_admission_seats", "lane", "Client connections open, by how their source stands."),
    "sources": ("zincladder_admission_sources", "", "Addresses on record."),
    "waiting": ("zincladder_admission_waiting", "", "Messages that wait for their turn to be read."),
    "rate": ("zincladder_admission_rate", "", "Loop seconds a second that are let in at most."),
    "behind": ("zincladder_loop_behind_seconds", "", "How late the event loop was at its last two looks."),
}
# By quay cache (a label 'cache' with the member's id) and by class, read off the core's figures.
CACHE = {
    "attempts": ("zincladder_cache_attempts_total", "end", "Attempts at a cache by how they ended."),
    "probes": ("zincladder_cache_probes_total", "end", "Load probes of a cache by how they ended."),
    "probe_seconds": ("zincladder_cache_probe_seconds_total", "", "Time that probes of a cache took."),
    "open": ("zincladder_cache_attempts_open", "", "Attempts at a cache that have not ended."),
    "silent": (
        "zincladder_cache_silent_seconds",
        "",
        "How long a cache has owed an answer and said nothing.",
    ),
    "report_age": ("zincladder_cache_report_age_seconds", "", "Age of a cache's last load report."),
}
CLASS = {
    "answers": ("zincladder_class_answers_total", "kind", "Answers by class."),
    "attempts": ("zincladder_class_attempts_total", "", "Attempts by class."),
}
PENALTIES = "zincladder_admission_penalties_total"
FORWARDS = "zincladder_attempts_written_total"
GAUGES = {
    "open": ("zincladder_requests_open", "Requests that are owed their answer."),
    "members": ("zincladder_members", "Members on the list."),
    "ready": ("zincladder_members_ready", "Members on the list that are ready."),
    "avoided": ("zincladder_caches_avoided", "Caches on the list that the front avoids after failures."),
    "processes": ("zincladder_processes", "Processes of this front: 2 at an upgrade."),
    "feed": ("zincladder_coordinator_connected", "1 while the coordinator is followed."),
}
# Of the fleet's policy, where the front takes part in one.
POLICY = {
    "version": (
        "zincladder_policy_version",
        "Version of the fleet's policy served under; 0 while there is none.",
    ),
    "lease": ("zincladder_policy_lease_seconds", "Time left of the lease on it."),
    "linked": ("zincladder_policy_linked", "1 while there is a link to the leading keeper."),
    "refused": ("zincladder_policy_refused_total", "Requests refused for want of a lease."),
}
# Of the fleet's duties, where the front takes part in them.
DUTIES = {
    "owned": ("zincladder_duties_owned", "Duties that this front owns now."),
    "lease": ("zincladder_duty_lease_seconds", "Time left of the shortest lease on what it owns."),
    "linked": ("zincladder_duties_linked", "1 while there is a link to the leading keeper."),
    "failures": ("zincladder_duty_failures_total", "Times that the work of a duty has failed."),
    "fenced": ("zincladder_duty_fenced_total", "Effects of this front that a fence refused."),
}
TABLES = (COUNTERS, ADMISSION, GAUGES, ADMISSION_GAUGES, CACHE, CLASS, POLICY, DUTIES)
NAMES = frozenset(row[0] for table in TABLES for row in table.values()) | {PENALTIES, FORWARDS}


class Registry:
    """All samples of one front."""

    def __init__(
        self,
        core: Core,
        front: str,
        connected: Callable[[], bool],
        admission: Admission,
        processes: Callable[[], int] = lambda: 1,
        policy: Callable[[], Mapping[str, float]] = dict,
        duties: Callable[[], Mapping[str, float]] = dict,
    ) -> None:
        self._processes, self._policy, self._duties = processes, policy, duties
        self._core, self._front, self._connected, self._admission = core, front, connected, admission

    def samples(self) -> Iterator[Sample]:
        front = ("front", self._front)
        for (group, key), value in sorted(self._core.counts.items()):
            if group in COUNTERS:
                name, label, _ = COUNTERS[group]
                yield Sample(name, (front, (label, key)), float(value))
        values = {
            "open": len(self._core.open_requests),
            "members": len(self._core.endpoint_list.endpoints),
            "ready": self._core.endpoint_list.ready_count(),
            "avoided": self._core.ejected_count(),
            "processes": self._processes(),
            "feed": self._connected(),
        }
        for key, value in values.items():
            yield Sample(GAUGES[key][0], (front,), float(value))
        yield Sample(FORWARDS, (front,), float(self._core.statistics.forwarded))
        for key, figure in self._policy().items():
            yield Sample(POLICY[key][0], (front,), figure)
        for key, figure in self._duties().items():
            yield Sample(DUTIES[key][0], (front,), figure)
        yield from self._of_admission(front)
        yield from self._of_figures(front)

    def _of_figures(self, front: tuple[str, str]) -> Iterator[Sample]:
        figures, now = self._core.statistics, self._core.clock.now()
        for (request_class, kind), count in sorted(figures.answers.items()):
            labels = (front, ("class", request_class), ("kind", kind))
            yield Sample(CLASS["answers"][0], labels, float(count))
        for request_class, count in sorted(figures.attempts.items()):
            yield Sample(CLASS["attempts"][0], (front, ("class", request_class)), float(count))
        for endpoint, found in list(figures.endpoints.items()):
            cache = (front, ("cache", endpoint.decode("latin-1")))
            for key, counts in (("attempts", found.attempts), ("probes", found.health_checks)):
                for end, count in sorted(counts.items()):
                    yield Sample(CACHE[key][0], (*cache, ("end", end)), float(count))
            yield Sample(CACHE["probe_seconds"][0], cache, round(found.health_check_seconds, 4))
            yield Sample(CACHE["open"][0], cache, float(found.in_flight))
            if endpoint in figures.endpoints:  # it may go between two slices of a batch
                yield Sample(CACHE["silent"][0], cache, round(figures.silent_seconds(endpoint, now), 3))
            if found.reported_at is not None:
                yield Sample(CACHE["report_age"][0], cache, round(max(0.0, now - found.reported_at), 3))

    def _of_admission(self, front: tuple[str, str]) -> Iterator[Sample]:
        admission, counters = self._admission, self._admission.counters
        for key in ("admitted", "evicted", "waits"):
            name, label, _ = ADMISSION[key]
            for lane, count in zip(PriorityLane, getattr(counters, key), strict=True):
                yield Sample(name, (front, (label, lane.name.lower())), float(count))
        for key, counts in (
            ("turned", counters.rejected_connections),
            ("refused", counters.rejected_requests),
        ):
            name, label, _ = ADMISSION[key]
            for why, count in sorted(counts.items()):
                yield Sample(name, (front, (label, why)), float(count))
        yield Sample(PENALTIES, (front,), float(counters.penalties))
        for use, pool in admission.descriptors.pools.items():
            yield Sample(ADMISSION_GAUGES["descriptors"][0], (front, ("use", use.value)), float(pool.used))
        yield Sample(ADMISSION_GAUGES["limit"][0], (front,), float(admission.descriptors.total))
        yield Sample(ADMISSION_GAUGES["behind"][0], (front,), round(self._core.loop_monitor.lag_seconds, 4))
        if isinstance(admission, SourceAdmission):
            for lane, count in zip(PriorityLane, admission.slots_by_lane, strict=True):
                yield Sample(ADMISSION_GAUGES["seats"][0], (front, ("lane", lane.name.lower())), float(count))
            for key, value in (
                ("sources", len(admission.sources)),
                ("waiting", admission.read_queue.waiting),
                ("rate", admission.read_queue.rate),
            ):
                yield Sample(ADMISSION_GAUGES[key][0], (front,), float(value))

    def text(self) -> str:
        """The text format of Prometheus."""
        kinds = {name: ("counter", text) for name, _, text in (*COUNTERS.values(), *ADMISSION.values())}
        kinds[FORWARDS] = ("counter", "Attempts of which the last byte was written.")
        kinds[PENALTIES] = ("counter", "Penalties that sources of connections were given.")
        kinds |= {name: ("gauge", text) for name, text in GAUGES.values()}
        kinds |= {
            n: ("counter" if n.endswith("_total") else "gauge", text)
            for n, text in (*POLICY.values(), *DUTIES.values())
        }
        others = (*ADMISSION_GAUGES.values(), *CACHE.values(), *CLASS.values())
        kinds |= {n: ("counter" if n.endswith("_total") else "gauge", text) for n, _, text in others}
        return exposition(self.samples(), kinds)
