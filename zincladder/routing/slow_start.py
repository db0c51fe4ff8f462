"""Slow start: what an endpoint that has started lately is given. No I/O."""

from __future__ import annotations

from zincladder.routing.budgets import SlowStartBudget
from zincladder.routing.endpoints import EndpointStats, Role
from zincladder.routing.state import RouterState
from zincladder.routing.utilization import link_transfers


def admits_during_slow_start(
    state: RouterState, stats: EndpointStats, transfer_seconds: float, now: float
) -> bool:
    """Whether an endpoint can take a request of `transfer_seconds` from this router.

    Guards an endpoint whose copies are cold against the full share of its ring: it is given more as it gets
    older, until the duration of its slow start is over. The origin has none.
    """
    started_at = stats.endpoint.started_at
    if started_at <= 0 or stats.role is Role.ORIGIN:
        return True
    if stats.role is Role.PARENT:
        rule, sharing_routers = state.settings.parent_slow_start, state.settings.routers
    else:
        rule, sharing_routers = state.settings.cache_slow_start, state.zone_routers
    age = now - started_at
    if age >= rule.duration:
        return True
    budget = stats.slow_start_budget
    if budget is None:
        longest_mean = max(estimate.mean_seconds for estimate in state.transfer_times)
        budget = stats.slow_start_budget = SlowStartBudget(state.random.random() * longest_mean, now)
    link = link_transfers(state, stats)
    return budget.admits(rule, sharing_routers, link, transfer_seconds, age, now)


def charge_slow_start(stats: EndpointStats, transfer_seconds: float, mean_seconds: float) -> None:
    """Counts a request sent: by its own transfer time at a parent, by the mean of its class at a cache."""
    budget = stats.slow_start_budget
    if budget is not None:
        budget.debt_seconds += transfer_seconds if stats.role is Role.PARENT else mean_seconds
