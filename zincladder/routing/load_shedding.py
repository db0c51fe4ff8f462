"""Which requests are given up at once, as their answer would come too late. No I/O.

What is shed here is rejected with Retry-After. To shed less under the same load, raise
`MAX_OBJECTIVE_OVERRUN`.
"""

from __future__ import annotations

from zincladder.routing.requests import PendingRequest

# An overload may prolong a transfer by this share of its class's latency objective.
MAX_OBJECTIVE_OVERRUN = 1.0
# Load of the location's link, in transfers over those at full pace, from which fills are slower than the
# load.
SATURATED_LINK_LOAD = 2.5
# A request with more than this share of its class's timeout left is never hopeless.
SURE_TIMEOUT_SHARE = 0.5


def would_miss_objective(pending: PendingRequest, overload: float) -> bool:
    """Whether an overload would make the answer too late; large answers go first.

    `overload` is the factor by which a transfer is prolonged (1: full pace).
    """
    overrun_seconds = (overload - 1) * pending.transfer_seconds
    return overrun_seconds > MAX_OBJECTIVE_OVERRUN * pending.request_class.latency_objective


def is_hopeless(seconds_left: float, transfer_seconds: float, timeout: float) -> bool:
    """Whether a client gives up before its answer can be complete, even with a copy at the first cache.

    `seconds_left` is the time until then, `timeout` that of the request's class in seconds. Half of the
    timeout is always enough: where sizes are not announced, `transfer_seconds` is a mean that load moves.
    """
    return seconds_left < min(transfer_seconds, timeout * SURE_TIMEOUT_SHARE)
