"""`zincladder ready` and `zincladder stats`: read a front's status from its `control` address."""

from __future__ import annotations

import json
import socket
import sys
import time

import click

from zincladder.cli.admission import Duration
from zincladder.config import parse_address

TIMEOUT_SECONDS = 2.0  # a front has to answer within 1 s
POLL_SECONDS = 0.1  # between two calls with `--wait`
ANSWER_KINDS = ("succeeded", "declined", "aborted")


def _call(address: str, line: str, timeout_seconds: float = TIMEOUT_SECONDS) -> str:
    """Sends one line and returns the whole answer, whose parts each may take `timeout_seconds`.

    Raises click.BadParameter for a malformed address, and click.ClickException if the call fails.
    """
    try:
        host, port = parse_address(address)
    except ValueError:
        raise click.BadParameter(f"{address!r} is no address like 127.0.0.1:7070") from None
    try:
        with socket.create_connection((host, port), TIMEOUT_SECONDS) as sock:
            sock.settimeout(timeout_seconds)
            sock.sendall(line.encode() + b"\n")
            with sock.makefile("rb") as stream:
                return stream.read().decode("ascii", "replace")
    except OSError as error:
        raise click.ClickException(f"{address}: {error.strerror or error}") from None


@click.command()
@click.argument("address", metavar="ADDRESS")
@click.option(
    "--wait", type=Duration(), default=0.0, help="Retry until it is ready, for at most this time (10s, 1m)."
)
def ready(address: str, wait: float) -> None:
    """Print whether the front at ADDRESS can serve requests. Exits with 1 if it cannot."""
    deadline = time.monotonic() + wait
    while True:
        # A call that is given up before a slow answer, and made anew, would never hear one.
        answer, is_ready = _ready(address, max(TIMEOUT_SECONDS, deadline - time.monotonic()))
        if is_ready or time.monotonic() >= deadline:
            click.echo(answer, err=not is_ready)
            sys.exit(0 if is_ready else 1)
        time.sleep(POLL_SECONDS)


def _ready(address: str, timeout_seconds: float) -> tuple[str, bool]:
    """Returns the answer to READY or the error of the call, and whether the front is ready."""
    try:
        answer = _call(address, "READY", timeout_seconds).strip()
    except click.BadParameter:
        raise
    except click.ClickException as error:
        return error.format_message(), False
    return answer, answer.startswith("SUCCESS")


@click.command()
@click.argument("address", metavar="ADDRESS")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object instead of a table.")
def stats(address: str, as_json: bool) -> None:
    """Show the statistics of the front at ADDRESS, with the answers of each request class."""
    statistics = _statistics(address)
    if as_json:
        click.echo(json.dumps(statistics))
    else:
        _print_table(statistics)


def _statistics(address: str) -> dict[str, int]:
    lines = _call(address, "STATS").splitlines()
    if not lines or lines[-1] != "EOT":
        raise click.ClickException(f"{address}: the figures broke off")
    pairs = (line.partition("=") for line in lines[:-1])
    return {name.removeprefix("app."): int(value) for name, _, value in pairs}


def _print_table(statistics: dict[str, int]) -> None:
    from rich.console import Console
    from rich.table import Table

    table = Table("class", *ANSWER_KINDS)
    for name in statistics:
        if name.startswith("succeeded."):
            request_class = name.removeprefix("succeeded.")
            counts = (str(statistics.get(f"{kind}.{request_class}", 0)) for kind in ANSWER_KINDS)
            table.add_row(request_class, *counts)
    console = Console()
    console.print(table)
    for name, value in statistics.items():
        if "." not in name:
            console.print(f"{name}: {value}", highlight=False)
