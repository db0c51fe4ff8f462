"""The leader's side of leases: what its decisions send and write. On anyio."""

from __future__ import annotations

from abc import abstractmethod
from typing import Any, Protocol, TypeVar

import anyio.abc

from zincladder.agreement.leading import Leading, Part
from zincladder.leases.model import NotLeaderReply


class Actions(Protocol):
    """What a deciding part wants done."""

    messages: list[tuple[int, Any]]  # with the number of the link


class LeaseGranter(Part, Protocol):
    """What decides for the leader in one term, without I/O."""

    def take_actions(self) -> Any:
        """What is to be done since the last time."""


G = TypeVar("G", bound=LeaseGranter)


class LeaseService(Leading[G]):
    """Grants leases of one kind while its replica leads the group."""

    def elsewhere(self, leader: str) -> NotLeaderReply:
        """The reply to whoever connects to a replica that does not lead."""
        return NotLeaderReply(leader)

    def carry_out(self, part: G, tasks: anyio.abc.TaskGroup) -> None:
        """Sends the messages that the part has decided on, and begins its writes."""
        actions = part.take_actions()
        for number, message in actions.messages:
            self.say(number, message)
        self.begin_writes(actions, part, tasks)

    @abstractmethod
    def begin_writes(self, actions: Any, part: G, tasks: anyio.abc.TaskGroup) -> None:
        """Begins the writes among the part's actions."""
