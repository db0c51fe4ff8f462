"""Tests singleton tasks with real replicas and fronts, a receiver that checks fencing tokens, and faults.

The receiver records every push with its token, including those that it rejected. At the end of each test its
`check_invariants` checks that the accepted pushes are in the order of their tokens and times, that none was
accepted twice, and that no sum ever fell.
"""

from __future__ import annotations

import random
import signal
import socket
from pathlib import Path

import anyio
import anyio.abc
import pytest

from tests.processes import Process, free_port
from tests.support.task_fleet import PUSH_INTERVAL_SECONDS, Push, TaskFleet, task_fleet
from zincladder.consensus.errors import OutcomeUnknownError, RequestFailedError
from zincladder.consensus.key_value_state import FencingTokenRejected
from zincladder.tasks.model import write_checkpoint

pytestmark = pytest.mark.anyio


async def test_one_front_pushes_and_another_takes_over_when_it_is_killed(tmp_path: Path) -> None:
    async with task_fleet(tmp_path) as fleet:
        for _ in range(3):  # each successor is killed too
            before = fleet.newest()
            holder = await fleet.holder()
            fleet.r.processes[holder].kill()
            with pytest.raises(OSError), socket.create_server(("127.0.0.1", fleet.r.ports[holder])):
                pass  # the port is reserved, because the front's clients still connect to it
            await fleet.wait_for_pushes(after=before)
            assert await fleet.holder() != holder
            await fleet.r.start_front(holder)


async def test_a_holder_that_was_suspended_past_its_lease_pushes_nothing_when_it_resumes(
    tmp_path: Path,
) -> None:
    async with task_fleet(tmp_path) as fleet:
        old, before = await fleet.holder(), fleet.newest()
        process = fleet.r.processes[old]
        process.stop()
        await fleet.wait_for_pushes(after=before)
        push_count = len(fleet.receiver.pushes)
        process.resume()
        await fleet.r.until("the former holder has stopped the task", lambda: process.events("task stopped"))
        await fleet.wait_for_pushes(after=before)
        assert not [p for p in fleet.receiver.pushes[push_count:] if p.token <= before]


async def test_a_push_that_was_buffered_past_its_lease_is_rejected_by_the_receiver(
    tmp_path: Path,
) -> None:
    async with task_fleet(tmp_path) as fleet:
        old, before = await fleet.holder(), fleet.newest()
        relay = fleet.r.relays[old, "receiver"]
        relay.hold("to")
        await fleet.r.until("a push is buffered", lambda: relay.held_chunks)
        fleet.r.processes[old].stop()
        await fleet.wait_for_pushes(after=before)
        relay.hold()
        await fleet.r.until("the push arrives", lambda: late(fleet, before))
        assert not late(fleet, before)[0].accepted
        fleet.r.processes[old].resume()
        await fleet.wait_for_pushes(after=before)


def late(fleet: TaskFleet, token: int) -> list[Push]:
    """Returns the pushes under `token` or an older one that arrived after the first under a newer one."""
    newer = next(n for n, p in enumerate(fleet.receiver.pushes) if p.token > token)
    return [p for p in fleet.receiver.pushes[newer:] if p.token <= token]


async def test_a_checkpoint_that_was_buffered_past_its_lease_is_rejected_by_the_log(tmp_path: Path) -> None:
    async with task_fleet(tmp_path) as fleet:
        old, before = await fleet.holder(), fleet.newest()
        fleet.r.block_front(old, "to")  # holds back its renewals and checkpoints
        await fleet.wait_for_pushes(after=before)
        fleet.r.block_front(old)
        client = fleet.r.client_of_replicas()
        kept = (await client.get("progress/figures"))["progress/figures"]
        assert await client.request(
            write_checkpoint("figures", before, kept.version, b"late")
        ) == FencingTokenRejected(fleet.newest())
        await fleet.wait_for_pushes(after=before)


@pytest.mark.parametrize("directions", [("to",), ("back",), ("to", "back")], ids="-".join)
async def test_a_holder_that_is_cut_off_stops_and_another_takes_over(
    tmp_path: Path, directions: tuple[str, ...]
) -> None:
    async with task_fleet(tmp_path) as fleet:
        old, before = await fleet.holder(), fleet.newest()
        fleet.r.block_front(old, *directions)
        await fleet.wait_for_pushes(after=before)
        fleet.r.block_front(old)
        assert await fleet.holder(old)
        await fleet.wait_for_pushes(after=before)


@pytest.mark.parametrize("seed", range(2))
async def test_kills_at_any_moment_lose_no_checkpoint_and_push_nothing_twice(
    tmp_path: Path, seed: int
) -> None:
    # A kill may fall between storing a checkpoint and pushing, between pushing and storing, or anywhere else.
    draw = random.Random(seed)
    async with task_fleet(tmp_path) as fleet:
        for _ in range(4):
            before, holder = fleet.newest(), await fleet.holder()
            await anyio.sleep(draw.uniform(0, PUSH_INTERVAL_SECONDS))
            fleet.r.processes[holder].kill()
            await fleet.r.start_front(holder)
            await fleet.wait_for_pushes(1, after=before)


