"""Pushes samples to one receiver: collects them at regular intervals, and stores and sends them in order."""

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
MAX_SAMPLES_IN_A_ROW = 200  # after this many samples, other tasks can run before the next one is collected
MAX_LOGGED_FILES = 10
OVERFLOWED = "overflowed"  # label value for lost batches, beside those of PushOutcome
# After one of these outcomes a batch is removed and not sent again.
FINAL_OUTCOMES = (PushOutcome.SENT, PushOutcome.PARTIAL, PushOutcome.REJECTED)
T = TypeVar("T")
log = structlog.get_logger()


class RemoteWrite:
    """The sender for one receiver.

    Encoding and file access run in a worker thread, so that the event loop can serve requests meanwhile.
    """

    def __init__(
        self,
        config: RemoteWriteConfig,
        samples: Callable[[], Iterator[Sample]],
        count: Callable[[str, int], None],
        rules: DeliveryRules | None = None,
    ) -> None:
        """Creates a sender, and opens its spool if one is configured.

        Args:
            config: The receiver.
            samples: Returns the current samples.
            count: Adds a number of batches to the count of an outcome.
            rules: How batches are sent; None takes the rules from the configuration.

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
        self._stores_lock = anyio.Lock()  # held while a worker thread uses a store
        self._rate_limited_log = RateLimitedLog()
        self._counted_lost_batches = 0

    @property
    def waiting(self) -> int:
        """The number of batches that wait to be sent."""
        return len(self._memory) + (len(self._spool) if self._spool else 0)

    async def run(self) -> None:
        """Collects and sends batches until cancelled, then closes the spool."""
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
        """Collects the front's last samples and waits until all batches are sent. `run` has to be running.

        Batches that are still in memory after the timeout are lost; those in the spool are kept.
        """
        await self.collect()
        with anyio.move_on_after(timeout_seconds):
            while self.waiting:
                await anyio.sleep(FINISH_POLL_SECONDS)

    async def collect(self) -> None:
        """Stores the current samples as a batch."""
        unix_ms = _unix_ms()
        samples: list[Sample] = []
        for sample in self._samples():
            samples.append(sample)
            if len(samples) % MAX_SAMPLES_IN_A_ROW == 0:
                await anyio.lowlevel.checkpoint()
        batch = await _in_worker_thread(lambda: messages.encode_batch(samples, unix_ms, self._created_ms))
        async with self._stores_lock:
            await _in_worker_thread(lambda: self._store(unix_ms, batch.payload))
        self._count_lost_batches()
        self._batch_added.set()

    def _store(self, unix_ms: int, payload: bytes) -> None:
        """Stores a batch in the spool, or in memory if there is no spool or it cannot be written.

        Batches in memory are newer than all batches in the spool, and are sent after them. To keep this
        order, nothing is added to the spool before the memory is empty.
        """
        if self._spool is not None and not len(self._memory):
            try:
                self._spool.append(unix_ms, payload)
                return
            except OSError as error:
                self._rate_limited_log.warning(
                    "spool could not be written, batch is kept in memory", reason=str(error)
                )
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
        """Pushes a batch once, and counts the outcome."""
        version, payload = self._delivery.version, batch.payload
        try:
            push = await _in_worker_thread(lambda: messages.push_body(payload, version))
            sample_count = len(messages.parse_v2(payload).timeseries) if version == 2 else 0
        except messages.MalformedRequestError as error:  # its checksum is right, so another program wrote it
            log.warning("spooled batch dropped, it cannot be decoded", reason=str(error))
            self._count(PushOutcome.REJECTED.value, 1)
            return PushOutcome.REJECTED
        response = await self._post(push)
        now = anyio.current_time()
        outcome = self._delivery.record_response(response, len(push.body), sample_count, now)
        if outcome is PushOutcome.REJECTED:
            self._rate_limited_log.warning(
                "remote write push rejected, batch dropped", status=response.status
            )
        self._count(outcome.value, 1)
        return outcome

    async def _post(self, push: messages.PushBody) -> PushResponse:
        try:
            with anyio.fail_after(PUSH_TIMEOUT_SECONDS):
                return await post(self._config, push)
        except PUSH_ERRORS as error:
            self._rate_limited_log.warning(
                "remote write push failed, will be retried", reason=str(error) or type(error).__name__
            )
        return PushResponse()

    async def _acknowledge(self, store: BatchStore, batch: SpooledBatch) -> None:
        async with self._stores_lock:
            await _in_worker_thread(lambda: store.acknowledge(batch))


def _open_spool(config: RemoteWriteConfig) -> Spool | None:
    """Opens the spool, if one is configured. Raises ConfigError if it cannot be used."""
    if config.spool_folder is None:
        return None
    try:
        spool = Spool(Path(config.spool_folder), config.max_spool_bytes)
    except SpoolError as error:
        raise ConfigError(f"'remote_write.spool' cannot be used: {error}") from None
    if spool.foreign_files:
        log.warning(
            "spool folder holds files that are not segments of this spool",
            files=spool.foreign_files[:MAX_LOGGED_FILES],
        )
    if len(spool):
        log.info("spool reopened with unsent batches", batches=len(spool))
    return spool


def _unix_ms() -> int:
    return int(time.time() * 1000)


async def _in_worker_thread(work: Callable[[], T]) -> T:
    return await anyio.to_thread.run_sync(work)
