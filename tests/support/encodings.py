"""Fixtures of bytes: what a form of a message or record was when its fixture was written, and has to stay."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

DATA = Path(__file__).parent.parent / "data"


def fixtures(name: str) -> dict[str, bytes]:
    """The lines `NAME HEX` of a file under tests/data."""
    lines = (DATA / name).read_text().splitlines()
    return {key: bytes.fromhex(data) for key, data in (line.split() for line in lines)}


def assert_same_bytes(data: bytes, value: Any, kind: Any) -> None:
    """The bytes decode to the value, and both it and what was decoded encode to the same bytes."""
    decoded = msgspec.msgpack.decode(data, type=kind)
    assert decoded == value and type(decoded) is type(value)
    assert msgspec.msgpack.encode(value) == data
    assert msgspec.msgpack.encode(decoded) == data
