"""The imports that the routing modules and the simulator adapter may have."""

from __future__ import annotations

import ast
import subprocess
import sys

from tests.support.imports import PACKAGE, imported

# The modules of `routing` in order of dependency, each with the modules of `routing` that it imports.
ALLOWED_IMPORTS = {
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


def test_each_routing_module_imports_only_the_listed_modules_and_the_standard_library() -> None:
    io_modules = {
        "time",
        "os",
        "io",
        "socket",
        "sys",
        "datetime",
        "threading",
        "asyncio",
        "pathlib",
        "random",
    }
    present = {path.stem for path in (PACKAGE / "routing").glob("*.py")}
    assert present == {*ALLOWED_IMPORTS, "__init__", "interface"}
    below = {"interface"}
    for name, allowed in ALLOWED_IMPORTS.items():
        modules = imported(f"routing/{name}.py")
        own = {module for module in modules if module.split(".")[0] not in sys.stdlib_module_names}
        assert own == {f"zincladder.routing.{module}" for module in allowed.split()}
        assert set(allowed.split()) <= below  # no module imports a later one
        below.add(name)
        assert not (io_modules - ({"random"} if name == "state" else set())) & modules


def test_the_interface_holds_no_logic() -> None:
    tree = ast.parse((PACKAGE / "routing/interface.py").read_text())
    logic = (ast.FunctionDef, ast.AsyncFunctionDef, ast.Lambda, ast.If, ast.For, ast.While)
    assert not [n for n in ast.walk(tree) if isinstance(n, logic)]


def test_the_adapter_does_not_access_the_state_of_a_router() -> None:
    for name in ("simulator/adapter.py", "simulator/wire.py"):
        tree = ast.parse((PACKAGE / name).read_text())
        attributes = {n.attr for n in ast.walk(tree) if isinstance(n, ast.Attribute)}
        assert not attributes & {
            "state",
            "endpoints",
            "pending",
            "attempts",
            "timers",
            "caches",
            "parents",
            "purges",
        }


def test_routing_and_the_adapter_import_only_the_standard_library_and_this_package() -> None:
    for name in (
        *(f"routing/{module}.py" for module in (*ALLOWED_IMPORTS, "interface")),
        "simulator/wire.py",
        "simulator/adapter.py",
        "config/__init__.py",
    ):
        roots = {n.split(".")[0] for n in imported(name)}
        assert roots <= set(sys.stdlib_module_names) | {"zincladder"}


def test_the_adapter_loads_only_the_standard_library_and_this_package() -> None:
    # -S disables site packages, so that an import of anything else fails.
    script = "import sys, zincladder.simulator.adapter; print(*sys.modules)"
    loaded = subprocess.run(
        [sys.executable, "-S", "-c", script], cwd=PACKAGE.parent, capture_output=True, check=True, text=True
    )
    roots = {name.split(".")[0] for name in loaded.stdout.split()}
    assert roots <= set(sys.stdlib_module_names) | {"__main__", "zincladder"}
