"""What the commands on a group of replicas have in common: their options, a client, and its errors."""

from __future__ import annotations

import functools
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any, TypeVar

import click

from zincladder.config import ConfigError
from zincladder.config.replica import ReplicaConfig, parse_replica_config

if TYPE_CHECKING:  # imported only where a command needs it: commands start without the links' libraries
    from zincladder.consensus.client import Client

CLIENT_NAME = "keepers"  # in a greeting
T = TypeVar("T")
Group = tuple[str, dict[str, str]]  # a group's name, and its replicas' addresses by their names


def read_replica_config(path: Path) -> ReplicaConfig:
    """A replica's configuration file. A ClickException names its fault."""
    try:
        return parse_replica_config(tomllib.loads(path.read_text()))
    except (OSError, ValueError, ConfigError) as error:
        raise click.ClickException(f"{path}: {error}") from None


def group_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Adds --file, or --group with --at: which replicas to ask. The command gets them as `group`."""

    @functools.wraps(command)
    def wrapped(*args: Any, file: Path | None, at: tuple[str, ...], group: str | None, **options: Any) -> Any:
        if file is not None:
            config = read_replica_config(file)
            chosen = (config.group, config.founders | config.address_overrides)
        elif group and at:
            chosen = (group, dict(place.partition("=")[::2] for place in at))
        else:
            raise click.UsageError("give --file, or --group with one --at or more")
        return command(*args, group=chosen, **options)

    for option in (
        click.option("--group", help="The group's name, with --at."),
        click.option("--at", multiple=True, metavar="NAME=ADDRESS", help="A replica; instead of a file."),
        click.option("--file", type=click.Path(path_type=Path), help="The file of any replica of the group."),
    ):
        wrapped = option(wrapped)
    return wrapped


def group_client(group: Group) -> Client:
    """A client of the group."""
    from zincladder.consensus.client import Client

    name, addresses = group
    return Client(name, addresses, name=CLIENT_NAME)


def run_call(call: Callable[[], Awaitable[T]]) -> T:
    """The result of an async call. A ClickException says whether nothing, or perhaps something, was done."""
    import anyio

    from zincladder.consensus.errors import OutcomeUnknownError, RequestFailedError

    try:
        return anyio.run(call)
    except RequestFailedError as error:
        raise click.ClickException(f"nothing was done: {error}") from None
    except OutcomeUnknownError as error:
        raise click.ClickException(f"it may have been done, ask again: {error}") from None
