"""Which cache is asked next, and from where it fills. No I/O."""

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

# Utilization of a cache above which its objects go on to the next one on the ring, but only above this
# multiple of the mean: slow fills load all caches alike, and then no object is better off elsewhere.
SPILLOVER_UTILIZATION = 0.75
SPILLOVER_MEAN_RATIO = 1.5


@dataclass(slots=True)
class Route:
    """The endpoint to ask, and the source of its fill; with the same endpoint twice nothing is filled."""

    target: EndpointStats
    source: EndpointStats


def select_route(state: RouterState, pending: PendingRequest, now: float) -> Route | None:
    """The route of the next attempt; `None` if nothing is fit, or its answer would come too late."""
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
    """The first endpoint on the object's walk along a ring that may be asked; `None` if there is none.

    Passed by are, in this order, endpoints that are not ready, that would answer too late, that slow start
    does not admit, and that are ejected or failed this request; an ejected one is asked once its trial is
    due. Asked is, in this order:

    1. the first below the spillover utilization whose throttle does not turn the request away;
    2. the least utilized of those that are above it, or whose throttle is overloaded;
    3. the first that was ejected or failed this request, if it fails at once and the origin may not be asked.

    `transfer_seconds` is the work that slow start counts.
    """
    of_caches = ring is state.endpoints.caches
    mean = mean_utilization(state) if of_caches else 0.0
    spillover_at = max(SPILLOVER_UTILIZATION, SPILLOVER_MEAN_RATIO * mean)
    least_utilized: EndpointStats | None = None
    last_resort: EndpointStats | None = None
    least, utilization = 0.0, 0.0
    for endpoint_id in ring.walk(pending.cache_position if of_caches else pending.source_position):
        stats = state.endpoints.stats[endpoint_id]
        if stats.endpoint.state is not api.EndpointState.READY:
            continue
        if of_caches:
            utilization = cache_utilization(state, stats, mean)
        if _would_answer_late(state, pending, stats, utilization, of_caches):
            continue
        if not admits_during_slow_start(state, stats, transfer_seconds, now):
            continue
        if endpoint_id in pending.failed_endpoints or (stats.is_ejected and now < stats.next_trial_at):
            if last_resort is None and _is_last_resort(state, stats):
                last_resort = stats
        elif utilization < spillover_at and state.fill_throttles.stays_at(
            endpoint_id, now, state.random.random
        ):
            # If it is ejected, this request is its trial; no other for a while.
            stats.next_trial_at = now + TRIAL_INTERVAL_SECONDS
            return stats
        elif least_utilized is None or utilization < least:
            least_utilized, least = stats, utilization
    return least_utilized or last_resort


def _would_answer_late(
    state: RouterState, pending: PendingRequest, stats: EndpointStats, utilization: float, of_caches: bool
) -> bool:
    """Whether an endpoint's utilization, or its own slowness, would make the answer late."""
    overload = utilization
    if of_caches and pending.request.size_kb > 0 and is_slow_outlier(stats, state.median_slowdown):
        overload = max(overload, stats.slowdown)
    return would_miss_objective(pending, overload)


def _is_last_resort(state: RouterState, stats: EndpointStats) -> bool:
    """Whether what failed may be asked again: it fails at once, and no fill may go to the origin."""
    return stats.fails_fast and not (state.origin_budget.available() and state.endpoints.origin_id)


def _select_fill_source(
    state: RouterState, pending: PendingRequest, origin: EndpointStats | None, now: float
) -> EndpointStats | None:
    """The parent of an object, or the origin where none is fit and its budget allows.

    Guards the origin, which alone runs writes: all routers would fall back on it where parents fail.
    """
    parents = state.endpoints.parents
    parent = select_endpoint(state, parents, pending, pending.transfer_seconds, now)
    if parent is None and (state.origin_budget.available() or not parents.ids):
        return origin
    return parent


def _is_fill_overloaded(state: RouterState, pending: PendingRequest, source: EndpointStats | None) -> bool:
    """Whether the location's link, or the pace of the source, would make a fill too late."""
    # Where sizes are not announced, the pace of a source shows sizes alone.
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
    """The source for a cache that was selected; `None` gives the request up.

    The first attempt asks a sibling cache that likely has a copy; without a fit source it takes only a copy
    of the cache itself. Later ones need a source, unless a fill of the object is under way.
    """
    overloaded = overloaded or source is None
    copy_at = select_sibling(state, cache, pending.cache_position, now)
    if pending.attempts_sent == 0:
        if copy_at:
            return copy_at
        return cache if overloaded else source
    return None if overloaded and not pending.waits_for_fill else source


def _bypass_caches(
    state: RouterState, pending: PendingRequest, source: EndpointStats | None, origin: EndpointStats | None
) -> Route | None:
    """No cache is fit: straight to the source, unless the location's clients are too many for that."""
    if source is None or would_miss_objective(pending, mean_utilization(state)):
        return None
    return Route(source, origin or source)


def select_sibling(
    state: RouterState, cache: EndpointStats, position: int, now: float
) -> EndpointStats | None:
    """The cache of the location that likely has a copy where the selected one has none.

    That is the first on the object's walk if the selected one is another (after a spillover or an ejection),
    and the second if the first is selected and in its slow start. Siblings are asked as often as they had a
    copy lately.
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


def has_other_limit(state: RouterState, route: Route) -> bool:
    """Whether a route needs neither the retry budget nor the fill throttles.

    A fill from the origin although parents are listed has its own budget; a copy of a cache costs no fill.
    """
    endpoints = state.endpoints
    source = route.source
    if source.endpoint.id in endpoints.caches.ids:
        return True
    bypasses_parents = source.endpoint.id == endpoints.origin_id and route.target.role is not Role.PARENT
    return bypasses_parents and len(endpoints.parents.ids) > 0
