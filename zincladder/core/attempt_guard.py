"""Checks whether an attempt may still be sent and how old a copy may be, just before its first byte is sent.

Since the router's decision the deadline may have passed, the client may have disconnected, an endpoint may
have stopped being ready, or a purge may have arrived.
"""

from __future__ import annotations

import math

from zincladder.core.attempt import AbortReason, AttemptRequest, ClientRequest
from zincladder.core.attempt_end import AttemptEnd
from zincladder.core.clock import Clock
from zincladder.core.counts import ABORTED_ATTEMPTS, Counts
from zincladder.core.endpoint_list import EndpointList
from zincladder.core.sent_requests import SentRequests
from zincladder.core.statistics import Statistics
from zincladder.routing import interface as api
from zincladder.routing.purges import Purges
from zincladder.routing.retry import NEVER_RAN, must_not_run_twice
from zincladder.support.rate_limited_log import RateLimitedLog

MIN_ATTEMPT_SECONDS = 0.001  # the shortest time limit that the wire format can express
MIN_COPY_AGE_SECONDS = 0.001  # not 0, which would allow any fresh copy


class CoreAttemptGuard:
    """The guard of the core's attempts: checks the deadline, the client, the endpoint list and purges."""

    def __init__(
        self,
        settings: api.Settings,
        clock: Clock,
        endpoint_list: EndpointList,
        purges: Purges,
        statistics: Statistics,
        counts: Counts,
        rate_limited_log: RateLimitedLog,
        sent_requests: SentRequests,
    ) -> None:
        self.settings = settings  # replaced by the core when new settings are applied
        self._clock, self._endpoint_list, self._purges = clock, endpoint_list, purges
        self._sent_requests = sent_requests
        self._statistics, self._counts, self._rate_limited_log = statistics, counts, rate_limited_log

    def abort_reason(self, attempt: AttemptRequest) -> AbortReason | None:
        """Returns why an attempt must not be sent now, or None if it may be sent.

        Checks cancellation and deadline directly, because a late event loop delivers both late.
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
        if not self._endpoint_list.is_ready(attempt.source):
            return AbortReason.SOURCE_NOT_READY
        return AbortReason.CANCELLED if self._may_run_twice(attempt) else None

    def has_run_before(self, request: ClientRequest) -> bool:
        """Returns whether a request must not run twice and may have run under the same id."""
        return self._must_not_run_twice(request) and self._sent_requests.may_have_run(
            request.trace, self._clock.now()
        )

    def _must_not_run_twice(self, request: ClientRequest) -> bool:
        return must_not_run_twice(self.settings.classes[request.request_class])

    def _may_run_twice(self, attempt: AttemptRequest) -> bool:
        request = attempt.request
        if request.was_sent or not self.has_run_before(request):
            return False
        self._rate_limited_log.warning("request not sent: its id may have run before", trace=request.trace)
        return True

    def sending(self, attempt: AttemptRequest) -> None:
        """Remembers a request that must not run twice, before the first byte of an attempt is written."""
        request = attempt.request
        if self._must_not_run_twice(request):
            request.was_sent = True
            self._sent_requests.record(request.trace, self._clock.now())

    def ended(self, attempt: AttemptRequest, end: AttemptEnd) -> None:
        """Forgets the id of a request if none of its attempts may have run."""
        request = attempt.request
        request.may_have_run |= end.outcome not in NEVER_RAN
        if request.was_sent and not request.may_have_run:
            request.was_sent = False
            self._sent_requests.forget(request.trace)

    def record_abort(self, attempt: AttemptRequest, reason: AbortReason) -> None:
        """Counts and logs an attempt that was not sent for this reason."""
        self._counts[ABORTED_ATTEMPTS, reason.value] += 1
        self._rate_limited_log.info(
            "attempt aborted before send",
            reason=reason.description,
            trace=attempt.request.trace,
            endpoint=attempt.endpoint.decode("latin-1"),
            source=attempt.source and attempt.source.decode("latin-1"),
        )

    def max_copy_age(self, attempt: AttemptRequest) -> float:
        """Returns the maximum age in seconds of a copy that may be served now; 0: any fresh copy.

        A purge may have arrived since the router decided, and no copy older than the purge may be served.
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
