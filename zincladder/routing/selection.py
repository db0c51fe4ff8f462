"""Selects the cache that is asked next, and the source of its fill. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from zincladder.routing import interface as api
from zincladder.routing.endpoints import EndpointStats, Role
from zincladder.routing.load_shedding import SATURATED_LINK_LOAD, would_miss_objective
from zincladder.routing.outlier_ejection import TRIAL_INTERVAL_SECONDS, is_slow_outlier
from zincladder.routing.requests import PendingRequest
from zincladder.routing.ring import Ring
from zincladder.routing.slow_start import admits_during_slow_start
from zincladder.routing.state import RouterState
from zincladder.routing.utilization import cache_utilization, mean_utilization

# A cache's objects spill over to the next cache on the ring if its utilization exceeds both the first value
# and the second times the mean: slow fills load all caches equally, and then spillover would gain nothing.
SPILLOVER_UTILIZATION = 0.75
SPILLOVER_MEAN_RATIO = 1.5


@dataclass(slots=True)
class Route:
    """The endpoint to ask, and the source of its fill; if both are the same, nothing is filled."""

    target: EndpointStats
    source: EndpointStats


def select_route(state: RouterState, pending: PendingRequest, now: float) -> Route | None:
    """Returns the route of the next attempt, or `None` if none is available or all would answer too late."""
    endpoints = state.endpoints
    request_class = pending.request_class
    may_bypass_caches = state.settings.may_bypass_caches
    origin = endpoints.origin()
    mean_seconds = state.transfer_times[pending.request.request_class].mean_seconds
    cache = select_endpoint(state, endpoints.caches, pending, mean_seconds, now)
    source = origin if request_class.uncacheable else _select_fill_source(state, pending, origin, now)
    overloaded = _is_fill_overloaded(state, pending, source)
    if request_class.uncacheable:
        cache = origin if may_bypass_caches else cache
    elif cache and pending.accepts_stale:
        source = cache
    elif cache:
        source = _adjust_source(state, pending, cache, source, overloaded, now)
    if cache is None and may_bypass_caches and not overloaded:
        return _bypass_caches(state, pending, source, origin)
    return Route(cache, source) if cache and source else None


def select_endpoint(
    state: RouterState, ring: Ring, pending: PendingRequest, transfer_seconds: float, now: float
) -> EndpointStats | None:
    """Returns the preferred available endpoint of the ring for an object, or `None` if there is none.

    Endpoints are considered in ring order, from the object's position. Skipped are endpoints that are not
    ready, would answer too late, exceed their slow-start budget, are ejected (unless a trial is due), or
    have already failed this request; the conditions are checked in this order. Of the others, the choice is:

    1. the first one below the spillover utilization whose fill throttle admits the request;
    2. the least utilized of those above it, or not admitted by their throttle;
    3. the first one skipped as ejected or failed, if it fails fast and the origin cannot be used instead.

    `transfer_seconds` is the work that counts against the slow-start budget.
    """
    is_cache_ring = ring is state.endpoints.caches
    mean = mean_utilization(state) if is_cache_ring else 0.0
    spillover_at = max(SPILLOVER_UTILIZATION, SPILLOVER_MEAN_RATIO * mean)
    least_utilized: EndpointStats | None = None
    last_resort: EndpointStats | None = None
    lowest_utilization, utilization = 0.0, 0.0
    for endpoint_id in ring.walk(pending.cache_position if is_cache_ring else pending.source_position):
        stats = state.endpoints.stats[endpoint_id]
        if stats.endpoint.state is not api.EndpointState.READY:
            continue
        if is_cache_ring:
            utilization = cache_utilization(state, stats, mean)
        if _would_answer_late(state, pending, stats, utilization, is_cache_ring):
            continue
        if not admits_during_slow_start(state, stats, transfer_seconds, now):
            continue
        if endpoint_id in pending.failed_endpoints or (stats.is_ejected and now < stats.next_trial_at):
            if last_resort is None and _is_last_resort(state, stats):
                last_resort = stats
        elif utilization < spillover_at and state.fill_throttles.admits(
            endpoint_id, now, state.random.random
        ):
            # If the endpoint is ejected, this request is its trial, and the next trial has to wait.
            stats.next_trial_at = now + TRIAL_INTERVAL_SECONDS
            return stats
        elif least_utilized is None or utilization < lowest_utilization:
            least_utilized, lowest_utilization = stats, utilization
    return least_utilized or last_resort


def _would_answer_late(
    state: RouterState, pending: PendingRequest, stats: EndpointStats, utilization: float, is_cache_ring: bool
) -> bool:
    """Whether the answer would be late because the endpoint is overloaded or a slow outlier."""
    overload = utilization
    if is_cache_ring and pending.request.size_kb > 0 and is_slow_outlier(stats, state.median_slowdown):
        overload = max(overload, stats.slowdown)
    return would_miss_objective(pending, overload)


def _is_last_resort(state: RouterState, stats: EndpointStats) -> bool:
    """Whether a failed endpoint may be asked again: it fails fast, and no fill may go to the origin."""
    return stats.fails_fast and not (state.origin_budget.available() and state.endpoints.origin_id)


def _select_fill_source(
    state: RouterState, pending: PendingRequest, origin: EndpointStats | None, now: float
) -> EndpointStats | None:
    """Returns the parent to fill from, or the origin if no parent is available and its budget allows it.

    The budget protects the origin, which alone executes writes, from a fallback of all routers at once when
    the parents fail.
    """
    parents = state.endpoints.parents
    parent = select_endpoint(state, parents, pending, pending.transfer_seconds, now)
    if parent is None and (state.origin_budget.available() or not parents.ids):
        return origin
    return parent


def _is_fill_overloaded(state: RouterState, pending: PendingRequest, source: EndpointStats | None) -> bool:
    """Whether a fill would be too late because the location's link or the source is too slow."""
    # Without announced sizes the measured slowdown of a source reflects only the sizes of its answers.
    slowdown = source.slowdown if source and pending.request.size_kb > 0 else 0.0
    return would_miss_objective(pending, max(state.location_link_load / SATURATED_LINK_LOAD, slowdown))


