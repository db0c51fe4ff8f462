"""Checks the structure of the package: layers, import cycles, sizes of modules and functions, and terms."""

from __future__ import annotations

import ast
import io
import re
import tokenize
from collections.abc import Iterator
from graphlib import TopologicalSorter
from pathlib import Path

import pytest

PACKAGE = Path(__file__).resolve().parent.parent / "zincladder"
MODULES = sorted(PACKAGE.rglob("*.py"))
# From the top layer to the bottom. A package may import packages of lower layers, but none of its own layer.
LAYERS = (
    ("__main__",),
    ("wiring", "cli"),
    ("export", "dns"),
    ("metrics", "net", "control", "plugin"),
    ("policy", "tasks", "core"),
    ("leases",),
    ("consensus",),
    ("links", "handover", "simulator"),
    ("config",),
    ("routing", "admission", "discovery", "durable", "support"),
)
LAYER_OF = {package: level for level, packages in enumerate(reversed(LAYERS)) for package in packages}
MAX_MODULE_LINES = 400
MAX_FUNCTION_LINES = 50
LONG_FUNCTIONS = frozenset(("read_settings",))  # one line for each key, without branches
# Words of former names. docs/glossary.md gives the usual term that replaces each.
FORMER_WORDS = frozenset(
    (
        "aim",
        "aims",
        "barred",
        "book",
        "clearing",
        "companions",
        "conductor",
        "crawl",
        "crawls",
        "duties",
        "duty",
        "gate",
        "gates",
        "halted",
        "hand",
        "inbox",
        "keeper",
        "keepers",
        "klass",
        "klasses",
        "ledger",
        "lent",
        "lobby",
        "lot",
        "news",
        "send_queue",
        "owner",
        "parked",
        "plain",
        "roster",
        "said",
        "seat",
        "seats",
        "spoilt",
        "steward",
        "strain",
        "strained",
        "stranger",
        "told",
        "unspoilt",
        "wish",
        "withheld",
        "worth",
        "yours",
    )
)
# These modules map the names of the wire, of files and of commands, which keep their former spelling.
BOUNDARY_MODULES = frozenset(
    (
        "cli/__init__.py",
        "cli/replica.py",
        "cli/tasks.py",
        "config/operator.py",
        "config/operator_tables.py",
        "config/replica.py",
        "config/settings.py",
    )
)


def name_of(path: Path) -> str:
    """The dotted name of a module of the package."""
    parts = path.relative_to(PACKAGE.parent).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


NAMES = {name_of(path) for path in MODULES}


def is_type_checking(node: ast.AST) -> bool:
    """Whether a statement is an `if TYPE_CHECKING:`, whose imports are not executed."""
    return isinstance(node, ast.If) and "TYPE_CHECKING" in ast.unparse(node.test)


def imports_of(node: ast.AST) -> Iterator[str]:
    """The modules of the package that are imported when a module is imported or its functions are called."""
    for child in ast.iter_child_nodes(node):
        if is_type_checking(child):
            continue
        if isinstance(child, ast.Import):
            yield from (alias.name for alias in child.names if alias.name in NAMES)
        elif isinstance(child, ast.ImportFrom) and (child.module or "") in NAMES:
            for alias in child.names:
                submodule = f"{child.module}.{alias.name}"
                yield submodule if submodule in NAMES else str(child.module)
        else:
            yield from imports_of(child)


def imported_by(path: Path) -> set[str]:
    return set(imports_of(ast.parse(path.read_text())))


def package_of(name: str) -> str:
    """The package of a module's dotted name; for a module at the root, the module itself."""
    return name.split(".")[1] if "." in name else ""


def test_every_package_has_a_layer() -> None:
    assert {package_of(name) for name in NAMES} - {""} == set(LAYER_OF)


@pytest.mark.parametrize("path", MODULES, ids=name_of)
def test_imports_run_downwards(path: Path) -> None:
    package = package_of(name_of(path))
    if not package:
        return  # zincladder/__init__.py exports the Router
    others = {package_of(name) for name in imported_by(path)} - {package, ""}
    assert not [other for other in others if LAYER_OF[other] >= LAYER_OF[package]]


def test_imports_have_no_cycles() -> None:
    imports_by_module = {name_of(path): imported_by(path) - {name_of(path)} for path in MODULES}
    assert len(list(TopologicalSorter(imports_by_module).static_order())) == len(MODULES)


@pytest.mark.parametrize("path", MODULES, ids=name_of)
def test_modules_and_functions_are_small(path: Path) -> None:
    source = path.read_text()
    assert len(source.splitlines()) <= MAX_MODULE_LINES
    long_functions = [
        node.name
        for node in ast.walk(ast.parse(source))
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)
        and (node.end_lineno or 0) - node.lineno >= MAX_FUNCTION_LINES
        and node.name not in LONG_FUNCTIONS
    ]
    assert not long_functions


def words_of(path: Path) -> Iterator[tuple[str, int]]:
    """The words of names, comments and docstrings with their lines; other strings may hold external names."""
    for token in tokenize.generate_tokens(io.StringIO(path.read_text()).readline):
        is_name = token.type == tokenize.NAME
        if is_name or token.type == tokenize.COMMENT or token.string.startswith('"""'):
            text = re.sub(r"`[^`]*`|\[[^]]*\]", "", token.string)  # drops quoted names of files and keys
            for word in re.findall(r"[a-z]+|[A-Z][a-z]*", text):
                yield word.lower(), token.start[0]


@pytest.mark.parametrize("path", MODULES, ids=name_of)
def test_names_and_comments_use_the_terms_of_the_field(path: Path) -> None:
    if str(path.relative_to(PACKAGE)) in BOUNDARY_MODULES:
        return
    assert not [(word, line) for word, line in words_of(path) if word in FORMER_WORDS]
