"""What goes into a Router and what comes out: types only, no logic.

Times are seconds on the caller's clock, sizes are KB. A member id is opaque: bytes that the caller
gives and gets back unchanged; nothing may be read out of it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum

EndpointId = bytes
EndpointIds = set[EndpointId]


class Idempotency(Enum):
    """What happens if a request of a class runs twice."""

    IDEMPOTENT = "safe"
    WITH_KEY = "keyed"
    NONE = "unsafe"


class Scope(Enum):
    """Among which members, from one on, the repeats of a keyed request are dropped."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class PeerFill(Enum):
    """Which other caches may be named as the source of a fill."""

    OFF = "off"
    LOCATION = "location"
    ANY = "any"


class EndpointState(IntEnum):
    """What the list says of a member."""

    GONE = 0
    READY = 1
    DRAINING = 2


class UpdateKind(IntEnum):
    """How a list event relates to the list held so far."""

    DELTA = 0
    FULL = 1
    FAILED = 3
    CACHED = 4


class AttemptOutcome(IntEnum):
    """How an attempt ended."""

    ERROR = 0
    OK = 1
    REJECTED = 2
    TIMED_OUT = 3
    UNREACHABLE = 4
    RESET = 5
    CANCELLED = 6
    NOT_SENT = 7
    MISS = 8


class FillOutcome(IntEnum):
    """What the answer tells about the copy or the fill."""

    NONE = 0
    HIT = 1
    FILLED = 2
    FILLED_VIA_ORIGIN = 3
    COALESCED = 4
    STALE = 5
    SOURCE_REJECTED = 6
    SOURCE_FAILED = 7
    SOURCE_MISS = 8
    NO_FILL_SLOT = 9
    ORIGIN_FAILED = 10


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests."""

    latency_objective: float
    timeout: float
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    objective_per_transfer: float = 0.0
    priority_weight: float = 1.0
    late_weight: float = 0.0
    scope: Scope = Scope.ALL
    deduplication_window: float = 0.0
    streamed: bool = False
    fresh_seconds: float = 0.0
    stale_if_error_seconds: float = 0.0
    stale_weight: float = 0.0
    uncacheable: bool = False
    partitioned: bool = False


@dataclass(frozen=True, slots=True)
class SlowStart:
    """How a kind of member behaves after its start, and what pushes it over."""

    initial_share: float
    duration: float
    overload_factor: float
    overload_seconds: float


@dataclass(frozen=True, slots=True)
class Settings:
    """What a router is told at its start."""

    classes: tuple[RequestClass, ...]
    zone: int
    routers_by_zone: tuple[int, ...]
    routers: int
    instance: int = 0
    parent_kind: int = -1
    origin_kind: int = -1
    hub_of_zone: tuple[int, ...] = ()
    link_kb_per_s: tuple[float, ...] = ()
    client_kb_per_s: float = 0.0
    cache_slow_start: SlowStart = SlowStart(1.0, 0.0, 0.0, 1.0)
    parent_slow_start: SlowStart = SlowStart(1.0, 0.0, 0.0, 1.0)
    drain_grace: float = 0.0
    answer_slack: float = 0.0
    purge_grace: float = 0.0
    purge_done: float = 0.0
    max_attempts: int = 1
    connect_timeout: float = 0.0
    may_cancel: bool = False
    hedged_requests: bool = False
    probes: bool = False
    retry_after: bool = False
    max_retry_after: float = 0.0
    may_bypass_caches: bool = False
    coalesces_fills: bool = False
    fill_faults_reported: bool = True  # a failed fill's note says whether its source was at fault
    peer_fill: PeerFill = PeerFill.OFF
    origin_overload_factor: float = 0.0
    origin_overload_seconds: float = 0.0
    weights_known: bool = False
    must_subscribe: bool = False
    subscribe_within: float = 0.0
    report_names: tuple[str, ...] = ()
    load_by_health_check: bool = False
    clients_mark_retries: bool = False


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One line of the list: a cache, a parent or the origin."""

    id: EndpointId
    kind: int
    zone: int
    state: EndpointState = EndpointState.READY
    weight: float = 1.0
    cell: int = 0
    started_at: float = 0.0


# Events -------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """News of the members: the whole list, or changes to it."""

    kind: UpdateKind
    version: int
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(slots=True)  # made for each request: a frozen one takes three times as long
class Request:
    """A client's request; `due` is when the client gives this try up."""

    id: int
    object: int
    group: int
    part: int
    request_class: int
    size_kb: float
    deadline: float
    repeat: bool = False
    write: bool = False
    tenant: int = 0


@dataclass(frozen=True, slots=True)
class AnswerStarted:
    """A streamed answer has begun; the attempt now belongs to the client."""

    request: int
    attempt: int
    endpoint: EndpointId
    latency: float


@dataclass(slots=True)  # made for each request: a frozen one takes three times as long
class AttemptEnded:
    """The one outcome of an attempt; `closed` says that the request is over."""

    request: int
    attempt: int
    endpoint: EndpointId
    outcome: AttemptOutcome
    latency: float
    closed: bool = False
    fill_outcome: FillOutcome = FillOutcome.NONE
    fill_wait: float = 0.0
    report: tuple[float, ...] = ()


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
    """A timer set by the router has come due."""

    token: int


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """The result of one probe."""

    endpoint: EndpointId
    outcome: AttemptOutcome
    latency: float
    report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Bytes from a fellow router."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """Other settings from now on. `learned` gives for each class whose figures it goes on with, or -1."""

    settings: Settings
    learned: tuple[int, ...]


Event = (
    EndpointUpdate
    | Request
    | AnswerStarted
    | AttemptEnded
    | ClientDisconnected
    | Purged
    | TimerFired
    | ProbeEnded
    | PeerMessage
    | SettingsChanged
)


# Actions ------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Lookup:
    """An attempt that takes a fresh copy if the member has one; nothing is filled. The origin has all."""

    request: int
    endpoint: EndpointId
    time_out: float = 0.0


@dataclass(slots=True)  # made for each request: a frozen one takes three times as long
class Fetch:
    """An attempt with orders for a miss; source equal to member means no fill, keep 0 keeps no copy."""

    request: int
    endpoint: EndpointId
    source: EndpointId
    cache_rank: int
    max_age: float = 0.0
    coalesce: bool = False
    cached_only: bool = False
    parent_proxies: bool = False
    renew: bool = False
    time_out: float = 0.0


@dataclass(frozen=True, slots=True)
class Cancel:
    """Ends the wait on one attempt; its outcome still comes."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: turned away, harmless to retry after `retry_after` seconds."""

    request: int
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed; nothing is promised about the effect."""

    request: int


@dataclass(slots=True)  # made for each request: a frozen one takes three times as long
class SetTimer:
    """Asks for TimerFired after `delay`; timers cannot be taken back."""

    delay: float
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Asks a member whether it is well."""

    endpoint: EndpointId


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Closes idle connections to a member."""

    endpoint: EndpointId


@dataclass(frozen=True, slots=True)
class Tell:
    """Bytes for one fellow router, or for all where `receiver` is None."""

    receiver: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Asks for changes of the list from now on, or stops them."""

    enable: bool = True


@dataclass(frozen=True, slots=True)
class ReadList:
    """Asks for the whole list once."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the operators."""

    text: str


Action = (
    Lookup | Fetch | Cancel | Reject | Fail | SetTimer | Probe | CloseIdle | Tell | Subscribe | ReadList | Log
)
