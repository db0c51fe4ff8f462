"""What a front's memory and descriptors allow, and what of it one of several processes may use."""

from __future__ import annotations

from dataclasses import replace

from zincladder.config.model import Config
from zincladder.routing import interface as api

DEFAULT_MEMORY_MB = 192  # the least that the platform promises, as for the sockets
DEFAULT_SOCKETS = 1024
PROCESS_MB = 22  # what a process itself takes under load; the rest holds requests
SPARE_MB = 6  # kept free, however many processes there are
MIN_REQUESTS_MB = 4  # for requests, however little there is
OPEN_REQUEST_KB = 100  # most open requests wait and hold no body yet
UNREAD_SHARE = 2  # one part in so many of the requests' memory may hold unread answers


def request_limits(memory_mb: int, processes: int) -> tuple[int, int]:
    """The requests that each process may have open, and the bytes that its clients may leave unread."""
    per_process_mb = (memory_mb - SPARE_MB - processes * PROCESS_MB) // processes
    request_bytes = max(MIN_REQUESTS_MB, per_process_mb) << 20
    return request_bytes // (OPEN_REQUEST_KB << 10), request_bytes // UNREAD_SHARE


def divide_limits(config: Config, processes: int) -> Config:
    """The configuration of each process while several of one front run, as at an upgrade: an even part.

    Guards memory and descriptors, which are counted together, and endpoints that warm up: the processes of
    one front are as many routers, each of which would send a front's whole share.
    """
    if processes <= 1:
        return config
    max_open, max_unread_bytes = request_limits(config.memory_mb, processes)
    return replace(
        config,
        memory_mb=config.memory_mb // processes,
        sockets=config.sockets // processes,
        max_open_requests=min(max_open, config.max_open_requests),
        max_unread_bytes=max_unread_bytes,
        settings=_with_more_routers(config.settings, processes - 1),
    )


def _with_more_routers(settings: api.Settings, more: int) -> api.Settings:
    routers_by_zone = tuple(
        routers + (more if zone == settings.zone else 0)
        for zone, routers in enumerate(settings.routers_by_zone)
    )
    return replace(settings, routers=settings.routers + more, routers_by_zone=routers_by_zone)
