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


@dataclass(frozen=True)
class TaskStatus:
    """What `status` shows of a task."""

    task: str
    lease_holder: str
    token: int
    lease_seconds: float
    holder_linked: bool
    changed_seconds_ago: float
    checkpoint_bytes: int
    paused: bool
    vacancy_reason: str

    def as_json(self) -> dict[str, Any]:
        """With the keys that scripts read, which do not follow the names of fields."""
        return {
            "duty": self.task,
            "owner": self.lease_holder,
            "token": self.token,
            "lease_s": self.lease_seconds,
            "linked": self.holder_linked,
            "since": self.changed_seconds_ago,
            "progress_bytes": self.checkpoint_bytes,
            "paused": self.paused,
            "left": self.vacancy_reason,
        }

    def note(self) -> str:
        """Why nobody runs the task, or what may end that its holder does."""
        if self.lease_holder and not self.holder_linked:
            return "its holder has no link to the leader"
        return "paused" if self.paused else self.vacancy_reason


def _task_status(stored: StoredTasks, task: str) -> TaskStatus:
    assignment, token = stored.assignments[task]
    seen = stored.leader_view.get("duties", {}).get(task, {})
    return TaskStatus(
        task,
        assignment.lease_holder,
        token,
        seen.get("lease_s", 0.0),
        seen.get("linked", False),
        round(max(0.0, time.time() - assignment.changed_at), 1),
        stored.checkpoint_sizes.get(task, 0),
        assignment.paused,
        assignment.vacancy_reason,
    )


@tasks.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of a table.")
@click.pass_obj
def status(group: Group, as_json: bool) -> None:
    """Show each task: lease holder, token, what is left of the lease. Exits with 1 if one has no holder."""
    stored = _read_tasks(group)
    found = [_task_status(stored, task) for task in sorted(stored.assignments)]
    runners = stored.leader_view.get("workers", [])
    if as_json:
        click.echo(json.dumps({"duties": [task.as_json() for task in found], "workers": runners}))
    else:
        _print_table(group, found, runners)
    sys.exit(1 if any(not task.lease_holder and not task.paused for task in found) else 0)


def _print_table(group: Group, found: list[TaskStatus], runners: list[str]) -> None:
    from rich.console import Console
    from rich.table import Table

    table = Table(title=f"{group[0]}: {len(runners)} runners")
    for column in ("task", "holder", "token", "lease s", "for s", "checkpoint", "note"):
        table.add_column(column, justify="left" if column in ("task", "holder", "note") else "right")
    for task in found:
        table.add_row(
            task.task,
            task.lease_holder or "nobody",
            str(task.token),
            str(task.lease_seconds),
            str(task.changed_seconds_ago),
            f"{task.checkpoint_bytes} B",
            task.note(),
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
