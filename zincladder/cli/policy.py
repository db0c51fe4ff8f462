"""`zincladder policy`: the one policy of a fleet, and changes of it."""

from __future__ import annotations

import json
import sys
import time
import tomllib
from datetime import UTC, datetime
from getpass import getuser
from pathlib import Path
from typing import Any

import click

from zincladder.cli.replica import group_client, group_options, run_call

EVERY = 0.1  # seconds between two looks at a change
Group = tuple[str, dict[str, str]]


@click.group()
@group_options
@click.pass_context
def policy(context: click.Context, group: Group) -> None:
    """The policy of a fleet: what is in force, what was, and changes that take hold everywhere or nowhere."""
    context.obj = group


def _read(file: Path) -> dict[str, Any]:
    from zincladder.config import ConfigError
    from zincladder.policy.document import parsed

    try:
        data = file.read_bytes()
        if file.suffix == ".toml":
            data = json.dumps(tomllib.loads(data.decode())).encode()
        return parsed(data)
    except (OSError, ValueError, ConfigError) as fault:
        raise click.ClickException(f"{file}: {fault}") from None


def _book(group: Group) -> Any:
    """The record. Documents are fetched one by one: all of them together may not fit a message."""
    from zincladder.policy import book
    from zincladder.policy.model import RECORD

    return book.read(run_call(lambda: group_client(group).get(RECORD)))


def _content(group: Group, document: str) -> dict[str, Any]:
    from zincladder.policy.model import DOCUMENTS

    if not document:
        return {}
    key = DOCUMENTS + document
    found = run_call(lambda: group_client(group).get(key)).get(key)
    if found is None:
        raise click.ClickException(f"document {document} is not kept any more")
    content: dict[str, Any] = json.loads(found.data)
    return content


def _document(found: Any, version: int) -> str:
    """The document of a version that is or was in force, or was tried."""
    if version == 0:
        return ""
    if version == found.record.version:
        return str(found.record.document)
    for past in reversed(found.record.history):
        if past.version == version:
            return str(past.document)
    raise click.ClickException(f"there is no version {version} on record")


def _differences(group: Group, old: str, new: dict[str, Any]) -> list[tuple[str, Any, Any]]:
    from zincladder.policy.document import difference

    return difference(_content(group, old), new)


def _show(differences: list[tuple[str, Any, Any]]) -> None:
    for path, was, now in differences:
        if was is not None:
            click.echo(f"- {path} = {json.dumps(was)}")
        if now is not None:
            click.echo(f"+ {path} = {json.dumps(now)}")


@policy.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.pass_obj
def check(group: Group, file: Path) -> None:
    """Read a policy from FILE (JSON, or TOML) and print what it would change. Nothing is proposed."""
    new, found = _read(file), _book(group)
    differences = _differences(group, found.record.document, new)
    _show(differences)
    click.echo(f"{len(differences)} keys differ from version {found.record.version}")


@policy.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--note", required=True, help="Why, for the history.")
@click.option("--author", default=getuser, help="Who; else the user that runs this.")
@click.option("--base", type=int, help="The version that it was made from; else the one in force now.")
@click.option("--wait", default=60.0, show_default=True, help="Seconds to follow the change.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON, a line for each step.")
@click.pass_obj
def propose(
    group: Group, file: Path, note: str, author: str, base: int | None, wait: float, as_json: bool
) -> None:
    """Propose the policy in FILE and follow it until it is in force everywhere or withdrawn.

    Exits with 1 if it was not made or came to nothing, with 3 if it is not known yet. Ending this command
    stops nothing.
    """
    _propose(group, _read(file), note, author, base, wait, as_json)


@policy.command()
@click.argument("version", type=int)
@click.option("--note", default="", help="Why, for the history.")
@click.option("--author", default=getuser, help="Who; else the user that runs this.")
@click.option("--wait", default=60.0, show_default=True, help="Seconds to follow the change.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON, a line for each step.")
@click.pass_obj
def back(group: Group, version: int, note: str, author: str, wait: float, as_json: bool) -> None:
    """Propose what VERSION said, as a new change. Exits as `propose` does."""
    found = _book(group)
    content = _content(group, _document(found, version))
    _propose(group, content, note or f"back to version {version}", author, None, wait, as_json)


def _propose(
    group: Group,
    content: dict[str, Any],
    note: str,
    author: str,
    base: int | None,
    wait: float,
    as_json: bool,
) -> None:
    from zincladder.consensus.key_value_state import CapacityExceeded, VersionMismatch
    from zincladder.policy import book
    from zincladder.policy.conductor import proposed
    from zincladder.policy.document import canonical
    from zincladder.policy.model import document_id

    client, data = group_client(group), canonical(content)
    found = _book(group)
    base = found.record.version if base is None else base
    try:
        document = book.document_swap(data)
    except book.Unfit as fault:
        raise click.ClickException(str(fault)) from None
    name = document_id(data)
    new = proposed(found.record, base, name, author, note, time.time())
    if isinstance(new, str):
        raise click.ClickException(f"not proposed: {new}")
    assert new.open is not None
    said = run_call(lambda: client.compare_and_swap(document.key, document.expected, document.data))
    if isinstance(said, CapacityExceeded):
        raise click.ClickException(f"not proposed: {said.why}")
    swap = book.record_swap(found.at, new)
    said = run_call(lambda: client.compare_and_swap(swap.key, swap.expected, swap.data))
    if isinstance(said, VersionMismatch):
        now = _book(group).record
        what = f"version {now.open.version} by {now.open.author} is under way" if now.open else ""
        raise click.ClickException(f"not proposed: {what or f'version {now.version} came first'}")
    if isinstance(said, CapacityExceeded):
        raise click.ClickException(f"not proposed: {said.why}")
    _follow(group, new.open.version, name, wait, as_json)


