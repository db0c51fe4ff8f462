"""`zincladder policy`: shows the policy of a fleet, and proposes changes to it."""

from __future__ import annotations

import json
import sys
import time
from getpass import getuser
from pathlib import Path
from typing import Any

import click

from zincladder.cli import policy_client as client
from zincladder.cli import policy_output as output
from zincladder.cli.group import group_options
from zincladder.cli.policy_client import Group

POLL_SECONDS = 0.1  # between two reads of the change log while a change is followed
EXIT_FAILED = 1  # the change was not proposed, or was withdrawn
EXIT_UNDECIDED = 3  # the change was still open after --wait


@click.group()
@group_options
@click.pass_context
def policy(context: click.Context, group: Group) -> None:
    """Show and change the policy of a fleet. A change takes effect on all fronts or on none."""
    context.obj = group


author_option = click.option(
    "--author", default=getuser, help="The author to record. Default: the current user."
)


def following_options(command: Any) -> Any:
    """Adds the options of the commands that follow a change."""
    for option in (
        click.option("--json", "as_json", is_flag=True, help="Print JSON, one line for each step."),
        click.option(
            "--wait",
            "wait_seconds",
            default=60.0,
            show_default=True,
            help="Seconds to follow the change.",
        ),
    ):
        command = option(command)
    return command


@policy.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.pass_obj
def check(group: Group, file: Path) -> None:
    """Read a policy from FILE (JSON or TOML) and print what it would change. Nothing is proposed."""
    new, change_log = client.read_policy_file(file), client.read_change_log(group)
    differences = client.differences(group, change_log.record.document, new)
    output.print_differences(differences)
    click.echo(f"{len(differences)} keys differ from version {change_log.record.version}")


@policy.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--note", required=True, help="The reason for the change, shown in the history.")
@author_option
@click.option("--base", type=int, help="The version that it is based on. Default: the one in force.")
@following_options
@click.pass_obj
def propose(
    group: Group,
    file: Path,
    note: str,
    base: int | None,
    author: str,
    wait_seconds: float,
    as_json: bool,
) -> None:
    """Propose the policy in FILE and follow the change until it is in force everywhere or withdrawn.

    Exits with 1 if the change was not proposed or was withdrawn, and with 3 if it is still open after --wait.
    The change goes on if this command is stopped.
    """
    version, document = client.propose(group, client.read_policy_file(file), note, author, base)
    _follow(group, version, document, wait_seconds, as_json)


@policy.command()
@click.argument("version", type=int)
@click.option("--note", default="", help="The reason for the change, shown in the history.")
@author_option
@following_options
@click.pass_obj
def back(group: Group, version: int, note: str, author: str, wait_seconds: float, as_json: bool) -> None:
    """Propose the policy of VERSION again, as a new change. Has the exit codes of `propose`."""
    document = client.document_of_version(client.read_change_log(group), version)
    restored = client.read_document(group, document)
    note = note or f"back to version {version}"
    proposed, document = client.propose(group, restored, note, author, None)
    _follow(group, proposed, document, wait_seconds, as_json)


def _follow(group: Group, version: int, document: str, wait_seconds: float, as_json: bool) -> None:
    """Prints each step of a change until the change has ended or the wait is over, and exits.

    Raises click.ClickException if the change is no longer recorded.
    """
    from zincladder.policy.model import ChangeOutcome

    deadline, printed = time.monotonic() + wait_seconds, ""
    while time.monotonic() < deadline:
        record = client.read_change_log(group).record
        entry = next(
            (logged for logged in record.log if (logged.version, logged.document) == (version, document)),
            None,
        )
        if entry is not None:
            output.print_outcome(entry, as_json)
            sys.exit(0 if entry.outcome is ChangeOutcome.ACTIVATED else EXIT_FAILED)
        change = record.open_change
        if change is None or (change.version, change.document) != (version, document):
            raise click.ClickException(f"version {version} is on record no more")
        view = client.leader_view(group)
        step = json.dumps([change.phase, _without_leases(view)])
        if step != printed:
            printed = step
            output.print_phase(change, view, as_json)
        time.sleep(POLL_SECONDS)
    click.echo(f"version {version} is not at its end yet: `zincladder policy status` tells", err=True)
    sys.exit(EXIT_UNDECIDED)


def _without_leases(view: dict[str, Any]) -> dict[str, Any]:
    """Returns the leader's view without the remaining lease times, which alone do not make a new step."""
    return view | {"fronts": {name: front["state"] for name, front in view.get("fronts", {}).items()}}


@policy.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of a table.")
@click.pass_obj
def status(group: Group, as_json: bool) -> None:
    """Show the version in force, the open change, and each front that takes part."""
    record = client.read_change_log(group).record
    output.print_status(record, client.leader_view(group), as_json)


@policy.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON, one line for each change.")
@click.pass_obj
def history(group: Group, as_json: bool) -> None:
    """List all recorded changes, oldest first."""
    for entry in client.read_change_log(group).record.log:
        output.print_entry(entry, as_json)


@policy.command()
@click.argument("old", type=int)
@click.argument("new", type=int, required=False)
@click.pass_obj
def diff(group: Group, old: int, new: int | None) -> None:
    """Show what differs between two versions. Without NEW, compares OLD with the version in force."""
    change_log = client.read_change_log(group)
    in_force = change_log.record.version
    new_document = client.document_of_version(change_log, in_force if new is None else new)
    old_document = client.document_of_version(change_log, old)
    output.print_differences(
        client.differences(group, old_document, client.read_document(group, new_document))
    )


@policy.command()
@click.argument("version", type=int, required=False)
@click.pass_obj
def show(group: Group, version: int | None) -> None:
    """Print a version as JSON. Without VERSION, prints the one in force."""
    change_log = client.read_change_log(group)
    shown = change_log.record.version if version is None else version
    document = client.document_of_version(change_log, shown)
    click.echo(json.dumps(client.read_document(group, document), indent=2, sort_keys=True))


@policy.command()
@click.argument("front")
@click.pass_obj
def forget(group: Group, front: str) -> None:
    """Stop expecting a FRONT, so that it does not count as absent. It is expected again once it is back."""
    client.forget_front(group, front)
    click.echo(f"{front} is expected no more")
