"""Derives limits from a front's memory and descriptors, and divides them among the front's processes."""

from __future__ import annotations

from dataclasses import replace

from zincladder.admission.message_memory import MessageLimits
from zincladder.config.model import MAX_BODY_BYTES, Config
from zincladder.routing import interface as api

DEFAULT_MEMORY_MB = 192  # both defaults are the least that the platform guarantees
DEFAULT_SOCKETS = 1024
PROCESS_BASE_MB = 22  # memory of one process under load, without its requests
RESERVED_MB = 6  # kept free, whatever the number of processes
MIN_REQUESTS_MB_PER_PROCESS = 4  # the minimum holds even if the memory is too small
OPEN_REQUEST_KB = 100  # assumed for an open request; most of them wait and hold no body yet
# Messages may take this part of the memory for requests. The rest is for the connections and the state of the
# requests themselves.
MESSAGES_DIVISOR = 2
CONNECTION_KB = 21  # state of one connection of a client
CONNECTIONS_DIVISOR = 3  # connections may take 1 / this of the memory for requests
CLIENTS_DESCRIPTOR_DIVISOR = 3  # clients open connections for a third of the descriptors
SPARE_CONNECTIONS = 24  # for new clients while those are in use
# Shares of the memory for messages. What is left is for messages while they are parsed or written.
INCOMPLETE_SHARE, BODIES_SHARE, ANSWERS_SHARE, UNREAD_SHARE = 1 / 9, 2 / 9, 2 / 9, 2 / 9
# One for a client that takes it at once, beside one that waits for another client to read.
MIN_ANSWERS_BYTES = 2 * MAX_BODY_BYTES


def request_limits(memory_mb: int, processes: int) -> tuple[int, int]:
    """Returns the maximum number of open requests and the maximum bytes of their messages, per process."""
    per_process_mb = (memory_mb - RESERVED_MB - processes * PROCESS_BASE_MB) // processes
    request_bytes = max(MIN_REQUESTS_MB_PER_PROCESS, per_process_mb) << 20
    return request_bytes // (OPEN_REQUEST_KB << 10), request_bytes // MESSAGES_DIVISOR


def message_limits(max_message_bytes: int) -> MessageLimits:
    """Divides the memory for messages among their kinds, so that none takes it from the others."""
    return MessageLimits(
        incomplete=int(max_message_bytes * INCOMPLETE_SHARE),
        bodies=int(max_message_bytes * BODIES_SHARE),
        answers=max(MIN_ANSWERS_BYTES, int(max_message_bytes * ANSWERS_SHARE)),
        unread=int(max_message_bytes * UNREAD_SHARE),
    )


def max_client_connections(config: Config) -> int:
    """Returns how many connections of clients the memory holds; at least what the platform's clients open."""
    by_memory = config.max_message_bytes * MESSAGES_DIVISOR // (CONNECTIONS_DIVISOR * CONNECTION_KB << 10)
    return max(by_memory, config.sockets // CLIENTS_DESCRIPTOR_DIVISOR + SPARE_CONNECTIONS)


def divide_limits(config: Config, processes: int) -> Config:
    """Returns the configuration of each of the front's processes, of which several run during an upgrade.

    Each process gets an equal part of the memory and the descriptors. Each process also is a router of its
    own, so the number of routers grows with the processes; otherwise each process would send a whole front's
    share to endpoints that are warming up.
    """
    if processes <= 1:
        return config
    max_open, max_message_bytes = request_limits(config.memory_mb, processes)
    return replace(
        config,
        memory_mb=config.memory_mb // processes,
        sockets=config.sockets // processes,
        max_open_requests=min(max_open, config.max_open_requests),
        max_message_bytes=max_message_bytes,
        settings=_add_routers(config.settings, processes - 1),
    )


def _add_routers(settings: api.Settings, added: int) -> api.Settings:
    routers_by_zone = tuple(
        routers + (added if zone == settings.zone else 0)
        for zone, routers in enumerate(settings.routers_by_zone)
    )
    return replace(settings, routers=settings.routers + added, routers_by_zone=routers_by_zone)
