"""The metrics of a replica: its group's state and, on the leader, the fleet's policy and singleton tasks."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Final

from zincladder.admission.descriptor_budget import DescriptorUse
from zincladder.admission.model import RejectionReason
from zincladder.consensus.server import ReplicaServer
from zincladder.metrics.exposition import Metric, Sample, counter, exposition, gauge
from zincladder.policy.host import PolicyLeaderService
from zincladder.tasks.host import TaskLeaderService

MAX_CONNECTIONS = 16
# The metrics of every replica, by the key of their value.
REPLICA_METRICS: Final[Mapping[str, Metric]] = {
    "leads": gauge("zincladder_keeper_leads", "1 while this keeper leads its group."),
    "led": gauge("zincladder_keeper_led", "1 while this keeper leads or knows who does."),
    "term": counter("zincladder_keeper_term", "Term of the group's log that this keeper knows."),
    "commit": counter("zincladder_keeper_entries", "Entries that this keeper knows to be decided."),
    "unapplied": gauge("zincladder_keeper_entries_open", "Entries here that are not decided yet."),
    "bytes": gauge("zincladder_keeper_journal_bytes", "Size of the journal's file."),
    "registers": gauge("zincladder_keeper_registers", "Registers held."),
}
# The metrics that only the leader has.
LEADER_METRICS: Final[Mapping[str, Metric]] = {
    "silent": gauge("zincladder_keeper_members_silent", "Members that have not answered lately."),
    "older": gauge("zincladder_keeper_members_older", "Members that came back with an older directory."),
    "learners": gauge("zincladder_keeper_members_learning", "Members without a vote yet."),
    "fronts": gauge("zincladder_keeper_fronts", "Fronts with a link to the leader."),
    "absent": gauge("zincladder_keeper_fronts_absent", "Fronts that are expected and have no link."),
    "version": gauge("zincladder_keeper_policy_version", "Version of the policy in force."),
    "change": gauge("zincladder_keeper_change_seconds", "How long the open change stands in its phase."),
    "workers": gauge("zincladder_keeper_workers", "Processes that would own duties."),
    "duties": gauge("zincladder_keeper_duties_owned", "Duties that have an owner."),
    "orphans": gauge(
        "zincladder_keeper_duties_without_owner", "Duties that nobody owns, but for the paused."
    ),
    "waits": gauge("zincladder_keeper_change_waits", "Fronts that the open change waits for."),
}
METRICS = (*REPLICA_METRICS.values(), *LEADER_METRICS.values())
NAMES = frozenset(metric.name for metric in METRICS)


class ReplicaRegistry:
    """Provides all samples of one replica."""

    def __init__(
        self, replica: ReplicaServer, policy_service: PolicyLeaderService, task_service: TaskLeaderService
    ) -> None:
        self._replica, self._policy_service, self._task_service = replica, policy_service, task_service

    def samples(self) -> Iterator[Sample]:
        """Yields the current samples; those of LEADER_METRICS only while this replica is the leader."""
        config = self._replica.config
        labels = (("group", config.group), ("keeper", config.name))
        status = self._replica.status()
        values = {
            "leads": status.role == "leader",
            "led": bool(status.leader),
            "term": status.term,
            "commit": status.commit_index,
            "unapplied": status.last_index - status.commit_index,
            "bytes": status.journal_bytes,
            "registers": status.key_count,
        }
        for key, value in values.items():
            yield REPLICA_METRICS[key].sample(value, *labels)
        if status.role != "leader":
            return
        leader_values = {
            "silent": len(status.silent_peers),
            "older": len(status.stale_peers),
            "learners": len(status.learners),
            **self._policy_service.figures(),
            **self._task_service.figures(),
        }
        for key, leader_value in leader_values.items():
            yield LEADER_METRICS[key].sample(leader_value, *labels)

    def text(self) -> str:
        """Returns the current samples in the Prometheus text format."""
        return exposition(self.samples(), METRICS)


class ConnectionLimit:
    """Limits the connections to a replica's metrics, since a replica has no admission control."""

    def __init__(self, max_connections: int = MAX_CONNECTIONS) -> None:
        self._max_connections, self._open_connections = max_connections, 0

    def open_connection(self, use: DescriptorUse, host: str, now: float) -> RejectionReason:
        """Registers a connection; returns NONE if it is accepted, else why the caller must close it."""
        if self._open_connections >= self._max_connections:
            return RejectionReason.NO_CAPACITY
        self._open_connections += 1
        return RejectionReason.NONE

    def close_connection(self, use: DescriptorUse, host: str) -> None:
        """Registers the end of an accepted connection."""
        self._open_connections -= 1
