"""The output of the policy commands. JSON keys are read by scripts and stay if a field is renamed."""

from __future__ import annotations

import json
from collections import Counter
from datetime import UTC, datetime
from typing import TYPE_CHECKING, Any

import click

if TYPE_CHECKING:
    from zincladder.policy.model import ChangeLogEntry, PolicyChange, PolicyRecord


def entry_json(entry: ChangeLogEntry) -> dict[str, Any]:
    """Returns an entry of the change log with the keys of the JSON output."""
    return {
        "version": entry.version,
        "document": entry.document,
        "author": entry.author,
        "note": entry.note,
        "at": entry.proposed_at,
        "outcome": entry.outcome,
        "reasons": entry.reasons,
        "absent": entry.absent,
    }


def change_json(change: PolicyChange) -> dict[str, Any]:
    """Returns an open change with the keys of the JSON output."""
    return {
        "version": change.version,
        "document": change.document,
        "author": change.author,
        "note": change.note,
        "at": change.proposed_at,
        "phase": change.phase,
    }


def print_differences(differences: list[tuple[str, Any, Any]]) -> None:
    """Prints each path that differs, with its old and its new value."""
    for path, old, new in differences:
        if old is not None:
            click.echo(f"- {path} = {json.dumps(old)}")
        if new is not None:
            click.echo(f"+ {path} = {json.dumps(new)}")


def print_outcome(entry: ChangeLogEntry, as_json: bool) -> None:
    """Prints how a followed change has ended."""
    if as_json:
        keys = ("version", "outcome", "reasons", "absent")
        fields = entry_json(entry)
        click.echo(json.dumps({key: fields[key] for key in keys}))
        return
    click.echo(f"version {entry.version} {entry.outcome}")
    for reason in entry.reasons:
        click.echo(f"  {reason}")
    if entry.absent:
        click.echo(f"  not reached, and bound by it all the same: {', '.join(entry.absent)}")


def print_phase(change: PolicyChange, view: dict[str, Any], as_json: bool) -> None:
    """Prints the phase of a followed change, with the leader's view of the fronts."""
    if as_json:
        click.echo(json.dumps({"version": change.version, "phase": change.phase} | view))
        return
    states = Counter(front["state"] for front in view.get("fronts", {}).values())
    fronts = ", ".join(f"{count} {state}" for state, count in sorted(states.items()))
    waits = f"; waits for {', '.join(view['waits_for'])}" if view.get("waits_for") else ""
    click.echo(f"version {change.version} {change.phase}: {fronts or 'no front is linked'}{waits}")


def print_status(record: PolicyRecord, view: dict[str, Any], as_json: bool) -> None:
    """Prints the version in force, the open change, and the leader's view of the fronts."""
    change = record.open_change
    if as_json:
        in_force = {
            "version": record.version,
            "document": record.document,
            "open": change_json(change) if change else None,
        }
        click.echo(json.dumps(in_force | view))
        return
    click.echo(f"in force: version {record.version}" + (f" ({record.document})" if record.version else ""))
    if change:
        click.echo(f"under way: version {change.version} by {change.author}, {change.phase}: {change.note}")
    if view.get("waits_for"):
        click.echo(f"waits for: {', '.join(view['waits_for'])}")
    _print_fronts(view)


def _print_fronts(view: dict[str, Any]) -> None:
    from rich.console import Console
    from rich.table import Table

    table = Table()
    for column in ("front", "state", "lease left, s"):
        table.add_column(column)
    for name, front in sorted(view.get("fronts", {}).items()):
        table.add_row(name, front["state"], f"{front['lease_s']:.1f}")
    for name in view.get("absent", []):
        table.add_row(name, "absent", "", style="red")
    Console().print(table)


def print_entry(entry: ChangeLogEntry, as_json: bool) -> None:
    """Prints an entry of the change log."""
    if as_json:
        click.echo(json.dumps(entry_json(entry)))
        return
    at = datetime.fromtimestamp(entry.proposed_at, UTC).strftime("%Y-%m-%d %H:%M:%S")
    click.echo(f"{entry.version:5} {entry.outcome:9} {at} {entry.author}: {entry.note}")
    for reason in entry.reasons:
        click.echo(f"      {reason}")
