"""Pushes samples to one receiver: takes them at even times, keeps them, and sends them in order."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Protocol, TypeVar

import anyio
import anyio.lowlevel
import anyio.to_thread
import h11
import structlog

from zincladder.config import ConfigError, RemoteWriteConfig
from zincladder.export import messages
from zincladder.export.delivery import Delivery, Fate, Next, Outcome, Rules
from zincladder.export.push import FAILED, post
from zincladder.export.spool import Kept, MemoryStore, Spool, SpoolError
from zincladder.metrics.exposition import Sample
from zincladder.support.rate_limited_log import RateLimitedLog

LIMIT = 10.0  # seconds for one push
SLICE = 200  # series read off before the other tasks have their turn
T = TypeVar("T")
log = structlog.get_logger()


class Store(Protocol):
    """What keeps batches until they are sent."""

    lost: int

    def __len__(self) -> int: ...

    def put(self, unix_ms: int, payload: bytes) -> None: ...

    def first(self) -> Kept | None: ...

    def done(self, kept: Kept) -> None: ...

    def close(self) -> None: ...


class RemoteWrite:
    """One receiver. Nothing here is waited for by a request: encoding and files are a worker thread's."""

    def __init__(
        self,
        config: RemoteWriteConfig,
        samples: Callable[[], Iterator[Sample]],
        count: Callable[[str, int], None],
        rules: Rules | None = None,
    ) -> None:
        self._config, self._samples, self._count = config, samples, count
        rules = rules or Rules(version=config.version, replay_bytes_per_s=config.replay_bytes_per_s)
        self._delivery = Delivery(rules, random.Random())
        self._memory = MemoryStore(config.max_memory_bytes)
        self._spool: Spool | None = None
        self._created_ms = int(time.time() * 1000)
        self._news = anyio.Event()
        self._turn = anyio.Lock()  # of the stores: a worker thread has them one call at a time
        self._warn = RateLimitedLog()
        self._told_lost = 0
        if config.spool_folder is not None:
            try:
                self._spool = Spool(Path(config.spool_folder), config.max_spool_bytes)
            except SpoolError as fault:
                raise ConfigError(f"'remote_write.spool' cannot be used: {fault}") from None
            if self._spool.foreign:
                log.warning("files in the spool that are none of its own", files=self._spool.foreign[:10])
            if len(self._spool):
                log.info("spool resumed", waiting=len(self._spool))

    @property
    def waiting(self) -> int:
        """Batches that are kept."""
        return len(self._memory) + (len(self._spool) if self._spool else 0)

    async def run(self) -> None:
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._push)
                at = anyio.current_time()
                while True:
                    await self.take()
                    at = max(at + self._config.interval_seconds, anyio.current_time())
                    await anyio.sleep_until(at)
        finally:
            if self._spool is not None:
                self._spool.close()

    async def finish(self, seconds: float) -> None:
        """The front's last samples, sent if the receiver takes them in time; a spool keeps them else."""
        await self.take()
        with anyio.move_on_after(seconds):
            while self.waiting:
                await anyio.sleep(0.02)

    async def take(self) -> None:
        """Keeps the samples of this moment."""
        unix_ms = int(time.time() * 1000)
        taken: list[Sample] = []
        for sample in self._samples():
            taken.append(sample)
            if len(taken) % SLICE == 0:
                await anyio.lowlevel.checkpoint()
        payload = await self._aside(lambda: messages.batch(taken, unix_ms, self._created_ms)[0])
        async with self._turn:
            await self._aside(lambda: self._keep(unix_ms, payload))
        self._tell_lost()
        self._news.set()

    def _keep(self, unix_ms: int, payload: bytes) -> None:
        """In the spool where there is one; in memory where there is none, or while the disk has no room.

        What is in memory is newer than all that the spool holds then, and is sent after it. So that this
        stays true, nothing more goes into the spool before memory is empty.
        """
        if self._spool is not None and not len(self._memory):
            try:
                self._spool.put(unix_ms, payload)
                return
            except OSError as fault:
                self._warn.warning("spool not written, kept in memory", why=str(fault))
        self._memory.put(unix_ms, payload)

    @staticmethod
    async def _aside(work: Callable[[], T]) -> T:
        return await anyio.to_thread.run_sync(work)

    def _tell_lost(self) -> None:
        lost = self._memory.lost + (self._spool.lost if self._spool else 0)
        if lost > self._told_lost:
            self._count("overflowed", lost - self._told_lost)
            self._told_lost = lost

    def _store(self) -> Store:
        """Where the oldest batch is."""
        return self._spool if self._spool is not None and len(self._spool) else self._memory

    async def _push(self) -> None:
        while True:
            async with self._turn:
                store = self._store()
                kept = await self._aside(store.first)
            if kept is None:
                self._news = anyio.Event()
                if not self.waiting:
                    await self._news.wait()
                continue
            what, pause = self._delivery.next(anyio.current_time(), self.waiting)
            if what is Next.WAIT:
                await anyio.sleep(pause)
                continue
            await self._one(store, kept)

    async def _one(self, store: Store, kept: Kept) -> None:
        version, payload = self._delivery.version, kept.payload
        try:
            body, kind, said = await self._aside(lambda: messages.on_the_wire(payload, version))
            count = len(messages.parse_v2(payload).timeseries) if version == 2 else 0
        except ValueError as fault:  # kept whole, and still no message: another program's
            log.warning("a kept batch cannot be read", why=str(fault))
            self._count("refused", 1)
            async with self._turn:
                await self._aside(lambda: store.done(kept))
            return
        outcome = Outcome(0)
        try:
            with anyio.fail_after(LIMIT):
                outcome = await post(self._config, body, kind, said)
        except (*FAILED, h11.ProtocolError) as fault:
            self._warn.warning("remote write failed", why=str(fault) or type(fault).__name__)
        fate = self._delivery.ended(outcome, len(body), count, anyio.current_time())
        if fate is Fate.REFUSED:
            self._warn.warning("remote write refused", status=outcome.status)
        self._count(fate.value, 1)
        if fate in (Fate.SENT, Fate.PARTIAL, Fate.REFUSED):
            async with self._turn:
                await self._aside(lambda: store.done(kept))
