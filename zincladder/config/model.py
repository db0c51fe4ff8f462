"""The types of all configuration. Spans are in seconds, sizes in bytes where a name says nothing else."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from zincladder.admission.model import AdmissionLimits
from zincladder.routing import interface as api

Address = tuple[str, int]  # host and port

MAX_BODY_BYTES = 240_000  # of one part of an object


@dataclass(frozen=True, slots=True)
class Names:
    """The names in the settings, by their numbers: a place in the list is the number in the file."""

    classes: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one front."""

    name: str
    listen: Address
    coordinator: Address | None
    control: Address | None  # where operators ask for its status
    seed: int
    memory_mb: int
    sockets: int
    settings: api.Settings
    names: Names
    idle_close_seconds: float  # after which an idle connection to a cache is closed
    max_streams: int  # requests that may be open on one connection to a cache
    max_open_requests: int
    max_unread_bytes: int  # of answers, that all clients together may leave unread
    known_events: dict[str, Any]  # the coordinator's events up to the start
    raw: dict[str, Any] = field(default_factory=dict, repr=False, compare=False)  # the file without 'known'


@dataclass(frozen=True, slots=True)
class DnsHost:
    """A host name of the DNS front, and the request that it stands for."""

    name: str
    request_class: int
    object: int
    group: int


@dataclass(frozen=True, slots=True)
class DnsConfig:
    """The DNS front; a query older than its timeout is answered with SERVFAIL."""

    listen: Address
    zone: str
    timeout_seconds: float
    hosts: tuple[DnsHost, ...]


@dataclass(frozen=True, slots=True)
class RemoteWriteConfig:
    """One receiver of samples, and what is stored for it while it does not take them."""

    host: str
    port: int
    path: str
    interval_seconds: float = 15.0  # between two batches
    max_memory_bytes: int = 1 << 20
    spool_folder: str | None = None  # None: batches wait in memory only
    max_spool_bytes: int = 64 << 20
    version: int = 2  # of the protocol, to begin with
    replay_bytes_per_s: float = 1e6


@dataclass(frozen=True, slots=True)
class PolicyConfig:
    """Where a front learns the policy of its fleet, and whether it serves on without it once cut off."""

    group: str
    replicas: dict[str, str]  # their addresses by their names
    serves_when_cut_off: bool = False


@dataclass(frozen=True, slots=True)
class TasksConfig:
    """The replicas that lease singleton tasks, and the tasks that this front offers to run."""

    group: str
    replicas: dict[str, str]  # their addresses by their names
    offered: tuple[str, ...]
    metrics_receiver: RemoteWriteConfig | None = None  # of the fleet's sums, for the task that pushes them


@dataclass(frozen=True, slots=True)
class Operator:
    """The operator's file: all that is off without it."""

    dns: DnsConfig | None = None
    metrics: Address | None = None
    remote_write: tuple[RemoteWriteConfig, ...] = ()
    admission: AdmissionLimits | None = None
    control: str | None = None  # the path of the control socket
    policy: PolicyConfig | None = None
    tasks: TasksConfig | None = None
