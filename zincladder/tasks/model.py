"""Types of a singleton task, and of the messages between task runners and the lease manager.

A singleton task is run by at most one process of the fleet. The value of the key `duty/NAME` names its
lease holder. The version of that value is the holder's fencing token: the index of the log entry that
assigned the task, so it only rises and is never given twice, whatever becomes of a replica. The structs are
arrays on the wire and in the stored values: the order of their fields and their tags stay as they are. Spans
in seconds.
"""

from __future__ import annotations

import msgspec

from zincladder.consensus.key_value_state import CompareAndSwap, VersionGuard
from zincladder.leases.model import NotLeaderReply

TASK_PREFIX = "duty/"  # keys of the assignments, by task
CHECKPOINT_PREFIX = "progress/"  # keys of what a lease holder stores for its successors, by task
MAX_TASKS = 64
MAX_RUNNERS = 2048
MAX_NAME_LENGTH = 40  # characters of a task's name


class TaskAssignment(msgspec.Struct, frozen=True, array_like=True):
    """The value of a task's key.

    Without a lease holder the task was released, moved, or never assigned.
    """

    lease_holder: str = ""  # the runner's name
    process: str = ""  # and which of its processes
    changed_at: float = 0.0  # Unix time
    paused: bool = False  # to be assigned to nobody
    preferred_runner: str = ""  # is assigned it next, if it offers to run it
    vacancy_reason: str = ""  # why there is no lease holder


def task_key(task: str) -> str:
    """The key of a task's assignment."""
    return TASK_PREFIX + task


def checkpoint_key(task: str) -> str:
    """The key of a task's checkpoint."""
    return CHECKPOINT_PREFIX + task


def write_checkpoint(task: str, token: int, expected_version: int, data: bytes) -> CompareAndSwap:
    """Stores a checkpoint if the token is still valid when the entry is applied: the fence in the log."""
    return CompareAndSwap(checkpoint_key(task), expected_version, data, VersionGuard(task_key(task), token))


# From a runner -------------------------------------------------------------------------------------


class Offer(msgspec.Struct, frozen=True, array_like=True, tag="wants"):
    """The tasks that this process would run; none when it is about to end."""

    tasks: tuple[str, ...]


class RenewLease(msgspec.Struct, frozen=True, array_like=True, tag="keeps"):
    """Requests a lease on the tasks that were assigned to this process, each with its token."""

    serial: int
    assigned: tuple[tuple[str, int], ...]


class ReleaseLease(msgspec.Struct, frozen=True, array_like=True, tag="gives_back"):
    """This process does nothing more under the token, and ignores leases that it requested for it."""

    task: str
    token: int


class ReportCounters(msgspec.Struct, frozen=True, array_like=True, tag="tells"):
    """Counters of this process since its start, for the fleet's sums."""

    counters: dict[str, float]


FromRunner = Offer | RenewLease | ReleaseLease | ReportCounters

# From the leader -----------------------------------------------------------------------------------


class Assigned(msgspec.Struct, frozen=True, array_like=True, tag="yours"):
    """A task is assigned to this process, which may run it once it has a lease."""

    task: str
    token: int


class LeaseGranted(msgspec.Struct, frozen=True, array_like=True, tag="lent"):
    """The lease requested with this serial; a task that was requested and is not granted is lost."""

    serial: int
    granted: tuple[tuple[str, int], ...]  # tasks with their tokens
    valid_seconds: float  # from the moment at which it was requested
    renew_seconds: float  # between two renewals


class Revoke(msgspec.Struct, frozen=True, array_like=True, tag="stop"):
    """Asks a lease holder to release a task at once."""

    task: str
    token: int


FromLeaseManager = Assigned | LeaseGranted | Revoke | NotLeaderReply
