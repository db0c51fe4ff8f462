"""Singleton tasks with real replicas and fronts, a receiver that knows fences, and faults between them.

The receiver records every push with its token, also those that it rejected. The judge: accepted ones are in
the order of their tokens and times, none comes twice, and no sum ever falls.
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


async def test_one_front_pushes_for_all_and_another_goes_on_when_it_is_killed(tmp_path: Path) -> None:
    async with task_fleet(tmp_path) as c:
        for _ in range(3):  # the successor dies too
            before = c.newest()
            holder = await c.holder()
            c.r.processes[holder].kill()
            with pytest.raises(OSError), socket.create_server(("127.0.0.1", c.r.ports[holder])):
                pass  # its clients, who still go there, would take another's bytes for its answers
            await c.more(after=before)
            assert await c.holder() != holder
            await c.r.start_front(holder)


async def test_a_holder_that_slept_past_its_lease_does_no_harm_when_it_wakes(tmp_path: Path) -> None:
    async with task_fleet(tmp_path) as c:
        old, before = await c.holder(), c.newest()
        process = c.r.processes[old]
        process.stop()
        await c.more(after=before)
        woken = len(c.receiver.pushes)
        process.go_on()
        await c.r.until("it has stopped", lambda: process.events("task stopped"))
        await c.more(after=before)
        assert not [p for p in c.receiver.pushes[woken:] if p.token <= before]


async def test_a_push_that_was_buffered_past_its_lease_is_rejected_where_it_arrives(
    tmp_path: Path,
) -> None:
    async with task_fleet(tmp_path) as c:
        old, before = await c.holder(), c.newest()
        way = c.r.relays[old, "receiver"]
        way.hold("to")
        await c.r.until("a push lies there", lambda: way.waiting)
        c.r.processes[old].stop()
        await c.more(after=before)
        way.hold()
        await c.r.until("it arrives", lambda: late(c, before))
        assert not late(c, before)[0].accepted
        c.r.processes[old].go_on()
        await c.more(after=before)


def late(c: TaskFleet, token: int) -> list[Push]:
    """Pushes under that token that came after one under a newer."""
    newer = next(n for n, p in enumerate(c.receiver.pushes) if p.token > token)
    return [p for p in c.receiver.pushes[newer:] if p.token <= token]


async def test_a_checkpoint_that_was_buffered_past_its_lease_is_rejected_by_the_log(tmp_path: Path) -> None:
    async with task_fleet(tmp_path) as c:
        old, before = await c.holder(), c.newest()
        c.r.cut_front(old, "to")  # all that it says lies there: its askings, and its progress
        await c.more(after=before)
        c.r.cut_front(old)
        client = c.r.client_of_replicas()
        kept = (await client.get("progress/figures"))["progress/figures"]
        assert await client.request(
            write_checkpoint("figures", before, kept.version, b"late")
        ) == FencingTokenRejected(c.newest())
        await c.more(after=before)


@pytest.mark.parametrize("ways", [("to",), ("back",), ("to", "back")], ids="-".join)
async def test_a_holder_that_is_cut_off_stops_and_another_takes_over(
    tmp_path: Path, ways: tuple[str, ...]
) -> None:
    async with task_fleet(tmp_path) as c:
        old, before = await c.holder(), c.newest()
        c.r.cut_front(old, *ways)
        await c.more(after=before)
        c.r.cut_front(old)
        assert await c.holder(old)
        await c.more(after=before)


@pytest.mark.parametrize("seed", range(2))
async def test_kills_at_any_moment_lose_no_checkpoint_and_push_nothing_twice(
    tmp_path: Path, seed: int
) -> None:
    # between keeping and pushing, between pushing and keeping, and anywhere else
    draw = random.Random(seed)
    async with task_fleet(tmp_path) as c:
        for _ in range(4):
            before, holder = c.newest(), await c.holder()
            await anyio.sleep(draw.uniform(0, PUSH_INTERVAL_SECONDS))
            c.r.processes[holder].kill()
            await c.r.start_front(holder)
            await c.more(1, after=before)


async def test_without_a_majority_nobody_holds_the_lease_and_the_task_goes_on_later(
    tmp_path: Path,
) -> None:
    async with task_fleet(tmp_path) as c:
        served = c.r.processes["f0"]
        for name in ("k1", "k2"):
            c.r.processes[name].kill()

        async def nobody() -> bool:
            told = [await c.r.told(name, b"STATS\n") for name in c.fronts]
            return all("app.duty_owned=0" in text for text in told)

        await c.r.until("nobody holds the lease", nobody)
        assert await c.r.ready("f0") == "SUCCESS" and served.popen is not None  # fronts go on serving
        stood, totals = len(c.receiver.pushes), c.receiver.accepted[-1].totals
        with pytest.raises((RequestFailedError, OutcomeUnknownError)):
            await c.r.client_of_replicas().compare_and_swap("x", 0, b"", 1.0)
        assert len(c.receiver.pushes) == stood
        await c.r.start("k1")
        await c.more()
        assert all(c.receiver.accepted[-1].totals[s] >= v for s, v in totals.items())


async def test_clocks_that_jump_and_drift_within_the_bound_make_no_second_holder(tmp_path: Path) -> None:
    async with task_fleet(tmp_path, drift=0.009) as c:
        before, holder = c.newest(), await c.holder()
        c.r.processes[holder].stop()
        await c.more(after=before)
        c.r.processes[holder].go_on()
        await c.more(after=before)


async def test_an_orderly_end_hands_the_task_over_before_the_lease_expires(tmp_path: Path) -> None:
    async with task_fleet(tmp_path) as c:
        before, holder = c.newest(), await c.holder()
        c.r.processes[holder].send(signal.SIGTERM)
        await c.more(1, after=before)
        assert c.vacancies()[-1] == f"given back by {holder}"  # so nobody had to wait for its lease
        assert await c.r.processes[holder].ended() == 0


async def test_an_upgrade_leaves_the_task_to_the_new_process_without_a_second_holder(tmp_path: Path) -> None:
    async with task_fleet(tmp_path, fronts=1) as c:
        old = await c.add("up", port=free_port())
        c.r.processes["f0"].kill()
        assert await c.holder() == "up"
        await c.more()
        before = c.newest()
        new = c.r.processes["up-new"] = Process("up-new", tmp_path / "up-new", [], old.environ)
        new.folder.mkdir()
        await c.r.start_front("up-new")
        c.fronts.append("up-new")
        old.send(signal.SIGTERM)
        await c.more(1, after=before)
        assert c.vacancies()[-1] == "given back by up"  # without a gap as long as a lease
        assert await old.ended() == 0
        assert await c.holder() == "up-new"


async def test_a_restart_of_all_fronts_ends_with_one_holder_that_keeps_the_task(tmp_path: Path) -> None:
    async with task_fleet(tmp_path, fronts=5) as c:
        before = c.newest()
        for name in c.fronts:
            c.r.processes[name].kill()
        async with anyio.create_task_group() as tasks:
            for name in c.fronts:
                tasks.start_soon(c.r.start_front, name)
        await c.more(10, after=before)
        assert len([t for t in c.receiver.tokens() if t > before]) == 1


def command(c: TaskFleet, *words: str) -> Process:
    places = [f"--at={n}=127.0.0.1:{p}" for n, p in c.r.ports.items() if n.startswith("k")]
    name = f"command-{len(c.r.processes)}"
    folder = c.r.processes["k1"].folder.parent / name
    folder.mkdir()
    found = c.r.processes[name] = Process(name, folder, ["tasks", "--group=test", *places, *words])
    found.start()
    return found


async def test_commands_show_move_pause_and_resume_a_task(tmp_path: Path) -> None:
    async with task_fleet(tmp_path) as c:

        async def said(*words: str, status: int = 0) -> str:
            process = command(c, *words)
            assert await process.ended() == status, process.log_path.read_text()
            return process.log_path.read_text()

        holder = await c.holder()
        assert f'"owner": "{holder}"' in await said("status", "--json")
        assert "figures" in await said("status")
        other = next(n for n in c.fronts if n != holder)
        await said("move", "figures", other)
        assert await c.holder(holder) == other
        await said("pause", "figures")

        async def nobody() -> bool:
            return '"owner": ""' in await said("status", "--json")

        await c.r.until("nobody holds the lease", nobody)
        stood = len(c.receiver.pushes)
        assert '"paused": true' in await said("status", "--json")
        await said("resume", "figures")
        await c.r.until("it goes on", lambda: len(c.receiver.pushes) > stood)
        assert "there is no task 'nothing'" in await said("pause", "nothing", status=1)
