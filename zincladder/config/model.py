"""The types of the configuration. Durations are in seconds, sizes in bytes, unless a name says otherwise."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from zincladder.admission.model import AdmissionLimits
from zincladder.routing import interface as api

Address = tuple[str, int]  # host and port

MAX_BODY_BYTES = 240_000  # limit of a cache's answer, which holds one part of an object


@dataclass(frozen=True, slots=True)
class Names:
    """The names that the settings list; the rest of the file refers to a name by its index in its list."""

    classes: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one front, as read from its file."""

    name: str
    listen: Address
    coordinator: Address | None
    control: Address | None  # the TCP address at which READY and STATS are answered
    seed: int
    memory_mb: int
    sockets: int
    settings: api.Settings
    names: Names
    idle_close_seconds: float  # an idle connection to a cache is closed after this time
    max_streams: int  # maximum number of open requests on one connection to a cache
    max_open_requests: int
    max_message_bytes: int  # limit on what the messages of all clients and caches hold, in bytes
    known_events: dict[str, Any]  # the coordinator's events up to the start of the front
    raw: dict[str, Any] = field(default_factory=dict, repr=False, compare=False)  # the file without 'known'


@dataclass(frozen=True, slots=True)
class DnsHost:
    """A host name of the DNS front, and the request by which its address is chosen."""

    name: str
    request_class: int
    object: int
    group: int


@dataclass(frozen=True, slots=True)
class DnsConfig:
    """The configuration of the DNS front; a query that exceeds the timeout is answered with SERVFAIL."""

    listen: Address
    zone: str
    timeout_seconds: float
    hosts: tuple[DnsHost, ...]


@dataclass(frozen=True, slots=True)
class RemoteWriteConfig:
    """One remote-write receiver of samples, and the limits of what is stored while it is unavailable."""

    host: str
    port: int
    path: str
    interval_seconds: float = 15.0  # between two batches of samples
    max_memory_bytes: int = 1 << 20
    spool_folder: str | None = None  # None: batches are queued in memory only
    max_spool_bytes: int = 64 << 20
    version: int = 2  # version of the remote-write protocol that the sender uses first
    replay_bytes_per_s: float = 1e6


@dataclass(frozen=True, slots=True)
class PolicyConfig:
    """The replicas that hold the fleet's policy, and whether the front serves while cut off from them."""

    group: str
    replicas: dict[str, str]  # addresses by name of the replica
    serves_when_cut_off: bool = False


@dataclass(frozen=True, slots=True)
class TasksConfig:
    """The replicas that lease singleton tasks, and the tasks that this front offers to run."""

    group: str
    replicas: dict[str, str]  # addresses by name of the replica
    offered: tuple[str, ...]
    metrics_receiver: RemoteWriteConfig | None = None  # for the task that pushes the fleet's summed metrics


@dataclass(frozen=True, slots=True)
class Operator:
    """The operator's file, which enables the optional features; a missing table leaves its feature off."""

    dns: DnsConfig | None = None
    metrics: Address | None = None
    remote_write: tuple[RemoteWriteConfig, ...] = ()
    admission: AdmissionLimits | None = None
    control: str | None = None  # the path of the control socket
    policy: PolicyConfig | None = None
    tasks: TasksConfig | None = None
