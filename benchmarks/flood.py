"""Floods a front from a process of its own: `python -m benchmarks.flood KIND HOST PORT SECONDS ADDRESSES`.

At its end it prints one JSON object with the numbers of connections made, requests sent, answers by kind,
answers to `status`, second answers to a request ("twice"), and requests whose connection ended before they
were answered ("closed", not counted for slow readers).
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import sys
import time
from collections import Counter

import uvloop

from benchmarks.rig import LARGE_OBJECT, SLOW_OBJECT, reply, request, status

CONNECTIONS = 400
KINDS = ("silent", "half", "status", "burst", "held", "connect", "slow_readers", "malformed")


def addresses(count: int) -> list[str]:
    """Returns `count` loopback addresses: a single one, hosts of one /24, or spread over many networks."""
    if count == 1:
        return ["127.7.7.7"]
    if count <= 254:
        return [f"127.7.7.{i + 1}" for i in range(count)]
    return [f"127.{64 + i // 4096}.{i // 16 % 256}.{i % 16 + 1}" for i in range(count)]


class Flood:
    """Runs 400 clients of one kind, each of which reconnects when its connection ends, until time is over."""

    def __init__(self, kind: str, host: str, port: int, until: float, sources: list[str]) -> None:
        self._kind, self._target, self._until, self._sources = kind, (host, port), until, sources
        self.counts: Counter[str] = Counter()

    async def run(self) -> dict[str, int]:
        async with asyncio.TaskGroup() as tasks:
            for _ in range(CONNECTIONS):
                tasks.create_task(self._reconnect())
        return dict(self.counts)

    async def _reconnect(self) -> None:
        await asyncio.sleep(random.random() * 0.2)
        while time.monotonic() < self._until:
            left = max(0.01, self._until - time.monotonic())
            with contextlib.suppress(TimeoutError, OSError, asyncio.IncompleteReadError):
                async with asyncio.timeout(left):
                    await self._connect()
            pause = CONNECTIONS / 2500 if self._kind == "connect" else 0.02
            await asyncio.sleep(min(pause, left))

    async def _connect(self) -> None:
        # The read buffer is small, so that the 400 connections fill up when nothing reads from them.
        reader, writer = await asyncio.open_connection(
            *self._target, local_addr=(random.choice(self._sources), 0), limit=1 << 16
        )
        self.counts["connections"] += 1
        try:
            await self._flood(reader, writer)
        finally:
            writer.close()

    async def _flood(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        kind = self._kind
        if kind == "connect":
            return
        if kind == "silent":
            await reader.read(1)
        elif kind == "half":
            writer.write(request(1, "0" * 16)[:40])
            await reader.read(1)
        elif kind == "malformed":
            writer.write(os.urandom(64))
            await reader.read(1)
        elif kind == "status":
            for seq in range(1, 10_000):
                writer.write(status(seq))
                await reply(reader)
                self.counts["status"] += 1
                await asyncio.sleep(0.5)
        else:
            first = {"burst": "0", "held": SLOW_OBJECT, "slow_readers": LARGE_OBJECT}[kind]
            patience = 6000 if kind != "burst" else 2000
            route = "video" if kind != "burst" else "page"
            frames = [request(n, first + os.urandom(8).hex()[1:], route, patience) for n in range(1, 33)]
            writer.write(b"".join(frames))
            self.counts["requests"] += 32
            if kind == "slow_readers":
                await asyncio.sleep(4)
                return
            answered: set[int] = set()
            try:
                while len(answered) < 32:
                    seq, kind_of_reply = await reply(reader)
                    self.counts["twice"] += seq in answered
                    answered.add(seq)
                    self.counts[kind_of_reply] += 1
            finally:
                self.counts["closed"] += 32 - len(answered)


if __name__ == "__main__":
    _, name, host, port, seconds, count = sys.argv
    uvloop.install()
    flood = Flood(name, host, int(port), time.monotonic() + float(seconds), addresses(int(count)))
    print(json.dumps(asyncio.run(flood.run())))
