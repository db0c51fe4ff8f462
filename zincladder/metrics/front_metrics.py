"""The metrics of a front.

Dashboards and alert rules of running installations depend on the names, labels and help texts, so these must
not change. The keys of each table are internal: the registry finds a value and its metric by the same key.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from zincladder.metrics.exposition import Metric, counter, gauge

# The metrics of the core's counters, by the first part of a counter's key in `Core.counts`.
COUNTERS: Final[Mapping[str, Metric]] = {
    "answers": counter(
        "zincladder_answers_total", "Answers: served, refused, failed, withdrawn, unusable.", "kind"
    ),
    "attempts": counter("zincladder_attempts_total", "Attempts at members by how they ended.", "end"),
    "held_back": counter(
        "zincladder_attempts_held_back_total", "Attempts that were not sent, by why.", "why"
    ),
    "out_of_date": counter(
        "zincladder_requests_out_of_date_total",
        "Requests that waited for a current list, and that were refused for want of one.",
        "outcome",
    ),
    "requests": counter(
        "zincladder_requests_read_late_total",
        "Requests that had lain unread for over 50 ms: the process stood still, or is short of its core.",
        "why",
    ),
    "probes": counter("zincladder_probes_total", "Load probes by how they ended.", "end"),
    "clients": counter("zincladder_client_connections_total", "Client connections taken.", "event"),
    "client_ends": counter("zincladder_client_ends_total", "Client connections by how they ended.", "end"),
    "reloads": counter("zincladder_reloads_total", "Files read at SIGHUP: applied or rejected.", "outcome"),
    "steered": counter("zincladder_steered_total", "Clients steered by DNS: named or refused.", "outcome"),
    "dns": counter("zincladder_dns_responses_total", "DNS responses by code.", "rcode"),
    "remote_write": counter(
        "zincladder_remote_write_total", "Batches: sent, retried, refused or overflowed.", "outcome"
    ),
}
# The gauges of the front as a whole.
GAUGES: Final[Mapping[str, Metric]] = {
    "open": gauge("zincladder_requests_open", "Requests that are owed their answer."),
    "members": gauge("zincladder_members", "Members on the list."),
    "ready": gauge("zincladder_members_ready", "Members on the list that are ready."),
    "avoided": gauge("zincladder_caches_avoided", "Caches on the list that the front avoids after failures."),
    "processes": gauge("zincladder_processes", "Processes of this front: 2 at an upgrade."),
    "feed": gauge("zincladder_coordinator_connected", "1 while the coordinator is followed."),
}
# The counters of admission.
ADMISSION_COUNTERS: Final[Mapping[str, Metric]] = {
    "admitted": counter("zincladder_admission_admitted_total", "Client connections that got a seat.", "lane"),
    "evicted": counter("zincladder_admission_evicted_total", "Seats that made room for others.", "lane"),
    "waits": counter(
        "zincladder_admission_waits_total", "Messages that waited for their turn to be read.", "lane"
    ),
    "turned": counter("zincladder_admission_turned_away_total", "Client connections turned away.", "why"),
    "refused": counter("zincladder_admission_refused_total", "Requests refused by admission.", "why"),
}
# The gauges of admission, descriptors and the event loop.
ADMISSION_GAUGES: Final[Mapping[str, Metric]] = {
    "descriptors": gauge("zincladder_descriptors", "Descriptors held, by what for.", "use"),
    "limit": gauge("zincladder_descriptors_limit", "Descriptors that the front may hold."),
    "seats": gauge(
        "zincladder_admission_seats", "Client connections open, by how their source stands.", "lane"
    ),
    "sources": gauge("zincladder_admission_sources", "Addresses on record."),
    "waiting": gauge("zincladder_admission_waiting", "Messages that wait for their turn to be read."),
    "rate": gauge("zincladder_admission_rate", "Loop seconds a second that are let in at most."),
    "behind": gauge("zincladder_loop_behind_seconds", "How late the event loop was at its last two looks."),
}
# The metrics of each cache; the label `cache` is the endpoint's id.
CACHE_METRICS: Final[Mapping[str, Metric]] = {
    "attempts": counter("zincladder_cache_attempts_total", "Attempts at a cache by how they ended.", "end"),
    "probes": counter("zincladder_cache_probes_total", "Load probes of a cache by how they ended.", "end"),
    "probe_seconds": counter("zincladder_cache_probe_seconds_total", "Time that probes of a cache took."),
    "open": gauge("zincladder_cache_attempts_open", "Attempts at a cache that have not ended."),
    "silent": gauge(
        "zincladder_cache_silent_seconds", "How long a cache has owed an answer and said nothing."
    ),
    "report_age": gauge("zincladder_cache_report_age_seconds", "Age of a cache's last load report."),
}
# The metrics of each request class, which is the label `class`.
CLASS_METRICS: Final[Mapping[str, Metric]] = {
    "answers": counter("zincladder_class_answers_total", "Answers by class.", "kind"),
    "attempts": counter("zincladder_class_attempts_total", "Attempts by class."),
}
# The metrics of the fleet's policy, if the front takes part in one.
POLICY_METRICS: Final[Mapping[str, Metric]] = {
    "version": gauge(
        "zincladder_policy_version", "Version of the fleet's policy served under; 0 while there is none."
    ),
    "lease": gauge("zincladder_policy_lease_seconds", "Time left of the lease on it."),
    "linked": gauge("zincladder_policy_linked", "1 while there is a link to the leading keeper."),
    "refused": counter("zincladder_policy_refused_total", "Requests refused for want of a lease."),
}
# The metrics of the fleet's singleton tasks, if the front offers to run any.
TASK_METRICS: Final[Mapping[str, Metric]] = {
    "owned": gauge("zincladder_duties_owned", "Duties that this front owns now."),
    "lease": gauge("zincladder_duty_lease_seconds", "Time left of the shortest lease on what it owns."),
    "linked": gauge("zincladder_duties_linked", "1 while there is a link to the leading keeper."),
    "failures": counter("zincladder_duty_failures_total", "Times that the work of a duty has failed."),
    "fenced": counter("zincladder_duty_fenced_total", "Effects of this front that a fence refused."),
}
PENALTIES = counter(
    "zincladder_admission_penalties_total", "Penalties that sources of connections were given."
)
FORWARDS = counter("zincladder_attempts_written_total", "Attempts of which the last byte was written.")
TABLES = (
    COUNTERS,
    GAUGES,
    ADMISSION_COUNTERS,
    ADMISSION_GAUGES,
    CACHE_METRICS,
    CLASS_METRICS,
    POLICY_METRICS,
    TASK_METRICS,
)
METRICS = (*(metric for table in TABLES for metric in table.values()), PENALTIES, FORWARDS)
NAMES = frozenset(metric.name for metric in METRICS)
