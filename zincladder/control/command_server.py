"""The control socket: a unix socket for commands, which only the front's own user can open."""

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
from zincladder.control.commands import MAX_LINE_BYTES, Command, answer
from zincladder.support.listeners import accept_connections
from zincladder.support.rate_limited_log import RateLimitedLog
from zincladder.support.socket_io import receive, send_all

TEMPORARY_SUFFIX = ".n"  # short, since the path may take 100 of the 108 bytes of sockaddr_un
IDLE_TIMEOUT_SECONDS = 10.0
PATH_CHECK_SECONDS = 1.0  # between two checks whether the socket's file was removed
BACKLOG = 8
OWNER_ONLY_UMASK = 0o177
READ_BYTES = 4096
log = structlog.get_logger()


class ControlSocketError(ConfigError):
    """The control socket cannot be created; the text says why."""


def bind(path: str, replaces: bool = False) -> socket.socket:
    """Returns a socket that listens at a path, and replaces a socket file left by a front that has ended.

    With `replaces`, at an upgrade, the socket of the old process is replaced atomically. Raises
    ControlSocketError if another file or the socket of a running front is at the path, or on a system error.
    """
    _remove_stale_socket(path, replaces)
    sock = socket.socket(socket.AF_UNIX)
    previous_umask = os.umask(OWNER_ONLY_UMASK)
    try:
        _bind_and_listen(sock, path, replaces)
    except OSError as error:
        sock.close()
        raise ControlSocketError(f"'control.socket': {path}: {error.strerror}") from None
    finally:
        os.umask(previous_umask)
    return sock


def _remove_stale_socket(path: str, replaces: bool) -> None:
    """Removes the socket file of a front that has ended.

    Raises ControlSocketError for a file that is not a socket, and for the socket of another running front.
    """
    try:
        mode = os.lstat(path).st_mode
    except FileNotFoundError:
        return
    if not stat.S_ISSOCK(mode):
        raise ControlSocketError(f"'control.socket': {path} exists and is not a socket")
    if replaces:
        return
    with socket.socket(socket.AF_UNIX) as connection:
        try:
            connection.connect(path)
        except ConnectionRefusedError:
            os.unlink(path)
        except OSError as error:
            raise ControlSocketError(f"'control.socket': {path}: {error.strerror}") from None
        else:
            raise ControlSocketError(f"'control.socket': another front is listening at {path}")


def _bind_and_listen(sock: socket.socket, path: str, replaces: bool) -> None:
    name = path + TEMPORARY_SUFFIX if replaces else path
    if replaces:
        with contextlib.suppress(FileNotFoundError):
            os.unlink(name)  # left by a process that was killed before the rename below
    sock.bind(name)
    sock.listen(BACKLOG)
    if replaces:
        os.rename(name, path)
    sock.setblocking(False)


class CommandServer:
    """Answers operators' commands at the control socket."""

    def __init__(
        self, path: str, table: Mapping[str, Command], descriptors: DescriptorBudget, replaces: bool = False
    ) -> None:
        self._path, self._table, self._descriptors = path, table, descriptors
        self._listener = bind(path, replaces)
        self._inode = os.stat(path).st_ino
        self._rate_limited_log = RateLimitedLog()

    async def run(self) -> None:
        """Answers commands until cancelled, then closes the socket and removes its file."""
        try:
            async with anyio.create_task_group() as tasks:

                def handle(sock: socket.socket, host: str) -> None:
                    if self._descriptors.acquire(DescriptorUse.CONTROL):
                        tasks.start_soon(self._serve_connection, sock)
                    else:
                        sock.close()

                while True:
                    with anyio.CancelScope() as accepting:
                        tasks.start_soon(self._bind_again_if_removed, accepting)
                        await accept_connections(self._listener, handle, self._rate_limited_log.warning)
        finally:
            self._listener.close()
            self._unlink_path()

    async def _bind_again_if_removed(self, accepting: anyio.CancelScope) -> None:
        """Opens the socket again once its file was removed, and then cancels `accepting`.

        The file is removed by somebody, or by a new process of this front that has ended before this one.
        """
        while True:
            await anyio.sleep(PATH_CHECK_SECONDS)
            if os.path.lexists(self._path):
                continue
            try:
                listener = bind(self._path, replaces=True)
                self._inode = os.stat(self._path).st_ino
            except (ControlSocketError, OSError) as error:
                self._rate_limited_log.warning("control socket could not be opened again", reason=str(error))
                continue
            self._listener.close()
            self._listener = listener
            accepting.cancel()
            return

    def _unlink_path(self) -> None:
        """Removes the socket file, unless another front has replaced it with its own."""
        with contextlib.suppress(OSError):
            if os.stat(self._path).st_ino == self._inode:
                os.unlink(self._path)

    async def _serve_connection(self, sock: socket.socket) -> None:
        try:
            sock.setblocking(False)
            await self._answer_commands(sock)
        except (OSError, TimeoutError):
            pass
        except Exception:  # an error in a command must end its connection only, not the front
            log.exception("failed to execute a control command")
        finally:
            sock.close()
            self._descriptors.release(DescriptorUse.CONTROL)

    async def _answer_commands(self, sock: socket.socket) -> None:
        """Answers each line until the peer closes the connection or sends a line that is too long."""
        data = bytearray()
        while True:
            while b"\n" not in data:
                if len(data) > MAX_LINE_BYTES:
                    return
                with anyio.fail_after(IDLE_TIMEOUT_SECONDS):
                    received = await receive(sock, READ_BYTES)
                if not received:
                    return
                data += received
            line, _, data = data.partition(b"\n")
            with anyio.fail_after(IDLE_TIMEOUT_SECONDS):
                await send_all(sock, answer(self._table, bytes(line), monotonic()))
