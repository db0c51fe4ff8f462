"""The events that a Router takes and the actions that it returns: types only, no logic.

Times and durations are in seconds on the caller's clock, sizes in KB. An endpoint's id is opaque: the router
returns the caller's bytes unchanged and must not interpret them.

A transfer is one answer being sent to a client at the client's full rate (`Settings.client_kb_per_s`). The
capacity of a link is the number of transfers that it carries at the same time.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum

EndpointId = bytes
EndpointIds = set[EndpointId]


class Idempotency(Enum):
    """Whether a request of a class may be executed twice."""

    IDEMPOTENT = "safe"  # executing it twice does no harm
    WITH_KEY = "keyed"  # endpoints drop duplicates of its idempotency key for `deduplication_window` seconds
    NONE = "unsafe"  # it must not be executed twice


class Scope(Enum):
    """The endpoints that share the record of idempotency keys, and so drop duplicates."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class PeerFill(Enum):
    """Which other caches may be the source of a fill."""

    OFF = "off"
    LOCATION = "location"
    ANY = "any"


class EndpointState(IntEnum):
    """The state of an endpoint in the endpoint list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class UpdateKind(IntEnum):
    """How an update relates to the previous endpoint list."""

    DELTA = 0  # only the entries that changed
    FULL = 1
    FAILED = 3  # a subscription failed: there are no entries, and the previous list stays in effect
    CACHED = 4  # the full list, possibly out of date


class AttemptOutcome(IntEnum):
    """How an attempt ended."""

    ERROR = 0
    OK = 1
    REJECTED = 2  # the endpoint was at capacity and did not execute the request
    TIMED_OUT = 3
    UNREACHABLE = 4  # no connection could be established
    RESET = 5  # the connection was lost; the request may have been executed
    CANCELLED = 6
    NOT_SENT = 7  # the request was finished or had no attempts, time or deduplication window left
    MISS = 8  # the endpoint had no fresh copy and did not fill one


class FillOutcome(IntEnum):
    """What an answer reports about the copy or the fill; `NONE` if it reports nothing."""

    NONE = 0
    HIT = 1
    FILLED = 2
    FILLED_VIA_ORIGIN = 3
    COALESCED = 4  # it joined a fill in progress; with outcome MISS: a fill is in progress
    STALE = 5  # the copy was older than its fresh time
    SOURCE_REJECTED = 6
    SOURCE_FAILED = 7  # the source was unreachable, closed the connection or timed out
    SOURCE_MISS = 8
    NO_FILL_SLOT = 9  # the cache has too many fills in progress
    ORIGIN_FAILED = 10  # the parent could not fill from the origin


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests.

    An answer is on time if its latency is at most the latency objective plus `objective_per_transfer` times
    its transfer time.
    """

    latency_objective: float  # seconds
    timeout: float  # seconds that a client waits in total, over all its tries
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    objective_per_transfer: float = 0.0  # seconds for each second of transfer
    priority_weight: float = 1.0  # value of an answer that is on time
    late_weight: float = 0.0  # share of the priority weight that a late answer earns
    scope: Scope = Scope.ALL
    deduplication_window: float = 0.0  # seconds, from the first attempt that may have been executed
    streamed: bool = False
    fresh_seconds: float = 0.0  # 0: a copy is fresh until it is purged
    stale_if_error_seconds: float = 0.0  # a copy is usable this long after its fresh time if the origin fails
    stale_weight: float = 0.0  # share of the priority weight that a stale copy earns
    uncacheable: bool = False  # requests are executed at the origin
    partitioned: bool = False  # objects consist of parts that clients request one after another


@dataclass(frozen=True, slots=True)
class SlowStart:
    """How the capacity of endpoints of a role grows after their start, and what overloads them.

    An endpoint fails if its load is `overload_factor` times its present capacity for `overload_seconds`.
    """

    initial_share: float  # share of its full capacity that it has at the start
    duration: float  # seconds until it reaches its full capacity
    overload_factor: float
    overload_seconds: float


