"""The operators' commands, on click. The daemon imports none of this."""

from __future__ import annotations

import copy
import json
import os
import sys
from pathlib import Path
from typing import Any

import click

from zincladder.cli.admission import admission
from zincladder.cli.day import ready, stats
from zincladder.cli.duties import duties
from zincladder.cli.policy import policy
from zincladder.cli.replica import replica, replicas


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="zincladder", message="%(prog)s %(version)s")
def main() -> None:
    """A caching router: the front, and what its operators ask of it."""


@main.command()
def run() -> None:
    """Run a front in the foreground, as `python -m zincladder` does.

    RELAY_CONFIG names its configuration and ZINCLADDER_OPERATOR the operator's file.
    """
    # In this process's place: the front then holds nothing of what the commands import.
    os.execv(sys.executable, [sys.executable, "-m", "zincladder"])


@main.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))
def check(files: tuple[Path, ...]) -> None:
    """Read configuration files and print each fault with its key.

    FILES ending in .toml are operator's files, all others a front's configuration. Names of classes in an
    operator's file are checked against the configuration given beside it. Exits with 1 if there is a fault.
    """
    from zincladder.config import ConfigError, read_operator
    from zincladder.config.check import faults_of_config
    from zincladder.config.operator import faults_of

    names, found, good = None, [], True
    for path in sorted(files, key=lambda p: p.suffix == ".toml"):
        try:
            if path.suffix == ".toml":
                found = faults_of(read_operator(path), names)
            else:
                data: Any = json.loads(path.read_bytes())
                found, names = faults_of_config(data)
        except (OSError, ValueError, ConfigError) as fault:
            found = [str(fault)]
        for text in found:
            click.echo(f"{path}: {text}", err=True)
        if not found:
            click.echo(f"{path}: good")
        good = good and not found
    sys.exit(0 if good else 1)


def _hidden_alias(command: click.Command, name: str) -> click.Command:
    """The same command under an earlier name, which the help does not list."""
    alias = copy.copy(command)
    alias.name, alias.hidden = name, True
    return alias


for command in (admission, duties, policy, ready, replica, replicas, stats):
    main.add_command(command)
for command, earlier_name in ((replica, "keep"), (replicas, "keepers")):
    main.add_command(_hidden_alias(command, earlier_name))
