"""Pushes samples to one receiver: collects them at regular intervals, and stores and sends them in order."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Iterator
from typing import TypeVar

import anyio
import anyio.lowlevel
import anyio.to_thread
import structlog

from zincladder.config import RemoteWriteConfig
from zincladder.export import messages
from zincladder.export.batch_queue import BatchQueue
from zincladder.export.batch_store import SpooledBatch
from zincladder.export.delivery import Delivery, DeliveryRules, PushOutcome, PushResponse
from zincladder.export.push import PUSH_ERRORS, PUSH_TIMEOUT_SECONDS, post
from zincladder.metrics.exposition import Sample
from zincladder.support.rate_limited_log import RateLimitedLog

FINISH_POLL_SECONDS = 0.02
MAX_SAMPLES_IN_A_ROW = 200  # after this many samples, other tasks can run before the next one is collected
QUEUE_RETRY_SECONDS = 0.5  # delay before a queue that could not be used is tried again
RESTART_SECONDS = 1.0  # delay before a sender that failed unexpectedly is started again
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
        predecessor_runs: Callable[[], bool] = bool,
    ) -> None:
        """Creates a sender, and opens its spool if one is configured and its folder is free.

        Args:
            config: The receiver.
            samples: Returns the current samples.
            count: Adds a number of batches to the count of an outcome.
            rules: How batches are sent; None takes the rules from the configuration.
            predecessor_runs: Returns whether the process that this one replaces at an upgrade still runs.

        Raises:
            ConfigError: The spool's folder cannot be used because of the configuration.
        """
        self._config, self._samples, self._count = config, samples, count
        rules = rules or DeliveryRules(version=config.version, replay_bytes_per_s=config.replay_bytes_per_s)
        self._delivery = Delivery(rules, random.Random())
        self._queue = BatchQueue(config, predecessor_runs)
        self._created_ms = _unix_ms()
        self._batch_added = anyio.Event()
        self._collect_lock = anyio.Lock()  # keeps batches in the order of their times
        self._finishing = False  # the last samples are being sent
        self._queue_lock = anyio.Lock()  # held while a worker thread uses the queue
        self._rate_limited_log = RateLimitedLog()
        self._counted_lost_batches = 0

    @property
    def waiting(self) -> int:
        """The number of batches that wait to be sent."""
        return len(self._queue)

    async def run(self) -> None:
        """Collects and sends batches until cancelled, then closes the spool."""
        try:
            while True:
                try:
                    await self._collect_and_send()
                except Exception:  # an error in the export must not stop the front
                    log.exception("remote write failed, it is started again")
                await anyio.sleep(RESTART_SECONDS)
        finally:
            self._queue.close()

    async def _collect_and_send(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_batches)
            collect_at = anyio.current_time()
            while not self._finishing:
                await self.collect()
                collect_at = max(collect_at + self._config.interval_seconds, anyio.current_time())
                await anyio.sleep_until(collect_at)

    async def finish(self, timeout_seconds: float) -> None:
        """Collects the front's last samples and waits until all batches are sent. `run` has to be running.

        No samples are collected after them, so that no push is under way when this returns in time. Batches
        that are still in memory after the timeout are moved to the spool, or lost without one.
        """
        self._finishing = True
        try:
            await self.collect()
        except Exception:  # the front still has to end in order
            log.exception("last samples could not be collected")
        with anyio.move_on_after(timeout_seconds):
            while self.waiting:
                await anyio.sleep(FINISH_POLL_SECONDS)

    async def collect(self) -> None:
        """Stores the current samples as a batch, after a call that is still running."""
        async with self._collect_lock:
            await self._collect()

    async def _collect(self) -> None:
        unix_ms = _unix_ms()
        samples: list[Sample] = []
        for sample in self._samples():
            samples.append(sample)
            if len(samples) % MAX_SAMPLES_IN_A_ROW == 0:
                await anyio.lowlevel.checkpoint()
        batch = await _in_worker_thread(lambda: messages.encode_batch(samples, unix_ms, self._created_ms))
        await self._use_queue(lambda: self._queue.append(unix_ms, batch.payload))
        self._count_lost_batches()
        self._batch_added.set()

    def _count_lost_batches(self) -> None:
        lost = self._queue.lost_batches
        if lost > self._counted_lost_batches:
            self._count(OVERFLOWED, lost - self._counted_lost_batches)
            self._counted_lost_batches = lost

    async def _send_batches(self) -> None:
        while True:
            batch = await self._use_queue(self._queue.oldest)
            if batch is None:
                await self._wait_for_batch()
                continue
            wait_seconds = self._delivery.wait_seconds(anyio.current_time(), self.waiting)
            if wait_seconds > 0:
                await anyio.sleep(wait_seconds)
                continue
            if await self._send(batch) in FINAL_OUTCOMES:
                await self._use_queue(self._queue.acknowledge)

    async def _wait_for_batch(self) -> None:
        """Waits until a batch is added, or until a queue that could not be used may be used again."""
        self._batch_added = anyio.Event()
        if self._queue.is_usable and not self.waiting:
            await self._batch_added.wait()
        else:
            await anyio.sleep(QUEUE_RETRY_SECONDS)

    async def _use_queue(self, work: Callable[[], T]) -> T:
        """Calls a method of the queue in a worker thread, while no other one is called."""
        async with self._queue_lock:
            return await _in_worker_thread(work)

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


def _unix_ms() -> int:
    return int(time.time() * 1000)


async def _in_worker_thread(work: Callable[[], T]) -> T:
    return await anyio.to_thread.run_sync(work)
