"""Tests how the leader assigns singleton tasks and grants leases on them, without I/O."""

from __future__ import annotations

from typing import Any

from tests.support.task_states import LEASE_TIMING
from zincladder.tasks.lease_manager import LeaseManager
from zincladder.tasks.model import (
    Assigned,
    LeaseGranted,
    Offer,
    ReleaseLease,
    RenewLease,
    Revoke,
    TaskAssignment,
)


class Leader:
    """A lease manager with a simulated clock, whose writes succeed at once."""

    def __init__(self, *names: str) -> None:
        self.now, self.index = 100.0, 1
        self.stored_assignments: dict[str, tuple[TaskAssignment, int]] = {}
        self.lease_manager = LeaseManager(LEASE_TIMING, self.now - 50)
        self.lease_manager.assignments_read(self.stored_assignments, self.now)
        self.messages: list[tuple[int, Any]] = []
        for n, name in enumerate(names, 1):
            self.lease_manager.link_opened(n, name, "p", self.now)
            self.receive(n, Offer(("a",)))

    def receive(self, number: int, message: Any) -> None:
        self.lease_manager.message_received(number, message, self.now)
        self.settle()

    def settle(self, seconds: float = 0.0) -> None:
        self.now += seconds
        self.lease_manager.tick(self.now)
        while (actions := self.lease_manager.take_actions()).writes or actions.messages:
            self.messages += actions.messages
            for write in actions.writes:
                assert (
                    write.expected_version
                    == self.stored_assignments.get(write.task, (TaskAssignment(), 0))[1]
                )
                self.index += 1
                self.stored_assignments[write.task] = (write.assignment, self.index)
            if actions.writes:
                self.lease_manager.assignments_read(self.stored_assignments, self.now)
            for write in actions.writes:
                self.lease_manager.write_ended(write.task, self.now)

    def holder(self) -> str:
        return self.stored_assignments["a"][0].lease_holder


def test_a_connected_holder_that_sends_no_renewal_loses_its_task_when_its_lease_expires() -> None:
    leader = Leader("x", "y")
    first = leader.holder()
    leader.settle(LEASE_TIMING.expiry_seconds - 0.1)
    assert leader.holder() == first
    leader.settle(0.2)
    assert leader.holder() != first and leader.holder()
    leader.settle(LEASE_TIMING.expiry_seconds + 0.1)  # the second runner is silent too
    assert leader.holder() == first


def test_no_lease_is_granted_while_a_reassignment_is_being_written() -> None:
    # Guards against a leader that took another entry of the log for the end of the write: the former holder
    # was granted a lease during the reassignment, and two processes held one.
    leader = Leader("x", "y")
    number, token = leader.lease_manager.holder_link("a"), leader.stored_assignments["a"][1]
    leader.now += LEASE_TIMING.expiry_seconds + 0.1
    leader.lease_manager.tick(leader.now)
    (write,) = leader.lease_manager.take_actions().writes
    leader.lease_manager.assignments_read(leader.stored_assignments, leader.now)  # another entry of the log
    leader.lease_manager.message_received(number, RenewLease(1, (("a", token),)), leader.now)
    actions = leader.lease_manager.take_actions()
    assert not actions.writes
    assert [message for _, message in actions.messages] == [
        LeaseGranted(1, (), LEASE_TIMING.holder_seconds, LEASE_TIMING.renew_seconds)
    ]
    leader.stored_assignments["a"] = (write.assignment, token + 1)
    leader.lease_manager.assignments_read(leader.stored_assignments, leader.now)
    leader.lease_manager.write_ended("a", leader.now)
    leader.receive(3 - number, RenewLease(1, (("a", token + 1),)))
    assert leader.messages[-1][1] == LeaseGranted(
        1, (("a", token + 1),), LEASE_TIMING.holder_seconds, LEASE_TIMING.renew_seconds
    )


def test_the_only_runner_keeps_its_task_however_long_it_sends_no_renewal() -> None:
    leader = Leader("x")
    token = leader.stored_assignments["a"][1]
    leader.settle(100.0)
    assert (leader.holder(), leader.stored_assignments["a"][1]) == ("x", token)
    leader.receive(1, RenewLease(1, (("a", token),)))
    assert LeaseGranted(1, (("a", token),), LEASE_TIMING.holder_seconds, LEASE_TIMING.renew_seconds) in [
        m for _, m in leader.messages
    ]


