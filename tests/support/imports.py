"""Reads which modules a file of the package imports from its source."""

from __future__ import annotations

import ast
from pathlib import Path

PACKAGE = Path(__file__).resolve().parents[2] / "zincladder"
# Packages whose modules are imported with `from PACKAGE import MODULE`.
PARENTS = ("zincladder", "zincladder.routing")


def imported(name: str) -> set[str]:
    """Returns the modules that a file of the package imports, including imports inside functions."""
    found: set[str] = set()
    for node in ast.walk(ast.parse((PACKAGE / name).read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0
            module = node.module or ""
            found |= {f"{module}.{a.name}" for a in node.names} if module in PARENTS else {module}
    return found
