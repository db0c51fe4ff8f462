"""Tests with replicas that run as real processes and are killed, paused and partitioned."""

from __future__ import annotations

import contextlib
import resource
import shutil
import signal
from pathlib import Path

import anyio
import pytest

from tests.processes import ProcessCluster, process_cluster
from zincladder.consensus import rpc
from zincladder.consensus.client import Client
from zincladder.consensus.errors import OutcomeUnknownError, RequestFailedError
from zincladder.consensus.key_value_state import Swapped, VersionMismatch

pytestmark = pytest.mark.anyio


async def test_acknowledged_writes_survive_a_kill_of_every_replica(tmp_path: Path) -> None:
    async with process_cluster(tmp_path) as r:
        names = await r.replicas(3)
        version = await r.write("a", b"1")
        for name in names:
            r.processes[name].kill()
        for name in names:
            await r.start(name)
        found = await r.client().get("a")
        assert found["a"].data == b"1" and found["a"].version == version


async def test_a_write_survives_a_kill_of_the_leader_right_after_its_response(tmp_path: Path) -> None:
    async with process_cluster(tmp_path) as r:
        await r.replicas(3)
        for n in range(3):
            leader = await r.leader()
            await r.write(f"key{n}", b"%d" % n)
            r.processes[leader].kill()
            found = await r.client().get("key")
            assert [v.data for v in found.values()] == [b"%d" % i for i in range(n + 1)]
            await r.start(leader)


async def test_one_of_two_writers_with_the_same_version_gets_a_version_mismatch(tmp_path: Path) -> None:
    async with process_cluster(tmp_path) as r:
        await r.replicas(3)
        results: list[object] = []

        async def write(value: bytes) -> None:
            results.append(await r.client().compare_and_swap("x", 0, value))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(write, b"one")
            tasks.start_soon(write, b"two")
        (won,) = [s for s in results if isinstance(s, Swapped)]
        assert [s for s in results if isinstance(s, VersionMismatch)] == [VersionMismatch(won.version)]


async def test_a_replica_accepts_no_record_that_it_cannot_decode(tmp_path: Path) -> None:
    # Guards against a fault that was seen: one such write terminated the leader, and then each replica that
    # became the next leader.
    async with process_cluster(tmp_path) as r:
        await r.replicas(1)
        for key, reason in (("policy", "no record"), ("terms", "own"), ("document/1", "by its content")):
            with pytest.raises(RequestFailedError, match=reason):
                await r.client().compare_and_swap(key, 0, b"1")
        assert isinstance(await r.client().compare_and_swap("x", 0, b"1"), Swapped)


async def test_a_leader_that_was_paused_answers_no_stale_read(tmp_path: Path) -> None:
    async with process_cluster(tmp_path) as r:
        await r.replicas(3)
        old = await r.leader()
        await r.write("a", b"before")
        r.processes[old].stop()
        new = await r.leader(old)
        await r.write("a", b"after", *(r.ports.keys() - {old}))
        r.processes[old].resume()
        # Reads at once from the old leader, which may not have received a message of the new term yet.
        addresses = {old: f"127.0.0.1:{r.ports[old]}"}
        try:
            found = await Client("test", addresses, "late").get("a", 2.0)
            assert found["a"].data == b"after"
        except RequestFailedError as error:
            assert new in str(error) or "knows no leader" in str(error)


async def test_a_minority_commits_nothing_and_reports_it(tmp_path: Path) -> None:
    async with process_cluster(tmp_path) as r:
        names = await r.replicas(3)
        leader = await r.leader()
        await r.write("a", b"1")
        rest = [n for n in names if n != leader]
        for name in rest:
            r.processes[name].kill()
        with pytest.raises((OutcomeUnknownError, RequestFailedError)):
            await r.client(leader).compare_and_swap("a", 1, b"2", 3.0)
        with pytest.raises(RequestFailedError):
            await r.client(leader).get("a", 2.0)
        await r.start(rest[0])
        assert (await r.client().get("a"))["a"].data in (b"1", b"2")


