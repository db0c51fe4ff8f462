"""Changes of the group's members, one voter at a time. No I/O.

Majorities before and after such a change have a member in common, so that no two leaders can be elected in
one term. A new member is a learner first, and becomes a voter once it has nearly the whole log: else it would
count for the quorum before it can confirm anything.
"""

from __future__ import annotations

import msgspec

from zincladder.consensus.errors import BusyError
from zincladder.consensus.log_replication import LogReplication
from zincladder.consensus.model import Entry, EntryKind, Membership
from zincladder.consensus.raft_state import PeerProgress, RaftState

PROMOTION_LAG_ENTRIES = 64  # a learner that lacks no more becomes a voter


class MembershipChange:
    """The leader's side of such changes."""

    def __init__(self, state: RaftState, replication: LogReplication) -> None:
        self._state, self._replication = state, replication

    def request(self, membership: Membership) -> int:
        """Appends the entry; its index. BusyError while another change is open, or for several voters."""
        state = self._state
        old, new = state.membership.voters, membership.voters
        if state.membership_change_is_open() or not state.has_committed_in_term():
            raise BusyError("another change of the members is not decided yet")
        if len(old.keys() ^ new.keys()) > 1 or not new:
            raise BusyError("one voter at a time")
        return self._append(membership)

    def promote_learner(self) -> None:
        """Makes the first learner that has nearly the whole log a voter."""
        state = self._state
        if not state.has_committed_in_term() or state.membership_change_is_open():
            return
        membership = state.membership
        for name, address in membership.learners.items():
            match_index = state.peers[name].match_index
            if match_index and match_index + PROMOTION_LAG_ENTRIES >= state.log.last_index:
                learners = {other: at for other, at in membership.learners.items() if other != name}
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
