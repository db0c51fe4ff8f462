"""Tests changes of a fleet's policy with real processes, clients at every front, and faults of fronts.

Each answer shows the policy version under which it was decided. `traffic.check_invariants` checks that
once an answer has arrived, no front decides a later request under an older version than that answer's.
"""

from __future__ import annotations

import signal
from functools import partial
from pathlib import Path

import anyio
import pytest

from tests.processes import Process, free_port
from tests.support.policy_fleet import longest_pause, policy_fleet
from zincladder.policy.model import ChangeOutcome

pytestmark = pytest.mark.anyio


async def test_without_a_policy_a_front_is_not_ready_and_rejects_at_once(tmp_path: Path) -> None:
    async with policy_fleet(tmp_path, fronts=1, with_policy=False) as fleet:

        async def not_ready() -> bool:
            return await fleet.r.ready("f0") == "FAILURE no policy of the fleet yet"

        await fleet.r.until("the front reports that it has no policy", not_ready)
        traffic = fleet.traffic()
        await fleet.r.until("clients are answered", lambda: len(traffic.history) > 5)
        assert {a.kind for a in traffic.history} == {"Throttled"}
        assert max(a.ended - a.began for a in traffic.history[1:]) < 0.5
        assert (await fleet.r.change(1)).outcome is ChangeOutcome.ACTIVATED
        await fleet.wait_until_served(traffic, 1)


async def test_changes_are_activated_at_all_fronts_and_no_client_sees_an_older_version_again(
    tmp_path: Path,
) -> None:
    async with policy_fleet(tmp_path) as fleet:
        traffic = fleet.traffic()
        for mark in range(2, 8):
            entry = await fleet.r.change(mark)
            assert (entry.outcome, entry.absent) == (ChangeOutcome.ACTIVATED, ())
            await fleet.wait_until_served(traffic, mark)
        traffic.check_invariants()
        assert {a.kind for a in traffic.history} <= {"served", "booked", "Throttled"}
        assert longest_pause(traffic) < 0.5


async def test_a_front_that_was_down_during_a_change_applies_it_before_it_is_ready(tmp_path: Path) -> None:
    async with policy_fleet(tmp_path, fronts=3) as fleet:
        traffic = fleet.traffic("f0", "f1")
        fleet.r.processes["f2"].kill()
        entry = await fleet.r.change(2)
        assert (entry.outcome, entry.absent) == (ChangeOutcome.ACTIVATED, ("f2",))
        await fleet.wait_until_served(traffic, 2, "f0", "f1")
        await fleet.r.start_front("f2")
        late = fleet.traffic("f2")
        await fleet.r.serving("f2")
        assert "app.policy_version=2" in await fleet.r.told("f2", b"STATS\n")
        await fleet.wait_until_served(late, 2, "f2")
        assert {a.mark for a in late.history if a.kind == "served"} == {2}
        traffic.history += late.history
        traffic.check_invariants()


async def test_a_front_that_was_suspended_during_a_change_serves_no_old_version_when_it_resumes(
    tmp_path: Path,
) -> None:
    async with policy_fleet(tmp_path) as fleet:
        traffic = fleet.traffic()
        await fleet.wait_until_served(traffic, 1)
        fleet.r.processes["f1"].stop()
        entry = await fleet.r.change(2)
        assert entry.outcome is ChangeOutcome.ACTIVATED
        await fleet.wait_until_served(traffic, 2, "f0", "f2")
        resumed_at = anyio.current_time()
        fleet.r.processes["f1"].resume()
        await fleet.wait_until_served(traffic, 2, "f1")
        # Leaves out requests that f1 accepted before it was suspended: they may be served under version 1.
        after = [a for a in traffic.history if a.front == "f1" and a.began > resumed_at]
        assert after and {a.mark for a in after if a.kind == "served"} == {2}
        traffic.history = [a for a in traffic.history if a.front != "f1" or a.began > resumed_at]
        traffic.check_invariants()


@pytest.mark.parametrize("directions", [("to",), ("back",), ("to", "back")], ids="-".join)
async def test_a_front_that_is_cut_off_during_a_change_serves_no_old_version(
    tmp_path: Path, directions: tuple[str, ...]
) -> None:
    async with policy_fleet(tmp_path) as fleet:
        traffic = fleet.traffic()
        await fleet.wait_until_served(traffic, 1)
        fleet.r.block_front("f1", *directions)
        assert (await fleet.r.change(2)).outcome is ChangeOutcome.ACTIVATED
        await fleet.wait_until_served(traffic, 2, "f0", "f2")
        assert not traffic.served("f1", 2)
        fleet.r.block_front("f1")
        await fleet.wait_until_served(traffic, 2, "f1")
        traffic.check_invariants()


async def test_a_change_that_a_front_objects_to_is_withdrawn_with_its_reason(tmp_path: Path) -> None:
    async with policy_fleet(tmp_path, fronts=2) as fleet:
        # A class of a policy must have the keys that all classes in a front's file have. All classes in this
        # front's file have `aimStretch`, which the class of the policy lacks.
        page = {"name": "page", "onTime": 0.3, "deadline": 2.5, "effect": "idempotent"}
        own = [page | {"aimStretch": 1.0, "value": 2.0}]
        await fleet.r.front("odd", fleet.caches, "stop", categories=own)
        await fleet.r.serving("odd")
        traffic = fleet.traffic("f0", "f1", "odd")
        entry = await fleet.r.change(2, categories=[{"name": "page", "onTime": 0.3, "deadline": 2.5,
                                                "effect": "idempotent"}])  # fmt: skip
        assert entry.outcome is ChangeOutcome.WITHDRAWN
        assert entry.reasons == ("odd: 'settings.categories[0].aimStretch' is missing",)
        after = anyio.current_time()
        for name in ("f0", "f1"):
            await fleet.r.until("the front serves under the old version", partial(traffic.served, name, 1))
        assert {a.mark for a in traffic.history if a.kind == "served" and a.front != "odd"} == {1}
        late = partial(traffic.since, "odd", after)
        await fleet.r.until("the objecting front serves again", lambda: "served" in {a.kind for a in late()})