@pytest.mark.parametrize("heard, hears", [(True, True), (True, False), (False, True)])
async def test_a_partitioned_leader_is_replaced_and_its_open_write_is_done_or_not(
    tmp_path: Path, heard: bool, hears: bool
) -> None:
    # The old leader is cut off in both directions, or only its sent or only its received messages are lost.
    async with process_cluster(tmp_path) as r:
        names = await r.replicas(3)
        old = await r.leader()
        first = await r.write("a", b"1")
        r.cut(old, heard=heard, hears=hears)
        try:
            result = await r.client(old).compare_and_swap("a", first, b"2", 3.0)
            acknowledged = isinstance(result, Swapped)
        except (OutcomeUnknownError, RequestFailedError):
            acknowledged = False
        if heard:  # the others receive no heartbeats, so they elect a new leader
            new = await r.leader(old)
            assert new != old
        await r.write("b", b"1", *(n for n in names if n != old))
        r.heal()
        found = await r.client().get("")
        assert found["b"].data == b"1"
        assert found["a"].data == b"2" or not acknowledged
        await r.until("all three agree", lambda: have_same_commit_index(r, names))


async def have_same_commit_index(r: ProcessCluster, names: list[str]) -> bool:
    statuses = [await r.status(name) for name in names]
    reached = [status for status in statuses if status is not None]
    if len(reached) < len(names):
        return False
    return all(status.leader and status.commit_index == reached[0].commit_index for status in reached)


async def test_links_reset_in_the_middle_of_messages_lose_no_acknowledged_write(
    tmp_path: Path,
) -> None:
    async with process_cluster(tmp_path) as r:
        await r.replicas(3)
        for n in range(12):
            for i, relay in enumerate(r.relays.values()):
                if n % 3 == 0:
                    relay.bytes_before_reset = 5 + 7 * i + n
                elif n % 3 == 1:
                    await relay.reset()
            await r.write(f"x/{n:02}", b"%d" % n)
        found = await r.client().get("x/")
        assert [v.data for v in found.values()] == [b"%d" % n for n in range(12)]


async def test_a_replica_with_an_empty_directory_is_rejected_until_it_is_added_again(
    tmp_path: Path,
) -> None:
    # A replica that has lost its vote could elect a leader that lacks acknowledged writes.
    async with process_cluster(tmp_path) as r:
        names = await r.replicas(3)
        leader = await r.leader()
        lost = next(n for n in names if n != leader)
        await r.write("a", b"1")
        r.processes[lost].kill()
        shutil.rmtree(r.processes[lost].folder / "kept")
        await r.start(lost)
        await r.until(
            "it logs the reason", lambda: r.processes[lost].events("connection to another replica rejected")
        )
        reason = r.processes[lost].events("connection to another replica rejected")[0]["reason"]
        assert "directory is not the one" in reason
        found = await r.status(lost)
        assert found is not None and found.last_index == 0
        client = r.client()
        assert await client.request(rpc.ChangeMembership(remove=lost)) == rpc.Done()
        r.processes[lost].kill()
        shutil.rmtree(r.processes[lost].folder / "kept")
        file = r.processes[lost].folder / "keeper.toml"  # without initial members, since it will be added
        text = file.read_text()
        before, _, after = text.partition("[keeper.members]")
        file.write_text(before + "[keeper.via]" + after.partition("[keeper.via]")[2])
        await r.start(lost)
        assert await client.request(rpc.ChangeMembership(add={lost: "127.0.0.1:1"})) == rpc.Done()

        async def votes() -> bool:
            found = await r.status(lost)
            return found is not None and lost in found.voters and found.leader != ""

        await r.until("it votes again", votes)
        other = next(n for n in names if n not in (leader, lost))
        r.processes[other].kill()  # now a majority needs the replica that was added
        await r.write("a", b"2", leader, lost)


