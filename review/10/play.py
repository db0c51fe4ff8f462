"""Clients that read a megabyte a second, each with 24 parts of a recording open on its connection."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common_2"))

import rig as common  # noqa: E402

CLIENTS, PARTS = 4, 24  # a connection may have 32 requests open
PART_BYTES = 240_000  # the most that an object may hold
BYTES_PER_S = 1_000_000.0
RECEIVE_BUFFER_BYTES = 128 << 10  # of a client: the size with which the system begins, and which it may tune
ANSWER_SECONDS = 0.02  # how long a quay cache takes
PATIENCE_MS = 6000
MARGIN_SECONDS = 6.0  # waited beyond the patience: the time that the reading takes does not count


async def large(cache: common.Cache, fetch: common.Fetch) -> tuple[str, str, bytes]:
    await asyncio.sleep(ANSWER_SECONDS)
    name = f"{fetch.fields['item']}/{fetch.fields['chunk']}/".encode()
    body = name * (PART_BYTES // len(name))
    return "200", f"tell=local,rev=r1,since={int((time.time() - 1) * 1000)}", body


async def ask_all(client: common.Client, item: str) -> dict[int, int]:
    """Asks for all parts at once; returns the part of each sequence number."""
    asked = {}
    for part in range(PARTS):
        fields = {"route": "video", "patience": str(PATIENCE_MS), "entity": item, "slice": str(part)}
        asked[await client.ask(**fields)] = part
    return asked


async def play(rig: common.Rig) -> str:
    caches = [common.Cache(f"s-0000000{number}", 0, large) for number in (1, 2, 3, 4)]
    caches += [common.Cache("s-000000a0", 1, large), common.Cache("s-000000b0", 2, large)]
    for cache in caches:
        await cache.start()
    coordinator = common.Coordinator()
    await coordinator.start()
    limits = {"cores": 1.0, "memory_mb": 64, "sockets": 1024}
    config = common.config([cache.entry() for cache in caches], coordinator.port, limits=limits)
    front = common.Front(rig, config)
    await front.start()
    await front.ready()
    speed = BYTES_PER_S if common.TROUBLE else 0.0
    clients = [
        await common.Client.connect(front.address, speed, RECEIVE_BUFFER_BYTES) for _ in range(CLIENTS)
    ]
    items = [os.urandom(8).hex() for _ in clients]
    sent_at = time.time()
    asked = [await ask_all(client, item) for client, item in zip(clients, items, strict=True)]
    ends_at = sent_at + PATIENCE_MS / 1000 + MARGIN_SECONDS
    while time.time() < ends_at and any(len(c.replies) < PARTS and not c.ended for c in clients):
        await asyncio.sleep(0.05)
    lost, wrong = 0, 0
    for number, client in enumerate(clients):
        kinds = [reply.kind for reply in client.replies.values()]
        missing = [seq for seq in asked[number] if seq not in client.replies]
        rig.record.line(
            f"client {number}: asked for {PARTS} parts, {kinds.count('served')} served, "
            f"{kinds.count('refused')} refused, {kinds.count('failed')} failed, {len(missing)} without an "
            f"answer; {client.received} bytes read; connection {client.ended or 'open'}"
        )
        # An answer that was begun and broken off may have failed and not be lost: one a connection at most.
        lost += max(0, len(missing) - 1)
        for seq, part in asked[number].items():
            reply = client.replies.get(seq)
            wrong += bool(
                reply
                and reply.kind == "served"
                and not reply.body.startswith(f"{items[number]}/{part}/".encode())
            )
    if wrong:
        raise RuntimeError(f"{wrong} answers of another part")
    for client in clients:
        await client.close()
    return (
        f"{lost} of {CLIENTS * PARTS} requests lost: their connections ended without an answer"
        if lost
        else ""
    )


common.case(play, FOLDER)
