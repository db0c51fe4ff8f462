"""The platform's protocol in one table: every field, what it has to be, and where it goes. No I/O.

Reading, checking, passing on and telling the module follow from these rows, so a field is named once. One
that nothing follows from says why. Texts come from peers: what cannot be read raises ValueError.
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
TOKEN = re.compile(r"[0-9A-Za-z_-]{1,64}", re.ASCII)  # a copy's tag, an idempotency key: passed on unchanged
DECIMAL = re.compile(r"[0-9]{1,15}(\.[0-9]{1,40})?", re.ASCII)
MOST_PART = 1 << 20
MOST_MS = 10**12
MOST_KB = 1e7  # of a part, as clients state it: one without bound outweighs all sizes learned before


def _of(pattern: re.Pattern[str]) -> Callable[[str], str]:
    def read(text: str) -> str:
        if not pattern.fullmatch(text):
            raise ValueError
        return text

    return read


def _whole(least: int, most: int) -> Callable[[str], int]:
    def read(text: str) -> int:
        if not (text.isascii() and text.isdigit()) or len(text) > 13 or not least <= int(text) <= most:
            raise ValueError
        return int(text)

    return read


def _object(text: str) -> int:
    return int(_of(ID)(text), 16)


def _marked(text: str) -> bool:
    if text != "1":
        raise ValueError
    return True


def _decimal(least: float, most: float) -> Callable[[str], float]:
    """Reads a number above `least` in plain digits: Python's own takes spaces, underscores and words too."""

    def read(text: str) -> float:
        if not DECIMAL.fullmatch(text) or not least < float(text) <= most:
            raise ValueError
        return float(text)

    return read


def _wait(text: str) -> float:
    return _decimal(-1.0, MOST_MS)(text) / 1000


def _note(text: str) -> api.FillOutcome:
    if text not in NOTES:
        raise ValueError
    return NOTES[text]


def _meter(text: str) -> dict[str, float]:
    """A load report by the module's names; one that is spoilt tells nothing, and the answer stands."""
    try:
        pairs = (pair.split(":") for pair in text.split(";") if text)
        report = {LOAD_REPORT_NAMES.get(name, name): float(value) for name, value in pairs}
    except ValueError:
        return {}
    # float() takes 'nan' and 'inf' too: one of them in a mean spoils it for all the caches judged by it.
    return report if all(0.0 <= value < math.inf for value in report.values()) else {}


# Clients to fronts ---------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Said:
    """A field of a client's request, and the attribute of `Ask` that it becomes."""

    name: str
    ask: str
    read: Callable[[str], Any]
    what: str
    needed: bool = True


REQUEST = (
    Said("route", "request_class", str, "a class"),  # its number is the host's to look up
    Said("trace", "trace", _of(ID), "16 hex digits"),
    Said("patience", "deadline", _whole(1, MOST_MS), "milliseconds above 0"),
    Said("redo", "repeat", _marked, "1 or absent", needed=False),
    Said("nonce", "key", _of(TOKEN), "an idempotency key", needed=False),
    Said("entity", "object", _object, "16 hex digits"),
    Said("slice", "part", _whole(0, MOST_PART), f"a number from 0 to {MOST_PART}"),
    Said("set", "group", _whole(0, 255), "a number from 0 to 255"),
    Said("size", "size_kb", _decimal(0.0, MOST_KB), f"a number above 0, {MOST_KB:g} at most", needed=False),
    Said("seen", "tag", _of(TOKEN), "a tag", needed=False),
)


def read_request(fields: Mapping[str, str]) -> dict[str, Any]:
    """The attributes of an `Ask` that the fields state; BadFields names the first that cannot be used."""
    found: dict[str, Any] = {}
    for row in REQUEST:
        text = fields.get(row.name, "" if row.needed else None)
        if text is not None:
            try:
                found[row.ask] = row.read(text)
            except ValueError:
                raise InvalidFieldsError(f"'{row.name}' must be {row.what}, not {text[:20]!r}") from None
    return found


# Fronts to caches ----------------------------------------------------------------------------------


def _how(order: AttemptRequest) -> str:
    how = {
        "join": order.coalesce,
        "held": order.cached_only,
        "nocopy": order.parent_proxies,
        "renew": order.renew,
    }
    return "+".join(word for word, on in how.items() if on)


def _cap(order: AttemptRequest) -> str:
    age = order.max_age_now()
    return f"{max(1, math.floor(age * 1000))}" if 0 < age < math.inf else ""


# Each field of a `fetch`, from the order, the class's name and the seconds that are left; "" leaves it out.
FETCH: dict[str, Callable[[AttemptRequest, str, float], str]] = {
    "cls": lambda order, name, left: name,
    "item": lambda order, name, left: f"{order.request.object:016x}",
    "chunk": lambda order, name, left: "" if order.request.part is None else str(order.request.part),
    "limit": lambda order, name, left: str(max(1, math.floor(left * 1000))),
    "nonce": lambda order, name, left: order.request.key,
    "up": lambda order, name, left: "" if order.source is None else order.source.decode(),
    "store": lambda order, name, left: str(order.cache_rank) if order.cache_rank else "",
    "cap": lambda order, name, left: _cap(order),
    "do": lambda order, name, left: _how(order),
    "inm": lambda order, name, left: order.request.tag,
}


def write_fetch(order: AttemptRequest, class_name: str, left: float) -> str:
    """The fields of one attempt, as they go out."""
    said = ((field, of(order, class_name, left)) for field, of in FETCH.items())
    return ",".join(f"{field}={text}" for field, text in said if text)


@dataclass(frozen=True, slots=True)
class Told:
    """A field of an answer, and the attribute of `End` that it becomes; without one, why nothing follows."""

    name: str
    end: str
    read: Callable[[str], Any]
    unused: str = ""


ANSWER = (
    Told("tell", "fill_outcome", _note),
    Told("fill", "fill_wait", _wait),
    Told("meter", "report", _meter),
    Told("since", "", _whole(0, MOST_MS * 10), "the front keeps no copies of its own, so none has an age"),
    Told("rev", "", str, "clients compare tags with what they hold; a cache answers 304 by itself"),
)
NOTES = {
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
WORDS = {
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
    """The attributes of an `End` that the fields state; ValueError names the first that cannot be read."""
    found: dict[str, Any] = {}
    for row in ANSWER:
        if row.name in fields:
            try:
                value = row.read(fields[row.name])
            except ValueError:
                raise ValueError(f"'{row.name}' cannot be read: {fields[row.name][:40]!r}") from None
            if row.end:
                found[row.end] = value
    return found


# The coordinator -----------------------------------------------------------------------------------

ENDPOINT_STATES = (
    api.EndpointState.READY,
    api.EndpointState.DRAINING,
    api.EndpointState.GONE,
)  # by their numbers in a frame
STATE_NAMES = {
    "up": api.EndpointState.READY,
    "draining": api.EndpointState.DRAINING,
    "removed": api.EndpointState.GONE,
}
