"""Builds the server of the control socket. Imported only if the operator's file names a socket."""

from __future__ import annotations

from zincladder.admission.interface import Admission
from zincladder.control.command_server import CommandServer
from zincladder.control.commands import AdmissionCommands


def build_command_server(path: str, admission: Admission, replaces: bool) -> CommandServer:
    """Returns a server that already listens. With `replaces` it takes over the path of the old process."""
    return CommandServer(path, AdmissionCommands(admission).table, admission.descriptors, replaces)
