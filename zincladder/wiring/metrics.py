"""Builds the metrics and their export. Imported only if the operator's file enables one of them."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from zincladder.admission.interface import Admission
from zincladder.config import Address, RemoteWriteConfig
from zincladder.config.reload import Reload
from zincladder.core.engine import Core
from zincladder.metrics.registry import Registry
from zincladder.net.coordinator_watch import CoordinatorWatch

if TYPE_CHECKING:
    from zincladder.export.sender import RemoteWrite
    from zincladder.metrics.exporter import MetricsExporter
    from zincladder.policy.lease_client import FleetPolicy
    from zincladder.tasks.runner import TaskRunner


def build_registry(
    name: str,
    core: Core,
    admission: Admission,
    reload: Reload,
    watch: CoordinatorWatch | None,
    policy: FleetPolicy | None,
    tasks: TaskRunner | None,
) -> Registry:
    """Returns the registry that reads the samples of the front `name` from its parts."""
    return Registry(
        core,
        name,
        lambda: watch is not None and watch.connected,
        admission,
        lambda: reload.processes,
        policy.figures if policy else dict,
        tasks.figures if tasks else dict,
    )


def build_exporter(listen: Address, registry: Registry, admission: Admission) -> MetricsExporter:
    """Returns the HTTP server for metrics; its `run` listens and answers."""
    from zincladder.metrics.exporter import MetricsExporter

    return MetricsExporter(listen, registry, admission)


def build_remote_writes(
    receivers: Iterable[RemoteWriteConfig],
    registry: Registry,
    core: Core,
    predecessor_runs: Callable[[], bool],
) -> list[RemoteWrite]:
    """Returns a sender of samples for each receiver. Raises ConfigError if a spool cannot be used.

    `predecessor_runs` returns whether the process that this one replaces at an upgrade still runs.
    """
    from zincladder.export.sender import RemoteWrite

    count_batches = _batch_counter(core)
    return [
        RemoteWrite(receiver, registry.samples, count_batches, predecessor_runs=predecessor_runs)
        for receiver in receivers
    ]


def _batch_counter(core: Core) -> Callable[[str, int], None]:
    def count_batches(outcome: str, batches: int) -> None:
        core.counts["remote_write", outcome] += batches

    return count_batches
