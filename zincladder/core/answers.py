"""The final answer to a request, as the core returns it to a front."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from zincladder.core.attempt_end import AttemptEnd

ANSWER_MARGIN_SECONDS = 0.02  # reserved before the client's deadline for writing the answer


class AnswerKind(Enum):
    """How a request was answered. The value is the label in metrics and in `STATS`."""

    SERVED = "served"
    REJECTED = "refused"  # the request did not run; the client may retry after `Answer.retry_after`
    FAILED = "failed"


@dataclass(slots=True)
class Answer:
    """The final answer to a request."""

    kind: AnswerKind
    end: AttemptEnd | None = None  # of the attempt that served the request, if `kind` is SERVED
    retry_after: float = 0.0  # seconds; 0: no delay is sent to the client
