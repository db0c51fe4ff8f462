"""Types of a singleton task, and of the messages between task runners and the lease manager.

A singleton task is run by at most one process of the fleet. The value of the key `duty/NAME` names its lease
holder. The version of that value is the holder's fencing token. It is the index of the log entry that
assigned the task, so tokens only rise and none is issued twice, even if replicas fail. The structs are
encoded as arrays, both in messages and in stored values. Other releases read them, so the order of the fields
and the tags must not change. Durations are in seconds.
"""

from __future__ import annotations

import msgspec

from zincladder.consensus.key_value_state import CompareAndSwap, VersionGuard
from zincladder.leases.model import NotLeaderReply

TASK_PREFIX = "duty/"  # followed by a task's name: the key of its assignment
CHECKPOINT_PREFIX = "progress/"  # followed by a task's name: the key of its checkpoint
MAX_TASKS = 64
MAX_RUNNERS = 2048
MAX_TASK_NAME_LENGTH = 40  # characters


class TaskAssignment(msgspec.Struct, frozen=True, array_like=True):
    """The value of a task's key.

    `lease_holder` is empty while the task waits to be assigned, or is paused.
    """

    lease_holder: str = ""  # name of the runner that the task is assigned to
    process: str = ""  # id of that runner's process
    changed_at: float = 0.0  # Unix time
    paused: bool = False  # a paused task is assigned to no runner
    preferred_runner: str = ""  # gets the task next if it offers to run it
    vacancy_reason: str = ""  # why there is no lease holder


def task_key(task: str) -> str:
    """Returns the key of a task's assignment."""
    return TASK_PREFIX + task


def checkpoint_key(task: str) -> str:
    """Returns the key of a task's checkpoint."""
    return CHECKPOINT_PREFIX + task


def write_checkpoint(task: str, token: int, expected_version: int, data: bytes) -> CompareAndSwap:
    """Returns the write that stores a checkpoint if the fencing token is still valid when it is applied."""
    return CompareAndSwap(checkpoint_key(task), expected_version, data, VersionGuard(task_key(task), token))


# From a runner -------------------------------------------------------------------------------------


class Offer(msgspec.Struct, frozen=True, array_like=True, tag="wants"):
    """Names the tasks that this process can run; none if it is shutting down."""

    tasks: tuple[str, ...]


class RenewLease(msgspec.Struct, frozen=True, array_like=True, tag="keeps"):
    """Requests leases on the tasks that are assigned to this process."""

    serial: int
    assigned: tuple[tuple[str, int], ...]  # tasks with their tokens


class ReleaseLease(msgspec.Struct, frozen=True, array_like=True, tag="gives_back"):
    """Reports that this process has stopped acting under the token and ignores further leases for it."""

    task: str
    token: int


class ReportCounters(msgspec.Struct, frozen=True, array_like=True, tag="tells"):
    """Reports the counters of this process since its start, for the sums over the fleet."""

    counters: dict[str, float]


FromRunner = Offer | RenewLease | ReleaseLease | ReportCounters

# From the leader -----------------------------------------------------------------------------------


class Assigned(msgspec.Struct, frozen=True, array_like=True, tag="yours"):
    """Notifies a process that a task is assigned to it. The process may run it once it has a lease."""

    task: str
    token: int


class LeaseGranted(msgspec.Struct, frozen=True, array_like=True, tag="lent"):
    """Grants the leases that were requested with this serial.

    The process stops a task that was in the request and is not in `granted`: that task is no longer assigned
    to it, or its assignment is being replaced.
    """

    serial: int
    granted: tuple[tuple[str, int], ...]  # tasks with their tokens
    valid_seconds: float  # from the time of the request
    renew_seconds: float  # time between two renewals


class Revoke(msgspec.Struct, frozen=True, array_like=True, tag="stop"):
    """Requests that a lease holder stops a task and releases its lease at once."""

    task: str
    token: int


FromLeaseManager = Assigned | LeaseGranted | Revoke | NotLeaderReply
