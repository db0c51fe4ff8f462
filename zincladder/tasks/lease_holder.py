"""A worker's part: what it owns, and whether it may act on it now. No I/O.

Before each effect its host asks `acting`, after the last await before it: a process may have slept for an
hour between any two lines, and a token that was remembered over an await proves nothing.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from zincladder.tasks.model import (
    Assigned,
    Elsewhere,
    FromLeaseManager,
    FromRunner,
    LeaseGranted,
    Offer,
    ReleaseLease,
    RenewLease,
    Revoke,
)

RENEW = 1.0  # seconds, until the first lease says how often
IDLE = 5  # times as long between two askings of one that owns nothing
MAX_PENDING_RENEWALS = 16  # askings whose answers may still come


@dataclass(slots=True)
class HeldLease:
    """A duty of which this process was told that it is the owner."""

    token: int
    until: float = -float("inf")  # when this process stops relying on it
    since: int = 0  # askings up to here do not count for it


@dataclass(slots=True)
class Wish:
    """What the host is to do: say these; begin or end work on these duties."""

    say: list[FromRunner] = field(default_factory=list)
    begin: list[str] = field(default_factory=list)
    end: list[str] = field(default_factory=list)


class LeaseHolder:
    """One process. Times are of a clock that goes on while the process or the machine sleeps."""

    def __init__(self, wants: Iterable[str], now: float) -> None:
        self.wants = tuple(sorted(wants))
        self.held: dict[str, HeldLease] = {}
        self.linked = False
        self.renew = RENEW
        self._serial = 0
        self._asked: dict[int, float] = {}
        self._renew_at = now
        self._working: set[str] = set()
        self._wish = Wish()

    # Before each effect ---------------------------------------------------------------------------

    def acting(self, duty: str, now: float) -> int:
        """The token under which to act on a duty at this moment; 0: not at all."""
        held = self.held.get(duty)
        return held.token if held is not None and now < held.until else 0

    def left(self, duty: str, now: float) -> float:
        """Seconds for which this process relies on its lease."""
        held = self.held.get(duty)
        return max(0.0, held.until - now) if held else 0.0

    @property
    def between(self) -> float:
        """Seconds between two askings."""
        return self.renew * (1 if self.held else IDLE)

    # Events ---------------------------------------------------------------------------------------

    @property
    def next_at(self) -> float:
        """When `tick` is due."""
        ends = [h.until for d, h in self.held.items() if d in self._working]
        return min(self._renew_at if self.linked else float("inf"), *ends, float("inf"))

    def link(self, up: bool, now: float) -> None:
        """The link to the leading keeper is there, or gone with all that was said on it."""
        self.linked, self._renew_at = up, now
        self._wish.say.clear()
        if up:
            self._wish.say.append(Offer(self.wants))
        self.tick(now)

    def tick(self, now: float) -> None:
        """Asks for the leases anew when it is time, and ends work whose lease has run out."""
        for duty, held in self.held.items():
            if duty in self._working and now >= held.until:
                self._stop_work(duty)  # it goes on with a new lease, if this process still is the owner
        if self.linked and now >= self._renew_at:
            self._renew(now)

    def _renew(self, now: float) -> None:
        self._renew_at = now + self.between
        self._serial += 1
        self._asked[self._serial] = now
        while len(self._asked) > MAX_PENDING_RENEWALS:
            del self._asked[min(self._asked)]
        self._wish.say.append(
            RenewLease(self._serial, tuple((d, h.token) for d, h in sorted(self.held.items())))
        )

    def heard(self, message: FromLeaseManager, now: float) -> None:
        """What a keeper said."""
        match message:
            case Assigned(duty, token):
                held = self.held.get(duty)
                if duty in self.wants and (held is None or held.token < token):
                    self._lose(duty)
                    self.held[duty] = HeldLease(token, since=self._serial)
                    self._renew(now)
            case LeaseGranted():
                self._lent(message, now)
            case Revoke(duty, token):
                held = self.held.get(duty)
                if held is None or held.token <= token:
                    self.give_back(duty, token)
            case Elsewhere():
                pass  # the host goes there

    def _lent(self, lent: LeaseGranted, now: float) -> None:
        asked = self._asked.pop(lent.serial, None)
        if asked is None:
            return
        self.renew = lent.renew
        self._renew_at = min(self._renew_at, now + self.between)
        granted, until = dict(lent.held), asked + lent.believed
        for duty, held in list(self.held.items()):
            if held.since >= lent.serial:
                continue  # it was not asked for then
            if granted.get(duty) != held.token:
                self._lose(duty)
            elif until > held.until:
                held.until = until
                if now < until and duty not in self._working:
                    self._working.add(duty)
                    self._wish.begin.append(duty)

    def _stop_work(self, duty: str) -> None:
        if duty in self._working:
            self._working.discard(duty)
            self._wish.end.append(duty)

    def _lose(self, duty: str) -> None:
        self._stop_work(duty)
        self.held.pop(duty, None)

    # What the host wishes -------------------------------------------------------------------------

    def give_back(self, duty: str, token: int | None = None) -> None:
        """Does no more of it: somebody else may begin at once."""
        held = self.held.get(duty)
        token = held.token if held is not None and token is None else token
        self._lose(duty)
        if token is not None:
            self._wish.say.append(ReleaseLease(duty, token))

    def leave(self) -> None:
        """An orderly end: takes nothing more and gives all back."""
        self.wants = ()
        self._wish.say.append(Offer(()))
        for duty in sorted(self.held):
            self.give_back(duty)

    def take(self) -> Wish:
        """What is to be done since the last time."""
        wish, self._wish = self._wish, Wish()
        return wish
