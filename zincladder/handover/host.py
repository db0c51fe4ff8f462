"""Passes the listening socket to the next process of a front, over a unix socket in `$TMPDIR`.

An error here never prevents a front from serving: without the socket of the old process it binds its own,
with SO_REUSEPORT. A path that a killed process left behind refuses connections, and is replaced.
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
from zincladder.handover.sent_ids import SentIdExchange
from zincladder.support.rate_limited_log import RateLimitedLog

EXCHANGE_TIMEOUT_SECONDS = 1.0  # a process waits so long for the message of the other one
PUBLISH_RETRY_SECONDS = 5.0  # delay before the rendezvous path is published again after an error
POLL_SECONDS = 1.0  # between two checks whether the rendezvous path must be published again
LOG_INTERVAL_SECONDS = 600.0  # least time between two lines about a path that cannot be published
BACKLOG = 2
MAX_DESCRIPTORS = 4  # received with one message
PRIVATE_UMASK = 0o177  # only the user of this process may connect
PEER_CREDENTIALS = struct.Struct("3i")  # pid, uid, gid
EXCHANGE_ERRORS = (OSError, ValueError, HelloError, TimeoutError)
log = structlog.get_logger()


@contextlib.contextmanager
def _short_path(path: str) -> Iterator[str]:
    """A short alias of a path: sockaddr_un holds 108 bytes, which the path of the directory may exceed."""
    directory = os.open(os.path.dirname(path), os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        yield f"/proc/self/fd/{directory}/{os.path.basename(path)}"
    finally:
        os.close(directory)


def _error_text(error: BaseException) -> str:
    return str(error) or type(error).__name__


def _close_all(sockets: list[socket.socket]) -> None:
    for sock in sockets:
        sock.close()


class Handover:
    """One process's part in upgrades: when it starts, it is the new process, and later the old one.

    `directory` contains the rendezvous path, `listen` is the address that the front serves, and
    `on_process_count` is called with the number of running processes of this front whenever it changes.
    `sent_ids` exchanges with them which requests may have run.
    """

    def __init__(
        self,
        directory: str,
        listen: Address,
        on_process_count: Callable[[int], None],
        sent_ids: SentIdExchange,
    ) -> None:
        host, port = listen
        self._listen = f"{host}:{port}"
        self._path = os.path.join(directory, f"zincladder-{host.replace(':', '_')}-{port}.sock")
        self._on_process_count, self._sent_ids = on_process_count, sent_ids
        self.generations = ProcessGenerations()
        self._predecessor: socket.socket | None = None
        # A process of this front listens at the rendezvous path, though it may hang and answer nothing.
        self.found_predecessor = False
        self._published_inode = 0
        self._rate_limited_log = RateLimitedLog(LOG_INTERVAL_SECONDS)

    # As the new process ---------------------------------------------------------------------------

    def take_over(self) -> socket.socket | None:
        """Returns the listening socket of the running process, or None if there is none or it cannot be used.

        Blocks for up to EXCHANGE_TIMEOUT_SECONDS, so it must be called before the event loop serves requests.
        """
        sock = None
        try:
            sock = socket.socket(socket.AF_UNIX)
            sock.settimeout(EXCHANGE_TIMEOUT_SECONDS)
            listener = self._request_listener(sock)
        except FileNotFoundError:
            sock.close() if sock else None
            return None
        except EXCHANGE_ERRORS as error:
            log.info("no listening socket received from a running process", reason=_error_text(error))
            sock.close() if sock else None
            return None
        sock.setblocking(False)
        self._predecessor = sock
        self._sent_ids.add(sock)
        return listener

    def _request_listener(self, sock: socket.socket) -> socket.socket:
        with _short_path(self._path) as path:
            sock.connect(path)
        self.found_predecessor = True
        sock.sendall(Hello(self._listen, os.getpid()).encode())
        data, descriptors, _, _ = socket.recv_fds(sock, MAX_HELLO_BYTES, MAX_DESCRIPTORS)
        received = [socket.socket(fileno=descriptor) for descriptor in descriptors]
        try:
            hello = decode(data, self._listen)
            listener = self._checked_listener(received)
        except BaseException:
            _close_all(received)
            raise
        listener.setblocking(False)
        log.info("listening socket taken over", old_pid=hello.pid)
        return listener

    def _checked_listener(self, received: list[socket.socket]) -> socket.socket:
        """Returns the socket received; raises HelloError if it does not listen at this front's address."""
        if len(received) != 1:
            raise HelloError(f"{len(received)} sockets were received instead of 1")
        (listener,) = received
        host, port, *_ = listener.getsockname()
        is_listening = listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
        if f"{host}:{port}" != self._listen or not is_listening:
            raise HelloError(f"the socket received, at {host}:{port}, does not listen at {self._listen}")
        return listener

    # As the old process ---------------------------------------------------------------------------

    async def run(self, listener: socket.socket) -> None:
        """Passes the listening socket to each new process, and counts running processes, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follow_predecessor)
            while True:
                try:
                    server = self._publish()
                except EXCHANGE_ERRORS as error:
                    self._rate_limited_log.info(
                        "cannot open the rendezvous socket; later processes open their own listening socket",
                        reason=str(error),
                    )
                    await anyio.sleep(PUBLISH_RETRY_SECONDS)
                    continue
                try:
                    # Returns once the path has to be published again.
                    await self._accept_new_processes(server, listener, tasks)
                finally:
                    server.close()
                    self._unpublish()

    @property
    def predecessor_runs(self) -> bool:
        """Whether the process whose listening socket this one has taken over still runs."""
        return self._predecessor is not None

    async def _follow_predecessor(self) -> None:
        """Counts the process that this one replaces until it ends."""
        number = self.generations.add(newer=False) if self._predecessor else None
        if self._predecessor and number:
            await self._count_until_end(self._predecessor, number)
            self._predecessor = None

    def _publish(self) -> socket.socket:
        """Binds the rendezvous path; an atomic rename replaces an old one, so that the path always exists."""
        server, temporary_path = socket.socket(socket.AF_UNIX), f"{self._path}.{os.getpid()}"
        try:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(temporary_path)
            previous_umask = os.umask(PRIVATE_UMASK)
            try:
                with _short_path(temporary_path) as path:
                    server.bind(path)
            finally:
                os.umask(previous_umask)
            server.listen(BACKLOG)
            server.setblocking(False)
            self._published_inode = os.stat(temporary_path).st_ino
            os.rename(temporary_path, self._path)
        except BaseException:
            server.close()
            raise
        return server

    def _unpublish(self) -> None:
        """Removes the rendezvous path, unless another process has replaced it."""
        with contextlib.suppress(OSError):
            if self._is_published():
                os.unlink(self._path)

    def _is_published(self) -> bool:
        with contextlib.suppress(OSError):
            return os.stat(self._path).st_ino == self._published_inode
        return False

    async def _accept_new_processes(
        self, server: socket.socket, listener: socket.socket, tasks: anyio.abc.TaskGroup
    ) -> None:
        while True:
            with anyio.move_on_after(POLL_SECONDS):
                await anyio.wait_readable(server)
            if self._must_publish_again():
                return
            try:
                sock, _ = server.accept()
            except BlockingIOError:
                continue
            except (
                OSError
            ):  # no descriptor is free: the socket stays readable, and a retry at once would spin
                await anyio.sleep(POLL_SECONDS)
                continue
            tasks.start_soon(self._transfer_listener, sock, listener)

    def _must_publish_again(self) -> bool:
        """Returns whether the path was removed, or a newer process that replaced it has ended.

        Only a process that exchanged messages with this one counts. A process of another version keeps the
        path that it replaced; otherwise the two would replace each other's path again and again.
        """
        generations = self.generations
        if not generations.has_successor and not os.path.lexists(self._path):
            return True  # without it, the connections in this process's listen queue are lost at an upgrade
        if not generations.lost_successor or generations.process_count > 1:
            return False
        generations.lost_successor = False
        return not self._is_published()

    async def _transfer_listener(self, sock: socket.socket, listener: socket.socket) -> None:
        try:
            hello = await self._receive_hello(sock)
            number = self.generations.add(newer=True)
            if number is None:
                raise HelloError("too many processes of this front are running")
        except EXCHANGE_ERRORS as error:
            log.warning("listening socket not handed over to a new process", reason=_error_text(error))
            sock.close()
            return
        try:
            socket.send_fds(sock, [Hello(self._listen, os.getpid()).encode()], [listener.fileno()])
            log.info("listening socket handed over to a new process", new_pid=hello.pid)
        except OSError as error:  # the new process has ended already
            log.warning("listening socket not handed over to a new process", reason=str(error))
        self._sent_ids.add(sock)
        await self._count_until_end(sock, number)

    async def _receive_hello(self, sock: socket.socket) -> Hello:
        """Returns the message of a new process. Raises HelloError if the process belongs to another user."""
        sock.setblocking(False)
        credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
        _, uid, _ = PEER_CREDENTIALS.unpack(credentials)
        if uid != os.getuid():
            raise HelloError("the new process belongs to another user")
        data = b""
        with anyio.fail_after(EXCHANGE_TIMEOUT_SECONDS):
            while not data.endswith(b"\n") and len(data) <= MAX_HELLO_BYTES:
                await anyio.wait_readable(sock)
                received = sock.recv(MAX_HELLO_BYTES)
                if not received:
                    break
                data += received
        return decode(data, self._listen)

    async def _count_until_end(self, sock: socket.socket, number: int) -> None:
        """Counts the process at the other end of a connection until it ends, which closes the connection."""
        try:
            self._on_process_count(self.generations.process_count)
            while True:
                await anyio.wait_readable(sock)
                if not self._sent_ids.read(sock):
                    break
        finally:
            self._sent_ids.remove(sock)
            sock.close()
            self.generations.remove(number)
            self._on_process_count(self.generations.process_count)
        log.info("another process of this front ended", processes=self.generations.process_count)
