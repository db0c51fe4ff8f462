"""The endpoint list and the statistics of each endpoint. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from zincladder.routing import interface as api
from zincladder.routing.budgets import SlowStartBudget
from zincladder.routing.ring import VIRTUAL_NODES_PER_TRANSFER, VIRTUAL_NODES_UNWEIGHTED, Ring


class Role(Enum):
    """What an endpoint does, derived from its kind in the list."""

    CACHE = "cache"  # a cache of any location
    PARENT = "parent"
    ORIGIN = "origin"


@dataclass(slots=True)
class EndpointStats:
    """An endpoint on the list, and what this router has observed of it since the endpoint started."""

    endpoint: api.Endpoint
    role: Role
    last_answer_at: float
    failure_rate: float = 0.0  # moving average of its outcomes, from 0 to 1
    in_flight: int = 0  # attempts of this router
    slowdown: float = 0.0  # moving average: duration of its answers, or of fills from it, per transfer time
    is_ejected: bool = False
    fails_fast: bool = False  # its last failure was immediate, so some of its fills may still succeed
    next_trial_at: float = 0.0  # earliest time of the next trial request while it is ejected
    slow_start_budget: SlowStartBudget | None = None


class EndpointTable:
    """The listed endpoints, the rings over them, and the attempts in flight at this location's caches."""

    def __init__(self) -> None:
        self.stats: dict[api.EndpointId, EndpointStats] = {}
        self.caches = Ring({})  # of this location
        self.parents = Ring({})  # of all locations
        self.origin_id: api.EndpointId | None = None
        self.in_flight_at_caches = 0
        self.total_cache_weight = 1.0

    def origin(self) -> EndpointStats | None:
        """Returns the origin, or `None` if none is ready."""
        return self.stats.get(self.origin_id) if self.origin_id else None

    def is_sibling_fill(self, cache: api.EndpointId, source: api.EndpointId) -> bool:
        """Whether `source` is a cache of this location, but not `cache` itself."""
        return source in self.caches.ids and source != cache

    def track_in_flight(self, stats: EndpointStats, change: int) -> None:
        """Counts an attempt at an endpoint; `change` is 1 when it is sent and -1 when it has ended."""
        stats.in_flight += change
        self.in_flight_at_caches += change * (stats.endpoint.id in self.caches.ids)

    def assign_roles(self, settings: api.Settings) -> None:
        """Assigns the roles under changed settings; the rings follow at the next update of the list."""
        for stats in self.stats.values():
            stats.role = _role(stats.endpoint, settings)

    def apply_update(self, update: api.EndpointUpdate, settings: api.Settings, now: float) -> None:
        """Applies a full list, or changes to the list."""
        if update.kind is not api.UpdateKind.DELTA:
            listed = {endpoint.id for endpoint in update.endpoints}
            self.stats = {i: stats for i, stats in self.stats.items() if i in listed}
        for endpoint in update.endpoints:
            self._apply_entry(endpoint, settings, now)
        self._rebuild_rings(settings)

    def _apply_entry(self, endpoint: api.Endpoint, settings: api.Settings, now: float) -> None:
        old = self.stats.get(endpoint.id)
        role = _role(endpoint, settings)
        if endpoint.state is api.EndpointState.GONE:
            self.stats.pop(endpoint.id, None)
        elif old and _keeps_stats(old.endpoint, endpoint):
            old.endpoint = endpoint
            old.role = role
        else:
            in_flight = old.in_flight if old else 0
            self.stats[endpoint.id] = EndpointStats(endpoint, role, now, in_flight=in_flight)

    def _rebuild_rings(self, settings: api.Settings) -> None:
        """Selects the origin, recounts attempts in flight, and rebuilds each ring whose endpoints changed."""
        by_role: dict[Role, list[api.Endpoint]] = {role: [] for role in Role}
        for stats in self.stats.values():
            by_role[stats.role].append(stats.endpoint)
        origins = by_role[Role.ORIGIN]
        ready_origins = (origin.id for origin in origins if origin.state is api.EndpointState.READY)
        self.origin_id = min(ready_origins, default=None)
        caches = {cache.id for cache in by_role[Role.CACHE] if cache.zone == settings.zone}
        parents = {parent.id for parent in by_role[Role.PARENT]}
        self.in_flight_at_caches = sum(self.stats[i].in_flight for i in caches)
        if caches != self.caches.ids:
            self.caches = self._ring(caches, settings)
            total = sum(self.stats[i].endpoint.weight for i in sorted(caches))
            self.total_cache_weight = max(1.0, total)
        if parents != self.parents.ids:
            self.parents = self._ring(parents, settings)

    def _ring(self, ids: api.EndpointIds, settings: api.Settings) -> Ring:
        """Builds a ring; an endpoint's number of virtual nodes depends on nothing but its own weight.

        A change of one weight therefore moves no objects between other endpoints.
        """
        if not settings.weights_known:
            return Ring(dict.fromkeys(sorted(ids), VIRTUAL_NODES_UNWEIGHTED))
        weights = {i: self.stats[i].endpoint.weight for i in sorted(ids)}
        return Ring({i: max(1, round(VIRTUAL_NODES_PER_TRANSFER * weight)) for i, weight in weights.items()})


def _role(endpoint: api.Endpoint, settings: api.Settings) -> Role:
    if endpoint.kind == settings.parent_kind:
        return Role.PARENT
    return Role.ORIGIN if endpoint.kind == settings.origin_kind else Role.CACHE


def _keeps_stats(old: api.Endpoint, new: api.Endpoint) -> bool:
    """Whether the statistics stay valid: the endpoint has neither restarted nor returned after draining."""
    return old.started_at == new.started_at and old.state <= new.state
