"""Services that a replica runs for the fleet while it leads: the state of one term, and the links to it.

On anyio. The term's state decides without I/O. It is made once a majority has confirmed that this replica
leads, and dropped with all links when it leads no more. Messages are handed in only after such a
confirmation.
"""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Generic, Protocol, TypeVar

import anyio
import anyio.abc
import msgspec
import structlog

from zincladder.consensus.errors import BusyError, CommitUnknownError, NotLeaderError
from zincladder.consensus.key_value_state import CompareAndSwap
from zincladder.consensus.lease_timing import LEASE_TIMING_KEY, LeaseTiming
from zincladder.consensus.raft_state import Role
from zincladder.consensus.server import ReplicaServer
from zincladder.links.clocks import boottime
from zincladder.links.connection import LINK_ERRORS, Link, SendQueue
from zincladder.links.frames import Hello
from zincladder.support.rate_limited_log import RateLimitedLog

MAX_QUEUED_MESSAGES = 64  # to one link; one that is dropped is asked for again
RETRY_SECONDS = 0.1  # after a write that failed
MIN_WAIT_SECONDS = 0.005
COMMIT_ERRORS = (NotLeaderError, BusyError, CommitUnknownError)
log = structlog.get_logger()


class TermState(Protocol):
    """The decisions of one leader's term, without I/O."""

    term: int

    @property
    def next_at(self) -> float:
        """When `tick` is due."""

    def tick(self, now: float) -> None:
        """Does what is due."""

    def link_opened(self, number: int, name: str, process: str, now: float) -> str:
        """A process has linked; why it can't take part, empty if it can."""

    def link_closed(self, number: int, now: float) -> None:
        """Its link is closed."""

    def message_received(self, number: int, message: Any, now: float) -> None:
        """One of its messages."""


P = TypeVar("P", bound=TermState)


@dataclass(frozen=True, slots=True)
class LinkedProcess:
    """A process that takes part: the queue of messages to it, and the scope of its link."""

    queue: SendQueue
    scope: anyio.CancelScope


