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

from zincladder.agreement.host import Keeper, Undecided
from zincladder.agreement.member import Busy, NotLeader, Role
from zincladder.agreement.registers import Swap
from zincladder.agreement.terms import TERMS, Terms
from zincladder.links.clocks import boottime
from zincladder.links.frames import Hello
from zincladder.links.host import FAILED, Link, Outbox
from zincladder.support.rate_limited_log import RateLimitedLog

MOST_WAITING = 64  # messages to one link; one that is lost is asked for again
AGAIN = 0.1  # seconds after a write that came to nothing
LEAST_WAIT = 0.005
FAULTS = (NotLeader, Busy, Undecided)
log = structlog.get_logger()


class Part(Protocol):
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


P = TypeVar("P", bound=Part)


class Leading(ABC, Generic[P]):
    """One kind of work that the leading keeper does, and the links of the processes that take part."""

    role: str  # of those that link
    messages: Any  # what they say

    def __init__(self, keeper: Keeper, terms: Terms, clock: Callable[[], float] = boottime) -> None:
        self.keeper, self.terms, self.clock = keeper, terms, clock
        self._own = terms
        self.part: P | None = None
        self.links: dict[int, tuple[Outbox, anyio.CancelScope]] = {}
        self._number = 0
        self.read_at = -1  # the place in the log that the part was told of last; -1: it is to be told anew
        self._due = anyio.Event()
        self._warning = RateLimitedLog().warning
        keeper.watching.append(self.wake)
        keeper.serves[self.role] = self.serve
        keeper.progress.append(self.progress)

    # What each kind says for itself ------------------------------------------------------------------

    @abstractmethod
    def begin(self, since: float, term: int) -> P:
        """The part of this term, under `self.terms`. What a predecessor lent was lent before `since`."""

    @abstractmethod
    def learn(self, part: P) -> None:
        """Tells the part of what the group has decided."""

    @abstractmethod
    def carry_out(self, part: P, tasks: anyio.abc.TaskGroup) -> None:
        """Does what the part wishes."""

    @abstractmethod
    def elsewhere(self, leader: str) -> Any:
        """The message to whoever comes to a keeper that does not lead."""

    @abstractmethod
    def progress(self) -> dict[str, object]:
        """How the leader sees it; empty where this keeper doesn't lead."""

    def hears(self, number: int, message: Any) -> None:
        """A message for the host rather than the part; called for all."""

    def gone(self, number: int) -> None:
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
                except FAULTS:
                    self._drop()
                    await anyio.sleep(AGAIN)
                    continue
                wait = math.inf
                if self.part is not None:
                    self.learns(self.part)
                    self.part.tick(self.clock())
                    self.carry_out(self.part, tasks)
                    wait = max(LEAST_WAIT, self.part.next_at - self.clock())
                with anyio.move_on_after(wait):
                    await due.wait()

    async def _lead(self) -> None:
        """A part of this term's own, once the group has confirmed that this keeper leads, or none."""
        member = self.keeper.member
        if member.role is not Role.LEADER:
            self._drop()
            return
        if self.part is not None and self.part.term == member.term:
            return
        self._drop()
        since, term = self.clock(), member.term
        await self.keeper.confirm()
        # A predecessor may have granted leases until it was replaced; that was before `since`.
        self.terms = await self._agreed()
        part = self.begin(since, term)
        if self.keeper.member.term != term:
            raise NotLeader
        self.part, self.read_at = part, -1

    async def _agreed(self) -> Terms:
        """The group's terms: those of whoever led first. A keeper whose file says others goes by these."""
        if self.keeper.registers.get(TERMS) is None:
            await self.keeper.swap(Swap(TERMS, 0, msgspec.msgpack.encode(self._own)))
        found = self.keeper.registers.get(TERMS)
        assert found is not None
        terms: Terms = msgspec.msgpack.decode(found.data, type=Terms)
        if terms != self._own:
            log.warning("the group's terms hold, not those of this keeper's file", terms=str(terms))
        return terms

    def _drop(self) -> None:
        if self.part is not None:
            self.part = None
            for _, scope in self.links.values():
                scope.cancel()
            self.links.clear()

    def learns(self, part: P) -> None:
        """The part is told of what the group has decided since it was told last."""
        if self.keeper.applied != self.read_at:
            self.read_at = self.keeper.applied
            self.learn(part)

    def say(self, number: int, message: Any) -> None:
        if number in self.links:
            self.links[number][0].put(message)

    async def swap(self, swap: Swap) -> None:
        """One that is tried again at the next occasion if it comes to nothing."""
        try:
            await self.keeper.swap(swap)
        except FAULTS:
            return

    # Links ----------------------------------------------------------------------------------------

    async def serve(self, link: Link, hello: Hello) -> None:
        """One process's link, until it fails or this keeper leads no more."""
        part = self.part
        if part is None or self.keeper.member.role is not Role.LEADER:
            await link.send(self.elsewhere(self.keeper.member.leader))
            return
        self._number += 1
        number, outbox = self._number, Outbox(MOST_WAITING)
        with anyio.CancelScope() as scope:
            self.links[number] = (outbox, scope)
            try:
                if why := part.linked(number, hello.name, hello.birth, self.clock()):
                    self._warning("a process is turned away", role=self.role, name=hello.name, why=why)
                    return
                self.wake()
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(outbox.send_to, link)
                    await self._hear(link, number, part)
                    tasks.cancel_scope.cancel()
            except* (*FAULTS, *FAILED):
                pass
            finally:
                self.links.pop(number, None)
                part.unlinked(number, self.clock())
                self.gone(number)
                self.wake()

    async def _hear(self, link: Link, number: int, part: P) -> None:
        while True:
            message = await link.receive(self.messages)
            # Guards leases: nothing is granted on a word that a successor's wait would not cover.
            await self.keeper.confirm()
            if self.part is not part:
                return
            self.learns(part)
            self.hears(number, message)
            part.heard(number, message, self.clock())
            self.wake()
