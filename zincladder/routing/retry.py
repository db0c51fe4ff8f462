"""Whether a request may be sent again. No I/O."""

from __future__ import annotations

from zincladder.routing import interface as api

# Outcomes after which it is certain that the request took no effect at the member it was sent to.
NEVER_RAN = (
    api.AttemptOutcome.REJECTED,
    api.AttemptOutcome.UNREACHABLE,
    api.AttemptOutcome.NOT_SENT,
    api.AttemptOutcome.MISS,
)
