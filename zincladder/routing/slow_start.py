"""Slow start: limits the requests to endpoints that have started recently. No I/O."""

from __future__ import annotations

from zincladder.routing.budgets import SlowStartBudget
from zincladder.routing.endpoints import EndpointStats, Role
from zincladder.routing.state import RouterState
from zincladder.routing.utilization import link_transfers


def admits_during_slow_start(
    state: RouterState, stats: EndpointStats, transfer_seconds: float, now: float
) -> bool:
    """Whether this router may send an endpoint a request of `transfer_seconds`.

    An endpoint with an empty cache would be overloaded by its full share of the requests, so its limit grows
    with its age until its slow start is over. The origin has no slow start.
    """
    started_at = stats.endpoint.started_at
    if started_at <= 0 or stats.role is Role.ORIGIN:
        return True
    if stats.role is Role.PARENT:
        slow_start, sharing_routers = state.settings.parent_slow_start, state.settings.routers
    else:
        slow_start, sharing_routers = state.settings.cache_slow_start, state.zone_routers
    age = now - started_at
    if age >= slow_start.duration:
        return True
    budget = stats.slow_start_budget
    if budget is None:
        longest_mean = max(estimate.mean_seconds for estimate in state.transfer_times)
        budget = stats.slow_start_budget = SlowStartBudget(state.random.random() * longest_mean, now)
    link = link_transfers(state, stats)
    return budget.admits(slow_start, sharing_routers, link, transfer_seconds, age, now)


def charge_slow_start(stats: EndpointStats, transfer_seconds: float, mean_seconds: float) -> None:
    """Charges a request to the slow-start budget of an endpoint, if it has one.

    A parent is charged the request's own transfer time, a cache the mean of the request's class.
    """
    budget = stats.slow_start_budget
    if budget is not None:
        budget.backlog_seconds += transfer_seconds if stats.role is Role.PARENT else mean_seconds