def test_a_task_is_reassigned_once_its_lease_has_expired_or_at_once_after_a_release() -> None:
    leader = Leader("x", "y")
    first = leader.holder()
    number = leader.lease_manager.holder_link("a")
    leader.receive(number, RenewLease(1, (("a", leader.stored_assignments["a"][1]),)))
    leader.lease_manager.link_closed(number, leader.now)
    leader.settle(LEASE_TIMING.expiry_seconds - 0.1)
    assert leader.holder() == first
    leader.settle(0.2)
    second = leader.holder()
    assert second and second != first
    other = leader.lease_manager.holder_link("a")
    leader.lease_manager.link_opened(9, "z", "p", leader.now)
    leader.receive(9, Offer(("a",)))
    leader.receive(other, Offer(()))
    leader.receive(other, ReleaseLease("a", leader.stored_assignments["a"][1]))
    assert leader.holder() == "z"


def test_a_release_of_a_token_that_was_never_leased_is_ignored_and_not_stored() -> None:
    # The release must not free the task, on which a former leader may have granted a lease. Nor may the names
    # in releases fill the memory, since a runner can name any tasks.
    lease_manager = LeaseManager(LEASE_TIMING, 100.0)
    lease_manager.assignments_read({"a": (TaskAssignment("x", "p"), 7)}, 100.0)
    lease_manager.link_opened(1, "y", "p", 100.0)
    lease_manager.message_received(1, Offer(("a",)), 100.0)
    for name in ("a", "b", "c"):
        lease_manager.message_received(1, ReleaseLease(name, 0), 100.0)
    assert not lease_manager.leases and not lease_manager.take_actions().writes
    lease_manager.tick(100.0 + LEASE_TIMING.expiry_seconds)
    assert lease_manager.take_actions().writes


def test_an_assignment_is_announced_on_the_holders_latest_link() -> None:
    # An older link may be half-open: the leader has not closed it yet, but messages on it are lost.
    leader = Leader("x")
    leader.lease_manager.link_opened(5, "x", "p", leader.now)
    leader.messages.clear()
    leader.receive(5, Offer(("a",)))
    assert leader.messages == [(5, Assigned("a", leader.stored_assignments["a"][1]))]


def test_a_paused_task_is_not_assigned_and_a_preferred_runner_gets_it_first() -> None:
    leader = Leader("x", "y", "z")
    first = leader.holder()
    number, token = leader.lease_manager.holder_link("a"), leader.stored_assignments["a"][1]
    preferred = next(n for n in "xyz" if n != first)
    leader.index += 1
    leader.stored_assignments["a"] = (TaskAssignment(paused=True, preferred_runner=preferred), leader.index)
    leader.lease_manager.assignments_read(leader.stored_assignments, leader.now)
    leader.settle()
    assert (number, Revoke("a", token)) in leader.messages
    leader.receive(number, ReleaseLease("a", token))
    leader.settle(50.0)
    assert leader.holder() == ""
    leader.index += 1
    leader.stored_assignments["a"] = (TaskAssignment(preferred_runner=preferred), leader.index)
    leader.lease_manager.assignments_read(leader.stored_assignments, leader.now)
    leader.settle()
    assert leader.holder() == preferred


def test_tasks_are_spread_and_the_order_of_links_does_not_matter() -> None:
    def assigned(order: list[str]) -> dict[str, str]:
        leader = Leader()
        for n, name in enumerate(order, 1):
            leader.lease_manager.link_opened(n, name, "p", leader.now)
            leader.lease_manager.runners[n].offered = frozenset(f"d{i}" for i in range(12))
        leader.settle()
        return {task: assignment.lease_holder for task, (assignment, _) in leader.stored_assignments.items()}

    names = ["w", "x", "y", "z"]
    one, two = assigned(names), assigned(names[::-1])
    assert one == two and len(one) == 12
    assert {list(one.values()).count(name) for name in names} == {3}
