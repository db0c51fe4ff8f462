"""Changes of a fleet's policy with real processes, and faults of the replicas and of clocks."""

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
    async with policy_fleet(tmp_path) as f:
        traffic = f.traffic()
        for mark in range(2, 5):
            leader = await f.r.leader()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(f.r.insist, mark)
                await anyio.sleep(draw.uniform(0, 0.08))
                f.r.processes[leader].kill()
            await f.everywhere(traffic, mark)
            await f.r.start(leader)
        traffic.judge()
        record = await f.r.record()
        assert record.open_change is None and [p.version for p in record.log] == sorted(
            p.version for p in record.log
        )


@pytest.mark.parametrize("cut_off", ["stop", "go_on"])
async def test_without_a_majority_of_replicas_fronts_stop_or_serve_on_as_configured(
    tmp_path: Path, cut_off: str
) -> None:
    async with policy_fleet(tmp_path, fronts=2, cut_off=cut_off) as f:
        traffic = f.traffic()
        await f.everywhere(traffic, 1)
        for name in ("k1", "k2"):
            f.r.processes[name].kill()
        cut = anyio.current_time()

        def late() -> list[str]:
            return [a.kind for a in traffic.history if a.began > cut + 2.0]

        await f.r.until("a lease is over", lambda: len(late()) > 20)
        assert set(late()) == ({"Throttled"} if cut_off == "stop" else {"served", "booked"})
        with pytest.raises((RequestFailedError, OutcomeUnknownError)):
            await f.r.propose(2)
        await f.r.start("k1")
        await f.r.insist(3)
        await f.everywhere(traffic, 3)
        traffic.judge()


async def test_a_leader_that_was_stopped_grants_nothing_when_it_wakes(tmp_path: Path) -> None:
    # its front reaches nobody else, and its asking lies in the old leader's buffer
    async with policy_fleet(tmp_path) as f:
        traffic = f.traffic()
        await f.everywhere(traffic, 1)
        old = await f.r.leader()
        f.r.processes[old].stop()
        for (front, replica), relay in f.r.relays.items():
            if front == "f0" and replica != old:
                relay.hold("to", "back")
        await f.r.leader(old)
        await f.r.insist(2)
        await f.everywhere(traffic, 2, "f1", "f2")
        f.r.processes[old].go_on()
        woke = anyio.current_time()
        await f.r.until("f0 is asked", lambda: len(traffic.since("f0", woke)) > 50)
        assert 1 not in {a.mark for a in traffic.since("f0", woke)}
        f.r.cut_front("f0")
        await f.everywhere(traffic, 2)
        traffic.judge()


@pytest.mark.parametrize("step", [*ChangePhase, ChangeOutcome.ACTIVATED])
async def test_a_leader_that_is_killed_right_after_each_state_leaves_no_partial_change(
    tmp_path: Path, step: ChangePhase | ChangeOutcome
) -> None:
    async with policy_fleet(tmp_path) as f:
        traffic = f.traffic("f0", "f1")
        await f.everywhere(traffic, 1, "f0", "f1")
        f.r.processes["f2"].stop()  # so that it stays CHECKING, and then DECIDED, for a while
        for (front, _), relay in f.r.relays.items():
            relay.delay = 0.07 if front == "f0" else 0.0  # and REVOKING
        leader = await f.r.leader()
        version, why = await f.r.propose(2)
        assert version == 2, why

        async def reached() -> bool:
            record = await f.r.record()
            found = record.open_change.phase if record.open_change else record.log[-1].outcome
            return str(found) == str(step)

        await f.r.until(f"it is {step}", reached)
        f.r.processes[leader].kill()
        f.r.processes["f2"].go_on()
        entry = await f.r.outcome(2)
        assert entry.outcome is ChangeOutcome.ACTIVATED or step is ChangePhase.CHECKING  # decided is decided
        await f.everywhere(traffic, 2 if entry.outcome is ChangeOutcome.ACTIVATED else 1, "f0", "f1")
        traffic.judge()
        if entry.outcome is ChangeOutcome.ACTIVATED:
            late = f.traffic("f2")
            await f.everywhere(late, 2, "f2")
            assert 1 not in {a.mark for a in late.history}


@pytest.mark.parametrize("drift, kept", [(0.009, True), (0.5, False)], ids=["within", "past"])
async def test_clocks_that_jump_or_drift_break_a_rule_only_past_the_bound(
    tmp_path: Path, drift: float, kept: bool
) -> None:
    # the bound is 1%: fronts that count slowly and replicas that count fast are the worst that it allows
    async with policy_fleet(tmp_path, drift=drift) as f:
        traffic = f.traffic()
        await f.everywhere(traffic, 1)
        f.r.cut_front("f1", "to", "back")
        assert (await f.r.change(2)).outcome is ChangeOutcome.ACTIVATED
        await f.everywhere(traffic, 2, "f0", "f2")
        cut = len(traffic.history)

        def stopped() -> bool:
            return any(a.front == "f1" and a.kind == "Throttled" for a in traffic.history[cut:])

        await f.r.until("f1 serves no more", stopped)
        if kept:
            traffic.judge()
        else:  # so it is the condition that the promise rests on, and the judge sees where it fails
            with pytest.raises(AssertionError, match="served under 1 after 2"):
                traffic.judge()


async def test_a_majority_lost_during_a_change_leaves_it_decided(tmp_path: Path) -> None:
    async with policy_fleet(tmp_path, fronts=3) as f:
        traffic = f.traffic("f0")
        await f.everywhere(traffic, 1, "f0")
        f.r.processes["f1"].stop()  # its lease is what the change waits for
        assert (await f.r.propose(2))[0] == 2

        async def decided() -> bool:
            found = (await f.r.record()).open_change
            return found is not None and found.phase is ChangePhase.DECIDED

        await f.r.until("it is decided", decided)
        for name in ("k1", "k2"):
            f.r.processes[name].kill()
        cut = anyio.current_time()
        await f.r.until(
            "the fleet stops", lambda: {a.kind for a in traffic.since("f0", cut)[-20:]} == {"Throttled"}
        )
        await f.r.start("k2")
        assert (await f.r.outcome(2)).outcome is ChangeOutcome.ACTIVATED
        await f.everywhere(traffic, 2, "f0")
        traffic.judge()
