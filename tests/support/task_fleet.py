"""Real replicas and fronts that push the fleet's figures to a receiver that knows fences."""

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

from tests.processes import Process, Rig, Traffic, marking, rig
from tests.support.stub_cache import StubCache
from zincladder.export import messages
from zincladder.export.fleet_metrics import HTTP_FENCED
from zincladder.tasks.fence import Fence

PUSH_INTERVAL_SECONDS = 0.2


@dataclass
class Push:
    """The content of one push."""

    token: int
    at: int
    totals: dict[str, float]
    accepted: bool


@dataclass
class Receiver:
    """A stand-in for whoever takes samples; it remembers the highest token of each task."""

    fence: Fence = field(default_factory=Fence)
    pushes: list[Push] = field(default_factory=list)
    port: int = 0

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        task_status.started()
        await listener.serve(self._connection)

    async def _connection(self, stream: anyio.abc.SocketStream) -> None:
        talk, body, fence = h11.Connection(h11.SERVER), b"", ""
        with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError, h11.RemoteProtocolError):
            async with stream:
                while True:
                    event = talk.next_event()
                    if event is h11.NEED_DATA:
                        talk.receive_data(await stream.receive())
                    elif isinstance(event, h11.Request):
                        fence = dict(event.headers)[b"x-zincladder-fence"].decode()
                    elif isinstance(event, h11.Data):
                        body += bytes(event.data)
                    elif isinstance(event, h11.EndOfMessage):
                        status = self._take(fence, bytes(cramjam.snappy.decompress_raw(body)))
                        answer = h11.Response(status_code=status, headers=[("Content-Length", "0")])
                        parts = (answer, h11.EndOfMessage())
                        await stream.send(b"".join(talk.send(part) or b"" for part in parts))
                        return
                    else:
                        return

    def _take(self, fence: str, payload: bytes) -> int:
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
        return HTTP_FENCED if rejected else 200

    @property
    def accepted(self) -> list[Push]:
        return [p for p in self.pushes if p.accepted]

    def tokens(self) -> list[int]:
        return sorted({p.token for p in self.accepted})

    def judge(self) -> None:
        seen: list[Push] = self.accepted
        assert [p.token for p in seen] == sorted(p.token for p in seen), "of two lease holders, interleaved"
        times = [p.at for p in seen]
        assert times == sorted(set(times)), "twice, or out of order"
        for before, after in pairwise(seen):
            for series, value in before.totals.items():
                assert after.totals[series] >= value, f"{series} fell"


class TaskFleet:
    """A rig with replicas and fronts that all offer to push the fleet's figures."""

    def __init__(self, r: Rig, receiver: Receiver, caches: list[StubCache]) -> None:
        self.r, self.receiver, self.caches = r, receiver, caches
        self.fronts: list[str] = []

    async def add(self, name: str, port: int = 0) -> Process:
        way = await self.r.relay(name, "receiver")
        way.target = self.receiver.port
        lines = ['wants = ["figures"]', "[duties.figures]", f'url = "http://127.0.0.1:{way.port}/push"',
                 f"every_s = {PUSH_INTERVAL_SECONDS}"]  # fmt: skip
        self.fronts.append(name)
        return await self.r.front(name, self.caches, port=port, duties=lines)

    async def holder(self, *but: str) -> str:
        """Whoever says that it holds the lease now."""

        async def found() -> str:
            for name in self.fronts:
                process = self.r.processes[name]
                if name in but or process.popen is None or process.stopped:
                    continue
                if "app.duty_owned=1" in await self.r.told(name, b"STATS\n"):
                    return name
            return ""

        return str(await self.r.until("somebody holds the lease", found))

    async def more(self, count: int = 3, after: int = 0) -> None:
        """Waits for so many more accepted pushes under a newer token."""
        wanted = sum(p.token > after for p in self.receiver.accepted) + count
        await self.r.until(
            "pushes go on", lambda: sum(p.token > after for p in self.receiver.accepted) >= wanted
        )

    def vacancies(self) -> list[str]:
        """Why tasks became vacant, by the replicas' logs."""
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
    """Three keepers, some fronts, traffic at all of them, and a lease holder that pushes."""
    async with rig(folder, drift) as r, anyio.create_task_group() as tasks:
        receiver = Receiver()
        # All say the same: where the cache is slow the front goes straight to the parent or the origin.
        caches = [
            StubCache(name, kind, marking)
            for kind, name in enumerate(("s-00000001", "s-000000a0", "s-000000b0"))
        ]
        await tasks.start(receiver.run)
        for cache in caches:
            await tasks.start(cache.run)
        await r.replicas(3)
        c = TaskFleet(r, receiver, caches)
        for n in range(fronts):
            await c.add(f"f{n}")
        Traffic(r, tasks, c.fronts, each=1, pause=0.05)
        await c.more()
        yield c
        tasks.cancel_scope.cancel()
        receiver.judge()
