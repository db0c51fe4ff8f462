"""A front's part in the fleet's policy: determines under which version it may serve now. No I/O.

The host passes in the leader's messages, the results of the front's validation, and the time, and carries out
the actions. Before each decision it calls `serving_version`, which compares the clock with the expiry of the
lease: so a process that was suspended past the expiry detects it even before any message arrives.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from zincladder.leases.model import NotLeaderReply
from zincladder.leases.renewals import RenewalSchedule
from zincladder.policy.model import (
    DocumentContent,
    DocumentValidated,
    FetchDocument,
    FromCoordinator,
    FromParticipant,
    PolicyLeaseGranted,
    PolicyLeaseReleased,
    RenewalDeferred,
    RenewPolicyLease,
    RevokePolicyLease,
    ValidateDocument,
)

MAX_CACHED_DOCUMENTS = 4  # the oldest are dropped; the one that is applied may be among them
MIN_RETRY_AFTER_SECONDS = 0.05


@dataclass(slots=True)
class ParticipantActions:
    """The actions that the host has to carry out, in the order of the fields."""

    messages: list[FromParticipant] = field(default_factory=list)
    validate: list[ValidateDocument] = field(default_factory=list)
    apply: list[tuple[str, bytes]] = field(default_factory=list)  # a document's id and content


class ChangeParticipant:
    """The state of one process of a front.

    Times come from a clock that keeps running while the process or the machine is suspended.
    """

    def __init__(self, now: float, serves_when_cut_off: bool = False) -> None:
        self._serves_when_cut_off = serves_when_cut_off
        self.renewals = RenewalSchedule(now)
        self.version = 0  # version that the latest lease is for
        self.lease_expires_at = -float("inf")
        self.applied_document = ""  # id of the document that the front has applied
        self.failed_documents: dict[str, str] = {}  # why applying the latest document failed, by id
        self.linked = False
        self.released = False  # whether it has released its lease and got no other one since
        self._leased_document = ""  # id of the document that the latest lease is for
        self._ignored_through_serial = 0  # leases requested up to this serial are ignored
        self._documents: dict[str, bytes] = {}  # cached contents, by document id
        self._requested_document = ""  # id of the document that was requested from the leader
        self._actions = ParticipantActions()

    # Before each decision -------------------------------------------------------------------------

    def serving_version(self, now: float) -> int:
        """Returns the version under which to decide now; 0 if requests have to be rejected."""
        if not self.version or self.applied_document != self._leased_document:
            return 0
        if now < self.lease_expires_at:
            return self.version
        # The lease has expired. With `cut_off = "go_on"` in the operator's file the front keeps serving,
        # unless it has released the lease: then another version may be in force.
        return self.version if self._serves_when_cut_off and not self.released else 0

    def retry_after_seconds(self, now: float) -> float:
        """Returns the seconds after which a client that is rejected now may retry."""
        if not self.linked:
            return self.renewals.interval_seconds
        return max(MIN_RETRY_AFTER_SECONDS, min(self.renewals.interval_seconds, self.renewals.next_at - now))

    def lease_seconds_left(self, now: float) -> float:
        """Returns how many seconds this process may still rely on its lease."""
        return max(0.0, self.lease_expires_at - now) if self.version else 0.0

    @property
    def renewal_interval_seconds(self) -> float:
        """The time between two renewals."""
        return self.renewals.interval_seconds

    # Events ---------------------------------------------------------------------------------------

    @property
    def next_at(self) -> float:
        """The time at which `tick` has to be called."""
        return self.renewals.next_at if self.linked else float("inf")

    def link_changed(self, up: bool, now: float) -> None:
        """Records that the link to the leader was opened, or was lost with all messages in transit."""
        self.linked, self.renewals.next_at, self._requested_document = up, now, ""
        self._actions = ParticipantActions(apply=self._actions.apply)

    def tick(self, now: float) -> None:
        """Requests a renewal of the lease if one is due."""
        if self.linked and now >= self.renewals.next_at:
            self._renew(now)

    def _renew(self, now: float) -> None:
        serial = self.renewals.request(now, self.renewals.interval_seconds)
        self._requested_document = ""  # a document that has not arrived by now is requested again
        self._send(RenewPolicyLease(serial, self.applied_document))

    def _send(self, message: FromParticipant) -> None:
        self._actions.messages.append(message)

    def message_received(self, message: FromCoordinator, now: float) -> None:
        """Handles a message of the leader."""
        match message:
            case PolicyLeaseGranted():
                self._granted(message, now)
            case RevokePolicyLease(version):
                self._revoked(version, now)
            case ValidateDocument():
                self._cache(message.document, message.content)
                self._actions.validate.append(message)
            case DocumentContent(document, content):
                self._document_arrived(document, content)
            case NotLeaderReply() | RenewalDeferred():
                pass  # the host connects to the leader; any message restarts its timeout for silence

    def _granted(self, granted: PolicyLeaseGranted, now: float) -> None:
        requested_at = self.renewals.answered(granted.serial)
        if requested_at is None or granted.serial <= self._ignored_through_serial:
            return
        expires_at = requested_at + granted.valid_seconds
        self.renewals.interval_seconds = granted.renew_seconds
        self.renewals.bring_forward(now + granted.renew_seconds)
        if granted.version < self.version or expires_at <= now:
            return
        self.version, self._leased_document = granted.version, granted.document
        self.lease_expires_at, self.released = max(self.lease_expires_at, expires_at), False
        if self.applied_document != granted.document:
            self._apply_leased_document()

    def _revoked(self, version: int, now: float) -> None:
        self._release(version)
        self.renewals.requested_at.clear()
        self._renew(now)

    def _release(self, version: int) -> None:
        # A grant that is still in transit must not take effect: another version may soon be in force.
        self.lease_expires_at, self.released = -float("inf"), True
        self._ignored_through_serial = self.renewals.serial
        self._send(PolicyLeaseReleased(version, self._ignored_through_serial))

    def _document_arrived(self, document: str, content: bytes) -> None:
        self._cache(document, content)
        if document == self._requested_document:
            self._requested_document = ""
        if document == self._leased_document:
            self._apply_leased_document()

    def _cache(self, document: str, content: bytes) -> None:
        self._documents[document] = content
        while len(self._documents) > MAX_CACHED_DOCUMENTS:
            del self._documents[next(iter(self._documents))]

    def _apply_leased_document(self) -> None:
        if self._leased_document in self.failed_documents:
            return
        content = self._documents.get(self._leased_document)
        if content is not None:
            self._actions.apply.append((self._leased_document, content))
        elif self._requested_document != self._leased_document:
            self._requested_document = self._leased_document
            self._send(FetchDocument(self._leased_document))

    # Results of the host's actions ----------------------------------------------------------------

    def validated(self, request: ValidateDocument, reasons: tuple[str, ...]) -> None:
        """Reports to the leader why this front can't serve under a document; empty `reasons` mean it can."""
        self._send(DocumentValidated(request.version, request.document, reasons))

    def applied(self, document: str, failure: str = "") -> None:
        """Records that the front has applied a document, or why that failed.

        After a failure the front rejects requests as long as its lease is for this document.
        """
        if failure:
            self.failed_documents = {document: failure}
        else:
            self.applied_document, self.failed_documents = document, {}

    def leave(self) -> None:
        """Releases the lease at shutdown, so that no change has to wait until it expires."""
        self._release(self.version)
        self.version = 0

    def take_actions(self) -> ParticipantActions:
        """Returns the actions since the last call, and clears them."""
        actions, self._actions = self._actions, ParticipantActions()
        return actions
