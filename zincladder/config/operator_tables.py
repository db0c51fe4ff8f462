"""The tables of the operator's file as msgspec structs, and the key that a fault in one is about."""

from __future__ import annotations

import re
from typing import Annotated, Any, Literal, TypeVar

import msgspec
from msgspec import Meta

from zincladder.admission.model import AdmissionLimits
from zincladder.config.errors import ConfigError

T = TypeVar("T")
Whole = Annotated[int, Meta(ge=0)]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
Positive = Annotated[float, Meta(gt=0)]
Share = Annotated[float, Meta(ge=0, le=0.9)]


class HostTable(msgspec.Struct, forbid_unknown_fields=True):
    """[[dns.host]]: one host name of the DNS front, and the request that it stands for."""

    name: str
    request_class: str = msgspec.field(name="class")
    object: str = "0"
    group: Annotated[int, Meta(ge=0, le=255)] = 0


class DnsTable(msgspec.Struct, forbid_unknown_fields=True):
    """[dns]: the DNS front."""

    listen: str
    zone: str
    host: list[HostTable]
    deadline_ms: Positive = 250.0


class MetricsTable(msgspec.Struct, forbid_unknown_fields=True):
    """[metrics]: the HTTP endpoint of the metrics."""

    listen: str


class RemoteWriteTable(msgspec.Struct, forbid_unknown_fields=True):
    """[remote_write], or [[remote_write]] for several: receivers of samples."""

    url: str
    every_s: Positive = 15.0
    queue_kb: Annotated[int, Meta(ge=16, le=1 << 20)] = 1024
    spool: Annotated[str, Meta(min_length=1)] | None = None
    spool_mb: Annotated[int, Meta(ge=1, le=1 << 16)] = 64
    version: Annotated[int, Meta(ge=1, le=2)] = 2
    replay_kb_per_s: Positive = 1000.0


class ControlTable(msgspec.Struct, forbid_unknown_fields=True):
    """[control]: the control socket."""

    socket: Annotated[str, Meta(min_length=1, max_length=100)]  # sockaddr_un holds 108 bytes


class PolicyTable(msgspec.Struct, forbid_unknown_fields=True):
    """[policy]: the fleet's policy."""

    group: Annotated[str, Meta(min_length=1, max_length=64)]
    keepers: dict[str, str]
    cut_off: Literal["stop", "go_on"] = "stop"


class FiguresTable(msgspec.Struct, forbid_unknown_fields=True):
    """[duties.figures]: the receiver of the fleet's sums."""

    url: str
    every_s: Annotated[float, Meta(ge=0.2, le=3600)] = 15.0
    version: Annotated[int, Meta(ge=1, le=2)] = 2


class DutiesTable(msgspec.Struct, forbid_unknown_fields=True):
    """[duties]: the fleet's singleton tasks."""

    group: Annotated[str, Meta(min_length=1, max_length=64)]
    keepers: dict[str, str]
    wants: list[Literal["figures"]] = []
    figures: FiguresTable | None = None


class NetworkTable(msgspec.Struct, forbid_unknown_fields=True):
    """[[admission.network]]: a network with limits of its own."""

    net: str
    connections: Whole = 0
    rate: Annotated[float, Meta(ge=0)] = 0.0


class AdmissionTable(msgspec.Struct, forbid_unknown_fields=True):
    """[admission]: admission by source; the defaults are those of Limits."""

    enabled: bool = True
    per_address: Count = AdmissionLimits.max_per_address
    per_network: Count = AdmissionLimits.max_per_network
    dns_rate: Positive = AdmissionLimits.dns_rate
    dns_burst: Count = AdmissionLimits.dns_burst
    dns_per_address: Count = AdmissionLimits.max_dns_per_address
    known_per_address: Count = AdmissionLimits.max_known_per_address
    rate: Positive = AdmissionLimits.rate
    burst: Count = AdmissionLimits.burst
    network_rate: Positive = AdmissionLimits.network_rate
    network_burst: Count = AdmissionLimits.network_burst
    reserve: Share = AdmissionLimits.reserve
    sources: Annotated[int, Meta(ge=256, le=1_000_000)] = AdmissionLimits.max_sources
    known_after_s: Annotated[float, Meta(ge=1, le=60)] = AdmissionLimits.known_after_seconds
    known_for_s: Positive = AdmissionLimits.known_half_life_seconds
    penalty_s: Positive = AdmissionLimits.penalty_seconds
    penalty_most_s: Positive = AdmissionLimits.max_penalty_seconds
    known_share: Share = AdmissionLimits.known_share
    new_share: Share = AdmissionLimits.new_share
    lobby: Annotated[int, Meta(ge=0, le=64)] = AdmissionLimits.max_pending
    network: list[NetworkTable] = []
    blocked: list[str] = []


TABLES: dict[str, Any] = {
    "dns": DnsTable,
    "metrics": MetricsTable,
    "remote_write": RemoteWriteTable,
    "admission": AdmissionTable,
    "control": ControlTable,
    "policy": PolicyTable,
    "duties": DutiesTable,
}
# What msgspec says of a fault: its place behind the text, and the field where one is missing or unknown.
PLACE = re.compile(r" - at `\$(.*)`$")
FIELD = re.compile(r"Object (?:missing required|contains unknown) field `([^`]*)`")


def read_table(data: dict[str, Any], name: str, kind: type[T]) -> T | None:
    """The table `name` of a file, or None where there is none. Raises ConfigError with the faulty key."""
    if name not in data:
        return None
    try:
        return msgspec.convert(data[name], kind)
    except msgspec.ValidationError as error:
        key, reason = faulty_key(error, name)
        raise ConfigError(f"'{key}': {reason}") from None


def faulty_key(error: msgspec.ValidationError, table: str) -> tuple[str, str]:
    """The path of the faulty key of a table, and what is wrong with it."""
    message = str(error)
    place = PLACE.search(message)
    path = table + (place.group(1) if place else "")
    reason = message[: place.start()] if place else message
    if field := FIELD.match(reason):
        path = f"{path}.{field.group(1)}"
        reason = "it is missing" if "missing" in reason else "there is no such key"
    return path, reason
