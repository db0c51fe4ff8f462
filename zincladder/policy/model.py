"""Types of a policy, of its changes, and of the messages between fronts and the change coordinator.

A policy is one document, identified by its content. Versions count the policies of a group from 1; 0 means
none. The structs are arrays on the wire and in the stored values: the order of their fields, their tags and
the values of the enums are exchanged with other versions, so they stay as they are. Spans in seconds.
"""

from __future__ import annotations

import enum
import hashlib

import msgspec

from zincladder.leases.model import NotLeaderReply

POLICY_KEY = "policy"  # the key of the PolicyRecord
DOCUMENT_PREFIX = "document/"  # keys of the proposed documents, by document id
EXPECTED_FRONT_PREFIX = "front/"  # keys of the fronts that are expected to take part, by name
MAX_LOG_ENTRIES = 100
MAX_REASONS = 20
MAX_ABSENT_NAMES = 100
MAX_RECORD_BYTES = 200 << 10  # beyond it the oldest entries of the change log are dropped
MAX_RETAINED_DOCUMENT_BYTES = 4 << 20  # beyond it the documents of the oldest log entries are removed
MAX_TEXT_LENGTH = 200  # characters of an author, a note or a reason


def document_id(content: bytes) -> str:
    """The identity of a document: a digest, so that no content can be exchanged under the same id."""
    return hashlib.sha256(content).hexdigest()[:32]


class ChangePhase(enum.StrEnum):
    """The state of the open change.

    CHECKING -> DECIDED -> REVOKING -> activated (no change is open any more)
    CHECKING -> withdrawn
    REVOKING -> DECIDED, when a front does not release its lease in time
    """

    CHECKING = "checking"  # the fronts are asked whether they could serve under it; it may be withdrawn
    DECIDED = "decided"  # it will be activated; the old version is still in force
    REVOKING = "clearing"  # the fronts release their leases on the old version, and nobody gets a new one


class ChangeOutcome(enum.StrEnum):
    """How a change ended."""

    ACTIVATED = "held"
    WITHDRAWN = "withdrawn"


class PolicyChange(msgspec.Struct, frozen=True, array_like=True):
    """The change that is under way."""

    version: int
    document: str
    author: str
    note: str
    proposed_at: float  # Unix time
    phase: ChangePhase = ChangePhase.CHECKING


class ChangeLogEntry(msgspec.Struct, frozen=True, array_like=True):
    """A change that has ended, with the reasons for which it was withdrawn, if it was."""

    version: int
    document: str
    author: str
    note: str
    proposed_at: float  # Unix time
    outcome: ChangeOutcome
    reasons: tuple[str, ...] = ()
    absent: tuple[str, ...] = ()  # expected fronts that could not be asked


class PolicyRecord(msgspec.Struct, frozen=True, array_like=True):
    """The value of the policy's key: the policy in force, the open change, and the change log."""

    version: int = 0
    document: str = ""
    open_change: PolicyChange | None = None
    absent: tuple[str, ...] = ()  # expected fronts that could not be asked about the open change
    log: tuple[ChangeLogEntry, ...] = ()  # oldest first


# From a front --------------------------------------------------------------------------------------


class RenewPolicyLease(msgspec.Struct, frozen=True, array_like=True, tag="renew"):
    """Requests a lease on the policy in force."""

    serial: int
    applied_document: str = ""  # the policy that this front is ready to serve under


class DocumentValidated(msgspec.Struct, frozen=True, array_like=True, tag="checked"):
    """Whether this front could serve under a document: without reasons against it, it could."""

    version: int
    document: str
    reasons: tuple[str, ...] = ()


class PolicyLeaseReleased(msgspec.Struct, frozen=True, array_like=True, tag="released"):
    """This process serves under no version any more, and ignores leases requested up to `serial`."""

    version: int
    serial: int


class FetchDocument(msgspec.Struct, frozen=True, array_like=True, tag="fetch"):
    """Requests the content of a document."""

    document: str


FromParticipant = RenewPolicyLease | DocumentValidated | PolicyLeaseReleased | FetchDocument

# From the leader -----------------------------------------------------------------------------------


class PolicyLeaseGranted(msgspec.Struct, frozen=True, array_like=True, tag="granted"):
    """The lease requested with this serial, valid from the moment at which it was requested."""

    serial: int
    version: int
    document: str
    valid_seconds: float
    renew_seconds: float  # between two renewals


class RenewalDeferred(msgspec.Struct, frozen=True, array_like=True, tag="waits"):
    """The request with this serial has arrived; it is answered once a lease can be granted."""

    serial: int


class ValidateDocument(msgspec.Struct, frozen=True, array_like=True, tag="check"):
    """Asks a front whether it could serve under a document."""

    version: int
    document: str
    content: bytes


class RevokePolicyLease(msgspec.Struct, frozen=True, array_like=True, tag="release"):
    """Asks a front to release its lease at once, as the given version is to be activated."""

    version: int


class DocumentContent(msgspec.Struct, frozen=True, array_like=True, tag="delivered"):
    """The content of a document."""

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
