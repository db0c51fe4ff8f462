"""The metrics endpoint, the metrics in the alert rules, and the operator's file."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

import anyio
import anyio.abc
import pytest
import yaml

from tests.support.front_world import running_front
from tests.support.service_client import client
from tests.support.stub_cache import Fetch, StubCache, serve
from zincladder.admission.connection_admission import ConnectionAdmission
from zincladder.admission.descriptor_budget import FIXED_POOLS, DescriptorBudget
from zincladder.admission.interface import RequestBounds
from zincladder.config import ConfigError, Names
from zincladder.config.operator import parse_operator
from zincladder.core.engine import Core
from zincladder.metrics.front_metrics import NAMES
from zincladder.metrics.registry import Registry
from zincladder.metrics.replica import NAMES as REPLICA_NAMES
from zincladder.routing.interface import Settings

pytestmark = pytest.mark.anyio
ROOT = Path(__file__).resolve().parents[2]


def new_registry() -> Registry:
    settings = Settings((), 0, (1,), 1)
    core = Core(settings, 1, None)  # type: ignore[arg-type]
    core.counts["answers", "served"] = 3
    return Registry(
        core,
        "n0",
        lambda: True,
        ConnectionAdmission(RequestBounds(8, 8), DescriptorBudget(64, FIXED_POOLS, own=0)),
    )


async def test_the_endpoint_serves_the_counters() -> None:
    operator = {"metrics": {"listen": "127.0.0.1:0"}}
    async with running_front(serve, operator=operator) as w, client(w) as c:
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
        assert 'zincladder_attempts_written_total{front="n0"} 1\n' in pages[0]  # `app.forwards` in STATS
        assert 'zincladder_processes{front="n0"} 1\n' in pages[0]


def test_alert_rules_name_only_metrics_that_exist() -> None:
    groups = yaml.safe_load((ROOT / "deploy/alerts.yml").read_text())["groups"]
    rules = [rule for group in groups for rule in group["rules"]]
    named = [set(re.findall(r"zincladder_\w+", rule["expr"])) for rule in rules]
    assert len(rules) >= 5 and all(named) and set().union(*named) <= NAMES | REPLICA_NAMES


@pytest.mark.parametrize(
    ("data", "key"),
    [
        ({"dns": {"zone": "a.org", "listen": "x", "host": []}}, "'dns.listen'"),
        (
            {"dns": {"zone": "a.org", "listen": "127.0.0.1:0", "host": [{"name": "b.org", "class": "page"}]}},
            "'dns.host[0].name'",
        ),
        ({"remote_write": {"url": "ftp://x"}}, "'remote_write.url'"),
        ({"remote_write": [{"url": "http://a/"}, {"url": "x"}]}, "'remote_write[1].url'"),
        ({"remote_write": [{"url": "http://a/", "spool": "x"}] * 2}, "'spool'"),
        ({"metrics": {}}, "'metrics.listen'"),
    ],
)
def test_an_error_in_the_operators_file_names_the_key(data: dict[str, Any], key: str) -> None:
    with pytest.raises(ConfigError, match=re.escape(key)):
        parse_operator(data, Names(("page",), (), ()))


def test_the_shipped_operators_file_is_valid() -> None:
    import tomllib

    data = tomllib.loads((ROOT / "deploy/operator.toml").read_text())
    found = parse_operator(data, Names(("video", "page", "booking"), (), ()))
    assert found.dns and len(found.dns.hosts) >= 2
    assert parse_operator({}, Names((), (), ())) == type(found)()


async def test_the_metrics_name_a_cache_that_does_not_answer() -> None:
    silent = False

    async def serve_unless_silent(cache: StubCache, fetch: Fetch) -> None:
        if not silent:
            await serve(cache, fetch)

    def values_by_cache(page: str, name: str) -> dict[str, float]:
        lines = [line for line in page.splitlines() if line.startswith(name + "{")]
        return {re.findall(r'cache="([^"]*)"', line)[0]: float(line.rsplit(" ", 1)[1]) for line in lines}

    operator = {"metrics": {"listen": "127.0.0.1:0"}}
    async with running_front(serve_unless_silent, serve, operator=operator) as w, client(w) as c:
        assert w.listening.metrics
        silent_cache = w.caches[0]

        async def ask(count: int, patience_ms: int = 400) -> None:
            for n in range(count):
                await c.ask(entity=f"{n:016x}", patience=str(patience_ms))
            for _ in range(count):
                await c.reply()

        async def page() -> str:
            assert w.listening.metrics
            async with await anyio.connect_tcp(*w.listening.metrics) as stream:
                await stream.send(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
                data = b""
                with pytest.raises(anyio.EndOfStream):
                    while True:
                        data += await stream.receive()
            return data.decode()

        # Until a hit has been timed, a transfer is expected to take the class's objective of 0.3 s. With a
        # patience of 0.4 s, a stall of this process for 0.1 s would leave too little time, and the request
        # would be rejected.
        await ask(24, patience_ms=2000)
        page_before = await page()
        assert len(values_by_cache(page_before, "zincladder_cache_silent_seconds")) == 4
        assert max(values_by_cache(page_before, "zincladder_cache_silent_seconds").values()) < 0.2
        assert 'zincladder_class_answers_total{front="n0",class="page",kind="served"} 24' in page_before
        silent = silent_cache.mute = True
        seen = {silent_cache.name: 0.0}
        with anyio.fail_after(10):
            while seen[silent_cache.name] < 0.8:
                await ask(24)
                seen = values_by_cache(await page(), "zincladder_cache_silent_seconds")
        assert max(v for k, v in seen.items() if k != silent_cache.name) < 0.3
        silent = silent_cache.mute = False
        with anyio.fail_after(10):
            while values_by_cache(await page(), "zincladder_cache_silent_seconds")[silent_cache.name] > 0.1:
                await ask(24)
        await w.coordinator.tell(2, silent_cache.record(2))  # the series of a removed cache must disappear
        with anyio.fail_after(5):
            while silent_cache.name in values_by_cache(
                text := await page(), "zincladder_cache_silent_seconds"
            ):
                await anyio.sleep(0.01)
        assert silent_cache.name not in text
