"""A connection of a front to a cache, where the test reads and writes in place of the cache."""

from __future__ import annotations

import contextlib
import math
import socket
import time
from collections.abc import AsyncIterator, Callable, Sequence
from typing import Any

import anyio

from tests.support.front_configuration import configuration
from zincladder.admission.descriptor_budget import ELASTIC_POOLS, DescriptorBudget
from zincladder.config import Config, parse_config
from zincladder.core.attempt import AttemptRequest, ClientRequest
from zincladder.core.attempt_end import AttemptEnd
from zincladder.net.cache_connection import CacheConnection
from zincladder.net.cache_exchange import run_exchange
from zincladder.net.cache_pool import CachePool
from zincladder.net.cache_transport import CacheTransport

OVER_BUFFER_SIZE = 1 << 20  # bytes: more than the socket buffers of both ends hold together


@contextlib.contextmanager
def small_buffer_connection() -> Any:
    """Yields both ends of a TCP connection with small socket buffers: the front's end, then the cache's."""
    with socket.socket() as listener, socket.socket() as front_socket:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        front_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        front_socket.connect(listener.getsockname())
        front_socket.setblocking(False)
        cache_socket, _ = listener.accept()
        with cache_socket:
            cache_socket.setblocking(False)
            yield front_socket, cache_socket


def attempt_request(trace: str = "a" * 16, **more: Any) -> AttemptRequest:
    return AttemptRequest(ClientRequest(trace, 0, 1, 0, 0, math.inf), b"s-00000001", **more)


class Wire:
    """A front's connection to a cache; the test reads and writes at the cache's end."""

    def __init__(
        self,
        config: Config,
        front_socket: socket.socket,
        endpoint: socket.socket,
        tasks: anyio.abc.TaskGroup,
        now: Callable[[], float],
    ) -> None:
        self.caches = CacheTransport(CachePool(config, DescriptorBudget(100, ELASTIC_POOLS)), now, ["page"])
        self.link, self.endpoint, self._tasks = (
            CacheConnection(front_socket, self.caches.pool.report_names),
            endpoint,
            tasks,
        )
        self.ends: list[AttemptEnd] = []

    async def send(self, message: bytes, outgoing: AttemptRequest) -> anyio.CancelScope:
        """Starts an attempt, and returns the scope that cancels it; its end is appended to `ends`."""
        return await self.attempt(outgoing.request.trace, lambda: [message], outgoing)

    async def attempt(
        self, name: str, write: Callable[[], Sequence[bytes]], outgoing: AttemptRequest
    ) -> anyio.CancelScope:
        """Starts an attempt like `send`, but `write` builds the message when it is about to be sent."""
        scope = anyio.CancelScope()

        async def attempt() -> None:
            with scope:
                self.ends.append(await run_exchange(self.link, name.encode(), write, outgoing))

        self._tasks.start_soon(attempt)
        await anyio.wait_all_tasks_blocked()
        return scope

    async def answer(self, data: bytes) -> None:
        """Sends data from the cache, and waits until the front has read and processed it."""
        expected = self.link.read_buffer.received + len(data)
        self.endpoint.sendall(data)
        with anyio.fail_after(5):
            while self.link.read_buffer.received < expected:
                await anyio.sleep(0.001)
        await anyio.wait_all_tasks_blocked()

    async def read(self, until: Callable[[bytes], bool]) -> bytes:
        """Reads at the cache's end until `until` holds for the data or the front has closed the connection.

        Returns all data that was read.
        """
        received = b""
        with anyio.fail_after(5):
            while not until(received):
                try:
                    chunk = self.endpoint.recv(1 << 16)
                except BlockingIOError:
                    await anyio.wait_readable(self.endpoint)
                    continue
                except ConnectionResetError:
                    break  # the front closed the connection, and its unsent data was dropped
                if not chunk:
                    break
                received += chunk
        return received


@contextlib.asynccontextmanager
async def wire(config: Config | None = None, now: Callable[[], float] = time.time) -> AsyncIterator[Wire]:
    with small_buffer_connection() as (front_socket, cache_socket):
        async with anyio.create_task_group() as tasks:
            found = Wire(config or parse_config(configuration([])), front_socket, cache_socket, tasks, now)
            tasks.start_soon(found.link.run)
            yield found
            tasks.cancel_scope.cancel()
