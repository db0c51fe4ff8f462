"""Measures what a slow, hanging or absent coordinator costs a front, and whether its events are heard.

    python -m benchmarks.slow_coordinator [--quick] [--out DIR] [--before CHECKOUT]

A front serves steady clients and follows a coordinator, which then breaks off and answers each later request
for its events after a delay. For each delay the result has the share of requests that were served, the CPU
microseconds of the front for each request, how often the front asked in the measured time, and the seconds
from the break until an event of that moment had reached the front; None if it did not. 'before' is the
checkout that --before names; both versions are measured at the same time.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import math
import struct
import sys
import time
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

import uvloop

from benchmarks import rig

HANGS, AWAY = math.inf, -1.0
DELAYS_SECONDS = (0.0, 0.5, 2.0, 3.0, 5.0, 10.0, HANGS, AWAY)
REQUESTS_PER_S = 40.0
QUIET_SECONDS = 2.0
PURGE_KIND, PURGED_GROUP = 4, 17
FRAME = struct.Struct(">IQB")
HEADER_BYTES = 9  # of a frame's number and kind, which its length counts


@dataclass
class SlowCoordinator:
    """Answers a request for its events after a delay, unless the front has closed the connection by then."""

    delay_seconds: float = 0.0
    requests: int = 0
    heard_at: float | None = None  # when the answer with the event was sent
    newest_event: int = 1
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    server: asyncio.Server | None = None

    async def start(self) -> int:
        """Listens on loopback; returns the port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return int(self.server.sockets[0].getsockname()[1])

    def break_off(self, delay_seconds: float) -> None:
        """Closes all connections and stores an event; a delay of AWAY refuses all later connections."""
        self.delay_seconds, self.newest_event = delay_seconds, 2
        if delay_seconds == AWAY and self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            last = int.from_bytes(await reader.readexactly(8), "big")
            self.requests += 1
            closed = asyncio.create_task(reader.read(1))
            timeout = None if self.delay_seconds == HANGS else self.delay_seconds
            done, _ = await asyncio.wait([closed], timeout=timeout)
            if not done:
                await self._stream_events(writer, last)
        writer.close()

    async def _stream_events(self, writer: asyncio.StreamWriter, last: int) -> None:
        self.writers.add(writer)
        try:
            if last < self.newest_event:
                payload = struct.pack(">HQ", PURGED_GROUP, int(time.time() * 1000))
                writer.write(FRAME.pack(HEADER_BYTES + len(payload), self.newest_event, PURGE_KIND) + payload)
                self.heard_at = self.heard_at or time.monotonic()
            while not writer.is_closing():
                writer.write(FRAME.pack(HEADER_BYTES, self.newest_event, 0))
                await writer.drain()
                await asyncio.sleep(1.0)
        finally:
            self.writers.discard(writer)


@dataclass(frozen=True)
class Result:
    """The figures of one version beside one delay."""

    version: str
    delay: str
    served: float
    cpu_us_per_request: float
    requests_to_coordinator: int
    heard_after_s: float | None


def delay_name(delay_seconds: float) -> str:
    """Returns how a delay is shown in the table."""
    return {HANGS: "hangs", AWAY: "away"}.get(delay_seconds, f"{delay_seconds:g} s")


async def measure(version: str, program: Path, delay_seconds: float, seconds: float) -> Result:
    """Measures one version for `seconds` from the break on."""
    coordinator = SlowCoordinator()
    port = await coordinator.start()
    async with rig.members() as ports, rig.front(ports, program=program, coordinator_port=port) as front:
        warm_up = rig.SteadyClient(front, "127.0.0.1", REQUESTS_PER_S, rig.ClientResults())
        await warm_up.run(time.monotonic() + QUIET_SECONDS)
        results, coordinator.requests = rig.ClientResults(), 0
        broken_off_at, cpu_before = time.monotonic(), front.cpu()
        coordinator.break_off(delay_seconds)
        await rig.SteadyClient(front, "127.0.0.1", REQUESTS_PER_S, results).run(broken_off_at + seconds)
        heard_at = coordinator.heard_at
        return Result(
            version,
            delay_name(delay_seconds),
            round(results.served, 4),
            round((front.cpu() - cpu_before) / results.asked * 1e6, 1),
            coordinator.requests,
            round(heard_at - broken_off_at, 2) if heard_at else None,
        )


def table(results: list[Result]) -> str:
    """Returns the results as a table in Markdown."""
    rows = [
        "| delay | version | served | CPU us a request | asked | heard after |",
        "|---|---|---|---|---|---|",
    ]
    for result in results:
        heard = "never" if result.heard_after_s is None else f"{result.heard_after_s} s"
        rows.append(
            f"| {result.delay} | {result.version} | {result.served} | {result.cpu_us_per_request} | "
            f"{result.requests_to_coordinator} | {heard} |"
        )
    return "\n".join(rows) + "\n"


async def main() -> int:
    """Measures all delays, and prints one JSON object."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--out", type=Path)
    parser.add_argument("--before", type=Path)
    options = parser.parse_args()
    delays = (0.5, 2.0) if options.quick else DELAYS_SECONDS
    seconds = 4.0 if options.quick else 15.0
    versions = {"now": rig.ROOT} | ({"before": options.before.resolve()} if options.before else {})
    results: list[Result] = []
    for delay in delays:
        results += await asyncio.gather(
            *(measure(version, program, delay, seconds) for version, program in versions.items())
        )
    data: dict[str, Any] = {"seconds": seconds, "results": [asdict(result) for result in results]}
    print(json.dumps(data))
    if options.out:
        options.out.mkdir(parents=True, exist_ok=True)
        (options.out / "slow_coordinator.md").write_text(table(results))
    return 0


if __name__ == "__main__":
    sys.exit(uvloop.run(main()))
