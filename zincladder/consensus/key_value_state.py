"""The state that a group keeps: named values, each changed only from a version that its writer has seen.

No I/O. This is all that policies, owners and their work need of a group: compare and swap, and reading. A
value's version is the index of the entry that wrote it, so it rises with each write of any value and is never
given twice, not even after the value was removed: a version serves as a fencing token.
"""

from __future__ import annotations

import msgspec

MAX_KEYS = 4096
MAX_KEY_BYTES = 200  # bytes
MAX_VALUE_BYTES = 256 << 10  # bytes
MAX_TOTAL_BYTES = 7 << 20  # bytes: a snapshot has to fit a record and a member's memory


class VersionedValue(msgspec.Struct, frozen=True, array_like=True):
    """What a register holds, and the version that a swap of it has to name."""

    version: int
    data: bytes


class VersionGuard(msgspec.Struct, frozen=True, array_like=True):
    """Another register, and the version that it has to have when the entry is applied: a fence in the log."""

    key: str
    version: int


class CompareAndSwap(msgspec.Struct, frozen=True, array_like=True, tag="swap"):
    """Sets a register if it has this version; 0 where there is none. None as data removes it."""

    key: str
    expected: int
    data: bytes | None
    guard: VersionGuard | None = None


class Swapped(msgspec.Struct, frozen=True, array_like=True, tag="swapped"):
    """It was done; the version that the register has now."""

    version: int


class VersionMismatch(msgspec.Struct, frozen=True, array_like=True, tag="missed"):
    """Another write came before; the version that stands."""

    version: int


class CapacityExceeded(msgspec.Struct, frozen=True, array_like=True, tag="full"):
    """There is no room: the text says of what."""

    why: str


class FencingTokenRejected(msgspec.Struct, frozen=True, array_like=True, tag="fenced"):
    """Nothing was done: the guard has another version, which is told."""

    version: int


CompareAndSwapResult = Swapped | VersionMismatch | CapacityExceeded | FencingTokenRejected


class KeyValueState:
    """The same at each member that has applied the same entries."""

    def __init__(self, state: bytes = b"") -> None:
        self._values: dict[str, VersionedValue] = {}
        if state:
            self._values = msgspec.msgpack.decode(state, type=dict[str, VersionedValue])
        self.size = sum(len(k) + len(v.data) for k, v in self._values.items())

    def __len__(self) -> int:
        return len(self._values)

    def get(self, key: str) -> VersionedValue | None:
        return self._values.get(key)

    def with_prefix(self, prefix: str) -> dict[str, VersionedValue]:
        """All registers whose keys begin so, in order of their keys."""
        return {k: v for k, v in sorted(self._values.items()) if k.startswith(prefix)}

    def apply(self, index: int, data: bytes) -> CompareAndSwapResult:
        """One entry. Whatever it holds, each member comes to the same result."""
        try:
            swap: CompareAndSwap = msgspec.msgpack.decode(data, type=CompareAndSwap)
        except (msgspec.DecodeError, UnicodeDecodeError) as fault:
            return CapacityExceeded(f"no swap: {fault}")
        if swap.guard is not None:
            guarding = self._values.get(swap.guard.key)
            if (guarding.version if guarding else 0) != swap.guard.version:
                return FencingTokenRejected(guarding.version if guarding else 0)
        old = self._values.get(swap.key)
        standing = old.version if old else 0
        if swap.expected != standing:
            return VersionMismatch(standing)
        weight = len(swap.key) + len(old.data) if old else 0
        if swap.data is None:
            self._values.pop(swap.key, None)
            self.size -= weight
            return Swapped(index)
        if len(swap.key) > MAX_KEY_BYTES or len(swap.data) > MAX_VALUE_BYTES:
            return CapacityExceeded(f"a key has {MAX_KEY_BYTES} bytes and a value {MAX_VALUE_BYTES} at most")
        if old is None and len(self._values) >= MAX_KEYS:
            return CapacityExceeded(f"{MAX_KEYS} registers at most")
        grown = self.size - weight + len(swap.key) + len(swap.data)
        if grown > MAX_TOTAL_BYTES:
            return CapacityExceeded(f"{MAX_TOTAL_BYTES} bytes at most in all registers")
        self._values[swap.key], self.size = VersionedValue(index, swap.data), grown
        return Swapped(index)

    def dump(self) -> bytes:
        """The state for a snapshot, the same bytes at each member."""
        return msgspec.msgpack.encode(dict(sorted(self._values.items())))
