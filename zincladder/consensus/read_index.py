"""Linearizable reads without a log entry: a majority confirms first that the leader still leads. No I/O.

This is the ReadIndex algorithm of the Raft dissertation (section 6.4). Without it, a leader that was replaced
while its process was paused would answer from a stale state.
"""

from __future__ import annotations

from dataclasses import dataclass

from zincladder.consensus.errors import BusyError
from zincladder.consensus.raft_state import RaftState

MAX_PENDING_READS = 1024


@dataclass(slots=True)
class PendingRead:
    """A read that waits until a majority has answered messages with a serial above `serial`."""

    ticket: int
    serial: int


class ReadIndex:
    """The reads of one leader's term. Each is identified by a ticket that the caller chooses."""

    def __init__(self, state: RaftState) -> None:
        self._state = state
        self._pending: list[PendingRead] = []
        self._before_first_commit: list[int] = []  # tickets that wait for the first commit of the term
        self._ready: list[int] = []
        self._failed: list[int] = []
        self._needs_broadcast = False

    def request(self, ticket: int) -> None:
        """Adds a read. Raises BusyError if too many are pending."""
        if len(self._pending) + len(self._before_first_commit) >= MAX_PENDING_READS:
            raise BusyError(f"{MAX_PENDING_READS} reads wait")
        if self._state.has_committed_in_term():
            self._await_confirmation(ticket)
        else:
            self._before_first_commit.append(ticket)

    def on_commit(self) -> None:
        """Continues the reads that waited for the first commit of the term."""
        for ticket in self._before_first_commit:
            self._await_confirmation(ticket)
        self._before_first_commit.clear()

    def _await_confirmation(self, ticket: int) -> None:
        self._pending.append(PendingRead(ticket, self._state.message_serial))
        self._needs_broadcast = True

    def confirm(self) -> None:
        """Marks each read as ready once a majority has confirmed the leadership after its request.

        A leader that was replaced while it was paused gets no such confirmation, so it answers no stale read.
        """
        while self._pending:
            serial = self._pending[0].serial
            peers = self._state.peers.items()
            answered = {name for name, peer in peers if peer.acknowledged_serial > serial}
            if not self._state.is_quorum(answered | {self._state.name}):
                return
            self._ready.append(self._pending.pop(0).ticket)

    def fail_all(self) -> None:
        """Fails all pending reads, because this node no longer leads."""
        self._failed += [read.ticket for read in self._pending] + self._before_first_commit
        self._pending, self._before_first_commit = [], []

    def take_broadcast_request(self) -> bool:
        """Returns whether reads were added since the last call, so that a message to all peers is needed."""
        needed, self._needs_broadcast = self._needs_broadcast, False
        return needed

    def take_results(self) -> tuple[tuple[int, ...], tuple[int, ...]]:
        """Returns the tickets confirmed and the tickets failed since the last call."""
        ready, failed = tuple(self._ready), tuple(self._failed)
        self._ready, self._failed = [], []
        return ready, failed
