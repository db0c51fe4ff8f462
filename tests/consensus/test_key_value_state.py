"""Tests of the replicated key-value state: versions, compare-and-swap and size limits."""

from __future__ import annotations

import msgspec
import pytest

from zincladder.consensus.key_value_state import (
    CapacityExceeded,
    CompareAndSwap,
    KeyValueState,
    Swapped,
    VersionMismatch,
)

encode = msgspec.msgpack.encode


def test_a_value_changes_only_from_the_expected_version_and_no_version_is_reused() -> None:
    state = KeyValueState()
    assert state.apply(5, encode(CompareAndSwap("a", 0, b"1"))) == Swapped(5)
    assert state.apply(6, encode(CompareAndSwap("a", 0, b"2"))) == VersionMismatch(5)
    assert state.apply(7, encode(CompareAndSwap("a", 5, None))) == Swapped(7)
    assert state.apply(8, encode(CompareAndSwap("a", 0, b"3"))) == Swapped(8)
    restored = KeyValueState(state.dump())
    assert restored.with_prefix("") == state.with_prefix("") and restored.size == state.size == 2
    assert isinstance(state.apply(9, b"\xff\xff"), CapacityExceeded)


def test_keys_and_values_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("zincladder.consensus.key_value_state.MAX_KEYS", 3)
    monkeypatch.setattr("zincladder.consensus.key_value_state.MAX_TOTAL_BYTES", 30)
    state = KeyValueState()
    for n in range(3):
        assert state.apply(n + 1, encode(CompareAndSwap(f"k{n}", 0, b"12345"))) == Swapped(n + 1)
    assert isinstance(state.apply(4, encode(CompareAndSwap("k3", 0, b""))), CapacityExceeded)
    assert isinstance(state.apply(5, encode(CompareAndSwap("k0", 1, bytes(20)))), CapacityExceeded)
    assert state.get("k0") is not None and state.size == 21
    assert isinstance(state.apply(6, encode(CompareAndSwap("x" * 300, 0, b""))), CapacityExceeded)
