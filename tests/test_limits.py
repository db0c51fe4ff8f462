"""The module's own limits: its length, its width, its imports, and where decisions may stand."""

from __future__ import annotations

import ast
import sys
from pathlib import Path

from tests.conftest import Driver, cache, parent
from zincladder.consensus import server
from zincladder.ownership import model as duties
from zincladder.ownership import sums
from zincladder.policy import conductor

PACKAGE = Path(__file__).resolve().parent.parent / "zincladder"


def test_the_module_stays_within_its_lines_and_columns() -> None:
    lines = (PACKAGE / "decide.py").read_text().splitlines()
    assert sum(bool(line.strip()) for line in lines) <= 500
    assert max(map(len, lines)) <= 110


def imported(name: str) -> set[str]:
    found: set[str] = set()
    for node in ast.walk(ast.parse((PACKAGE / name).read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0
            module = node.module or ""
            found |= {f"{module}.{a.name}" for a in node.names} if module == "zincladder" else {module}
    return found


DECISIONS = ("decide.py", "capacity.py", "overload.py", "purges.py", "throttle.py")


def test_the_module_and_its_limits_import_the_standard_library_and_the_interface_only() -> None:
    inputs = {"time", "os", "io", "socket", "sys", "datetime", "threading", "asyncio", "pathlib", "random"}
    interface = {"zincladder.interface"}
    limits = {f"zincladder.{name}" for name in ("capacity", "overload", "purges", "throttle")}
    for name, theirs in (
        ("decide.py", interface | limits),
        ("capacity.py", set()),
        ("overload.py", interface),
        ("purges.py", set()),
        ("throttle.py", interface),
    ):
        ours = {n for n in imported(name) if n.split(".")[0] not in sys.stdlib_module_names}
        assert ours == theirs
        assert not (inputs - ({"random"} if name == "decide.py" else set())) & imported(name)


def test_the_interface_holds_no_logic() -> None:
    tree = ast.parse((PACKAGE / "interface.py").read_text())
    logic = (ast.FunctionDef, ast.AsyncFunctionDef, ast.Lambda, ast.If, ast.For, ast.While)
    assert not [n for n in ast.walk(tree) if isinstance(n, logic)]


def test_the_adapter_does_not_reach_into_a_router() -> None:
    for name in ("drill.py", "wire.py"):
        tree = ast.parse((PACKAGE / name).read_text())
        calls = {n.attr for n in ast.walk(tree) if isinstance(n, ast.Attribute)}
        assert not calls & {"seen", "jobs", "caches", "parents", "purges"}


def test_the_decisions_and_the_adapter_need_the_standard_library_only() -> None:
    for name in (*DECISIONS, "interface.py", "wire.py", "drill.py", "config/__init__.py"):
        roots = {n.split(".")[0] for n in imported(name)}
        assert roots <= set(sys.stdlib_module_names) | {"zincladder"}


def test_the_core_knows_no_wire_and_no_front() -> None:
    for path in (PACKAGE / "core").glob("*.py"):
        ours = {n for n in imported(f"core/{path.name}") if n.startswith("zincladder")}
        assert ours <= {
            "zincladder.interface",
            "zincladder.decide",
            "zincladder.purges",
            "zincladder.core.arrival",
            "zincladder.core.attempt",
            "zincladder.core.classes",
            "zincladder.core.ends",
            "zincladder.core.figures",
            "zincladder.discovery.freshness",
            "zincladder.support.rate_limited_log",
        }
        assert not {"socket", "struct", "h11", "dns"} & imported(f"core/{path.name}")
    for file in (
        "purges.py",
        "discovery/freshness.py",
        "support/rate_limited_log.py",
    ):  # what it may use knows none either
        assert not {n for n in imported(file) if n.startswith(("zincladder", "socket", "anyio"))}


def test_no_cap_on_fronts_or_servers_is_under_1024() -> None:
    caps = (server.MAX_LINKS, sums.MOST_PROCESSES, conductor.MOST_FRONTS, duties.MOST_WORKERS)
    assert min(caps) >= 1024 and server.MAX_LINKS >= 2 * conductor.MOST_FRONTS


def test_the_sums_take_what_1500_fronts_tell() -> None:
    added = sums.Sums()
    for _ in range(2):  # the first word of a process is where its counting begins
        for n in range(1500):
            added.told(f"front{n}", "1", {"served": float(len(added.totals))})
    assert len(added._last) == 1500


def test_a_router_knows_600_servers_of_230_fronts() -> None:
    caches = [cache(n, zone=n % 32, id=b"cache%03d" % n) for n in range(560)]
    d = Driver([*caches, *(parent(n, id=b"paren%02d" % n) for n in range(40))], routers=230)
    assert len(d.router.seen) == 600 and len(d.router.parents.ids) == 40
    assert {d.serve(n, key=n).member for n in range(400)} == {m.id for m in caches if m.zone == 1}
