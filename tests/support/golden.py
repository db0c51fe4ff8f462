"""Compares values with fixtures, JSON files under tests/data/ of what the program published or stored.

With ZINCLADDER_WRITE_FIXTURES=1 in the environment a test writes its value to the fixture and fails. A change
to a fixture is a change for users and has to be reviewed before it is committed.
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
    """Asserts that a value equals the fixture `name`, and shows the lines that differ."""
    path = DATA / name
    text = json.dumps(value, indent=1, ensure_ascii=True) + "\n"
    if os.environ.get(WRITE_VARIABLE):
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)
        raise AssertionError(f"fixture {path} was written, not compared")
    assert text.splitlines() == path.read_text().splitlines()


def positional(value: Any) -> Any:
    """Converts a value to JSON types without the names of fields and enum members, which may be renamed.

    A dataclass becomes the list of its fields, an IntEnum member its number, another enum member its position
    in the enum, and bytes a hex string.
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
    raise TypeError(f"a value of type {type(value).__name__} cannot be written to a fixture")
