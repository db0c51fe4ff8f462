"""Answers of the caches: the head's words, and the checks that an answer is one to what was asked. No I/O."""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass

from zincladder.config import MAX_BODY_BYTES
from zincladder.core.attempt_end import AttemptEnd, EndReason
from zincladder.net import protocol
from zincladder.net.errors import ConnectionEndedError

FIELD = re.compile(r"[a-z_]{1,16}", re.ASCII)
MAX_HEAD_BYTES = 2048
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
    """The words of an answer's first line.

    Raises:
        ConnectionEndedError: It is not the head of an answer, so nothing after it can be read.
    """
    words = line.split(b" ")
    if len(words) < 2 or words[1] not in protocol.END_REASONS:
        raise ConnectionEndedError(EndReason.PROTOCOL_ERROR, f"not an answer: {line[:60]!r}")
    if len(words) == 2:
        return AnswerHead(words[0], words[1], NO_FIELDS, 0)
    if len(words) != 4 or not words[3].isdigit() or int(words[3]) > MAX_BODY_BYTES:
        raise ConnectionEndedError(EndReason.PROTOCOL_ERROR, f"not an answer: {line[:60]!r}")
    return AnswerHead(words[0], words[1], words[2], int(words[3]))


def _read_fields(raw: bytes) -> dict[str, str]:
    fields: dict[str, str] = {}
    if raw != NO_FIELDS:
        for pair in raw.decode("latin-1").split(","):
            name, equals, value = pair.partition("=")
            if not equals or not FIELD.fullmatch(name) or not value.isprintable():
                raise ConnectionEndedError(EndReason.PROTOCOL_ERROR, f"a field that is none: {pair[:40]!r}")
            fields[name] = value
    return fields


def read_attempt_end(
    head: AnswerHead, body: bytearray, to_health_check: bool, copy_tag: str, report_names: Sequence[str]
) -> AttemptEnd:
    """The answer, checked in full.

    Args:
        head: The answer's first line.
        body: Its body.
        to_health_check: Whether a health check was asked, and no request.
        copy_tag: The tag of the copy that the client holds; "" where the request named none.
        report_names: The figures of a load report, in the order of the settings that are in force by now.

    Raises:
        ConnectionEndedError: A part of it cannot be what the cache meant.
    """
    fields = _read_fields(head.fields)
    reason = protocol.END_REASONS[head.word]
    # Guards the client's copy: it is current only if the cache named it, by the tag that it was sent.
    names_copy = reason is not EndReason.NOT_MODIFIED or (copy_tag != "" and fields.get("rev") == copy_tag)
    fits = (head.word in HEALTH_WORDS) == to_health_check and names_copy
    if not fits or (body and reason is not EndReason.SERVED):
        raise ConnectionEndedError(
            EndReason.PROTOCOL_ERROR,
            f"{head.word.decode()} with {len(body)} bytes is no answer to what was asked",
        )
    try:
        attributes = protocol.read_answer(fields)
    except ValueError as fault:
        raise ConnectionEndedError(EndReason.PROTOCOL_ERROR, str(fault)) from None
    # A load report counts as a whole or not at all.
    report = attributes.pop("report", {})
    figures = tuple(report[name] for name in report_names) if report.keys() >= set(report_names) else ()
    return AttemptEnd(reason, body, report=figures, **attributes)
