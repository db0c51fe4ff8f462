"""Leadership transfer: the leader asks a voter that has the whole log to start an election. No I/O."""

from __future__ import annotations

from zincladder.consensus.model import TimeoutNow
from zincladder.consensus.raft_state import RaftState


class LeadershipTransfer:
    """A transfer of the leadership to another voter.

    While it is `active`, the leader rejects new entries; otherwise no voter might ever catch up with its log.
    """

    def __init__(self, state: RaftState) -> None:
        self._state = state
        self.active = False

    def start(self) -> None:
        """Begins a transfer if this node leads."""
        if self._state.is_leader:
            self.active = True
            self.proceed()

    def proceed(self) -> None:
        """Asks a voter to start an election: of those with the whole log, the one that responded last."""
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
            successor = max(candidates, key=lambda name: state.peers[name].last_contact_at)
            state.send(successor, TimeoutNow(state.term))