class LeaderService(ABC, Generic[P]):
    """One service of the leader, and the links of the processes that take part."""

    role: str  # in the greetings of the processes
    messages: Any  # the type of their messages

    def __init__(
        self, replica: ReplicaServer, lease_timing: LeaseTiming, clock: Callable[[], float] = boottime
    ) -> None:
        self.replica, self.lease_timing, self.clock = replica, lease_timing, clock
        self._configured_timing = lease_timing
        self.term_state: P | None = None
        self.links: dict[int, LinkedProcess] = {}
        self._last_number = 0
        self.read_at = (
            -1
        )  # index up to which the term's state knows the log; -1: it has to read everything anew
        self._wake_event = anyio.Event()
        self._warning = RateLimitedLog().warning
        replica.state_listeners.append(self.wake)
        replica.link_handlers[self.role] = self.serve
        replica.progress.append(self.progress)

    # What each service defines ----------------------------------------------------------------------

    @abstractmethod
    def begin_term(self, since: float, term: int) -> P:
        """The state of this term under `self.lease_timing`. A predecessor granted leases before `since`."""

    @abstractmethod
    def state_changed(self, term_state: P) -> None:
        """Tells the term's state what the group has committed."""

    @abstractmethod
    def execute(self, term_state: P, tasks: anyio.abc.TaskGroup) -> None:
        """Does what the term's state has decided."""

    @abstractmethod
    def not_leader_message(self, leader: str) -> Any:
        """The message to a process that links to a replica which does not lead."""

    @abstractmethod
    def progress(self) -> dict[str, object]:
        """How the leader sees the service; empty where this replica doesn't lead."""

    def message_received(self, number: int, message: Any) -> None:
        """A message, before it is handed to the term's state."""

    def link_closed(self, number: int) -> None:
        """A link is closed."""

    # Leading --------------------------------------------------------------------------------------

    def wake(self) -> None:
        """The role, the state or a link has changed: looks again at once."""
        self._wake_event.set()

    async def run(self) -> None:
        """Until it is cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._wake_event = due = anyio.Event()
                try:
                    await self._lead()
                except COMMIT_ERRORS:
                    self._drop()
                    await anyio.sleep(RETRY_SECONDS)
                    continue
                wait = math.inf
                if self.term_state is not None:
                    self.refresh(self.term_state)
                    self.term_state.tick(self.clock())
                    self.execute(self.term_state, tasks)
                    wait = max(MIN_WAIT_SECONDS, self.term_state.next_at - self.clock())
                with anyio.move_on_after(wait):
                    await due.wait()

    async def _lead(self) -> None:
        """A state for this term, once the group has confirmed that this replica leads; else none."""
        node = self.replica.node
        if node.role is not Role.LEADER:
            self._drop()
            return
        if self.term_state is not None and self.term_state.term == node.term:
            return
        self._drop()
        since, term = self.clock(), node.term
        await self.replica.confirm_leadership()
        # A predecessor may have granted leases until it was replaced; that was before `since`.
        self.lease_timing = await self._agreed()
        term_state = self.begin_term(since, term)
        if self.replica.node.term != term:
            raise NotLeaderError
        self.term_state, self.read_at = term_state, -1

    async def _agreed(self) -> LeaseTiming:
        """The group's lease timing: that of its first leader, whatever this replica's file says."""
        if self.replica.state.get(LEASE_TIMING_KEY) is None:
            await self.replica.compare_and_swap(
                CompareAndSwap(LEASE_TIMING_KEY, 0, msgspec.msgpack.encode(self._configured_timing))
            )
        stored = self.replica.state.get(LEASE_TIMING_KEY)
        assert stored is not None
        lease_timing: LeaseTiming = msgspec.msgpack.decode(stored.data, type=LeaseTiming)
        if lease_timing != self._configured_timing:
            log.warning(
                "lease timing of the group overrides this replica's file", lease_timing=str(lease_timing)
            )
        return lease_timing

    def _drop(self) -> None:
        if self.term_state is not None:
            self.term_state = None
            for process in self.links.values():
                process.scope.cancel()
            self.links.clear()

    def refresh(self, term_state: P) -> None:
        """Applies to the term's state what the group has committed since the last time."""
        if self.replica.applied_index != self.read_at:
            self.read_at = self.replica.applied_index
            self.state_changed(term_state)

    def send(self, number: int, message: Any) -> None:
        """Queues a message to a process; dropped where its link is closed."""
        if number in self.links:
            self.links[number].queue.put(message)

    async def try_compare_and_swap(self, swap: CompareAndSwap) -> None:
        """A swap that is tried again on the next occasion if it fails."""
        try:
            await self.replica.compare_and_swap(swap)
        except COMMIT_ERRORS:
            return

    # Links ----------------------------------------------------------------------------------------

    async def serve(self, link: Link, hello: Hello) -> None:
        """One process's link, until it fails or this replica leads no more."""
        term_state = self.term_state
        if term_state is None or self.replica.node.role is not Role.LEADER:
            await link.send(self.not_leader_message(self.replica.node.leader))
            return
        self._last_number += 1
        number, queue = self._last_number, SendQueue(MAX_QUEUED_MESSAGES)
        with anyio.CancelScope() as scope:
            self.links[number] = LinkedProcess(queue, scope)
            try:
                if reason := term_state.link_opened(number, hello.name, hello.instance_id, self.clock()):
                    self._warning("process rejected", role=self.role, name=hello.name, reason=reason)
                    return
                self.wake()
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(queue.send_to, link)
                    await self._receive(link, number, term_state)
                    tasks.cancel_scope.cancel()
            except* (*COMMIT_ERRORS, *LINK_ERRORS):
                pass
            finally:
                self.links.pop(number, None)
                term_state.link_closed(number, self.clock())
                self.link_closed(number)
                self.wake()

    async def _receive(self, link: Link, number: int, term_state: P) -> None:
        while True:
            message = await link.receive(self.messages)
            # Guards leases: nothing is granted on a message that a successor's wait would not cover.
            await self.replica.confirm_leadership()
            if self.term_state is not term_state:
                return
            self.refresh(term_state)
            self.message_received(number, message)
            term_state.message_received(number, message, self.clock())
            self.wake()
