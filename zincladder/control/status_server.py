"""The TCP address at which operators ask for a front's status: one line in, one answer out."""

from __future__ import annotations

import socket

import anyio
import structlog

from zincladder.admission.descriptor_budget import DescriptorBudget, DescriptorUse
from zincladder.config import Address
from zincladder.control.accept_loop import Warn, accept_connections
from zincladder.control.status_calls import LineReader, StatusCalls
from zincladder.support.lingering_close import LINGER_SECONDS, lingering_close

CONNECTION_TIMEOUT_SECONDS = 10.0  # for the line to arrive and its answer to be read
MIN_CONNECTIONS = 4  # at once, however few descriptors there are
READ_BYTES = 512
log = structlog.get_logger()


class StatusServer:
    """Answers the calls of operators.

    Guards them against each other: at its limit the connection that has waited longest without a whole line
    is closed for a new one.
    """

    def __init__(
        self, listening: socket.socket, calls: StatusCalls, descriptors: DescriptorBudget, warn: Warn
    ) -> None:
        self._listening, self._calls, self._descriptors, self._warn = listening, calls, descriptors, warn
        self._incomplete: dict[socket.socket, anyio.CancelScope] = {}  # without a whole line, oldest first

    @property
    def address(self) -> Address:
        """Where it listens."""
        host, port, *_ = self._listening.getsockname()
        return host, port

    async def run(self) -> None:
        """Answer calls until cancelled."""
        try:
            async with anyio.create_task_group() as tasks:

                def handle(sock: socket.socket) -> None:
                    self._make_room()
                    self._descriptors.force(DescriptorUse.CONTROL)
                    scope = self._incomplete[sock] = anyio.CancelScope()
                    tasks.start_soon(self._serve_connection, sock, scope)

                await accept_connections(self._listening, handle, self._warn)
        finally:
            self._listening.close()

    def _make_room(self) -> None:
        if self._descriptors.room(DescriptorUse.CONTROL) <= 0 and len(self._incomplete) >= MIN_CONNECTIONS:
            oldest = next(iter(self._incomplete))
            self._incomplete.pop(oldest).cancel()

    async def _serve_connection(self, sock: socket.socket, scope: anyio.CancelScope) -> None:
        try:
            sock.setblocking(False)
            with scope, anyio.fail_after(CONNECTION_TIMEOUT_SECONDS):
                await self._answer_call(sock)
        except (OSError, TimeoutError):
            pass
        except Exception:  # guards the front: a fault in an answer ends its connection only
            log.exception("status call failed")
        finally:
            self._incomplete.pop(sock, None)
            sock.close()
            self._descriptors.give(DescriptorUse.CONTROL)

    async def _answer_call(self, sock: socket.socket) -> None:
        try:
            call = await self._read_call(sock)
        except ValueError as error:
            sock.send(f"FAILURE {error}\n".encode())
            await lingering_close(sock, LINGER_SECONDS)
            return
        if call is None:
            return
        self._incomplete.pop(sock, None)  # its line is whole: it is no longer closed for another
        await _send_all(sock, self._calls.answer(call))
        await lingering_close(sock, LINGER_SECONDS)

    async def _read_call(self, sock: socket.socket) -> bytes | None:
        """The line of one call, or None if the peer ended first; ValueError if it is too long."""
        line = LineReader()
        while True:
            try:
                data = sock.recv(READ_BYTES)
            except BlockingIOError:
                await anyio.wait_readable(sock)
                continue
            if not data:
                return None
            call = line.feed(data)
            if call is not None:
                return call


async def _send_all(sock: socket.socket, data: bytes) -> None:
    while data:
        try:
            data = data[sock.send(data) :]
        except BlockingIOError:
            await anyio.wait_writable(sock)
