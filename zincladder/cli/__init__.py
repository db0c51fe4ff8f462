"""The command line for operators, built on click. A running front does not import this package."""

from __future__ import annotations

import copy
import json
import os
import sys
from pathlib import Path

import click

from zincladder.cli.admission import admission
from zincladder.cli.policy import policy
from zincladder.cli.replica import replica
from zincladder.cli.replicas import replicas
from zincladder.cli.status import ready, stats
from zincladder.cli.tasks import tasks


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="zincladder", message="%(prog)s %(version)s")
def main() -> None:
    """Run the fronts and replicas of a caching router, and inspect and control them."""


@main.command()
def run() -> None:
    """Run a front in the foreground, as `python -m zincladder` does.

    RELAY_CONFIG names its configuration file, and ZINCLADDER_OPERATOR the operator's file.
    """
    # Replaces this process, so that the front does not hold the modules of the commands in memory.
    os.execv(sys.executable, [sys.executable, "-m", "zincladder"])


@main.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(path_type=Path))
def check(files: tuple[Path, ...]) -> None:
    """Read configuration files and print each fault with its key.

    FILES that end in .toml are operator's files, all others are configurations of fronts. Class names in an
    operator's file are checked against the configuration that is given with it. Exits with 1 if there is a
    fault.
    """
    sys.exit(0 if _all_valid(files) else 1)


def _all_valid(files: tuple[Path, ...]) -> bool:
    """Prints each file's faults, or that it is good. Returns whether no file has a fault.

    Operator's files are read last, because they refer to the request classes of a front's configuration.
    """
    from zincladder.config import ConfigError, Names, read_operator
    from zincladder.config.check import config_errors, operator_errors

    all_valid = True
    names: Names | None = None
    faults: list[str]
    for path in sorted(files, key=lambda path: path.suffix == ".toml"):
        try:
            if path.suffix == ".toml":
                faults = operator_errors(read_operator(path), names)
            else:
                faults, names = config_errors(json.loads(path.read_bytes()))
        except (OSError, ValueError, ConfigError) as error:
            faults = [str(error)]
        for fault in faults:
            click.echo(f"{path}: {fault}", err=True)
        if not faults:
            click.echo(f"{path}: good")
        all_valid = all_valid and not faults
    return all_valid


def _hidden_alias(command: click.Command, name: str) -> click.Command:
    """Returns the command under a former name, which still works and is not listed in the help."""
    alias = copy.copy(command)
    alias.name, alias.hidden = name, True
    return alias


for command in (admission, policy, ready, replica, replicas, stats, tasks):
    main.add_command(command)
for command, earlier_name in ((replica, "keep"), (replicas, "keepers"), (tasks, "duties")):
    main.add_command(_hidden_alias(command, earlier_name))
