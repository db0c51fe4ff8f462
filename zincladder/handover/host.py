"""The unix socket in `$TMPDIR` over which the listening socket goes to the next process.

Where it cannot be had, whatever the cause, the front starts and serves all the same: then both processes
listen through SO_REUSEPORT. What a killed process left behind is connected to in vain, and replaced.
"""

from __future__ import annotations

import contextlib
import os
import socket
import struct
from collections.abc import Callable, Iterator

import anyio
import structlog

from zincladder.config import Address
from zincladder.handover.model import MOST_HELLO, Companions, Foreign, Hello, decode

PATIENCE = 1.0  # seconds for the other process's word
CREDENTIALS = struct.Struct("3i")
REFUSED = (OSError, ValueError, Foreign, TimeoutError)
log = structlog.get_logger()


@contextlib.contextmanager
def _short(path: str) -> Iterator[str]:
    """The same place under a name of a few bytes: sockaddr_un holds 108, and a folder may take them all."""
    folder = os.open(os.path.dirname(path), os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        yield f"/proc/self/fd/{folder}/{os.path.basename(path)}"
    finally:
        os.close(folder)


class Handover:
    """One process's part in an upgrade: first as the one that comes, later as the one that goes."""

    def __init__(self, folder: str, where: Address, changed: Callable[[int], None]) -> None:
        self._where = f"{where[0]}:{where[1]}"
        self._path = os.path.join(folder, f"zincladder-{where[0].replace(':', '_')}-{where[1]}.sock")
        self._changed = changed
        self.companions = Companions()
        self._old: socket.socket | None = None
        self._inode = 0

    def ask(self) -> socket.socket | None:
        """The listening socket of the process that runs, if there is one. Only at the start: it blocks."""
        sock = None
        try:
            sock = socket.socket(socket.AF_UNIX)
            sock.settimeout(PATIENCE)
            with _short(self._path) as path:
                sock.connect(path)
            sock.sendall(Hello(self._where, os.getpid()).encode())
            data, fds, _, _ = socket.recv_fds(sock, MOST_HELLO, 4)
            listening = self._checked(data, fds)
        except FileNotFoundError:
            sock.close() if sock else None
            return None
        except REFUSED as fault:
            log.info("no process to take over from", why=str(fault) or type(fault).__name__)
            sock.close() if sock else None
            return None
        sock.setblocking(False)
        self._old = sock
        return listening

    def _checked(self, data: bytes, fds: list[int]) -> socket.socket:
        found = [socket.socket(fileno=fd) for fd in fds]
        try:
            old = decode(data, self._where)
            if len(found) != 1:
                raise Foreign(f"{len(found)} sockets")
            host, port, *_ = found[0].getsockname()
            if f"{host}:{port}" != self._where or not found[0].getsockopt(
                socket.SOL_SOCKET, socket.SO_ACCEPTCONN
            ):
                raise Foreign(f"a socket at {host}:{port} that does not listen at {self._where}")
        except BaseException:
            for sock in found:
                sock.close()
            raise
        found[0].setblocking(False)
        log.info("listening socket taken over", process=old.pid)
        return found[0]

    async def run(self, listening: socket.socket) -> None:
        """Hands the socket to whoever comes next, and follows who is alive, until it is cancelled."""
        async with anyio.create_task_group() as tasks:
            number = self.companions.came(newer=False) if self._old else None
            if self._old and number:
                tasks.start_soon(self._follow, self._old, number)
            while True:
                try:
                    server = self._publish()
                except REFUSED as fault:
                    log.info("no handing over of the listening socket", why=str(fault))
                    return
                try:
                    # Until a newcomer that took the path has left again: then it is this one's once more.
                    await self._serve(server, listening, tasks)
                finally:
                    server.close()
                    self._unpublish()

    def _publish(self) -> socket.socket:
        server, mine = socket.socket(socket.AF_UNIX), f"{self._path}.{os.getpid()}"
        try:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(mine)
            old = os.umask(0o177)  # owner only, from the first moment
            try:
                with _short(mine) as path:
                    server.bind(path)
            finally:
                os.umask(old)
            server.listen(2)
            server.setblocking(False)
            self._inode = os.stat(mine).st_ino
            os.rename(mine, self._path)  # at one moment, so that no newcomer finds none
        except BaseException:
            server.close()
            raise
        return server

    def _unpublish(self) -> None:
        """Guards the path of the process that has taken it over."""
        with contextlib.suppress(OSError):
            if os.stat(self._path).st_ino == self._inode:
                os.unlink(self._path)

    def _published(self) -> bool:
        with contextlib.suppress(OSError):
            return os.stat(self._path).st_ino == self._inode
        return False

    async def _serve(
        self, server: socket.socket, listening: socket.socket, tasks: anyio.abc.TaskGroup
    ) -> None:
        while True:
            with anyio.move_on_after(PATIENCE):
                await anyio.wait_readable(server)
            # Only after a newcomer that was met: one of another version keeps the place that it took, or the
            # two would take it from each other for ever.
            if self.companions.bereft and self.companions.processes == 1:
                self.companions.bereft = False
                if not self._published():
                    return
            with contextlib.suppress(OSError):
                sock, _ = server.accept()
                tasks.start_soon(self._hand_on, sock, listening)

    async def _hand_on(self, sock: socket.socket, listening: socket.socket) -> None:
        try:
            sock.setblocking(False)
            peer = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, CREDENTIALS.size)
            if CREDENTIALS.unpack(peer)[1] != os.getuid():
                raise Foreign("another user")
            with anyio.fail_after(PATIENCE):
                data = b""
                while not data.endswith(b"\n") and len(data) <= MOST_HELLO:
                    await anyio.wait_readable(sock)
                    got = sock.recv(MOST_HELLO)
                    if not got:
                        break
                    data += got
            new = decode(data, self._where)
            number = self.companions.came(newer=True)
            if number is None:
                raise Foreign("too many processes of this front")
        except REFUSED as fault:
            log.warning("listening socket not handed on", why=str(fault) or type(fault).__name__)
            sock.close()
            return
        try:
            socket.send_fds(sock, [Hello(self._where, os.getpid()).encode()], [listening.fileno()])
            log.info("listening socket handed on", process=new.pid)
        except OSError as fault:  # it has left again
            log.warning("listening socket not handed on", why=str(fault))
        await self._follow(sock, number)

    async def _follow(self, sock: socket.socket, number: int) -> None:
        """Waits until the process at the other end is gone."""
        try:
            self._changed(self.companions.processes)
            while True:
                await anyio.wait_readable(sock)
                try:
                    if not sock.recv(MOST_HELLO):
                        break
                except BlockingIOError:
                    continue
                except OSError:
                    break
        finally:
            sock.close()
            self.companions.left(number)
            self._changed(self.companions.processes)
        log.info("the other process has gone", processes=self.companions.processes)
