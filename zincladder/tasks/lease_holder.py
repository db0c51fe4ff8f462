"""A process's part: which singleton tasks are assigned to it, and whether it may act on one now. No I/O.

Before each effect its host reads `active_token`, after the last await before the effect: a process may have
slept for an hour between any two lines, and a token that was remembered over an await proves nothing.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from zincladder.leases.model import NotLeaderReply
from zincladder.leases.renewals import RenewalSchedule
from zincladder.tasks.model import (
    Assigned,
    FromLeaseManager,
    FromRunner,
    LeaseGranted,
    Offer,
    ReleaseLease,
    RenewLease,
    Revoke,
)

IDLE_FACTOR = 5  # times as long between two renewals of a process without an assignment


@dataclass(slots=True)
class HeldLease:
    """The lease on a task that is assigned to this process."""

    token: int
    expires_at: float = -float("inf")
    assigned_after_serial: int = 0  # requests up to this serial did not name the assignment


@dataclass(slots=True)
class LeaseHolderActions:
    """What the host is to do: send these messages, and begin or end running these tasks."""

    messages: list[FromRunner] = field(default_factory=list)
    begin: list[str] = field(default_factory=list)
    end: list[str] = field(default_factory=list)


class LeaseHolder:
    """One process. Times are of a clock that runs on while the process or the machine sleeps."""

    def __init__(self, offered: Iterable[str], now: float) -> None:
        self.offered = tuple(sorted(offered))
        self.leases: dict[str, HeldLease] = {}  # by task
        self.linked = False
        self.renewals = RenewalSchedule(now)
        self._running: set[str] = set()
        self._actions = LeaseHolderActions()

    # Before each effect ---------------------------------------------------------------------------

    def active_token(self, task: str, now: float) -> int:
        """The token under which to act on a task at this moment; 0: not at all."""
        lease = self.leases.get(task)
        return lease.token if lease is not None and now < lease.expires_at else 0

    def lease_seconds_left(self, task: str, now: float) -> float:
        """How long this process may rely on its lease."""
        lease = self.leases.get(task)
        return max(0.0, lease.expires_at - now) if lease else 0.0

    @property
    def renewal_interval_seconds(self) -> float:
        """Between two renewals."""
        return self.renewals.interval_seconds * (1 if self.leases else IDLE_FACTOR)

    # Events ---------------------------------------------------------------------------------------

    @property
    def next_at(self) -> float:
        """When `tick` is due."""
        expiries = [lease.expires_at for task, lease in self.leases.items() if task in self._running]
        return min(self.renewals.next_at if self.linked else float("inf"), *expiries, float("inf"))

    def link_changed(self, up: bool, now: float) -> None:
        """The link to the leader is up, or is down with all messages under way on it."""
        self.linked, self.renewals.next_at = up, now
        self._actions.messages.clear()
        if up:
            self._send(Offer(self.offered))
        self.tick(now)

    def tick(self, now: float) -> None:
        """Renews the leases when that is due, and ends tasks whose lease has expired."""
        for task, lease in self.leases.items():
            if task in self._running and now >= lease.expires_at:
                self._end_running(task)  # begun again with a new lease, if it is still assigned
        if self.linked and now >= self.renewals.next_at:
            self._renew(now)

    def _send(self, message: FromRunner) -> None:
        self._actions.messages.append(message)

    def _renew(self, now: float) -> None:
        serial = self.renewals.request(now, self.renewal_interval_seconds)
        assigned = tuple((task, lease.token) for task, lease in sorted(self.leases.items()))
        self._send(RenewLease(serial, assigned))

    def message_received(self, message: FromLeaseManager, now: float) -> None:
        """Takes a message of the leader."""
        match message:
            case Assigned(task, token):
                self._assigned(task, token, now)
            case LeaseGranted():
                self._granted(message, now)
            case Revoke(task, token):
                lease = self.leases.get(task)
                if lease is None or lease.token <= token:
                    self.release(task, token)
            case NotLeaderReply():
                pass  # the host connects to the leader

    def _assigned(self, task: str, token: int, now: float) -> None:
        lease = self.leases.get(task)
        if task in self.offered and (lease is None or lease.token < token):
            self._drop(task)
            self.leases[task] = HeldLease(token, assigned_after_serial=self.renewals.serial)
            self._renew(now)

    def _granted(self, granted: LeaseGranted, now: float) -> None:
        requested_at = self.renewals.answered(granted.serial)
        if requested_at is None:
            return
        self.renewals.interval_seconds = granted.renew_seconds
        self.renewals.bring_forward(now + self.renewal_interval_seconds)
        tokens, expires_at = dict(granted.granted), requested_at + granted.valid_seconds
        for task, lease in list(self.leases.items()):
            if lease.assigned_after_serial >= granted.serial:
                continue  # the request did not name it
            if tokens.get(task) != lease.token:
                self._drop(task)
            elif expires_at > lease.expires_at:
                lease.expires_at = expires_at
                if now < expires_at and task not in self._running:
                    self._running.add(task)
                    self._actions.begin.append(task)

    def _end_running(self, task: str) -> None:
        if task in self._running:
            self._running.discard(task)
            self._actions.end.append(task)

    def _drop(self, task: str) -> None:
        self._end_running(task)
        self.leases.pop(task, None)

    # Requests of the host -------------------------------------------------------------------------

    def release(self, task: str, token: int | None = None) -> None:
        """Ends a task and releases its lease: another process may begin at once."""
        lease = self.leases.get(task)
        token = lease.token if lease is not None and token is None else token
        self._drop(task)
        if token is not None:
            self._send(ReleaseLease(task, token))

    def leave(self) -> None:
        """An orderly end: offers nothing more and releases every lease."""
        self.offered = ()
        self._send(Offer(()))
        for task in sorted(self.leases):
            self.release(task)

    def take_actions(self) -> LeaseHolderActions:
        """What is to be done since the last time."""
        actions, self._actions = self._actions, LeaseHolderActions()
        return actions
