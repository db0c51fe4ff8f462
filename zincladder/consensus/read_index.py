"""Reads without a log entry: answered once a majority has confirmed that the leader still leads. No I/O.

This is the read index of Raft's dissertation (6.4). Without it a leader that was replaced while its process
was paused would answer from a state that others have changed since.
"""

from __future__ import annotations

from dataclasses import dataclass

from zincladder.consensus.errors import BusyError
from zincladder.consensus.raft_state import RaftState

MAX_PENDING_READS = 1024


@dataclass(slots=True)
class PendingRead:
    """A read that waits for a majority to answer a message later than `serial`."""

    ticket: int
    serial: int


class ReadIndex:
    """The reads of one leader's term, by the ticket that the caller has chosen."""

    def __init__(self, state: RaftState) -> None:
        self._state = state
        self._pending: list[PendingRead] = []
        self._before_first_commit: list[int] = []  # tickets that wait for the term's first committed entry
        self._ready: list[int] = []
        self._failed: list[int] = []
        self._needs_round = False

    def request(self, ticket: int) -> None:
        """Takes a read. BusyError where too many wait."""
        if len(self._pending) + len(self._before_first_commit) >= MAX_PENDING_READS:
            raise BusyError(f"{MAX_PENDING_READS} reads wait")
        if self._state.has_committed_in_term():
            self._await_round(ticket)
        else:
            self._before_first_commit.append(ticket)

    def committed(self) -> None:
        """An entry of the present term was committed: reads that waited for one go on."""
        for ticket in self._before_first_commit:
            self._await_round(ticket)
        self._before_first_commit.clear()

    def _await_round(self, ticket: int) -> None:
        self._pending.append(PendingRead(ticket, self._state.message_serial))
        self._needs_round = True

    def confirm(self) -> None:
        """Answers the reads that a majority has confirmed by now.

        Guards reads: a leader that was replaced while it was paused is confirmed by no majority.
        """
        while self._pending:
            serial = self._pending[0].serial
            peers = self._state.peers.items()
            answered = {name for name, peer in peers if peer.acknowledged_serial > serial}
            if not self._state.is_quorum(answered | {self._state.name}):
                return
            self._ready.append(self._pending.pop(0).ticket)

    def fail_all(self) -> None:
        """This node no longer leads: it can't answer any read that waits."""
        self._failed += [read.ticket for read in self._pending] + self._before_first_commit
        self._pending, self._before_first_commit = [], []

    def take_round(self) -> bool:
        """Whether a message to all peers is due, for reads that came since the last time."""
        needed, self._needs_round = self._needs_round, False
        return needed

    def take_results(self) -> tuple[tuple[int, ...], tuple[int, ...]]:
        """The tickets that were confirmed and those that failed since the last time."""
        ready, failed = tuple(self._ready), tuple(self._failed)
        self._ready, self._failed = [], []
        return ready, failed
