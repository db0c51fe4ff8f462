"""`zincladder replicas`: shows the status of a group of replicas, and changes its members."""

from __future__ import annotations

import json
import sys
from functools import partial
from typing import TYPE_CHECKING, Any

import click

from zincladder.cli.group import Group, group_client, group_options, run_call

if TYPE_CHECKING:
    # A command imports these only when it needs them, so that other commands start without loading rich
    # and the consensus package.
    from rich.table import Table

    from zincladder.consensus import rpc

STATUS_TIMEOUT_SECONDS = 2.0
BYTES_PER_KB = 1024
# Maps the fields of a replica's status to the keys of `status --json`, which scripts read.
JSON_KEYS = {
    "name": "name",
    "role": "role",
    "leader": "leader",
    "term": "term",
    "commit_index": "commit",
    "last_index": "last",
    "snapshot_index": "base",
    "voters": "voters",
    "learners": "learners",
    "match_indexes": "stored",
    "silent_peers": "silent",
    "stale_peers": "older",
    "key_count": "registers",
    "journal_bytes": "bytes_kept",
}
# The table's columns. True marks text, which is aligned to the left.
COLUMNS = {
    "replica": True,
    "role": True,
    "term": False,
    "entries": False,
    "behind": False,
    "kept kb": False,
    "note": True,
}


@click.group()
@group_options
@click.pass_context
def replicas(context: click.Context, group: Group) -> None:
    """Show the replicas that store a fleet's state, and change which of them belong to the group."""
    context.obj = group


@replicas.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of a table.")
@click.pass_obj
def status(group: Group, as_json: bool) -> None:
    """Show the status of each replica. Exits with 1 if none of them is the leader."""
    answers = run_call(partial(_fetch_statuses, group))
    statuses = {name: answer for name, answer in answers.items() if not isinstance(answer, str)}
    leaders = [replica for replica in statuses.values() if replica.role == "leader"]
    leader = max(leaders, key=lambda replica: replica.term, default=None)
    if as_json:
        click.echo(json.dumps({name: json_row(answer) for name, answer in answers.items()}))
    else:
        from rich.console import Console

        Console().print(_table(group[0], answers, leader))
    sys.exit(0 if leader else 1)


def json_row(answer: rpc.ReplicaStatus | str) -> dict[str, Any]:
    """Returns a replica's status as `status --json` prints it, or the error of the request."""
    if isinstance(answer, str):
        return {"error": answer}
    return {key: getattr(answer, field) for field, key in JSON_KEYS.items()}


async def _fetch_statuses(group: Group) -> dict[str, rpc.ReplicaStatus | str]:
    """Returns the status of each replica by its name, or the error of the request."""
    import anyio

    from zincladder.consensus import rpc
    from zincladder.links.connection import LINK_ERRORS

    client = group_client(group)
    answers: dict[str, rpc.ReplicaStatus | str] = {}

    async def fetch(name: str, address: str) -> None:
        try:
            answer = await client.request_from(address, rpc.GetStatus(), STATUS_TIMEOUT_SECONDS)
            answers[name] = answer if isinstance(answer, rpc.ReplicaStatus) else str(answer)
        except LINK_ERRORS as error:
            answers[name] = str(error) or "no answer"

    async with anyio.create_task_group() as tasks:
        for name, address in group[1].items():
            tasks.start_soon(fetch, name, address)
    return dict(sorted(answers.items()))


def _table(
    group: str, answers: dict[str, rpc.ReplicaStatus | str], leader: rpc.ReplicaStatus | None
) -> Table:
    from rich.table import Table

    title = f"{group}: {leader.name} leads in term {leader.term}" if leader else f"{group}: nobody leads"
    table = Table(title=title)
    for column, is_text in COLUMNS.items():
        table.add_column(column, justify="left" if is_text else "right")
    members = leader.voters | leader.learners if leader else {}
    for name in sorted(answers.keys() | members.keys()):
        answer = answers.get(name, "not asked")
        notes = _notes(name, leader) if leader else []
        if isinstance(answer, str):
            table.add_row(name, "?", "", "", "", "", "; ".join([*notes, answer]), style="red")
        else:
            table.add_row(name, *_row(answer, leader, notes))
    return table


def _notes(name: str, leader: rpc.ReplicaStatus) -> list[str]:
    """Returns what an operator should see about a replica, taken from the leader's status."""
    notes: list[str] = []
    if name not in leader.voters | leader.learners:
        notes.append("no member")
    if name in leader.learners:
        notes.append("learns, has no vote yet")
    if name in leader.stale_peers:
        notes.append("came back with an older directory: remove it, and add it anew")
    if name in leader.silent_peers:
        notes.append("silent")
    return notes


def _row(answer: rpc.ReplicaStatus, leader: rpc.ReplicaStatus | None, notes: list[str]) -> list[str]:
    lag_entries = str(max(0, leader.commit_index - answer.commit_index)) if leader else ""
    return [
        answer.role,
        str(answer.term),
        str(answer.last_index),
        lag_entries,
        f"{answer.journal_bytes / BYTES_PER_KB:.0f}",
        "; ".join(notes),
    ]


def _request(group: Group, body: Any) -> None:
    """Sends a request to the leader. Raises click.ClickException if it failed or its outcome is unknown."""
    from zincladder.consensus import rpc

    response = run_call(partial(group_client(group).request, body))
    if isinstance(response, rpc.OutcomeUnknown):
        raise click.ClickException(f"it may have been done, look at the status: {response.reason}")
    if not isinstance(response, rpc.Done):
        raise click.ClickException(f"nothing was done: {getattr(response, 'reason', response)}")


@replicas.command()
@click.argument("name")
@click.argument("address")
@click.pass_obj
def add(group: Group, name: str, address: str) -> None:
    """Add the replica NAME, which runs at ADDRESS with an empty directory. It votes once it has the log."""
    from zincladder.consensus import rpc

    _request(group, rpc.ChangeMembership(add={name: address}))
    click.echo(f"{name} was added and takes the log in")


@replicas.command()
@click.argument("name")
@click.pass_obj
def remove(group: Group, name: str) -> None:
    """Remove the replica NAME. To join again under this name, a replica needs an empty directory."""
    from zincladder.consensus import rpc

    _request(group, rpc.ChangeMembership(remove=name))
    click.echo(f"{name} was removed")


@replicas.command("hand-over")
@click.pass_obj
def transfer_leadership(group: Group) -> None:
    """Transfer leadership to another replica, for example before maintenance on the leader's machine."""
    from zincladder.consensus import rpc

    _request(group, rpc.TransferLeadership())
    click.echo("the leader hands over")
