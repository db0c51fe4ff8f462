"""Transfers snapshots in chunks to members that lack entries the leader has already compacted. No I/O."""

from __future__ import annotations

from zincladder.consensus.model import (
    AppendEntriesResponse,
    InstallSnapshot,
    InstallSnapshotResponse,
    Snapshot,
)
from zincladder.consensus.raft_state import PeerProgress, RaftState

SNAPSHOT_CHUNK_BYTES = 128 << 10
MAX_SNAPSHOT_BYTES = 8 << 20  # kept in memory while incomplete; a record on disk holds up to 16 MiB


def send_chunk(state: RaftState, name: str, peer: PeerProgress) -> None:
    """Sends the peer the next chunk, or an empty chunk as a heartbeat while a response is awaited."""
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
        self._assembling = (0, 0)  # index and term of the snapshot whose chunks are being collected

    def receive(self, message: InstallSnapshot, sender: str) -> Snapshot | None:
        """Handles a chunk and sends the response.

        Returns the snapshot once it is complete, after it has replaced the log; None before that.
        """
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
        """Adds a chunk unless it is out of order or too long; returns whether the snapshot is complete."""
        if self._assembling != (message.index, message.snapshot_term):
            self._assembling, self._data = (message.index, message.snapshot_term), bytearray()
        end = message.offset + len(message.chunk)
        if message.offset == len(self._data) and end <= min(message.total_bytes, MAX_SNAPSHOT_BYTES):
            self._data += message.chunk
        return len(self._data) >= message.total_bytes
