"""Pushes samples to one receiver: collects them at even times, stores them, and sends them in order."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import TypeVar

import anyio
import anyio.lowlevel
import anyio.to_thread
import structlog

from zincladder.config import ConfigError, RemoteWriteConfig
from zincladder.export import messages
from zincladder.export.batch_store import BatchStore, MemoryStore, SpooledBatch
from zincladder.export.delivery import Delivery, DeliveryRules, PushOutcome, PushResponse
from zincladder.export.push import PUSH_ERRORS, post
from zincladder.export.spool import Spool, SpoolError
from zincladder.metrics.exposition import Sample
from zincladder.support.rate_limited_log import RateLimitedLog

PUSH_TIMEOUT_SECONDS = 10.0
FINISH_POLL_SECONDS = 0.02
SAMPLES_IN_A_ROW = 200  # then the other tasks run
MAX_LOGGED_FILES = 10
OVERFLOWED = "overflowed"  # label value of batches that were lost
# After these a batch is not sent again.
FINAL_OUTCOMES = (PushOutcome.SENT, PushOutcome.PARTIAL, PushOutcome.REJECTED)
T = TypeVar("T")
log = structlog.get_logger()


class RemoteWrite:
    """The sender of one receiver. No request waits for it: a worker thread encodes and writes files."""

    def __init__(
        self,
        config: RemoteWriteConfig,
        samples: Callable[[], Iterator[Sample]],
        count: Callable[[str, int], None],
        rules: DeliveryRules | None = None,
    ) -> None:
        """Make a sender, and open its spool if it has one.

        Args:
            config: The receiver.
            samples: Gives the samples of the moment.
            count: Counts batches by an outcome.
            rules: How batches are sent; by the configuration if it is None.

        Raises:
            ConfigError: The spool cannot be used.
        """
        self._config, self._samples, self._count = config, samples, count
        rules = rules or DeliveryRules(version=config.version, replay_bytes_per_s=config.replay_bytes_per_s)
        self._delivery = Delivery(rules, random.Random())
        self._memory = MemoryStore(config.max_memory_bytes)
        self._spool = _open_spool(config)
        self._created_ms = _unix_ms()
        self._batch_added = anyio.Event()
        self._stores_lock = anyio.Lock()  # a worker thread uses the stores, for one call at a time
        self._rate_limited_log = RateLimitedLog()
        self._counted_lost_batches = 0

    @property
    def waiting(self) -> int:
        """The batches that are stored."""
        return len(self._memory) + (len(self._spool) if self._spool else 0)

    async def run(self) -> None:
        """Collect and send until cancelled, then close the spool."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._send_batches)
                collect_at = anyio.current_time()
                while True:
                    await self.collect()
                    collect_at = max(collect_at + self._config.interval_seconds, anyio.current_time())
                    await anyio.sleep_until(collect_at)
        finally:
            if self._spool is not None:
                self._spool.close()

    async def finish(self, timeout_seconds: float) -> None:
        """Send the front's last samples, while `run` still goes on.

        What the receiver does not accept in time is lost, unless there is a spool.
        """
        await self.collect()
        with anyio.move_on_after(timeout_seconds):
            while self.waiting:
                await anyio.sleep(FINISH_POLL_SECONDS)

    async def collect(self) -> None:
        """Store the samples of this moment as a batch."""
        unix_ms = _unix_ms()
        samples: list[Sample] = []
        for sample in self._samples():
            samples.append(sample)
            if len(samples) % SAMPLES_IN_A_ROW == 0:
                await anyio.lowlevel.checkpoint()
        batch = await _in_worker_thread(lambda: messages.encode_batch(samples, unix_ms, self._created_ms))
        async with self._stores_lock:
            await _in_worker_thread(lambda: self._store(unix_ms, batch.payload))
        self._count_lost_batches()
        self._batch_added.set()

    def _store(self, unix_ms: int, payload: bytes) -> None:
        """Store a batch in the spool; in memory where there is none, or while the disk does not take it.

        Guards the order: the batches in memory are newer than all in the spool, and are sent after them. So
        none goes into the spool before memory is empty.
        """
        if self._spool is not None and not len(self._memory):
            try:
                self._spool.append(unix_ms, payload)
                return
            except OSError as error:
                self._rate_limited_log.warning("spool not written, batch queued in memory", reason=str(error))
        self._memory.append(unix_ms, payload)

    def _count_lost_batches(self) -> None:
        lost = self._memory.lost_batches + (self._spool.lost_batches if self._spool else 0)
        if lost > self._counted_lost_batches:
            self._count(OVERFLOWED, lost - self._counted_lost_batches)
            self._counted_lost_batches = lost

    def _store_of_oldest(self) -> BatchStore:
        return self._spool if self._spool is not None and len(self._spool) else self._memory

    async def _send_batches(self) -> None:
        while True:
            async with self._stores_lock:
                store = self._store_of_oldest()
                batch = await _in_worker_thread(store.oldest)
            if batch is None:
                self._batch_added = anyio.Event()
                if not self.waiting:
                    await self._batch_added.wait()
                continue
            wait_seconds = self._delivery.wait_seconds(anyio.current_time(), self.waiting)
            if wait_seconds > 0:
                await anyio.sleep(wait_seconds)
                continue
            if await self._send(batch) in FINAL_OUTCOMES:
                await self._acknowledge(store, batch)

    async def _send(self, batch: SpooledBatch) -> PushOutcome:
        """Push a batch once, and count what became of it."""
        version, payload = self._delivery.version, batch.payload
        try:
            push = await _in_worker_thread(lambda: messages.push_body(payload, version))
            sample_count = len(messages.parse_v2(payload).timeseries) if version == 2 else 0
        except messages.MalformedRequestError as error:  # written by another program: the checksum is right
            log.warning("spooled batch cannot be read", reason=str(error))
            self._count(PushOutcome.REJECTED.value, 1)
            return PushOutcome.REJECTED
        response = await self._post(push)
        now = anyio.current_time()
        outcome = self._delivery.record_response(response, len(push.body), sample_count, now)
        if outcome is PushOutcome.REJECTED:
            self._rate_limited_log.warning("remote write rejected", status=response.status)
        self._count(outcome.value, 1)
        return outcome

    async def _post(self, push: messages.PushBody) -> PushResponse:
        try:
            with anyio.fail_after(PUSH_TIMEOUT_SECONDS):
                return await post(self._config, push)
        except PUSH_ERRORS as error:
            self._rate_limited_log.warning("remote write failed", reason=str(error) or type(error).__name__)
        return PushResponse()

    async def _acknowledge(self, store: BatchStore, batch: SpooledBatch) -> None:
        async with self._stores_lock:
            await _in_worker_thread(lambda: store.acknowledge(batch))


def _open_spool(config: RemoteWriteConfig) -> Spool | None:
    """The spool of a receiver that has one. Raises ConfigError if it cannot be used."""
    if config.spool_folder is None:
        return None
    try:
        spool = Spool(Path(config.spool_folder), config.max_spool_bytes)
    except SpoolError as error:
        raise ConfigError(f"'remote_write.spool' cannot be used: {error}") from None
    if spool.foreign_files:
        log.warning("foreign files in the spool", files=spool.foreign_files[:MAX_LOGGED_FILES])
    if len(spool):
        log.info("spool resumed", waiting=len(spool))
    return spool


def _unix_ms() -> int:
    return int(time.time() * 1000)


async def _in_worker_thread(work: Callable[[], T]) -> T:
    return await anyio.to_thread.run_sync(work)
