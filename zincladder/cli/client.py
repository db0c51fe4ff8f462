"""Sends commands to a running front over its control socket."""

from __future__ import annotations

import json
import os
import socket
from typing import Any

import click

TIMEOUT_SECONDS = 5.0


def socket_path(given: str | None) -> str:
    """Returns the path of the control socket: `given`, or the one in the file ZINCLADDER_OPERATOR names.

    Raises click.ClickException if no path is given and no such file names a socket.
    """
    path = given or _path_in_operators_file()
    if path is None:
        raise click.ClickException(
            "no socket: give --socket, or name a file with [control] in ZINCLADDER_OPERATOR"
        )
    return path


def _path_in_operators_file() -> str | None:
    file = os.environ.get("ZINCLADDER_OPERATOR")
    if not file:
        return None
    from zincladder.config import ConfigError, read_operator

    try:
        table = read_operator(file).get("control")
    except ConfigError as error:
        raise click.ClickException(str(error)) from None
    if isinstance(table, dict) and isinstance(table.get("socket"), str):
        return str(table["socket"])
    return None


def send_command(path: str, name: str, **fields: Any) -> Any:
    """Sends one command and returns its result.

    Raises click.ClickException if the front cannot be reached, or closes the connection without a reply, or
    replies with an error.
    """
    try:
        line = _exchange(path, json.dumps({"do": name, **fields}).encode() + b"\n")
    except OSError as error:
        raise click.ClickException(f"{path}: {error.strerror or error}") from None
    if not line:
        raise click.ClickException(f"{path}: the front closed the connection")
    reply = json.loads(line)
    if "error" in reply:
        raise click.ClickException(reply["error"])
    return reply["ok"]


def _exchange(path: str, request: bytes) -> bytes:
    with socket.socket(socket.AF_UNIX) as sock:
        sock.settimeout(TIMEOUT_SECONDS)
        sock.connect(path)
        sock.sendall(request)
        with sock.makefile("rb") as lines:
            return lines.readline()
