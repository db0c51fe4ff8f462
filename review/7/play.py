"""An upgrade while a client that reads a megabyte a second still takes in the answers to its requests."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common_2"))

import rig as common  # noqa: E402

PARTS = 12  # open at first; a connection may have 32 requests open
PART_BYTES = 240_000  # the most that an object may hold
BYTES_PER_S = 1_000_000.0
RECEIVE_BUFFER_BYTES = (
    128 << 10
)  # of the client: the size with which the system begins, and which it may tune
ANSWER_SECONDS = 0.02  # how long a quay cache takes
PATIENCE_MS = 6000
TERM_AFTER_SECONDS = 0.6  # after the requests
NEXT_REQUEST_SECONDS = 0.08  # the client goes on asking for a page so often
ASKING_SECONDS = 0.59  # after SIGTERM: new connections come for 0.4 s, requests on open ones for 0.2 s more


async def large(cache: common.Cache, fetch: common.Fetch) -> tuple[str, str, bytes]:
    await asyncio.sleep(ANSWER_SECONDS)
    name = f"{fetch.fields['item']}/{fetch.fields['chunk']}/".encode()
    body = name * (PART_BYTES // len(name))
    return "200", f"tell=local,rev=r1,since={int((time.time() - 1) * 1000)}", body


async def play(rig: common.Rig) -> str:
    caches = [common.Cache(f"s-0000000{number}", 0, large) for number in (1, 2, 3)]
    caches += [common.Cache("s-000000a0", 1, large), common.Cache("s-000000b0", 2, large)]
    for cache in caches:
        await cache.start()
    coordinator = common.Coordinator()
    await coordinator.start()
    front = common.Front(rig, common.config([cache.entry() for cache in caches], coordinator.port))
    await front.start()
    await front.ready()
    client = await common.Client.connect(front.address, BYTES_PER_S, RECEIVE_BUFFER_BYTES)
    first = await client.ask(route="page", patience="2500", entity=os.urandom(8).hex())
    if await client.reply(first, 3.0) is None:
        raise RuntimeError("the first request got no answer")
    if common.TROUBLE:
        new = front.successor()
        await new.start()
        await new.ready()
        rig.record.line("the new process says yes")
    item, started_at = os.urandom(8).hex(), time.monotonic()
    early = []
    for part in range(PARTS):
        fields = {"route": "video", "patience": str(PATIENCE_MS), "entity": item, "slice": str(part)}
        early.append(await client.ask(**fields))
    await asyncio.sleep(TERM_AFTER_SECONDS)
    if common.TROUBLE:
        rig.record.line(f"SIGTERM to the old process; {len(client.replies) - 1} of {PARTS} answers are read")
        front.signal(signal.SIGTERM)
    late, signalled_at = 0, time.monotonic()
    try:
        while time.monotonic() - signalled_at < ASKING_SECONDS - NEXT_REQUEST_SECONDS and not client.ended:
            await asyncio.sleep(NEXT_REQUEST_SECONDS)
            await client.ask(route="page", patience="2500", entity=os.urandom(8).hex())
            late += 1
            rig.record.line(f"a further request, {time.monotonic() - signalled_at:.2f} s after SIGTERM")
    except OSError as error:
        rig.record.line(f"a request could not be sent: {error}")
    ends_at = started_at + 2 * PATIENCE_MS / 1000
    while time.monotonic() < ends_at and not client.ended and any(s not in client.replies for s in early):
        await asyncio.sleep(0.05)
    fetched = {fetch.fields["chunk"] for c in caches for fetch in c.fetches if fetch.fields["item"] == item}
    kinds = [client.replies[seq].kind for seq in early if seq in client.replies]
    missing = [seq for seq in early if seq not in client.replies]
    rig.record.line(f"{PARTS} parts asked for before SIGTERM, {len(fetched)} fetched from quay caches")
    rig.record.line(
        f"{kinds.count('served')} served, {kinds.count('refused')} refused, {kinds.count('failed')} failed, "
        f"{len(missing)} without an answer; {late} requests sent later; connection {client.ended or 'open'}"
    )
    await client.close()
    # An answer that was begun and broken off may have failed and not be lost: one at most.
    lost = max(0, len(missing) - 1)
    return f"{lost} of {PARTS} requests taken before SIGTERM were lost with their connection" if lost else ""


common.case(play, FOLDER)
