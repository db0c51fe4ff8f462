"""The control socket. Imported only where the operator's file names one."""

from __future__ import annotations

from zincladder.admission.interface import Admission
from zincladder.control.command_server import CommandServer
from zincladder.control.commands import AdmissionCommands


def build_command_server(path: str, admission: Admission, replaces: bool) -> CommandServer:
    """A server that listens already. With `replaces` it takes the path from the old process."""
    return CommandServer(path, AdmissionCommands(admission).table, admission.descriptors, replaces)
