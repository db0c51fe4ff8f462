"""The pool of connections to the caches: opens and closes connections, and chooses one for each exchange."""

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
from zincladder.admission.message_memory import ByteBudget
from zincladder.config import Address, Config
from zincladder.core.attempt_end import AttemptEnd, EndReason
from zincladder.net.answer_memory import AnswerMemory
from zincladder.net.cache_connection import CacheConnection
from zincladder.net.sockets import connect, is_closed_by_peer
from zincladder.routing import interface as api
from zincladder.support.rate_limited_log import RateLimitedLog

# Share of the caches' idle timeout after which this side closes an idle connection. It closes first, so that
# no request is sent while the cache closes the connection.
IDLE_TIMEOUT_SHARE = 0.7
IDLE_CHECK_INTERVAL_SECONDS = 1.0
DEFAULT_CONNECT_TIMEOUT_SECONDS = 0.4  # used if the settings state no connect timeout
DESCRIPTORS_TO_FREE = 4  # how many admission has to free when the system has no descriptor left
DESCRIPTOR_WAIT_SECONDS = 0.03  # delay before connecting again, in which they are freed
log = structlog.get_logger()


@dataclass(slots=True, eq=False)
class _Waiter:
    """An exchange that waits until its new connection is open or another connection becomes idle."""

    exchange_id: bytes
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    connection: CacheConnection | None = None


