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
    """Health checks that are requested and not started yet, and how each is made."""

    def __init__(
        self,
        transport: Transport,
        clock: Clock,
        statistics: Statistics,
        counts: Counts,
        notify: Callable[[api.Event], None],
    ) -> None:
        """`notify` hands an event to the router."""
        self._transport, self._clock, self._statistics = transport, clock, statistics
        self._counts, self._notify = counts, notify
        self.pending: list[api.EndpointId] = []

    def request(self, endpoint: api.EndpointId) -> None:
        """Has an endpoint checked at the next tick."""
        self.pending.append(endpoint)

    async def check(self, endpoint: api.EndpointId) -> None:
        """Makes one health check and notifies the router of its end."""
        started_at = self._clock.now()
        self._statistics.record_started(endpoint, started_at)
        try:
            end = await self._transport.check_health(endpoint)
        except Exception:  # guards all attempts, which share its task group
            log.exception("health check failed", endpoint=endpoint.decode("latin-1"))
            end = AttemptEnd(EndReason.TIMED_OUT)
        self._counts[HEALTH_CHECKS, end.reason.value] += 1
        now = self._clock.now()
        self._statistics.record_health_check(endpoint, end.reason, now - started_at, end.report, now)
        self._notify(api.ProbeEnded(endpoint, end.outcome, now - started_at, end.report))
