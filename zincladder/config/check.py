"""Every fault of a front's configuration, for operators; the daemon stops at the first."""

from __future__ import annotations

import copy
import re
from typing import Any

from zincladder.config import ConfigError, Names, parse_config

MOST_FAULTS = 50
SAID = re.compile(r"'([^']+)' (?:is missing: it )?must be (.*?)(?:, not .*)?$", re.DOTALL)


def faults_of_config(data: Any) -> tuple[list[str], Names | None]:
    """The faults, each with its key, and the names that an operator's file may use where there are none.

    A faulty value is replaced by one of the kind that was asked for, and the reading begins again, so that
    the next fault shows too.
    """
    data = copy.deepcopy(data)
    found: list[str] = []
    for _ in range(MOST_FAULTS):
        try:
            return found, parse_config(data).names
        except ConfigError as fault:
            found.append(str(fault))
            said = SAID.match(str(fault))
            if not said or not _put(data, said[1], _plausible(said[2])):
                break
    return found, None


def _plausible(what: str) -> Any:
    for start, value in (
        ("a number", 1),
        ("a list", []),
        ("an object", {}),
        ("true or false", False),
        ("an address", "127.0.0.1:0"),
        ("hex digits", "0"),
        ("a text", "x"),
    ):
        if what.startswith(start):
            return copy.copy(value)
    return what.split(" or ")[0]


def _put(data: Any, path: str, value: Any) -> bool:
    at, steps = data, re.findall(r"[^.\[\]]+", path)
    for step in steps[:-1]:
        try:
            at = at[int(step)] if isinstance(at, list) else at.setdefault(step, {})
        except (IndexError, ValueError, AttributeError):
            return False
    if not isinstance(at, dict):
        return False
    at[steps[-1]] = value
    return True
