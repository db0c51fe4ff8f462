"""The types of admission: sources, seats, lanes, verdicts and limits. Nothing here does I/O or reads a clock.

All times are seconds on one clock that the caller passes in; a step back of it changes nothing that is kept.
"""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass, field
from enum import Enum, IntEnum, auto
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from zincladder.admission.lrfu import LrfuSet

# The low byte of a key says what the rest of it is: a prefix of that length.
V4, V4_24, V4_16, V6_64, V6_48 = 1, 2, 3, 4, 5
ABOVE = {V4: (V4_24, 8), V4_24: (V4_16, 8), V6_64: (V6_48, 16)}  # the network around it, bits shorter
BITS = {V4: 32, V4_24: 24, V4_16: 16, V6_64: 64, V6_48: 48}
_ATON, _WORD = socket.inet_aton, struct.Struct(">I").unpack
MAPPED = b"\0" * 10 + b"\xff\xff"


def key_of(host: str) -> int:
    """The key of an address in text: IPv4 /32, IPv6 /64 (RFC 4291, 2.5.4). ValueError where it is neither."""
    try:
        if ":" not in host:
            return int(_WORD(_ATON(host))[0]) << 8 | V4
        packed = socket.inet_pton(socket.AF_INET6, host.partition("%")[0])
    except OSError:
        raise ValueError(f"not an address: {host[:50]!r}") from None
    if packed.startswith(MAPPED):  # RFC 4291, 2.5.5.2: a dual-stack socket's way to name an IPv4 peer
        return int.from_bytes(packed[12:], "big") << 8 | V4
    return int.from_bytes(packed[:8], "big") << 8 | V6_64


def above(key: int) -> int | None:
    """The key of the network around an address or network; None at the top."""
    found = ABOVE.get(key & 0xFF)
    return None if found is None else key >> 8 + found[1] << 8 | found[0]


def text_of(key: int) -> str:
    """A key as an operator writes it: '192.0.2.1', '192.0.2.0/24' or '2001:db8::/64'."""
    kind, bits = key & 0xFF, BITS[key & 0xFF]
    if kind in (V4, V4_24, V4_16):
        host = socket.inet_ntoa((key >> 8 << 32 - bits).to_bytes(4, "big"))
        return host if bits == 32 else f"{host}/{bits}"
    return socket.inet_ntop(socket.AF_INET6, (key >> 8 << 128 - bits).to_bytes(16, "big")) + f"/{bits}"


class PriorityLane(IntEnum):
    """How a source stands. Lower is better: when room is short, whoever is in a higher lane leaves first."""

    LISTED = 0  # in a network that the operator named
    KNOWN = 1  # earned by requests that were served, over some seconds
    NEW = 2
    LIMITED = 3  # under a penalty that ends by itself


class Verdict(Enum):
    """What is done with a connection that has come."""

    ADMIT = auto()
    WAIT = auto()  # it keeps its place for a moment: room is being made
    REJECT = auto()


class RejectionReason(Enum):
    """Why a connection was turned away, a request refused or a seat taken back; a label of the metrics."""

    NONE = "none"
    BLOCKED = "blocked"  # by the operator
    RATE_LIMIT = "rate"  # connections a second
    ADDRESS_CAP = "address_cap"
    NETWORK_CAP = "network_cap"
    RESERVED = "reserve"  # what is left is kept for known clients
    NO_CAPACITY = "full"
    OVER_SHARE = "share"  # more than its share of what may be open
    LOOP_LAGGING = "late"  # the loop is late
    READ_TIMEOUT = "overdue"  # it waited too long for its turn to be read
    SHUTTING_DOWN = "ending"  # this process ends
    NO_DESCRIPTOR = "exhausted"  # the system gave no descriptor


class Offense(Enum):
    """What a source did that counts against it."""

    MALFORMED = "garbled"
    STALLED = "stalled"
    ABANDONED = "abandoned"  # left, or took its request back, before it was answered
    OVERUSE = "pressing"  # kept asking past its share or its rate


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
    connections: int = 0  # for each address in it; 0: as many as there are
    rate: float = 0.0  # connections a second for each address; 0: any


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
    reserve: float = 0.4  # share of seats, open requests and unread bytes kept for known and listed sources
    max_sources: int = 8192  # addresses and networks that are remembered
    known_after_seconds: float = 3.0  # seconds with served requests in them that make a source known
    known_half_life_seconds: float = 600.0  # half-life of that
    penalty_seconds: float = 2.0  # seconds of the first one; each further one doubles it
    max_penalty_seconds: float = 300.0
    known_share: float = 0.6  # of the loop's time, while others wait
    new_share: float = 0.35
    max_pending: int = 8  # connections that may wait for a seat
    dns_rate: float = 100.0  # answers a second over UDP to one network
    dns_burst: int = 200
    max_dns_per_address: int = 8  # DNS connections over TCP
    networks: tuple[ListedNetwork, ...] = ()
    blocked: tuple[str, ...] = ()


class Source:
    """One address that has had a seat or a strike, and what it did lately.

    Not a dataclass: a flood makes thousands a second, and an instance holds only what differs from these.
    """

    home: LrfuSet | None = None  # where it waits to be forgotten; None while something holds it
    score: float = 0.0  # binary logarithm of its decayed count
    bucket: int = 0
    held: int = 0  # seats: it is not forgotten
    open: int = 0  # requests taken and not answered
    unread: int = 0  # bytes of answers that it has not read
    queued: int = 0  # messages that wait for their turn
    queued_at: float = 0.0  # since when some have, without a break
    queued_to: float = float("-inf")  # when none did any more
    used: float = 0.0  # loop seconds, decayed
    used_at: float = 0.0
    standing: float = 0.0
    standing_at: float = 0.0
    earned_at: float = float("-inf")
    pressed_at: float = float("-inf")
    strikes: float = 0.0
    strikes_at: float = 0.0
    level: float = 0.0  # penalties, decayed
    level_at: float = 0.0
    until: float = float("-inf")  # end of its penalty
    served: int = 0
    listed: ListedNetwork | None = None

    def __init__(self, key: int) -> None:
        self.key = key
        self.net = above(key) or key  # the network that its turn is shared with

    @property
    def seats(self) -> int:
        return self.held


@dataclass(slots=True, eq=False)
class ConnectionSlot:
    """A connection that was admitted."""

    source: Source
    lane: PriorityLane
    since: float
    spoke: bool = False  # a whole message has come
    open: int = 0
    unread: int = 0
    asked_at: float = 0.0  # since when it waits to be read; 0: it does not
    row: dict[ConnectionSlot, float] | None = None  # where it may be evicted from
    leaving: bool = False  # it has been asked to go, and its descriptor is not free yet


@dataclass(slots=True)
class Decision:
    """What becomes of a connection; `evict` is the seat that makes room for it."""

    verdict: Verdict
    reason: RejectionReason = RejectionReason.NONE
    key: int = 0
    lane: PriorityLane = PriorityLane.NEW
    evict: ConnectionSlot | None = None


@dataclass(slots=True)
class AdmissionCounters:
    """What admission did so far, for the metrics: counts by lane and by cause, of which there are few."""

    admitted: list[int] = field(default_factory=lambda: [0] * len(PriorityLane))
    rejected_connections: dict[str, int] = field(default_factory=dict)  # by the value of a Why
    rejected_requests: dict[str, int] = field(default_factory=dict)
    evicted: list[int] = field(default_factory=lambda: [0] * len(PriorityLane))
    waits: list[int] = field(default_factory=lambda: [0] * len(PriorityLane))
    penalties: int = 0
