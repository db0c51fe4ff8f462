"""What a keeper does for the fleet while it leads: a deciding part of the term's own, and the links to it.

On anyio. The part is without I/O; it is made once a majority has confirmed that this keeper leads, and
dropped with all links when it leads no more. Whatever a link says is handed in only after such a
confirmation.
"""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections.abc import Callable
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

MAX_QUEUED_MESSAGES = 64  # messages to one link; one that is lost is asked for again
RETRY_SECONDS = 0.1  # seconds after a write that came to nothing
MIN_WAIT_SECONDS = 0.005
COMMIT_ERRORS = (NotLeaderError, BusyError, CommitUnknownError)
log = structlog.get_logger()


class TermState(Protocol):
    """What decides, without I/O."""

    term: int

    @property
    def next_at(self) -> float:
        """When `tick` is due."""

    def tick(self, now: float) -> None:
        """Does what is due."""

    def linked(self, number: int, name: str, process: str, now: float) -> str:
        """A process has come; why it can't take part, or nothing."""

    def unlinked(self, number: int, now: float) -> None:
        """Its link is gone."""

    def heard(self, number: int, message: Any, now: float) -> None:
        """What it said."""


P = TypeVar("P", bound=TermState)


class LeaderService(ABC, Generic[P]):
    """One kind of work that the leading keeper does, and the links of the processes that take part."""

    role: str  # of those that link
    messages: Any  # what they say

    def __init__(
        self, replica: ReplicaServer, terms: LeaseTiming, clock: Callable[[], float] = boottime
    ) -> None:
        self.replica, self.terms, self.clock = replica, terms, clock
        self._own = terms
        self.term_state: P | None = None
        self.links: dict[int, tuple[SendQueue, anyio.CancelScope]] = {}
        self._number = 0
        self.read_at = -1  # the place in the log that the part was told of last; -1: it is to be told anew
        self._due = anyio.Event()
        self._warning = RateLimitedLog().warning
        replica.state_listeners.append(self.wake)
        replica.link_handlers[self.role] = self.serve
        replica.progress.append(self.progress)

    # What each kind says for itself ------------------------------------------------------------------

    @abstractmethod
    def begin_term(self, since: float, term: int) -> P:
        """The part of this term, under `self.terms`. What a predecessor lent was lent before `since`."""

    @abstractmethod
    def state_changed(self, term_state: P) -> None:
        """Tells the part of what the group has decided."""

    @abstractmethod
    def execute(self, term_state: P, tasks: anyio.abc.TaskGroup) -> None:
        """Does what the part wishes."""

    @abstractmethod
    def not_leader_message(self, leader: str) -> Any:
        """The message to whoever comes to a keeper that does not lead."""

    @abstractmethod
    def progress(self) -> dict[str, object]:
        """How the leader sees it; empty where this keeper doesn't lead."""

    def message_received(self, number: int, message: Any) -> None:
        """A message for the host rather than the part; called for all."""

    def link_closed(self, number: int) -> None:
        """A link has ended."""

    # Leading --------------------------------------------------------------------------------------

    def wake(self) -> None:
        self._due.set()

    async def run(self) -> None:
        """Until it is cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._due = due = anyio.Event()
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
        """A part of this term's own, once the group has confirmed that this keeper leads, or none."""
        member = self.replica.node
        if member.role is not Role.LEADER:
            self._drop()
            return
        if self.term_state is not None and self.term_state.term == member.term:
            return
        self._drop()
        since, term = self.clock(), member.term
        await self.replica.confirm_leadership()
        # A predecessor may have granted leases until it was replaced; that was before `since`.
        self.terms = await self._agreed()
        term_state = self.begin_term(since, term)
        if self.replica.node.term != term:
            raise NotLeaderError
        self.term_state, self.read_at = term_state, -1

    async def _agreed(self) -> LeaseTiming:
        """The group's terms: those of whoever led first. A keeper whose file says others goes by these."""
        if self.replica.state.get(LEASE_TIMING_KEY) is None:
            await self.replica.compare_and_swap(
                CompareAndSwap(LEASE_TIMING_KEY, 0, msgspec.msgpack.encode(self._own))
            )
        found = self.replica.state.get(LEASE_TIMING_KEY)
        assert found is not None
        terms: LeaseTiming = msgspec.msgpack.decode(found.data, type=LeaseTiming)
        if terms != self._own:
            log.warning("the group's terms hold, not those of this keeper's file", terms=str(terms))
        return terms

    def _drop(self) -> None:
        if self.term_state is not None:
            self.term_state = None
            for _, scope in self.links.values():
                scope.cancel()
            self.links.clear()

    def refresh(self, term_state: P) -> None:
        """The part is told of what the group has decided since it was told last."""
        if self.replica.applied_index != self.read_at:
            self.read_at = self.replica.applied_index
            self.state_changed(term_state)

    def send(self, number: int, message: Any) -> None:
        if number in self.links:
            self.links[number][0].put(message)

    async def try_compare_and_swap(self, swap: CompareAndSwap) -> None:
        """One that is tried again at the next occasion if it comes to nothing."""
        try:
            await self.replica.compare_and_swap(swap)
        except COMMIT_ERRORS:
            return

    # Links ----------------------------------------------------------------------------------------

    async def serve(self, link: Link, hello: Hello) -> None:
        """One process's link, until it fails or this keeper leads no more."""
        term_state = self.term_state
        if term_state is None or self.replica.node.role is not Role.LEADER:
            await link.send(self.not_leader_message(self.replica.node.leader))
            return
        self._number += 1
        number, outbox = self._number, SendQueue(MAX_QUEUED_MESSAGES)
        with anyio.CancelScope() as scope:
            self.links[number] = (outbox, scope)
            try:
                if why := term_state.linked(number, hello.name, hello.birth, self.clock()):
                    self._warning("a process is turned away", role=self.role, name=hello.name, why=why)
                    return
                self.wake()
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(outbox.send_to, link)
                    await self._hear(link, number, term_state)
                    tasks.cancel_scope.cancel()
            except* (*COMMIT_ERRORS, *LINK_ERRORS):
                pass
            finally:
                self.links.pop(number, None)
                term_state.unlinked(number, self.clock())
                self.link_closed(number)
                self.wake()

    async def _hear(self, link: Link, number: int, term_state: P) -> None:
        while True:
            message = await link.receive(self.messages)
            # Guards leases: nothing is granted on a word that a successor's wait would not cover.
            await self.replica.confirm_leadership()
            if self.term_state is not term_state:
                return
            self.refresh(term_state)
            self.message_received(number, message)
            term_state.heard(number, message, self.clock())
            self.wake()
