"""The pool of connections to the caches: which one a request goes out on, when one is opened or closed."""

from __future__ import annotations

import errno
import socket
from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import partial
from time import monotonic

import anyio
import structlog
from anyio.abc import TaskGroup

from zincladder.admission.descriptor_budget import DescriptorBudget, DescriptorUse
from zincladder.config import Address, Config
from zincladder.core.attempt_end import AttemptEnd, EndReason
from zincladder.net.cache_connection import CacheConnection
from zincladder.net.sockets import connect, is_closed_by_peer
from zincladder.routing import interface as api
from zincladder.support.rate_limited_log import RateLimitedLog

IDLE_SHARE = 0.7  # of the caches' own idle time: this side closes first, so that no request crosses a close
IDLE_CHECK_INTERVAL_SECONDS = 1.0
DEFAULT_CONNECT_TIMEOUT_SECONDS = 0.4  # where the settings name none
FREED_DESCRIPTORS = 4  # when the system has none
DESCRIPTOR_WAIT_SECONDS = 0.03  # for these
log = structlog.get_logger()


@dataclass(slots=True, eq=False)
class _Waiter:
    """A request that waits for its connection to come up, or for another one that falls idle before."""

    exchange_id: bytes
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    connection: CacheConnection | None = None


class CachePool:
    """Connections to all caches, by endpoint."""

    def __init__(self, config: Config, descriptors: DescriptorBudget) -> None:
        self._config, self._descriptors = config, descriptors
        self._addresses: dict[api.EndpointId, Address] = {}
        self._connections: dict[api.EndpointId, list[CacheConnection]] = {}
        self._waiters: dict[api.EndpointId, list[_Waiter]] = {}  # oldest first
        self._tasks: TaskGroup | None = None
        self._lines = RateLimitedLog()

    async def run(self) -> None:
        """Runs the connections, and closes idle ones, until it is cancelled."""
        async with anyio.create_task_group() as self._tasks:
            while True:
                await anyio.sleep(IDLE_CHECK_INTERVAL_SECONDS)
                oldest = monotonic() - IDLE_SHARE * self._config.idle_close_seconds
                for connections in list(self._connections.values()):
                    for connection in connections:
                        is_idle = not (connection.open or connection.reserved)
                        if is_idle and connection.used_at < oldest:
                            connection.close()

    def apply_config(self, config: Config) -> None:
        """Use a configuration that was reloaded: its limits hold from now on."""
        self._config = config

    def report_names(self) -> Sequence[str]:
        """The names of a load report's figures, in the order of the settings in force."""
        return self._config.settings.report_names

    # The endpoint list ---------------------------------------------------------------------------

    def set_address(self, endpoint: api.EndpointId, address: Address) -> None:
        """Where an endpoint listens. An id is one process, so an address used again is another endpoint's."""
        self._addresses[endpoint] = address

    def address_of(self, endpoint: api.EndpointId) -> Address | None:
        """Where an endpoint listens; None for one that is gone."""
        return self._addresses.get(endpoint)

    def retain_only(self, endpoints: set[api.EndpointId]) -> None:
        """Forget all that a full list does not name: they are gone."""
        for endpoint in self._addresses.keys() - endpoints:
            self.forget(endpoint)

    def forget(self, endpoint: api.EndpointId) -> None:
        """An endpoint that is gone: what is open on it may still end by itself, nothing new is opened."""
        self._addresses.pop(endpoint, None)
        self.close_idle(endpoint)

    def close_idle(self, endpoint: api.EndpointId) -> None:
        """Close the connections to an endpoint on which nothing is open."""
        for connection in self._connections.get(endpoint, ()):
            if not connection.open:
                connection.close()

    # Choice of a connection ----------------------------------------------------------------------

    async def acquire(self, endpoint: api.EndpointId, exchange_id: bytes) -> CacheConnection:
        """A connection with nothing else open on it where the descriptors allow, else the least busy one.

        Guards each request against what happens to others: one unreadable answer or reset ends all that is
        open on its connection. All that wait for an endpoint that does not come up wait at the same time, and
        none of them longer than until another connection falls idle.

        Raises:
            OSError: There is no connection, and none could be opened.
            TimeoutError: The new connection did not come up in time.
        """
        usable = self._find_usable(endpoint, exchange_id)
        if usable and not usable.open:
            return usable
        if self._descriptors.available(DescriptorUse.CACHES) <= 0 and not self._free_descriptor():
            if usable:
                return usable
            self._lines.warning("no descriptor for a cache connection", used=self._descriptors.used)
            raise OSError("no descriptor is left for one more connection")
        address = self._addresses.get(endpoint)
        if address is None:
            raise OSError("the member is gone")
        waiter = _Waiter(exchange_id)
        sock = await self._open_or_wait(endpoint, address, waiter)
        if sock is not None:
            connection = self._add(endpoint, sock)
            if waiter.connection is None:
                return connection
            self._offer_idle(endpoint, connection)  # both came at once
        assert waiter.connection is not None
        waiter.connection.reserved = False
        if waiter.connection.closed or waiter.connection.closing:
            raise OSError("the connection that fell idle has ended")
        return waiter.connection

    async def _open_or_wait(
        self, endpoint: api.EndpointId, address: Address, waiter: _Waiter
    ) -> socket.socket | None:
        """A new connection, unless one that fell idle comes first: it is the waiter's then."""
        self._descriptors.force_acquire(
            DescriptorUse.CACHES
        )  # may pass the maximum for a moment: a connection that was closed to make room still counts
        sock: socket.socket | None = None
        self._waiters.setdefault(endpoint, []).append(waiter)
        connect_timeout = self._config.settings.connect_timeout or DEFAULT_CONNECT_TIMEOUT_SECONDS
        try:
            with waiter.scope, anyio.fail_after(connect_timeout):
                sock = await self._connect(address)
        except OSError:
            if waiter.connection is None:
                raise
        except BaseException:  # the request was abandoned
            if waiter.connection is not None:
                self._offer_idle(endpoint, waiter.connection)
            raise
        finally:
            self._waiters[endpoint].remove(waiter)
            if not self._waiters[endpoint]:
                del self._waiters[endpoint]
            if sock is None:
                self._descriptors.release(DescriptorUse.CACHES)
        return sock

    def _add(self, endpoint: api.EndpointId, sock: socket.socket) -> CacheConnection:
        connection = CacheConnection(sock, self.report_names, partial(self._offer_idle, endpoint))
        self._connections.setdefault(endpoint, []).append(connection)
        assert self._tasks is not None
        self._tasks.start_soon(self._run_connection, endpoint, connection)
        return connection

    def _offer_idle(self, endpoint: api.EndpointId, connection: CacheConnection) -> None:
        """A connection on which nothing is open any more: it is for the request that has waited longest.

        Only an answer makes it one: a connection whose requests were abandoned may be that of a machine that
        is cut off, and there only a new one, which does not come up, proves that the request never ran.
        """
        connection.reserved = False
        for waiter in self._waiters.get(endpoint, ()):
            if waiter.connection is not None or not self._accepts(connection, waiter.exchange_id):
                continue
            if self._is_quiet(connection):
                waiter.connection, connection.reserved = connection, True
                waiter.scope.cancel()
                return

    async def _connect(self, address: Address) -> socket.socket:
        try:
            return await connect(*address)
        except OSError as fault:
            if fault.errno not in (errno.EMFILE, errno.ENFILE):
                raise
        # The limit was lowered, or the system is short. The smaller budget makes admission close idle
        # clients: by source at the next tick, by connection when the next client comes.
        self._lines.warning("no descriptor for a cache connection", used=self._descriptors.used)
        self._descriptors.resize(min(self._descriptors.total, self._descriptors.used - FREED_DESCRIPTORS))
        await anyio.sleep(DESCRIPTOR_WAIT_SECONDS)
        return await connect(*address)

    def _find_usable(self, endpoint: api.EndpointId, exchange_id: bytes) -> CacheConnection | None:
        """The first with nothing open on it, so that the later ones end idle; else that with the least."""
        best: CacheConnection | None = None
        for connection in self._connections.get(endpoint, ()):
            if connection.open and best is not None and len(connection.open) >= len(best.open):
                continue
            if not self._accepts(connection, exchange_id):
                continue
            if not connection.open:
                if self._is_quiet(connection):
                    return connection
                if is_closed_by_peer(connection.sock):  # not read yet: what is written now may be lost
                    connection.close()
                continue
            best = connection
        return best

    def _accepts(self, connection: CacheConnection, exchange_id: bytes) -> bool:
        """Whether one more exchange, of this id, may go out there.

        Guards it against what was left over: bytes of no exchange may be half of a line without end.
        """
        full = len(connection.open) >= self._config.max_streams
        taken = connection.reserved or exchange_id in connection.recent_ids
        left_over = connection.reading and not connection.open
        ended = connection.closed or connection.retired or connection.closing or connection.write_queue.error
        return not (full or taken or left_over or ended)

    def _is_quiet(self, connection: CacheConnection) -> bool:
        """Whether nothing has come there that was not read yet: what was left over, or the cache's close."""
        try:
            connection.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            pass
        return False

    def _free_descriptor(self) -> bool:
        """Guards the descriptors: closes the connection that was idle longest, or one that lingers."""
        idle = [
            connection
            for connections in self._connections.values()
            for connection in connections
            if not (connection.open or connection.reserved or connection.linger_scope.cancel_called)
        ]
        if idle:
            oldest = min(idle, key=lambda connection: connection.used_at)
            oldest.linger_scope.cancel()  # what is here already is read all the same
            oldest.close()
        return bool(idle)

    async def _run_connection(self, endpoint: api.EndpointId, connection: CacheConnection) -> None:
        try:
            end = await connection.run()
        except Exception:  # guards all other connections: what goes wrong with one ends that one only
            log.exception("cache connection failed", endpoint=endpoint.decode("latin-1"))
            end = AttemptEnd(EndReason.CONNECTION_LOST)
        self._descriptors.release(DescriptorUse.CACHES)
        connections = self._connections[endpoint]
        connections.remove(connection)
        if not connections:
            del self._connections[endpoint]
        if end.reason in (EndReason.PROTOCOL_ERROR, EndReason.PEER_STALLED):
            self._lines.warning(
                "cache connection ended",
                endpoint=endpoint.decode(),
                reason=end.reason.name,
                detail=end.detail,
            )
