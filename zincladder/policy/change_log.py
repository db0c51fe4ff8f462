"""The policy as a group's registers hold it: reading them, and the swaps that change it. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from zincladder.agreement.registers import MOST_VALUE, Swap, Value
from zincladder.agreement.terms import TERMS
from zincladder.policy.model import (
    DOCUMENT_PREFIX,
    EXPECTED_FRONT_PREFIX,
    MAX_RETAINED_DOCUMENT_BYTES,
    POLICY_KEY,
    PolicyRecord,
    document_id,
)

encode = msgspec.msgpack.encode


class InvalidPolicyError(Exception):
    """What cannot be a policy; the text says why."""


@dataclass(frozen=True, slots=True)
class ChangeLog:
    """All that the registers say of the policy, as of one moment."""

    record: PolicyRecord
    at: int  # the version of its register
    roster: frozenset[str]
    documents: dict[str, Value]

    @property
    def contents(self) -> dict[str, bytes]:
        return {name: value.data for name, value in self.documents.items()}


def read(values: Mapping[str, Value]) -> ChangeLog:
    """From all registers."""
    found = values.get(POLICY_KEY)
    record = msgspec.msgpack.decode(found.data, type=PolicyRecord) if found else PolicyRecord()
    roster = frozenset(
        key.removeprefix(EXPECTED_FRONT_PREFIX) for key in values if key.startswith(EXPECTED_FRONT_PREFIX)
    )
    documents = {
        k.removeprefix(DOCUMENT_PREFIX): v for k, v in values.items() if k.startswith(DOCUMENT_PREFIX)
    }
    return ChangeLog(record, found.version if found else 0, roster, documents)


def fault(swap: Swap) -> str:
    """Why a caller's swap can't be taken, or nothing: what can't be read here would stop every keeper."""
    if swap.key == TERMS:
        return f"{TERMS!r} is the keepers' own"
    if swap.key == POLICY_KEY:
        try:
            msgspec.msgpack.decode(swap.data or b"", type=PolicyRecord)
        except (msgspec.DecodeError, UnicodeDecodeError) as why:
            return f"no record of a policy: {why}"
    name = swap.key.removeprefix(DOCUMENT_PREFIX)
    if name != swap.key and swap.data is not None and name != document_id(swap.data):
        return "a document is named by its content"
    return ""


def write_record(expected: int, record: PolicyRecord) -> Swap:
    return Swap(POLICY_KEY, expected, encode(record))


def write_document(data: bytes) -> Swap:
    """Where it is there already, it is the same one: a Missed is as good."""
    if len(data) > MOST_VALUE:
        raise InvalidPolicyError(f"a policy of {len(data)} bytes, {MOST_VALUE} at most")
    return Swap(DOCUMENT_PREFIX + document_id(data), 0, data)


def write_expected_front(front: str) -> Swap:
    return Swap(EXPECTED_FRONT_PREFIX + front, 0, b"")


def delete_unreferenced(change_log: ChangeLog) -> list[Swap]:
    """Documents that nothing names, or only the oldest history: they go when a change has come to its end."""
    record = change_log.record
    if record.open is not None:
        return []
    named, size = {record.document}, 0
    for past in reversed(record.history):
        if past.document in change_log.documents and past.document not in named:
            size += len(change_log.documents[past.document].data)
        if size > MAX_RETAINED_DOCUMENT_BYTES:
            break
        named.add(past.document)
    return [
        Swap(DOCUMENT_PREFIX + n, v.version, None) for n, v in change_log.documents.items() if n not in named
    ]
