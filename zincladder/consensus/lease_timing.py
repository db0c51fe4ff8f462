"""The terms of a group's leases. Shapes only; times in seconds."""

from __future__ import annotations

import msgspec

LEASE_TIMING_KEY = "terms"  # the register that holds them


class LeaseTiming(msgspec.Struct, frozen=True, array_like=True):
    """What all keepers of a group hold alike, so that a lease means one thing. A register has it.

    `drift` bounds how far a clock runs off in a second. A front counts its lease from when it asked, by its
    own clock, and a keeper from when it granted it, by its own: 1 - drift of it here, 1 + drift of it there.
    """

    lease_seconds: float = 5.0
    renew_seconds: float = 1.0  # between two askings
    clock_drift: float = 0.01
    check_timeout_seconds: float = 3.0  # a front's time to say whether it can take a policy
    release_timeout_seconds: float = (
        0.3  # the fronts' time to let go, before all go on under the old version for now
    )
    min_agreeing_share: float = 0.5  # of the fronts that are known: more than this share has to agree
    max_deferral_seconds: float = (
        15.0  # for which a decided change waits for a moment in which nobody is gone
    )
    max_action_seconds: float = (
        0.2  # for which the owner of a duty may sleep between its look at the clock and its effect
    )

    @property
    def trusted_seconds(self) -> float:
        """How long a front relies on a lease."""
        return self.lease_seconds * (1 - self.clock_drift)

    @property
    def holder_seconds(self) -> float:
        """How long the owner of a duty does: `act` less, as it acts some time after it looked."""
        return self.trusted_seconds - self.max_action_seconds

    @property
    def expiry_seconds(self) -> float:
        """How long a keeper waits for one that nobody gives back."""
        return self.lease_seconds * (1 + self.clock_drift)
