"""`zincladder replica`: runs one of the processes that replicate a fleet's state.

SIGHUP is not handled and ends the process. A replica reads its configuration file only when it starts.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from zincladder.cli.group import read_replica_config
from zincladder.config.replica import LeaseTable, ReplicaConfig

if TYPE_CHECKING:
    # The command imports this when it runs, so that other commands start without the consensus package.
    from zincladder.consensus.lease_timing import LeaseTiming

LEADERSHIP_TRANSFER_TIMEOUT_SECONDS = 2.0  # a graceful shutdown waits so long for a new leader


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
def replica(file: Path) -> None:
    """Run a replica in the foreground with the configuration FILE, until SIGTERM.

    Its votes and log are kept in its directory. Exits with 1 if the directory cannot be used or a write
    fails, because a replica that cannot write must not vote.
    """
    import anyio
    import structlog

    from zincladder.durable.errors import JournalError
    from zincladder.support.logging_setup import configure_logging

    configure_logging()
    config = read_replica_config(file)
    try:
        anyio.run(_run_replica, config)
    except* (JournalError, OSError) as errors:
        structlog.get_logger().error("replica failed", reason=str(_first_error(errors)))
        sys.exit(1)


def _first_error(errors: BaseExceptionGroup[Any]) -> BaseException:
    error: BaseException = errors
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def _lease_timing(lease: LeaseTable) -> LeaseTiming:
    from zincladder.consensus.lease_timing import LeaseTiming

    return LeaseTiming(
        lease_seconds=lease.seconds,
        renew_seconds=lease.renew_s,
        clock_drift=lease.drift,
        check_timeout_seconds=lease.check_s,
        release_timeout_seconds=lease.clear_s,
        min_agreeing_share=lease.least,
        max_deferral_seconds=lease.patient_s,
        max_action_seconds=lease.act_s,
    )


async def _run_replica(config: ReplicaConfig) -> None:
    """Runs a replica until SIGTERM or SIGINT, with the services that it provides while it is the leader."""
    import signal

    import anyio
    import structlog

    from zincladder.consensus.model import Membership
    from zincladder.consensus.server import ReplicaServer
    from zincladder.consensus.store import ReplicaStore
    from zincladder.policy.host import PolicyLeaderService
    from zincladder.tasks.host import TaskLeaderService

    log = structlog.get_logger()
    store = ReplicaStore(config.directory, config.group, config.name, Membership(config.founders))
    try:
        server = ReplicaServer(config, store)
        timing = _lease_timing(config.lease)
        policy_service = PolicyLeaderService(server, timing)
        task_service = TaskLeaderService(server, timing)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async with anyio.create_task_group() as tasks:
                await tasks.start(server.run)
                tasks.start_soon(policy_service.run)
                tasks.start_soon(task_service.run)
                if config.metrics:
                    from zincladder.metrics.exporter import MetricsExporter
                    from zincladder.metrics.replica import ConnectionLimit, ReplicaRegistry

                    registry = ReplicaRegistry(server, policy_service, task_service)
                    exporter = MetricsExporter(config.metrics, registry, ConnectionLimit())
                    log.info("metrics endpoint listening", listen=await tasks.start(exporter.run))
                async for _ in signals:
                    break
                await server.transfer_leadership(LEADERSHIP_TRANSFER_TIMEOUT_SECONDS)
                tasks.cancel_scope.cancel()
    finally:
        store.close()
    log.info("replica stopped", applied_index=server.applied_index, was_leader=server.is_leader)
