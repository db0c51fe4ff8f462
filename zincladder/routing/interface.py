"""What goes into a Router and what comes out: types only, no logic.

Moments and spans are in seconds on the caller's clock, sizes in KB. An endpoint's id is opaque: bytes that
the caller gives and gets back unchanged; nothing may be read out of it.

A transfer is one answer on its way to a client at full pace; the capacity of a link is counted in transfers.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum

EndpointId = bytes
EndpointIds = set[EndpointId]


class Idempotency(Enum):
    """What happens if a request of a class takes effect twice."""

    IDEMPOTENT = "safe"  # no harm
    WITH_KEY = "keyed"  # duplicates of its idempotency key are dropped for a while
    NONE = "unsafe"  # it must not happen


class Scope(Enum):
    """Which endpoints drop the duplicates of an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class PeerFill(Enum):
    """Which other caches may be named as the source of a fill."""

    OFF = "off"
    LOCATION = "location"
    ANY = "any"


class EndpointState(IntEnum):
    """What the list says of an endpoint."""

    GONE = 0
    READY = 1
    DRAINING = 2


class UpdateKind(IntEnum):
    """The relation of an update to the list before it."""

    DELTA = 0  # the entries that changed
    FULL = 1
    FAILED = 3  # no entries: a subscription failed, and the list before stands
    CACHED = 4  # the whole list, possibly stale


class AttemptOutcome(IntEnum):
    """The end of an attempt."""

    ERROR = 0
    OK = 1
    REJECTED = 2  # the endpoint was full; nothing ran
    TIMED_OUT = 3
    UNREACHABLE = 4  # no connection was made
    RESET = 5  # the connection broke off; the request may have run
    CANCELLED = 6
    NOT_SENT = 7  # the request was over, or had no attempts or time left
    MISS = 8  # no fresh copy, and none was filled


class FillOutcome(IntEnum):
    """What an answer says about the copy or the fill, where it says anything."""

    NONE = 0
    HIT = 1
    FILLED = 2
    FILLED_VIA_ORIGIN = 3
    COALESCED = 4  # it joined a fill under way; with a miss: one is under way
    STALE = 5  # a copy older than its fresh time
    SOURCE_REJECTED = 6
    SOURCE_FAILED = 7  # not reached, broken off or out of time
    SOURCE_MISS = 8
    NO_FILL_SLOT = 9  # the cache has too many fills under way
    ORIGIN_FAILED = 10  # behind the parent


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests.

    An answer is in time within the latency objective plus `objective_per_transfer` times its transfer time.
    """

    latency_objective: float  # seconds
    timeout: float  # seconds that a client waits, over all its tries
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    objective_per_transfer: float = 0.0  # seconds for each second of transfer
    priority_weight: float = 1.0  # of an answer in time
    late_weight: float = 0.0  # share of it for a late one
    scope: Scope = Scope.ALL
    deduplication_window: float = 0.0  # seconds from the first attempt that may have run
    streamed: bool = False
    fresh_seconds: float = 0.0  # 0: a copy is fresh until it is purged
    stale_if_error_seconds: float = 0.0  # after its fresh time, where the origin fails
    stale_weight: float = 0.0  # share of the priority weight that a stale copy earns
    uncacheable: bool = False  # it runs at the origin
    partitioned: bool = False  # objects come in parts that clients ask for in turn


@dataclass(frozen=True, slots=True)
class SlowStart:
    """What endpoints of a role bear after their start, and what overloads them.

    Work at `overload_factor` times the present capacity for `overload_seconds` brings one down.
    """

    initial_share: float  # of its capacity, at the start
    duration: float  # seconds until it bears all
    overload_factor: float
    overload_seconds: float


@dataclass(frozen=True, slots=True)
class Settings:
    """The deployment as a router has to know it, and what the platform permits."""

    classes: tuple[RequestClass, ...]
    zone: int  # the router's own: its location
    routers_by_zone: tuple[int, ...]
    routers: int
    instance: int = 0  # the router's number
    parent_kind: int = -1  # the `Endpoint.kind` of parents; -1: there are none
    origin_kind: int = -1
    hub_of_zone: tuple[int, ...] = ()
    link_kb_per_s: tuple[float, ...] = ()  # by zone: its link in; 0 where it is not known
    client_kb_per_s: float = 0.0  # pace of one transfer; 0 where it is not known
    cache_slow_start: SlowStart = SlowStart(1.0, 0.0, 0.0, 1.0)
    parent_slow_start: SlowStart = SlowStart(1.0, 0.0, 0.0, 1.0)
    drain_grace: float = 0.0  # seconds in which requests to a draining endpoint have to end
    answer_slack: float = 0.0  # seconds after a client's deadline in which an answer still counts
    purge_grace: float = 0.0  # seconds from a purge event on, after which no older copy may be served
    purge_done: float = 0.0  # seconds from a purge on, after which no endpoint has an older copy
    max_attempts: int = 1  # of one request
    connect_timeout: float = 0.0  # seconds
    may_cancel: bool = False
    hedged_requests: bool = False
    probes: bool = False
    retry_after: bool = False  # clients heed it; not used: a wait is named where max_retry_after is above 0
    max_retry_after: float = 0.0  # seconds
    may_bypass_caches: bool = False
    coalesces_fills: bool = False
    fill_faults_reported: bool = True  # a failed fill says whether its source was at fault
    peer_fill: PeerFill = PeerFill.OFF
    origin_overload_factor: float = 0.0  # load at which the origin stops for a while; 0: none
    origin_overload_seconds: float = 0.0  # for which it bears that load
    weights_known: bool = False  # `Endpoint.weight` counts the transfers that a link fits
    must_subscribe: bool = False  # changes of the list come only to routers that subscribe
    subscribe_within: float = 0.0  # seconds
    report_names: tuple[str, ...] = ()  # of the values of a load report
    load_by_health_check: bool = False  # only probes bring load reports
    clients_mark_retries: bool = False


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One entry of the list: a cache, a parent or the origin, as its kind says."""

    id: EndpointId
    kind: int
    zone: int
    state: EndpointState = EndpointState.READY
    weight: float = 1.0
    cell: int = 0
    started_at: float = 0.0  # 0: not known, or long ago


