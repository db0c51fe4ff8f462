"""A front's part in the fleet's policy: under which version it may serve now. No I/O.

Its host hands in messages of the leader, the results of the front's own checks, and the time, and carries out
the actions. Before each decision it asks `serving_version`: a process that slept past the end of its lease
learns so there, before any message reaches it.
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

MAX_CACHED_DOCUMENTS = 4  # beside the one that is applied
MIN_RETRY_AFTER_SECONDS = 0.05


@dataclass(slots=True)
class ParticipantActions:
    """What the host is to do: send these messages, then validate and apply these documents."""

    messages: list[FromParticipant] = field(default_factory=list)
    validate: list[ValidateDocument] = field(default_factory=list)
    apply: list[tuple[str, bytes]] = field(default_factory=list)  # a document's id and content


class ChangeParticipant:
    """One process of a front. Times are of a clock that runs on while the process or the machine sleeps."""

    def __init__(self, now: float, serves_when_cut_off: bool = False) -> None:
        self._serves_when_cut_off = serves_when_cut_off
        self.renewals = RenewalSchedule(now)
        self.version = 0  # of the latest lease
        self.lease_expires_at = -float("inf")
        self.applied_document = ""  # that the front's parts serve under
        self.failed_documents: dict[str, str] = {}  # in force and impossible to apply here, with the reason
        self.linked = False
        self.released = False  # on the leader's request, and not granted another lease since
        self._leased_document = ""
        self._void_serial = 0  # leases requested up to this serial are ignored
        self._documents: dict[str, bytes] = {}
        self._fetching = ""
        self._actions = ParticipantActions()

    # Before each decision -------------------------------------------------------------------------

    def serving_version(self, now: float) -> int:
        """The version to decide under at this moment; 0 for none: then requests are rejected."""
        if not self.version or self.applied_document != self._leased_document:
            return 0
        if now < self.lease_expires_at:
            return self.version
        # Cut off. By the operator's choice it goes on serving, unless it has released its lease.
        return self.version if self._serves_when_cut_off and not self.released else 0

    def retry_after_seconds(self, now: float) -> float:
        """When a client that is rejected now may come back."""
        if not self.linked:
            return self.renewals.interval_seconds
        return max(MIN_RETRY_AFTER_SECONDS, min(self.renewals.interval_seconds, self.renewals.next_at - now))

    def lease_seconds_left(self, now: float) -> float:
        """How long this process may still rely on its lease."""
        return max(0.0, self.lease_expires_at - now) if self.version else 0.0

    @property
    def renewal_interval_seconds(self) -> float:
        """Between two renewals."""
        return self.renewals.interval_seconds

    # Events ---------------------------------------------------------------------------------------

    @property
    def next_at(self) -> float:
        """When `tick` is due."""
        return self.renewals.next_at if self.linked else float("inf")

    def link_changed(self, up: bool, now: float) -> None:
        """The link to the leader is up, or is down with all messages under way on it."""
        self.linked, self.renewals.next_at, self._fetching = up, now, ""
        self._actions = ParticipantActions(apply=self._actions.apply)

    def tick(self, now: float) -> None:
        """Renews the lease when that is due."""
        if self.linked and now >= self.renewals.next_at:
            self._renew(now)

    def _renew(self, now: float) -> None:
        serial = self.renewals.request(now, self.renewals.interval_seconds)
        self._fetching = ""  # fetched again where it has not come
        self._send(RenewPolicyLease(serial, self.applied_document))

    def _send(self, message: FromParticipant) -> None:
        self._actions.messages.append(message)

    def message_received(self, message: FromCoordinator, now: float) -> None:
        """Takes a message of the leader."""
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
                pass  # the host connects to the leader, or knows by it that the leader is alive

    def _granted(self, granted: PolicyLeaseGranted, now: float) -> None:
        requested_at = self.renewals.answered(granted.serial)
        if requested_at is None or granted.serial <= self._void_serial:
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
        # Guards the one version in force: a grant that is still under way is ignored from now on.
        self.lease_expires_at, self.released = -float("inf"), True
        self._void_serial = self.renewals.serial
        self._send(PolicyLeaseReleased(version, self._void_serial))

    def _document_arrived(self, document: str, content: bytes) -> None:
        self._cache(document, content)
        if document == self._fetching:
            self._fetching = ""
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
        elif self._fetching != self._leased_document:
            self._fetching = self._leased_document
            self._send(FetchDocument(self._leased_document))

    # Results of the host --------------------------------------------------------------------------

    def validated(self, request: ValidateDocument, reasons: tuple[str, ...]) -> None:
        """The front's own checks of a document have ended, with the reasons against it."""
        self._send(DocumentValidated(request.version, request.document, reasons))

    def applied(self, document: str, failure: str = "") -> None:
        """The front's parts serve under a document, or can't: then it serves under no version that has it."""
        if failure:
            self.failed_documents = {document: failure}
        else:
            self.applied_document, self.failed_documents = document, {}

    def leave(self) -> None:
        """An orderly end: releases the lease at once, so that no change has to wait for it."""
        self._release(self.version)
        self.version = 0

    def take_actions(self) -> ParticipantActions:
        """What is to be done since the last time."""
        actions, self._actions = self._actions, ParticipantActions()
        return actions
