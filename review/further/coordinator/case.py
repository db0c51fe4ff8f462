"""A coordinator that stops and stays open while a quay cache begins to drain and an object is purged."""

from __future__ import annotations

import asyncio
import struct
import time
from pathlib import Path

from review.common.clients import Clients, Request
from review.common.platform import (
    DRAINING,
    FRAME_CHANGES,
    FRAME_OBJECT_PURGE,
    Cache,
    Fetch,
    Platform,
    Record,
)
from review.common.processes import CannotRunError, Front, free_port, run_case

REQUESTS_PER_SECOND, PURGED_REQUESTS_PER_SECOND = 36.0, 12.0
SECONDS_BEFORE, STOP_SECONDS, SECONDS_AFTER = 4.0, 9.0, 2.0
PURGED = "00000000000000ff"
NOTICE_SECONDS = 0.25  # from a purge until the coordinator holds it: 0.15 to 0.35 s
DROP_SECONDS = 5.9  # from a purge until the caches have dropped all older copies: 6 s at most
# Each time limit is longer by 50 ms; a send counts from its first byte, which a cache sees a little later.
SOCKETS_SLACK_SECONDS = 0.05 + 0.02
PURGE_GRACE_SECONDS, DRAIN_GRACE_SECONDS = 1.0, 0.5
TOLD_AFTER_STOP_SECONDS = 4.0  # "told [...] 4 s after a stop"
TOLD_AT_LATEST_SECONDS = 7.0  # "told 7 s later at the latest"


class Copies:
    """The caches' copies of the purged object: one a cache, kept until 6 s after the purge at most."""

    def __init__(self) -> None:
        self.since: dict[str, float] = {}
        self.purged_at = float("inf")
        self.stale: list[tuple[Fetch, str, float]] = []  # answers from a copy older than the purge

    def answer(self, cache: Cache, fetch: Fetch) -> tuple[str, bytes]:
        now, key = time.time(), cache.name
        since = self.since.get(key, 0.0) if fetch.fields["item"] == PURGED else 0.0
        if since and since < self.purged_at and now > self.purged_at + DROP_SECONDS:
            since = 0.0
        cap = int(fetch.fields.get("cap", "0")) / 1000
        if not since or (cap and now - since > cap):
            since = now
        if fetch.fields["item"] == PURGED:
            self.since[key] = since
            if since < self.purged_at <= now:
                self.stale.append((fetch, cache.name, since))
        fields = f"tell=local,rev={int(1000 * since)},since={int(1000 * since)}"
        return fields, f"{cache.name} {fetch.fields['item']} {fetch.trace}".encode()


async def ask_for_purged(clients: Clients, seconds: float) -> list[Request]:
    """Asks for the object that will be purged, a part of a recording, at a steady rate."""
    requests, end = [], time.time() + seconds
    while time.time() < end:
        requests.append(clients.ask("video", PURGED))
        await asyncio.sleep(1 / PURGED_REQUESTS_PER_SECOND)
    return requests


async def case(record: Record, folder: Path, trouble: bool) -> bool:
    platform, copies = await Platform.start(record), Copies()
    for cache in platform.caches:
        cache.answer = lambda fetch, cache=cache: copies.answer(cache, fetch)
    listen = free_port()
    front = Front("front", record, folder, platform.configuration(folder, listen), None)
    clients = Clients(platform, listen)
    drained, coordinator = platform.caches[0], platform.coordinator
    try:
        await front.start(folder / "tmp")
        await front.until_ready()
        duration = SECONDS_BEFORE + STOP_SECONDS + SECONDS_AFTER
        load = asyncio.create_task(clients.load(REQUESTS_PER_SECOND, duration))
        asked = asyncio.create_task(ask_for_purged(clients, duration))
        await asyncio.sleep(SECONDS_BEFORE)
        if not all(any(f.at for f in cache.fetches) for cache in platform.caches[:2]):
            raise CannotRunError("a quay cache got no request before the disruption")
        stopped_at = time.time()
        coordinator.stopped = trouble
        record.note("the coordinator", "stops and stays open" if trouble else "goes on")
        copies.purged_at = time.time()
        record.note("object", PURGED, "is purged")
        await asyncio.sleep(NOTICE_SECONDS)
        held_at = time.time()
        purge = struct.pack(">QQ", int(PURGED, 16), int(1000 * copies.purged_at))
        coordinator.hold(FRAME_OBJECT_PURGE, purge, f"purge of {PURGED}")
        coordinator.hold(FRAME_CHANGES, drained.packed(DRAINING), f"{drained.name} drains")
        await asyncio.sleep(STOP_SECONDS - NOTICE_SECONDS)
        coordinator.stopped = False
        record.note("the coordinator goes on")
        coordinator.wake()
        await asked
        await load
        await clients.finish()
        await front.end()
    finally:
        if front.process is not None:
            if front.status is None:
                front.process.kill()
                await front.process.wait()
            front.copy_log()
    return judge(record, platform, clients, copies, stopped_at if trouble else held_at, held_at)


def judge(
    record: Record, platform: Platform, clients: Clients, copies: Copies, stopped_at: float, held_at: float
) -> bool:
    """Compares what the caches got and answered with the rules, and writes what broke them."""
    trouble = stopped_at < held_at
    told_at = max(held_at, stopped_at + TOLD_AFTER_STOP_SECONDS) if trouble else held_at
    binds_at = told_at + PURGE_GRACE_SECONDS + SOCKETS_SLACK_SECONDS
    served = {request.trace for request in clients.requests if request.outcome == "served"}
    purged = [(f, name, since) for f, name, since in copies.stale if f.at > binds_at and f.trace in served]
    for fetch, name, since in purged:
        record.write(
            f"purged copy served: {fetch.trace} by {name}, sent {fetch.at - copies.purged_at:.3f} s after the"
            f" purge, copy {copies.purged_at - since:.3f} s older than the purge"
        )
    drained = platform.caches[0]
    latest = held_at + (TOLD_AT_LATEST_SECONDS if trouble else 0.0)
    late = [fetch for fetch in drained.fetches
            if fetch.at > latest + DRAIN_GRACE_SECONDS + SOCKETS_SLACK_SECONDS]  # fmt: skip
    early = [fetch for fetch in drained.fetches
             if told_at + DRAIN_GRACE_SECONDS + SOCKETS_SLACK_SECONDS < fetch.at <= latest]  # fmt: skip
    for fetch in late:
        record.write(f"sent to {drained.name}, which drains: {fetch.trace},"
                     f" {fetch.at - held_at:.3f} s after the coordinator held it")  # fmt: skip
    record.note("requests:", clients.summary())
    record.note(f"{len(purged)} requests served from a copy older than the purge")
    record.note(
        f"{len(late)} requests sent to a draining cache; {len(early)} more where 4 s after a stop count"
    )
    return not purged and not late and not clients.lost()


if __name__ == "__main__":
    run_case(__file__, case)
