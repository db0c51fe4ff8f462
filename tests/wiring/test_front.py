"""A front is built from the parts that its configuration enables, and from no others."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import anyio
import pytest

from tests.support.front_configuration import configuration
from tests.support.front_world import running_front
from tests.support.service_client import client
from tests.support.stub_cache import serve
from zincladder.config import parse_config
from zincladder.config.operator import parse_operator
from zincladder.config.reload import Reload
from zincladder.wiring.front import Front

pytestmark = pytest.mark.anyio
OPTIONAL_PACKAGES = ("policy", "tasks", "dns", "metrics", "export", "control", "cli")


def imported_packages(config: dict[str, Any], tmp_path: Path) -> set[str]:
    """Returns the packages that a process has imported once its front with this configuration is ready."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config))
    code = """
import sys, anyio
import zincladder.__main__
from zincladder import config
from zincladder.config import Operator
from zincladder.wiring.front import run_front

async def main():
    async with anyio.create_task_group() as tasks:
        await tasks.start(run_front, config.load(), Operator(), anyio.Event())
        tasks.cancel_scope.cancel()

anyio.run(main)
print(*{name.split(".")[1] for name in sys.modules if name.startswith("zincladder.")})
"""
    environ = {"RELAY_CONFIG": str(path)}
    root = Path(__file__).resolve().parents[2]
    ended = subprocess.run(
        [sys.executable, "-c", code], env=environ, cwd=root, capture_output=True, text=True, check=True
    )
    return set(ended.stdout.splitlines()[-1].split())


def test_a_front_without_an_operators_file_imports_no_optional_package(tmp_path: Path) -> None:
    imported = imported_packages(configuration([]), tmp_path)
    assert "wiring" in imported and not imported & set(OPTIONAL_PACKAGES)
    with_status = imported_packages(configuration([]) | {"control": "127.0.0.1:0"}, tmp_path)
    assert with_status - imported == {"control"}


async def test_a_front_listens_only_for_the_parts_that_are_configured() -> None:
    async with running_front(serve, operator={"metrics": {"listen": "127.0.0.1:0"}}) as w, client(w) as c:
        await c.ask()
        assert (await c.reply()).kind == "served"
        assert w.listening.metrics and w.listening.dns and not w.listening.operators
    async with running_front(serve, control="127.0.0.1:0") as w:
        assert w.listening.operators and not w.listening.metrics


async def test_subscribers_to_reloads_are_in_the_order_in_which_parts_are_built() -> None:
    config = parse_config(configuration([], 4222))
    reload = Reload(config)
    front = Front(config, parse_operator({}, config.names), reload, None)
    front.clients.listener.close()
    async with anyio.create_task_group() as tasks:
        front._start_watch(tasks)
        front._subscribe_to_reloads()
        tasks.cancel_scope.cancel()
    names = [getattr(s, "func", s).__qualname__ for s in reload.subscribers]
    expected = [
        "apply_settings",
        "ClientServer.apply_config",
        "CachePool.apply_config",
        "apply_bounds",
        "follow_coordinator",
    ]
    assert names == expected and reload.counts is front.core.counts and reload.limits is None


def test_a_front_imports_no_library_that_only_commands_use() -> None:
    code = "import sys, zincladder.__main__; print(*sys.modules)"
    loaded = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    ).stdout.split()
    assert not {"click", "rich", "msgspec", "zincladder.cli", "zincladder.control"} & set(loaded)


async def test_a_front_accepts_clients_over_ipv6() -> None:
    async with running_front(serve, listen="[::1]:0", operator={"admission": {}}) as w, client(w) as c:
        assert w.listening.clients[0] == "::1"
        await c.ask()
        assert (await c.reply()).kind == "served"
