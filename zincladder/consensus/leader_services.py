"""The base class of the services that a replica runs while it leads its group. Uses anyio.

The decisions of a service are made by its term state, without I/O. The term state is created once a majority
has confirmed that this replica leads. It is dropped, and all links are closed, when the replica no longer
leads. Each message from a link is handled only after a majority has confirmed the leadership again.
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

MAX_QUEUED_MESSAGES_PER_LINK = 64  # processes repeat a request whose reply was dropped
RETRY_SECONDS = 0.1  # delay after a failed write
MIN_WAIT_SECONDS = 0.005
COMMIT_ERRORS = (NotLeaderError, BusyError, CommitUnknownError)
log = structlog.get_logger()


class TermState(Protocol):
    """Makes the decisions of a service in one leader's term, without I/O. Links are identified by number."""

    term: int

    @property
    def next_at(self) -> float:
        """When `tick` is due."""

    def tick(self, now: float) -> None:
        """Makes the decisions that are due at this time."""

    def link_opened(self, number: int, name: str, instance_id: str, now: float) -> str:
        """Handles a new link of a process; returns why the process is rejected, or "" if it is accepted."""

    def link_closed(self, number: int, now: float) -> None:
        """Handles the end of a link."""

    def message_received(self, number: int, message: Any, now: float) -> None:
        """Handles a message from a link."""


TermStateT = TypeVar("TermStateT", bound=TermState)


@dataclass(frozen=True, slots=True)
class LinkedProcess:
    """A connected process: the queue of messages to it, and the cancel scope of its link."""

    queue: SendQueue
    scope: anyio.CancelScope


