"""`zincladder keep` and `zincladder keepers`: the processes that keep what a fleet agrees on."""

from __future__ import annotations

import functools
import json
import sys
import tomllib
from functools import partial
from pathlib import Path
from typing import Any

import click

from zincladder.config import ConfigError
from zincladder.config.replica import ReplicaConfig, parse_replica_config

ASIDE = 2.0  # seconds at most for another to take the lead, at an orderly end


def read_replica_config(path: Path) -> ReplicaConfig:
    """A keeper's file; a ClickException names its fault."""
    try:
        return parse_replica_config(tomllib.loads(path.read_text()))
    except (OSError, ValueError, ConfigError) as fault:
        raise click.ClickException(f"{path}: {fault}") from None


@click.command()
@click.argument("file", type=click.Path(path_type=Path))
def replica(file: Path) -> None:
    """Run a keeper in the foreground, as FILE says. SIGTERM ends it; its directory holds what it promised.

    Exits with 1 if the directory cannot be used or fails: a keeper that can't write has no vote.
    """
    import logging

    import structlog

    from zincladder.durable.journal import JournalError

    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    config = read_replica_config(file)
    import anyio

    try:
        anyio.run(_run_replica, config)
    except* (JournalError, OSError) as faults:
        structlog.get_logger().error("the keeper ends", why=str(_first(faults)))
        sys.exit(1)


def _first(faults: BaseExceptionGroup[Any]) -> BaseException:
    fault: BaseException = faults
    while isinstance(fault, BaseExceptionGroup):
        fault = fault.exceptions[0]
    return fault


async def _run_replica(config: ReplicaConfig) -> None:
    import signal

    import anyio
    import structlog

    from zincladder.consensus.lease_timing import LeaseTiming
    from zincladder.consensus.model import Membership
    from zincladder.consensus.server import ReplicaServer
    from zincladder.consensus.store import ReplicaStore
    from zincladder.policy.host import PolicyLeaderService
    from zincladder.tasks.host import TaskLeaderService

    store = ReplicaStore(config.directory, config.group, config.name, Membership(config.founders))
    try:
        server, lease = ReplicaServer(config, store), config.lease
        terms = LeaseTiming(
            lease.seconds,
            lease.renew_s,
            lease.drift,
            lease.check_s,
            lease.clear_s,
            lease.least,
            lease.patient_s,
            lease.act_s,
        )
        policy_service = PolicyLeaderService(server, terms)
        task_service = TaskLeaderService(server, terms)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async with anyio.create_task_group() as tasks:
                await tasks.start(server.run)
                tasks.start_soon(policy_service.run)
                tasks.start_soon(task_service.run)
                if config.metrics:
                    from zincladder.metrics.exporter import MetricsExporter
                    from zincladder.metrics.replica import ConnectionLimit, ReplicaRegistry

                    registry = ReplicaRegistry(server, policy_service, task_service)
                    told = MetricsExporter(config.metrics, registry, ConnectionLimit())
                    where = await tasks.start(told.run)
                    structlog.get_logger().info("metrics", listen=where)
                async for _ in signals:
                    break
                await server.transfer_leadership(ASIDE)
                tasks.cancel_scope.cancel()
    finally:
        store.close()
    structlog.get_logger().info("ended", entries=server.applied_index, led=server.is_leader)


def group_options(command: Any) -> Any:
    """--file, or --group with --at: which keepers to ask. `group` is their name and addresses."""

    @functools.wraps(command)
    def wrapped(*args: Any, file: Path | None, at: tuple[str, ...], group: str | None, **more: Any) -> Any:
        if file is not None:
            config = read_replica_config(file)
            found = (config.group, config.founders | config.via)
        elif group and at:
            found = (group, dict(place.partition("=")[::2] for place in at))
        else:
            raise click.UsageError("give --file, or --group with one --at or more")
        return command(*args, group=found, **more)

    for option in (
        click.option("--group", help="The group's name, with --at."),
        click.option("--at", multiple=True, metavar="NAME=ADDRESS", help="A keeper; instead of a file."),
        click.option("--file", type=click.Path(path_type=Path), help="The file of any keeper of the group."),
    ):
        wrapped = option(wrapped)
    return wrapped


@click.group()
@group_options
@click.pass_context
def replicas(context: click.Context, group: tuple[str, dict[str, str]]) -> None:
    """Who keeps a fleet's state: who leads, how far each one is, and who belongs to the group."""
    context.obj = group


def group_client(context: tuple[str, dict[str, str]]) -> Any:
    """A client of the group."""
    from zincladder.consensus.client import Client

    return Client(*context, name="keepers")


