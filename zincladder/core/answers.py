"""The final answer to a request."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from zincladder.core.attempt_end import AttemptEnd

ANSWER_MARGIN_SECONDS = 0.02  # before the client's deadline: time to write the answer that ends it


class AnswerKind(Enum):
    """How a request was answered. The value is the published label of metrics and `STATS`."""

    SERVED = "served"
    REJECTED = "refused"  # harmless to repeat, after the answer's `retry_after`
    FAILED = "failed"


@dataclass(slots=True)
class Answer:
    """The final answer; one that was served carries the end of its attempt."""

    kind: AnswerKind
    end: AttemptEnd | None = None
    retry_after: float = 0.0  # seconds; 0: none is named