class CachePool:
    """The connections to all caches, by endpoint."""

    def __init__(
        self, config: Config, descriptors: DescriptorBudget, answers: ByteBudget | None = None
    ) -> None:
        """Creates the pool; `answers` bounds what the bodies of all answers hold."""
        self._config, self._descriptors = config, descriptors
        self.answer_memory = AnswerMemory(answers or ByteBudget(config.max_message_bytes))
        self._addresses: dict[api.EndpointId, Address] = {}
        self._connections: dict[api.EndpointId, list[CacheConnection]] = {}
        self._waiters: dict[api.EndpointId, list[_Waiter]] = {}  # oldest first
        self._tasks: TaskGroup | None = None
        self._rate_limited_log = RateLimitedLog()

    async def run(self) -> None:
        """Runs the connections and closes idle ones, until cancelled."""
        async with anyio.create_task_group() as self._tasks:
            while True:
                await anyio.sleep(IDLE_CHECK_INTERVAL_SECONDS)
                oldest = monotonic() - IDLE_TIMEOUT_SHARE * self._config.idle_close_seconds
                for connections in list(self._connections.values()):
                    for connection in connections:
                        is_idle = not (connection.open_exchanges or connection.reserved)
                        if is_idle and connection.last_used_at < oldest:
                            connection.close()

    def apply_config(self, config: Config) -> None:
        """Applies the limits of a reloaded configuration from now on."""
        self._config = config

    def report_names(self) -> Sequence[str]:
        """Returns the names of a load report's figures, in the order of the current settings."""
        return self._config.settings.report_names

    # The endpoint list ---------------------------------------------------------------------------

    def set_address(self, endpoint: api.EndpointId, address: Address) -> None:
        """Sets where an endpoint listens.

        An endpoint id names one process. A new process at the same address has another id, and gets its own
        connections. If an endpoint has moved, its connections lead to whoever is at its former address now.
        """
        if self._addresses.get(endpoint, address) != address:
            self._abandon_connections(endpoint)
        self._addresses[endpoint] = address

    def address_of(self, endpoint: api.EndpointId) -> Address | None:
        """Returns where an endpoint listens; None if it is gone."""
        return self._addresses.get(endpoint)

    def retain_only(self, endpoints: set[api.EndpointId]) -> None:
        """Forgets the endpoints that are missing in a full endpoint list."""
        for endpoint in self._addresses.keys() - endpoints:
            self.forget(endpoint)

    def forget(self, endpoint: api.EndpointId) -> None:
        """Forgets an endpoint that is gone: no connection to it is opened; its open exchanges may finish."""
        self._addresses.pop(endpoint, None)
        self._abandon_connections(endpoint)

    def _abandon_connections(self, endpoint: api.EndpointId) -> None:
        """Lets no request be written on the connections to an endpoint; what was written may be answered."""
        for connection in self._connections.get(endpoint, ()):
            connection.abandoned = connection.retired = True
        self.close_idle(endpoint)

    def close_idle(self, endpoint: api.EndpointId) -> None:
        """Closes the connections to an endpoint on which no exchange is open."""
        for connection in self._connections.get(endpoint, ()):
            if not connection.open_exchanges:
                connection.close()

    # Choice of a connection ----------------------------------------------------------------------

    async def acquire(self, endpoint: api.EndpointId, exchange_id: bytes) -> CacheConnection:
        """Returns a connection for one more exchange: an idle or a new one, else the least busy one.

        Exchanges share a connection only when there is no descriptor for another one, because one malformed
        answer or reset ends all exchanges of its connection. Each exchange that finds no idle connection
        opens one of its own, so that several for an unreachable endpoint wait at the same time and not one
        after another. If another connection becomes idle before the new one is open, it is used instead.

        Raises:
            OSError: There is no usable connection, and none could be opened.
            TimeoutError: The new connection was not established in time.
        """
        usable = self._find_usable(endpoint, exchange_id)
        if usable and not usable.open_exchanges:
            return usable
        if self._descriptors.available(DescriptorUse.CACHES) <= 0 and not self._close_longest_idle():
            if usable:
                return usable
            self._rate_limited_log.warning(
                "no file descriptor for a connection to a cache", descriptors_used=self._descriptors.used
            )
            raise OSError("no file descriptor is left for a connection to the endpoint")
        address = self._addresses.get(endpoint)
        if address is None:
            raise OSError("endpoint has left the endpoint list")
        waiter = _Waiter(exchange_id)
        sock = await self._open_or_wait(endpoint, address, waiter)
        if sock is not None and self._addresses.get(endpoint) != address:
            sock.close()
            self._descriptors.release(DescriptorUse.CACHES)
            raise OSError("endpoint has left its address")
        if sock is not None:
            connection = self._add(endpoint, sock)
            if waiter.connection is None:
                return connection
            self._offer_idle(endpoint, connection)  # another one became idle meanwhile and is used instead
        assert waiter.connection is not None
        waiter.connection.reserved = False
        if waiter.connection.closed or waiter.connection.closing or waiter.connection.abandoned:
            raise OSError("idle connection was closed before the request was sent on it")
        return waiter.connection

    async def _open_or_wait(
        self, endpoint: api.EndpointId, address: Address, waiter: _Waiter
    ) -> socket.socket | None:
        """Opens a connection, and returns its socket.

        Returns None if another connection became idle first; `waiter.connection` is that connection then.
        """
        # The pool may exceed its maximum for a moment, because a connection that was closed to make room is
        # still counted.
        self._descriptors.force_acquire(DescriptorUse.CACHES)
        sock: socket.socket | None = None
        self._waiters.setdefault(endpoint, []).append(waiter)
        connect_timeout = self._config.settings.connect_timeout or DEFAULT_CONNECT_TIMEOUT_SECONDS
        try:
            with waiter.scope, anyio.fail_after(connect_timeout):
                sock = await self._connect(address)
        except OSError:
            if waiter.connection is None:
                raise
        except BaseException:  # the request was cancelled
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
        connection = CacheConnection(
            sock, self.report_names, partial(self._offer_idle, endpoint), self.answer_memory.allocate
        )
        self._connections.setdefault(endpoint, []).append(connection)
        assert self._tasks is not None
        self._tasks.start_soon(self._run_connection, endpoint, connection)
        return connection

    def _offer_idle(self, endpoint: api.EndpointId, connection: CacheConnection) -> None:
        """Gives a connection that has become idle to the exchange that has waited longest.

        Runs after an answer, and for a connection that turned out not to be needed, but not after a request
        was abandoned: the connection of that request may lead to a machine that the network has cut off. If
        another request were sent on it, it would remain unknown whether that one has run. If a new connection
        is tried instead and fails to open, the request has certainly not run.
        """
        connection.reserved = False
        for waiter in self._waiters.get(endpoint, ()):
            if waiter.connection is not None or not self._accepts(connection, waiter.exchange_id):
                continue
            if self._has_nothing_unread(connection):
                waiter.connection, connection.reserved = connection, True
                waiter.scope.cancel()
                return

    async def _connect(self, address: Address) -> socket.socket:
        try:
            return await connect(*address)
        except OSError as fault:
            if fault.errno not in (errno.EMFILE, errno.ENFILE):
                raise
        # The limit of descriptors was lowered, or the operating system has none left. The smaller budget
        # makes admission close connections of idle clients: admission by source does so at the next tick,
        # admission by connection when the next client connects.
        self._rate_limited_log.warning(
            "no file descriptor for a connection to a cache", descriptors_used=self._descriptors.used
        )
        self._descriptors.resize(min(self._descriptors.total, self._descriptors.used - DESCRIPTORS_TO_FREE))
        await anyio.sleep(DESCRIPTOR_WAIT_SECONDS)
        return await connect(*address)

    def _find_usable(self, endpoint: api.EndpointId, exchange_id: bytes) -> CacheConnection | None:
        """Returns the first idle connection, else the one with the fewest open exchanges.

        Taking the first idle one leaves the later ones unused, so that they reach their idle timeout. Returns
        None if no connection is usable.
        """
        best: CacheConnection | None = None
        for connection in self._connections.get(endpoint, ()):
            if (
                connection.open_exchanges
                and best is not None
                and len(connection.open_exchanges) >= len(best.open_exchanges)
            ):
                continue
            if not self._accepts(connection, exchange_id):
                continue
            if not connection.open_exchanges:
                if self._has_nothing_unread(connection):
                    return connection
                if is_closed_by_peer(connection.sock):  # a request written now could be lost
                    connection.close()
                continue
            best = connection
        return best

    def _accepts(self, connection: CacheConnection, exchange_id: bytes) -> bool:
        """Returns whether an exchange with this id may be opened on a connection.

        It may not while there is input that belongs to no exchange: that may be part of a malformed line,
        which ends the connection and the new exchange with it.
        """
        is_full = len(connection.open_exchanges) >= self._config.max_streams
        is_taken = connection.reserved or exchange_id in connection.recent_ids
        has_stray_input = connection.reading and not connection.open_exchanges
        has_ended = (
            connection.closed or connection.retired or connection.closing or connection.write_queue.error
        )
        return not (is_full or is_taken or has_stray_input or has_ended)

    def _has_nothing_unread(self, connection: CacheConnection) -> bool:
        """Returns whether the socket has nothing unread: no stray input and no close by the cache."""
        try:
            connection.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            pass
        return False

    def _close_longest_idle(self) -> bool:
        """Frees a descriptor: closes the connection that has been idle longest, or one that lingers.

        Returns:
            False if there is no such connection.
        """
        idle = [
            connection
            for connections in self._connections.values()
            for connection in connections
            if not (connection.open_exchanges or connection.reserved or connection.linger_scope.cancel_called)
        ]
        if idle:
            oldest = min(idle, key=lambda connection: connection.last_used_at)
            oldest.linger_scope.cancel()  # input that has arrived is still read
            oldest.close()
        return bool(idle)

    async def _run_connection(self, endpoint: api.EndpointId, connection: CacheConnection) -> None:
        try:
            end = await connection.run()
        except Exception:  # an unexpected error ends this connection only
            log.exception("unexpected error in a connection to a cache", endpoint=endpoint.decode("latin-1"))
            end = AttemptEnd(EndReason.CONNECTION_LOST)
        self._descriptors.release(DescriptorUse.CACHES)
        connections = self._connections[endpoint]
        connections.remove(connection)
        if not connections:
            del self._connections[endpoint]
        if end.reason in (EndReason.PROTOCOL_ERROR, EndReason.PEER_STALLED):
            self._rate_limited_log.warning(
                "connection to a cache closed after an error",
                endpoint=endpoint.decode(),
                reason=end.reason.name,
                detail=end.detail,
            )
