"""A keeper's metrics: the group as this member sees it, and the change that is open."""

from __future__ import annotations

from collections.abc import Iterator

from zincladder.admission.ledger import Use
from zincladder.admission.model import Why
from zincladder.consensus.server import ReplicaServer
from zincladder.metrics.registry import Sample, exposition
from zincladder.policy.host import PolicyLeaderService
from zincladder.tasks.host import TaskLeaderService

MAX_CONNECTIONS = 16  # connections at once
KEEPER = {
    "leads": ("zincladder_keeper_leads", "gauge", "1 while this keeper leads its group."),
    "led": ("zincladder_keeper_led", "gauge", "1 while this keeper leads or knows who does."),
    "term": ("zincladder_keeper_term", "counter", "Term of the group's log that this keeper knows."),
    "commit": ("zincladder_keeper_entries", "counter", "Entries that this keeper knows to be decided."),
    "unapplied": ("zincladder_keeper_entries_open", "gauge", "Entries here that are not decided yet."),
    "bytes": ("zincladder_keeper_journal_bytes", "gauge", "Size of the journal's file."),
    "registers": ("zincladder_keeper_registers", "gauge", "Registers held."),
}
# What only the leader can tell; others leave them out.
LEADER = {
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
NAMES = frozenset(row[0] for table in (KEEPER, LEADER) for row in table.values())


class ReplicaRegistry:
    """All samples of one keeper."""

    def __init__(
        self, replica: ReplicaServer, policy_service: PolicyLeaderService, task_service: TaskLeaderService
    ) -> None:
        self._keeper, self._policy_service, self._task_service = replica, policy_service, task_service

    def samples(self) -> Iterator[Sample]:
        replica = self._keeper
        labels = (("group", replica.config.group), ("keeper", replica.config.name))
        standing = replica.status()
        values = {
            "leads": standing.role == "leader",
            "led": bool(standing.leader),
            "term": standing.term,
            "commit": standing.commit,
            "unapplied": standing.last - standing.commit,
            "bytes": standing.bytes_kept,
            "registers": standing.registers,
        }
        for key, value in values.items():
            yield Sample(KEEPER[key][0], labels, float(value))
        if standing.role != "leader":
            return
        leading = {
            "silent": len(standing.silent),
            "older": len(standing.older),
            "learners": len(standing.learners),
            **self._policy_service.figures(),
            **self._task_service.figures(),
        }
        for key, figure in leading.items():
            yield Sample(LEADER[key][0], labels, float(figure))

    def text(self) -> str:
        """The text format of Prometheus."""
        rows = (*KEEPER.values(), *LEADER.values())
        return exposition(self.samples(), {name: (kind, text) for name, kind, text in rows})


class ConnectionLimit:
    """A keeper's own bound on who asks for its metrics: so many connections at once."""

    def __init__(self, most: int = MAX_CONNECTIONS) -> None:
        self._most, self._open = most, 0

    def visit(self, use: Use, host: str, now: float) -> Why:
        if self._open >= self._most:
            return Why.FULL
        self._open += 1
        return Why.NONE

    def left(self, use: Use, host: str) -> None:
        self._open -= 1
