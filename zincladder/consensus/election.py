"""Leader election: election timeouts, pre-votes and votes. No I/O."""

from __future__ import annotations

import random
from collections.abc import Callable

from zincladder.consensus.model import RequestVote, RequestVoteResponse
from zincladder.consensus.raft_state import RaftState, Role


class Election:
    """Runs the elections of one node. Calls `on_elected` with the current time when the node is elected."""

    def __init__(self, state: RaftState, seed: int, on_elected: Callable[[float], None]) -> None:
        self._state, self._on_elected = state, on_elected
        self._random = random.Random(seed)
        self._votes: set[str] = set()
        self._leader_contact_at = -float("inf")
        self.timeout_at = 0.0  # when this node starts an election, unless it leads

    def restart_timeout(self, now: float) -> None:
        """Restarts the election timeout with a new random length, so that candidates seldom collide."""
        factor = 1 + self._random.random()
        self.timeout_at = now + self._state.timing.election_timeout_seconds * factor

    def record_leader_contact(self, now: float) -> None:
        """Records a message from the leader of the current term."""
        self._leader_contact_at = now
        self.restart_timeout(now)

    def has_leader(self, now: float) -> bool:
        """Whether this node leads, or has received a message from its leader within the election timeout."""
        if self._state.is_leader:
            return True
        return now - self._leader_contact_at < self._state.timing.election_timeout_seconds

    def clear_votes(self) -> None:
        """Discards the votes of an election that is over."""
        self._votes = set()

    def start(self, now: float, pre_vote: bool, leadership_transfer: bool = False) -> None:
        """Requests votes or pre-votes from the other voters.

        Without pre-votes, a node that was partitioned would return with a higher term and depose a working
        leader.
        """
        state = self._state
        self.restart_timeout(now)
        state.leader = ""
        self._votes = {state.name}
        term = state.term + 1
        if pre_vote:
            state.role = Role.PRE_CANDIDATE
        else:
            state.role, state.voted_for = Role.CANDIDATE, state.name
            state.term = term
        log = state.log
        request = RequestVote(term, log.last_index, log.last_term, pre_vote, leadership_transfer)
        for name in state.membership.voters:
            if name != state.name:
                state.send(name, request)
        self._check_quorum(now)

    def _check_quorum(self, now: float) -> None:
        if not self._state.is_quorum(self._votes):
            return
        if self._state.role is Role.PRE_CANDIDATE:
            self.start(now, pre_vote=False)
        elif self._state.role is Role.CANDIDATE:
            self._on_elected(now)

    def handle_vote_request(self, message: RequestVote, sender: str, now: float) -> None:
        """Answers a vote request of the current term, or a pre-vote request."""
        if message.pre_vote:
            self._answer_pre_vote(message, sender)
            return
        state = self._state
        may_vote = state.voted_for in ("", sender) and state.role in (Role.FOLLOWER, Role.PRE_CANDIDATE)
        granted = self._is_up_to_date(message) and may_vote
        if granted:
            state.voted_for = sender
            self.restart_timeout(now)
        state.send(sender, RequestVoteResponse(state.term, granted))

    def _answer_pre_vote(self, message: RequestVote, sender: str) -> None:
        state = self._state
        granted = self._is_up_to_date(message) and message.term > state.term
        term = message.term if granted else state.term
        state.send(sender, RequestVoteResponse(term, granted, True))

    def handle_vote_response(self, message: RequestVoteResponse, sender: str, now: float) -> None:
        """Counts a vote if it belongs to the election or pre-vote in progress."""
        state = self._state
        role = Role.PRE_CANDIDATE if message.pre_vote else Role.CANDIDATE
        term = state.term + 1 if message.pre_vote else state.term
        if message.granted and state.role is role and message.term == term:
            self._votes.add(sender)
            self._check_quorum(now)

    def _is_up_to_date(self, message: RequestVote) -> bool:
        """Whether the candidate's log is at least as recent as this node's.

        A leader elected under this rule has every committed entry.
        """
        log = self._state.log
        return (message.last_term, message.last_index) >= (log.last_term, log.last_index)
