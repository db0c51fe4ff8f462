"""The terms of a group's leases. Shapes only; times in seconds."""

from __future__ import annotations

import msgspec

TERMS = "terms"  # the register that holds them


class Terms(msgspec.Struct, frozen=True, array_like=True):
    """What all keepers of a group hold alike, so that a lease means one thing. A register has it.

    `drift` bounds how far a clock runs off in a second. A front counts its lease from when it asked, by its
    own clock, and a keeper from when it granted it, by its own: 1 - drift of it here, 1 + drift of it there.
    """

    lease: float = 5.0
    renew: float = 1.0  # between two askings
    drift: float = 0.01
    check: float = 3.0  # a front's time to say whether it can take a policy
    clear: float = 0.3  # the fronts' time to let go, before all go on under the old version for now
    least: float = 0.5  # of the fronts that are known: more than this share has to agree
    patient: float = 15.0  # for which a decided change waits for a moment in which nobody is gone
    act: float = 0.2  # for which the owner of a duty may sleep between its look at the clock and its effect

    @property
    def believed(self) -> float:
        """How long a front relies on a lease."""
        return self.lease * (1 - self.drift)

    @property
    def owned(self) -> float:
        """How long the owner of a duty does: `act` less, as it acts some time after it looked."""
        return self.believed - self.act

    @property
    def waited(self) -> float:
        """How long a keeper waits for one that nobody gives back."""
        return self.lease * (1 + self.drift)
