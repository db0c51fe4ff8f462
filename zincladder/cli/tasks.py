"""`zincladder tasks`: shows which process runs each singleton task, and moves, pauses and resumes tasks."""

from __future__ import annotations

import json
import sys
import time
from dataclasses import dataclass
from typing import Any

import click

from zincladder.cli.group import group_client, group_options, run_call

Group = tuple[str, dict[str, str]]  # the group's name, and the address of each replica by its name


@click.group()
@group_options
@click.pass_context
def tasks(context: click.Context, group: Group) -> None:
    """Show and control the singleton tasks of the fleet, each of which runs in one process at a time."""
    context.obj = group


@dataclass(frozen=True)
class StoredTasks:
    """The leader's view of the tasks, and by task name the stored assignments and sizes of checkpoints."""

    leader_view: dict[str, Any]
    assignments: dict[str, tuple[Any, int]]  # each with its fencing token
    checkpoint_sizes: dict[str, int]  # bytes


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
    """The status of one task, as the command `status` shows it."""

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
        """Returns the status with the JSON keys that scripts read, which stay if a field is renamed."""
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
        """Returns why the task has no holder, or that its holder has no link; "" if a linked one holds it."""
        if self.lease_holder and not self.holder_linked:
            return "its holder has no link to the leader"
        return "paused" if self.paused else self.vacancy_reason


def _task_status(stored: StoredTasks, task: str) -> TaskStatus:
    assignment, token = stored.assignments[task]
    reported = stored.leader_view.get("duties", {}).get(task, {})
    return TaskStatus(
        task,
        assignment.lease_holder,
        token,
        reported.get("lease_s", 0.0),
        reported.get("linked", False),
        round(max(0.0, time.time() - assignment.changed_at), 1),
        stored.checkpoint_sizes.get(task, 0),
        assignment.paused,
        assignment.vacancy_reason,
    )


@tasks.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of a table.")
@click.pass_obj
def status(group: Group, as_json: bool) -> None:
    """Show the lease holder, token and remaining lease time of each task.

    Exits with 1 if a task that is not paused has no holder.
    """
    stored = _read_tasks(group)
    statuses = [_task_status(stored, task) for task in sorted(stored.assignments)]
    runners = stored.leader_view.get("workers", [])
    if as_json:
        click.echo(json.dumps({"duties": [task.as_json() for task in statuses], "workers": runners}))
    else:
        _print_table(group, statuses, runners)
    sys.exit(1 if any(not task.lease_holder and not task.paused for task in statuses) else 0)


def _print_table(group: Group, statuses: list[TaskStatus], runners: list[str]) -> None:
    from rich.console import Console
    from rich.table import Table

    table = Table(title=f"{group[0]}: {len(runners)} runners")
    for column in ("task", "holder", "token", "lease s", "for s", "checkpoint", "note"):
        table.add_column(column, justify="left" if column in ("task", "holder", "note") else "right")
    for task in statuses:
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


def _vacate(group: Group, task: str, **changes: Any) -> None:
    """Stores a task without a lease holder, and with the given changes to its assignment.

    The leader then revokes the former holder's lease, and does not assign the task before that lease has been
    released or has expired. Raises click.ClickException if the task does not exist or was changed meanwhile.
    """
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
    """Move the task NAME to RUNNER, or to another runner if RUNNER is absent or does not offer to run it."""
    _vacate(group, name, preferred_runner=runner, paused=False, vacancy_reason=f"to be moved to {runner}")
    click.echo(f"{name} goes to {runner} once its holder has stopped")


@tasks.command()
@click.argument("name")
@click.pass_obj
def pause(group: Group, name: str) -> None:
    """Stop the task NAME until it is resumed. Its checkpoint is kept."""
    _vacate(group, name, paused=True, vacancy_reason="paused")
    click.echo(f"{name} is paused")


@tasks.command()
@click.argument("name")
@click.pass_obj
def resume(group: Group, name: str) -> None:
    """Let a runner run the task NAME again, from its checkpoint."""
    _vacate(group, name, paused=False, vacancy_reason="resumed")
    click.echo(f"{name} goes on")
