"""Finds all errors in configuration files, for the command `check`; the daemon stops at the first one.

After each error, the faulty value is replaced by a valid one (in a front's configuration) or removed (from an
operator's file). Then the data is parsed again, up to the next error.
"""

from __future__ import annotations

import copy
import re
from typing import Any

from zincladder.config.errors import ConfigError
from zincladder.config.model import Names
from zincladder.config.operator import parse_operator, unknown_table_text
from zincladder.config.operator_tables import TABLES
from zincladder.config.platform import parse_config

MAX_ERRORS = 50
MAX_ERRORS_PER_TABLE = 20
# The text of a ConfigError: group 1 is the key, group 2 says what the value must be.
ERROR_TEXT_PATTERN = re.compile(r"'([^']+)' (?:is missing: it )?must be (.*?)(?:, not .*)?$", re.DOTALL)
PATH_STEP_PATTERN = re.compile(r"[^.\[\]]+")  # one key or list index of a path
# The first words of an error text that state what is required, each with a value that meets the requirement.
VALID_VALUES: tuple[tuple[str, Any], ...] = (
    ("a number", 1),
    ("a list", []),
    ("an object", {}),
    ("true or false", False),
    ("an address", "127.0.0.1:0"),
    ("hex digits", "0"),
    ("a text", "x"),
)


def config_errors(data: Any) -> tuple[list[str], Names | None]:
    """Returns the errors in a front's configuration, and the names that an operator's file may refer to.

    The names are None if the configuration could not be parsed to the end.
    """
    data = copy.deepcopy(data)
    errors: list[str] = []
    for _ in range(MAX_ERRORS):
        try:
            return errors, parse_config(data).names
        except ConfigError as error:
            errors.append(str(error))
            match = ERROR_TEXT_PATTERN.match(str(error))
            if not match or not _set_value(data, match[1], _valid_value(match[2])):
                break
    return errors, None


def _valid_value(expected: str) -> Any:
    """Returns a value that the text `expected` allows; if it lists the allowed words, the first of them."""
    for prefix, value in VALID_VALUES:
        if expected.startswith(prefix):
            return copy.copy(value)
    return expected.split(" or ")[0]


def _set_value(data: Any, path: str, value: Any) -> bool:
    """Sets the value at a path; returns False if there is no such path, or if it ends at a list item."""
    parent, steps = data, PATH_STEP_PATTERN.findall(path)
    for step in steps[:-1]:
        try:
            parent = parent[int(step)] if isinstance(parent, list) else parent.setdefault(step, {})
        except (IndexError, ValueError, AttributeError):
            return False
    if not isinstance(parent, dict):
        return False
    parent[steps[-1]] = value
    return True


def operator_errors(data: dict[str, Any], names: Names | None) -> list[str]:
    """Returns the errors in an operator's file; each table is checked independently of the others."""
    errors = [unknown_table_text(name) for name in data if name not in TABLES]
    for name in TABLES:
        if name in data:
            errors += _table_errors({name: data[name]}, names)
    return errors


def _table_errors(data: dict[str, Any], names: Names | None) -> list[str]:
    errors: list[str] = []
    for _ in range(MAX_ERRORS_PER_TABLE):
        try:
            parse_operator(data, names)
            break
        except ConfigError as error:
            errors.append(str(error))
            key = str(error).split("'")[1]
            if not _remove_value(data, key):
                break
    return errors


def _remove_value(data: dict[str, Any], path: str) -> bool:
    """Removes the value at a path; returns False if there is none, or if it is a list item."""
    parent: Any = data
    steps = PATH_STEP_PATTERN.findall(path)
    for step in steps[:-1]:
        try:
            parent = parent[int(step)] if isinstance(parent, list) else parent[step]
        except (KeyError, IndexError, ValueError, TypeError):
            return False
    if not isinstance(parent, dict) or steps[-1] not in parent:
        return False
    del parent[steps[-1]]
    return True
