"""A runner's side of the leases: which tasks are assigned to it, and whether it may act on one now. No I/O.

The host calls `active_token` right before each write of a task, after the last await. A process can be
suspended for an hour between any two lines, so the lease may have expired since an earlier call.
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

IDLE_INTERVAL_FACTOR = 5  # multiplies the renewal interval of a process without an assignment


@dataclass(slots=True)
class HeldLease:
    """The lease on a task that is assigned to this process."""

    token: int
    expires_at: float = -float("inf")
    assigned_after_serial: int = 0  # requests up to this serial were sent before the assignment arrived


@dataclass(slots=True)
class LeaseHolderActions:
    """The actions that the host has to carry out."""

    messages: list[FromRunner] = field(default_factory=list)
    begin: list[str] = field(default_factory=list)  # tasks to start
    end: list[str] = field(default_factory=list)  # tasks to stop


class LeaseHolder:
    """The leases of one process.

    Times come from a clock that keeps running while the process or the machine is suspended.
    """

    def __init__(self, offered: Iterable[str], now: float) -> None:
        self.offered = tuple(sorted(offered))
        self.leases: dict[str, HeldLease] = {}  # by task
        self.linked = False
        self.renewals = RenewalSchedule(now)
        self._running: set[str] = set()
        self._actions = LeaseHolderActions()

    # Before each write of a task ------------------------------------------------------------------

    def active_token(self, task: str, now: float) -> int:
        """Returns the token under which this process may act on a task now; 0 if it may not."""
        lease = self.leases.get(task)
        return lease.token if lease is not None and now < lease.expires_at else 0

    def lease_seconds_left(self, task: str, now: float) -> float:
        """Returns how many seconds this process may still rely on its lease on a task."""
        lease = self.leases.get(task)
        return max(0.0, lease.expires_at - now) if lease else 0.0

    @property
    def renewal_interval_seconds(self) -> float:
        """The time between two renewals."""
        return self.renewals.interval_seconds * (1 if self.leases else IDLE_INTERVAL_FACTOR)

    # Events ---------------------------------------------------------------------------------------

    @property
    def next_at(self) -> float:
        """The time at which `tick` has to be called."""
        expiries = [lease.expires_at for task, lease in self.leases.items() if task in self._running]
        return min(self.renewals.next_at if self.linked else float("inf"), *expiries, float("inf"))

    def link_changed(self, up: bool, now: float) -> None:
        """Records that the link to the leader was opened, or was lost with all messages in transit."""
        self.linked, self.renewals.next_at = up, now
        self._actions.messages.clear()
        if up:
            self._send(Offer(self.offered))
        self.tick(now)

    def tick(self, now: float) -> None:
        """Stops the tasks whose lease has expired, and requests a renewal if one is due."""
        for task, lease in self.leases.items():
            if task in self._running and now >= lease.expires_at:
                self._stop_task(task)  # starts again with a new lease if it is still assigned
        if self.linked and now >= self.renewals.next_at:
            self._renew(now)

    def _send(self, message: FromRunner) -> None:
        self._actions.messages.append(message)

    def _renew(self, now: float) -> None:
        serial = self.renewals.request(now, self.renewal_interval_seconds)
        assigned = tuple((task, lease.token) for task, lease in sorted(self.leases.items()))
        self._send(RenewLease(serial, assigned))

    def message_received(self, message: FromLeaseManager, now: float) -> None:
        """Handles a message of the leader."""
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
                continue  # the request was sent before the assignment arrived
            if tokens.get(task) != lease.token:
                self._drop(task)
            elif expires_at > lease.expires_at:
                lease.expires_at = expires_at
                if now < expires_at and task not in self._running:
                    self._running.add(task)
                    self._actions.begin.append(task)

    def _stop_task(self, task: str) -> None:
        if task in self._running:
            self._running.discard(task)
            self._actions.end.append(task)

    def _drop(self, task: str) -> None:
        self._stop_task(task)
        self.leases.pop(task, None)

    # Requests of the host -------------------------------------------------------------------------

    def release(self, task: str, token: int | None = None) -> None:
        """Stops a task and releases its lease, so that another process may start it at once."""
        lease = self.leases.get(task)
        token = lease.token if lease is not None and token is None else token
        self._drop(task)
        if token is not None:
            self._send(ReleaseLease(task, token))

    def leave(self) -> None:
        """Withdraws all offers and releases every lease, at shutdown."""
        self.offered = ()
        self._send(Offer(()))
        for task in sorted(self.leases):
            self.release(task)

    def take_actions(self) -> LeaseHolderActions:
        """Returns the actions since the last call, and clears them."""
        actions, self._actions = self._actions, LeaseHolderActions()
        return actions
