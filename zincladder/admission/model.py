"""The types of admission: sources, connection slots, priority lanes, decisions and limits.

Nothing here does I/O or reads a clock. All times are seconds on one clock that the caller passes in.
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
    """The standing of a source. Lower is better: sources in higher lanes are evicted first."""

    LISTED = 0  # in a network that the operator named
    KNOWN = 1  # earned by requests that were served, over some seconds
    NEW = 2
    LIMITED = 3  # under a penalty that ends by itself


class Verdict(Enum):
    """What is done with a connection that was accepted from the system's queue."""

    ADMIT = auto()
    WAIT = auto()  # it stays pending for a moment: an idle connection is being closed
    REJECT = auto()


class RejectionReason(Enum):
    """Why a connection or request was rejected or a slot taken back; the value is a label of the metrics."""

    NONE = "none"
    BLOCKED = "blocked"  # by the operator
    RATE_LIMIT = "rate"  # connections a second
    ADDRESS_CAP = "address_cap"
    NETWORK_CAP = "network_cap"
    RESERVED = "reserve"  # what is left is reserved for known clients
    NO_CAPACITY = "full"
    OVER_SHARE = "share"  # more than its share of what may be open
    LOOP_LAGGING = "late"  # the event loop runs late
    READ_TIMEOUT = "overdue"  # a message waited too long to be read
    SHUTTING_DOWN = "ending"
    NO_DESCRIPTOR = "exhausted"  # the system gave no descriptor


class Offense(Enum):
    """What a source did that counts against it."""

    MALFORMED = "garbled"
    STALLED = "stalled"
    ABANDONED = "abandoned"  # it left, or withdrew its request, before it was answered
    OVERUSE = "pressing"  # it kept asking past its share or its rate


# Strikes that each offense adds.
STRIKES_FOR_OFFENSE = {
    Offense.MALFORMED: 2.0,
    Offense.STALLED: 1.0,
    Offense.ABANDONED: 0.25,
    Offense.OVERUSE: 0.5,
}


@dataclass(frozen=True, slots=True)
class ListedNetwork:
    """A network that the operator listed, with caps of its own."""

    net: str  # as in '10.0.0.0/8'
    connections: int = 0  # for each address in it; 0: no cap
    rate: float = 0.0  # connections a second for each address; 0: no limit


@dataclass(frozen=True)
class AdmissionLimits:
    """What the operator may set; the defaults suit a front with 256 descriptors or more."""

    max_per_address: int = 64  # connections of one address that is not known
    max_per_network: int = 128  # of a /24 or /48
    max_known_per_address: int = 128
    rate: float = 50.0  # connections a second of one address that is not known, four times that once it is
    burst: int = 100
    network_rate: float = 200.0  # of a /24 or /48; four times that of a /16
    network_burst: int = 400
    reserve: float = 0.4  # share of slots, open requests and unread bytes kept for known and listed sources
    max_sources: int = 8192  # addresses that are remembered
    known_after_seconds: float = 3.0  # with served requests in them, until a source is known
    known_half_life_seconds: float = 600.0
    penalty_seconds: float = 2.0  # of the first one; each further one doubles it
    max_penalty_seconds: float = 300.0
    known_share: float = 0.6  # of the loop's time, while others wait
    new_share: float = 0.35
    max_pending: int = 8  # connections that may wait for a slot
    dns_rate: float = 100.0  # answers a second over UDP to one network
    dns_burst: int = 200
    max_dns_per_address: int = 8  # DNS connections over TCP
    networks: tuple[ListedNetwork, ...] = ()
    blocked: tuple[str, ...] = ()


class Source:
    """One address that has had a slot or a strike, and what it did lately.

    Not a dataclass: a flood makes thousands a second, and an instance holds only what differs from the
    defaults of the class.
    """

    forgettable_in: LrfuSet | None = None  # where it waits to be forgotten; None while it has slots
    score: float = 0.0  # binary logarithm of its decayed count
    bucket: int = 0
    slot_count: int = 0
    open_requests: int = 0
    unread_bytes: int = 0  # of answers that it has not read
    waiting_messages: int = 0  # that wait for their turn to be read
    waiting_since: float = 0.0  # since when some have, without a break
    last_waited_at: float = NEVER
    loop_seconds: float = 0.0  # that it used, decayed
    loop_seconds_at: float = 0.0
    reputation: float = 0.0  # points earned by served requests, decayed
    reputation_at: float = 0.0
    last_earned_at: float = NEVER
    last_overuse_at: float = NEVER
    strikes: float = 0.0
    strikes_at: float = 0.0
    penalty_level: float = 0.0  # penalties, decayed
    penalty_level_at: float = 0.0
    penalty_until: float = NEVER
    served: int = 0  # requests
    listed_as: ListedNetwork | None = None

    def __init__(self, key: int) -> None:
        self.key = key
        self.network_key = enclosing_key(key) or key  # the network with which it shares its turn


@dataclass(slots=True, eq=False)
class ConnectionSlot:
    """The place of one admitted connection."""

    source: Source
    lane: PriorityLane
    opened_at: float
    has_sent_message: bool = False
    open_requests: int = 0
    unread_bytes: int = 0
    waiting_since: float = 0.0  # since when its next message waits to be read; 0: none does
    idle_list: dict[ConnectionSlot, float] | None = None  # from which it may be evicted
    evicting: bool = False  # its connection was asked to close, and its descriptor is not free yet


class Eviction(NamedTuple):
    """A slot to be taken back."""

    slot: ConnectionSlot
    reason: RejectionReason


@dataclass(slots=True)
class Decision:
    """What becomes of a connection."""

    verdict: Verdict
    reason: RejectionReason = RejectionReason.NONE
    key: int = 0  # of its source
    lane: PriorityLane = PriorityLane.NEW
    evict: ConnectionSlot | None = None  # the slot that makes room for it


@dataclass(slots=True)
class AdmissionCounters:
    """What admission did so far, for the metrics: counts by lane, or by the value of a RejectionReason."""

    admitted: list[int] = field(default_factory=lambda: [0] * len(PriorityLane))
    rejected_connections: dict[str, int] = field(default_factory=dict)
    rejected_requests: dict[str, int] = field(default_factory=dict)
    evicted: list[int] = field(default_factory=lambda: [0] * len(PriorityLane))
    waits: list[int] = field(default_factory=lambda: [0] * len(PriorityLane))
    penalties: int = 0
