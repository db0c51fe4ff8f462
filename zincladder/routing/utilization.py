"""Utilization of the caches' links, as estimated by this router. No I/O."""

from __future__ import annotations

from zincladder.routing.endpoints import EndpointStats, Role
from zincladder.routing.state import RouterState

# Capacity of a parent's link if it is not listed, as a share of the total of the caches that fill from it:
# the lowest likely value.
PARENT_LINK_SHARE = 0.2


def link_transfers(state: RouterState, stats: EndpointStats) -> float:
    """Returns the transfers that an endpoint's link carries, as listed or estimated from load reports."""
    settings = state.settings
    if settings.weights_known:
        return stats.endpoint.weight
    if stats.role is not Role.PARENT:
        return state.cores.cores
    zones = sum(routers > 0 for routers in settings.routers_by_zone)
    caches_behind = len(state.endpoints.caches.ids) * zones / max(1, len(state.endpoints.parents.ids))
    return max(1.0, PARENT_LINK_SHARE * state.cores.cores * caches_behind)


def are_links_known(state: RouterState) -> bool:
    """Whether the capacity of the caches' links is listed, or estimated from enough load reports.

    Without this check a router that has just started would reject the requests of a lost cache.
    """
    return state.settings.weights_known or state.cores.is_known()


def mean_utilization(state: RouterState) -> float:
    """Returns the mean utilization of the caches' links (1: fully used), or 0 if their capacity is unknown.

    All routers of the location are assumed to have as many attempts in flight as this one.
    """
    if not are_links_known(state):
        return 0.0
    endpoints = state.endpoints
    if state.settings.weights_known:
        transfers = endpoints.total_cache_weight
    else:
        transfers = state.cores.cores * max(1, len(endpoints.caches.ids))
    return endpoints.in_flight_at_caches * state.zone_routers / transfers


def cache_utilization(state: RouterState, stats: EndpointStats, mean: float) -> float:
    """Returns the utilization of one cache's link, or 0 if the capacity of links is unknown.

    `mean` is the mean utilization of the caches and stands for the other routers, whose attempts are not
    known; multiplying this router's few attempts by the number of routers would give a random result.
    """
    if not are_links_known(state):
        return 0.0
    own = stats.in_flight / max(link_transfers(state, stats), 1.0)
    routers = state.zone_routers
    return own + mean * (routers - 1) / routers
