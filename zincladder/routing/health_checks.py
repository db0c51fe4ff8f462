"""Load reports, and the probes that ask for them where answers carry none. No I/O."""

from __future__ import annotations

from zincladder.routing import interface as api
from zincladder.routing.state import RouterState

PROBE_INTERVAL_SECONDS = 0.5


def are_probes_wanted(settings: api.Settings) -> bool:
    """Whether load is reported to probes only."""
    return settings.probes and settings.load_by_health_check


def next_probed_cache(state: RouterState, turn: int) -> api.EndpointId | None:
    """The cache that is probed on this turn, if any is ready."""
    endpoints = state.endpoints
    ready = [i for i in endpoints.caches.ids if endpoints.stats[i].endpoint.state is api.EndpointState.READY]
    return ready[turn % len(ready)] if ready else None


def record_load_report(state: RouterState, endpoint_id: api.EndpointId, report: tuple[float, ...]) -> None:
    """Takes a load report of a cache of the location; others, and those of odd length, are ignored."""
    names = state.settings.report_names
    if len(report) != len(names) or endpoint_id not in state.endpoints.caches.ids:
        return
    values = dict(zip(names, report, strict=True))
    state.location_link_load = values.get("link", state.location_link_load)
    if "busy" in values and "held" in values:
        state.cores.record_report(values["busy"], values["held"])
