"""Reads the policy's values from a group's key-value state, and makes the writes that change them. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from zincladder.consensus.key_value_state import MAX_VALUE_BYTES, CompareAndSwap, VersionedValue
from zincladder.consensus.lease_timing import LEASE_TIMING_KEY
from zincladder.policy.errors import InvalidPolicyError
from zincladder.policy.model import (
    DOCUMENT_PREFIX,
    EXPECTED_FRONT_PREFIX,
    MAX_RETAINED_DOCUMENT_BYTES,
    POLICY_KEY,
    PolicyRecord,
    document_id,
)

encode = msgspec.msgpack.encode


@dataclass(frozen=True, slots=True)
class ChangeLog:
    """The stored values of the policy, as of one entry of the replicated log."""

    record: PolicyRecord
    record_version: int  # version of the value of POLICY_KEY; 0 if there is none
    expected_fronts: frozenset[str]
    documents: dict[str, VersionedValue]

    @property
    def contents(self) -> dict[str, bytes]:
        """The content of each stored document, by document id."""
        return {name: value.data for name, value in self.documents.items()}


def read(values: Mapping[str, VersionedValue]) -> ChangeLog:
    """Picks the policy's values out of all values of the state and decodes them."""
    stored = values.get(POLICY_KEY)
    record = msgspec.msgpack.decode(stored.data, type=PolicyRecord) if stored else PolicyRecord()
    expected = frozenset(
        key.removeprefix(EXPECTED_FRONT_PREFIX) for key in values if key.startswith(EXPECTED_FRONT_PREFIX)
    )
    documents = {
        key.removeprefix(DOCUMENT_PREFIX): value
        for key, value in values.items()
        if key.startswith(DOCUMENT_PREFIX)
    }
    return ChangeLog(record, stored.version if stored else 0, expected, documents)


def rejection_reason(swap: CompareAndSwap) -> str:
    """Returns why a client's write is rejected; empty if it is accepted.

    A record that can't be decoded must not be stored: it would crash each replica that becomes the leader.
    """
    if swap.key == LEASE_TIMING_KEY:
        return f"{LEASE_TIMING_KEY!r} is the keepers' own"
    if swap.key == POLICY_KEY:
        try:
            msgspec.msgpack.decode(swap.data or b"", type=PolicyRecord)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return f"no record of a policy: {error}"
    name = swap.key.removeprefix(DOCUMENT_PREFIX)
    if name != swap.key and swap.data is not None and name != document_id(swap.data):
        return "a document is named by its content"
    return ""


def write_record(expected_version: int, record: PolicyRecord) -> CompareAndSwap:
    """Returns the write that replaces the record if its value still has the expected version."""
    return CompareAndSwap(POLICY_KEY, expected_version, encode(record))


def write_document(content: bytes) -> CompareAndSwap:
    """Returns the write that stores a document.

    If that write fails with a version mismatch, the key holds the same content already, so the caller may
    continue. Raises InvalidPolicyError if the document is too large for a value.
    """
    if len(content) > MAX_VALUE_BYTES:
        raise InvalidPolicyError(f"the policy has {len(content)} bytes; the limit is {MAX_VALUE_BYTES}")
    return CompareAndSwap(DOCUMENT_PREFIX + document_id(content), 0, content)


def write_expected_front(front: str) -> CompareAndSwap:
    """Returns the write that marks a front as expected, so that it counts even while it is not connected."""
    return CompareAndSwap(EXPECTED_FRONT_PREFIX + front, 0, b"")


def delete_unreferenced(change_log: ChangeLog) -> list[CompareAndSwap]:
    """Returns the writes that delete the documents which the record no longer needs.

    It needs the document in force, and those of the latest log entries up to MAX_RETAINED_DOCUMENT_BYTES in
    total. While a change is open, nothing is deleted.
    """
    record = change_log.record
    if record.open_change is not None:
        return []
    retained, size = {record.document}, 0
    for entry in reversed(record.log):
        if entry.document in change_log.documents and entry.document not in retained:
            size += len(change_log.documents[entry.document].data)
        if size > MAX_RETAINED_DOCUMENT_BYTES:
            break
        retained.add(entry.document)
    return [
        CompareAndSwap(DOCUMENT_PREFIX + name, value.version, None)
        for name, value in change_log.documents.items()
        if name not in retained
    ]