@dataclass(frozen=True, slots=True)
class Settings:
    """The deployment of a router, and the features that the platform permits."""

    classes: tuple[RequestClass, ...]
    zone: int  # the router's own zone, which is its location
    routers_by_zone: tuple[int, ...]
    routers: int
    instance: int = 0  # the router's number
    parent_kind: int = -1  # the `Endpoint.kind` of parents; -1: there are none
    origin_kind: int = -1
    hub_of_zone: tuple[int, ...] = ()
    link_kb_per_s: tuple[float, ...] = ()  # inbound link of each zone; 0: not known
    client_kb_per_s: float = 0.0  # rate of one transfer; 0: not known
    cache_slow_start: SlowStart = SlowStart(1.0, 0.0, 0.0, 1.0)
    parent_slow_start: SlowStart = SlowStart(1.0, 0.0, 0.0, 1.0)
    drain_grace: float = 0.0  # seconds within which requests to a draining endpoint have to finish
    answer_slack: float = 0.0  # seconds after a client's deadline during which an answer still counts
    purge_grace: float = 0.0  # seconds after a purge event during which older copies may still be served
    purge_done: float = 0.0  # seconds after a purge until every endpoint has dropped the older copies
    max_attempts: int = 1  # per request
    connect_timeout: float = 0.0  # seconds
    may_cancel: bool = False
    hedged_requests: bool = False
    probes: bool = False
    retry_after: bool = False  # clients respect Retry-After; unused: only max_retry_after is read
    max_retry_after: float = 0.0  # seconds; a value above 0 enables Retry-After
    may_bypass_caches: bool = False
    coalesces_fills: bool = False
    fill_faults_reported: bool = True  # the answer to a failed fill shows whether its source was at fault
    peer_fill: PeerFill = PeerFill.OFF
    origin_overload_factor: float = 0.0  # load at which the origin stops for a while; 0: it never does
    origin_overload_seconds: float = 0.0  # how long the origin withstands that load
    weights_known: bool = False  # `Endpoint.weight` is the number of transfers that its link carries
    must_subscribe: bool = False  # list changes are sent only to routers that subscribe
    subscribe_within: float = 0.0  # seconds
    report_names: tuple[str, ...] = ()  # names of the values in a load report, in their order
    load_by_health_check: bool = False  # load reports come only with the results of probes
    clients_mark_retries: bool = False


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One entry of the endpoint list; `Settings` defines which `kind` is a parent and which the origin."""

    id: EndpointId
    kind: int
    zone: int
    state: EndpointState = EndpointState.READY
    weight: float = 1.0
    cell: int = 0
    started_at: float = 0.0  # 0: unknown, or long ago


# Events -------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """The whole endpoint list, or changes to it."""

    kind: UpdateKind
    version: int
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(slots=True)  # one per request: creating a frozen instance takes three times as long
class Request:
    """A client's request; the client abandons this try at `deadline`."""

    id: int
    object: int
    group: int
    part: int
    request_class: int
    size_kb: float  # 0: not known
    deadline: float
    repeat: bool = False  # the client has tried before
    write: bool = False
    tenant: int = 0


@dataclass(slots=True)  # one per request: creating a frozen instance takes three times as long
class AttemptEnded:
    """The end of an attempt; every attempt has exactly one. `closed`: the request is finished."""

    request: int
    attempt: int
    endpoint: EndpointId
    outcome: AttemptOutcome
    latency: float
    closed: bool = False
    fill_outcome: FillOutcome = FillOutcome.NONE
    fill_wait: float = 0.0  # seconds until the first byte from the source, or until its failure
    report: tuple[float, ...] = ()  # the endpoint's load report; empty: the answer had none


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client is no longer waiting; the request is finished."""

    request: int


@dataclass(frozen=True, slots=True)
class Purged:
    """A purge that happened `age` seconds ago, of one object, or of its whole group if `object` is None."""

    object: int | None
    group: int
    age: float


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the router has set has expired."""

    token: int


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """The result of one probe."""

    endpoint: EndpointId
    outcome: AttemptOutcome
    latency: float
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """New settings take effect.

    `learned` has the previous index of each class in `settings.classes`, so that its estimates are kept; -1
    for a new class.
    """

    settings: Settings
    learned: tuple[int, ...]


Event = (
    EndpointUpdate
    | Request
    | AttemptEnded
    | ClientDisconnected
    | Purged
    | TimerFired
    | ProbeEnded
    | SettingsChanged
)


# Actions ------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Lookup:
    """An attempt without a fill: an endpoint needs a fresh copy to answer; the origin has every object."""

    request: int
    endpoint: EndpointId


@dataclass(slots=True)  # one per request: creating a frozen instance takes three times as long
class Fetch:
    """An attempt with instructions for the endpoint in case of a miss.

    If `source` is the endpoint itself, nothing is filled. If `cache_rank` is 0, nothing is cached.
    """

    request: int
    endpoint: EndpointId
    source: EndpointId
    cache_rank: int
    max_age: float = 0.0  # maximum age of a copy in seconds; 0: the fresh time of the class
    coalesce: bool = False  # the request may join a fill in progress
    cached_only: bool = False  # the source answers only from its cache
    parent_proxies: bool = False  # the source caches no copy
    renew: bool = False  # a stale copy is served and renewed afterwards


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancels one attempt; an AttemptEnded event still follows."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: rejected; the client may safely retry after `retry_after` seconds."""

    request: int
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed; the request may or may not have been executed."""

    request: int


@dataclass(slots=True)  # one per request: creating a frozen instance takes three times as long
class SetTimer:
    """Asks for a TimerFired event after `delay` seconds; timers cannot be cancelled."""

    delay: float
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Sends a health check to an endpoint."""

    endpoint: EndpointId


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Subscribes to changes of the endpoint list, or unsubscribes if `enable` is False."""

    enable: bool = True


Action = Lookup | Fetch | Cancel | Reject | Fail | SetTimer | Probe | Subscribe
