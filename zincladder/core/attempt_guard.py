"""The last check of an attempt, just before its first byte: what has changed since it was decided?"""

from __future__ import annotations

import math

from zincladder.core.attempt import AbortReason, AttemptRequest
from zincladder.core.clock import Clock
from zincladder.core.counts import ABORTED_ATTEMPTS, Counts
from zincladder.core.endpoint_list import EndpointList
from zincladder.core.statistics import Statistics
from zincladder.routing import interface as api
from zincladder.routing.purges import Purges
from zincladder.support.rate_limited_log import RateLimitedLog

MIN_ATTEMPT_SECONDS = 0.001  # the shortest limit that the wire can name
MIN_COPY_AGE_SECONDS = 0.001  # 0 would mean that any fresh copy is acceptable


class CoreAttemptGuard:
    """The guard of the core's attempts: deadlines, clients, the endpoint list, purges."""

    def __init__(
        self,
        settings: api.Settings,
        clock: Clock,
        endpoint_list: EndpointList,
        purges: Purges,
        statistics: Statistics,
        counts: Counts,
        lines: RateLimitedLog,
    ) -> None:
        self.settings = settings  # replaced where new settings come into force
        self._clock, self._endpoint_list, self._purges = clock, endpoint_list, purges
        self._statistics, self._counts, self._lines = statistics, counts, lines

    def abort_reason(self, attempt: AttemptRequest) -> AbortReason | None:
        """Why an attempt may not start at this moment; `None` where it may.

        Asks for cancellation and deadline itself: both reach the attempt late where the event loop is late.
        """
        if attempt.cancelled:
            return AbortReason.CANCELLED
        now = self._clock.now()
        if now > attempt.deadline - MIN_ATTEMPT_SECONDS:
            return AbortReason.DEADLINE_EXCEEDED
        self._endpoint_list.poll_watch_events()
        if not attempt.request.client_is_waiting():
            return AbortReason.CLIENT_DISCONNECTED
        if now >= attempt.start_before:
            return AbortReason.DEDUPLICATION_EXPIRED
        if not self._endpoint_list.is_ready(attempt.endpoint):
            return AbortReason.ENDPOINT_NOT_READY
        return None if self._endpoint_list.is_ready(attempt.source) else AbortReason.SOURCE_NOT_READY

    def aborted_before_send(self, attempt: AttemptRequest, reason: AbortReason) -> None:
        """Counts and logs an attempt that was not sent."""
        self._counts[ABORTED_ATTEMPTS, reason.value] += 1
        self._lines.info(
            "attempt aborted before send",
            reason=reason.description,
            trace=attempt.request.trace,
            endpoint=attempt.endpoint.decode("latin-1"),
            source=attempt.source and attempt.source.decode("latin-1"),
        )

    def max_copy_age(self, attempt: AttemptRequest) -> float:
        """The age of the oldest acceptable copy, in seconds.

        Guards "no answer from a copy older than a purge": one may arrive between the decision and the send.
        """
        request = attempt.request
        age = self._purges.age(request.object, request.group, self._clock.now())
        if age > self.settings.purge_done:
            return attempt.max_age
        fresh_seconds = self.settings.classes[request.request_class].fresh_seconds
        return max(MIN_COPY_AGE_SECONDS, min(age, attempt.max_age or fresh_seconds or math.inf))

    def written(self) -> None:
        """Counts an attempt whose last byte has been written."""
        self._statistics.record_written()