async def test_an_older_copy_of_a_directory_is_reported_and_not_counted_for_the_quorum(
    tmp_path: Path,
) -> None:
    async with process_cluster(tmp_path) as r:
        names = await r.replicas(3)
        leader = await r.leader()
        stale = next(n for n in names if n != leader)
        process = r.processes[stale]
        directory = process.folder / "kept"
        await r.write("a", b"1")
        process.kill()
        shutil.copytree(directory, tmp_path / "older")
        await r.start(stale)
        for n in range(5):
            await r.write(f"b/{n}", b"2")

        async def has_all_entries() -> bool:
            leader = await r.leader()
            if leader == stale:  # happens on a busy machine; match_indexes lists it only at another leader
                await r.client().request(rpc.TransferLeadership())
                return False
            found = await r.status(leader)
            return found is not None and found.match_indexes.get(stale) == found.last_index

        await r.until("the replica has stored all entries", has_all_entries)
        process.kill()
        shutil.rmtree(directory)
        shutil.copytree(tmp_path / "older", directory)
        await r.start(stale)

        async def is_reported() -> bool:
            found = await r.status(await r.leader(stale))
            return found is not None and found.stale_peers == [stale]

        await r.until("the leader reports the stale replica", is_reported)
        leader = await r.leader(stale)
        other = next(n for n in names if n not in (leader, stale))
        r.processes[other].stop()  # two of three run, but the stale one does not count for the quorum

        async def stepped_down() -> bool:
            found = await r.status(leader)
            return found is not None and found.role != "leader"

        await r.until("the leader has stepped down", stepped_down)
        r.processes[other].resume()
        await r.leader()
        await r.write("c", b"4")
        assert len(await r.client().get("b/")) == 5


async def test_a_replica_with_a_full_disk_ends_and_loses_no_acknowledged_write(
    tmp_path: Path,
) -> None:
    async with process_cluster(tmp_path) as r:
        await r.replicas(3)
        full = r.processes[await r.leader()]
        await r.write("big", bytes(50_000))  # so that the journal exceeds the limit before the log file does
        size = max(path.stat().st_size for path in (full.folder / "kept").iterdir())
        assert full.popen is not None
        resource.prlimit(full.popen.pid, resource.RLIMIT_FSIZE, (size + 300, size + 300))
        for n in range(12):
            await r.write(f"x/{n:02}", b"%d" % n * 100)
        assert await full.ended() == 1
        (event,) = full.events("replica failed")
        assert "File too large" in event["reason"]
        await r.start(full.name)  # without the limit on file sizes
        found = await r.client().get("x/")
        assert [v.data for v in found.values()] == [b"%d" % n * 100 for n in range(12)]


async def test_a_response_too_large_for_a_frame_is_an_error_and_ends_no_link(tmp_path: Path) -> None:
    async with process_cluster(tmp_path) as r:
        await r.replicas(1)
        for n in range(6):
            await r.write(f"big/{n}", bytes(200_000))
        with pytest.raises(RequestFailedError, match="ask for less"):
            await r.client().get("big/")
        assert len(await r.client().get("big/1")) == 1


async def test_a_replica_of_another_group_or_name_is_rejected_with_the_reason(tmp_path: Path) -> None:
    async with process_cluster(tmp_path) as r:
        await r.replicas(1)
        address = f"127.0.0.1:{r.ports['k1']}"
        with pytest.raises(RequestFailedError, match="group 'other', not 'test'"):
            await Client("other", {"k1": address}, "x").get("a", 0.5)
        with pytest.raises(RequestFailedError, match="'stranger' is no member"):
            await Client("test", {"k1": address}, "stranger", "keeper").get("a", 0.5)


async def test_a_torn_tail_is_truncated_and_corruption_before_it_is_reported(tmp_path: Path) -> None:
    async with process_cluster(tmp_path) as r:
        await r.replicas(1)
        for n in range(5):
            await r.write(f"x/{n}", b"x" * 100)
        process = r.processes["k1"]
        process.kill()
        (path,) = (process.folder / "kept").glob("*.log")
        whole = path.read_bytes()
        path.write_bytes(whole + b"\7" * 33)
        await r.start("k1")
        assert process.events("replica started")[0]["torn_bytes"] == 33
        assert len(await r.client().get("x/")) == 5
        process.kill()
        corrupt = bytearray(path.read_bytes())
        corrupt[whole.index(b"x" * 100) + 3] ^= 1
        path.write_bytes(corrupt)
        process.start()
        assert await process.ended() == 1
        (event,) = process.events("replica failed")
        assert path.name in event["reason"] and "followed by intact records" in event["reason"]


