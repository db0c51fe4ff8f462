"""Elections: timeouts, pre-votes, votes. No I/O."""

from __future__ import annotations

import random
from collections.abc import Callable

from zincladder.consensus.model import RequestVote, RequestVoteResponse
from zincladder.consensus.raft_state import RaftState, Role


class Election:
    """One node's part in elections. `won` is called with the time when a majority has voted for it."""

    def __init__(self, state: RaftState, seed: int, won: Callable[[float], None]) -> None:
        self._state, self._won = state, won
        self._random = random.Random(seed)
        self._votes: set[str] = set()
        self._leader_heard_at = -float("inf")
        self.timeout_at = 0.0  # when this node, unless it leads, is to seek election

    def restart_timeout(self, now: float) -> None:
        """Draws a new timeout, so that candidates seldom collide."""
        spread = 1 + self._random.random()
        self.timeout_at = now + self._state.timing.election_timeout_seconds * spread

    def leader_heard(self, now: float) -> None:
        """A message of the term's leader has come."""
        self._leader_heard_at = now
        self.restart_timeout(now)

    def has_leader(self, now: float) -> bool:
        """Whether this node leads, or has heard its leader within the election timeout."""
        if self._state.is_leader:
            return True
        return now - self._leader_heard_at < self._state.timing.election_timeout_seconds

    def clear_votes(self) -> None:
        """Forgets the votes of an election that is over."""
        self._votes = set()

    def start(self, now: float, pre_vote: bool, leadership_transfer: bool = False) -> None:
        """Asks the other voters for their votes.

        Without a pre-vote, a node that was cut off would return with a term that ends a good leader's.
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
        self._count(now)

    def _count(self, now: float) -> None:
        if not self._state.is_quorum(self._votes):
            return
        if self._state.role is Role.PRE_CANDIDATE:
            self.start(now, pre_vote=False)
        elif self._state.role is Role.CANDIDATE:
            self._won(now)

    def vote_requested(self, message: RequestVote, sender: str, now: float) -> None:
        """Answers a request of the present term, or a pre-vote."""
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

    def vote_answered(self, message: RequestVoteResponse, sender: str, now: float) -> None:
        """Counts a vote of the election or pre-vote that is under way."""
        state = self._state
        role = Role.PRE_CANDIDATE if message.pre_vote else Role.CANDIDATE
        term = state.term + 1 if message.pre_vote else state.term
        if message.granted and state.role is role and message.term == term:
            self._votes.add(sender)
            self._count(now)

    def _is_up_to_date(self, message: RequestVote) -> bool:
        """Guards what a majority has stored: only a node that has all of it may lead."""
        log = self._state.log
        return (message.last_term, message.last_index) >= (log.last_term, log.last_index)
