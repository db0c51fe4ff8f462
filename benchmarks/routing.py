"""Measures how long a router takes for one request: its arrival, its attempt's end and its timer.

    python -m benchmarks.routing [--quick] [--out DIR]

A router with eight caches in its location and six parents in another handles steady traffic, of which 70% are
hits. The timers of every second request fire. The router is measured with known and with unknown weights of
endpoints, and both with known and with unknown sizes of objects. The results are the least and the median of
the rounds, in microseconds of wall-clock time for one request.
"""

from __future__ import annotations

import argparse
import json
import statistics
import sys
import time
from collections import deque
from pathlib import Path
from random import Random

from zincladder.routing import interface as api
from zincladder.routing.router import Router

CACHES, PARENTS, OBJECTS = 8, 6, 500
REQUESTS_PER_SECOND = 100.0
MAX_IN_FLIGHT = 8
HIT_SHARE = 0.7
LATENCY_SECONDS, FILL_WAIT_SECONDS = 0.12, 0.02
LOAD_REPORT = (0.5, 3.0, 0.4)
SLOW_START = api.SlowStart(initial_share=0.25, duration=10.0, overload_factor=2.0, overload_seconds=1.0)
CLASSES = (
    api.RequestClass(0.5, 5.0, objective_per_transfer=2.0),
    api.RequestClass(0.25, 3.0, objective_per_transfer=2.0, fresh_seconds=20.0),
    api.RequestClass(0.8, 3.0, api.Idempotency.NONE, uncacheable=True),
)
CLASS_WEIGHTS = (6, 6, 1)
ENDPOINTS = (
    *(api.Endpoint(b"cache%d" % n, 0, 1, weight=8.0) for n in range(CACHES)),
    *(api.Endpoint(b"paren%d" % n, 1, 0, weight=40.0) for n in range(PARENTS)),
    api.Endpoint(b"origin", 2, 0),
)


def build_router(weights_known: bool) -> Router:
    settings = api.Settings(
        CLASSES,
        zone=1,
        routers_by_zone=(0, 2, 2),
        routers=4,
        parent_kind=1,
        origin_kind=2,
        client_kb_per_s=1000.0,
        cache_slow_start=SLOW_START,
        parent_slow_start=SLOW_START,
        purge_done=6.0,
        max_attempts=6,
        may_cancel=True,
        max_retry_after=0.5,
        may_bypass_caches=True,
        coalesces_fills=True,
        peer_fill=api.PeerFill.LOCATION,
        weights_known=weights_known,
        report_names=("busy", "held", "link"),
    )
    return Router(settings, seed=1)


class Traffic:
    """Sends steady traffic to one router and measures the time that the router takes."""

    def __init__(self, router: Router, sizes_known: bool) -> None:
        self.router = router
        self.sizes_known = sizes_known
        self.random = Random(3)
        self.now = 100.0
        self.spent_seconds = 0.0
        self.in_flight: deque[api.Fetch | api.Lookup] = deque()

    def run(self, requests: int) -> float:
        """Returns the microseconds that the router took for one request, on average."""
        self.handle(api.EndpointUpdate(api.UpdateKind.FULL, 1, ENDPOINTS))
        self.spent_seconds = 0.0
        for request_id in range(requests):
            self.now += 1 / REQUESTS_PER_SECOND
            timers = self.handle(self.request(request_id))
            if len(self.in_flight) > MAX_IN_FLIGHT:
                self.handle(self.end_of(self.in_flight.popleft()))
            if request_id % 2:
                for token in timers:
                    self.handle(api.TimerFired(token))
        return self.spent_seconds / requests * 1e6

    def handle(self, event: api.Event) -> list[int]:
        """Passes one event to the router and returns the tokens of the timers that it sets."""
        begun_at = time.perf_counter()
        actions = self.router.handle(event, self.now)
        self.spent_seconds += time.perf_counter() - begun_at
        self.in_flight.extend(a for a in actions if isinstance(a, api.Fetch | api.Lookup))
        return [action.token for action in actions if isinstance(action, api.SetTimer)]

    def request(self, request_id: int) -> api.Request:
        key = int(self.random.paretovariate(0.9)) % OBJECTS
        (request_class,) = self.random.choices(range(len(CLASSES)), CLASS_WEIGHTS)
        size_kb = self.random.expovariate(1 / 100) + 1 if self.sizes_known else 0.0
        return api.Request(request_id, key, key % 7, 0, request_class, size_kb, self.now + 3.0)

    def end_of(self, attempt: api.Fetch | api.Lookup) -> api.AttemptEnded:
        hit = self.random.random() < HIT_SHARE
        return api.AttemptEnded(
            attempt.request,
            0,
            attempt.endpoint,
            api.AttemptOutcome.OK,
            LATENCY_SECONDS,
            closed=True,
            fill_outcome=api.FillOutcome.HIT if hit else api.FillOutcome.FILLED,
            fill_wait=0.0 if hit else FILL_WAIT_SECONDS,
            report=LOAD_REPORT,
        )


def measure(requests: int, rounds: int) -> dict[str, dict[str, float]]:
    results = {}
    for weights_known in (True, False):
        for sizes_known in (True, False):
            times = [Traffic(build_router(weights_known), sizes_known).run(requests) for _ in range(rounds)]
            name = f"weights {'known' if weights_known else 'unknown'}, "
            name += f"sizes {'known' if sizes_known else 'unknown'}"
            results[name] = {
                "least_us": round(min(times), 2),
                "median_us": round(statistics.median(times), 2),
            }
    return results


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--quick", action="store_true", help="fewer and shorter rounds")
    parser.add_argument("--out", type=Path, help="write a table to this directory")
    options = parser.parse_args()
    results = measure(2500, 8) if options.quick else measure(20_000, 20)
    if options.out:
        options.out.mkdir(parents=True, exist_ok=True)
        lines = ["| traffic | least, us | median, us |", "|---|---|---|"]
        lines += [f"| {name} | {row['least_us']} | {row['median_us']} |" for name, row in results.items()]
        (options.out / "routing.md").write_text("\n".join(lines) + "\n")
    print(json.dumps(results))
    return 0


if __name__ == "__main__":
    sys.exit(main())