def run_call(call: Any) -> Any:
    """What an async call returns; a ClickException says whether nothing, or perhaps something, was done."""
    import anyio

    from zincladder.consensus.errors import OutcomeUnknownError, RequestFailedError

    try:
        return anyio.run(call)
    except RequestFailedError as fault:
        raise click.ClickException(f"nothing was done: {fault}") from None
    except OutcomeUnknownError as fault:
        raise click.ClickException(f"it may have been done, ask again: {fault}") from None


@replicas.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of a table.")
@click.pass_obj
def status(context: tuple[str, dict[str, str]], as_json: bool) -> None:
    """Ask each keeper how it stands. Exits with 1 if none of them leads."""
    from zincladder.consensus import rpc
    from zincladder.links.connection import LINK_ERRORS

    async def all_of_them() -> dict[str, Any]:
        import anyio

        client, found = group_client(context), {}

        async def one(name: str, where: str) -> None:
            try:
                found[name] = await client.ask_at(where, rpc.GetStatus(), 2.0)
            except LINK_ERRORS as fault:
                found[name] = str(fault) or "no answer"

        async with anyio.create_task_group() as tasks:
            for name, where in context[1].items():
                tasks.start_soon(one, name, where)
        return dict(sorted(found.items()))

    found = run_call(all_of_them)
    standing = {n: s for n, s in found.items() if isinstance(s, rpc.ReplicaStatus)}
    leading = [s for s in standing.values() if s.role == "leader"]
    leader = max(leading, key=lambda s: s.term, default=None)
    if as_json:
        from msgspec.structs import asdict

        click.echo(json.dumps({n: asdict(s) if n in standing else {"error": s} for n, s in found.items()}))
    else:
        from rich.console import Console

        Console().print(_table(context[0], found, standing, leader))
    sys.exit(0 if leader else 1)


def _table(group: str, found: dict[str, Any], standing: dict[str, Any], leader: Any) -> Any:
    from rich.table import Table

    title = f"{group}: {leader.name} leads in term {leader.term}" if leader else f"{group}: nobody leads"
    table = Table(title=title)
    for column in ("keeper", "role", "term", "entries", "behind", "kept_kb", "note"):
        table.add_column(
            column.replace("_", " "), justify="left" if column in ("keeper", "role", "note") else "right"
        )
    members = (leader.voters | leader.learners) if leader else {}
    for name in sorted(found.keys() | members.keys()):
        s = standing.get(name)
        notes = []
        if leader and name not in members:
            notes.append("no member")
        if leader and name in leader.learners:
            notes.append("learns, has no vote yet")
        if leader and name in leader.older:
            notes.append("came back with an older directory: remove it, and add it anew")
        if leader and name in leader.silent:
            notes.append("silent")
        if s is None:
            table.add_row(
                name, "?", "", "", "", "", "; ".join([*notes, str(found.get(name, "not asked"))]), style="red"
            )
            continue
        behind = str(max(0, leader.commit - s.commit)) if leader else ""
        table.add_row(
            name, s.role, str(s.term), str(s.last), behind, f"{s.bytes_kept / 1024:.0f}", "; ".join(notes)
        )
    return table


def _do(context: tuple[str, dict[str, str]], what: Any) -> None:
    from zincladder.consensus import rpc

    said = run_call(partial(group_client(context).ask, what))
    if isinstance(said, rpc.OutcomeUnknown):
        raise click.ClickException(f"it may have been done, look at the status: {said.why}")
    if not isinstance(said, rpc.Done):
        raise click.ClickException(f"nothing was done: {getattr(said, 'why', said)}")


@replicas.command()
@click.argument("name")
@click.argument("address")
@click.pass_obj
def add(context: tuple[str, dict[str, str]], name: str, address: str) -> None:
    """Add the keeper NAME, which runs at ADDRESS with an empty directory. It votes once it has the log."""
    from zincladder.consensus import rpc

    _do(context, rpc.ChangeMembership(add={name: address}))
    click.echo(f"{name} was added and takes the log in")


@replicas.command()
@click.argument("name")
@click.pass_obj
def remove(context: tuple[str, dict[str, str]], name: str) -> None:
    """Remove the keeper NAME. One that comes back under the name needs an empty directory."""
    from zincladder.consensus import rpc

    _do(context, rpc.ChangeMembership(remove=name))
    click.echo(f"{name} was removed")


@replicas.command("hand-over")
@click.pass_obj
def hand_over(context: tuple[str, dict[str, str]]) -> None:
    """Let another keeper lead, as before work on the machine of the one that does."""
    from zincladder.consensus import rpc

    _do(context, rpc.TransferLeadership())
    click.echo("the leader hands over")
