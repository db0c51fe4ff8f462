"""The TCP server for operators' status calls; a connection sends one line and gets one answer."""

from __future__ import annotations

import socket

import anyio
import structlog

from zincladder.admission.descriptor_budget import DescriptorBudget, DescriptorUse
from zincladder.config import Address
from zincladder.control.status_calls import LineReader, StatusCalls
from zincladder.support.lingering_close import LINGER_SECONDS, lingering_close
from zincladder.support.listeners import LogWarning, accept_connections
from zincladder.support.socket_io import receive, send_all

CONNECTION_TIMEOUT_SECONDS = 10.0  # a connection is closed if its line and its answer take longer
MIN_CONNECTIONS = 4  # open at the same time, even if no descriptors are available
READ_BYTES = 512
log = structlog.get_logger()


class StatusServer:
    """Answers operators' status calls.

    At the limit of connections, a new one replaces the oldest one that has not sent a complete line, so that
    silent connections cannot lock operators out.
    """

    def __init__(
        self, listening: socket.socket, calls: StatusCalls, descriptors: DescriptorBudget, warn: LogWarning
    ) -> None:
        self._listener, self._calls, self._descriptors, self._warn = listening, calls, descriptors, warn
        # The connections that have not sent a complete line, oldest first.
        self._incomplete: dict[socket.socket, anyio.CancelScope] = {}

    @property
    def address(self) -> Address:
        """The address at which the server listens."""
        host, port, *_ = self._listener.getsockname()
        return host, port

    async def run(self) -> None:
        """Answers calls until cancelled."""
        try:
            async with anyio.create_task_group() as tasks:

                def handle(sock: socket.socket, host: str) -> None:
                    self._close_oldest_at_limit()
                    self._descriptors.force_acquire(DescriptorUse.CONTROL)
                    scope = self._incomplete[sock] = anyio.CancelScope()
                    tasks.start_soon(self._serve_connection, sock, scope)

                await accept_connections(self._listener, handle, self._warn)
        finally:
            self._listener.close()

    def _close_oldest_at_limit(self) -> None:
        """Closes the oldest connection without a complete line, if the limit of connections is reached."""
        if (
            self._descriptors.available(DescriptorUse.CONTROL) <= 0
            and len(self._incomplete) >= MIN_CONNECTIONS
        ):
            oldest = next(iter(self._incomplete))
            self._incomplete.pop(oldest).cancel()

    async def _serve_connection(self, sock: socket.socket, scope: anyio.CancelScope) -> None:
        try:
            sock.setblocking(False)
            with scope, anyio.fail_after(CONNECTION_TIMEOUT_SECONDS):
                await self._answer_call(sock)
        except (OSError, TimeoutError):
            pass
        except Exception:  # an error in a call must end its connection only, not the front
            log.exception("failed to answer a status call")
        finally:
            self._incomplete.pop(sock, None)
            sock.close()
            self._descriptors.release(DescriptorUse.CONTROL)

    async def _answer_call(self, sock: socket.socket) -> None:
        try:
            call = await self._read_call(sock)
        except ValueError as error:
            sock.send(f"FAILURE {error}\n".encode())
            await lingering_close(sock, LINGER_SECONDS)
            return
        if call is None:
            return
        self._incomplete.pop(sock, None)  # its line is complete, so a new connection no longer replaces it
        await send_all(sock, self._calls.answer(call))
        await lingering_close(sock, LINGER_SECONDS)

    async def _read_call(self, sock: socket.socket) -> bytes | None:
        """Returns the line of a call; None if the peer closed the connection first.

        Raises ValueError if the line is too long.
        """
        reader = LineReader()
        while True:
            data = await receive(sock, READ_BYTES)
            if not data:
                return None
            call = reader.feed(data)
            if call is not None:
                return call
