"""Membership changes of the group, one voter at a time. No I/O.

Any majority before such a change and any majority after it have a member in common, so two leaders cannot be
elected in one term. A new member starts as a learner and becomes a voter once it has nearly the whole log;
otherwise it would raise the quorum while it cannot confirm any entry yet.
"""

from __future__ import annotations

import msgspec

from zincladder.consensus.errors import BusyError
from zincladder.consensus.log_replication import LogReplication
from zincladder.consensus.model import Entry, EntryKind, Membership
from zincladder.consensus.raft_state import PeerProgress, RaftState

PROMOTION_LAG_ENTRIES = 64  # a learner that lacks at most this many entries becomes a voter


class MembershipChange:
    """Appends membership changes to the log of the leader."""

    def __init__(self, state: RaftState, replication: LogReplication) -> None:
        self._state, self._replication = state, replication

    def request(self, membership: Membership) -> int:
        """Appends the new membership and returns the index of its entry.

        Raises BusyError until the previous change and an entry of this term are committed, and if the change
        concerns more than one voter or leaves none.
        """
        state = self._state
        old, new = state.membership.voters, membership.voters
        if state.membership_change_is_open() or not state.has_committed_in_term():
            raise BusyError("another change of the members is not decided yet")
        if len(old.keys() ^ new.keys()) > 1 or not new:
            raise BusyError("one voter at a time")
        return self._append(membership)

    def promote_learner(self) -> None:
        """Makes the first learner that has nearly the whole log a voter, unless a change is open."""
        state = self._state
        if not state.has_committed_in_term() or state.membership_change_is_open():
            return
        membership = state.membership
        for name, address in membership.learners.items():
            match_index = state.peers[name].match_index
            if match_index and match_index + PROMOTION_LAG_ENTRIES >= state.log.last_index:
                learners = {
                    other: other_address
                    for other, other_address in membership.learners.items()
                    if other != name
                }
                self._append(Membership(membership.voters | {name: address}, learners))
                return

    def _append(self, membership: Membership) -> int:
        state = self._state
        names = sorted(membership.addresses.keys() - {state.name})
        state.peers = {name: state.peers.get(name) or self._new_peer() for name in names}
        return self._replication.append(
            Entry(state.term, EntryKind.MEMBERS, msgspec.msgpack.encode(membership))
        )

    def _new_peer(self) -> PeerProgress:
        return PeerProgress(self._state.log.last_index + 1, self._state.next_heartbeat_at)
