"""Log lines about attempts."""

from __future__ import annotations

from zincladder.core.attempt_end import AttemptEnd
from zincladder.core.request_context import InFlightAttempt
from zincladder.support.rate_limited_log import RateLimitedLog


def log_expired(
    in_flight: InFlightAttempt, end: AttemptEnd, now: float, loop_lag: float, rate_limited_log: RateLimitedLog
) -> None:
    """Logs an expired attempt, and whether its endpoint or this front found that it had expired."""
    attempt = in_flight.attempt
    rate_limited_log.warning(
        "attempt expired before it ran",
        reason=end.detail or "reported by the endpoint",
        trace=attempt.request.trace,
        endpoint=attempt.endpoint.decode("latin-1"),
        since_decision_s=round(now - in_flight.decided_at, 3),
        client_time_left_s=round(attempt.request.deadline - now, 3),
        loop_lag_s=round(loop_lag, 3),
    )
