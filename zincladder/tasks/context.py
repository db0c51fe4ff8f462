"""Gives a running singleton task its fencing token, its checkpoint and the counters. Uses anyio."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

import anyio
import structlog

from zincladder.consensus import rpc
from zincladder.consensus.client import Client
from zincladder.consensus.errors import OutcomeUnknownError, RequestFailedError
from zincladder.consensus.key_value_state import (
    CapacityExceeded,
    FencingTokenRejected,
    Swapped,
    VersionMismatch,
)
from zincladder.tasks.errors import CheckpointTooLargeError, LeaseLostError
from zincladder.tasks.model import checkpoint_key, write_checkpoint

RETRY_SECONDS = 0.2  # delay before a checkpoint is written again after an unknown outcome
log = structlog.get_logger()


class TaskHost(Protocol):
    """The process that runs the task."""

    fenced: int  # number of writes that were rejected because of an outdated fencing token

    def active_token(self, task: str) -> int:
        """Returns the token under which this process may act on a task now; 0 if it may not."""

    def client(self) -> Client:
        """Returns a client of the group."""


class TaskContext:
    """The argument of a task function, by which one run of the task reads and writes the group's state."""

    def __init__(self, host: TaskHost, task: str) -> None:
        self._host, self.task = host, task

    def token(self) -> int:
        """Returns the fencing token to act under. Raises LeaseLostError if the lease is not valid now.

        Call it right before each write, after the last await, and don't keep the token over an await: the
        process may have been suspended past the expiry of its lease.
        """
        if token := self._host.active_token(self.task):
            return token
        raise LeaseLostError(self.task)

    async def load_checkpoint(self) -> tuple[int, bytes]:
        """Returns the version and the content of the task's checkpoint; (0, b"") if there is none.

        An earlier lease holder may have stored it. Raises LeaseLostError if the lease is not valid now.
        """
        self.token()
        key = checkpoint_key(self.task)
        stored = (await self._host.client().get(key)).get(key)
        return (stored.version, stored.data) if stored else (0, b"")

    async def store_checkpoint(self, expected_version: int, data: bytes) -> int:
        """Stores a checkpoint and returns its version.

        Raises LeaseLostError if the lease is not valid now, if the task's assignment has changed before the
        group applies the write, or if the stored checkpoint has another version than the expected one. Raises
        CheckpointTooLargeError if the group can't store the checkpoint.
        """
        swap = write_checkpoint(self.task, self.token(), expected_version, data)
        while True:
            try:
                result = await self._host.client().request(swap)
            except (RequestFailedError, OutcomeUnknownError):
                result = rpc.OutcomeUnknown("")
            match result:
                case Swapped(version):
                    return version
                case FencingTokenRejected():
                    self.rejected_by_fence("log")
                    raise LeaseLostError(self.task)
                case CapacityExceeded(reason):
                    raise CheckpointTooLargeError(reason)
                case VersionMismatch(version) if version != expected_version:
                    # An earlier attempt may have succeeded although its reply was lost. Then the stored
                    # content is the same, as no other process writes under this token.
                    if (await self.load_checkpoint()) == (version, data):
                        return version
                    raise LeaseLostError(self.task)
            self.token()
            await anyio.sleep(RETRY_SECONDS)

    def rejected_by_fence(self, where: str) -> None:
        """Records that a write to `where` was rejected because its fencing token is outdated."""
        self._host.fenced += 1
        log.warning("write of a task rejected: fencing token outdated", task=self.task, rejected_by=where)

    async def collect(self) -> rpc.CollectedCounters:
        """Returns the sums of the counters that all processes have reported to the leader.

        Raises RequestFailedError if the leader replies with anything else.
        """
        reply = await self._host.client().request(rpc.CollectCounters())
        if not isinstance(reply, rpc.CollectedCounters):
            raise RequestFailedError(str(reply))
        return reply


TaskFunction = Callable[[TaskContext], Awaitable[None]]
