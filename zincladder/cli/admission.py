"""`zincladder admission`: shows the addresses that call a front, and blocks or trusts networks."""

from __future__ import annotations

import json
import re
import time
from collections.abc import Callable
from typing import Any

import click

from zincladder.cli.client import send_command, socket_path
from zincladder.control.model import AdmissionReport, BlockResult

SECONDS_PER_UNIT = {"s": 1, "m": 60, "h": 3600, "d": 86400}
DURATION = re.compile(r"(\d+(?:\.\d+)?)([smhd])")
COLUMNS = ("source", "lane", "connections", "open", "loop_percent", "penalty_s")
WIDE_COLUMNS = (*COLUMNS, "unread_bytes", "served", "standing", "strikes")
WIDE_TERMINAL_CHARACTERS = 110
TEXT_COLUMNS = ("source", "lane")
LANE_STYLES = {"limited": "red", "new": "", "known": "green", "listed": "cyan"}
BLOCKED_STYLE = "red"


class Duration(click.ParamType[float]):
    """The type of an option that takes a time such as 90s, 10m, 2h or 1d and gives it in seconds."""

    name = "time"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> float:
        """Returns the seconds of a duration. A float is a default value, and is returned as it is."""
        if isinstance(value, float):
            return value
        match = DURATION.fullmatch(str(value))
        if not match or float(match[1]) <= 0:
            self.fail(f"{value!r} is no time like 90s, 10m, 2h or 1d", param, ctx)
        return float(match[1]) * SECONDS_PER_UNIT[match[2]]


@click.group()
@click.option(
    "--socket", "path", help="The front's control socket. Default: the one in ZINCLADDER_OPERATOR's file."
)
@click.pass_context
def admission(context: click.Context, path: str | None) -> None:
    """Show the addresses that call a running front, and block or trust networks."""
    context.obj = path


@admission.command()
@click.option(
    "--most", default=20, show_default=True, type=click.IntRange(1, 1000), help="How many sources to show."
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of a table.")
@click.option("--watch", type=click.FloatRange(0.2, 3600), help="Refresh every so many seconds.")
@click.pass_obj
def top(path: str | None, most: int, as_json: bool, watch: float | None) -> None:
    """Show the sources that lately used the most time of the event loop, in descending order."""
    control_socket = socket_path(path)

    def fetch() -> AdmissionReport:
        report: AdmissionReport = send_command(control_socket, "admission.top", most=most)
        return report

    if as_json:
        _print_json(fetch, watch)
    else:
        _print_table(fetch, watch)


def _print_json(fetch: Callable[[], AdmissionReport], watch: float | None) -> None:
    while True:
        click.echo(json.dumps(fetch()))
        if watch is None:
            return
        time.sleep(watch)


def _print_table(fetch: Callable[[], AdmissionReport], watch: float | None) -> None:
    from rich.console import Console
    from rich.live import Live

    console = Console()
    columns = WIDE_COLUMNS if console.width >= WIDE_TERMINAL_CHARACTERS else COLUMNS
    if watch is None:
        console.print(_table(fetch(), columns))
        return
    with Live(_table(fetch(), columns), console=console, auto_refresh=False) as live:
        while True:
            time.sleep(watch)
            live.update(_table(fetch(), columns), refresh=True)


def _table(report: AdmissionReport, columns: tuple[str, ...]) -> Any:
    from rich.table import Table

    descriptors = (
        ", ".join(f"{use} {count}" for use, count in report["descriptors"].items() if count) or "none"
    )
    rejected = ", ".join(f"{reason} {count}" for reason, count in report["turned_away"].items()) or "none"
    table = Table(
        title=f"{report['recorded']} sources on record, {report['waiting']} messages waiting",
        caption=f"descriptors of {report['limit']}: {descriptors}\nturned away: {rejected}",
    )
    for name in columns:
        is_text = name in TEXT_COLUMNS
        table.add_column(name.replace("_", " "), justify="left" if is_text else "right", no_wrap=is_text)
    for row in report["sources"]:
        style = BLOCKED_STYLE if row["blocked"] else LANE_STYLES[str(row["lane"])]
        table.add_row(*(str(row[name]) for name in columns), style=style)
    return table


@admission.command()
@click.argument("address")
@click.pass_obj
def show(path: str | None, address: str) -> None:
    """Print everything that is recorded about an ADDRESS and its network, as JSON."""
    click.echo(json.dumps(send_command(socket_path(path), "admission.show", address=address), indent=2))


@admission.command()
@click.argument("network")
@click.option(
    "--for", "seconds", type=Duration(), help="How long, such as 10m. Default: until the front stops."
)
@click.pass_obj
def block(path: str | None, network: str, seconds: float | None) -> None:
    """Reject new connections of a NETWORK, and close its open ones once their requests are answered."""
    fields = {} if seconds is None else {"seconds": seconds}
    result: BlockResult = send_command(socket_path(path), "admission.block", network=network, **fields)
    click.echo(f"{network} is blocked, {result['ended']} idle connections ended")


@admission.command()
@click.argument("network")
@click.pass_obj
def unblock(path: str | None, network: str) -> None:
    """Accept connections again from a NETWORK that was blocked with `block`."""
    send_command(socket_path(path), "admission.unblock", network=network)
    click.echo(f"{network} is let in")


@admission.command()
@click.argument("network")
@click.pass_obj
def trust(path: str | None, network: str) -> None:
    """Until the front stops, treat a NETWORK as if the operator's file listed it as known."""
    send_command(socket_path(path), "admission.trust", network=network)
    click.echo(f"{network} is trusted")
