"""The requests that are owed an answer, and their attempts. Types only."""

from __future__ import annotations

from dataclasses import dataclass, field

from zincladder.routing import interface as api


@dataclass(slots=True)
class PendingRequest:
    """A request that is owed its answer."""

    request: api.Request
    request_class: api.RequestClass
    transfer_seconds: float
    cache_position: int  # on the ring of caches; parts are cached each by itself, so each has its own
    source_position: int  # on the ring of parents, by the object alone: all its fills meet at one parent
    max_attempts: int
    attempts_sent: int = 0
    in_flight: set[int] = field(default_factory=set)  # numbers of its attempts
    failed_endpoints: api.EndpointIds = field(default_factory=set)  # asked again only where all else is unfit
    waits_for_fill: bool = False  # a fill of the object is under way at the cache
    accepts_stale: bool = False  # the origin failed: a copy older than its fresh time will do
    may_have_run_at: list[float] = field(
        default_factory=list
    )  # when the attempts that may have run were sent
    truncated_by: api.EndpointIds = field(default_factory=set)  # endpoints that cut an answer off
    errors: int = 0
    last_outcome: api.AttemptOutcome | None = None
    cached_only: bool = False  # the newest attempt may not make its source ask the origin


@dataclass(slots=True)
class Attempt:
    """One attempt in flight."""

    pending: PendingRequest
    target: api.EndpointId
    source: api.EndpointId
    sent_at: float
    checked_at: float  # when its silence timer was last set
    counted_as_overloaded: bool = False  # by the fill throttles, before its end
