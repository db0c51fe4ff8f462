"""The client side of leases: the link of a process to the leader, and its renewals. Uses anyio."""

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
    """Makes the decisions of the process about its leases, without I/O."""

    @property
    def renewal_interval_seconds(self) -> float:
        """Seconds between two renewals."""

    @property
    def next_at(self) -> float:
        """When `tick` is due."""

    def tick(self, now: float) -> None:
        """Makes the decisions that are due at this time."""

    def link_changed(self, up: bool, now: float) -> None:
        """Called when the link is established, and when it is lost; messages in transit are then lost too."""

    def message_received(self, message: Any, now: float) -> None:
        """Handles a message of the leader."""

    def leave(self) -> None:
        """Releases every lease, because the process is shutting down."""


ParticipantT = TypeVar("ParticipantT", bound=LeaseParticipant)


class LeaseClient(ABC, Generic[ParticipantT]):
    """Connects a participant to the leader of its group, and passes it the messages and the time."""

    role: str  # the role in the Hello of this process
    messages: Any  # the type of the leader's messages

    def __init__(
        self,
        participant: ParticipantT,
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
        """Carries out what the participant has decided."""

    def wake(self) -> None:
        """Makes `renew_when_due` check again when the next renewal is due."""
        self._wakeup.set()

    # Called by LeaderLink -------------------------------------------------------------------------

    def link_changed(self, up: bool) -> None:
        """Called when the link is established, and when it is lost; messages in transit are then lost too."""
        self.participant.link_changed(up, self.clock())
        self.carry_out()
        self.wake()

    def message_received(self, message: Any) -> str | None:
        """Handles a message of the replica.

        Returns None if the replica leads, else the leader's name, or "" if it is unknown.
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
        """Calls the participant's `tick` whenever it is due, until this is cancelled."""
        while True:
            self._wakeup = wakeup = anyio.Event()
            self.participant.tick(self.clock())
            self.carry_out()
            with anyio.move_on_after(max(0.0, self.participant.next_at - self.clock())):
                await wakeup.wait()

    async def end(self, timeout_seconds: float) -> None:
        """Releases every lease, and waits up to `timeout_seconds` until the queue of messages is empty.

        The process may exit right after this.
        """
        self.participant.leave()
        self.carry_out()
        await self.leader.flush(timeout_seconds)
