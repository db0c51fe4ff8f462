"""The leases on the policy in force that one leader has granted. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple


class FrontProcess(NamedTuple):
    """Identifies one process of a front."""

    front: str
    process: str


@dataclass(frozen=True, slots=True)
class GrantedLease:
    """The leader's record of a lease."""

    expires_at: float  # from then on the process does not rely on it, even if its clock is slow
    serial: int  # serial of the request that the lease was granted for


class GrantedLeases:
    """The processes that may still serve under the version in force.

    No two versions may be served at once. Therefore the next version is activated only after every lease
    recorded here has been released or has expired, and after all leases that a former leader may have granted
    have expired.
    """

    def __init__(self, former_leases_expire_at: float) -> None:
        self.former_leases_expire_at = former_leases_expire_at
        self.by_process: dict[FrontProcess, GrantedLease] = {}
        # Processes that did not release their lease in time. They get no other one until they have released
        # it or no change is open.
        self.suspended: set[FrontProcess] = set()

    def grant(self, holder: FrontProcess, serial: int, expires_at: float) -> None:
        """Records a lease that a process may rely on until `expires_at`."""
        self.by_process[holder] = GrantedLease(expires_at, serial)

    def release(self, holder: FrontProcess, serial: int) -> None:
        """Ends the lease of a process. The process ignores all leases that it requested up to `serial`.

        A release that the process sent before it requested its present lease has no effect. Such a release
        may arrive late, over an older link.
        """
        lease = self.by_process.get(holder)
        if (lease.serial if lease else 0) <= serial:
            self.by_process.pop(holder, None)
            self.suspended.discard(holder)

    def drop_expired(self, now: float) -> None:
        """Removes the expired leases."""
        self.by_process = {
            holder: lease for holder, lease in self.by_process.items() if lease.expires_at > now
        }

    def suspend_remaining(self) -> None:
        """Stops renewing the leases of the processes that have not released theirs.

        The messages of such a process may arrive while those sent to it are lost. If its lease were renewed
        again and again, the change would never be activated.
        """
        self.suspended = set(self.by_process)

    def remaining_seconds(self, holder: FrontProcess, now: float) -> float:
        """Returns the seconds until the lease of a process expires here; 0 if it has none."""
        lease = self.by_process.get(holder)
        return max(0.0, lease.expires_at - now) if lease else 0.0

    def no_lease_remains(self, now: float) -> bool:
        """Whether no process can still serve under the version in force."""
        return not self.by_process and now >= self.former_leases_expire_at
