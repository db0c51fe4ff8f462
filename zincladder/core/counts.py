"""What the core counts, by the published labels of metrics and of the last log line."""

from __future__ import annotations

from collections import Counter

Counts = Counter[tuple[str, str]]  # by group and label

# Groups whose label is an AnswerKind, an EndReason or an AbortReason.
ANSWERS = "answers"
ATTEMPTS = "attempts"
HEALTH_CHECKS = "probes"
ABORTED_ATTEMPTS = "held_back"

WITHDRAWN_REQUESTS = (ANSWERS, "withdrawn")  # the client disconnected, or withdrew the request
WAITED_FOR_LIST = ("out_of_date", "held")
REJECTED_WITHOUT_LIST = ("out_of_date", "refused")
DIRECTLY_ROUTED = ("steered", "named")
DIRECT_ROUTING_REJECTED = ("steered", "refused")
UNUSABLE_REQUESTS = (ANSWERS, "unusable")  # a front could not read the request's fields
UNREAD_REQUESTS = ("requests", "lay_unread")  # read late, after they had arrived
