"""The address where operators call: takes connections and answers each one's line."""

from __future__ import annotations

import socket

import anyio
import structlog

from zincladder.admission.ledger import Ledger, Use
from zincladder.config import Address
from zincladder.control.accepting import Warn, accepting
from zincladder.control.calls import Calls, Line
from zincladder.support.lingering_close import LINGER_SECONDS, lingering_close

HELD = 10.0  # seconds for a line to come and for its answer to be read
LEAST = 4  # callers at once, however few descriptors there are
log = structlog.get_logger()


class OperatorAddress:
    """Guards operators against each other: who holds a place and says nothing makes room for who comes."""

    def __init__(self, listening: socket.socket, calls: Calls, ledger: Ledger, warn: Warn) -> None:
        self._calls, self._ledger, self._warn = calls, ledger, warn
        self._sock = listening
        self._waiting: dict[socket.socket, anyio.CancelScope] = {}  # the first to come first

    @property
    def address(self) -> Address:
        host, port, *_ = self._sock.getsockname()
        return host, port

    async def run(self) -> None:
        """Answers calls until it is cancelled."""
        try:
            async with anyio.create_task_group() as tasks:

                def take(sock: socket.socket) -> None:
                    if self._ledger.room(Use.CONTROL) <= 0 and len(self._waiting) >= LEAST:
                        self._waiting.pop(next(iter(self._waiting))).cancel()
                    self._ledger.force(Use.CONTROL)
                    scope = self._waiting[sock] = anyio.CancelScope()
                    tasks.start_soon(self._connection, sock, scope)

                await accepting(self._sock, take, self._warn)
        finally:
            self._sock.close()

    async def _connection(self, sock: socket.socket, scope: anyio.CancelScope) -> None:
        line, call = Line(), None
        try:
            sock.setblocking(False)
            with scope, anyio.fail_after(HELD):
                while call is None:
                    try:
                        got = sock.recv(512)
                    except BlockingIOError:
                        await anyio.wait_readable(sock)
                        continue
                    if not got:
                        return
                    try:
                        call = line.take(got)
                    except ValueError as fault:
                        sock.send(f"FAILURE {fault}\n".encode())
                        return await lingering_close(sock, LINGER_SECONDS)
                self._waiting.pop(sock, None)  # it has said what it wants: it is not the one to leave
                said = self._calls.answer(call)
                while said:
                    try:
                        said = said[sock.send(said) :]
                    except BlockingIOError:
                        await anyio.wait_writable(sock)
                await lingering_close(sock, LINGER_SECONDS)
        except (OSError, TimeoutError):
            pass
        except Exception:  # guards the front: a fault in an answer ends its connection only
            log.exception("operators' call failed")
        finally:
            self._waiting.pop(sock, None)
            sock.close()
            self._ledger.give(Use.CONTROL)
