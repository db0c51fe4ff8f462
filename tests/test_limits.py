"""The module's own limits: its length, its width, its imports, and where decisions may stand."""

from __future__ import annotations

import ast
import sys
from pathlib import Path

from tests.conftest import Driver, cache, parent
from zincladder.consensus import server
from zincladder.policy import coordinator
from zincladder.tasks import counter_sums
from zincladder.tasks import model as tasks

PACKAGE = Path(__file__).resolve().parent.parent / "zincladder"


PARENTS = ("zincladder", "zincladder.routing")  # packages from which modules are imported by name


def imported(name: str) -> set[str]:
    found: set[str] = set()
    for node in ast.walk(ast.parse((PACKAGE / name).read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0
            module = node.module or ""
            found |= {f"{module}.{a.name}" for a in node.names} if module in PARENTS else {module}
    return found


# The modules of the decisions, each with those of the package that it imports, from the bottom up.
DECISIONS = {
    "budgets": "interface",
    "capacity": "",
    "fill_throttle": "interface",
    "purges": "",
    "requests": "interface",
    "ring": "interface",
    "endpoints": "budgets interface ring",
    "load_shedding": "requests",
    "retry": "interface requests",
    "state": "budgets capacity endpoints fill_throttle interface purges",
    "freshness": "requests state",
    "health_checks": "interface state",
    "outlier_ejection": "endpoints interface requests retry state",
    "utilization": "endpoints state",
    "outcomes": "endpoints fill_throttle health_checks interface outlier_ejection requests retry state",
    "slow_start": "budgets endpoints state utilization",
    "selection": (
        "endpoints interface load_shedding outlier_ejection requests ring slow_start state utilization"
    ),
    "router": (
        "endpoints freshness health_checks interface load_shedding outcomes outlier_ejection requests retry"
        " ring selection slow_start state"
    ),
}


def test_each_module_of_the_decisions_imports_the_standard_library_and_its_rules_only() -> None:
    inputs = {"time", "os", "io", "socket", "sys", "datetime", "threading", "asyncio", "pathlib", "random"}
    present = {path.stem for path in (PACKAGE / "routing").glob("*.py")}
    assert present == {*DECISIONS, "__init__", "interface"}
    below = {"interface"}
    for name, allowed in DECISIONS.items():
        modules = imported(f"routing/{name}.py")
        ours = {module for module in modules if module.split(".")[0] not in sys.stdlib_module_names}
        assert ours == {f"zincladder.routing.{module}" for module in allowed.split()}
        assert set(allowed.split()) <= below  # imports run downwards
        below.add(name)
        assert not (inputs - ({"random"} if name == "state" else set())) & modules


def test_the_interface_holds_no_logic() -> None:
    tree = ast.parse((PACKAGE / "routing/interface.py").read_text())
    logic = (ast.FunctionDef, ast.AsyncFunctionDef, ast.Lambda, ast.If, ast.For, ast.While)
    assert not [n for n in ast.walk(tree) if isinstance(n, logic)]


def test_the_adapter_does_not_reach_into_a_router() -> None:
    for name in ("simulator/adapter.py", "simulator/wire.py"):
        tree = ast.parse((PACKAGE / name).read_text())
        calls = {n.attr for n in ast.walk(tree) if isinstance(n, ast.Attribute)}
        assert not calls & {
            "state",
            "endpoints",
            "pending",
            "attempts",
            "timers",
            "caches",
            "parents",
            "purges",
        }


def test_the_decisions_and_the_adapter_need_the_standard_library_only() -> None:
    for name in (
        *(f"routing/{module}.py" for module in (*DECISIONS, "interface")),
        "simulator/wire.py",
        "simulator/adapter.py",
        "config/__init__.py",
    ):
        roots = {n.split(".")[0] for n in imported(name)}
        assert roots <= set(sys.stdlib_module_names) | {"zincladder"}


def test_the_core_knows_no_wire_and_no_front() -> None:
    for path in (PACKAGE / "core").glob("*.py"):
        ours = {n for n in imported(f"core/{path.name}") if n.startswith("zincladder")}
        assert ours <= {
            "zincladder.routing.interface",
            "zincladder.routing.router",
            "zincladder.routing.retry",
            "zincladder.routing.purges",
            "zincladder.core.answers",
            "zincladder.core.arrival",
            "zincladder.core.attempt",
            "zincladder.core.attempt_end",
            "zincladder.core.attempt_guard",
            "zincladder.core.clock",
            "zincladder.core.direct_routing",
            "zincladder.core.endpoint_list",
            "zincladder.core.health_checks",
            "zincladder.core.loop_monitor",
            "zincladder.core.request_classes",
            "zincladder.core.request_context",
            "zincladder.core.router_events",
            "zincladder.core.statistics",
            "zincladder.core.timers",
            "zincladder.discovery.freshness",
            "zincladder.support.rate_limited_log",
        }
        assert not {"socket", "struct", "h11", "dns"} & imported(f"core/{path.name}")
    for file in (
        "routing/purges.py",
        "discovery/freshness.py",
        "support/rate_limited_log.py",
    ):  # what it may use knows none either
        assert not {n for n in imported(file) if n.startswith(("zincladder", "socket", "anyio"))}


def test_no_cap_on_fronts_or_servers_is_under_1024() -> None:
    caps = (server.MAX_LINKS, counter_sums.MAX_PROCESSES, coordinator.MAX_FRONTS, tasks.MAX_RUNNERS)
    assert min(caps) >= 1024 and server.MAX_LINKS >= 2 * coordinator.MAX_FRONTS


def test_the_sums_take_what_1500_fronts_tell() -> None:
    added = counter_sums.CounterSums()
    for _ in range(2):  # the first word of a process is where its counting begins
        for n in range(1500):
            added.reported(f"front{n}", "1", {"served": float(len(added.totals))})
    assert len(added._latest) == 1500


def test_a_router_knows_600_servers_of_230_fronts() -> None:
    caches = [cache(n, zone=n % 32, id=b"cache%03d" % n) for n in range(560)]
    d = Driver([*caches, *(parent(n, id=b"paren%02d" % n) for n in range(40))], routers=230)
    assert len(d.endpoints.stats) == 600 and len(d.endpoints.parents.ids) == 40
    assert {d.serve(n, key=n).endpoint for n in range(400)} == {m.id for m in caches if m.zone == 1}
