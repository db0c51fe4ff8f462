"""`zincladder ready` and `zincladder stats`: what an operator asks at a front's `control` address."""

from __future__ import annotations

import json
import socket
import sys
import time

import click

from zincladder.cli.admission import Duration
from zincladder.config import address as parsed

LIMIT = 2.0  # seconds for an answer, which is owed within one
EVERY = 0.1  # seconds between two asks of `--wait`


def call(where: str, line: str) -> str:
    """The whole answer to one call; a ClickException says what went wrong."""
    try:
        host, port = parsed(where)
    except ValueError:
        raise click.BadParameter(f"{where!r} is no address like 127.0.0.1:7070") from None
    try:
        with socket.create_connection((host, port), LIMIT) as sock:
            sock.sendall(line.encode() + b"\n")
            with sock.makefile("rb") as lines:
                return lines.read().decode("ascii", "replace")
    except OSError as fault:
        raise click.ClickException(f"{where}: {fault.strerror or fault}") from None


@click.command()
@click.argument("address", metavar="ADDRESS")
@click.option(
    "--wait", type=Duration(), default=0.0, help="Ask again until it is ready, for so long (10s, 1m)."
)
def ready(address: str, wait: float) -> None:
    """Say whether the front at ADDRESS can serve; exits with 1 if it cannot."""
    until = time.monotonic() + wait
    while True:
        try:
            said, good = call(address, "READY").strip(), False
            good = said.startswith("SUCCESS")
        except click.ClickException as fault:
            if isinstance(fault, click.BadParameter):
                raise
            said, good = fault.format_message(), False
        if good or time.monotonic() >= until:
            click.echo(said, err=not good)
            sys.exit(0 if good else 1)
        time.sleep(EVERY)


@click.command()
@click.argument("address", metavar="ADDRESS")
@click.option("--json", "as_json", is_flag=True, help="One JSON object instead of a table.")
def stats(address: str, as_json: bool) -> None:
    """Show the figures of the front at ADDRESS, by class where they have one."""
    lines = call(address, "STATS").splitlines()
    if not lines or lines[-1] != "EOT":
        raise click.ClickException(f"{address}: the figures broke off")
    figures = {
        name.removeprefix("app."): int(value)
        for name, _, value in (line.partition("=") for line in lines[:-1])
    }
    if as_json:
        click.echo(json.dumps(figures))
        return
    from rich.console import Console
    from rich.table import Table

    kinds = ("succeeded", "declined", "aborted")
    table = Table("class", *kinds)
    for request_class in [name.partition(".")[2] for name in figures if name.startswith("succeeded.")]:
        table.add_row(request_class, *(str(figures.get(f"{kind}.{request_class}", 0)) for kind in kinds))
    console = Console()
    console.print(table)
    for name in [name for name in figures if "." not in name]:
        console.print(f"{name}: {figures[name]}", highlight=False)
