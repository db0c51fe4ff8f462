"""Defines the tables of the operator's file as msgspec structs, and finds the key that makes one invalid."""

from __future__ import annotations

import re
from typing import Annotated, Any, Literal, TypeVar

import msgspec
from msgspec import Meta

from zincladder.admission.model import AdmissionLimits
from zincladder.config.errors import ConfigError

T = TypeVar("T")
NonNegativeInteger = Annotated[int, Meta(ge=0)]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
PositiveNumber = Annotated[float, Meta(gt=0)]
Share = Annotated[float, Meta(ge=0, le=0.9)]


class HostTable(msgspec.Struct, forbid_unknown_fields=True):
    """[[dns.host]]: a host name of the DNS front, and the request by which its address is chosen."""

    name: str
    request_class: str = msgspec.field(name="class")
    object: str = "0"
    group: Annotated[int, Meta(ge=0, le=255)] = 0


class DnsTable(msgspec.Struct, forbid_unknown_fields=True):
    """[dns]: the DNS front."""

    listen: str
    zone: str
    host: list[HostTable]
    deadline_ms: PositiveNumber = 250.0


class MetricsTable(msgspec.Struct, forbid_unknown_fields=True):
    """[metrics]: the HTTP endpoint that serves the metrics."""

    listen: str


class RemoteWriteTable(msgspec.Struct, forbid_unknown_fields=True):
    """[remote_write], or [[remote_write]] for several: remote-write receivers of samples."""

    url: str
    every_s: PositiveNumber = 15.0
    queue_kb: Annotated[int, Meta(ge=16, le=1 << 20)] = 1024
    spool: Annotated[str, Meta(min_length=1)] | None = None
    spool_mb: Annotated[int, Meta(ge=1, le=1 << 16)] = 64
    version: Annotated[int, Meta(ge=1, le=2)] = 2
    replay_kb_per_s: PositiveNumber = 1000.0


class ControlTable(msgspec.Struct, forbid_unknown_fields=True):
    """[control]: the unix socket for operators' commands."""

    socket: Annotated[str, Meta(min_length=1, max_length=100)]  # sockaddr_un holds at most 108 bytes


class PolicyTable(msgspec.Struct, forbid_unknown_fields=True):
    """[policy]: the replicas that hold the fleet's policy."""

    group: Annotated[str, Meta(min_length=1, max_length=64)]
    keepers: dict[str, str]
    cut_off: Literal["stop", "go_on"] = "stop"


class FiguresTable(msgspec.Struct, forbid_unknown_fields=True):
    """[duties.figures]: the remote-write receiver of the fleet's summed metrics."""

    url: str
    every_s: Annotated[float, Meta(ge=0.2, le=3600)] = 15.0
    version: Annotated[int, Meta(ge=1, le=2)] = 2


class DutiesTable(msgspec.Struct, forbid_unknown_fields=True):
    """[duties]: the singleton tasks of the fleet that this front offers to run."""

    group: Annotated[str, Meta(min_length=1, max_length=64)]
    keepers: dict[str, str]
    wants: list[Literal["figures"]] = []
    figures: FiguresTable | None = None


class NetworkTable(msgspec.Struct, forbid_unknown_fields=True):
    """[[admission.network]]: a network that has limits of its own."""

    net: str
    connections: NonNegativeInteger = 0
    rate: Annotated[float, Meta(ge=0)] = 0.0


class AdmissionTable(msgspec.Struct, forbid_unknown_fields=True):
    """[admission]: admission control by source; the defaults are those of AdmissionLimits."""

    enabled: bool = True
    per_address: Count = AdmissionLimits.max_per_address
    per_network: Count = AdmissionLimits.max_per_network
    dns_rate: PositiveNumber = AdmissionLimits.dns_rate
    dns_burst: Count = AdmissionLimits.dns_burst
    dns_per_address: Count = AdmissionLimits.max_dns_per_address
    known_per_address: Count = AdmissionLimits.max_known_per_address
    rate: PositiveNumber = AdmissionLimits.rate
    burst: Count = AdmissionLimits.burst
    network_rate: PositiveNumber = AdmissionLimits.network_rate
    network_burst: Count = AdmissionLimits.network_burst
    reserve: Share = AdmissionLimits.reserve
    sources: Annotated[int, Meta(ge=256, le=1_000_000)] = AdmissionLimits.max_sources
    known_after_s: Annotated[float, Meta(ge=1, le=60)] = AdmissionLimits.known_after_seconds
    known_for_s: PositiveNumber = AdmissionLimits.known_half_life_seconds
    penalty_s: PositiveNumber = AdmissionLimits.penalty_seconds
    penalty_most_s: PositiveNumber = AdmissionLimits.max_penalty_seconds
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
# Parts of the texts of msgspec's errors: the path at the end, and the name of a missing or unknown field.
ERROR_PATH_PATTERN = re.compile(r" - at `\$(.*)`$")
ERROR_FIELD_PATTERN = re.compile(r"Object (?:missing required|contains unknown) field `([^`]*)`")


def read_table(data: dict[str, Any], name: str, table_type: type[T]) -> T | None:
    """Returns the table `name` of a file; None if there is none. Raises ConfigError if it is invalid."""
    if name not in data:
        return None
    try:
        return msgspec.convert(data[name], table_type)
    except msgspec.ValidationError as error:
        key, reason = faulty_key(error, name)
        raise ConfigError(f"'{key}': {reason}") from None


def faulty_key(error: msgspec.ValidationError, table: str) -> tuple[str, str]:
    """Returns the path of the faulty key of a table, and the reason why it is faulty."""
    message = str(error)
    path_match = ERROR_PATH_PATTERN.search(message)
    path = table + (path_match.group(1) if path_match else "")
    reason = message[: path_match.start()] if path_match else message
    if field_match := ERROR_FIELD_PATTERN.match(reason):
        path = f"{path}.{field_match.group(1)}"
        reason = "it is missing" if "missing" in reason else "there is no such key"
    return path, reason