def _follow(group: Group, version: int, document: str, wait: float, as_json: bool) -> None:
    """Tells each step of a change until it has come to its end."""
    until, last = time.monotonic() + wait, ""
    while time.monotonic() < until:
        record = _book(group).record
        line: dict[str, Any]
        past = next((p for p in record.history if (p.version, p.document) == (version, document)), None)
        if past is not None:
            line = {
                "version": version,
                "outcome": past.outcome,
                "reasons": past.reasons,
                "absent": past.absent,
            }
            _say(line, as_json)
            sys.exit(0 if past.outcome == "held" else 1)
        if record.open is None or (record.open.version, record.open.document) != (version, document):
            raise click.ClickException(f"version {version} is on record no more")
        line = {"version": version, "phase": record.open.phase} | _progress(group)
        shown = json.dumps(line | {"fronts": {n: f["state"] for n, f in line.get("fronts", {}).items()}})
        if shown != last:
            last = shown
            _say(line, as_json)
        time.sleep(EVERY)
    click.echo(f"version {version} is not at its end yet: `zincladder policy status` tells", err=True)
    sys.exit(3)


def _say(line: dict[str, Any], as_json: bool) -> None:
    if as_json:
        click.echo(json.dumps(line))
        return
    if "outcome" in line:
        click.echo(f"version {line['version']} {line['outcome']}")
        for why in line["reasons"]:
            click.echo(f"  {why}")
        if line["absent"]:
            click.echo(f"  not reached, and bound by it all the same: {', '.join(line['absent'])}")
        return
    states: dict[str, int] = {}
    for front in line.get("fronts", {}).values():
        states[front["state"]] = states.get(front["state"], 0) + 1
    told = ", ".join(f"{n} {s}" for s, n in sorted(states.items())) or "no front is linked"
    waits = f"; waits for {', '.join(line['waits_for'])}" if line.get("waits_for") else ""
    click.echo(f"version {line['version']} {line['phase']}: {told}{waits}")


def _progress(group: Group) -> dict[str, Any]:
    from zincladder.consensus import rpc

    said = run_call(lambda: group_client(group).ask(rpc.GetProgress()))
    found: dict[str, Any] = json.loads(said.data) if isinstance(said, rpc.ProgressReport) else {}
    return found


@policy.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of a table.")
@click.pass_obj
def status(group: Group, as_json: bool) -> None:
    """Show the version in force, the change under way, and each front that takes part."""
    from msgspec.structs import asdict

    record, progress = _book(group).record, _progress(group)
    if as_json:
        change = asdict(record.open) if record.open else None
        in_force = {"version": record.version, "document": record.document, "open": change}
        click.echo(json.dumps(in_force | progress))
        return
    click.echo(f"in force: version {record.version}" + (f" ({record.document})" if record.version else ""))
    if record.open:
        c = record.open
        click.echo(f"under way: version {c.version} by {c.author}, {c.phase}: {c.note}")
    if progress.get("waits_for"):
        click.echo(f"waits for: {', '.join(progress['waits_for'])}")
    from rich.console import Console
    from rich.table import Table

    table = Table()
    for column in ("front", "state", "lease left, s"):
        table.add_column(column)
    for name, front in sorted(progress.get("fronts", {}).items()):
        table.add_row(name, front["state"], f"{front['lease_s']:.1f}")
    for name in progress.get("absent", []):
        table.add_row(name, "absent", "", style="red")
    Console().print(table)


@policy.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON, a line for each change.")
@click.pass_obj
def history(group: Group, as_json: bool) -> None:
    """List all changes on record, oldest first."""
    from msgspec.structs import asdict

    for past in _book(group).record.history:
        if as_json:
            click.echo(json.dumps(asdict(past)))
            continue
        at = datetime.fromtimestamp(past.at, UTC).strftime("%Y-%m-%d %H:%M:%S")
        click.echo(f"{past.version:5} {past.outcome:9} {at} {past.author}: {past.note}")
        for why in past.reasons:
            click.echo(f"      {why}")


@policy.command()
@click.argument("old", type=int)
@click.argument("new", type=int, required=False)
@click.pass_obj
def diff(group: Group, old: int, new: int | None) -> None:
    """Show what differs between two versions; without NEW, between OLD and the one in force."""
    found = _book(group)
    document = _document(found, found.record.version if new is None else new)
    _show(_differences(group, _document(found, old), _content(group, document)))


@policy.command("show")
@click.argument("version", type=int, required=False)
@click.pass_obj
def show(group: Group, version: int | None) -> None:
    """Print a version as JSON; without VERSION the one in force."""
    found = _book(group)
    document = _document(found, found.record.version if version is None else version)
    click.echo(json.dumps(_content(group, document), indent=2, sort_keys=True))


@policy.command("forget")
@click.argument("front")
@click.pass_obj
def forget(group: Group, front: str) -> None:
    """Expect a FRONT no more: it is counted as absent no longer. One that comes back is expected again."""
    from zincladder.policy.model import ROSTER

    client = group_client(group)
    key = ROSTER + front
    found = run_call(lambda: client.get(key)).get(key)
    if found is None:
        raise click.ClickException(f"{front!r} is not expected")
    run_call(lambda: client.compare_and_swap(key, found.version, None))
    click.echo(f"{front} is expected no more")
