"""Tests the commands of `zincladder policy`, and SIGHUP under a policy, with real processes."""

from __future__ import annotations

import json
import random
import signal
from pathlib import Path

import anyio
import pytest

from tests.processes import Process, settings_with_mark
from tests.support.policy_fleet import PolicyFleet, policy_fleet
from zincladder.policy.document import canonical
from zincladder.policy.model import ChangeOutcome

pytestmark = pytest.mark.anyio


async def test_of_two_concurrent_proposals_one_is_activated_and_the_other_rejected(tmp_path: Path) -> None:
    async with policy_fleet(tmp_path, fronts=1) as fleet:
        results: list[tuple[int, str]] = []

        async def propose(mark: int) -> None:
            results.append(await fleet.r.propose(mark))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(propose, 2)
            tasks.start_soon(propose, 3)
        won = [version for version, _ in results if version]
        lost = [reason for version, reason in results if not version]
        assert len(won) == 1 and len(lost) == 1 and ("came first" in lost[0] or "under way" in lost[0])
        assert (await fleet.r.outcome(won[0])).outcome is ChangeOutcome.ACTIVATED


def command(fleet: PolicyFleet, *arguments: str) -> Process:
    addresses = [f"--at={n}=127.0.0.1:{p}" for n, p in fleet.r.ports.items() if n.startswith("k")]
    name = f"command-{len(fleet.r.processes)}"
    folder = fleet.r.processes["k1"].folder.parent / name
    folder.mkdir()
    process = fleet.r.processes[name] = Process(
        name, folder, ["policy", "--group=test", *addresses, *arguments]
    )
    process.start()
    return process


async def test_commands_propose_show_and_revert_a_policy(tmp_path: Path) -> None:
    async with policy_fleet(tmp_path, fronts=2) as fleet:
        file = tmp_path / "two.json"
        file.write_bytes(canonical({"settings": settings_with_mark(2)}))
        traffic = fleet.traffic()
        propose = command(fleet, "propose", str(file), "--note", "second", "--author", "ana", "--json")
        assert await propose.ended() == 0
        lines = [json.loads(line) for line in propose.log_path.read_text().splitlines()]
        assert lines[-1] == {"version": 2, "outcome": "held", "reasons": [], "absent": []}
        await fleet.wait_until_served(traffic, 2)
        for arguments, text in (
            (("history",), "ana: second"),
            (("diff", "1"), "settings.domain.freshFor"),
            (("status",), "version 2"),
            (("show",), "1002"),
            (("check", str(file)), "0 keys differ from version 2"),
        ):
            process = command(fleet, *arguments)
            assert await process.ended() == 0
            assert text in process.log_path.read_text()
        outdated = command(fleet, "propose", str(file), "--note", "late", "--base", "1")
        assert await outdated.ended() == 1
        assert "version 2 is in force, not 1" in outdated.log_path.read_text()
        revert = command(fleet, "back", "1")
        assert await revert.ended() == 0
        await fleet.r.until(
            "the latest answers are under mark 1",
            lambda: all(traffic.history[-1 - n].mark == 1 for n in range(3)),
        )
        assert (await fleet.r.record()).version == 3


@pytest.mark.parametrize("seed", range(2))
async def test_a_command_that_is_killed_leaves_no_partial_change(tmp_path: Path, seed: int) -> None:
    async with policy_fleet(tmp_path, fronts=2) as fleet:
        file = tmp_path / "two.json"
        file.write_bytes(canonical({"settings": settings_with_mark(2)}))
        traffic = fleet.traffic()
        started = command(fleet, "propose", str(file), "--note", "killed")
        await anyio.sleep(random.Random(seed).uniform(0.2, 0.9))  # at any point of its run
        started.kill()

        async def settled() -> bool:
            return (await fleet.r.record()).open_change is None

        await fleet.r.until("no change is open", settled)
        record = await fleet.r.record()
        await fleet.wait_until_served(traffic, 2 if record.version == 2 else 1)
        traffic.check_invariants()


async def test_a_reload_that_changes_a_key_of_the_policy_is_rejected_and_the_key_named(
    tmp_path: Path,
) -> None:
    async with policy_fleet(tmp_path, fronts=1) as fleet:
        await fleet.r.change(2, ceilings={"attemptsCap": 5})
        traffic = fleet.traffic()
        await fleet.wait_until_served(traffic, 2)
        process, path = fleet.r.processes["f0"], tmp_path / "f0" / "config.json"
        own = json.loads(path.read_text())
        own["settings"]["ceilings"] |= {"attemptsCap": 7}
        path.write_text(json.dumps(own))
        process.send(signal.SIGHUP)
        rejected_event = "configuration rejected; keeping the previous one"
        (line,) = await fleet.r.until("the reload is rejected", lambda: process.events(rejected_event))
        assert "'settings.ceilings.attemptsCap' is part of the fleet's policy" in line["reason"]
        own["settings"]["ceilings"] |= {"attemptsCap": 8, "maxRetryAfter": 0.7}
        path.write_text(json.dumps(own))
        process.send(signal.SIGHUP)
        await fleet.r.until(
            "a reload that changes another key is applied", lambda: process.events("configuration reloaded")
        )
        began = anyio.current_time()
        await fleet.r.until("the front serves", lambda: len(traffic.since("f0", began)) > 5)
        # The policy still overrides the front's file.
        assert {a.mark for a in traffic.since("f0", began) if a.kind == "served"} == {2}
