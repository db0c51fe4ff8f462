"""Leadership transfer: the leader lets a voter that has the whole log be elected at once. No I/O."""

from __future__ import annotations

from zincladder.consensus.model import TimeoutNow
from zincladder.consensus.raft_state import RaftState


class LeadershipTransfer:
    """While `active`, the leader accepts no entries: else no voter might ever have the whole log."""

    def __init__(self, state: RaftState) -> None:
        self._state = state
        self.active = False

    def start(self) -> None:
        """Begins, if this node leads."""
        if self._state.is_leader:
            self.active = True
            self.proceed()

    def proceed(self) -> None:
        """Tells the voter heard last, of those that have the whole log, to stand for election."""
        state = self._state
        if not self.active or not state.is_leader:
            return
        last_index = state.log.last_index
        candidates = [
            name
            for name in state.membership.voters
            if name in state.peers and state.peers[name].match_index == last_index
        ]
        if candidates:
            successor = max(candidates, key=lambda name: state.peers[name].heard_at)
            state.send(successor, TimeoutNow(state.term))
