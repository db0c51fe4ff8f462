"""The replicated state: a key-value store that is changed only by compare-and-swap. No I/O.

The version of a value is the index of the log entry that wrote it. Versions therefore rise with each write to
any key and are never reused, not even after a value is removed, so a version can serve as a fencing token.
"""

from __future__ import annotations

import msgspec

MAX_KEYS = 4096
MAX_KEY_BYTES = 200
MAX_VALUE_BYTES = 256 << 10
MAX_TOTAL_BYTES = 7 << 20  # keys and values; a snapshot of them has to fit a record and a replica's memory


class VersionedValue(msgspec.Struct, frozen=True, array_like=True):
    """A value and its version. A compare-and-swap changes the value only if it expects this version."""

    version: int
    data: bytes


class VersionGuard(msgspec.Struct, frozen=True, array_like=True):
    """A fencing token check: a swap is applied only if the value of this key has this version."""

    key: str
    version: int


class CompareAndSwap(msgspec.Struct, frozen=True, array_like=True, tag="swap"):
    """Sets the value of a key if its version is `expected`; 0 means that the key must not exist yet.

    None as `data` removes the key.
    """

    key: str
    expected: int
    data: bytes | None
    guard: VersionGuard | None = None


class Swapped(msgspec.Struct, frozen=True, array_like=True, tag="swapped"):
    """The swap was applied; `version` is the value's new version."""

    version: int


class VersionMismatch(msgspec.Struct, frozen=True, array_like=True, tag="missed"):
    """Nothing was done: the value's version is not the expected one but `version`."""

    version: int


class CapacityExceeded(msgspec.Struct, frozen=True, array_like=True, tag="full"):
    """Nothing was done: a limit would be exceeded or the entry cannot be decoded. `reason` says which."""

    reason: str


class FencingTokenRejected(msgspec.Struct, frozen=True, array_like=True, tag="fenced"):
    """Nothing was done: the version of the guard's key is not the required one but `version`."""

    version: int


CompareAndSwapResult = Swapped | VersionMismatch | CapacityExceeded | FencingTokenRejected


class KeyValueState:
    """Values by key. Replicas that have applied the same entries hold the same state."""

    def __init__(self, state: bytes = b"") -> None:
        self._values: dict[str, VersionedValue] = {}
        if state:
            self._values = msgspec.msgpack.decode(state, type=dict[str, VersionedValue])
        self.size = sum(map(self._size_of, self._values))

    def __len__(self) -> int:
        return len(self._values)

    def get(self, key: str) -> VersionedValue | None:
        """The value of a key; None if the key does not exist."""
        return self._values.get(key)

    def with_prefix(self, prefix: str) -> dict[str, VersionedValue]:
        """All values whose keys begin with `prefix`, in order of their keys."""
        return {key: value for key, value in sorted(self._values.items()) if key.startswith(prefix)}

    def apply(self, index: int, data: bytes) -> CompareAndSwapResult:
        """Applies the data of the entry at `index`. All replicas get the same result, even an error."""
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

    def _size_of(self, key: str) -> int:
        """The size of a key and its value; 0 if the key does not exist."""
        value = self._values.get(key)
        return len(key) + len(value.data) if value else 0

    def _remove(self, index: int, key: str) -> CompareAndSwapResult:
        self.size -= self._size_of(key)
        self._values.pop(key, None)
        return Swapped(index)

    def _set(self, index: int, key: str, data: bytes) -> CompareAndSwapResult:
        """Sets a value unless that exceeds a limit.

        The limits keep a snapshot small enough for a record and for memory.
        """
        if len(key) > MAX_KEY_BYTES or len(data) > MAX_VALUE_BYTES:
            return CapacityExceeded(f"a key has {MAX_KEY_BYTES} bytes and a value {MAX_VALUE_BYTES} at most")
        if key not in self._values and len(self._values) >= MAX_KEYS:
            return CapacityExceeded(f"{MAX_KEYS} registers at most")
        size = self.size - self._size_of(key) + len(key) + len(data)
        if size > MAX_TOTAL_BYTES:
            return CapacityExceeded(f"{MAX_TOTAL_BYTES} bytes at most in all registers")
        self._values[key], self.size = VersionedValue(index, data), size
        return Swapped(index)

    def dump(self) -> bytes:
        """Encodes the state for a snapshot. Replicas with the same state produce the same bytes."""
        return msgspec.msgpack.encode(dict(sorted(self._values.items())))