# Events -------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """The whole endpoint list, or changes to it."""

    kind: UpdateKind
    version: int
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(slots=True)  # made for each request: a frozen one takes three times as long
class Request:
    """A client's request; `deadline` is when the client gives this try up."""

    id: int
    object: int
    group: int
    part: int
    request_class: int
    size_kb: float  # 0 where it is not known
    deadline: float
    repeat: bool = False  # the client tried before
    write: bool = False
    tenant: int = 0


@dataclass(slots=True)  # made for each request: a frozen one takes three times as long
class AttemptEnded:
    """The end of an attempt, one for each; `closed` says that the request is over."""

    request: int
    attempt: int
    endpoint: EndpointId
    outcome: AttemptOutcome
    latency: float
    closed: bool = False
    fill_outcome: FillOutcome = FillOutcome.NONE
    fill_wait: float = 0.0  # seconds to the first byte from the source, or to its failure
    report: tuple[float, ...] = ()  # the endpoint's load report, if one came


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client is no longer waiting: the request is over."""

    request: int


@dataclass(frozen=True, slots=True)
class Purged:
    """A purge, `age` seconds old, of one object or (object None) of a whole group."""

    object: int | None
    group: int
    age: float


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the router has set is due."""

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
    """Other settings from now on.

    `learned` gives for each class the number that it had before, to keep what was learned of it; -1: it is
    new.
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
    """An attempt that takes a fresh copy if the endpoint has one; nothing is filled. The origin has all."""

    request: int
    endpoint: EndpointId


@dataclass(slots=True)  # made for each request: a frozen one takes three times as long
class Fetch:
    """An attempt that says what to do on a miss.

    With the endpoint itself as its source nothing is filled; with rank 0 nothing is cached.
    """

    request: int
    endpoint: EndpointId
    source: EndpointId
    cache_rank: int
    max_age: float = 0.0  # of a copy that will do, in seconds; 0: the class's own
    coalesce: bool = False  # it may join a fill under way
    cached_only: bool = False  # the source gives only what it has
    parent_proxies: bool = False  # the source caches no copy
    renew: bool = False  # a stale copy is served and renewed afterwards


@dataclass(frozen=True, slots=True)
class Cancel:
    """Ends the wait for one attempt; its end still comes as an event."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: rejected; the client may retry without harm after `retry_after` seconds."""

    request: int
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed; nothing is promised about the effect."""

    request: int


@dataclass(slots=True)  # made for each request: a frozen one takes three times as long
class SetTimer:
    """Asks for TimerFired after `delay` seconds; timers cannot be taken back."""

    delay: float
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Asks an endpoint whether it is well."""

    endpoint: EndpointId


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Asks for changes of the list from now on, or stops them."""

    enable: bool = True


Action = Lookup | Fetch | Cancel | Reject | Fail | SetTimer | Probe | Subscribe
