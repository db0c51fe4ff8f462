"""Asks a running front over its control socket."""

from __future__ import annotations

import json
import os
import socket
from typing import Any

import click

LIMIT = 5.0  # seconds


def socket_path(given: str | None) -> str:
    """The socket's path: as given, or as the operator's file that ZINCLADDER_OPERATOR names has it."""
    if given:
        return given
    file = os.environ.get("ZINCLADDER_OPERATOR")
    if file:
        from zincladder.config import ConfigError, read_operator

        try:
            table = read_operator(file).get("control")
        except ConfigError as fault:
            raise click.ClickException(str(fault)) from None
        if isinstance(table, dict) and isinstance(table.get("socket"), str):
            return str(table["socket"])
    raise click.ClickException(
        "no socket: give --socket, or name a file with [control] in ZINCLADDER_OPERATOR"
    )


def ask(path: str, do: str, **more: Any) -> Any:
    """One command's answer; a ClickException says what went wrong."""
    try:
        with socket.socket(socket.AF_UNIX) as sock:
            sock.settimeout(LIMIT)
            sock.connect(path)
            sock.sendall(json.dumps({"do": do, **more}).encode() + b"\n")
            with sock.makefile("rb") as lines:
                line = lines.readline()
    except OSError as fault:
        raise click.ClickException(f"{path}: {fault.strerror or fault}") from None
    if not line:
        raise click.ClickException(f"{path}: the front closed the connection")
    found = json.loads(line)
    if "error" in found:
        raise click.ClickException(found["error"])
    return found["ok"]
