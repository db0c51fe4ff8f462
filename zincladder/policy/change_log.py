"""The policy as a group's key-value state holds it: reading them, and the writes that change them. No I/O."""

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
    """All values of the policy, as of one moment."""

    record: PolicyRecord
    record_version: int  # of the record's value
    expected_fronts: frozenset[str]
    documents: dict[str, VersionedValue]

    @property
    def contents(self) -> dict[str, bytes]:
        """The content of each stored document, by its id."""
        return {name: value.data for name, value in self.documents.items()}


def read(values: Mapping[str, VersionedValue]) -> ChangeLog:
    """The policy's part of all values."""
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
    """Why a caller's write can't be accepted; empty if it can.

    Guards the replicas: a record that cannot be decoded would end every one that comes to lead.
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
    """Replaces the record, if its key still has the expected version."""
    return CompareAndSwap(POLICY_KEY, expected_version, encode(record))


def write_document(content: bytes) -> CompareAndSwap:
    """Stores a document. A version mismatch is as good as success: the key then has the same content.

    Raises InvalidPolicyError for one that is too large for a value.
    """
    if len(content) > MAX_VALUE_BYTES:
        raise InvalidPolicyError(f"a policy of {len(content)} bytes, {MAX_VALUE_BYTES} at most")
    return CompareAndSwap(DOCUMENT_PREFIX + document_id(content), 0, content)


def write_expected_front(front: str) -> CompareAndSwap:
    """Expects a front to take part from now on."""
    return CompareAndSwap(EXPECTED_FRONT_PREFIX + front, 0, b"")


def delete_unreferenced(change_log: ChangeLog) -> list[CompareAndSwap]:
    """Removes documents that nothing but the oldest log entries names; none while a change is open."""
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