def _adjust_source(
    state: RouterState,
    pending: PendingRequest,
    cache: EndpointStats,
    source: EndpointStats | None,
    overloaded: bool,
    now: float,
) -> EndpointStats | None:
    """Returns the fill source for the selected cache, or `None` if the request gets no further attempt.

    The first attempt fills from a sibling cache that probably has a copy. If there is none and the source is
    missing or overloaded, it accepts only a copy of the selected cache. Later attempts need a source that is
    not overloaded, unless a fill of the object is in progress.
    """
    overloaded = overloaded or source is None
    sibling = select_sibling(state, cache, pending.cache_position, now)
    if pending.attempts_sent == 0:
        if sibling:
            return sibling
        return cache if overloaded else source
    return None if overloaded and not pending.waits_for_fill else source


def _bypass_caches(
    state: RouterState, pending: PendingRequest, source: EndpointStats | None, origin: EndpointStats | None
) -> Route | None:
    """Returns a direct route to the fill source, or `None` if the location is too busy for it.

    Used when no cache is available.
    """
    if source is None or would_miss_objective(pending, mean_utilization(state)):
        return None
    return Route(source, origin or source)


def select_sibling(
    state: RouterState, cache: EndpointStats, position: int, now: float
) -> EndpointStats | None:
    """Returns the cache of the location that probably has a copy if the selected one has none.

    The sibling is the first cache in ring order if another one was selected (after a spillover or an
    ejection), and the second if the first was selected and is in slow start. It is returned with a
    probability that equals the recent hit share of fills from siblings. `None` means that no sibling should
    be asked.
    """
    settings, endpoints = state.settings, state.endpoints
    if settings.peer_fill is api.PeerFill.OFF or state.random.random() > state.sibling_hit_share:
        return None
    walk = endpoints.caches.walk(position)
    sibling = endpoints.stats[next(walk)]
    if sibling is cache:
        started_at, second = cache.endpoint.started_at, next(walk, None)
        in_slow_start = started_at > 0 and now - started_at <= settings.cache_slow_start.duration
        if second is None or not in_slow_start:
            return None
        sibling = endpoints.stats[second]
    if sibling.endpoint.state is not api.EndpointState.READY or sibling.is_ejected:
        return None
    return sibling if admits_during_slow_start(state, sibling, 0.0, now) else None


def is_exempt_from_throttling(state: RouterState, route: Route) -> bool:
    """Whether a route is subject to neither the retry budget nor the fill throttles.

    A fill from the origin while parents are listed has its own budget; a copy from a cache needs no fill.
    """
    endpoints = state.endpoints
    source = route.source
    if source.endpoint.id in endpoints.caches.ids:
        return True
    bypasses_parents = source.endpoint.id == endpoints.origin_id and route.target.role is not Role.PARENT
    return bypasses_parents and len(endpoints.parents.ids) > 0
