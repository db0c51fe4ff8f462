"""The share of the caches' links in use, as this router sees it. No I/O."""

from __future__ import annotations

from zincladder.routing.endpoints import EndpointStats, Role
from zincladder.routing.state import RouterState

# A parent's link over the pooled links of the caches behind it, where it is not listed: the least likely
# share.
PARENT_LINK_SHARE = 0.2


def link_transfers(state: RouterState, stats: EndpointStats) -> float:
    """The transfers that an endpoint's link fits at full pace, as listed or estimated from load reports."""
    settings = state.settings
    if settings.weights_known:
        return stats.endpoint.weight
    if stats.role is not Role.PARENT:
        return state.cores.cores
    zones = sum(routers > 0 for routers in settings.routers_by_zone)
    caches_behind = len(state.endpoints.caches.ids) * zones / max(1, len(state.endpoints.parents.ids))
    return max(1.0, PARENT_LINK_SHARE * state.cores.cores * caches_behind)


def are_links_known(state: RouterState) -> bool:
    """Whether the caches' links are listed, or estimated from enough load reports.

    Without this check a router that has just started would reject what a lost cache leaves over.
    """
    return state.settings.weights_known or state.cores.is_known()


def mean_utilization(state: RouterState) -> float:
    """The mean share of the caches' links in use (1: all at full pace); 0 while their links are not known.

    All routers of the location are taken to have as much in flight as this one.
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
    """The share of one cache's link in use; the other routers count as `mean`, this one's over the caches.

    Their attempts are not known, and this router's own times their number would be chance.
    """
    if not are_links_known(state):
        return 0.0
    own = stats.in_flight / max(link_transfers(state, stats), 1.0)
    routers = state.zone_routers
    return own + mean * (routers - 1) / routers
