"""The transitions of a change, each from one policy record to the next. Pure functions.

`ChangePhase` lists the states and the transitions between them. The coordinator decides when each happens.
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
    """Returns the record with a new open change that is based on `base_version`; `now` is Unix time.

    Raises ChangeRejectedError if another change is open, or if `base_version` is no longer in force, so that
    an operator does not overwrite a change without having seen it. The version number of a withdrawn change
    is never used again.
    """
    change = record.open_change
    if change is not None:
        raise ChangeRejectedError(
            f"version {change.version} by {change.author} is under way ({change.phase})"
        )
    if base_version != record.version:
        raise ChangeRejectedError(
            f"version {record.version} is in force, not {base_version}; review it and propose again"
        )
    highest_logged_version = max((entry.version for entry in record.log), default=0)
    version = max(record.version, highest_logged_version) + 1
    proposed = PolicyChange(version, document, author[:MAX_TEXT_LENGTH], note[:MAX_TEXT_LENGTH], now)
    return msgspec.structs.replace(record, open_change=proposed)


def decide(record: PolicyRecord, change: PolicyChange, absent: tuple[str, ...]) -> PolicyRecord:
    """CHECKING -> DECIDED. `absent` names the expected fronts that did not validate the document."""
    return msgspec.structs.replace(_with_phase(record, change, ChangePhase.DECIDED), absent=absent)


def begin_revoking(record: PolicyRecord, change: PolicyChange) -> PolicyRecord:
    """DECIDED -> REVOKING."""
    return _with_phase(record, change, ChangePhase.REVOKING)


def retreat(record: PolicyRecord, change: PolicyChange) -> PolicyRecord:
    """REVOKING -> DECIDED. Leases on the old version are granted again until the next attempt."""
    return _with_phase(record, change, ChangePhase.DECIDED)


def activate(record: PolicyRecord, change: PolicyChange) -> PolicyRecord:
    """REVOKING -> activated. The version of the change is in force, and no change is open."""
    closed = _close_change(record, change, ChangeOutcome.ACTIVATED, (), record.absent)
    return msgspec.structs.replace(closed, version=change.version, document=change.document)


def withdraw(
    record: PolicyRecord, change: PolicyChange, reasons: Iterable[str], absent: tuple[str, ...] = ()
) -> PolicyRecord:
    """CHECKING -> withdrawn, with the given reasons. The version in force stays."""
    shortened = tuple(reason[:MAX_TEXT_LENGTH] for reason in list(reasons)[:MAX_REASONS])
    return _close_change(record, change, ChangeOutcome.WITHDRAWN, shortened, absent)


def _with_phase(record: PolicyRecord, change: PolicyChange, phase: ChangePhase) -> PolicyRecord:
    return msgspec.structs.replace(record, open_change=msgspec.structs.replace(change, phase=phase))


def _close_change(
    record: PolicyRecord,
    change: PolicyChange,
    outcome: ChangeOutcome,
    reasons: tuple[str, ...],
    absent: tuple[str, ...],
) -> PolicyRecord:
    """Returns the record without an open change and with the closed one at the end of its change log."""
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
    # A record that is too large to be stored would leave the change open for ever.
    while len(msgspec.msgpack.encode(closed)) > MAX_RECORD_BYTES and len(closed.log) > 1:
        closed = msgspec.structs.replace(closed, log=closed.log[1:])
    return closed
