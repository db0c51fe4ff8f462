"""Pending requests and their attempts. Types only."""

from __future__ import annotations

from dataclasses import dataclass, field

from zincladder.routing import interface as api


@dataclass(slots=True)
class PendingRequest:
    """A request that has not been answered yet."""

    request: api.Request
    request_class: api.RequestClass
    transfer_seconds: float
    cache_position: int  # on the ring of caches; parts are cached separately, so each part has its own
    source_position: int  # on the ring of parents; the same for all parts, which fill from one parent
    max_attempts: int
    attempts_sent: int = 0
    in_flight: set[int] = field(default_factory=set)  # attempt numbers
    failed_endpoints: api.EndpointIds = field(default_factory=set)  # used again only as a last resort
    waits_for_fill: bool = False  # the cache reported a fill of the object in progress
    accepts_stale: bool = False  # the origin failed, so a copy older than its fresh time is acceptable
    # Send times of the attempts that may have been executed.
    may_have_run_at: list[float] = field(default_factory=list)
    truncated_by: api.EndpointIds = field(default_factory=set)  # endpoints that broke off an answer
    errors: int = 0
    last_outcome: api.AttemptOutcome | None = None
    cached_only: bool = False  # the source of the latest attempt may not fill from the origin


@dataclass(slots=True)
class Attempt:
    """One attempt in flight."""

    pending: PendingRequest
    target: api.EndpointId
    source: api.EndpointId
    sent_at: float
    silence_timer_set_at: float
    counted_as_overloaded: bool = False  # the fill throttles counted it as overloaded before it ended
