"""A front starts while the coordinator is slow, and what it missed arrives in two pieces.

`GAP_MS=0` is a control: the same slow answer in one piece.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import struct
import time
from pathlib import Path

from review.common.clients import Clients
from review.common.platform import DRAINING, FRAME_CHANGES, FRAME_OBJECT_PURGE, Coordinator, Platform, Record
from review.common.processes import CannotRunError, Front, free_port, run_case

REQUESTS_PER_SECOND = 36.0
ANSWER_SECONDS = 1.5  # from the front's question to the coordinator's answer
GAP_SECONDS = int(os.environ.get("GAP_MS", "5")) / 1000  # between the two pieces of the answer
LOAD_SECONDS = 5.0
DRAIN_GRACE_SECONDS = 0.5
# Each time limit is longer by 50 ms; a send counts from its first byte, which a cache sees a little later.
SOCKETS_SLACK_SECONDS = 0.05 + 0.02


class SlowCoordinator(Coordinator):
    """Answers a question late, and writes the missed events one by one."""

    def __init__(self, record: Record) -> None:
        super().__init__(record)
        self.answer_seconds = 0.0
        self.asked_at = 0.0  # when the front first asked for events

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            told = int.from_bytes(await reader.readexactly(8), "big")
            self.record.note("coordinator is asked for events after", told)
            self.asked_at = self.asked_at or time.time()
            await asyncio.sleep(self.answer_seconds)
            while True:
                for number, kind, payload in self._events:
                    if number > told:
                        told = number
                        self.record.write("coordinator tells event", number)
                        writer.write(struct.pack(">IQB", 9 + len(payload), number, kind) + payload)
                        if GAP_SECONDS:
                            await writer.drain()
                            await asyncio.sleep(GAP_SECONDS)
                writer.write(struct.pack(">IQB", 9, self._last, 0))
                await writer.drain()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), 1.0)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


async def case(record: Record, folder: Path, trouble: bool) -> bool:
    platform = await Platform.start(record)
    coordinator = SlowCoordinator(record)
    await coordinator.start()
    platform.coordinator = coordinator
    coordinator.answer_seconds = ANSWER_SECONDS if trouble else 0.0
    listen = free_port()
    front = Front("front", record, folder, platform.configuration(folder, listen), None)
    clients = Clients(platform, listen)
    drained = platform.caches[0]
    try:
        # Both events come just after `known` was written.
        purge = struct.pack(">QQ", 1, int(1000 * time.time()))
        coordinator.hold(FRAME_OBJECT_PURGE, purge, "purge of object 1")
        coordinator.hold(FRAME_CHANGES, drained.packed(DRAINING), f"{drained.name} drains")
        await front.start(folder / "tmp")
        while not coordinator.asked_at:
            await asyncio.sleep(0.01)
            if front.status is not None:
                raise CannotRunError(f"the front has ended: {front.log_end()}")
        await clients.load(REQUESTS_PER_SECOND, LOAD_SECONDS)
        await clients.finish()
        await front.end()
    finally:
        if front.process is not None:
            if front.status is None:
                front.process.kill()
                await front.process.wait()
            front.copy_log()
    # The lenient reading: told when the front asked, not already when the coordinator held the event.
    binds_at = coordinator.asked_at + DRAIN_GRACE_SECONDS + SOCKETS_SLACK_SECONDS
    late = [fetch for fetch in drained.fetches if fetch.at > binds_at]
    for fetch in late:
        record.write(f"sent to {drained.name}, which drains: {fetch.trace},"
                     f" {fetch.at - coordinator.asked_at:.3f} s after the front had asked")  # fmt: skip
    record.note("requests:", clients.summary())
    record.note(f"{len(late)} requests sent to {drained.name} later than the grace")
    if not any(request.outcome == "served" for request in clients.requests):
        raise CannotRunError("no request was served")
    return not late and not clients.lost()


if __name__ == "__main__":
    run_case(__file__, case)
