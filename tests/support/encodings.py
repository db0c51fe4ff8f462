"""Checks that messages and records are encoded to the same bytes as when their fixtures were written."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

DATA = Path(__file__).parent.parent / "data"


def fixtures(name: str) -> dict[str, bytes]:
    """Reads a file under tests/data with lines `NAME HEX`, and returns the bytes by name."""
    lines = (DATA / name).read_text().splitlines()
    return {key: bytes.fromhex(data) for key, data in (line.split() for line in lines)}


def assert_same_bytes(data: bytes, value: Any, kind: Any) -> None:
    """Asserts that the bytes decode to the value, and that both values encode to exactly these bytes."""
    decoded = msgspec.msgpack.decode(data, type=kind)
    assert decoded == value and type(decoded) is type(value)
    assert msgspec.msgpack.encode(value) == data
    assert msgspec.msgpack.encode(decoded) == data
