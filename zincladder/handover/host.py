"""The unix socket in `$TMPDIR` over which the listening socket is passed to the next process.

A fault here never keeps a front from serving: without the socket of the old process it binds its own through
SO_REUSEPORT. A path that a killed process left behind refuses connections, and is replaced.
"""

from __future__ import annotations

import contextlib
import os
import socket
import struct
from collections.abc import Callable, Iterator

import anyio
import anyio.abc
import structlog

from zincladder.config import Address
from zincladder.handover.model import MAX_HELLO_BYTES, Hello, HelloError, ProcessGenerations, decode

EXCHANGE_TIMEOUT_SECONDS = 1.0  # for the other process's message
POLL_SECONDS = 1.0  # between two looks at who holds the rendezvous path
BACKLOG = 2
MAX_DESCRIPTORS = 4  # received with one message
OWNER_ONLY = 0o177  # umask
PEER_CREDENTIALS = struct.Struct("3i")  # pid, uid, gid
EXCHANGE_ERRORS = (OSError, ValueError, HelloError, TimeoutError)
log = structlog.get_logger()


@contextlib.contextmanager
def _short_path(path: str) -> Iterator[str]:
    """The same path in a few bytes: sockaddr_un holds 108, which the folder's name alone may exceed."""
    folder = os.open(os.path.dirname(path), os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        yield f"/proc/self/fd/{folder}/{os.path.basename(path)}"
    finally:
        os.close(folder)


def _reason(error: BaseException) -> str:
    return str(error) or type(error).__name__


def _close_all(sockets: list[socket.socket]) -> None:
    for sock in sockets:
        sock.close()


class Handover:
    """One process's part in upgrades: at its start as the new process, later as the old one.

    Parameters: `folder` holds the rendezvous path, `listen` is the address that the front serves, and
    `on_process_count` is called with the number of this front's processes whenever it changes.
    """

    def __init__(self, folder: str, listen: Address, on_process_count: Callable[[int], None]) -> None:
        host, port = listen
        self._listen = f"{host}:{port}"
        self._path = os.path.join(folder, f"zincladder-{host.replace(':', '_')}-{port}.sock")
        self._on_process_count = on_process_count
        self.generations = ProcessGenerations()
        self._predecessor: socket.socket | None = None
        self._published_inode = 0

    # As the new process ---------------------------------------------------------------------------

    def take_over(self) -> socket.socket | None:
        """The listening socket of the running process, or None if there is none that can be had.

        Blocks for EXCHANGE_TIMEOUT_SECONDS at most, so it may be called before the event loop serves only.
        """
        sock = None
        try:
            sock = socket.socket(socket.AF_UNIX)
            sock.settimeout(EXCHANGE_TIMEOUT_SECONDS)
            listening = self._request_listener(sock)
        except FileNotFoundError:
            sock.close() if sock else None
            return None
        except EXCHANGE_ERRORS as error:
            log.info("no process to take over from", reason=_reason(error))
            sock.close() if sock else None
            return None
        sock.setblocking(False)
        self._predecessor = sock
        return listening

    def _request_listener(self, sock: socket.socket) -> socket.socket:
        with _short_path(self._path) as path:
            sock.connect(path)
        sock.sendall(Hello(self._listen, os.getpid()).encode())
        data, descriptors, _, _ = socket.recv_fds(sock, MAX_HELLO_BYTES, MAX_DESCRIPTORS)
        received = [socket.socket(fileno=descriptor) for descriptor in descriptors]
        try:
            hello = decode(data, self._listen)
            listening = self._checked_listener(received)
        except BaseException:
            _close_all(received)
            raise
        listening.setblocking(False)
        log.info("listening socket taken over", process=hello.pid)
        return listening

    def _checked_listener(self, received: list[socket.socket]) -> socket.socket:
        """The one socket received; guards against one that does not listen at this front's address."""
        if len(received) != 1:
            raise HelloError(f"{len(received)} sockets")
        (listening,) = received
        host, port, *_ = listening.getsockname()
        is_listening = listening.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
        if f"{host}:{port}" != self._listen or not is_listening:
            raise HelloError(f"a socket at {host}:{port} that does not listen at {self._listen}")
        return listening

    # As the old process ---------------------------------------------------------------------------

    async def run(self, listening: socket.socket) -> None:
        """Pass the listening socket to each new process, and count those that run, until cancelled."""
        async with anyio.create_task_group() as tasks:
            number = self.generations.add(newer=False) if self._predecessor else None
            if self._predecessor and number:
                tasks.start_soon(self._watch, self._predecessor, number)
            while True:
                try:
                    server = self._publish()
                except EXCHANGE_ERRORS as error:
                    log.info("listening socket cannot be handed over", reason=str(error))
                    return
                try:
                    # Returns once a new process that took the path has ended; then it is published again.
                    await self._serve(server, listening, tasks)
                finally:
                    server.close()
                    self._unpublish()

    def _publish(self) -> socket.socket:
        """Bind the rendezvous path, replacing whatever is there in one step, so that it always exists."""
        server, own_path = socket.socket(socket.AF_UNIX), f"{self._path}.{os.getpid()}"
        try:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(own_path)
            previous_umask = os.umask(OWNER_ONLY)
            try:
                with _short_path(own_path) as path:
                    server.bind(path)
            finally:
                os.umask(previous_umask)
            server.listen(BACKLOG)
            server.setblocking(False)
            self._published_inode = os.stat(own_path).st_ino
            os.rename(own_path, self._path)
        except BaseException:
            server.close()
            raise
        return server

    def _unpublish(self) -> None:
        """Remove the path; guards that of a process that has taken it over."""
        with contextlib.suppress(OSError):
            if self._is_published():
                os.unlink(self._path)

    def _is_published(self) -> bool:
        with contextlib.suppress(OSError):
            return os.stat(self._path).st_ino == self._published_inode
        return False

    async def _serve(
        self, server: socket.socket, listening: socket.socket, tasks: anyio.abc.TaskGroup
    ) -> None:
        while True:
            with anyio.move_on_after(POLL_SECONDS):
                await anyio.wait_readable(server)
            if self._must_publish_again():
                return
            with contextlib.suppress(OSError):
                sock, _ = server.accept()
                tasks.start_soon(self._transfer_listener, sock, listening)

    def _must_publish_again(self) -> bool:
        """Whether a newer process took the path and has ended.

        Only one that this process exchanged messages with: a process of another version keeps the path that
        it took, or the two would take it from each other for ever.
        """
        generations = self.generations
        if not generations.lost_successor or generations.process_count > 1:
            return False
        generations.lost_successor = False
        return not self._is_published()

    async def _transfer_listener(self, sock: socket.socket, listening: socket.socket) -> None:
        try:
            hello = await self._receive_hello(sock)
            number = self.generations.add(newer=True)
            if number is None:
                raise HelloError("too many processes of this front")
        except EXCHANGE_ERRORS as error:
            log.warning("listening socket not handed over", reason=_reason(error))
            sock.close()
            return
        try:
            socket.send_fds(sock, [Hello(self._listen, os.getpid()).encode()], [listening.fileno()])
            log.info("listening socket handed over", process=hello.pid)
        except OSError as error:  # the new process has ended already
            log.warning("listening socket not handed over", reason=str(error))
        await self._watch(sock, number)

    async def _receive_hello(self, sock: socket.socket) -> Hello:
        """The new process's message; guards against a process of another user."""
        sock.setblocking(False)
        credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
        _, uid, _ = PEER_CREDENTIALS.unpack(credentials)
        if uid != os.getuid():
            raise HelloError("another user")
        data = b""
        with anyio.fail_after(EXCHANGE_TIMEOUT_SECONDS):
            while not data.endswith(b"\n") and len(data) <= MAX_HELLO_BYTES:
                await anyio.wait_readable(sock)
                received = sock.recv(MAX_HELLO_BYTES)
                if not received:
                    break
                data += received
        return decode(data, self._listen)

    async def _watch(self, sock: socket.socket, number: int) -> None:
        """Count the process at the other end until the connection ends, as it does with that process."""
        try:
            self._on_process_count(self.generations.process_count)
            while True:
                await anyio.wait_readable(sock)
                try:
                    if not sock.recv(MAX_HELLO_BYTES):
                        break
                except BlockingIOError:
                    continue
                except OSError:
                    break
        finally:
            sock.close()
            self.generations.remove(number)
            self._on_process_count(self.generations.process_count)
        log.info("other process ended", processes=self.generations.process_count)
