"""The admission package does no I/O and reads no clock."""

from __future__ import annotations

import ast
from pathlib import Path

PACKAGE = Path(__file__).resolve().parents[2] / "zincladder/admission"


def test_the_package_does_no_io_and_reads_no_clock() -> None:
    for path in PACKAGE.glob("*.py"):
        names = {
            a.name
            for n in ast.walk(ast.parse(path.read_text()))
            if isinstance(n, ast.Import)
            for a in n.names
        }
        names |= {
            n.module or "" for n in ast.walk(ast.parse(path.read_text())) if isinstance(n, ast.ImportFrom)
        }
        other_packages = {
            n for n in names if n.startswith("zincladder") and not n.startswith("zincladder.admission")
        }
        assert not other_packages and not names & {
            "time",
            "os",
            "asyncio",
            "anyio",
            "structlog",
            "random",
            "datetime",
        }, path
