"""What the modules of the decisions may import, and where decisions may stand."""

from __future__ import annotations

import ast
import subprocess
import sys

from tests.support.imports import PACKAGE, imported

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
    "copy_age": "requests state",
    "health_checks": "interface state",
    "outlier_ejection": "endpoints interface requests retry state",
    "utilization": "endpoints state",
    "outcomes": "endpoints fill_throttle health_checks interface outlier_ejection requests retry state",
    "slow_start": "budgets endpoints state utilization",
    "selection": (
        "endpoints interface load_shedding outlier_ejection requests ring slow_start state utilization"
    ),
    "router": (
        "copy_age endpoints health_checks interface load_shedding outcomes outlier_ejection requests retry"
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


def test_all_that_the_adapter_loads_is_of_the_standard_library_or_of_this_package() -> None:
    # Without site packages, so that an import of anything else fails.
    script = "import sys, zincladder.simulator.adapter; print(*sys.modules)"
    loaded = subprocess.run(
        [sys.executable, "-S", "-c", script], cwd=PACKAGE.parent, capture_output=True, check=True, text=True
    )
    roots = {name.split(".")[0] for name in loaded.stdout.split()}
    assert roots <= set(sys.stdlib_module_names) | {"__main__", "zincladder"}
