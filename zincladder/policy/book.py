"""The policy as a group's registers hold it: reading them, and the swaps that change it. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from zincladder.consensus.key_value_state import MAX_VALUE_BYTES, CompareAndSwap, VersionedValue
from zincladder.consensus.lease_timing import LEASE_TIMING_KEY
from zincladder.policy.model import (
    DOCUMENTS,
    MOST_KEPT,
    RECORD,
    ROSTER,
    Record,
    document_id,
)

encode = msgspec.msgpack.encode


class Unfit(Exception):
    """What cannot be a policy; the text says why."""


@dataclass(frozen=True, slots=True)
class Book:
    """All that the registers say of the policy, as of one moment."""

    record: Record
    at: int  # the version of its register
    roster: frozenset[str]
    documents: dict[str, VersionedValue]

    @property
    def contents(self) -> dict[str, bytes]:
        return {name: value.data for name, value in self.documents.items()}


def read(values: Mapping[str, VersionedValue]) -> Book:
    """From all registers."""
    found = values.get(RECORD)
    record = msgspec.msgpack.decode(found.data, type=Record) if found else Record()
    roster = frozenset(key.removeprefix(ROSTER) for key in values if key.startswith(ROSTER))
    documents = {k.removeprefix(DOCUMENTS): v for k, v in values.items() if k.startswith(DOCUMENTS)}
    return Book(record, found.version if found else 0, roster, documents)


def fault(swap: CompareAndSwap) -> str:
    """Why a caller's swap can't be taken, or nothing: what can't be read here would stop every keeper."""
    if swap.key == LEASE_TIMING_KEY:
        return f"{LEASE_TIMING_KEY!r} is the keepers' own"
    if swap.key == RECORD:
        try:
            msgspec.msgpack.decode(swap.data or b"", type=Record)
        except (msgspec.DecodeError, UnicodeDecodeError) as why:
            return f"no record of a policy: {why}"
    name = swap.key.removeprefix(DOCUMENTS)
    if name != swap.key and swap.data is not None and name != document_id(swap.data):
        return "a document is named by its content"
    return ""


def record_swap(expected: int, record: Record) -> CompareAndSwap:
    return CompareAndSwap(RECORD, expected, encode(record))


def document_swap(data: bytes) -> CompareAndSwap:
    """Where it is there already, it is the same one: a Missed is as good."""
    if len(data) > MAX_VALUE_BYTES:
        raise Unfit(f"a policy of {len(data)} bytes, {MAX_VALUE_BYTES} at most")
    return CompareAndSwap(DOCUMENTS + document_id(data), 0, data)


def expected_swap(front: str) -> CompareAndSwap:
    return CompareAndSwap(ROSTER + front, 0, b"")


def unneeded(book: Book) -> list[CompareAndSwap]:
    """Documents that nothing names, or only the oldest history: they go when a change has come to its end."""
    record = book.record
    if record.open is not None:
        return []
    named, size = {record.document}, 0
    for past in reversed(record.history):
        if past.document in book.documents and past.document not in named:
            size += len(book.documents[past.document].data)
        if size > MOST_KEPT:
            break
        named.add(past.document)
    return [
        CompareAndSwap(DOCUMENTS + n, v.version, None) for n, v in book.documents.items() if n not in named
    ]