async def test_two_processes_never_share_a_directory(tmp_path: Path) -> None:
    async with process_cluster(tmp_path) as r:
        await r.replicas(1)
        second = r.processes["k1"]
        twin = type(second)("twin", tmp_path / "twin", second.command)
        twin.folder.mkdir()
        r.processes["twin"] = twin
        twin.start()
        assert await twin.ended() == 1
        assert "another process is using this folder" in twin.events("replica failed")[0]["reason"]


async def test_a_leader_transfers_leadership_before_a_graceful_shutdown(tmp_path: Path) -> None:
    async with process_cluster(tmp_path) as r:
        names = await r.replicas(3)
        old = await r.leader()
        await r.write("a", b"1")
        r.processes[old].send(signal.SIGTERM)
        assert await r.processes[old].ended() == 0
        (event,) = r.processes[old].events("replica stopped")
        assert event["was_leader"] is False  # another replica led before this one stopped
        await r.until("another leads", lambda: [n for n in names if n != old and has_led(r, n)])


def has_led(r: ProcessCluster, name: str) -> bool:
    return any(line["role"] == "leader" for line in r.processes[name].events("role changed"))


async def test_a_replica_far_behind_installs_a_snapshot(tmp_path: Path) -> None:
    async with process_cluster(tmp_path) as r:
        names = await r.replicas(3)
        leader = await r.leader()
        lagging = next(n for n in names if n != leader)
        r.processes[lagging].kill()
        client = r.client()
        for n in range(12):  # each write adds 200 KB to the journal, which is compacted above 1 MB
            version = getattr(client, "_seen", 0)
            result = await client.compare_and_swap("big", version, b"%02d" % n + bytes(200_000))
            assert isinstance(result, Swapped)
            client._seen = result.version  # type: ignore[attr-defined]

        async def compacted() -> bool:
            found = await r.status(leader)
            return found is not None and found.snapshot_index > 5

        await r.until("the leader has compacted its log", compacted)
        await r.start(lagging)

        async def caught_up() -> bool:
            found, lead = await r.status(lagging), await r.status(leader)
            return bool(
                found and lead and found.commit_index == lead.commit_index and found.snapshot_index > 0
            )

        await r.until("it has caught up", caught_up)
        other = next(n for n in names if n not in (leader, lagging))
        r.processes[other].kill()
        assert (await r.client(leader, lagging).get("big"))["big"].data[:2] == b"11"


async def test_a_replicas_metrics_show_the_leader_and_silent_replicas(tmp_path: Path) -> None:
    async with process_cluster(tmp_path) as r:
        for name in await r.replicas(3):
            process = r.processes[name]
            process.kill()
            file = process.folder / "keeper.toml"
            file.write_text(file.read_text().replace("[keeper]", '[keeper]\nmetrics = "127.0.0.1:0"'))
            await r.start(name)
        leader = await r.leader()

        async def scrape(name: str) -> dict[str, float]:
            (event, *_) = await r.until(
                "its metrics are served", lambda: r.processes[name].events("metrics endpoint listening")
            )
            async with await anyio.connect_tcp(*event["listen"]) as stream:
                await stream.send(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
                page = b""
                with contextlib.suppress(anyio.EndOfStream):
                    while True:
                        page += await stream.receive()
            lines = [line.rpartition(" ") for line in page.decode().splitlines() if line[:1] == "z"]
            assert all(f'{{group="test",keeper="{name}"}}' in line for line, _, _ in lines)
            return {line.partition("{")[0]: float(value) for line, _, value in lines}

        async def all_know_leader() -> bool:
            return all([(await scrape(name))["zincladder_keeper_led"] for name in r.ports])

        await r.until("all know who leads", all_know_leader)
        found = {name: await scrape(name) for name in r.ports}
        assert [n for n, samples in found.items() if samples["zincladder_keeper_leads"]] == [leader]
        r.processes[next(n for n in r.ports if n != leader)].kill()

        async def silent() -> bool:
            return (await scrape(leader)).get("zincladder_keeper_members_silent") == 1

        await r.until("one is silent", silent)
