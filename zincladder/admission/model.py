"""The data types of admission: sources, connection slots, priority lanes, decisions and limits.

Nothing here does I/O or reads a clock. All times are in seconds on one clock, which the caller reads.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, IntEnum, auto
from typing import TYPE_CHECKING, NamedTuple

from zincladder.admission.source_key import enclosing_key

if TYPE_CHECKING:
    from zincladder.admission.lrfu import LrfuSet

NEVER = float("-inf")


class PriorityLane(IntEnum):
    """The priority of a source. Connections in the lane with the highest value are evicted first."""

    LISTED = 0  # the source is in a network that the operator listed
    KNOWN = 1  # the source's requests were served over several seconds
    NEW = 2
    LIMITED = 3  # the source is under a penalty, which expires by itself


class Verdict(Enum):
    """What happens to a connection that was accepted from the kernel's accept queue."""

    ADMIT = auto()
    WAIT = auto()  # it stays pending for a short time, in which an idle connection may be closed
    REJECT = auto()


class RejectionReason(Enum):
    """Why a connection or request was rejected or a slot was evicted; the value is a metric label."""

    NONE = "none"
    BLOCKED = "blocked"  # the operator has blocked the source
    RATE_LIMIT = "rate"  # too many new connections per second
    ADDRESS_CAP = "address_cap"
    NETWORK_CAP = "network_cap"
    RESERVED = "reserve"  # the remaining slots are reserved for known and listed sources
    NO_CAPACITY = "full"
    OVER_SHARE = "share"  # the client has its fair share of open requests or unread bytes already
    LOOP_LAGGING = "late"  # the event loop runs late
    READ_TIMEOUT = "overdue"  # a message waited too long to be read
    SHUTTING_DOWN = "ending"
    NO_DESCRIPTOR = "exhausted"  # the process has no file descriptor left


class Offense(Enum):
    """Misbehavior of a source, for which it gets strikes."""

    MALFORMED = "garbled"
    STALLED = "stalled"
    ABANDONED = "abandoned"  # the client disconnected or cancelled its request before the answer
    OVERUSE = "pressing"  # the source kept exceeding its share or its connection rate


STRIKES_FOR_OFFENSE = {
    Offense.MALFORMED: 2.0,
    Offense.STALLED: 1.0,
    Offense.ABANDONED: 0.25,
    Offense.OVERUSE: 0.5,
}


@dataclass(frozen=True, slots=True)
class ListedNetwork:
    """A network that the operator listed, with its own limits."""

    net: str  # for example '10.0.0.0/8'
    connections: int = 0  # maximum for each address in the network; 0 means no limit
    rate: float = 0.0  # new connections per second for each address; 0 means no limit


@dataclass(frozen=True)
class AdmissionLimits:
    """Limits that the operator may set; the defaults suit a front with 256 descriptors or more."""

    max_per_address: int = 64  # connections of one address in the NEW lane
    max_per_network: int = 128  # connections from one /24 or /48 before NEW addresses in it are rejected
    max_known_per_address: int = 128
    rate: float = 50.0  # new connections per second of a NEW address; a KNOWN one may have four times this
    burst: int = 100
    network_rate: float = 200.0  # new connections per second of a /24 or /48; a /16 may have four times this
    network_burst: int = 400
    reserve: float = 0.4  # part of slots, open requests and unread bytes for known and listed sources only
    max_sources: int = 8192  # addresses whose history is kept
    known_after_seconds: float = 3.0  # points, one per second with a served request, that make a source KNOWN
    known_half_life_seconds: float = 600.0
    penalty_seconds: float = 2.0  # length of the first penalty; each further one is twice as long
    max_penalty_seconds: float = 300.0
    known_share: float = 0.6  # fraction of event loop time while other lanes have messages waiting
    new_share: float = 0.35
    max_pending: int = 8  # connections that may wait for a slot
    dns_rate: float = 100.0  # UDP answers per second to one network
    dns_burst: int = 200
    max_dns_per_address: int = 8  # DNS connections over TCP
    networks: tuple[ListedNetwork, ...] = ()
    blocked: tuple[str, ...] = ()


class Source:
    """An address that has had a slot or a strike, with its recent behavior.

    A decayed value is accompanied by the time of its last update, in the attribute whose name ends in `_at`.
    Not a dataclass, because a flood creates thousands per second: an instance stores only the attributes that
    differ from the class's defaults.
    """

    lrfu_set: LrfuSet | None = None  # the set from which it may be removed; None while it has slots
    score: float = 0.0  # binary logarithm of the decayed access count (see `LrfuSet`)
    bucket: int = 0  # index in `lrfu_set`
    slot_count: int = 0
    open_requests: int = 0
    unread_bytes: int = 0  # answer bytes that the clients have not read
    waiting_messages: int = 0  # messages that wait to be read
    waiting_since: float = 0.0  # when the current uninterrupted period of waiting messages began
    last_waited_at: float = NEVER
    loop_seconds: float = 0.0  # event loop time used, decayed
    loop_seconds_at: float = 0.0
    reputation: float = 0.0  # points earned by served requests, decayed
    reputation_at: float = 0.0
    last_earned_at: float = NEVER
    last_overuse_at: float = NEVER
    strikes: float = 0.0  # decayed
    strikes_at: float = 0.0
    penalty_level: float = 0.0  # number of penalties, decayed
    penalty_level_at: float = 0.0
    penalty_until: float = NEVER
    served: int = 0  # number of served requests
    listed_network: ListedNetwork | None = None

    def __init__(self, key: int) -> None:
        self.key = key
        # New and limited sources of one network share a flow of the read queue.
        self.network_key = enclosing_key(key) or key


@dataclass(slots=True, eq=False)
class ConnectionSlot:
    """The state of one admitted connection."""

    source: Source
    lane: PriorityLane
    has_sent_message: bool = False
    open_requests: int = 0
    unread_bytes: int = 0
    waiting_since: float = 0.0  # when its next message began to wait to be read; 0 if no message waits
    idle_list: dict[ConnectionSlot, float] | None = None  # the list of evictable slots that holds it, if any
    evicting: bool = False  # the connection is to be closed, but its descriptor is not free yet


class Eviction(NamedTuple):
    """A slot whose connection has to be closed, and why."""

    slot: ConnectionSlot
    reason: RejectionReason


@dataclass(slots=True)
class Decision:
    """The verdict on a connection."""

    verdict: Verdict
    reason: RejectionReason = RejectionReason.NONE
    key: int = 0  # key of the connection's source
    lane: PriorityLane = PriorityLane.NEW
    evict: ConnectionSlot | None = None  # the slot whose connection is to be closed to make room


@dataclass(slots=True)
class AdmissionCounters:
    """Counters for the metrics; lists are indexed by lane, dicts by the value of a `RejectionReason`."""

    admitted: list[int] = field(default_factory=lambda: [0] * len(PriorityLane))
    rejected_connections: dict[str, int] = field(default_factory=dict)
    rejected_requests: dict[str, int] = field(default_factory=dict)
    evicted: list[int] = field(default_factory=lambda: [0] * len(PriorityLane))
    waits: list[int] = field(default_factory=lambda: [0] * len(PriorityLane))
    penalties: int = 0
