"""A front's part in a policy of the fleet: under which version it may serve now. No I/O.

Its host hands in what the keepers say, what its own checks say, and the time; it takes out what is to be said
and applied. Before each decision it asks `serving`: a process that slept over the end of its lease learns so
there, before anybody has told it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from zincladder.policy.model import (
    DocumentContent,
    DocumentValidated,
    Elsewhere,
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

RENEW = 1.0  # seconds

MAX_PENDING_RENEWALS = 16  # askings whose answers may still come
MAX_CACHED_DOCUMENTS = 4  # held beside the one that is applied


@dataclass(slots=True)
class Wish:
    """What the host is to do: say these, and then check or apply these documents."""

    say: list[FromParticipant] = field(default_factory=list)
    check: list[ValidateDocument] = field(default_factory=list)
    apply: list[tuple[str, bytes]] = field(default_factory=list)  # document, content


class ChangeParticipant:
    """One process of a front. Times are of a clock that goes on while the process or the machine sleeps."""

    def __init__(self, now: float, go_on: bool = False) -> None:
        self._go_on = go_on
        self.renew = RENEW  # until the first lease says how often
        self.version = 0  # that the latest lease is on
        self.until = -float("inf")  # when this front stops relying on it
        self.applied = ""  # the document that the front's parts have taken
        self.failed: dict[str, str] = {}  # documents in force that this front can't take, and why
        self.linked = False
        self.released = False  # asked to let go, and not yet granted another lease
        self._document = ""  # of the lease
        self._serial = 0
        self._void = 0  # leases asked for up to here are not taken any more
        self._asked: dict[int, float] = {}  # when, by serial
        self._renew_at = now
        self._documents: dict[str, bytes] = {}
        self._fetching = ""
        self._wish = Wish()

    # Before each decision -------------------------------------------------------------------------

    def serving(self, now: float) -> int:
        """The version to decide under at this moment; 0 for none: then the answer is a refusal."""
        if not self.version or self.applied != self._document:
            return 0
        if now < self.until:
            return self.version
        # Cut off. By the operator's choice it goes on, unless it has promised not to.
        return self.version if self._go_on and not self.released else 0

    def back_in(self, now: float) -> float:
        """When a client that is refused now may come back, in seconds from now."""
        return max(0.05, min(self.renew, self._renew_at - now)) if self.linked else self.renew

    def left(self, now: float) -> float:
        """Seconds of the lease that are left."""
        return max(0.0, self.until - now) if self.version else 0.0

    # Events ---------------------------------------------------------------------------------------

    @property
    def next_at(self) -> float:
        """When `tick` is due."""
        return self._renew_at if self.linked else float("inf")

    def link(self, up: bool, now: float) -> None:
        """The link to the keepers is there, or is gone with all that was said on it."""
        self.linked, self._renew_at, self._fetching = up, now, ""
        self._wish = Wish(apply=self._wish.apply)

    def tick(self, now: float) -> None:
        if self.linked and now >= self._renew_at:
            self._renew(now)

    def _renew(self, now: float) -> None:
        self._serial += 1
        self._asked[self._serial] = now
        while len(self._asked) > MAX_PENDING_RENEWALS:
            del self._asked[min(self._asked)]
        self._renew_at = now + self.renew
        self._fetching = ""  # asked for again where it has not come
        self._wish.say.append(RenewPolicyLease(self._serial, self.applied))

    def heard(self, message: FromCoordinator, now: float) -> None:
        """What a keeper said."""
        match message:
            case PolicyLeaseGranted():
                self._granted(message, now)
            case RevokePolicyLease(version):
                # Guards the one version in force: a grant that is still on its way is not taken after this.
                self.until, self.released, self._void = -float("inf"), True, self._serial
                self._asked.clear()
                self._wish.say.append(PolicyLeaseReleased(version, self._void))
                self._renew(now)
            case ValidateDocument():
                self._keep(message.document, message.data)
                self._wish.check.append(message)
            case DocumentContent(document, data):
                self._keep(document, data)
                if document == self._fetching:
                    self._fetching = ""
                if document == self._document:
                    self._take()
            case Elsewhere() | RenewalDeferred():
                pass  # the host goes there, or knows that it is heard

    def _granted(self, granted: PolicyLeaseGranted, now: float) -> None:
        asked = self._asked.pop(granted.serial, None)
        if asked is None or granted.serial <= self._void:
            return
        until, self.renew = asked + granted.believed, granted.renew
        self._renew_at = min(self._renew_at, now + self.renew)  # the first lease says how often
        if granted.version < self.version or until <= now:
            return
        self.version, self._document = granted.version, granted.document
        self.until, self.released = max(self.until, until), False
        if self.applied != granted.document:
            self._take()

    def _keep(self, document: str, data: bytes) -> None:
        self._documents[document] = data
        while len(self._documents) > MAX_CACHED_DOCUMENTS:
            del self._documents[next(iter(self._documents))]

    def _take(self) -> None:
        if self._document in self.failed:
            return
        data = self._documents.get(self._document)
        if data is not None:
            self._wish.apply.append((self._document, data))
        elif self._fetching != self._document:
            self._fetching = self._document
            self._wish.say.append(FetchDocument(self._document))

    # What the host found --------------------------------------------------------------------------

    def checked(self, check: ValidateDocument, reasons: tuple[str, ...]) -> None:
        """What this front's own checks say of a document."""
        self._wish.say.append(DocumentValidated(check.version, check.document, reasons))

    def took(self, document: str, why_not: str = "") -> None:
        """The front's parts have taken a document, or can't: then it serves under no version that has it."""
        if why_not:
            self.failed = {document: why_not}
        else:
            self.applied, self.failed = document, {}

    def end(self) -> None:
        """An orderly end: lets go at once, so that nobody has to wait for the lease."""
        self.until, self.released, self._void = -float("inf"), True, self._serial
        self._wish.say.append(PolicyLeaseReleased(self.version, self._void))
        self.version = 0

    def take(self) -> Wish:
        """What is to be done since the last time."""
        wish, self._wish = self._wish, Wish()
        return wish
