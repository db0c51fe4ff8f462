"""`zincladder tasks`: which process runs each singleton task of the fleet, and which one is to."""

from __future__ import annotations

import json
import sys
import time
from dataclasses import dataclass
from typing import Any

import click

from zincladder.cli.group import group_client, group_options, run_call

Group = tuple[str, dict[str, str]]  # the group's name, and its replicas' addresses by name


@click.group()
@group_options
@click.pass_context
def tasks(context: click.Context, group: Group) -> None:
    """Singleton tasks of the fleet: one process at a time runs each."""
    context.obj = group


@dataclass(frozen=True)
class StoredTasks:
    """What the group tells of its tasks."""

    leader_view: dict[str, Any]
    assignments: dict[str, tuple[Any, int]]  # with the versions of their registers
    checkpoint_sizes: dict[str, int]  # in bytes


def _read_tasks(group: Group) -> StoredTasks:
    import msgspec

    from zincladder.consensus import rpc
    from zincladder.tasks.model import CHECKPOINT_PREFIX, TASK_PREFIX, TaskAssignment

    client = group_client(group)

    async def read() -> Any:
        reply = await client.request(rpc.GetProgress())
        return reply, await client.get(TASK_PREFIX), await client.get(CHECKPOINT_PREFIX)

    reply, registers, checkpoints = run_call(read)
    if not isinstance(reply, rpc.ProgressReport):
        raise click.ClickException(str(getattr(reply, "reason", reply)))
    assignments: dict[str, tuple[Any, int]] = {
        key.removeprefix(TASK_PREFIX): (
            msgspec.msgpack.decode(value.data, type=TaskAssignment),
            value.version,
        )
        for key, value in registers.items()
    }
    sizes = {key.removeprefix(CHECKPOINT_PREFIX): len(value.data) for key, value in checkpoints.items()}
    return StoredTasks(json.loads(reply.data), assignments, sizes)


@tasks.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of a table.")
@click.pass_obj
def status(group: Group, as_json: bool) -> None:
    """Show each task: lease holder, token, what is left of the lease. Exits with 1 if one has no holder."""
    stored = _read_tasks(group)
    rows = [_row(stored, task) for task in sorted(stored.assignments)]
    runners = stored.leader_view.get("workers", [])
    if as_json:
        click.echo(json.dumps({"duties": rows, "workers": runners}))
    else:
        _print_table(group, rows, runners)
    sys.exit(1 if any(not row["owner"] and not row["paused"] for row in rows) else 0)


def _row(stored: StoredTasks, task: str) -> dict[str, Any]:
    """A task's status. Scripts read the keys, so these do not follow the names of fields."""
    assignment, token = stored.assignments[task]
    seen = stored.leader_view.get("duties", {}).get(task, {})
    return {
        "duty": task,
        "owner": assignment.lease_holder,
        "token": token,
        "lease_s": seen.get("lease_s", 0.0),
        "linked": seen.get("linked", False),
        "since": round(max(0.0, time.time() - assignment.changed_at), 1),
        "progress_bytes": stored.checkpoint_sizes.get(task, 0),
        "paused": assignment.paused,
        "left": assignment.vacancy_reason,
    }


def _print_table(group: Group, rows: list[dict[str, Any]], runners: list[str]) -> None:
    from rich.console import Console
    from rich.table import Table

    table = Table(title=f"{group[0]}: {len(runners)} runners")
    for column in ("task", "holder", "token", "lease s", "for s", "checkpoint", "note"):
        table.add_column(column, justify="left" if column in ("task", "holder", "note") else "right")
    for row in rows:
        note = "paused" if row["paused"] else row["left"]
        if row["owner"] and not row["linked"]:
            note = "its holder has no link to the leader"
        table.add_row(
            row["duty"],
            row["owner"] or "nobody",
            str(row["token"]),
            str(row["lease_s"]),
            str(row["since"]),
            f"{row['progress_bytes']} B",
            note,
        )
    Console().print(table)


def _write(group: Group, task: str, **changes: Any) -> None:
    """Takes a task from its holder, which the leader then asks to stop, and waits for."""
    import msgspec

    from zincladder.consensus.key_value_state import CompareAndSwap, Swapped
    from zincladder.tasks.model import task_key

    assignments = _read_tasks(group).assignments
    if task not in assignments:
        raise click.ClickException(
            f"there is no task {task!r}, only {', '.join(sorted(assignments)) or 'none'}"
        )
    assignment, version = assignments[task]
    vacant = {"lease_holder": "", "process": "", "preferred_runner": "", "changed_at": time.time()}
    data = msgspec.msgpack.encode(msgspec.structs.replace(assignment, **(vacant | changes)))
    result = run_call(lambda: group_client(group).request(CompareAndSwap(task_key(task), version, data)))
    if not isinstance(result, Swapped):
        reason = getattr(result, "reason", "the task has changed meanwhile")
        raise click.ClickException(f"nothing was done: {reason}")


@tasks.command()
@click.argument("name")
@click.argument("runner")
@click.pass_obj
def move(group: Group, name: str, runner: str) -> None:
    """Give the task NAME to RUNNER, if it is there and offers to run it; else to somebody else."""
    _write(group, name, preferred_runner=runner, paused=False, vacancy_reason=f"to be moved to {runner}")
    click.echo(f"{name} goes to {runner} once its holder has stopped")


@tasks.command()
@click.argument("name")
@click.pass_obj
def pause(group: Group, name: str) -> None:
    """Let nobody run the task NAME until it is resumed. Its checkpoint is kept."""
    _write(group, name, paused=True, vacancy_reason="paused")
    click.echo(f"{name} is paused")


@tasks.command()
@click.argument("name")
@click.pass_obj
def resume(group: Group, name: str) -> None:
    """Let somebody run the task NAME again, from where it stopped."""
    _write(group, name, paused=False, vacancy_reason="resumed")
    click.echo(f"{name} goes on")
