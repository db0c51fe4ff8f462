"""Every fault of a configuration at once, for operators; the daemon stops at the first.

A faulty value is replaced, or taken out, and the file is read again, so that the next fault shows too.
"""

from __future__ import annotations

import copy
import re
from typing import Any

from zincladder.config.errors import ConfigError
from zincladder.config.model import Names
from zincladder.config.operator import parse_operator, unknown_table
from zincladder.config.operator_tables import TABLES
from zincladder.config.platform import parse_config

MAX_FAULTS = 50
MAX_FAULTS_OF_A_TABLE = 20
# The text of a fault: the key, and what it must be.
FAULT = re.compile(r"'([^']+)' (?:is missing: it )?must be (.*?)(?:, not .*)?$", re.DOTALL)
STEP = re.compile(r"[^.\[\]]+")  # of a path
PLAUSIBLE_VALUES: tuple[tuple[str, Any], ...] = (  # by how the text on what a key must be begins
    ("a number", 1),
    ("a list", []),
    ("an object", {}),
    ("true or false", False),
    ("an address", "127.0.0.1:0"),
    ("hex digits", "0"),
    ("a text", "x"),
)


def config_faults(data: Any) -> tuple[list[str], Names | None]:
    """The faults of a front's configuration, each with its key.

    Beside them the names that an operator's file may use, where the file has them.
    """
    data = copy.deepcopy(data)
    faults: list[str] = []
    for _ in range(MAX_FAULTS):
        try:
            return faults, parse_config(data).names
        except ConfigError as error:
            faults.append(str(error))
            fault = FAULT.match(str(error))
            if not fault or not _replace(data, fault[1], _plausible_value(fault[2])):
                break
    return faults, None


def _plausible_value(expected: str) -> Any:
    for start, value in PLAUSIBLE_VALUES:
        if expected.startswith(start):
            return copy.copy(value)
    return expected.split(" or ")[0]


def _replace(data: Any, path: str, value: Any) -> bool:
    """Put a value at a path; False where there is no place for it."""
    parent, steps = data, STEP.findall(path)
    for step in steps[:-1]:
        try:
            parent = parent[int(step)] if isinstance(parent, list) else parent.setdefault(step, {})
        except (IndexError, ValueError, AttributeError):
            return False
    if not isinstance(parent, dict):
        return False
    parent[steps[-1]] = value
    return True


def operator_faults(data: dict[str, Any], names: Names | None) -> list[str]:
    """The faults of an operator's file: each table is looked at whatever the others hold."""
    faults = [unknown_table(name) for name in data if name not in TABLES]
    for name in TABLES:
        if name in data:
            faults += _table_faults({name: data[name]}, names)
    return faults


def _table_faults(data: dict[str, Any], names: Names | None) -> list[str]:
    faults: list[str] = []
    for _ in range(MAX_FAULTS_OF_A_TABLE):
        try:
            parse_operator(data, names)
            break
        except ConfigError as error:
            faults.append(str(error))
            key = str(error).split("'")[1]
            if not _remove(data, key):
                break
    return faults


def _remove(data: dict[str, Any], path: str) -> bool:
    """Take the value at a path out; False where there is none."""
    parent: Any = data
    steps = STEP.findall(path)
    for step in steps[:-1]:
        try:
            parent = parent[int(step)] if isinstance(parent, list) else parent[step]
        except (KeyError, IndexError, ValueError, TypeError):
            return False
    if not isinstance(parent, dict) or steps[-1] not in parent:
        return False
    del parent[steps[-1]]
    return True
