"""When a process renews its leases, and which of its requests may still be answered. No I/O."""

from __future__ import annotations

INITIAL_RENEWAL_INTERVAL_SECONDS = 1.0  # the first granted lease sets another interval
MAX_PENDING = 16


class RenewalSchedule:
    """The renewal requests of one process.

    The duration of a lease counts from its request. If it counted from the response, a process could rely on
    its lease after the leader's wait for its expiry, and two processes could rely on leases that exclude each
    other.
    """

    def __init__(self, now: float) -> None:
        self.interval_seconds = INITIAL_RENEWAL_INTERVAL_SECONDS
        self.next_at = now
        self.serial = 0  # number of the latest request
        self.requested_at: dict[int, float] = {}  # when each unanswered request was sent, by serial

    def request(self, now: float, interval_seconds: float) -> int:
        """Records a request that is sent now and returns its serial. The next one is due after the interval.

        Only the latest MAX_PENDING requests can still be answered. Without this limit, the record would grow
        without bound while the leader does not respond.
        """
        self.next_at = now + interval_seconds
        self.serial += 1
        self.requested_at[self.serial] = now
        while len(self.requested_at) > MAX_PENDING:
            del self.requested_at[min(self.requested_at)]
        return self.serial

    def answered(self, serial: int) -> float | None:
        """Removes the request that was answered, and returns when it was sent; None if it is not pending."""
        return self.requested_at.pop(serial, None)

    def bring_forward(self, at: float) -> None:
        """Makes the next request due at the given time, unless it is due earlier."""
        self.next_at = min(self.next_at, at)
