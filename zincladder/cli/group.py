"""The options, client and error handling that all commands on a group of replicas use."""

from __future__ import annotations

import functools
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any, TypeVar

import click

from zincladder.config import ConfigError
from zincladder.config.replica import ReplicaConfig, parse_replica_config

if TYPE_CHECKING:
    # A command imports the client only when it needs it: the import loads the network libraries, and other
    # commands start without them.
    from zincladder.consensus.client import Client

CLIENT_NAME = "keepers"  # sent to a replica in the handshake
T = TypeVar("T")
Group = tuple[str, dict[str, str]]  # the group's name, and the address of each replica by its name


def read_replica_config(path: Path) -> ReplicaConfig:
    """Reads a replica's configuration file. Raises click.ClickException if it can't be read or is invalid."""
    try:
        return parse_replica_config(tomllib.loads(path.read_text()))
    except (OSError, ValueError, ConfigError) as error:
        raise click.ClickException(f"{path}: {error}") from None


def group_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Adds the options that select a group of replicas: --file, or --group with --at.

    The command gets the selected group as its argument `group`.
    """

    @functools.wraps(command)
    def wrapped(*args: Any, file: Path | None, at: tuple[str, ...], group: str | None, **options: Any) -> Any:
        if file is not None:
            config = read_replica_config(file)
            chosen = (config.group, config.founders | config.address_overrides)
        elif group and at:
            chosen = (group, dict(replica.partition("=")[::2] for replica in at))
        else:
            raise click.UsageError("give --file, or --group with one --at or more")
        return command(*args, group=chosen, **options)

    for option in (
        click.option("--group", help="The group's name; needs --at."),
        click.option("--at", multiple=True, metavar="NAME=ADDRESS", help="A replica; instead of --file."),
        click.option(
            "--file",
            type=click.Path(path_type=Path),
            help="The configuration file of any replica of the group.",
        ),
    ):
        wrapped = option(wrapped)
    return wrapped


def group_client(group: Group) -> Client:
    """Returns a new client of the group."""
    from zincladder.consensus.client import Client

    name, addresses = group
    return Client(name, addresses, name=CLIENT_NAME)


def run_call(call: Callable[[], Awaitable[T]]) -> T:
    """Runs an async call and returns its result.

    Raises click.ClickException if the call fails. Its text distinguishes a request that had no effect from
    one whose outcome is unknown.
    """
    import anyio

    from zincladder.consensus.errors import OutcomeUnknownError, RequestFailedError

    try:
        return anyio.run(call)
    except RequestFailedError as error:
        raise click.ClickException(f"nothing was done: {error}") from None
    except OutcomeUnknownError as error:
        raise click.ClickException(f"it may have been done, ask again: {error}") from None
