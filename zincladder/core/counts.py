"""The counters of the core. Their keys hold labels that metrics, `STATS` and the last log line publish."""

from __future__ import annotations

from collections import Counter

Counts = Counter[tuple[str, str]]  # by group and label

# Groups whose labels are the values of AnswerKind, EndReason or AbortReason.
ANSWERS = "answers"
ATTEMPTS = "attempts"
HEALTH_CHECKS = "probes"
ABORTED_ATTEMPTS = "held_back"

WITHDRAWN_REQUESTS = (ANSWERS, "withdrawn")  # the client disconnected, or cancelled the request
WAITED_FOR_LIST = ("out_of_date", "held")  # waited because the endpoint list might be out of date
REJECTED_WITHOUT_LIST = ("out_of_date", "refused")  # rejected because that wait took too long
DIRECTLY_ROUTED = ("steered", "named")
DIRECT_ROUTING_REJECTED = ("steered", "refused")
UNUSABLE_REQUESTS = (ANSWERS, "unusable")  # the fields of the request could not be parsed
# Requests that had arrived more than `PROMPT_READ_SECONDS` before they were read.
LATE_READ_REQUESTS = ("requests", "lay_unread")
