"""The singleton task 'figures': the lease holder pushes the sums of all fronts' counters.

In each interval the sums are collected, stored as the task's checkpoint under the lease holder's fencing
token, and then pushed once. If a lease holder fails between storing and pushing, its successor does not push
the stored sums, so that no sample is sent twice; they are included in the next push. A push that arrives late
carries the sums and the time of its own interval. Each push has the fencing token in a header, for receivers
that check it.
"""

from __future__ import annotations

import time
from collections.abc import Callable

import anyio
import structlog

from zincladder.config import RemoteWriteConfig
from zincladder.export import messages
from zincladder.export.delivery import PushResponse
from zincladder.export.push import PUSH_ERRORS, PUSH_TIMEOUT_SECONDS, post
from zincladder.metrics.exposition import Sample
from zincladder.tasks.context import TaskContext
from zincladder.tasks.counter_sums import FleetTotals, decode_totals, encode_totals, next_sample_at

# The value of this header is "TASK TOKEN". A receiver that supports it keeps the highest token of each task.
FENCE_HEADER = "X-Zincladder-Fence"
HTTP_STATUS_FENCED = 409  # the response of such a receiver to an older token
FLEET_ANSWERS_METRIC, FLEET_ATTEMPTS_METRIC = (
    "zincladder_fleet_class_answers_total",
    "zincladder_fleet_cache_attempts_total",
)
LABELS = {FLEET_ANSWERS_METRIC: ("class", "kind"), FLEET_ATTEMPTS_METRIC: ("cache", "end")}
log = structlog.get_logger()


def series_key(metric: str, *label_values: str) -> str:
    """Returns a counter's key in the fronts' reports: the metric and its label values, separated by NUL."""
    return "\0".join((metric, *label_values))


def samples(totals: dict[str, float]) -> list[Sample]:
    """Returns the samples of a push.

    Counters that do not match LABELS are left out: fronts of another version may report such counters.
    """
    known_samples = []
    for name, value in sorted(totals.items()):
        metric, *label_values = name.split("\0")
        labels = LABELS.get(metric, ())
        if labels and len(labels) == len(label_values):
            known_samples.append(Sample(metric, tuple(zip(labels, label_values, strict=True)), value))
    return known_samples


class FleetMetricsTask:
    """The task's function, which runs on the lease holder."""

    def __init__(self, config: RemoteWriteConfig, wall_clock: Callable[[], float] = time.time) -> None:
        self._config, self._wall_clock = config, wall_clock
        self.pushed = 0

    async def __call__(self, context: TaskContext) -> None:
        """Pushes once in each interval until cancelled. Raises LeaseLostError."""
        interval_ms = int(1000 * self._config.interval_seconds)
        version, data = await context.load_checkpoint()
        totals = decode_totals(data)
        while True:
            sample_at_ms = next_sample_at(totals.at, int(1000 * self._wall_clock()), interval_ms)
            wait_seconds = min(sample_at_ms / 1000 - self._wall_clock(), self._config.interval_seconds)
            await anyio.sleep(max(0.0, wait_seconds))
            sums = await context.collect()
            totals = totals.with_growth(sums.epoch, sums.totals, sample_at_ms)
            version = await context.store_checkpoint(version, encode_totals(totals))
            await self._push(context, totals)

    async def _push(self, context: TaskContext, totals: FleetTotals) -> None:
        fleet_samples = samples(totals.totals)
        if not fleet_samples:
            return
        batch = messages.encode_batch(fleet_samples, totals.at, 0)
        push = messages.push_body(batch.payload, self._config.version)

        def fencing_header() -> list[tuple[str, str]]:
            # The token is read after the last await before the request is sent, because the lease may have
            # ended while the task waited.
            return [(FENCE_HEADER, f"{context.task} {context.token()}")]

        response = PushResponse()
        try:
            with anyio.fail_after(PUSH_TIMEOUT_SECONDS):
                response = await post(self._config, push, fencing_header)
        except PUSH_ERRORS as error:
            log.info("push of fleet metrics failed", reason=str(error) or type(error).__name__)
        if response.status == HTTP_STATUS_FENCED:
            context.rejected_by_fence("receiver")
        self.pushed += response.accepted
