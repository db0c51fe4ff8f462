"""Tests of Raft: simulated groups with seeded faults, rules broken on purpose, and single nodes."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.support.raft_simulation import InvariantError, SimulatedDisk, SimulatedGroup
from zincladder.consensus.election import Election
from zincladder.consensus.model import (
    AppendEntries,
    AppendEntriesResponse,
    Entry,
    EntryKind,
    HardState,
    Membership,
    Output,
    RequestVote,
    RequestVoteResponse,
    Snapshot,
    StoredState,
)
from zincladder.consensus.raft import RaftNode
from zincladder.consensus.raft_state import RaftState, Role
from zincladder.consensus.read_index import ReadIndex

INITIAL_MEMBERS = Membership({"a": "127.0.0.1:1", "b": "127.0.0.1:2", "c": "127.0.0.1:3"})


def entries_of(*terms: int) -> tuple[Entry, ...]:
    return tuple(Entry(term, EntryKind.DATA, b"entry %d" % i) for i, term in enumerate(terms))


def run_simulation(seed: int) -> SimulatedGroup:
    """Runs three or five voters. Two of three seeds change members; in three of four, any step can crash."""
    group = SimulatedGroup(seed, 3 + 2 * (seed % 2), spare=seed % 3)
    group.crash_probability = (0.0, 0.002, 0.004, 0.03)[seed % 4]
    group.play(20)
    return group


# In simulation ------------------------------------------------------------------------------------


@pytest.mark.parametrize("block", range(8))
def test_no_acknowledged_entry_is_lost_and_no_term_has_two_leaders_under_faults(block: int) -> None:
    counts = {"acknowledged": 0, "reads": 0, "crashes": 0, "changes": 0, "snapshots": 0}
    for seed in range(block * 60, block * 60 + 60):
        for name, count in run_simulation(seed).counts.items():
            counts[name] += count
    # The test is meaningful only if entries, reads and every kind of fault occurred.
    assert counts["acknowledged"] > 300 and counts["reads"] > 100 and counts["crashes"] > 100
    assert counts["changes"] > 10 and counts["snapshots"] > 50


def test_a_replica_that_missed_two_snapshots_receives_the_later_after_the_earlier() -> None:
    # Guards against a fault seen with real processes: the leader resent the earlier snapshot for ever, so
    # the replica never caught up.
    group = SimulatedGroup(3)
    group.run(20)
    leader = group.leader()
    assert leader is not None and leader.node is not None
    lagging = next(p for p in group.processes.values() if p is not leader)
    group.crash(lagging)
    for _ in range(2):
        for n in range(6):
            leader.node.propose(b"%d of %d" % (n, leader.index))
            group.process_output(leader)
            group.run(group.now + 1)
        leader.node.compact(leader.index, group.dump(leader))
        group.process_output(leader)
        group.run(group.now + 3)
    group.heal_and_check()
    assert lagging.state == leader.state and len(lagging.state) >= 12


@settings(max_examples=60, deadline=None)
@given(st.integers(1000, 10**9))
def test_any_seed_keeps_the_invariants(seed: int) -> None:
    run_simulation(seed)


def acknowledge_before_writing(monkeypatch: pytest.MonkeyPatch) -> None:
    write = SimulatedDisk.write

    def mutated(self: SimulatedDisk, output: Output) -> None:
        entries_before = list(self.entries)
        write(self, output)
        if len(self.entries) > len(entries_before) and not output.snapshot:
            self.entries = self.entries[:-1]

    monkeypatch.setattr(SimulatedDisk, "write", mutated)
    monkeypatch.setattr(
        SimulatedDisk, "stored", property(lambda s: StoredState(s.hard_state, s.snapshot, tuple(s.entries)))
    )


def answer_unconfirmed_reads(monkeypatch: pytest.MonkeyPatch) -> None:
    def mutated(self: ReadIndex) -> None:
        self._ready += [read.ticket for read in self._pending]
        self._pending.clear()

    monkeypatch.setattr(ReadIndex, "confirm", mutated)


def vote_for_any_candidate(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Election, "_is_up_to_date", lambda self, message: True)


def accept_half_as_quorum(monkeypatch: pytest.MonkeyPatch) -> None:
    def mutated(self: RaftState, names: object) -> bool:
        voters = self.membership.voters
        return 2 * len(voters.keys() & set(names)) >= len(voters) - 1  # type: ignore[call-overload]

    monkeypatch.setattr(RaftState, "is_quorum", mutated)


Mutation = Callable[[pytest.MonkeyPatch], None]
MUTATIONS = [
    acknowledge_before_writing,
    answer_unconfirmed_reads,
    vote_for_any_candidate,
    accept_half_as_quorum,
]


@pytest.mark.parametrize("breaks", MUTATIONS, ids=lambda b: b.__name__)
def test_the_simulation_detects_each_rule_that_is_broken_on_purpose(
    breaks: Mutation, monkeypatch: pytest.MonkeyPatch
) -> None:
    breaks(monkeypatch)
    with pytest.raises((InvariantError, AssertionError)):
        for seed in range(400):
            run_simulation(seed)


class VoteLosingDisk(SimulatedDisk):
    """A disk that stores the term but loses the vote."""

    def write(self, output: Output) -> None:
        super().write(output)
        self.hard_state = HardState(self.hard_state.term, "")


def count_leaders(disk: SimulatedDisk) -> int:
    """Lets two candidates of one term request the vote of one voter, which restarts after each request.

    Returns how many of the candidates are elected.
    """
    others = {
        n: RaftNode(n, SimulatedDisk(HardState(), Snapshot(0, 0, INITIAL_MEMBERS)).stored, 0.0, ord(n))
        for n in "ac"
    }
    voter = RaftNode("b", disk.stored, 0.0, 1)
    for pre in (True, False):
        requests = {}
        for name, member in others.items():
            if pre:
                member.tick(10.0)
            requests[name] = [m for to, m in member.take_output().messages if to == "b"]
        for name, messages in requests.items():
            for message in messages:
                assert isinstance(message, RequestVote) and message.pre_vote is pre
                voter.receive(name, message, 10.0)
                output = voter.take_output()
                disk.write(output)
                for to, answer in output.messages:
                    others[to].receive("b", answer, 10.0)
            voter = RaftNode("b", disk.stored, 10.0, 1)
    leading = [m for m in others.values() if m.role is Role.LEADER]
    assert {m.term for m in leading} == {1}
    return len(leading)


def test_a_stored_vote_survives_a_kill_and_a_lost_one_elects_two_leaders() -> None:
    assert count_leaders(SimulatedDisk(HardState(), Snapshot(0, 0, INITIAL_MEMBERS))) == 1
    assert count_leaders(VoteLosingDisk(HardState(), Snapshot(0, 0, INITIAL_MEMBERS))) == 2


def test_entries_of_an_old_leader_are_rejected_with_the_new_term() -> None:
    disk = SimulatedDisk(HardState(3, "c"), Snapshot(0, 0, INITIAL_MEMBERS), list(entries_of(3, 3)))
    member = RaftNode("b", disk.stored, 0.0, 1)
    member.receive("a", AppendEntries(2, 1, 1, 3, 2, entries_of(2, 2)), 0.0)
    output = member.take_output()
    assert not output.has_writes and not output.committed
    ((to, answer),) = output.messages
    assert to == "a" and answer == AppendEntriesResponse(3, 1, False, 0)


def test_an_entry_of_an_older_term_is_committed_only_by_one_of_the_present_term() -> None:
    # Guards against the case of figure 8 in the Raft paper: although a majority has stored an entry of an
    # older term, a later leader may still overwrite it.
    disk = SimulatedDisk(HardState(2, "b"), Snapshot(0, 0, INITIAL_MEMBERS), list(entries_of(1, 2)))
    member = RaftNode("b", disk.stored, 0.0, 1)
    for answers in ({"pre_vote": True}, {"pre_vote": False}):
        if answers["pre_vote"]:
            member.tick(10.0)
        member.receive("a", RequestVoteResponse(3, True, **answers), 10.0)
    assert member.role is Role.LEADER and member.log.last_index == 3
    member.take_output()
    member.receive("a", AppendEntriesResponse(3, 99, True, 2), 10.1)
    assert member.commit_index == 0
    member.receive("a", AppendEntriesResponse(3, 100, True, 3), 10.2)
    assert member.commit_index == 3


def leader_with_committed_entry() -> RaftNode:
    """A leader of three whose first entry is committed."""
    member = RaftNode("b", SimulatedDisk(HardState(), Snapshot(0, 0, INITIAL_MEMBERS)).stored, 0.0, 1)
    member.tick(10.0)
    for pre in (True, False):
        member.receive("a", RequestVoteResponse(1, True, pre), 10.0)
    member.take_output()
    member.receive("a", AppendEntriesResponse(1, 1, True, 1), 10.0)
    assert member.role is Role.LEADER and member.commit_index == 1
    member.take_output()
    return member


def test_a_leader_that_removes_itself_fails_its_pending_reads() -> None:
    member = leader_with_committed_entry()
    member.change_membership(Membership({n: w for n, w in INITIAL_MEMBERS.voters.items() if n != "b"}))
    member.request_read(7)  # before the removal is committed
    member.take_output()
    for name in "ac":  # responses to messages that were sent before the read was requested
        member.receive(name, AppendEntriesResponse(1, 1, True, 2), 10.1)
    assert member.role is Role.FOLLOWER and member.take_output().failed_reads == (7,)


def test_a_response_to_an_earlier_term_marks_no_peer_as_stale() -> None:
    # Guards against a fault seen on a busy machine: a replica that responded late was marked as stale and
    # had to be removed and added again.
    member = leader_with_committed_entry()
    member.receive("c", AppendEntriesResponse(1, 1, False, 0), 10.1)  # answers a message of an earlier term
    assert member.stale_peers == []
    member.receive("c", AppendEntriesResponse(1, 2, True, 1), 10.2)
    member.receive("c", AppendEntriesResponse(1, 3, False, 1), 10.3)  # c confirmed this entry before
    assert member.stale_peers == ["c"]
