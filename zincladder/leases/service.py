"""The leader's side of leases: what its decisions send and write. On anyio."""

from __future__ import annotations

from abc import abstractmethod
from typing import Any, Generic, Protocol, TypeVar

import anyio.abc

from zincladder.consensus.leader_services import LeaderService, TermState
from zincladder.leases.model import NotLeaderReply


class LeaseActions(Protocol):
    """What a leader has decided on, beside its writes."""

    messages: list[tuple[int, Any]]  # with the number of the link


class LeaseGranter(TermState, Protocol):
    """What decides for the leader in one term, without I/O."""

    def take_actions(self) -> Any:
        """What is to be done since the last time."""


G = TypeVar("G", bound=LeaseGranter)
A = TypeVar("A", bound=LeaseActions)


class LeaseService(LeaderService[G], Generic[G, A]):
    """Grants leases of one kind while its replica leads the group."""

    def not_leader_message(self, leader: str) -> NotLeaderReply:
        """The reply to whoever connects to a replica that does not lead."""
        return NotLeaderReply(leader)

    def execute(self, term_state: G, tasks: anyio.abc.TaskGroup) -> None:
        """Sends the messages that were decided on, and begins the writes."""
        actions: A = term_state.take_actions()
        for number, message in actions.messages:
            self.send(number, message)
        self.begin_writes(actions, term_state, tasks)

    @abstractmethod
    def begin_writes(self, actions: A, term_state: G, tasks: anyio.abc.TaskGroup) -> None:
        """Begins the writes among the actions."""
