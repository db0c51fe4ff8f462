"""Budgets that keep a router from feeding an overload: retries, fills from the origin, cold members. No I/O.

A failure that is answered by more attempts makes the overload that it came from last: the trigger ends and
the state stays (metastable failures, Bronson et al. 2021). Routers share nothing, so each limits itself by
what its own attempts met; as all meet the same parents and the same origin, their limits move together.
"""

from __future__ import annotations

from zincladder.routing import interface as api

RETRY_SHARE = 0.2  # retries as a share of good answers: the usual retry budget (Finagle's default)
RETRY_RESERVE = 10.0  # retries that a router may save up: a sudden failure is worked round at once
ORIGIN_SHARE = 0.1  # of a router's requests that may fill from the origin where no parent is fit
ORIGIN_RESERVE = 3.0  # of these at once
COLD_SHARE = 0.5  # of what pushes a cold member over: half is left to routers that are not told yet
CHARGED = (api.AttemptOutcome.REJECTED, api.AttemptOutcome.TIMED_OUT, api.AttemptOutcome.CANCELLED)


class RetryBudget:
    """A token bucket that only good answers fill; a retry after what load may have caused takes a token."""

    def __init__(self) -> None:
        self.tokens = RETRY_RESERVE

    def ended(self, result: api.AttemptOutcome) -> None:
        """Counts the end of one attempt."""
        if result is api.AttemptOutcome.OK:
            self.tokens = min(RETRY_RESERVE, self.tokens + RETRY_SHARE)

    def left(self) -> bool:
        """Whether one more retry may be made."""
        return self.tokens >= 1

    def spend(self, last: api.AttemptOutcome | None) -> bool:
        """Whether a request whose last attempt ended so may have another; `None`: it had none yet.

        What a member lacked, lost connections and errors tell of no load and are not charged.
        """
        if last not in CHARGED:
            return True
        if not self.left():
            return False
        self.tokens -= 1
        return True


class OriginBudget:
    """A token bucket that requests fill: fills from the origin beside parents of which none is fit."""

    def __init__(self) -> None:
        self.tokens = ORIGIN_RESERVE

    def earn(self) -> None:
        """Counts one request that arrived."""
        self.tokens = min(ORIGIN_RESERVE, self.tokens + ORIGIN_SHARE)

    def left(self) -> bool:
        """Whether one more fill may go to the origin."""
        return self.tokens >= 1

    def spend(self) -> None:
        """Counts one fill from the origin, also one that was not asked for beforehand."""
        self.tokens -= 1


class ColdBudget:
    """The work that one router may send to a member that started lately.

    Work sent is a `debt`, in seconds of sending, that is worked off at the router's even part of the pace
    that the member stands at the least ramp. The first debt is given: a random part of a request, so that
    many routers, each with a part of less than a request, take turns from the start.
    """

    def __init__(self, debt: float, now: float) -> None:
        self.debt = debt
        self._since = now

    def room(
        self, rule: api.SlowStart, sharers: int, weight: float, work: float, age: float, now: float
    ) -> bool:
        """Whether a request of `work` seconds may go to a member of this age.

        `weight` is the number of transfers that the member's link fits, `sharers` that of the routers that
        may send to it.
        """
        part = rule.initial_share + (1 - rule.initial_share) * max(0.0, age) / rule.duration
        pace = COLD_SHARE * rule.overload_factor * part * weight
        self.debt = max(0.0, self.debt - (now - self._since) * pace / sharers)
        self._since = now
        return (
            self.debt <= 0 and work <= COLD_SHARE * pace * rule.overload_seconds
        )  # more is a risk by itself


def hopeless(left: float, work: float, timeout: float) -> bool:
    """Whether a client gives up before its answer can be whole, even if the first cache holds it.

    `left` is the time until then and `work` the sending time, both in seconds. A request that has half of its
    class's deadline left is never hopeless: where sizes are not told, `work` is a mean that load moves.
    """
    return left < min(work, timeout / 2)
