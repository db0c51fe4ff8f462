"""Tests changes of a fleet's policy with real processes, during faults of replicas and of clocks."""

from __future__ import annotations

import random
from pathlib import Path

import anyio
import pytest

from tests.support.policy_fleet import policy_fleet
from zincladder.consensus.errors import OutcomeUnknownError, RequestFailedError
from zincladder.policy.model import ChangeOutcome, ChangePhase

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize("seed", range(3))
async def test_a_leader_that_is_killed_at_any_moment_leaves_no_partial_change(
    tmp_path: Path, seed: int
) -> None:
    draw = random.Random(seed)
    async with policy_fleet(tmp_path) as fleet:
        traffic = fleet.traffic()
        for mark in range(2, 5):
            leader = await fleet.r.leader()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(fleet.r.change_until_activated, mark)
                await anyio.sleep(draw.uniform(0, 0.08))
                fleet.r.processes[leader].kill()
            await fleet.wait_until_served(traffic, mark)
            await fleet.r.start(leader)
        traffic.check_invariants()
        record = await fleet.r.record()
        assert record.open_change is None and [p.version for p in record.log] == sorted(
            p.version for p in record.log
        )


@pytest.mark.parametrize("cut_off", ["stop", "go_on"])
async def test_without_a_majority_of_replicas_fronts_stop_or_serve_on_as_configured(
    tmp_path: Path, cut_off: str
) -> None:
    async with policy_fleet(tmp_path, fronts=2, cut_off=cut_off) as fleet:
        traffic = fleet.traffic()
        await fleet.wait_until_served(traffic, 1)
        for name in ("k1", "k2"):
            fleet.r.processes[name].kill()
        majority_lost_at = anyio.current_time()

        def late() -> list[str]:
            return [a.kind for a in traffic.history if a.began > majority_lost_at + 2.0]

        await fleet.r.until("the leases have expired", lambda: len(late()) > 20)
        assert set(late()) == ({"Throttled"} if cut_off == "stop" else {"served", "booked"})
        with pytest.raises((RequestFailedError, OutcomeUnknownError)):
            await fleet.r.propose(2)
        await fleet.r.start("k1")
        await fleet.r.change_until_activated(3)
        await fleet.wait_until_served(traffic, 3)
        traffic.check_invariants()


async def test_a_leader_that_was_suspended_grants_no_lease_when_it_resumes(tmp_path: Path) -> None:
    # Front f0 reaches only the stopped leader, and its renewals wait in that leader's receive buffer.
    async with policy_fleet(tmp_path) as fleet:
        traffic = fleet.traffic()
        await fleet.wait_until_served(traffic, 1)
        old = await fleet.r.leader()
        fleet.r.processes[old].stop()
        for (front, replica), relay in fleet.r.relays.items():
            if front == "f0" and replica != old:
                relay.hold("to", "back")
        await fleet.r.leader(old)
        await fleet.r.change_until_activated(2)
        await fleet.wait_until_served(traffic, 2, "f1", "f2")
        fleet.r.processes[old].resume()
        resumed_at = anyio.current_time()
        await fleet.r.until("f0 has received requests", lambda: len(traffic.since("f0", resumed_at)) > 50)
        assert 1 not in {a.mark for a in traffic.since("f0", resumed_at)}
        fleet.r.block_front("f0")
        await fleet.wait_until_served(traffic, 2)
        traffic.check_invariants()


@pytest.mark.parametrize("step", [*ChangePhase, ChangeOutcome.ACTIVATED])
async def test_a_leader_that_is_killed_right_after_each_state_leaves_no_partial_change(
    tmp_path: Path, step: ChangePhase | ChangeOutcome
) -> None:
    async with policy_fleet(tmp_path) as fleet:
        traffic = fleet.traffic("f0", "f1")
        await fleet.wait_until_served(traffic, 1, "f0", "f1")
        fleet.r.processes["f2"].stop()  # so that the change stays CHECKING, then DECIDED, for a while
        for (front, _), relay in fleet.r.relays.items():
            relay.delay = 0.07 if front == "f0" else 0.0  # so that it stays REVOKING for a while
        leader = await fleet.r.leader()
        version, reason = await fleet.r.propose(2)
        assert version == 2, reason

        async def reached() -> bool:
            record = await fleet.r.record()
            state = record.open_change.phase if record.open_change else record.log[-1].outcome
            return str(state) == str(step)

        await fleet.r.until(f"the change is {step}", reached)
        fleet.r.processes[leader].kill()
        fleet.r.processes["f2"].resume()
        entry = await fleet.r.outcome(2)
        assert entry.outcome is ChangeOutcome.ACTIVATED or step is ChangePhase.CHECKING  # DECIDED is final
        await fleet.wait_until_served(
            traffic, 2 if entry.outcome is ChangeOutcome.ACTIVATED else 1, "f0", "f1"
        )
        traffic.check_invariants()
        if entry.outcome is ChangeOutcome.ACTIVATED:
            late = fleet.traffic("f2")
            await fleet.wait_until_served(late, 2, "f2")
            assert 1 not in {a.mark for a in late.history}


@pytest.mark.parametrize("drift, kept", [(0.009, True), (0.5, False)], ids=["within", "past"])
async def test_clocks_that_jump_or_drift_break_the_invariant_only_beyond_the_bound(
    tmp_path: Path, drift: float, kept: bool
) -> None:
    # The bound is 1%. Slow clocks of fronts and fast clocks of replicas are the worst case.
    async with policy_fleet(tmp_path, drift=drift) as fleet:
        traffic = fleet.traffic()
        await fleet.wait_until_served(traffic, 1)
        fleet.r.block_front("f1", "to", "back")
        assert (await fleet.r.change(2)).outcome is ChangeOutcome.ACTIVATED
        await fleet.wait_until_served(traffic, 2, "f0", "f2")
        answered = len(traffic.history)

        def stopped() -> bool:
            return any(a.front == "f1" and a.kind == "Throttled" for a in traffic.history[answered:])

        await fleet.r.until("f1 has stopped serving", stopped)
        if kept:
            traffic.check_invariants()
        else:  # beyond the bound the invariant is broken, and `check_invariants` reports it
            with pytest.raises(AssertionError, match="served under 1 after 2"):
                traffic.check_invariants()


async def test_a_majority_lost_during_a_change_leaves_it_decided(tmp_path: Path) -> None:
    async with policy_fleet(tmp_path, fronts=3) as fleet:
        traffic = fleet.traffic("f0")
        await fleet.wait_until_served(traffic, 1, "f0")
        fleet.r.processes["f1"].stop()  # the change waits for its lease to expire
        assert (await fleet.r.propose(2))[0] == 2

        async def decided() -> bool:
            change = (await fleet.r.record()).open_change
            return change is not None and change.phase is ChangePhase.DECIDED

        await fleet.r.until("the change is decided", decided)
        for name in ("k1", "k2"):
            fleet.r.processes[name].kill()
        majority_lost_at = anyio.current_time()
        await fleet.r.until(
            "f0 rejects requests",
            lambda: {a.kind for a in traffic.since("f0", majority_lost_at)[-20:]} == {"Throttled"},
        )
        await fleet.r.start("k2")
        assert (await fleet.r.outcome(2)).outcome is ChangeOutcome.ACTIVATED
        await fleet.wait_until_served(traffic, 2, "f0")
        traffic.check_invariants()
