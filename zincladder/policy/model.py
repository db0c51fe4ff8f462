"""Types of a policy and its changes, and of the messages between fronts and the change coordinator.

A policy is one document, identified by a hash of its content. The policies of a group have version numbers
from 1 on; version 0 means that there is no policy. The structs are encoded as arrays, both in messages and in
stored values. Other releases read them, so the order of the fields, the tags and the values of the enums must
not change. Durations are in seconds.
"""

from __future__ import annotations

import enum
import hashlib

import msgspec

from zincladder.leases.model import NotLeaderReply

POLICY_KEY = "policy"  # key of the PolicyRecord
DOCUMENT_PREFIX = "document/"  # followed by a document id: the key of a proposed document
EXPECTED_FRONT_PREFIX = "front/"  # followed by a front's name: the key of an expected front
MAX_LOG_ENTRIES = 100
MAX_REASONS = 20
MAX_ABSENT_NAMES = 100
MAX_RECORD_BYTES = 200 << 10  # a larger record loses the oldest entries of its change log
MAX_RETAINED_DOCUMENT_BYTES = 4 << 20  # above it the documents of the oldest log entries are deleted
MAX_TEXT_LENGTH = 200  # characters of an author, a note or a reason


def document_id(content: bytes) -> str:
    """Returns the id of a document, which is a hash of its content: an id never stands for two contents."""
    return hashlib.sha256(content).hexdigest()[:32]


class ChangePhase(enum.StrEnum):
    """The state of the open change.

    CHECKING -> DECIDED -> REVOKING -> activated (the change is closed)
    CHECKING -> withdrawn (the change is closed)
    REVOKING -> DECIDED, when a front does not release its lease in time
    """

    CHECKING = "checking"  # the fronts validate the document; the change may still be withdrawn
    DECIDED = "decided"  # the change will be activated; the old version is still in force
    REVOKING = "clearing"  # the fronts release their leases on the old version; no lease is granted


class ChangeOutcome(enum.StrEnum):
    """The result of a closed change."""

    ACTIVATED = "held"
    WITHDRAWN = "withdrawn"


class PolicyChange(msgspec.Struct, frozen=True, array_like=True):
    """An open change."""

    version: int
    document: str
    author: str
    note: str
    proposed_at: float  # Unix time
    phase: ChangePhase = ChangePhase.CHECKING


class ChangeLogEntry(msgspec.Struct, frozen=True, array_like=True):
    """A closed change; `reasons` says why it was withdrawn and is empty if it was activated."""

    version: int
    document: str
    author: str
    note: str
    proposed_at: float  # Unix time
    outcome: ChangeOutcome
    reasons: tuple[str, ...] = ()
    absent: tuple[str, ...] = ()  # expected fronts that did not validate the document


class PolicyRecord(msgspec.Struct, frozen=True, array_like=True):
    """The value of POLICY_KEY: the policy in force, the open change and the change log."""

    version: int = 0
    document: str = ""
    open_change: PolicyChange | None = None
    absent: tuple[str, ...] = ()  # expected fronts that did not validate the open change's document
    log: tuple[ChangeLogEntry, ...] = ()  # oldest first


# From a front --------------------------------------------------------------------------------------


class RenewPolicyLease(msgspec.Struct, frozen=True, array_like=True, tag="renew"):
    """Requests a lease on the policy in force."""

    serial: int
    applied_document: str = ""  # id of the document that this front has applied


class DocumentValidated(msgspec.Struct, frozen=True, array_like=True, tag="checked"):
    """Tells whether this front can serve under a document."""

    version: int
    document: str
    reasons: tuple[str, ...] = ()  # why it can't; empty if it can


class PolicyLeaseReleased(msgspec.Struct, frozen=True, array_like=True, tag="released"):
    """Tells that this process has stopped serving and ignores the leases requested up to `serial`."""

    version: int
    serial: int


class FetchDocument(msgspec.Struct, frozen=True, array_like=True, tag="fetch"):
    """Requests the content of a document."""

    document: str


FromParticipant = RenewPolicyLease | DocumentValidated | PolicyLeaseReleased | FetchDocument

# From the leader -----------------------------------------------------------------------------------


class PolicyLeaseGranted(msgspec.Struct, frozen=True, array_like=True, tag="granted"):
    """Grants the lease that was requested with this serial; it is valid from the time of the request."""

    serial: int
    version: int
    document: str
    valid_seconds: float
    renew_seconds: float  # time between two renewals


class RenewalDeferred(msgspec.Struct, frozen=True, array_like=True, tag="waits"):
    """Confirms the request with this serial, which is answered as soon as a lease can be granted."""

    serial: int


class ValidateDocument(msgspec.Struct, frozen=True, array_like=True, tag="check"):
    """Asks a front whether it can serve under a document."""

    version: int
    document: str
    content: bytes


class RevokePolicyLease(msgspec.Struct, frozen=True, array_like=True, tag="release"):
    """Asks a front to release its lease at once, so that the given version can be activated."""

    version: int


class DocumentContent(msgspec.Struct, frozen=True, array_like=True, tag="delivered"):
    """Delivers the content of a document."""

    document: str
    content: bytes


FromCoordinator = (
    PolicyLeaseGranted
    | RenewalDeferred
    | ValidateDocument
    | RevokePolicyLease
    | DocumentContent
    | NotLeaderReply
)
