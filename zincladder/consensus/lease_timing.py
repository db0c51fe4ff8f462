"""The timing of the leases that a group grants."""

from __future__ import annotations

import msgspec

LEASE_TIMING_KEY = "terms"  # the key of the LeaseTiming in the replicated state


class LeaseTiming(msgspec.Struct, frozen=True, array_like=True):
    """The lease timing that all replicas of a group share. It is part of the replicated state.

    `clock_drift` is the largest error of a clock per second. A lease holder relies on a lease for
    `lease_seconds * (1 - clock_drift)` from its request, measured by its own clock. A replica treats it as
    valid for `lease_seconds * (1 + clock_drift)` from the grant, measured by the replica's clock.
    """

    lease_seconds: float = 5.0
    renew_seconds: float = 1.0  # time between two renewals
    clock_drift: float = 0.01
    # How long fronts may take to validate a policy.
    check_timeout_seconds: float = 3.0
    # How long fronts may take to release their leases for a change. After that, the fronts that did so serve
    # under the old version again until the remaining leases have expired.
    release_timeout_seconds: float = 0.3
    # More than this share of the known fronts has to accept a change.
    min_agreeing_share: float = 0.5
    # How long a decided change may wait for a time at which no front is silent. After that, the leases of all
    # fronts are revoked.
    max_deferral_seconds: float = 15.0
    # How long the holder of a task's lease may be paused between its check of the clock and its action.
    max_action_seconds: float = 0.2

    @property
    def trusted_seconds(self) -> float:
        """How long a front relies on a lease, from its request."""
        return self.lease_seconds * (1 - self.clock_drift)

    @property
    def holder_seconds(self) -> float:
        """How long the holder of a task's lease relies on it, from its request.

        It is shorter than `trusted_seconds`, because an action takes effect some time after the clock check.
        """
        return self.trusted_seconds - self.max_action_seconds

    @property
    def expiry_seconds(self) -> float:
        """How long after the grant a lease that was not released expires, by the replica's clock."""
        return self.lease_seconds * (1 + self.clock_drift)
