"""Tables of the fields of the platform's protocol: their names, valid values and meaning. No I/O.

The functions here read, check and write fields by these tables, so that each field is defined once. The
tables also have the fields that the front does not use, with the reason. The `read` functions of the tables
raise ValueError for an invalid text; only an invalid load report is read as an empty one.
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from zincladder.config import LOAD_REPORT_NAMES
from zincladder.core.attempt import AttemptRequest
from zincladder.core.attempt_end import EndReason
from zincladder.net.errors import InvalidFieldsError
from zincladder.routing import interface as api

ID = re.compile(r"[0-9a-f]{16}", re.ASCII)
TOKEN = re.compile(r"[0-9A-Za-z_-]{1,64}", re.ASCII)  # a copy's tag or an idempotency key, sent on unchanged
DECIMAL = re.compile(r"[0-9]{1,15}(\.[0-9]{1,40})?", re.ASCII)
MAX_INTEGER_DIGITS = 13
MAX_PART = 1 << 20
MAX_GROUP = 255
MAX_MILLISECONDS = 10**12
# Largest size that a client may state for a part; an unbounded size would outweigh all sizes learned before.
MAX_SIZE_KB = 1e7


def _matching(pattern: re.Pattern[str]) -> Callable[[str], str]:
    def read(text: str) -> str:
        if not pattern.fullmatch(text):
            raise ValueError
        return text

    return read


def _integer(minimum: int, maximum: int) -> Callable[[str], int]:
    def read(text: str) -> int:
        if not (text.isascii() and text.isdigit()) or len(text) > MAX_INTEGER_DIGITS:
            raise ValueError
        if not minimum <= int(text) <= maximum:
            raise ValueError
        return int(text)

    return read


def _object(text: str) -> int:
    return int(_matching(ID)(text), 16)


def _flag(text: str) -> bool:
    if text != "1":
        raise ValueError
    return True


def _decimal(above: float, maximum: float) -> Callable[[str], float]:
    """Returns a reader of numbers in decimal digits; `float` alone also accepts spaces, '_' and words."""

    def read(text: str) -> float:
        if not DECIMAL.fullmatch(text) or not above < float(text) <= maximum:
            raise ValueError
        return float(text)

    return read


def _milliseconds(text: str) -> float:
    return _decimal(-1.0, MAX_MILLISECONDS)(text) / 1000


def _fill_outcome(text: str) -> api.FillOutcome:
    if text not in FILL_OUTCOMES:
        raise ValueError
    return FILL_OUTCOMES[text]


def _load_report(text: str) -> dict[str, float]:
    """Reads a load report, keyed by the router's names.

    A malformed report gives an empty one, so that the answer which holds it is still used.
    """
    try:
        pairs = (pair.split(":") for pair in text.split(";") if text)
        report = {LOAD_REPORT_NAMES.get(name, name): float(value) for name, value in pairs}
    except ValueError:
        return {}
    # float() also accepts 'nan' and 'inf'. One such value would spoil the estimates made from load reports.
    return report if all(0.0 <= value < math.inf for value in report.values()) else {}


# Clients to fronts ---------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class RequestField:
    """A field of a client's request, and the attribute of `ClientRequest` that it sets."""

    name: str
    attribute: str
    read: Callable[[str], Any]
    expected: str  # the valid values, for the error text
    required: bool = True


REQUEST_FIELDS = (
    RequestField("route", "request_class", str, "a class"),  # the caller replaces the name by its number
    RequestField("trace", "trace", _matching(ID), "16 hex digits"),
    RequestField("patience", "deadline", _integer(1, MAX_MILLISECONDS), "milliseconds above 0"),
    RequestField("redo", "repeat", _flag, "1 or absent", required=False),
    RequestField("nonce", "key", _matching(TOKEN), "an idempotency key", required=False),
    RequestField("entity", "object", _object, "16 hex digits"),
    RequestField("slice", "part", _integer(0, MAX_PART), f"a number from 0 to {MAX_PART}"),
    RequestField("set", "group", _integer(0, MAX_GROUP), f"a number from 0 to {MAX_GROUP}"),
    RequestField(
        "size",
        "size_kb",
        _decimal(0.0, MAX_SIZE_KB),
        f"a number above 0, {MAX_SIZE_KB:g} at most",
        required=False,
    ),
    RequestField("seen", "tag", _matching(TOKEN), "a tag", required=False),
)


def read_request(fields: Mapping[str, str]) -> dict[str, Any]:
    """Reads the attributes of a `ClientRequest` from the fields of a call.

    Raises:
        InvalidFieldsError: A field is missing or invalid; the text names the first such field.
    """
    attributes: dict[str, Any] = {}
    for row in REQUEST_FIELDS:
        text = fields.get(row.name, "" if row.required else None)
        if text is not None:
            try:
                attributes[row.attribute] = row.read(text)
            except ValueError:
                raise InvalidFieldsError(f"'{row.name}' must be {row.expected}, not {text[:20]!r}") from None
    return attributes


