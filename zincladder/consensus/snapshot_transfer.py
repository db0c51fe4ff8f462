"""Snapshots from the leader to members whose next entries it has compacted away, chunk by chunk. No I/O."""

from __future__ import annotations

from zincladder.consensus.model import (
    AppendEntriesResponse,
    InstallSnapshot,
    InstallSnapshotResponse,
    Snapshot,
)
from zincladder.consensus.raft_state import PeerProgress, RaftState

SNAPSHOT_CHUNK_BYTES = 128 << 10
MAX_SNAPSHOT_BYTES = 8 << 20  # held in memory before it is complete; a record on disk holds 16 MB


def send_chunk(state: RaftState, name: str, peer: PeerProgress) -> None:
    """Sends the peer its next chunk; an empty one, as a heartbeat, while an answer is awaited."""
    if peer.snapshot is None or peer.snapshot.index < peer.next_index:
        peer.snapshot, peer.offset = state.log.snapshot, 0
    snapshot = peer.snapshot
    chunk = b""
    if not peer.awaiting_response:
        chunk = snapshot.state[peer.offset : peer.offset + SNAPSHOT_CHUNK_BYTES]
    peer.awaiting_response |= bool(chunk)
    message = InstallSnapshot(
        state.term,
        state.message_serial,
        snapshot.index,
        snapshot.term,
        snapshot.membership,
        peer.offset,
        len(snapshot.state),
        chunk,
    )
    state.send(name, message)


class SnapshotReceiver:
    """Assembles the chunks of one snapshot at a time."""

    def __init__(self, state: RaftState) -> None:
        self._state = state
        self._data = bytearray()
        self._assembling = (0, 0)  # index and term of the snapshot that the chunks belong to

    def receive(self, message: InstallSnapshot, sender: str) -> Snapshot | None:
        """Takes a chunk and answers it. The snapshot once it is complete, by then in the log's place."""
        state = self._state
        if message.index <= state.commit_index:
            state.send(sender, AppendEntriesResponse(state.term, message.serial, True, message.index))
            return None
        if not self._add(message):
            received = len(self._data)
            state.send(sender, InstallSnapshotResponse(state.term, message.serial, message.index, received))
            return None
        snapshot = Snapshot(message.index, message.snapshot_term, message.membership, bytes(self._data))
        self._data, self._assembling = bytearray(), (0, 0)
        state.log.install_snapshot(snapshot)
        state.commit_index = message.index
        state.send(sender, AppendEntriesResponse(state.term, message.serial, True, message.index))
        return snapshot

    def _add(self, message: InstallSnapshot) -> bool:
        """Whether the snapshot is complete with this chunk; one out of order or too long is dropped."""
        if self._assembling != (message.index, message.snapshot_term):
            self._assembling, self._data = (message.index, message.snapshot_term), bytearray()
        end = message.offset + len(message.chunk)
        if message.offset == len(self._data) and end <= min(message.total_bytes, MAX_SNAPSHOT_BYTES):
            self._data += message.chunk
        return len(self._data) >= message.total_bytes
