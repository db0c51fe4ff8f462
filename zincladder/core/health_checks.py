"""Runs the health checks that the router requests."""

from __future__ import annotations

from collections.abc import Callable

import structlog

from zincladder.core.attempt import Transport
from zincladder.core.attempt_end import AttemptEnd, EndReason
from zincladder.core.clock import Clock
from zincladder.core.counts import HEALTH_CHECKS, Counts
from zincladder.core.statistics import Statistics
from zincladder.routing import interface as api

log = structlog.get_logger()


class HealthChecks:
    """Holds the health checks that the router requested, and runs them."""

    def __init__(
        self,
        transport: Transport,
        clock: Clock,
        statistics: Statistics,
        counts: Counts,
        notify: Callable[[api.Event], None],
    ) -> None:
        """`notify` passes an event to the router."""
        self._transport, self._clock, self._statistics = transport, clock, statistics
        self._counts, self._notify = counts, notify
        self.pending: list[api.EndpointId] = []  # requested and not started

    def request(self, endpoint: api.EndpointId) -> None:
        """Requests a health check of an endpoint, which starts at the next tick."""
        self.pending.append(endpoint)

    async def check(self, endpoint: api.EndpointId) -> None:
        """Runs one health check and notifies the router of its end."""
        started_at = self._clock.now()
        self._statistics.record_started(endpoint, started_at)
        try:
            end = await self._transport.check_health(endpoint)
        except Exception:  # must not cancel attempts and other health checks, which share the task group
            log.exception(
                "transport raised an exception during a health check", endpoint=endpoint.decode("latin-1")
            )
            end = AttemptEnd(EndReason.TIMED_OUT)
        self._counts[HEALTH_CHECKS, end.reason.value] += 1
        now = self._clock.now()
        self._statistics.record_health_check(endpoint, end.reason, now - started_at, end.report, now)
        self._notify(api.ProbeEnded(endpoint, end.outcome, now - started_at, end.report))
