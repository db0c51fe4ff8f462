"""Fixtures that hold what the program published or wrote when they were made, and the comparison with them.

A fixture is JSON under tests/data/. With ZINCLADDER_WRITE_FIXTURES=1 in the environment a test writes what
it sees instead, and fails: a change of a fixture is a change for users, and is read before it is committed.
"""

from __future__ import annotations

import dataclasses
import json
import math
import os
from collections.abc import Mapping
from enum import Enum, IntEnum
from pathlib import Path
from typing import Any

DATA = Path(__file__).resolve().parent.parent / "data"
WRITE_VARIABLE = "ZINCLADDER_WRITE_FIXTURES"


def assert_matches(name: str, value: Any) -> None:
    """Compares a value with the fixture `name`, and shows where they differ."""
    path = DATA / name
    text = json.dumps(value, indent=1, ensure_ascii=True) + "\n"
    if os.environ.get(WRITE_VARIABLE):
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)
        raise AssertionError(f"{path} has been written")
    assert text.splitlines() == path.read_text().splitlines()


def positional(value: Any) -> Any:
    """A value as JSON without the names of its fields and members, which may change where nothing else does.

    Dataclasses become lists of their fields, members of an enumeration their place in it or their number,
    and bytes hex digits.
    """
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return [positional(getattr(value, field.name)) for field in dataclasses.fields(value)]
    if isinstance(value, IntEnum):
        return int(value)
    if isinstance(value, Enum):
        return f"member {list(type(value)).index(value)}"
    if isinstance(value, bytes | bytearray | memoryview):
        return bytes(value).hex()
    if isinstance(value, Mapping):
        return {str(key): positional(found) for key, found in value.items()}
    if isinstance(value, list | tuple):
        return [positional(found) for found in value]
    if isinstance(value, float) and not math.isfinite(value):
        return str(value)
    if value is None or isinstance(value, bool | int | float | str):
        return value
    raise TypeError(f"{type(value).__name__} has no place in a fixture")
