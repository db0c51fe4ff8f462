"""Budgets that keep a router from feeding an overload: retries, fills from the origin, slow start. No I/O.

If failures lead to more attempts, the attempts sustain the overload after its trigger has ended (metastable
failures, Bronson et al. 2021). Routers share no state, so each limits itself by the outcomes of its own
attempts; since all use the same parents and origin, their limits change together.

If retries feed an overload, lower `RETRIES_PER_SUCCESS`. If fills from the origin feed it while parents fail,
lower `ORIGIN_FILLS_PER_REQUEST`. If an endpoint is overloaded just after its start, lower
`SLOW_START_SHARE`.
"""

from __future__ import annotations

from zincladder.routing import interface as api

RETRIES_PER_SUCCESS = 0.2  # the usual retry budget (Finagle's default)
MAX_SAVED_RETRIES = 10.0  # enough to retry elsewhere at once after a sudden failure
ORIGIN_FILLS_PER_REQUEST = 0.1  # the limit while parents are listed but none is available
MAX_SAVED_ORIGIN_FILLS = 3.0
# An endpoint in slow start is sent this share of the load that would overload it. The rest is reserved for
# routers whose endpoint lists show its start later.
SLOW_START_SHARE = 0.5
# Outcomes that load may have caused; a miss, a lost connection or an error does not indicate load.
CHARGED_OUTCOMES = (api.AttemptOutcome.REJECTED, api.AttemptOutcome.TIMED_OUT, api.AttemptOutcome.CANCELLED)


class RetryBudget:
    """A token bucket that only successes refill.

    A retry takes a token if load may have caused the previous outcome.
    """

    def __init__(self) -> None:
        self.tokens = MAX_SAVED_RETRIES

    def record_outcome(self, outcome: api.AttemptOutcome) -> None:
        """Counts the end of one attempt."""
        if outcome is api.AttemptOutcome.OK:
            self.tokens = min(MAX_SAVED_RETRIES, self.tokens + RETRIES_PER_SUCCESS)

    def available(self) -> bool:
        """Whether a token is left for a retry."""
        return self.tokens >= 1

    def charge(self, last_outcome: api.AttemptOutcome | None) -> bool:
        """Takes a token if the last outcome requires one; False if it does and no token is left.

        `last_outcome` is `None` before the first attempt of a request.
        """
        if last_outcome not in CHARGED_OUTCOMES:
            return True
        if not self.available():
            return False
        self.tokens -= 1
        return True


class OriginFillBudget:
    """A token bucket, refilled by requests, for fills from the origin while parents are listed.

    Without it all routers would fall back to the origin at once when the parents fail, and displace the
    writes, which only the origin executes.
    """

    def __init__(self) -> None:
        self.tokens = MAX_SAVED_ORIGIN_FILLS

    def credit(self) -> None:
        """Adds the share of a token for one request that arrived."""
        self.tokens = min(MAX_SAVED_ORIGIN_FILLS, self.tokens + ORIGIN_FILLS_PER_REQUEST)

    def available(self) -> bool:
        """Whether a token is left for a fill from the origin."""
        return self.tokens >= 1

    def charge(self) -> None:
        """Takes a token for a fill from the origin, even if none is left."""
        self.tokens -= 1


class SlowStartBudget:
    """Limits the work that one router sends to an endpoint during its slow start, as a leaky bucket.

    Requests sent add their transfer seconds to the backlog. The backlog drains at the router's equal share of
    the rate that slow start currently allows for the endpoint. The initial backlog is a random part of a
    request; otherwise many routers, each with a share of less than one request, would all send one at once.
    """

    def __init__(self, backlog_seconds: float, now: float) -> None:
        self.backlog_seconds = backlog_seconds
        self._updated_at = now

    def admits(
        self,
        slow_start: api.SlowStart,
        sharing_routers: int,
        link_transfers: float,
        transfer_seconds: float,
        age_seconds: float,
        now: float,
    ) -> bool:
        """Whether a request may be sent to the endpoint now.

        `link_transfers` is the number of transfers that the endpoint's link carries, `sharing_routers` the
        number of routers that may send to it, and `age_seconds` the time since its start.
        """
        capacity_share = (
            slow_start.initial_share
            + (1 - slow_start.initial_share) * max(0.0, age_seconds) / slow_start.duration
        )
        rate = SLOW_START_SHARE * slow_start.overload_factor * capacity_share * link_transfers
        drained = (now - self._updated_at) * rate / sharing_routers
        self.backlog_seconds = max(0.0, self.backlog_seconds - drained)
        self._updated_at = now
        # A longer request would overload the endpoint by itself.
        max_transfer_seconds = SLOW_START_SHARE * rate * slow_start.overload_seconds
        return self.backlog_seconds <= 0 and transfer_seconds <= max_transfer_seconds
