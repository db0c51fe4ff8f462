"""The state that a group replicates: values by key, changed only from a version that the writer has seen.

No I/O. A value's version is the index of the entry that wrote it, so it rises with each write of any value
and is never given twice, not even after the value was removed: a version serves as a fencing token.
"""

from __future__ import annotations

import msgspec

MAX_KEYS = 4096
MAX_KEY_BYTES = 200
MAX_VALUE_BYTES = 256 << 10
MAX_TOTAL_BYTES = 7 << 20  # a snapshot has to fit a record and a replica's memory


class VersionedValue(msgspec.Struct, frozen=True, array_like=True):
    """A value, and the version that a compare-and-swap of it has to name."""

    version: int
    data: bytes


class VersionGuard(msgspec.Struct, frozen=True, array_like=True):
    """Another key, and the version that it must have when the entry is applied: a fence in the log."""

    key: str
    version: int


class CompareAndSwap(msgspec.Struct, frozen=True, array_like=True, tag="swap"):
    """Sets a value if it has the expected version, 0 where there is none. None as data removes it."""

    key: str
    expected: int
    data: bytes | None
    guard: VersionGuard | None = None


class Swapped(msgspec.Struct, frozen=True, array_like=True, tag="swapped"):
    """It was done; the version that the value has now."""

    version: int


class VersionMismatch(msgspec.Struct, frozen=True, array_like=True, tag="missed"):
    """Nothing was done: the value has another version, which is given."""

    version: int


class CapacityExceeded(msgspec.Struct, frozen=True, array_like=True, tag="full"):
    """Nothing was done: a bound would be exceeded, or the entry cannot be read; the text says which."""

    reason: str


class FencingTokenRejected(msgspec.Struct, frozen=True, array_like=True, tag="fenced"):
    """Nothing was done: the guard has another version, which is given."""

    version: int


CompareAndSwapResult = Swapped | VersionMismatch | CapacityExceeded | FencingTokenRejected


class KeyValueState:
    """The same at each replica that has applied the same entries."""

    def __init__(self, state: bytes = b"") -> None:
        self._values: dict[str, VersionedValue] = {}
        if state:
            self._values = msgspec.msgpack.decode(state, type=dict[str, VersionedValue])
        self.size = sum(map(self._weight, self._values))

    def __len__(self) -> int:
        return len(self._values)

    def get(self, key: str) -> VersionedValue | None:
        """The value of a key; None where there is none."""
        return self._values.get(key)

    def with_prefix(self, prefix: str) -> dict[str, VersionedValue]:
        """All values whose keys begin so, in order of their keys."""
        return {key: value for key, value in sorted(self._values.items()) if key.startswith(prefix)}

    def apply(self, index: int, data: bytes) -> CompareAndSwapResult:
        """One entry. Whatever it holds, each replica comes to the same result."""
        try:
            swap: CompareAndSwap = msgspec.msgpack.decode(data, type=CompareAndSwap)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return CapacityExceeded(f"no swap: {error}")
        if swap.guard is not None and self._version(swap.guard.key) != swap.guard.version:
            return FencingTokenRejected(self._version(swap.guard.key))
        if swap.expected != self._version(swap.key):
            return VersionMismatch(self._version(swap.key))
        if swap.data is None:
            return self._remove(index, swap.key)
        return self._set(index, swap.key, swap.data)

    def _version(self, key: str) -> int:
        value = self._values.get(key)
        return value.version if value else 0

    def _weight(self, key: str) -> int:
        """Bytes that a key and its value count; 0 where there is none."""
        value = self._values.get(key)
        return len(key) + len(value.data) if value else 0

    def _remove(self, index: int, key: str) -> CompareAndSwapResult:
        self.size -= self._weight(key)
        self._values.pop(key, None)
        return Swapped(index)

    def _set(self, index: int, key: str, data: bytes) -> CompareAndSwapResult:
        """Guards snapshots, which have to fit a record, and a replica's memory."""
        if len(key) > MAX_KEY_BYTES or len(data) > MAX_VALUE_BYTES:
            return CapacityExceeded(f"a key has {MAX_KEY_BYTES} bytes and a value {MAX_VALUE_BYTES} at most")
        if key not in self._values and len(self._values) >= MAX_KEYS:
            return CapacityExceeded(f"{MAX_KEYS} registers at most")
        size = self.size - self._weight(key) + len(key) + len(data)
        if size > MAX_TOTAL_BYTES:
            return CapacityExceeded(f"{MAX_TOTAL_BYTES} bytes at most in all registers")
        self._values[key], self.size = VersionedValue(index, data), size
        return Swapped(index)

    def dump(self) -> bytes:
        """The state for a snapshot, the same bytes at each replica."""
        return msgspec.msgpack.encode(dict(sorted(self._values.items())))
