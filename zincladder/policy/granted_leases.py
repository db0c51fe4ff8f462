"""The leases that one leader has granted on the policy in force. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple


class FrontProcess(NamedTuple):
    """One process of a front."""

    front: str
    process: str


@dataclass(frozen=True, slots=True)
class GrantedLease:
    """Until when a process may rely on its lease, and the serial of the request that it answers."""

    expires_at: float
    serial: int


class GrantedLeases:
    """Who may still serve under the version in force.

    Guards the rule that no two versions are served at once: the next one is activated only after every lease
    here was released or has expired, and so have those that a former leader may have granted.
    """

    def __init__(self, former_leases_expire_at: float) -> None:
        self.former_leases_expire_at = former_leases_expire_at
        self.by_process: dict[FrontProcess, GrantedLease] = {}
        self.fenced_off: set[FrontProcess] = set()  # did not release in time, and get no lease for now

    def grant(self, holder: FrontProcess, serial: int, expires_at: float) -> None:
        """A process may rely on its lease until then."""
        self.by_process[holder] = GrantedLease(expires_at, serial)

    def release(self, holder: FrontProcess, serial: int) -> None:
        """A process ignores every lease that it requested up to the serial.

        A release that was sent on an older link, before a lease on this one, releases nothing.
        """
        lease = self.by_process.get(holder)
        if (lease.serial if lease else 0) <= serial:
            self.by_process.pop(holder, None)
            self.fenced_off.discard(holder)

    def drop_expired(self, now: float) -> None:
        """Forgets the leases that nobody can rely on any more."""
        self.by_process = {
            holder: lease for holder, lease in self.by_process.items() if lease.expires_at > now
        }

    def fence_off_remaining(self) -> None:
        """Grants nothing more to whoever has not released.

        A front may be heard and hear nothing; renewed again and again, its lease would hold a change up for
        ever.
        """
        self.fenced_off = set(self.by_process)

    def remaining_seconds(self, holder: FrontProcess, now: float) -> float:
        """How long a process may still rely on its lease."""
        lease = self.by_process.get(holder)
        return max(0.0, lease.expires_at - now) if lease else 0.0

    def none_left(self, now: float) -> bool:
        """Whether nobody can rely on the version in force any more."""
        return not self.by_process and now >= self.former_leases_expire_at
