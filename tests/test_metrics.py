"""Metrics: the endpoint, remote write against a receiver that is written here, and the alert rules."""

from __future__ import annotations

import re
from collections import Counter
from pathlib import Path
from typing import Any

import anyio
import anyio.abc
import cramjam
import h11
import pytest
import yaml

from tests.stands import client, serve, world
from zincladder.admission.gate import Bounds
from zincladder.admission.ledger import PLAIN, Ledger
from zincladder.admission.plain import Plain
from zincladder.config import ConfigError, Names, RemoteWriteConfig
from zincladder.config.operator import operator_of
from zincladder.core.engine import Core
from zincladder.interface import Settings
from zincladder.metrics.registry import NAMES, Registry
from zincladder.metrics.remote_write import RemoteWrite, WriteRequest

pytestmark = pytest.mark.anyio
ROOT = Path(__file__).resolve().parent.parent


class Receiver:
    """Takes pushes and answers each with the next status of its script, then 204."""

    def __init__(self, *script: int) -> None:
        self.script, self.bodies, self.heads = list(script), list[bytes](), list[dict[bytes, bytes]]()
        self.port, self.came = 0, anyio.Event()

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        task_status.started()
        await listener.serve(self._connection)

    async def _connection(self, stream: anyio.abc.ByteStream) -> None:
        talk, body = h11.Connection(h11.SERVER), b""
        async with stream:
            while True:
                event = talk.next_event()
                if event is h11.NEED_DATA:
                    talk.receive_data(await stream.receive())
                elif isinstance(event, h11.Request):
                    self.heads.append(dict(event.headers))
                elif isinstance(event, h11.Data):
                    body += bytes(event.data)
                else:
                    break
            self.bodies.append(body)
            status = self.script.pop(0) if self.script else 204
            answer = h11.Response(status_code=status, headers=[("Content-Length", "0")])
            await stream.send((talk.send(answer) or b"") + (talk.send(h11.EndOfMessage()) or b""))
        came, self.came = self.came, anyio.Event()
        came.set()


def registry() -> Registry:
    settings = Settings((), 0, (1,), 1)
    core = Core(settings, 1, None)  # type: ignore[arg-type]
    core.counts["answers", "served"] = 3
    return Registry(core, "n0", lambda: True, Plain(Bounds(8, 8), Ledger(64, PLAIN, own=0)))


@pytest.mark.parametrize(
    ("script", "counted"),
    [
        ((200,), {"sent": 1}),
        ((503, 429, 204), {"retried": 2, "sent": 1}),
        ((400, 204), {"refused": 1, "sent": 1}),
    ],
)
async def test_pushes_are_repeated_on_5xx_and_429_and_dropped_on_other_4xx(
    script: tuple[int, ...], counted: dict[str, int], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("zincladder.metrics.remote_write.BACKOFF", (0.01, 0.02))
    receiver, counts = Receiver(*script), Counter[str]()
    async with anyio.create_task_group() as tasks:
        await tasks.start(receiver.run)
        config = RemoteWriteConfig(
            "127.0.0.1", receiver.port, "/api/v1/write", 0.02 if 400 in script else 60.0, 8
        )
        push = RemoteWrite(config, registry(), lambda outcome: counts.update([outcome]))
        tasks.start_soon(push.run)
        with anyio.fail_after(10):
            while any(counts[k] < n for k, n in counted.items()):
                await anyio.sleep(0.001)
        tasks.cancel_scope.cancel()
    assert all(counts[k] == n for k, n in counted.items() if k != "sent")
    if 503 in script:
        assert len(set(receiver.bodies[:3])) == 1  # the same samples each time
    head = receiver.heads[0]
    assert (head[b"content-encoding"], head[b"x-prometheus-remote-write-version"]) == (b"snappy", b"0.1.0")
    request: Any = WriteRequest()
    request.ParseFromString(bytes(cramjam.snappy.decompress_raw(receiver.bodies[0])))
    series = {s.labels[0].value: s for s in request.timeseries}
    served = series["zincladder_answers_total"]
    assert [(x.name, x.value) for x in served.labels[1:]] == [("front", "n0"), ("kind", "served")]
    assert served.samples[0].value == 3.0 and served.samples[0].timestamp > 1_700_000_000_000


async def test_samples_that_cannot_be_pushed_are_bounded() -> None:
    counts = Counter[str]()
    push = RemoteWrite(
        RemoteWriteConfig("127.0.0.1", 1, "/", 60.0, 4), registry(), lambda o: counts.update([o])
    )
    for _ in range(10):
        push.take()
    assert len(push._queue) == 4 and counts["overflowed"] == 6


async def test_the_endpoint_counts_what_was_answered() -> None:
    operator = {"metrics": {"listen": "127.0.0.1:0"}}
    async with world(serve, operator=operator) as w, client(w) as c:
        await c.ask()
        await c.reply()
        assert w.listening.metrics
        pages = []
        for target in (b"/metrics", b"/other"):
            async with await anyio.connect_tcp(*w.listening.metrics) as stream:
                await stream.send(b"GET " + target + b" HTTP/1.1\r\nHost: x\r\n\r\n")
                page = b""
                with pytest.raises(anyio.EndOfStream):
                    while True:
                        page += await stream.receive()
            pages.append(page.decode())
        assert pages[0].startswith("HTTP/1.1 200") and pages[1].startswith("HTTP/1.1 404")
        assert 'zincladder_answers_total{front="n0",kind="served"} 1\n' in pages[0]
        assert 'zincladder_members_ready{front="n0"} 3\n' in pages[0]


def test_alert_rules_name_only_metrics_that_exist() -> None:
    groups = yaml.safe_load((ROOT / "deploy/alerts.yml").read_text())["groups"]
    rules = [rule for group in groups for rule in group["rules"]]
    named = [set(re.findall(r"zincladder_\w+", rule["expr"])) for rule in rules]
    assert len(rules) >= 5 and all(named) and set().union(*named) <= NAMES


@pytest.mark.parametrize(
    ("data", "key"),
    [
        ({"dns": {"zone": "a.org", "listen": "x", "host": []}}, "'dns.listen'"),
        (
            {"dns": {"zone": "a.org", "listen": "127.0.0.1:0", "host": [{"name": "b.org", "class": "page"}]}},
            "'dns.host[0].name'",
        ),
        ({"remote_write": {"url": "ftp://x"}}, "'remote_write.url'"),
        ({"metrics": {}}, "'metrics.listen'"),
    ],
)
def test_a_fault_in_the_operators_file_is_named(data: dict[str, Any], key: str) -> None:
    with pytest.raises(ConfigError, match=re.escape(key)):
        operator_of(data, Names(("page",), (), ()))


def test_the_operators_file_that_is_shipped_can_be_used() -> None:
    import tomllib

    data = tomllib.loads((ROOT / "deploy/operator.toml").read_text())
    found = operator_of(data, Names(("video", "page", "booking"), (), ()))
    assert found.dns and len(found.dns.hosts) >= 2
    assert operator_of({}, Names((), (), ())) == type(found)()
