"""The control socket: a unix socket that only the front's own user may open."""

from __future__ import annotations

import contextlib
import os
import socket
import stat
from collections.abc import Mapping
from time import monotonic

import anyio
import anyio.abc
import structlog

from zincladder.admission.ledger import Ledger, Use
from zincladder.config import ConfigError
from zincladder.control.accepting import accepting
from zincladder.control.commands import MOST_LINE, Command, answer

NEXT = ".n"  # beside the path, which may have 100 of the 108 bytes
IDLE = 10.0  # seconds for a request
log = structlog.get_logger()


class ControlError(ConfigError):
    """The socket cannot be made; the text says why."""


def bind(path: str, replaces: bool = False) -> socket.socket:
    """A listening socket at a path. One that a dead front left is replaced, anything else is left alone.

    With `replaces`, at an upgrade, the path is taken from the process that goes, at one moment.
    """
    try:
        mode = os.lstat(path).st_mode
    except FileNotFoundError:
        pass
    else:
        if not stat.S_ISSOCK(mode):
            raise ControlError(f"'control.socket': {path} is there and is no socket")
        with socket.socket(socket.AF_UNIX) as probe:
            try:
                if not replaces:
                    probe.connect(path)
            except ConnectionRefusedError:
                os.unlink(path)
            except OSError as fault:
                raise ControlError(f"'control.socket': {path}: {fault.strerror}") from None
            else:
                if not replaces:
                    raise ControlError(f"'control.socket': another front listens at {path}")
    sock = socket.socket(socket.AF_UNIX)
    old = os.umask(0o177)  # owner only, from the first moment
    try:
        name = path + NEXT if replaces else path
        if replaces:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(name)  # of one that was killed here
        sock.bind(name)
        sock.listen(8)
        if replaces:
            os.rename(name, path)
        sock.setblocking(False)
    except OSError as fault:
        sock.close()
        raise ControlError(f"'control.socket': {path}: {fault.strerror}") from None
    finally:
        os.umask(old)
    return sock


class ControlServer:
    """Answers operators' commands until it is cancelled."""

    def __init__(
        self, path: str, table: Mapping[str, Command], ledger: Ledger, replaces: bool = False
    ) -> None:
        self._path, self._table, self._ledger = path, table, ledger
        self._sock = bind(path, replaces)
        self._inode = os.stat(path).st_ino

    async def run(self) -> None:
        try:
            async with anyio.create_task_group() as tasks:

                def take(sock: socket.socket) -> None:
                    if self._ledger.take(Use.CONTROL):
                        tasks.start_soon(self._connection, sock)
                    else:
                        sock.close()

                await accepting(self._sock, take, log.warning)
        finally:
            self._sock.close()
            # Guards the socket of a front that has taken the path over.
            try:
                if os.stat(self._path).st_ino == self._inode:
                    os.unlink(self._path)
            except OSError:
                pass

    async def _connection(self, sock: socket.socket) -> None:
        data = bytearray()
        try:
            sock.setblocking(False)
            while True:
                while b"\n" not in data:
                    if len(data) > MOST_LINE:
                        return
                    with anyio.fail_after(IDLE):
                        await anyio.wait_readable(sock)
                    got = sock.recv(4096)
                    if not got:
                        return
                    data += got
                line, _, data = data.partition(b"\n")
                said = answer(self._table, bytes(line), monotonic())
                while said:
                    with anyio.fail_after(IDLE):
                        await anyio.wait_writable(sock)
                    said = said[sock.send(said) :]
        except (OSError, TimeoutError):
            pass
        except Exception:  # guards the front: a fault in a command ends its connection only
            log.exception("control command failed")
        finally:
            sock.close()
            self._ledger.give(Use.CONTROL)
