"""Reads and validates a replica's configuration file. A front does not import this module."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import Meta

from zincladder.config import Address, ConfigError, parse_address
from zincladder.config.operator_tables import faulty_key

MS_PER_SECOND = 1000
MIN_RENEWALS_PER_LEASE = 3
# This many renewals have to fit in what is left of a lease after subtracting clock drift and 'act_s'.
MIN_RENEWALS_BEFORE_ACTION = 2
MIN_HEARTBEATS_PER_ELECTION = 4
# Allowed numbers of members of a new group; 0 for a replica that joins a running group. An even number is not
# allowed, because it tolerates no more failures than the odd number below it.
FOUNDER_COUNTS = (0, 1, 3, 5, 7)
T = TypeVar("T")
Identifier = Annotated[str, Meta(pattern=r"^[0-9A-Za-z_.-]{1,64}$")]
AddressText = Annotated[str, Meta(min_length=3)]


class LeaseTable(msgspec.Struct, forbid_unknown_fields=True):
    """[lease]: the timing of leases, in seconds."""

    seconds: Annotated[float, Meta(ge=0.5, le=3600)] = 5.0
    renew_s: Annotated[float, Meta(ge=0.05, le=600)] = 1.0
    drift: Annotated[float, Meta(ge=0.0001, le=0.2)] = 0.01
    check_s: Annotated[float, Meta(ge=0.1, le=600)] = 3.0
    clear_s: Annotated[float, Meta(ge=0.02, le=60)] = 0.3
    least: Annotated[float, Meta(ge=0, lt=1)] = 0.5
    patient_s: Annotated[float, Meta(ge=0, le=3600)] = 15.0
    act_s: Annotated[float, Meta(ge=0, le=60)] = 0.2


class ReplicaTable(msgspec.Struct, forbid_unknown_fields=True):
    """[keeper]: one replica of a group."""

    group: Identifier
    name: Identifier
    listen: AddressText
    directory: Annotated[str, Meta(min_length=1)]
    members: dict[Identifier, AddressText] = {}
    via: dict[Identifier, AddressText] = {}
    heartbeat_ms: Annotated[float, Meta(ge=5, le=10_000)] = 100.0
    election_ms: Annotated[float, Meta(ge=50, le=60_000)] = 1000.0
    metrics: str = ""


@dataclass(frozen=True, slots=True)
class ReplicaConfig:
    """The configuration of one replica of a group.

    `founders` are the addresses, by name, of the members with which the group is founded; empty for a replica
    that joins a running group. `address_overrides` are addresses, by name, that this process uses for other
    replicas instead of the ones in the group's membership.
    """

    group: str
    name: str
    listen: Address
    directory: Path
    founders: dict[str, str]
    address_overrides: dict[str, str]
    heartbeat_seconds: float
    election_timeout_seconds: float
    lease: LeaseTable
    metrics: Address | None  # where the metrics are served; None: they are not served


def _parse_address(address: str, key: str) -> Address:
    try:
        return parse_address(address)
    except ValueError:
        raise ConfigError(f"'{key}' must be an address like 127.0.0.1:7300, not {address[:40]!r}") from None


def _read_table(data: dict[str, Any], name: str, table_type: type[T]) -> T:
    try:
        return msgspec.convert(data.get(name, {}), table_type)
    except msgspec.ValidationError as error:
        path, reason = faulty_key(error, name)
        raise ConfigError(f"'{path}': {reason}") from None


def _check_lease(lease: LeaseTable) -> None:
    """Raises ConfigError if a lease leaves too little time for its renewals."""
    if lease.seconds < MIN_RENEWALS_PER_LEASE * lease.renew_s:
        raise ConfigError("'lease.seconds' must be at least three times 'renew_s'")
    if lease.seconds * (1 - lease.drift) - lease.act_s < MIN_RENEWALS_BEFORE_ACTION * lease.renew_s:
        raise ConfigError("'lease.act_s' must leave two times 'renew_s' of the lease")


def _check_replica(table: ReplicaTable) -> None:
    for key, addresses in (("members", table.members), ("via", table.via)):
        for name, address in addresses.items():
            _parse_address(address, f"keeper.{key}.{name}")
    if table.members and table.name not in table.members:
        raise ConfigError(f"'keeper.members' must name this keeper too, {table.name!r}")
    if len(table.members) not in FOUNDER_COUNTS:
        raise ConfigError("'keeper.members' must be 1, 3, 5 or 7 keepers: one more than that adds no safety")
    if table.election_ms < MIN_HEARTBEATS_PER_ELECTION * table.heartbeat_ms:
        raise ConfigError("'keeper.election_ms' must be at least four times 'heartbeat_ms'")


def parse_replica_config(data: dict[str, Any]) -> ReplicaConfig:
    """Returns the configuration, given its parsed TOML. Raises ConfigError for the first faulty key."""
    for name in data:
        if name not in ("keeper", "lease"):
            raise ConfigError(f"'{name}': there is no such table, only keeper and lease")
    table = _read_table(data, "keeper", ReplicaTable)
    lease = _read_table(data, "lease", LeaseTable)
    _check_lease(lease)
    _check_replica(table)
    return ReplicaConfig(
        group=table.group,
        name=table.name,
        listen=_parse_address(table.listen, "keeper.listen"),
        directory=Path(table.directory),
        founders=table.members,
        address_overrides=table.via,
        heartbeat_seconds=table.heartbeat_ms / MS_PER_SECOND,
        election_timeout_seconds=table.election_ms / MS_PER_SECOND,
        lease=lease,
        metrics=_parse_address(table.metrics, "keeper.metrics") if table.metrics else None,
    )
