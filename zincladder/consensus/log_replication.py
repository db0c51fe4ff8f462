"""Log replication: the leader's entries to its peers, their answers, and what they commit. No I/O."""

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
MAX_ENTRIES_BYTES = 256 << 10  # in a message; one entry goes whatever its size


def follow(state: RaftState, message: AppendEntries, sender: str) -> None:
    """A follower takes the entries that fit its log, and answers."""
    prev_index, entries = message.prev_index, message.entries
    snapshot_index = state.log.snapshot_index
    if prev_index < snapshot_index:  # all that the snapshot covers is committed, and so the same there
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
    """Skips a whole term of entries that differ, so that a log far off needs few rounds."""
    if prev_index > state.log.last_index:
        return state.log.last_index
    return state.log.first_index_of_term(prev_index) - 1


class LogReplication:
    """The leader's side. `removed` is called when the entry that removes this node is committed."""

    def __init__(self, state: RaftState, reads: ReadIndex, removed: Callable[[], None]) -> None:
        self._state, self._reads, self._removed = state, reads, removed

    def broadcast(self) -> None:
        """A message to each peer: entries where it lacks some, else a heartbeat."""
        for name, peer in self._state.peers.items():
            self.send_next(name, peer)

    def heartbeat(self) -> None:
        """As `broadcast`, and what was not answered since the last one is sent again."""
        for peer in self._state.peers.values():
            peer.awaiting_response = False
        self.broadcast()

    def send_next(self, name: str, peer: PeerProgress) -> None:
        """The next entries, or the next chunk of a snapshot; a heartbeat where an answer is awaited."""
        state = self._state
        state.message_serial += 1
        if peer.next_index <= state.log.snapshot_index:
            send_chunk(state, name, peer)
            return
        peer.snapshot = None
        entries: tuple[Entry, ...] = ()
        if not peer.awaiting_response:
            entries = state.log.entries_from(peer.next_index, MAX_ENTRIES_PER_MESSAGE, MAX_ENTRIES_BYTES)
        peer.awaiting_response |= bool(entries)
        prev_index = peer.next_index - 1
        prev_term = state.log.term_at(prev_index)
        commit_index = min(state.commit_index, state.log.last_index)
        message = AppendEntries(
            state.term, state.message_serial, prev_index, prev_term, commit_index, entries
        )
        state.send(name, message)

    def append(self, entry: Entry) -> int:
        """Appends to the leader's log and sends it on; its index."""
        index = self._state.log.append(entry)
        for name, peer in self._state.peers.items():
            if not peer.awaiting_response:
                self.send_next(name, peer)
        self._advance_commit_index()
        return index

    def entries_answered(self, message: AppendEntriesResponse, sender: str, now: float) -> None:
        """A peer has stored entries, or its log differs from what was sent."""
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
            # Stored and gone again in one term: it runs on an older directory, unless the answer came late.
            # 0 answers a message of an earlier term of this leader, and tells nothing of what is stored.
            peer.stale |= message.index > 0 and message.serial > peer.match_serial
            return
        elif message.index == peer.next_index - 1:
            peer.next_index = max(peer.match_index, min(message.next_index_hint, message.index - 1)) + 1
            peer.awaiting_response = False
        lacks_entries = peer.next_index <= self._state.log.last_index
        if not peer.awaiting_response and (lacks_entries or not message.success):
            self.send_next(sender, peer)

    def chunk_answered(self, message: InstallSnapshotResponse, sender: str, now: float) -> None:
        """A peer names the chunk of a snapshot that it wants next."""
        peer = self._acknowledge(sender, message.serial, now)
        if peer is not None and peer.snapshot and peer.snapshot.index == message.index:
            peer.offset = min(message.offset, len(peer.snapshot.state))
            peer.awaiting_response = False
            self.send_next(sender, peer)

    def _acknowledge(self, sender: str, serial: int, now: float) -> PeerProgress | None:
        """Guards quorums: whoever is no member, or runs on an older directory, is not counted."""
        peer = self._state.peers.get(sender)
        if not self._state.is_leader or peer is None or peer.stale:
            return None
        peer.heard_at = now
        peer.acknowledged_serial = max(peer.acknowledged_serial, serial)
        self._reads.confirm()
        return peer

    def _advance_commit_index(self) -> None:
        """Commits what a majority has stored.

        Only entries of the present term are counted: an older one that a majority stores can still be lost
        (figure 8 of the paper).
        """
        state = self._state
        index = self._index_stored_by_majority()
        if index <= state.commit_index or state.log.term_at(index) != state.term:
            return
        state.commit_index = index
        self._reads.committed()
        self.broadcast()  # peers learn of the commit now rather than at the next heartbeat
        if not state.is_voter and not state.membership_change_is_open():
            self._removed()

    def _index_stored_by_majority(self) -> int:
        stored = sorted(self._stored_index(name) for name in self._state.membership.voters)
        return stored[(len(stored) - 1) // 2] if stored else 0

    def _stored_index(self, name: str) -> int:
        """The last index that a voter stores.

        The leader's own entries count before they are on disk: the host writes them before it sends or
        applies anything.
        """
        if name == self._state.name:
            return self._state.log.last_index
        peer = self._state.peers.get(name)
        return peer.match_index if peer else 0