class LeaderService(ABC, Generic[TermStateT]):
    """One service of the leader, and the links of the processes that use it."""

    role: str  # the role in the Hello of these processes
    messages: Any  # the type of their messages

    def __init__(
        self, replica: ReplicaServer, lease_timing: LeaseTiming, clock: Callable[[], float] = boottime
    ) -> None:
        self.replica, self.lease_timing, self.clock = replica, lease_timing, clock
        self._configured_timing = lease_timing
        self.term_state: TermStateT | None = None
        self.links: dict[int, LinkedProcess] = {}
        self._last_number = 0
        # The applied index when `state_changed` was last called; -1 forces a call at the next `refresh`.
        self.seen_index = -1
        self._wakeup = anyio.Event()
        self._rate_limited_log = RateLimitedLog()
        replica.state_listeners.append(self.wake)
        replica.link_handlers[self.role] = self.serve
        replica.progress_reporters.append(self.progress)

    # Defined by each service ------------------------------------------------------------------------

    @abstractmethod
    def begin_term(self, since: float, term: int) -> TermStateT:
        """Creates the state of a term with `self.lease_timing`.

        Leaders of earlier terms granted no leases after `since`.
        """

    @abstractmethod
    def state_changed(self, term_state: TermStateT) -> None:
        """Passes the committed state of the group to the term state."""

    @abstractmethod
    def execute(self, term_state: TermStateT, tasks: anyio.abc.TaskGroup) -> None:
        """Carries out what the term state has decided."""

    @abstractmethod
    def not_leader_message(self, leader: str) -> Any:
        """The message to a process that connects to a replica which does not lead."""

    @abstractmethod
    def progress(self) -> dict[str, object]:
        """The leader's view of the service; empty if this replica doesn't lead."""

    def message_received(self, number: int, message: Any) -> None:
        """Called with each message before the term state handles it."""

    def link_closed(self, number: int) -> None:
        """Called when a link is closed."""

    # Leading --------------------------------------------------------------------------------------

    def wake(self) -> None:
        """Makes `run` continue at once, since the role, the state or a link has changed."""
        self._wakeup.set()

    async def run(self) -> None:
        """Runs the service whenever this replica leads, until it is cancelled.

        After an unexpected error it starts anew, as a new leader does: it waits until every lease that it may
        have granted has expired. The replica goes on, since its vote is needed, and its successor would meet
        the same message or value.
        """
        while True:
            try:
                await self._run()
            except Exception:
                self._rate_limited_log.exception("service of the leader failed", role=self.role)
            self._drop_term_state()
            await anyio.sleep(RETRY_SECONDS)

    async def _run(self) -> None:
        async with anyio.create_task_group() as tasks:
            while True:
                self._wakeup = wakeup = anyio.Event()
                try:
                    await self._ensure_term_state()
                except COMMIT_ERRORS:
                    self._drop_term_state()
                    await anyio.sleep(RETRY_SECONDS)
                    continue
                wait = math.inf
                if self.term_state is not None:
                    self.refresh(self.term_state)
                    self.term_state.tick(self.clock())
                    self.execute(self.term_state, tasks)
                    wait = max(MIN_WAIT_SECONDS, self.term_state.next_at - self.clock())
                with anyio.move_on_after(wait):
                    await wakeup.wait()

    async def _ensure_term_state(self) -> None:
        """Creates the state of the current term if this replica leads, or drops it if it doesn't.

        It is created once a majority has confirmed the leadership. Raises COMMIT_ERRORS if that fails.
        """
        node = self.replica.node
        if node.role is not Role.LEADER:
            self._drop_term_state()
            return
        if self.term_state is not None and self.term_state.term == node.term:
            return
        self._drop_term_state()
        since, term = self.clock(), node.term
        await self.replica.confirm_leadership()
        # A predecessor may have granted leases until it was replaced, which happened before `since`.
        self.lease_timing = await self._agree_on_lease_timing()
        term_state = self.begin_term(since, term)
        if self.replica.node.term != term:
            raise NotLeaderError
        self.term_state, self.seen_index = term_state, -1

    async def _agree_on_lease_timing(self) -> LeaseTiming:
        """Returns the group's lease timing.

        The first leader of the group stores its configured timing; every later leader uses the stored one.
        """
        if self.replica.state.get(LEASE_TIMING_KEY) is None:
            await self.replica.compare_and_swap(
                CompareAndSwap(LEASE_TIMING_KEY, 0, msgspec.msgpack.encode(self._configured_timing))
            )
        stored = self.replica.state.get(LEASE_TIMING_KEY)
        assert stored is not None
        lease_timing: LeaseTiming = msgspec.msgpack.decode(stored.data, type=LeaseTiming)
        if lease_timing != self._configured_timing:
            log.warning(
                "lease timing in this replica's file differs from the group's and is ignored",
                lease_timing=str(lease_timing),
            )
        return lease_timing

    def _drop_term_state(self) -> None:
        if self.term_state is not None:
            self.term_state = None
            for process in self.links.values():
                process.scope.cancel()
            self.links.clear()

    def refresh(self, term_state: TermStateT) -> None:
        """Passes the committed state to the term state if it has changed since the last call."""
        if self.replica.applied_index != self.seen_index:
            self.seen_index = self.replica.applied_index
            self.state_changed(term_state)

    def send(self, number: int, message: Any) -> None:
        """Queues a message to a process; drops it if the link is closed."""
        if number in self.links:
            self.links[number].queue.put(message)

    async def try_compare_and_swap(self, swap: CompareAndSwap) -> None:
        """Tries a swap once and ignores a failure, because the service repeats the swap later."""
        try:
            await self.replica.compare_and_swap(swap)
        except COMMIT_ERRORS:
            return

    # Links ----------------------------------------------------------------------------------------

    async def serve(self, link: Link, hello: Hello) -> None:
        """Serves the link of one process until it fails or this replica no longer leads."""
        term_state = self.term_state
        if term_state is None or self.replica.node.role is not Role.LEADER:
            await link.send(self.not_leader_message(self.replica.node.leader))
            return
        self._last_number += 1
        number, queue = self._last_number, SendQueue(MAX_QUEUED_MESSAGES_PER_LINK)
        with anyio.CancelScope() as scope:
            self.links[number] = LinkedProcess(queue, scope)
            try:
                if reason := term_state.link_opened(number, hello.name, hello.instance_id, self.clock()):
                    self._rate_limited_log.warning(
                        "process rejected by the leader", role=self.role, name=hello.name, reason=reason
                    )
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

    async def _receive(self, link: Link, number: int, term_state: TermStateT) -> None:
        while True:
            message = await link.receive(self.messages)
            # A leader that was replaced must grant no lease: its successor waits only for the leases that
            # were granted before the successor's term began.
            await self.replica.confirm_leadership()
            if self.term_state is not term_state:
                return
            self.refresh(term_state)
            self.message_received(number, message)
            term_state.message_received(number, message, self.clock())
            self.wake()
