"""The policy's commands and SIGHUP, with real processes."""

from __future__ import annotations

import json
import random
import signal
from pathlib import Path

import anyio
import pytest

from tests.processes import Process, marked
from tests.support.policy_fleet import PolicyFleet, policy_fleet
from zincladder.policy.document import canonical
from zincladder.policy.model import ChangeOutcome

pytestmark = pytest.mark.anyio


async def test_of_two_commands_at_once_one_wins_and_the_other_is_rejected(tmp_path: Path) -> None:
    async with policy_fleet(tmp_path, fronts=1) as f:
        results: list[tuple[int, str]] = []

        async def propose(mark: int) -> None:
            results.append(await f.r.propose(mark))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(propose, 2)
            tasks.start_soon(propose, 3)
        won = [version for version, _ in results if version]
        lost = [reason for version, reason in results if not version]
        assert len(won) == 1 and len(lost) == 1 and ("came first" in lost[0] or "under way" in lost[0])
        assert (await f.r.outcome(won[0])).outcome is ChangeOutcome.ACTIVATED


def command(f: PolicyFleet, *words: str) -> Process:
    places = [f"--at={n}=127.0.0.1:{p}" for n, p in f.r.ports.items() if n.startswith("k")]
    name = f"command-{len(f.r.processes)}"
    folder = f.r.processes["k1"].folder.parent / name
    folder.mkdir()
    found = f.r.processes[name] = Process(name, folder, ["policy", "--group=test", *places, *words])
    found.start()
    return found


async def test_commands_propose_follow_and_revert(tmp_path: Path) -> None:
    async with policy_fleet(tmp_path, fronts=2) as f:
        file = tmp_path / "two.json"
        file.write_bytes(canonical({"settings": marked(2)}))
        traffic = f.traffic()
        propose = command(f, "propose", str(file), "--note", "second", "--author", "ana", "--json")
        assert await propose.ended() == 0
        lines = [json.loads(line) for line in propose.log_path.read_text().splitlines()]
        assert lines[-1] == {"version": 2, "outcome": "held", "reasons": [], "absent": []}
        await f.everywhere(traffic, 2)
        for words, text in (
            (("history",), "ana: second"),
            (("diff", "1"), "settings.domain.freshFor"),
            (("status",), "version 2"),
            (("show",), "1002"),
            (("check", str(file)), "0 keys differ from version 2"),
        ):
            process = command(f, *words)
            assert await process.ended() == 0
            assert text in process.log_path.read_text()
        again = command(f, "propose", str(file), "--note", "late", "--base", "1")
        assert await again.ended() == 1
        assert "version 2 is in force, not 1" in again.log_path.read_text()
        back = command(f, "back", "1")
        assert await back.ended() == 0
        await f.r.until("mark 1 again", lambda: all(traffic.history[-1 - n].mark == 1 for n in range(3)))
        assert (await f.r.record()).version == 3


@pytest.mark.parametrize("seed", range(2))
async def test_a_command_that_is_killed_leaves_no_partial_change(tmp_path: Path, seed: int) -> None:
    async with policy_fleet(tmp_path, fronts=2) as f:
        file = tmp_path / "two.json"
        file.write_bytes(canonical({"settings": marked(2)}))
        traffic = f.traffic()
        started = command(f, "propose", str(file), "--note", "killed")
        await anyio.sleep(random.Random(seed).uniform(0.2, 0.9))  # anywhere in it
        started.kill()

        async def settled() -> bool:
            return (await f.r.record()).open_change is None

        await f.r.until("no change is open", settled)
        record = await f.r.record()
        await f.everywhere(traffic, 2 if record.version == 2 else 1)
        traffic.judge()


async def test_sighup_of_a_key_that_the_policy_sets_is_rejected_by_name(tmp_path: Path) -> None:
    async with policy_fleet(tmp_path, fronts=1) as f:
        await f.r.change(2, ceilings={"attemptsCap": 5})
        traffic = f.traffic()
        await f.everywhere(traffic, 2)
        process, path = f.r.processes["f0"], tmp_path / "f0" / "config.json"
        own = json.loads(path.read_text())
        own["settings"]["ceilings"] |= {"attemptsCap": 7}
        path.write_text(json.dumps(own))
        process.send(signal.SIGHUP)
        turned = "configuration rejected, the old one is kept"
        (line,) = await f.r.until("it is rejected", lambda: process.events(turned))
        assert "'settings.ceilings.attemptsCap' is part of the fleet's policy" in line["reason"]
        own["settings"]["ceilings"] |= {"attemptsCap": 8, "maxRetryAfter": 0.7}
        path.write_text(json.dumps(own))
        process.send(signal.SIGHUP)
        await f.r.until("another key is taken", lambda: process.events("configuration reloaded"))
        began = anyio.current_time()
        await f.r.until("it serves", lambda: len(traffic.since("f0", began)) > 5)
        assert {a.mark for a in traffic.since("f0", began) if a.kind == "served"} == {
            2
        }  # under the policy all the same
