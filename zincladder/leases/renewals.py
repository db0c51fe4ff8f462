"""When a process asks for its leases again, and which of its requests may still be answered. No I/O."""

from __future__ import annotations

DEFAULT_INTERVAL_SECONDS = 1.0  # until the first lease says how often to renew
MAX_PENDING = 16


class RenewalSchedule:
    """The renewal requests of one process.

    A lease counts from the moment at which it was requested. Counted from its answer it would outlast what
    the leader waits for, and two processes could rely on leases that exclude each other.
    """

    def __init__(self, now: float) -> None:
        self.interval_seconds = DEFAULT_INTERVAL_SECONDS
        self.next_at = now
        self.serial = 0  # of the latest request
        self.requested_at: dict[int, float] = {}  # by serial, of requests without an answer

    def request(self, now: float, interval_seconds: float) -> int:
        """Records a request that is sent now and returns its serial; the next is due after the interval.

        Only the latest MAX_PENDING requests may still be answered: a leader that never answers would
        otherwise make the record grow without end.
        """
        self.next_at = now + interval_seconds
        self.serial += 1
        self.requested_at[self.serial] = now
        while len(self.requested_at) > MAX_PENDING:
            del self.requested_at[min(self.requested_at)]
        return self.serial

    def answered(self, serial: int) -> float | None:
        """The moment at which the answered request was sent; None if it is not one that is waited for."""
        return self.requested_at.pop(serial, None)

    def bring_forward(self, at: float) -> None:
        """Makes the next request due at the given moment, if it is not due sooner."""
        self.next_at = min(self.next_at, at)
