"""A quay cache begins to drain while the coordinator can't be reached for a longer time."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common_2"))

import rig as common  # noqa: E402

REQUESTS_PER_S = 20.0
QUIET_SECONDS = 3.0  # before the outage
DRAIN_AFTER_SECONDS = 0.5  # the drain begins so long after the outage
OUTAGE_SECONDS = 16.0
TOLD_AFTER_SECONDS = 7.0  # what the coordinator has to tell counts as told by then, arrived or not
GRACE_SECONDS = 0.5 + 0.05  # `drainGrace` of the settings, and what each limit is longer by on sockets


async def traffic(address: tuple[str, int], seconds: float, record: common.Record) -> dict[str, int]:
    """Asks for pages one after the other, each on the same connection, and counts the answers by kind."""
    client, kinds, ends_at = await common.Client.connect(address), {}, time.monotonic() + seconds
    while time.monotonic() < ends_at:
        if client.ended:
            await client.close()
            client = await common.Client.connect(address)
        seq = await client.ask(route="page", patience="2500", entity=os.urandom(8).hex())
        reply = await client.reply(seq, 3.5)
        kind = reply.kind if reply else "none"
        kinds[kind] = kinds.get(kind, 0) + 1
        await asyncio.sleep(1 / REQUESTS_PER_S)
    record.line(f"answers: {kinds}")
    await client.close()
    return kinds


async def play(rig: common.Rig) -> str:
    caches = [common.Cache(f"s-0000000{number}") for number in (1, 2, 3)]
    members = [*caches, common.Cache("s-000000a0", 1), common.Cache("s-000000b0", 2)]
    for member in members:
        await member.start()
    coordinator = common.Coordinator()
    await coordinator.start()
    front = common.Front(rig, common.config([member.entry() for member in members], coordinator.port))
    await front.start()
    await front.ready()
    asking = asyncio.create_task(
        traffic(front.address, QUIET_SECONDS + DRAIN_AFTER_SECONDS + OUTAGE_SECONDS, rig.record)
    )
    await asyncio.sleep(QUIET_SECONDS)
    if common.TROUBLE:
        await coordinator.go_down()
        rig.record.line("the coordinator is down")
    await asyncio.sleep(DRAIN_AFTER_SECONDS)
    drains_at = time.time()
    coordinator.tell(2, caches[0].record(common.DRAINING))
    rig.record.line(f"the coordinator holds that {caches[0].name} drains")
    await asking
    last_allowed = drains_at + TOLD_AFTER_SECONDS + GRACE_SECONDS
    late = [fetch for fetch in caches[0].fetches if fetch.at > last_allowed]
    named = [
        fetch
        for member in members
        for fetch in member.fetches
        if fetch.at > last_allowed and fetch.fields.get("up") == caches[0].name
    ]
    before = [fetch for fetch in caches[0].fetches if fetch.at <= drains_at]
    for member in members:
        rig.record.line(f"{member.name} got {len(member.fetches)} requests")
    rig.record.line(f"{caches[0].name}: {len(before)} before the drain, {len(late)} past the limit")
    if not before:
        raise RuntimeError("the cache that drains got nothing before")
    return (
        f"{len(late)} requests to {caches[0].name} and {len(named)} that name it as source, the last "
        f"{max(f.at for f in [*late, *named]) - drains_at:.2f} s after it began to drain"
        if late or named
        else ""
    )


common.case(play, FOLDER)
