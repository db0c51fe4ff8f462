"""A replica's metrics: the group as this member sees it, and the change of the policy that is open."""

from __future__ import annotations

from collections.abc import Iterator

from zincladder.admission.descriptor_budget import DescriptorUse
from zincladder.admission.model import RejectionReason
from zincladder.consensus.server import ReplicaServer
from zincladder.metrics.exposition import Sample, exposition
from zincladder.policy.host import PolicyLeaderService
from zincladder.tasks.host import TaskLeaderService

MAX_CONNECTIONS = 16
# Each metric's name, type and help line, by the key of its value.
REPLICA_METRICS = {
    "leads": ("zincladder_keeper_leads", "gauge", "1 while this keeper leads its group."),
    "led": ("zincladder_keeper_led", "gauge", "1 while this keeper leads or knows who does."),
    "term": ("zincladder_keeper_term", "counter", "Term of the group's log that this keeper knows."),
    "commit": ("zincladder_keeper_entries", "counter", "Entries that this keeper knows to be decided."),
    "unapplied": ("zincladder_keeper_entries_open", "gauge", "Entries here that are not decided yet."),
    "bytes": ("zincladder_keeper_journal_bytes", "gauge", "Size of the journal's file."),
    "registers": ("zincladder_keeper_registers", "gauge", "Registers held."),
}
# Of the leader only.
LEADER_METRICS = {
    "silent": (
        "zincladder_keeper_members_silent",
        "gauge",
        "Members that have not answered lately.",
    ),
    "older": ("zincladder_keeper_members_older", "gauge", "Members that came back with an older directory."),
    "learners": ("zincladder_keeper_members_learning", "gauge", "Members without a vote yet."),
    "fronts": ("zincladder_keeper_fronts", "gauge", "Fronts with a link to the leader."),
    "absent": ("zincladder_keeper_fronts_absent", "gauge", "Fronts that are expected and have no link."),
    "version": ("zincladder_keeper_policy_version", "gauge", "Version of the policy in force."),
    "change": (
        "zincladder_keeper_change_seconds",
        "gauge",
        "How long the open change stands in its phase.",
    ),
    "workers": ("zincladder_keeper_workers", "gauge", "Processes that would own duties."),
    "duties": ("zincladder_keeper_duties_owned", "gauge", "Duties that have an owner."),
    "orphans": (
        "zincladder_keeper_duties_without_owner",
        "gauge",
        "Duties that nobody owns, but for the paused.",
    ),
    "waits": ("zincladder_keeper_change_waits", "gauge", "Fronts that the open change waits for."),
}
NAMES = frozenset(row[0] for table in (REPLICA_METRICS, LEADER_METRICS) for row in table.values())


class ReplicaRegistry:
    """All samples of one replica."""

    def __init__(
        self, replica: ReplicaServer, policy_service: PolicyLeaderService, task_service: TaskLeaderService
    ) -> None:
        self._replica, self._policy_service, self._task_service = replica, policy_service, task_service

    def samples(self) -> Iterator[Sample]:
        """The samples of this moment; those of LEADER_METRICS only while this replica leads."""
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
            yield Sample(REPLICA_METRICS[key][0], labels, float(value))
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
            yield Sample(LEADER_METRICS[key][0], labels, float(leader_value))

    def text(self) -> str:
        """The text format of Prometheus."""
        rows = (*REPLICA_METRICS.values(), *LEADER_METRICS.values())
        return exposition(self.samples(), {name: (kind, help_line) for name, kind, help_line in rows})


class ConnectionLimit:
    """Bounds the connections to a replica's metrics, which has no admission control of its own."""

    def __init__(self, max_connections: int = MAX_CONNECTIONS) -> None:
        self._max_connections, self._open = max_connections, 0

    def open_connection(self, use: DescriptorUse, host: str, now: float) -> RejectionReason:
        if self._open >= self._max_connections:
            return RejectionReason.NO_CAPACITY
        self._open += 1
        return RejectionReason.NONE

    def close_connection(self, use: DescriptorUse, host: str) -> None:
        self._open -= 1
