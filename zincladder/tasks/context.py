"""What a singleton task uses while its process holds the lease: its token and its checkpoint. On anyio."""

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

RETRY_SECONDS = 0.2  # after a checkpoint of which it isn't known whether it was stored
log = structlog.get_logger()


class TaskHost(Protocol):
    """The process that runs the task."""

    fenced: int  # effects that a fence has rejected

    def active_token(self, task: str) -> int:
        """The token under which to act on a task at this moment; 0: not at all."""

    def client(self) -> Client:
        """A client of the group."""


class TaskContext:
    """One run of a task under a lease."""

    def __init__(self, host: TaskHost, task: str) -> None:
        self._host, self.task = host, task

    def token(self) -> int:
        """The token to act under. Raises LeaseLostError if there is none at this moment.

        To be read after the last await before each effect, and never remembered over one: the process may
        have slept past the end of its lease.
        """
        if token := self._host.active_token(self.task):
            return token
        raise LeaseLostError(self.task)

    async def load_checkpoint(self) -> tuple[int, bytes]:
        """The checkpoint stored last, by whomever, with its version; (0, b"") if there is none."""
        self.token()
        key = checkpoint_key(self.task)
        stored = (await self._host.client().get(key)).get(key)
        return (stored.version, stored.data) if stored else (0, b"")

    async def store_checkpoint(self, expected_version: int, data: bytes) -> int:
        """Stores a checkpoint if the lease is still held when the group writes it; returns its version.

        Raises LeaseLostError if it is not held, and CheckpointTooLargeError.
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
                    # Perhaps this very write, whose answer was lost: nobody else writes under this token.
                    if (await self.load_checkpoint()) == (version, data):
                        return version
                    raise LeaseLostError(self.task)
            self.token()
            await anyio.sleep(RETRY_SECONDS)

    def rejected_by_fence(self, where: str) -> None:
        """An effect of this process was rejected because a newer lease holder has acted there."""
        self._host.fenced += 1
        log.warning("rejected by a fence", task=self.task, at=where)

    async def collect(self) -> rpc.CollectedCounters:
        """The sums of the counters that all processes have reported to the leader."""
        reply = await self._host.client().request(rpc.CollectCounters())
        if not isinstance(reply, rpc.CollectedCounters):
            raise RequestFailedError(str(reply))
        return reply


TaskFunction = Callable[[TaskContext], Awaitable[None]]
