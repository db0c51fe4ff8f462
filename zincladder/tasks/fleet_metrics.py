"""The duty 'figures': one owner pushes the sums of all fronts' counters, instead of every front its own.

Each interval: the sums are taken, kept as the group's progress under the owner's token, then pushed once.
What was kept and not pushed when an owner went is left out, so no sample goes twice; the next one holds all
of it. A push that arrives late is still what was true at its time. A receiver that knows fences is told the
token.
"""

from __future__ import annotations

import time
from collections.abc import Callable

import anyio
import h11
import structlog

from zincladder.config import RemoteWriteConfig
from zincladder.export import messages
from zincladder.export.delivery import Outcome
from zincladder.export.push import FAILED, post
from zincladder.metrics.registry import Sample
from zincladder.tasks.counter_sums import FleetTotals, decode_totals, encode_totals, next_sample_at
from zincladder.tasks.runner import TaskContext

FENCE_HEADER = (
    "X-Zincladder-Fence"  # "DUTY TOKEN", for a receiver that remembers the highest token of each duty
)
HTTP_FENCED = 409  # what such a receiver answers to an older one
LIMIT = 5.0  # seconds for one push
ANSWERS, ATTEMPTS = "zincladder_fleet_class_answers_total", "zincladder_fleet_cache_attempts_total"
log = structlog.get_logger()


def series(name: str, *labels: str) -> str:
    """A counter's name among those that processes tell: the metric, then its labels' values."""
    return "\0".join((name, *labels))


def samples(totals: dict[str, float]) -> list[Sample]:
    """What is pushed of sums; names that nobody here tells are left out."""
    found = []
    for name, value in sorted(totals.items()):
        metric, *labels = name.split("\0")
        if metric == ANSWERS and len(labels) == 2:
            found.append(Sample(metric, (("class", labels[0]), ("kind", labels[1])), value))
        elif metric == ATTEMPTS and len(labels) == 2:
            found.append(Sample(metric, (("cache", labels[0]), ("end", labels[1])), value))
    return found


class FleetMetricsTask:
    """The work of the duty's owner."""

    def __init__(self, config: RemoteWriteConfig, clock: Callable[[], float] = time.time) -> None:
        self._config, self._clock = config, clock
        self.pushed = 0

    async def __call__(self, hand: TaskContext) -> None:
        """Until it is cancelled, or Lost."""
        every = int(1000 * self._config.every)
        version, data = await hand.progress()
        totals = decode_totals(data)
        while True:
            at = next_sample_at(totals.at, int(1000 * self._clock()), every)
            wait = min(at / 1000 - self._clock(), self._config.every)
            await anyio.sleep(max(0.0, wait))
            sums = await hand.collect()
            totals = totals.grown(sums.epoch, sums.totals, at)
            version = await hand.keep(version, encode_totals(totals))
            await self._push(hand, totals)

    async def _push(self, hand: TaskContext, totals: FleetTotals) -> None:
        found = samples(totals.totals)
        if not found:
            return
        payload, _ = messages.batch(found, totals.at, 0)
        body, kind, said = messages.on_the_wire(payload, self._config.version)

        def fence() -> list[tuple[str, str]]:
            return [(FENCE_HEADER, f"{hand.duty} {hand.token()}")]  # looked at when all awaits are over

        outcome = Outcome(0)
        try:
            with anyio.fail_after(LIMIT):
                outcome = await post(self._config, body, kind, said, fence)
        except (*FAILED, h11.ProtocolError) as fault:
            log.info("fleet's figures not pushed", why=str(fault) or type(fault).__name__)
        if outcome.status == HTTP_FENCED:
            hand.fenced("receiver")
        self.pushed += 200 <= outcome.status < 300
