"""Budgets that keep a router from feeding an overload: retries, fills from the origin, slow start. No I/O.

A failure that is answered by more attempts keeps up the overload that it came from: the trigger ends and the
state stays (metastable failures, Bronson et al. 2021). Routers share nothing, so each limits itself by what
its own attempts met; as all meet the same parents and the same origin, their limits move together.

If retries feed an overload, lower `RETRIES_PER_SUCCESS`; if fills from the origin do while parents fail,
lower `ORIGIN_FILLS_PER_REQUEST`; if an endpoint that has just started is overloaded, lower
`SLOW_START_SHARE`.
"""

from __future__ import annotations

from zincladder.routing import interface as api

RETRIES_PER_SUCCESS = 0.2  # the usual retry budget (Finagle's default)
MAX_SAVED_RETRIES = 10.0  # enough to work round a sudden failure at once
ORIGIN_FILLS_PER_REQUEST = 0.1  # while parents are listed and none is fit
MAX_SAVED_ORIGIN_FILLS = 3.0
# An endpoint in slow start is sent this share of the load that overloads it. The rest is left to routers
# that hear of its start later.
SLOW_START_SHARE = 0.5
# Outcomes that load may have caused. A miss, a lost connection or an error says nothing about load.
CHARGED_OUTCOMES = (api.AttemptOutcome.REJECTED, api.AttemptOutcome.TIMED_OUT, api.AttemptOutcome.CANCELLED)


class RetryBudget:
    """A token bucket that only successes fill.

    A retry takes a token if load may have caused the outcome before it.
    """

    def __init__(self) -> None:
        self.tokens = MAX_SAVED_RETRIES

    def record_outcome(self, outcome: api.AttemptOutcome) -> None:
        """Counts the end of one attempt."""
        if outcome is api.AttemptOutcome.OK:
            self.tokens = min(MAX_SAVED_RETRIES, self.tokens + RETRIES_PER_SUCCESS)

    def available(self) -> bool:
        """Whether one more retry may be made."""
        return self.tokens >= 1

    def charge(self, last_outcome: api.AttemptOutcome | None) -> bool:
        """Whether a request whose last attempt ended so may have another; `None`: it had none yet."""
        if last_outcome not in CHARGED_OUTCOMES:
            return True
        if not self.available():
            return False
        self.tokens -= 1
        return True


class OriginFillBudget:
    """A token bucket that requests fill: fills of caches from the origin although parents are listed.

    Without it all routers would fall back on the origin together when parents fail, and take it from the
    writes, which only the origin runs.
    """

    def __init__(self) -> None:
        self.tokens = MAX_SAVED_ORIGIN_FILLS

    def credit(self) -> None:
        """Counts one request that arrived."""
        self.tokens = min(MAX_SAVED_ORIGIN_FILLS, self.tokens + ORIGIN_FILLS_PER_REQUEST)

    def available(self) -> bool:
        """Whether one more fill may go to the origin."""
        return self.tokens >= 1

    def charge(self) -> None:
        """Counts one fill from the origin, also one that `available` was not asked for."""
        self.tokens -= 1


class SlowStartBudget:
    """The work that one router may send to an endpoint during its slow start.

    Work sent is a debt in seconds of transfer. It is paid off at the router's even share of the pace that the
    endpoint bears at the start of its ramp. The first debt is a random part of a request, so that many
    routers, each with a share of less than a request, take turns from the start.
    """

    def __init__(self, debt_seconds: float, now: float) -> None:
        self.debt_seconds = debt_seconds
        self._updated_at = now

    def admits(
        self,
        rule: api.SlowStart,
        sharing_routers: int,
        link_transfers: float,
        transfer_seconds: float,
        age_seconds: float,
        now: float,
    ) -> bool:
        """Whether a request may go to the endpoint now.

        `link_transfers` is the number of transfers that the endpoint's link fits at full pace,
        `sharing_routers` that of the routers that may send to it, `age_seconds` the time since its start.
        """
        ramp = rule.initial_share + (1 - rule.initial_share) * max(0.0, age_seconds) / rule.duration
        pace = SLOW_START_SHARE * rule.overload_factor * ramp * link_transfers
        paid_off = (now - self._updated_at) * pace / sharing_routers
        self.debt_seconds = max(0.0, self.debt_seconds - paid_off)
        self._updated_at = now
        # A request larger than this would overload the endpoint by itself.
        largest = SLOW_START_SHARE * pace * rule.overload_seconds
        return self.debt_seconds <= 0 and transfer_seconds <= largest
