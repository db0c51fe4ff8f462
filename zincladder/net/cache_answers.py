"""Parses the answers of caches and checks that each one fits the message that it answers. No I/O."""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass

from zincladder.config import MAX_BODY_BYTES
from zincladder.core.attempt_end import AttemptEnd, EndReason
from zincladder.net import protocol
from zincladder.net.errors import ConnectionEndedError

FIELD_NAME = re.compile(r"[a-z_]{1,16}", re.ASCII)
MAX_HEAD_BYTES = 2048  # an answer's head is its first line
NO_FIELDS = b"-"
HEALTH_WORDS = (b"alive", b"dead")


@dataclass(slots=True)
class AnswerHead:
    """The first line of an answer: `ID WORD`, or `ID WORD FIELDS LENGTH`."""

    exchange_id: bytes
    word: bytes
    fields: bytes
    body_bytes: int


def read_head(line: bytes) -> AnswerHead:
    """Parses the first line of an answer.

    Raises:
        ConnectionEndedError: The line is not the head of an answer. The bytes after it cannot be parsed
            either, since their length is unknown.
    """
    words = line.split(b" ")
    if len(words) < 2 or words[1] not in protocol.END_REASONS:
        raise ConnectionEndedError(EndReason.PROTOCOL_ERROR, f"answer has no known result: {line[:60]!r}")
    if len(words) == 2:
        return AnswerHead(words[0], words[1], NO_FIELDS, 0)
    if len(words) != 4 or not words[3].isdigit() or int(words[3]) > MAX_BODY_BYTES:
        raise ConnectionEndedError(EndReason.PROTOCOL_ERROR, f"answer has no valid length: {line[:60]!r}")
    return AnswerHead(words[0], words[1], words[2], int(words[3]))


def _read_fields(raw: bytes) -> dict[str, str]:
    fields: dict[str, str] = {}
    if raw != NO_FIELDS:
        for pair in raw.decode("latin-1").split(","):
            name, separator, value = pair.partition("=")
            if not separator or not FIELD_NAME.fullmatch(name) or not value.isprintable():
                raise ConnectionEndedError(
                    EndReason.PROTOCOL_ERROR, f"malformed field in an answer: {pair[:40]!r}"
                )
            fields[name] = value
    return fields


def read_attempt_end(
    head: AnswerHead, body: bytearray, to_health_check: bool, copy_tag: str, report_names: Sequence[str]
) -> AttemptEnd:
    """Checks a complete answer and returns the end of the attempt or health check.

    Args:
        head: The answer's first line.
        body: The answer's body.
        to_health_check: Whether it answers a health check; otherwise it answers an attempt.
        copy_tag: The tag of the copy that the client holds; "" if the request named none.
        report_names: The names of the load report's figures, in the order of the current settings.

    Raises:
        ConnectionEndedError: The answer is malformed or does not fit what was asked.
    """
    fields = _read_fields(head.fields)
    reason = protocol.END_REASONS[head.word]
    # The client's copy may be declared current only if the answer repeats the tag from the request.
    repeats_copy_tag = reason is not EndReason.NOT_MODIFIED or (
        copy_tag != "" and fields.get("rev") == copy_tag
    )
    matches_request = (head.word in HEALTH_WORDS) == to_health_check and repeats_copy_tag
    if not matches_request or (body and reason is not EndReason.SERVED):
        raise ConnectionEndedError(
            EndReason.PROTOCOL_ERROR,
            f"answer {head.word.decode()} with a body of {len(body)} bytes does not fit the request",
        )
    try:
        attributes = protocol.read_answer(fields)
    except ValueError as fault:
        raise ConnectionEndedError(EndReason.PROTOCOL_ERROR, str(fault)) from None
    # A load report that lacks one of the figures is ignored completely.
    report = attributes.pop("report", {})
    ordered_report = (
        tuple(report[name] for name in report_names) if report.keys() >= set(report_names) else ()
    )
    return AttemptEnd(reason, body, report=ordered_report, **attributes)
