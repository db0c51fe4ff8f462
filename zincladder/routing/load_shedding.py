"""Load shedding: requests whose answer would come too late are rejected at once. No I/O.

They are rejected with Retry-After if the client may safely retry. To shed less under the same load, raise
`MAX_OBJECTIVE_OVERRUN`.
"""

from __future__ import annotations

from zincladder.routing.requests import PendingRequest

# Longest accepted delay of a transfer by an overload, in latency objectives of its class.
MAX_OBJECTIVE_OVERRUN = 1.0
# Load of the location's link (transfers in progress, divided by the link's capacity) above which fills become
# slower in proportion to the load.
SATURATED_LINK_LOAD = 2.5
# A request with at least this share of its class's timeout left is never rejected for lack of time.
SUFFICIENT_TIMEOUT_SHARE = 0.5


def would_miss_objective(pending: PendingRequest, overload: float) -> bool:
    """Whether an overload would make the answer too late; the larger an answer, the longer it is delayed.

    `overload` is the factor by which a transfer is prolonged; 1 means that it is not.
    """
    overrun_seconds = (overload - 1) * pending.transfer_seconds
    return overrun_seconds > MAX_OBJECTIVE_OVERRUN * pending.request_class.latency_objective


def would_miss_deadline(seconds_left: float, transfer_seconds: float, timeout: float) -> bool:
    """Whether the client's deadline passes before the answer can be complete, even without a cache miss.

    `seconds_left` is the time until the deadline, `timeout` the timeout of the request's class in seconds.
    Half of the timeout always counts as enough: if sizes are not announced, `transfer_seconds` is a mean of
    measured latencies, which rises with the load.
    """
    return seconds_left < min(transfer_seconds, timeout * SUFFICIENT_TIMEOUT_SHARE)