# Fronts to caches ----------------------------------------------------------------------------------


def _flags(attempt: AttemptRequest) -> str:
    flags = {
        "join": attempt.coalesce,
        "held": attempt.cached_only,
        "nocopy": attempt.parent_proxies,
        "renew": attempt.renew,
    }
    return "+".join(word for word, is_set in flags.items() if is_set)


def _max_age(attempt: AttemptRequest) -> str:
    age = attempt.max_age_now()
    return f"{max(1, math.floor(age * 1000))}" if 0 < age < math.inf else ""


# For each field of a `fetch`, the function that returns its text from the attempt, the name of the request's
# class and the seconds until the deadline. A field whose text is "" is left out.
ATTEMPT_FIELDS: dict[str, Callable[[AttemptRequest, str, float], str]] = {
    "cls": lambda attempt, class_name, seconds_left: class_name,
    "item": lambda attempt, class_name, seconds_left: f"{attempt.request.object:016x}",
    "chunk": lambda attempt, class_name, seconds_left: (
        "" if attempt.request.part is None else str(attempt.request.part)
    ),
    "limit": lambda attempt, class_name, seconds_left: str(max(1, math.floor(seconds_left * 1000))),
    "nonce": lambda attempt, class_name, seconds_left: attempt.request.key,
    "up": lambda attempt, class_name, seconds_left: (
        "" if attempt.source is None else attempt.source.decode()
    ),
    "store": lambda attempt, class_name, seconds_left: str(attempt.cache_rank) if attempt.cache_rank else "",
    "cap": lambda attempt, class_name, seconds_left: _max_age(attempt),
    "do": lambda attempt, class_name, seconds_left: _flags(attempt),
    "inm": lambda attempt, class_name, seconds_left: attempt.request.tag,
}


def write_fetch(attempt: AttemptRequest, class_name: str, seconds_left: float) -> str:
    """Serializes the fields of a `fetch`."""
    texts = ((field, write(attempt, class_name, seconds_left)) for field, write in ATTEMPT_FIELDS.items())
    return ",".join(f"{field}={text}" for field, text in texts if text)


@dataclass(frozen=True, slots=True)
class ResponseField:
    """A field of an answer, and the attribute of `AttemptEnd` that it sets; "" if the field is not used."""

    name: str
    attribute: str
    read: Callable[[str], Any]
    reason_unused: str = ""  # why the front does not use the field


RESPONSE_FIELDS = (
    ResponseField("tell", "fill_outcome", _fill_outcome),
    ResponseField("fill", "fill_wait", _milliseconds),
    ResponseField("meter", "report", _load_report),
    ResponseField(
        "since",
        "",
        _integer(0, MAX_MILLISECONDS * 10),
        "the front keeps no copies of its own, so none has an age",
    ),
    ResponseField("rev", "", str, "clients compare tags with what they hold; a cache answers 304 by itself"),
)
FILL_OUTCOMES = {
    "local": api.FillOutcome.HIT,
    "pulled": api.FillOutcome.FILLED,
    "pulled_far": api.FillOutcome.FILLED_VIA_ORIGIN,
    "rode": api.FillOutcome.COALESCED,
    "expired": api.FillOutcome.STALE,
    "turned_away": api.FillOutcome.SOURCE_REJECTED,
    "cut_off": api.FillOutcome.SOURCE_FAILED,
    "not_there": api.FillOutcome.SOURCE_MISS,
    "no_place": api.FillOutcome.NO_FILL_SLOT,
    "far_fault": api.FillOutcome.ORIGIN_FAILED,
}
END_REASONS = {
    b"200": EndReason.SERVED,
    b"304": EndReason.NOT_MODIFIED,
    b"404": EndReason.MISS,
    b"503": EndReason.REJECTED,
    b"500": EndReason.SERVER_ERROR,
    b"504": EndReason.DEADLINE_EXCEEDED,
    b"alive": EndReason.SERVED,
    b"dead": EndReason.REJECTED,
}


def read_answer(fields: Mapping[str, str]) -> dict[str, Any]:
    """Reads the attributes of an `AttemptEnd` from the fields of an answer.

    Raises:
        ValueError: A field is invalid; the text names the first such field.
    """
    attributes: dict[str, Any] = {}
    for row in RESPONSE_FIELDS:
        if row.name in fields:
            try:
                value = row.read(fields[row.name])
            except ValueError:
                raise ValueError(f"field '{row.name}' is invalid: {fields[row.name][:40]!r}") from None
            if row.attribute:
                attributes[row.attribute] = value
    return attributes


# The coordinator -----------------------------------------------------------------------------------

ENDPOINT_STATES = (
    api.EndpointState.READY,
    api.EndpointState.DRAINING,
    api.EndpointState.GONE,
)  # indexed by the state's number in an endpoint record
STATE_NAMES = {
    "up": api.EndpointState.READY,
    "draining": api.EndpointState.DRAINING,
    "removed": api.EndpointState.GONE,
}
