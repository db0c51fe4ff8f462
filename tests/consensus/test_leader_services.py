"""Tests that an error in a service of the leader does not end its replica."""

from __future__ import annotations

import math
from types import SimpleNamespace
from typing import Any, cast

import anyio
import anyio.abc
import msgspec
import pytest

from zincladder.consensus.key_value_state import CompareAndSwap, KeyValueState
from zincladder.consensus.leader_services import LeaderService
from zincladder.consensus.lease_timing import LEASE_TIMING_KEY, LeaseTiming
from zincladder.consensus.raft_state import Role
from zincladder.consensus.server import ReplicaServer

pytestmark = pytest.mark.anyio
FAILURES = 3


class CountingTerm:
    """A term state that decides nothing."""

    term = 1
    next_at = math.inf

    def tick(self, now: float) -> None:
        pass

    def link_opened(self, number: int, name: str, instance_id: str, now: float) -> str:
        return ""

    def link_closed(self, number: int, now: float) -> None:
        pass

    def message_received(self, number: int, message: Any, now: float) -> None:
        pass


class FailingService(LeaderService[CountingTerm]):
    """Raises an error over the group's state, and later one in a write that it has started."""

    role, messages = "test", str

    def __init__(self, replica: ReplicaServer, lease_timing: LeaseTiming) -> None:
        super().__init__(replica, lease_timing)
        self.terms = self.reads = 0
        self.works = anyio.Event()

    def begin_term(self, since: float, term: int) -> CountingTerm:
        self.terms += 1
        return CountingTerm()

    def state_changed(self, term_state: CountingTerm) -> None:
        self.reads += 1
        if self.reads <= FAILURES:
            raise ZeroDivisionError("a value of the group that cannot be handled")

    def execute(self, term_state: CountingTerm, tasks: anyio.abc.TaskGroup) -> None:
        if self.reads <= 2 * FAILURES:
            tasks.start_soon(self._fail)
        else:
            self.works.set()

    async def _fail(self) -> None:
        raise ZeroDivisionError("a write that fails")

    def not_leader_message(self, leader: str) -> str:
        return leader

    def progress(self) -> dict[str, object]:
        return {}


async def test_a_service_that_fails_starts_anew_and_its_replica_goes_on() -> None:
    # Guards against a value or message that ends each replica in turn, as soon as it leads.
    timing, state = LeaseTiming(), KeyValueState()
    state.apply(
        1, msgspec.msgpack.encode(CompareAndSwap(LEASE_TIMING_KEY, 0, msgspec.msgpack.encode(timing)))
    )

    async def confirm_leadership() -> None:
        await anyio.sleep(0)

    replica = SimpleNamespace(
        state=state, applied_index=1, confirm_leadership=confirm_leadership,
        node=SimpleNamespace(role=Role.LEADER, term=1, leader="k1"),
        state_listeners=[], link_handlers={}, progress_reporters=[],
    )  # fmt: skip
    service = FailingService(cast(ReplicaServer, replica), timing)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(service.run)
        with anyio.fail_after(10):
            await service.works.wait()
        tasks.cancel_scope.cancel()
    # Each start is one of a new leader: it assumes nothing about the leases that it may have granted.
    assert service.terms == 2 * FAILURES + 1
