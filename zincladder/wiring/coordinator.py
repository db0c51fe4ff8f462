"""Builds the watch on the coordinator, and applies its events to the parts of a front."""

from __future__ import annotations

from zincladder.config import Address, Config
from zincladder.core.engine import Core
from zincladder.discovery.freshness import Freshness
from zincladder.net.cache_pool import CachePool
from zincladder.net.coordinator_watch import CoordinatorWatch
from zincladder.net.events import EndpointUpdateReceived, WatchEvent
from zincladder.routing import interface as api
from zincladder.support.rate_limited_log import RateLimitedLog

LOG_INTERVAL_SECONDS = 0.1  # the least time between two log lines about the endpoint list
MAX_LOGGED_ENDPOINTS = 16  # endpoints of each state in one log line


def apply_update(core: Core, caches: CachePool, event: WatchEvent) -> None:
    """Applies one event of the coordinator: a purge, or an update of the endpoint list."""
    if not isinstance(event, EndpointUpdateReceived):
        core.purge(event.object, event.group, event.purged_at)
        return
    if event.is_full:
        caches.retain_only({endpoint.id for endpoint, _ in event.endpoints})
    for endpoint, address in event.endpoints:
        if endpoint.state is api.EndpointState.GONE:
            caches.forget(endpoint.id)
        else:
            caches.set_address(endpoint.id, address)
    kind = api.UpdateKind.FULL if event.is_full else api.UpdateKind.DELTA
    core.update_endpoints(kind, event.version, tuple(endpoint for endpoint, _ in event.endpoints))


def log_update(update: EndpointUpdateReceived, rate_limited_log: RateLimitedLog) -> None:
    """Logs the endpoints of an update by state, at most MAX_LOGGED_ENDPOINTS of each."""
    names_by_state = {
        state.name.lower(): [
            endpoint.id.decode("latin-1") for endpoint, _ in update.endpoints if endpoint.state is state
        ][:MAX_LOGGED_ENDPOINTS]
        for state in api.EndpointState
    }
    rate_limited_log.info(
        "endpoint list changed", version=update.version, endpoints=len(update.endpoints), **names_by_state
    )


def min_grace_seconds(settings: api.Settings) -> float:
    """Returns the shortest time in seconds from an event of the coordinator until it must take effect."""
    return min(settings.drain_grace, settings.purge_grace)


def build_watch(
    coordinator: Address, config: Config, last_event: int, core: Core, caches: CachePool
) -> CoordinatorWatch:
    """Builds the watch, which receives the events that follow event number `last_event`.

    From then on the core routes requests only while its endpoint list is current.
    """
    rate_limited_log = RateLimitedLog(LOG_INTERVAL_SECONDS)

    def on_event(event: WatchEvent) -> None:
        if isinstance(event, EndpointUpdateReceived):
            log_update(event, rate_limited_log)
        apply_update(core, caches, event)

    core.endpoint_list.freshness = Freshness(min_grace_seconds(config.settings))
    watch = CoordinatorWatch(
        coordinator,
        last_event,
        on_event,
        config.seed,
        core.endpoint_list.freshness,
        core.endpoint_list.notify_changed,
    )
    core.endpoint_list.poll_watch_events = watch.poll
    return watch


def apply_settings(core: Core, config: Config) -> None:
    """Applies the settings and request classes of a reloaded configuration."""
    core.apply_settings(config.settings, config.names.classes)
    if core.endpoint_list.freshness is not None:
        core.endpoint_list.freshness.min_grace_seconds = min_grace_seconds(config.settings)


def follow_coordinator(watch: CoordinatorWatch, config: Config) -> None:
    """Follows the coordinator of a reloaded configuration, or stays with the old one if it names none."""
    if config.coordinator:
        watch.follow(config.coordinator)
