"""`zincladder admission`: who calls, and who may."""

from __future__ import annotations

import json
import re
import time
from typing import Any

import click

from zincladder.cli.client import ask, socket_path

UNITS = {"s": 1, "m": 60, "h": 3600, "d": 86400}
COLUMNS = ("source", "lane", "connections", "open", "loop_percent", "penalty_s")
MORE = ("unread_bytes", "served", "standing", "strikes")  # where there is room
WIDE = 110


class Duration(click.ParamType[float]):
    """A time like 90s, 10m, 2h or 1d, in seconds."""

    name = "time"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> float:
        if isinstance(value, float):
            return value
        found = re.fullmatch(r"(\d+(?:\.\d+)?)([smhd])", str(value))
        if not found or float(found[1]) <= 0:
            self.fail(f"{value!r} is no time like 90s, 10m, 2h or 1d", param, ctx)
        return float(found[1]) * UNITS[found[2]]


@click.group()
@click.option("--socket", "path", help="The front's control socket; else that of ZINCLADDER_OPERATOR's file.")
@click.pass_context
def admission(context: click.Context, path: str | None) -> None:
    """Who calls a running front, and who may."""
    context.obj = path


@admission.command()
@click.option("--most", default=20, show_default=True, type=click.IntRange(1, 1000), help="Sources shown.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of a table.")
@click.option("--watch", type=click.FloatRange(0.2, 3600), help="Show it anew every so many seconds.")
@click.pass_obj
def top(path: str | None, most: int, as_json: bool, watch: float | None) -> None:
    """Show the sources by what they use."""
    where = socket_path(path)

    def fetch() -> dict[str, Any]:
        found: dict[str, Any] = ask(where, "admission.top", most=most)
        return found

    if as_json:
        while True:
            click.echo(json.dumps(fetch()))
            if watch is None:
                return
            time.sleep(watch)
    from rich.console import Console
    from rich.live import Live

    console = Console()
    columns = COLUMNS + MORE if console.width >= WIDE else COLUMNS
    if watch is None:
        console.print(_table(fetch(), columns))
        return
    with Live(_table(fetch(), columns), console=console, auto_refresh=False) as live:
        while True:
            time.sleep(watch)
            live.update(_table(fetch(), columns), refresh=True)


def _table(found: dict[str, Any], columns: tuple[str, ...]) -> Any:
    from rich.table import Table

    held = ", ".join(f"{use} {n}" for use, n in found["descriptors"].items() if n)
    turned = ", ".join(f"{why} {n}" for why, n in found["turned_away"].items()) or "none"
    table = Table(
        title=f"{found['recorded']} sources on record, {found['waiting']} messages waiting",
        caption=f"descriptors of {found['limit']}: {held or 'none'}\nturned away: {turned}",
    )
    for name in columns:
        left = name in ("source", "lane")
        table.add_column(name.replace("_", " "), justify="left" if left else "right", no_wrap=left)
    for row in found["sources"]:
        style = {"limited": "red", "new": "", "known": "green", "listed": "cyan"}[row["lane"]]
        table.add_row(*(str(row[name]) for name in columns), style="red" if row["blocked"] else style)
    return table


@admission.command()
@click.argument("address")
@click.pass_obj
def show(path: str | None, address: str) -> None:
    """Print all that is on record of one ADDRESS, as JSON."""
    click.echo(json.dumps(ask(socket_path(path), "admission.show", address=address), indent=2))


@admission.command()
@click.argument("network")
@click.option("--for", "seconds", type=Duration(), help="How long, like 10m; else until the front ends.")
@click.pass_obj
def block(path: str | None, network: str, seconds: float | None) -> None:
    """Turn a NETWORK away and end its connections; what it has open is answered first."""
    more = {} if seconds is None else {"seconds": seconds}
    found = ask(socket_path(path), "admission.block", network=network, **more)
    click.echo(f"{network} is blocked, {found['ended']} idle connections ended")


@admission.command()
@click.argument("network")
@click.pass_obj
def unblock(path: str | None, network: str) -> None:
    """Let a NETWORK in again that `block` named."""
    ask(socket_path(path), "admission.unblock", network=network)
    click.echo(f"{network} is let in")


@admission.command()
@click.argument("network")
@click.pass_obj
def trust(path: str | None, network: str) -> None:
    """List a NETWORK as known until the front ends."""
    ask(socket_path(path), "admission.trust", network=network)
    click.echo(f"{network} is trusted")
