"""What a policy is, how far a change of it has come, and what fronts and keepers say to each other about it.

Shapes only. A policy is one document, named by its content. `version` counts the policies of a group from 1;
0 is none. Times in seconds.
"""

from __future__ import annotations

import enum
import hashlib

import msgspec

POLICY_KEY = "policy"  # the register that says what is in force
DOCUMENT_PREFIX = "document/"  # and those that hold what was ever proposed, by content
EXPECTED_FRONT_PREFIX = "front/"  # and those of the fronts that are expected to take part
MAX_LOG_ENTRIES = 100  # changes that the record tells of; documents that none of them names are removed
MAX_REASONS = 20
MAX_ABSENT_NAMES = 100  # of fronts that could not be asked
MAX_RECORD_BYTES = 200 << 10  # bytes of the record; the oldest history goes
MAX_RETAINED_DOCUMENT_BYTES = 4 << 20  # bytes of documents; those of the oldest history go
MAX_TEXT_LENGTH = 200  # letters of an author, a note or a reason


def document_id(data: bytes) -> str:
    """The name of a document: nobody can change what it stands for."""
    return hashlib.sha256(data).hexdigest()[:32]


class ChangePhase(enum.StrEnum):
    """How far the open change has come."""

    VALIDATING = "checking"  # the fronts are asked; it may still come to nothing
    COMMITTED = "decided"  # it will take hold; the old version is still in force
    REVOKING = "clearing"  # the fronts let go of the old version, and nobody gets a new lease on it


class ChangeOutcome(enum.StrEnum):
    """What became of a change."""

    ACTIVATED = "held"
    WITHDRAWN = "withdrawn"


class PolicyChange(msgspec.Struct, frozen=True, array_like=True):
    """A change that is under way."""

    version: int
    document: str
    author: str
    note: str
    at: float  # Unix time
    phase: ChangePhase = ChangePhase.VALIDATING


class ChangeLogEntry(msgspec.Struct, frozen=True, array_like=True):
    """A change that has come to its end, with what stood in its way if anything did."""

    version: int
    document: str
    author: str
    note: str
    at: float
    outcome: ChangeOutcome
    reasons: tuple[str, ...] = ()
    absent: tuple[str, ...] = ()  # fronts that could not be asked


class PolicyRecord(msgspec.Struct, frozen=True, array_like=True):
    """The register's value."""

    version: int = 0
    document: str = ""
    open: PolicyChange | None = None
    absent: tuple[str, ...] = ()  # fronts that could not be asked about the open change
    history: tuple[ChangeLogEntry, ...] = ()  # oldest first


# From a front --------------------------------------------------------------------------------------


class RenewPolicyLease(msgspec.Struct, frozen=True, array_like=True, tag="renew"):
    """Asks for a lease. `document` is the policy that this front is ready to serve under."""

    serial: int
    document: str = ""


class DocumentValidated(msgspec.Struct, frozen=True, array_like=True, tag="checked"):
    """Whether this front could serve under a document: no reason against it is a yes."""

    version: int
    document: str
    reasons: tuple[str, ...] = ()


class PolicyLeaseReleased(msgspec.Struct, frozen=True, array_like=True, tag="released"):
    """This process serves under no version any more, and takes no lease that it asked for up to `serial`."""

    version: int
    serial: int


class FetchDocument(msgspec.Struct, frozen=True, array_like=True, tag="fetch"):
    """Asks for a document."""

    document: str


FromParticipant = RenewPolicyLease | DocumentValidated | PolicyLeaseReleased | FetchDocument

# From a keeper -------------------------------------------------------------------------------------


class PolicyLeaseGranted(msgspec.Struct, frozen=True, array_like=True, tag="granted"):
    """The lease that was asked for with this serial: for so long from the moment at which it was."""

    serial: int
    version: int
    document: str
    believed: float
    renew: float


class RenewalDeferred(msgspec.Struct, frozen=True, array_like=True, tag="waits"):
    """The asking with this serial was heard; its lease comes when there is a version to give it on."""

    serial: int


class ValidateDocument(msgspec.Struct, frozen=True, array_like=True, tag="check"):
    """Asks whether a front could serve under a document."""

    version: int
    document: str
    data: bytes


class RevokePolicyLease(msgspec.Struct, frozen=True, array_like=True, tag="release"):
    """Asks a front to let go of a version now: another one waits for it."""

    version: int


class DocumentContent(msgspec.Struct, frozen=True, array_like=True, tag="delivered"):
    """A document."""

    document: str
    data: bytes


class Elsewhere(msgspec.Struct, frozen=True, array_like=True, tag="elsewhere"):
    """This keeper does not lead."""

    leader: str


FromCoordinator = (
    PolicyLeaseGranted | RenewalDeferred | ValidateDocument | RevokePolicyLease | DocumentContent | Elsewhere
)
