"""`zincladder duties`: who does what for the fleet, and who is to."""

from __future__ import annotations

import json
import sys
import time
from typing import Any

import click

from zincladder.cli.replica import group_client, group_options, run_call

Group = tuple[str, dict[str, str]]


@click.group()
@group_options
@click.pass_context
def duties(context: click.Context, group: Group) -> None:
    """Work on behalf of the fleet: each duty has one owner at a time."""
    context.obj = group


def _found(group: Group) -> tuple[dict[str, Any], dict[str, tuple[Any, int]], dict[str, int]]:
    """What the leader sees, the duties with their registers' versions, and the sizes of their progress."""
    import msgspec

    from zincladder.consensus import rpc
    from zincladder.ownership.model import DUTIES, PROGRESS, Duty

    client = group_client(group)

    async def both() -> Any:
        said = await client.ask(rpc.GetProgress())
        return said, await client.get(DUTIES), await client.get(PROGRESS)

    said, registers, progress = run_call(both)
    if not isinstance(said, rpc.ProgressReport):
        raise click.ClickException(str(getattr(said, "why", said)))
    found: dict[str, tuple[Any, int]] = {
        name.removeprefix(DUTIES): (msgspec.msgpack.decode(value.data, type=Duty), value.version)
        for name, value in registers.items()
    }
    kept = {name.removeprefix(PROGRESS): len(value.data) for name, value in progress.items()}
    seen: dict[str, Any] = json.loads(said.data)
    return seen, found, kept


@duties.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of a table.")
@click.pass_obj
def status(group: Group, as_json: bool) -> None:
    """Show each duty: owner, token, what is left of the lease. Exits with 1 if one has no owner."""
    seen, found, kept = _found(group)
    rows = []
    for name, (duty, token) in sorted(found.items()):
        leader = seen.get("duties", {}).get(name, {})
        rows.append(
            {
                "duty": name,
                "owner": duty.owner,
                "token": token,
                "lease_s": leader.get("lease_s", 0.0),
                "linked": leader.get("linked", False),
                "since": round(max(0.0, time.time() - duty.at), 1),
                "progress_bytes": kept.get(name, 0),
                "paused": duty.paused,
                "left": duty.left,
            }
        )
    if as_json:
        click.echo(json.dumps({"duties": rows, "workers": seen.get("workers", [])}))
    else:
        _table(group, rows, seen.get("workers", []))
    sys.exit(1 if any(not row["owner"] and not row["paused"] for row in rows) else 0)


def _table(group: Group, rows: list[dict[str, Any]], workers: list[str]) -> None:
    from rich.console import Console
    from rich.table import Table

    table = Table(title=f"{group[0]}: {len(workers)} workers")
    for column in ("duty", "owner", "token", "lease s", "for s", "progress", "note"):
        table.add_column(column, justify="left" if column in ("duty", "owner", "note") else "right")
    for row in rows:
        note = "paused" if row["paused"] else row["left"]
        if row["owner"] and not row["linked"]:
            note = "its owner has no link to the leader"
        owner = row["owner"] or "nobody"
        progress = f"{row['progress_bytes']} B"
        table.add_row(
            row["duty"], owner, str(row["token"]), str(row["lease_s"]), str(row["since"]), progress, note
        )
    Console().print(table)


def _write(group: Group, name: str, **changes: Any) -> None:
    """Sets a duty's register, without an owner: the leader asks whoever had it to stop, and waits for it."""
    import msgspec

    from zincladder.consensus.key_value_state import CompareAndSwap, Swapped
    from zincladder.ownership.model import key

    _, found, _ = _found(group)
    if name not in found:
        raise click.ClickException(f"there is no duty {name!r}, only {', '.join(sorted(found)) or 'none'}")
    duty, version = found[name]
    fields = {"owner": "", "process": "", "wish": "", "at": time.time()}
    data = msgspec.msgpack.encode(msgspec.structs.replace(duty, **(fields | changes)))
    said = run_call(lambda: group_client(group).ask(CompareAndSwap(key(name), version, data)))
    if not isinstance(said, Swapped):
        raise click.ClickException(
            f"nothing was done: {getattr(said, 'why', 'the duty has changed meanwhile')}"
        )


@duties.command()
@click.argument("name")
@click.argument("worker")
@click.pass_obj
def move(group: Group, name: str, worker: str) -> None:
    """Give the duty NAME to WORKER, if it is there and wants it; else to somebody else."""
    _write(group, name, wish=worker, paused=False, left=f"to be moved to {worker}")
    click.echo(f"{name} goes to {worker} once its owner has stopped")


@duties.command()
@click.argument("name")
@click.pass_obj
def pause(group: Group, name: str) -> None:
    """Let nobody do the duty NAME until it is resumed. Its progress is kept."""
    _write(group, name, paused=True, left="paused")
    click.echo(f"{name} is paused")


@duties.command()
@click.argument("name")
@click.pass_obj
def resume(group: Group, name: str) -> None:
    """Let somebody do the duty NAME again, from where it stopped."""
    _write(group, name, paused=False, left="resumed")
    click.echo(f"{name} goes on")
