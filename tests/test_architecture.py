"""The shape of the package: imports run downwards, no circles, small modules, and the field's terms."""

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
# From top to bottom. A package may import those below its own layer, and no other package of its layer.
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
LONG_FUNCTIONS = frozenset(("read_settings",))  # reads one key a line, without a branch
# Words of former names that have a usual term in the field; docs/glossary.md maps them.
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
# Where the wire, files and commands of running installations keep their spelling: mapped once, there.
EDGES = frozenset(
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
    """Whether a statement is an `if TYPE_CHECKING:`, whose imports do not run."""
    return isinstance(node, ast.If) and "TYPE_CHECKING" in ast.unparse(node.test)


def imports_of(node: ast.AST) -> Iterator[str]:
    """The modules of the package that run as a module is imported or a function of it is called."""
    for child in ast.iter_child_nodes(node):
        if is_type_checking(child):
            continue
        if isinstance(child, ast.Import):
            yield from (alias.name for alias in child.names if alias.name in NAMES)
        elif isinstance(child, ast.ImportFrom) and (child.module or "") in NAMES:
            for alias in child.names:
                inner = f"{child.module}.{alias.name}"
                yield inner if inner in NAMES else str(child.module)
        else:
            yield from imports_of(child)


def imported_by(path: Path) -> set[str]:
    return set(imports_of(ast.parse(path.read_text())))


def package_of(name: str) -> str:
    """The package of a module's dotted name; a module at the root stands for itself."""
    return name.split(".")[1] if "." in name else ""


def test_every_package_has_a_layer() -> None:
    assert {package_of(name) for name in NAMES} - {""} == set(LAYER_OF)


@pytest.mark.parametrize("path", MODULES, ids=name_of)
def test_imports_run_downwards(path: Path) -> None:
    package = package_of(name_of(path))
    if not package:
        return  # the package's own surface names the Router
    others = {package_of(name) for name in imported_by(path)} - {package, ""}
    assert not [other for other in others if LAYER_OF[other] >= LAYER_OF[package]]


def test_no_module_imports_itself_in_a_circle() -> None:
    graph = {name_of(path): imported_by(path) - {name_of(path)} for path in MODULES}
    assert len(list(TopologicalSorter(graph).static_order())) == len(MODULES)


@pytest.mark.parametrize("path", MODULES, ids=name_of)
def test_modules_and_functions_are_small(path: Path) -> None:
    source = path.read_text()
    assert len(source.splitlines()) <= MAX_MODULE_LINES
    long = [
        node.name
        for node in ast.walk(ast.parse(source))
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)
        and (node.end_lineno or 0) - node.lineno >= MAX_FUNCTION_LINES
        and node.name not in LONG_FUNCTIONS
    ]
    assert not long


def words_of(path: Path) -> Iterator[tuple[str, int]]:
    """The words of names, comments and doc comments, with their lines; other strings hold outside words."""
    for token in tokenize.generate_tokens(io.StringIO(path.read_text()).readline):
        of_names = token.type == tokenize.NAME
        if of_names or token.type == tokenize.COMMENT or token.string.startswith('"""'):
            text = re.sub(r"`[^`]*`|\[[^]]*\]", "", token.string)  # without spellings of files and keys
            for word in re.findall(r"[a-z]+|[A-Z][a-z]*", text):
                yield word.lower(), token.start[0]


@pytest.mark.parametrize("path", MODULES, ids=name_of)
def test_names_and_comments_use_the_terms_of_the_field(path: Path) -> None:
    if str(path.relative_to(PACKAGE)) in EDGES:
        return
    assert not [(word, line) for word, line in words_of(path) if word in FORMER_WORDS]
