"""The timing of a group's leases. Types only."""

from __future__ import annotations

import msgspec

LEASE_TIMING_KEY = "terms"  # of the value that holds it, in the group's state


class LeaseTiming(msgspec.Struct, frozen=True, array_like=True):
    """The timing that all replicas of a group share, so that a lease means one thing. The state holds it.

    `clock_drift` bounds by how much a clock errs in a second. A holder trusts `lease * (1 - drift)`, from its
    request and by its own clock; a replica waits `lease * (1 + drift)`, from the grant and by its own clock.
    """

    lease_seconds: float = 5.0
    renew_seconds: float = 1.0  # time between two renewals
    clock_drift: float = 0.01
    # Time that fronts have to validate a policy.
    check_timeout_seconds: float = 3.0
    # Time that fronts have to release their leases; after it all go on under the old version for now.
    release_timeout_seconds: float = 0.3
    # Share of the known fronts; more than this share has to agree.
    min_agreeing_share: float = 0.5
    # Time that a decided change waits for a moment in which no front is missing.
    max_deferral_seconds: float = 15.0
    # Time that a lease holder may be paused between its look at the clock and its effect.
    max_action_seconds: float = 0.2

    @property
    def trusted_seconds(self) -> float:
        """How long a front relies on a lease."""
        return self.lease_seconds * (1 - self.clock_drift)

    @property
    def holder_seconds(self) -> float:
        """How long the holder of a task's lease relies on it: it acts some time after it looked."""
        return self.trusted_seconds - self.max_action_seconds

    @property
    def expiry_seconds(self) -> float:
        """How long a replica waits for a lease that nobody releases."""
        return self.lease_seconds * (1 + self.clock_drift)
