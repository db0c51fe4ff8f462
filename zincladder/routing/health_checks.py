"""Load reports, and the probes that request them if answers carry none. No I/O."""

from __future__ import annotations

from zincladder.routing import interface as api
from zincladder.routing.state import RouterState

PROBE_INTERVAL_SECONDS = 0.5


def are_probes_wanted(settings: api.Settings) -> bool:
    """Whether probes are permitted and are the only source of load reports."""
    return settings.probes and settings.load_by_health_check


def next_probed_cache(state: RouterState, turn: int) -> api.EndpointId | None:
    """Returns the cache to probe next, round-robin by `turn`, or `None` if no cache is ready."""
    endpoints = state.endpoints
    ready = [i for i in endpoints.caches.ids if endpoints.stats[i].endpoint.state is api.EndpointState.READY]
    return ready[turn % len(ready)] if ready else None


def record_load_report(state: RouterState, endpoint_id: api.EndpointId, report: tuple[float, ...]) -> None:
    """Records a load report of a cache of the location.

    Reports of other endpoints, and reports with an unexpected number of values, are ignored.
    """
    names = state.settings.report_names
    if len(report) != len(names) or endpoint_id not in state.endpoints.caches.ids:
        return
    values = dict(zip(names, report, strict=True))
    state.location_link_load = values.get("link", state.location_link_load)
    if "busy" in values and "held" in values:
        state.cores.record_report(values["busy"], values["held"])
