"""The transport to the caches: sends attempts and health checks as text lines over pooled connections."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial

import anyio

from zincladder.core.attempt import AttemptRequest
from zincladder.core.attempt_end import AttemptEnd, EndReason
from zincladder.net import protocol
from zincladder.net.cache_exchange import abort_before_send, run_exchange
from zincladder.net.cache_pool import CachePool
from zincladder.routing import interface as api

HEALTH_CHECK_TIMEOUT_SECONDS = 1.0


class CacheTransport:
    """Sends the core's attempts and health checks to the caches."""

    def __init__(self, pool: CachePool, now: Callable[[], float], class_names: Sequence[str]) -> None:
        """Creates the transport.

        Args:
            pool: The connections to the caches.
            now: Returns the time on the core's clock.
            class_names: The names of the request classes by number; new settings change it in place.
        """
        self.pool, self._now, self._class_names = pool, now, class_names
        self._health_checks = 0

    async def send(self, attempt: AttemptRequest) -> AttemptEnd:
        """Makes one attempt and returns its end; cancelling the call abandons the attempt."""
        if reason := attempt.abort_reason():
            return abort_before_send(attempt, reason)
        exchange_id = attempt.request.trace.encode()
        try:
            connection = await self.pool.acquire(attempt.endpoint, exchange_id)
        except (OSError, TimeoutError) as fault:
            return AttemptEnd(EndReason.CONNECT_FAILED, detail=str(fault))
        return await run_exchange(connection, exchange_id, partial(self._serialize, attempt), attempt)

    async def check_health(self, endpoint: api.EndpointId) -> AttemptEnd:
        """Checks the health of a cache, whose answer holds its load report."""
        self._health_checks += 1
        exchange_id = b"p%d" % self._health_checks
        with anyio.move_on_after(HEALTH_CHECK_TIMEOUT_SECONDS):
            try:
                connection = await self.pool.acquire(endpoint, exchange_id)
            except (OSError, TimeoutError) as fault:
                return AttemptEnd(EndReason.CONNECT_FAILED, detail=str(fault))
            return await run_exchange(
                connection, exchange_id, lambda: [b"stats " + exchange_id + b"\r\n"], None
            )
        return AttemptEnd(EndReason.TIMED_OUT)

    def _serialize(self, attempt: AttemptRequest) -> list[bytes]:
        """Serializes the attempt; the time left and the maximum age of a copy are those at this moment."""
        request = attempt.request
        attempt.guard.sending(attempt)
        fields = protocol.write_fetch(
            attempt, self._class_names[request.request_class], attempt.deadline - self._now()
        )
        head = f"fetch {request.trace} {fields} {len(request.body)}\r\n".encode()
        return [head, request.body, b"\r\n"]
