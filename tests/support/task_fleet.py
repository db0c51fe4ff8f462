"""Runs real replicas, and fronts that push the fleet's metrics to a receiver that checks fencing tokens."""

from __future__ import annotations

import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from itertools import pairwise
from pathlib import Path

import anyio
import anyio.abc
import cramjam
import h11

from tests.processes import Process, ProcessCluster, Traffic, answer_with_cap, process_cluster
from tests.support.stub_cache import StubCache
from zincladder.export import messages
from zincladder.export.fleet_metrics import HTTP_STATUS_FENCED
from zincladder.tasks.fence import Fence

PUSH_INTERVAL_SECONDS = 0.2


@dataclass
class Push:
    """The content of one push; `at` is the timestamp of its samples."""

    token: int
    at: int
    totals: dict[str, float]
    accepted: bool


@dataclass
class Receiver:
    """A stub remote-write receiver that rejects pushes whose token is lower than one it has seen."""

    fence: Fence = field(default_factory=Fence)
    pushes: list[Push] = field(default_factory=list)
    port: int = 0

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        task_status.started()
        await listener.serve(self._connection)

    async def _connection(self, stream: anyio.abc.SocketStream) -> None:
        http, body, fence = h11.Connection(h11.SERVER), b"", ""
        with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError, h11.RemoteProtocolError):
            async with stream:
                while True:
                    event = http.next_event()
                    if event is h11.NEED_DATA:
                        http.receive_data(await stream.receive())
                    elif isinstance(event, h11.Request):
                        fence = dict(event.headers)[b"x-zincladder-fence"].decode()
                    elif isinstance(event, h11.Data):
                        body += bytes(event.data)
                    elif isinstance(event, h11.EndOfMessage):
                        status = self._record_push(fence, bytes(cramjam.snappy.decompress_raw(body)))
                        answer = h11.Response(status_code=status, headers=[("Content-Length", "0")])
                        parts = (answer, h11.EndOfMessage())
                        await stream.send(b"".join(http.send(part) or b"" for part in parts))
                        return
                    else:
                        return

    def _record_push(self, fence: str, payload: bytes) -> int:
        task, _, token = fence.partition(" ")
        request = messages.parse_v2(payload)
        symbols = list(request.symbols)
        totals, times = {}, set()
        for series in request.timeseries:
            (sample,) = series.samples
            totals[" ".join(symbols[ref] for ref in series.labels_refs)] = sample.value
            times.add(sample.timestamp)
        rejected = self.fence.admit(task, int(token))
        self.pushes.append(Push(int(token), times.pop(), totals, not rejected))
        return HTTP_STATUS_FENCED if rejected else 200

    @property
    def accepted(self) -> list[Push]:
        return [p for p in self.pushes if p.accepted]

    def tokens(self) -> list[int]:
        return sorted({p.token for p in self.accepted})

    def check_invariants(self) -> None:
        """Checks that accepted pushes are ordered by token and time, and that their totals never decrease."""
        pushes: list[Push] = self.accepted
        assert [p.token for p in pushes] == sorted(p.token for p in pushes), (
            "pushes of two lease holders are interleaved"
        )
        times = [p.at for p in pushes]
        assert times == sorted(set(times)), "pushes are repeated or out of order"
        for before, after in pairwise(pushes):
            for series, value in before.totals.items():
                assert after.totals[series] >= value, f"the total of {series} decreased"


class TaskFleet:
    """Replicas, and fronts that all offer to run the task that pushes the fleet's metrics."""

    def __init__(self, r: ProcessCluster, receiver: Receiver, caches: list[StubCache]) -> None:
        self.r, self.receiver, self.caches = r, receiver, caches
        self.fronts: list[str] = []

    async def add(self, name: str, port: int = 0) -> Process:
        relay = await self.r.relay(name, "receiver")
        relay.target = self.receiver.port
        lines = ['wants = ["figures"]', "[duties.figures]", f'url = "http://127.0.0.1:{relay.port}/push"',
                 f"every_s = {PUSH_INTERVAL_SECONDS}"]  # fmt: skip
        self.fronts.append(name)
        return await self.r.front(name, self.caches, port=port, duties=lines)

    async def holder(self, *excluded: str) -> str:
        """Waits until a running front that is not in `excluded` reports that it holds the lease.

        Returns its name.
        """

        async def find_holder() -> str:
            for name in self.fronts:
                process = self.r.processes[name]
                if name in excluded or process.popen is None or process.stopped:
                    continue
                if "app.duty_owned=1" in await self.r.told(name, b"STATS\n"):
                    return name
            return ""

        return str(await self.r.until("a front holds the lease", find_holder))

    async def wait_for_pushes(self, count: int = 3, after: int = 0) -> None:
        """Waits until `count` more pushes with a token higher than `after` have been accepted."""
        expected = sum(p.token > after for p in self.receiver.accepted) + count
        await self.r.until(
            "more pushes are accepted",
            lambda: sum(p.token > after for p in self.receiver.accepted) >= expected,
        )

    def vacancy_reasons(self) -> list[str]:
        """Returns the reasons for which tasks became vacant, from the replicas' logs."""
        replicas = [p for n, p in self.r.processes.items() if n.startswith("k")]
        return [
            line["vacancy_reason"]
            for p in replicas
            for line in p.events("task assignment stored")
            if line["vacancy_reason"]
        ]

    def newest(self) -> int:
        return self.receiver.tokens()[-1]


@contextlib.asynccontextmanager
async def task_fleet(folder: Path, fronts: int = 3, drift: float = 0.0) -> AsyncIterator[TaskFleet]:
    """Starts three replicas, and fronts that serve clients. One of the fronts holds the lease and pushes.

    Checks the accepted pushes at the end.
    """
    async with process_cluster(folder, drift) as r, anyio.create_task_group() as tasks:
        receiver = Receiver()
        # Parent and origin run the cache's script, as a front sends them requests if the cache is slow.
        caches = [
            StubCache(name, kind, answer_with_cap)
            for kind, name in enumerate(("s-00000001", "s-000000a0", "s-000000b0"))
        ]
        await tasks.start(receiver.run)
        for cache in caches:
            await tasks.start(cache.run)
        await r.replicas(3)
        fleet = TaskFleet(r, receiver, caches)
        for n in range(fronts):
            await fleet.add(f"f{n}")
        Traffic(r, tasks, fleet.fronts, each=1, pause=0.05)
        await fleet.wait_for_pushes()
        yield fleet
        tasks.cancel_scope.cancel()
        receiver.check_invariants()
