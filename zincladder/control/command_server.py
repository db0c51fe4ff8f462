"""The control socket: a unix socket that only the front's own user may open."""

from __future__ import annotations

import contextlib
import os
import socket
import stat
from collections.abc import Mapping
from time import monotonic

import anyio
import structlog

from zincladder.admission.descriptor_budget import DescriptorBudget, DescriptorUse
from zincladder.config import ConfigError
from zincladder.control.accept_loop import accept_connections
from zincladder.control.commands import MAX_LINE_BYTES, Command, answer

TEMPORARY_SUFFIX = ".n"  # beside the path, which may have 100 of the 108 bytes
IDLE_TIMEOUT_SECONDS = 10.0
BACKLOG = 8
OWNER_ONLY = 0o177  # umask
READ_BYTES = 4096
log = structlog.get_logger()


class ControlSocketError(ConfigError):
    """The socket cannot be made; the text says why."""


def bind(path: str, replaces: bool = False) -> socket.socket:
    """A listening socket at a path. One that a dead front left is replaced, anything else is left alone.

    With `replaces`, at an upgrade, the path is taken from the old process in one step. Raises
    ControlSocketError.
    """
    _check_path(path, replaces)
    sock = socket.socket(socket.AF_UNIX)
    previous_umask = os.umask(OWNER_ONLY)
    try:
        _bind_and_listen(sock, path, replaces)
    except OSError as error:
        sock.close()
        raise ControlSocketError(f"'control.socket': {path}: {error.strerror}") from None
    finally:
        os.umask(previous_umask)
    return sock


def _check_path(path: str, replaces: bool) -> None:
    """Guards a file that is no socket, and the socket of another front that runs."""
    try:
        mode = os.lstat(path).st_mode
    except FileNotFoundError:
        return
    if not stat.S_ISSOCK(mode):
        raise ControlSocketError(f"'control.socket': {path} is there and is no socket")
    if replaces:
        return
    with socket.socket(socket.AF_UNIX) as probe:
        try:
            probe.connect(path)
        except ConnectionRefusedError:
            os.unlink(path)
        except OSError as error:
            raise ControlSocketError(f"'control.socket': {path}: {error.strerror}") from None
        else:
            raise ControlSocketError(f"'control.socket': another front listens at {path}")


def _bind_and_listen(sock: socket.socket, path: str, replaces: bool) -> None:
    name = path + TEMPORARY_SUFFIX if replaces else path
    if replaces:
        with contextlib.suppress(FileNotFoundError):
            os.unlink(name)  # of a process that was killed here
    sock.bind(name)
    sock.listen(BACKLOG)
    if replaces:
        os.rename(name, path)
    sock.setblocking(False)


class CommandServer:
    """Answers operators' commands until it is cancelled."""

    def __init__(
        self, path: str, table: Mapping[str, Command], descriptors: DescriptorBudget, replaces: bool = False
    ) -> None:
        self._path, self._table, self._descriptors = path, table, descriptors
        self._listening = bind(path, replaces)
        self._inode = os.stat(path).st_ino

    async def run(self) -> None:
        """Answer commands until cancelled."""
        try:
            async with anyio.create_task_group() as tasks:

                def handle(sock: socket.socket) -> None:
                    if self._descriptors.take(DescriptorUse.CONTROL):
                        tasks.start_soon(self._serve_connection, sock)
                    else:
                        sock.close()

                await accept_connections(self._listening, handle, log.warning)
        finally:
            self._listening.close()
            self._unlink_path()

    def _unlink_path(self) -> None:
        """Guards the socket of a front that has taken the path over."""
        with contextlib.suppress(OSError):
            if os.stat(self._path).st_ino == self._inode:
                os.unlink(self._path)

    async def _serve_connection(self, sock: socket.socket) -> None:
        try:
            sock.setblocking(False)
            await self._answer_commands(sock)
        except (OSError, TimeoutError):
            pass
        except Exception:  # guards the front: a fault in a command ends its connection only
            log.exception("control command failed")
        finally:
            sock.close()
            self._descriptors.give(DescriptorUse.CONTROL)

    async def _answer_commands(self, sock: socket.socket) -> None:
        """Answer each line until the peer ends or sends one that is too long."""
        data = bytearray()
        while True:
            while b"\n" not in data:
                if len(data) > MAX_LINE_BYTES:
                    return
                received = await _receive(sock)
                if not received:
                    return
                data += received
            line, _, data = data.partition(b"\n")
            await _send_all(sock, answer(self._table, bytes(line), monotonic()))


async def _receive(sock: socket.socket) -> bytes:
    with anyio.fail_after(IDLE_TIMEOUT_SECONDS):
        await anyio.wait_readable(sock)
    return sock.recv(READ_BYTES)


async def _send_all(sock: socket.socket, data: bytes) -> None:
    while data:
        with anyio.fail_after(IDLE_TIMEOUT_SECONDS):
            await anyio.wait_writable(sock)
        data = data[sock.send(data) :]
