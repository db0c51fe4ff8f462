"""A process's side of leases: its link to the leader, and renewals in time. On anyio."""

from __future__ import annotations

import os
import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping
from typing import Any, Generic, Protocol, TypeVar

import anyio

from zincladder.leases.model import NotLeaderReply
from zincladder.links.frames import VERSION, Hello
from zincladder.links.leader_link import LeaderLink

SILENCE_RENEWALS = 2.5  # renewal intervals without a message after which another replica is tried


class LeaseParticipant(Protocol):
    """What decides for the process, without I/O."""

    @property
    def renewal_interval_seconds(self) -> float:
        """Between two renewals."""

    @property
    def next_at(self) -> float:
        """When `tick` is due."""

    def tick(self, now: float) -> None:
        """Does what is due."""

    def link_changed(self, up: bool, now: float) -> None:
        """The link to the leader is up, or is down with all messages under way on it."""

    def message_received(self, message: Any, now: float) -> None:
        """Takes a message of the leader."""

    def leave(self) -> None:
        """An orderly end: releases every lease."""


P = TypeVar("P", bound=LeaseParticipant)


class LeaseClient(ABC, Generic[P]):
    """Connects one participant to whoever leads its group, and drives it by messages and by the clock."""

    role: str  # in the greeting
    messages: Any  # the type of the leader's messages

    def __init__(
        self,
        participant: P,
        group: str,
        replicas: Mapping[str, str],
        name: str,
        clock: Callable[[], float],
    ) -> None:
        hello = Hello(VERSION, group, self.role, name, os.urandom(8).hex())
        self.participant, self.clock = participant, clock
        self.random = random.Random(hello.instance_id)
        self.leader = LeaderLink(replicas, hello, self.messages, self, self.random)
        self._wakeup = anyio.Event()

    @abstractmethod
    def carry_out(self) -> None:
        """Does what the participant has decided."""

    def wake(self) -> None:
        """Makes the renewal loop look again at when the next renewal is due."""
        self._wakeup.set()

    # Of the link ----------------------------------------------------------------------------------

    def link_changed(self, up: bool) -> None:
        """The link is up, or is down with all messages under way on it."""
        self.participant.link_changed(up, self.clock())
        self.carry_out()
        self.wake()

    def message_received(self, message: Any) -> str | None:
        """Takes a message.

        Returns None, or the leader's name ("" if it is unknown) where this replica does not lead.
        """
        if isinstance(message, NotLeaderReply):
            return message.leader
        self.participant.message_received(message, self.clock())
        self.carry_out()
        self.wake()
        return None

    def silence_timeout_seconds(self) -> float:
        """Seconds without a message after which another replica is tried."""
        return SILENCE_RENEWALS * self.participant.renewal_interval_seconds

    # Running --------------------------------------------------------------------------------------

    async def renew_when_due(self) -> None:
        """Drives the participant by the clock, until it is cancelled."""
        while True:
            self._wakeup = wakeup = anyio.Event()
            self.participant.tick(self.clock())
            self.carry_out()
            with anyio.move_on_after(max(0.0, self.participant.next_at - self.clock())):
                await wakeup.wait()

    async def end(self, timeout_seconds: float) -> None:
        """Releases every lease, and waits until that is on its way, as the process may end right after."""
        self.participant.leave()
        self.carry_out()
        await self.leader.flush(timeout_seconds)
