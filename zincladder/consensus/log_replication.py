"""Log replication: sends the leader's entries to its peers and commits what a majority has stored. No I/O."""

from __future__ import annotations

from collections.abc import Callable

from zincladder.consensus.model import (
    AppendEntries,
    AppendEntriesResponse,
    Entry,
    InstallSnapshotResponse,
)
from zincladder.consensus.raft_state import PeerProgress, RaftState
from zincladder.consensus.read_index import ReadIndex
from zincladder.consensus.snapshot_transfer import send_chunk

MAX_ENTRIES_PER_MESSAGE = 256
MAX_ENTRY_BYTES_PER_MESSAGE = 256 << 10  # a single larger entry is still sent


def handle_append_entries(state: RaftState, message: AppendEntries, sender: str) -> None:
    """Stores the leader's entries if they follow this node's log, and sends the response."""
    prev_index, entries = message.prev_index, message.entries
    snapshot_index = state.log.snapshot_index
    if prev_index < snapshot_index:
        # The snapshot covers only committed entries, and those are the same at the leader.
        entries = entries[snapshot_index - prev_index :]
        prev_index = min(snapshot_index, prev_index + len(message.entries))
    elif state.log.term_at(prev_index) != message.prev_term:
        hint = _next_index_hint(state, prev_index)
        state.send(sender, AppendEntriesResponse(state.term, message.serial, False, prev_index, hint))
        return
    state.log.replace_from(prev_index + 1, entries)
    stored_index = prev_index + len(entries)
    state.commit_index = max(state.commit_index, min(message.commit_index, stored_index))
    state.send(sender, AppendEntriesResponse(state.term, message.serial, True, stored_index))


def _next_index_hint(state: RaftState, prev_index: int) -> int:
    """The index at which the leader compares the logs next.

    It skips all entries of the differing term at once, so that very different logs match after few rounds.
    """
    if prev_index > state.log.last_index:
        return state.log.last_index
    return state.log.first_index_of_term(prev_index) - 1


class LogReplication:
    """Replication by the leader. `on_removed` is called once the removal of this node is committed."""

    def __init__(self, state: RaftState, reads: ReadIndex, on_removed: Callable[[], None]) -> None:
        self._state, self._reads, self._on_removed = state, reads, on_removed

    def broadcast(self) -> None:
        """Sends each peer the entries that it lacks, or a heartbeat."""
        for name, peer in self._state.peers.items():
            self.send_next(name, peer)

    def heartbeat(self) -> None:
        """Does the same as `broadcast`, and resends what was not answered since the last heartbeat."""
        for peer in self._state.peers.values():
            peer.awaiting_response = False
        self.broadcast()

    def send_next(self, name: str, peer: PeerProgress) -> None:
        """Sends a peer its next entries or snapshot chunk, or a heartbeat while a response is awaited."""
        state = self._state
        state.message_serial += 1
        if peer.next_index <= state.log.snapshot_index:
            send_chunk(state, name, peer)
            return
        peer.snapshot = None
        entries: tuple[Entry, ...] = ()
        if not peer.awaiting_response:
            entries = state.log.entries_from(
                peer.next_index, MAX_ENTRIES_PER_MESSAGE, MAX_ENTRY_BYTES_PER_MESSAGE
            )
        peer.awaiting_response |= bool(entries)
        prev_index = peer.next_index - 1
        prev_term = state.log.term_at(prev_index)
        commit_index = min(state.commit_index, state.log.last_index)
        message = AppendEntries(
            state.term, state.message_serial, prev_index, prev_term, commit_index, entries
        )
        state.send(name, message)

    def append(self, entry: Entry) -> int:
        """Appends an entry to the leader's log, sends it to the peers and returns its index."""
        index = self._state.log.append(entry)
        for name, peer in self._state.peers.items():
            if not peer.awaiting_response:
                self.send_next(name, peer)
        self._advance_commit_index()
        return index

    def handle_append_response(self, message: AppendEntriesResponse, sender: str, now: float) -> None:
        """Handles the response of a peer that has stored entries, or whose log does not match."""
        peer = self._acknowledge(sender, message.serial, now)
        if peer is None:
            return
        if message.success:
            if message.index > peer.match_index:
                peer.match_index, peer.match_serial = message.index, message.serial
            peer.next_index = max(peer.next_index, peer.match_index + 1)
            peer.awaiting_response = False
            self._advance_commit_index()
        elif message.index <= peer.match_index:
            # The peer rejects an index that it has confirmed in this term. Either the response was delayed,
            # which its serial shows, or the peer's directory is an older copy. Index 0 is the response to a
            # message from an earlier term of this leader and does not show what the peer stores.
            peer.stale |= message.index > 0 and message.serial > peer.match_serial
            return
        elif message.index == peer.next_index - 1:
            peer.next_index = max(peer.match_index, min(message.next_index_hint, message.index - 1)) + 1
            peer.awaiting_response = False
        lacks_entries = peer.next_index <= self._state.log.last_index
        if not peer.awaiting_response and (lacks_entries or not message.success):
            self.send_next(sender, peer)

    def handle_snapshot_response(self, message: InstallSnapshotResponse, sender: str, now: float) -> None:
        """Handles the response of a peer that asks for the next chunk of a snapshot."""
        peer = self._acknowledge(sender, message.serial, now)
        if peer is not None and peer.snapshot and peer.snapshot.index == message.index:
            peer.offset = min(message.offset, len(peer.snapshot.state))
            peer.awaiting_response = False
            self.send_next(sender, peer)

    def _acknowledge(self, sender: str, serial: int, now: float) -> PeerProgress | None:
        """Records that a peer has answered; returns its progress, or None if the response doesn't count.

        Non-members and members with an older copy of their directory must not count for a quorum.
        """
        peer = self._state.peers.get(sender)
        if not self._state.is_leader or peer is None or peer.stale:
            return None
        peer.last_contact_at = now
        peer.acknowledged_serial = max(peer.acknowledged_serial, serial)
        self._reads.confirm()
        return peer

    def _advance_commit_index(self) -> None:
        """Commits the entries that a majority has stored.

        Only an entry of the current term is committed by counting: a majority may store an entry of an
        earlier term and a later leader may still replace it (figure 8 of the Raft paper).
        """
        state = self._state
        index = self._index_stored_by_majority()
        if index <= state.commit_index or state.log.term_at(index) != state.term:
            return
        state.commit_index = index
        self._reads.on_commit()
        self.broadcast()  # so that peers learn the commit index before the next heartbeat
        if not state.is_voter and not state.membership_change_is_open():
            self._on_removed()

    def _index_stored_by_majority(self) -> int:
        stored = sorted(self._stored_index(name) for name in self._state.membership.voters)
        return stored[(len(stored) - 1) // 2] if stored else 0

    def _stored_index(self, name: str) -> int:
        """The index of the last entry that a voter is known to store.

        The leader's own entries count before they are on disk, because the host writes them before it sends
        or applies anything.
        """
        if name == self._state.name:
            return self._state.log.last_index
        peer = self._state.peers.get(name)
        return peer.match_index if peer else 0
