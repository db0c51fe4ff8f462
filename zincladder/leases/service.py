"""The server side of leases: sends and writes what the leader has decided. Uses anyio."""

from __future__ import annotations

from abc import abstractmethod
from typing import Any, Generic, Protocol, TypeVar

import anyio.abc

from zincladder.consensus.leader_services import LeaderService, TermState
from zincladder.leases.model import NotLeaderReply


class LeaseActions(Protocol):
    """What a leader has decided to do. Each kind of lease adds its writes."""

    messages: list[tuple[int, Any]]  # number of the link, message


class LeaseGranter(TermState, Protocol):
    """Decides about leases in one leader's term, without I/O."""

    def take_actions(self) -> Any:
        """Returns the actions decided since the last call."""


GranterT = TypeVar("GranterT", bound=LeaseGranter)
ActionsT = TypeVar("ActionsT", bound=LeaseActions)


class LeaseService(LeaderService[GranterT], Generic[GranterT, ActionsT]):
    """Grants leases of one kind while the replica leads the group."""

    def not_leader_message(self, leader: str) -> NotLeaderReply:
        """The reply to a process that connects to a replica which does not lead."""
        return NotLeaderReply(leader)

    def execute(self, term_state: GranterT, tasks: anyio.abc.TaskGroup) -> None:
        """Sends the messages of the latest actions and starts their writes."""
        actions: ActionsT = term_state.take_actions()
        for number, message in actions.messages:
            self.send(number, message)
        self.begin_writes(actions, term_state, tasks)

    @abstractmethod
    def begin_writes(self, actions: ActionsT, term_state: GranterT, tasks: anyio.abc.TaskGroup) -> None:
        """Starts the writes of the actions as tasks."""
