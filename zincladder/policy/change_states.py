"""The states of a change, as transitions from one policy record to the next. Pure functions.

`ChangePhase` shows the states and the ways between them. What a transition waits for is up to the
coordinator.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from zincladder.policy.errors import ChangeRejectedError
from zincladder.policy.model import (
    MAX_LOG_ENTRIES,
    MAX_REASONS,
    MAX_RECORD_BYTES,
    MAX_TEXT_LENGTH,
    ChangeLogEntry,
    ChangeOutcome,
    ChangePhase,
    PolicyChange,
    PolicyRecord,
)


def propose_change(
    record: PolicyRecord, base_version: int, document: str, author: str, note: str, now: float
) -> PolicyRecord:
    """The record with a change under way that was made from `base_version`; `now` is Unix time.

    Raises ChangeRejectedError if another change is under way or came first: the second of two operators is
    notified of what it missed instead of overwriting it. A version that was withdrawn is never given again.
    """
    change = record.open_change
    if change is not None:
        raise ChangeRejectedError(
            f"version {change.version} by {change.author} is under way ({change.phase})"
        )
    if base_version != record.version:
        raise ChangeRejectedError(
            f"version {record.version} is in force, not {base_version}: look at what it changed"
        )
    latest_tried = max((entry.version for entry in record.log), default=0)
    version = max(record.version, latest_tried) + 1
    proposed = PolicyChange(version, document, author[:MAX_TEXT_LENGTH], note[:MAX_TEXT_LENGTH], now)
    return msgspec.structs.replace(record, open_change=proposed)


def decide(record: PolicyRecord, change: PolicyChange, absent: tuple[str, ...]) -> PolicyRecord:
    """CHECKING -> DECIDED; `absent` are the expected fronts that did not agree."""
    return msgspec.structs.replace(_in_phase(record, change, ChangePhase.DECIDED), absent=absent)


def begin_revoking(record: PolicyRecord, change: PolicyChange) -> PolicyRecord:
    """DECIDED -> REVOKING."""
    return _in_phase(record, change, ChangePhase.REVOKING)


def retreat(record: PolicyRecord, change: PolicyChange) -> PolicyRecord:
    """REVOKING -> DECIDED: the old version is granted again for now."""
    return _in_phase(record, change, ChangePhase.DECIDED)


def activate(record: PolicyRecord, change: PolicyChange) -> PolicyRecord:
    """REVOKING -> activated: the change's version is in force, and no change is open."""
    closed = _closed(record, change, ChangeOutcome.ACTIVATED, (), record.absent)
    return msgspec.structs.replace(closed, version=change.version, document=change.document)


def withdraw(
    record: PolicyRecord, change: PolicyChange, reasons: Iterable[str], absent: tuple[str, ...] = ()
) -> PolicyRecord:
    """CHECKING -> withdrawn, for the given reasons."""
    shortened = tuple(reason[:MAX_TEXT_LENGTH] for reason in list(reasons)[:MAX_REASONS])
    return _closed(record, change, ChangeOutcome.WITHDRAWN, shortened, absent)


def _in_phase(record: PolicyRecord, change: PolicyChange, phase: ChangePhase) -> PolicyRecord:
    return msgspec.structs.replace(record, open_change=msgspec.structs.replace(change, phase=phase))


def _closed(
    record: PolicyRecord,
    change: PolicyChange,
    outcome: ChangeOutcome,
    reasons: tuple[str, ...],
    absent: tuple[str, ...],
) -> PolicyRecord:
    """The record without an open change, which the change log then ends with."""
    entry = ChangeLogEntry(
        change.version,
        change.document,
        change.author,
        change.note,
        change.proposed_at,
        outcome,
        reasons,
        absent,
    )
    log = (*record.log, entry)[-MAX_LOG_ENTRIES:]
    closed = msgspec.structs.replace(record, open_change=None, absent=(), log=log)
    # Guards the end of the change: a record that is too large to be stored would leave it open for ever.
    while len(msgspec.msgpack.encode(closed)) > MAX_RECORD_BYTES and len(closed.log) > 1:
        closed = msgspec.structs.replace(closed, log=closed.log[1:])
    return closed