async def test_without_a_majority_no_front_holds_the_lease_and_the_task_continues_later(
    tmp_path: Path,
) -> None:
    async with task_fleet(tmp_path) as fleet:
        served = fleet.r.processes["f0"]
        for name in ("k1", "k2"):
            fleet.r.processes[name].kill()

        async def no_holder() -> bool:
            replies = [await fleet.r.told(name, b"STATS\n") for name in fleet.fronts]
            return all("app.duty_owned=0" in reply for reply in replies)

        await fleet.r.until("no front holds the lease", no_holder)
        assert await fleet.r.ready("f0") == "SUCCESS" and served.popen is not None  # fronts keep serving
        push_count, totals = len(fleet.receiver.pushes), fleet.receiver.accepted[-1].totals
        with pytest.raises((RequestFailedError, OutcomeUnknownError)):
            await fleet.r.client_of_replicas().compare_and_swap("x", 0, b"", 1.0)
        assert len(fleet.receiver.pushes) == push_count
        await fleet.r.start("k1")
        await fleet.wait_for_pushes()
        assert all(fleet.receiver.accepted[-1].totals[s] >= v for s, v in totals.items())


async def test_clocks_that_jump_and_drift_within_the_bound_make_no_second_holder(tmp_path: Path) -> None:
    async with task_fleet(tmp_path, drift=0.009) as fleet:
        before, holder = fleet.newest(), await fleet.holder()
        fleet.r.processes[holder].stop()
        await fleet.wait_for_pushes(after=before)
        fleet.r.processes[holder].resume()
        await fleet.wait_for_pushes(after=before)


async def test_a_shutdown_hands_the_task_over_before_the_lease_expires(tmp_path: Path) -> None:
    async with task_fleet(tmp_path) as fleet:
        before, holder = fleet.newest(), await fleet.holder()
        fleet.r.processes[holder].send(signal.SIGTERM)
        await fleet.wait_for_pushes(1, after=before)
        assert fleet.vacancy_reasons()[-1] == f"given back by {holder}"  # so its lease did not have to expire
        assert await fleet.r.processes[holder].ended() == 0


async def test_an_upgrade_leaves_the_task_to_the_new_process_without_a_second_holder(tmp_path: Path) -> None:
    async with task_fleet(tmp_path, fronts=1) as fleet:
        old = await fleet.add("up", port=free_port())
        fleet.r.processes["f0"].kill()
        assert await fleet.holder() == "up"
        await fleet.wait_for_pushes()
        before = fleet.newest()
        new = fleet.r.processes["up-new"] = Process("up-new", tmp_path / "up-new", [], old.environ)
        new.folder.mkdir()
        await fleet.r.start_front("up-new")
        fleet.fronts.append("up-new")
        old.send(signal.SIGTERM)
        await fleet.wait_for_pushes(1, after=before)
        assert fleet.vacancy_reasons()[-1] == "given back by up"  # so its lease did not have to expire
        assert await old.ended() == 0
        assert await fleet.holder() == "up-new"


async def test_a_restart_of_all_fronts_ends_with_one_holder_that_keeps_the_task(tmp_path: Path) -> None:
    async with task_fleet(tmp_path, fronts=5) as fleet:
        before = fleet.newest()
        for name in fleet.fronts:
            fleet.r.processes[name].kill()
        async with anyio.create_task_group() as tasks:
            for name in fleet.fronts:
                tasks.start_soon(fleet.r.start_front, name)
        await fleet.wait_for_pushes(10, after=before)
        assert len([t for t in fleet.receiver.tokens() if t > before]) == 1


def command(fleet: TaskFleet, *arguments: str) -> Process:
    addresses = [f"--at={n}=127.0.0.1:{p}" for n, p in fleet.r.ports.items() if n.startswith("k")]
    name = f"command-{len(fleet.r.processes)}"
    folder = fleet.r.processes["k1"].folder.parent / name
    folder.mkdir()
    process = fleet.r.processes[name] = Process(
        name, folder, ["tasks", "--group=test", *addresses, *arguments]
    )
    process.start()
    return process


async def test_commands_show_move_pause_and_resume_a_task(tmp_path: Path) -> None:
    async with task_fleet(tmp_path) as fleet:

        async def output_of(*arguments: str, status: int = 0) -> str:
            process = command(fleet, *arguments)
            assert await process.ended() == status, process.log_path.read_text()
            return process.log_path.read_text()

        holder = await fleet.holder()
        assert f'"owner": "{holder}"' in await output_of("status", "--json")
        assert "figures" in await output_of("status")
        other = next(n for n in fleet.fronts if n != holder)
        await output_of("move", "figures", other)
        assert await fleet.holder(holder) == other
        await output_of("pause", "figures")

        async def no_holder() -> bool:
            return '"owner": ""' in await output_of("status", "--json")

        await fleet.r.until("no front holds the lease", no_holder)
        push_count = len(fleet.receiver.pushes)
        assert '"paused": true' in await output_of("status", "--json")
        await output_of("resume", "figures")
        await fleet.r.until("the pushes continue", lambda: len(fleet.receiver.pushes) > push_count)
        assert "there is no task 'nothing'" in await output_of("pause", "nothing", status=1)