async def test_a_change_is_withdrawn_if_too_few_fronts_answer(tmp_path: Path) -> None:
    async with policy_fleet(tmp_path) as fleet:
        for name in ("f1", "f2"):
            fleet.r.processes[name].stop()
        entry = await fleet.r.change(2)
        assert entry.outcome is ChangeOutcome.WITHDRAWN
        assert entry.reasons == ("only 1 of 3 fronts answered",) and entry.absent == ("f1", "f2")
        for name in ("f1", "f2"):
            fleet.r.processes[name].resume()
        traffic = fleet.traffic()
        await fleet.wait_until_served(traffic, 1)


async def test_a_front_that_shuts_down_releases_its_lease_and_delays_no_change(tmp_path: Path) -> None:
    async with policy_fleet(tmp_path) as fleet:
        fleet.r.processes["f2"].send(signal.SIGTERM)
        assert await fleet.r.processes["f2"].ended() == 0
        began = anyio.current_time()
        assert (await fleet.r.change(2)).absent == ("f2",)
        # This is shorter than a lease, so the change did not wait for a lease to expire.
        assert anyio.current_time() - began < 1.4


async def test_all_other_fronts_serve_until_the_lease_of_a_killed_one_has_expired(tmp_path: Path) -> None:
    async with policy_fleet(tmp_path) as fleet:
        traffic = fleet.traffic("f0", "f1")
        await fleet.wait_until_served(traffic, 1, "f0", "f1")
        fleet.r.processes["f2"].kill()
        assert (await fleet.r.change(2)).outcome is ChangeOutcome.ACTIVATED
        await fleet.wait_until_served(traffic, 2, "f0", "f1")
        traffic.check_invariants()
        assert longest_pause(traffic) < 0.8  # less than the lease of the killed front


async def test_two_processes_of_one_front_both_have_to_agree_and_to_release(tmp_path: Path) -> None:
    async with policy_fleet(tmp_path, fronts=1) as fleet:
        old = fleet.r.processes["f0"]
        new = fleet.r.processes["f0-new"] = Process("f0-new", tmp_path / "f0-new", [], old.environ)
        new.folder.mkdir()
        await fleet.r.start_front("f0-new")
        await fleet.r.serving("f0-new")
        fleet.fronts.append("f0-new")
        traffic = fleet.traffic()
        assert (await fleet.r.change(2)).outcome is ChangeOutcome.ACTIVATED
        await fleet.wait_until_served(traffic, 2)
        old.stop()
        assert (await fleet.r.change(3)).outcome is ChangeOutcome.ACTIVATED
        await fleet.wait_until_served(traffic, 3, "f0-new")
        old.resume()
        await fleet.wait_until_served(traffic, 3)
        # The old process may still answer requests under version 2 that it accepted before it was stopped.
        traffic.history = [a for a in traffic.history if a.front != "f0" or a.mark != 2]
        traffic.check_invariants()


async def test_a_change_while_all_fronts_are_restarted_one_after_the_other(tmp_path: Path) -> None:
    async with policy_fleet(tmp_path, fronts=4) as fleet:
        traffic = fleet.traffic()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fleet.r.change, 2)
            for name in fleet.fronts:
                fleet.r.processes[name].kill()
                await fleet.r.start_front(name)
        await fleet.r.change_until_activated(3)
        await fleet.wait_until_served(traffic, 3)
        traffic.check_invariants()


async def test_an_upgrade_during_changes_loses_no_request_and_serves_no_old_version(tmp_path: Path) -> None:
    async with policy_fleet(tmp_path, fronts=2) as fleet:
        old = await fleet.r.front("up", fleet.caches, port=free_port())
        fleet.fronts.append("up")
        await fleet.r.serving("up")
        traffic = fleet.traffic()
        await fleet.wait_until_served(traffic, 1)

        async def changes() -> None:
            for mark in range(2, 7):
                await fleet.r.change_until_activated(mark)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(changes)
            new = fleet.r.processes["up-new"] = Process("up-new", tmp_path / "up-new", [], old.environ)
            new.folder.mkdir()
            await fleet.r.start_front("up-new")
            assert fleet.r.ports["up-new"] == fleet.r.ports["up"]  # it took over the listening socket
            await fleet.r.serving("up-new")
            old.send(signal.SIGTERM)
            assert await old.ended() == 0
        await fleet.wait_until_served(traffic, 6)
        traffic.check_invariants()
        assert {a.kind for a in traffic.history} == {"served", "booked", "Throttled"}


async def test_many_clients_during_a_change_get_one_answer_each_and_no_old_version(
    tmp_path: Path,
) -> None:
    async with policy_fleet(tmp_path, fronts=2) as fleet:
        flood = fleet.traffic(each=40, pause=0.0)
        await fleet.wait_until_served(flood, 1)
        for mark in (2, 3):
            await fleet.r.change_until_activated(mark)
            await fleet.wait_until_served(flood, mark)
        flood.check_invariants()
        assert {a.kind for a in flood.history} <= {"served", "booked", "Throttled"}
