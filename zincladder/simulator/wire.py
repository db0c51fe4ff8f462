"""Frames and records of the simulator's wire, to and from the interface. Translation only.

All numbers are little-endian and unpadded. A frame or record that does not have its stated shape raises
WireError with a plain sentence: a half-understood batch must never be acted on.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, BinaryIO

from zincladder.config import ConfigError, parse_settings
from zincladder.routing import interface as api

BATCH_HEADER = struct.Struct("<II")
BATCH_BODY = struct.Struct("<dI")
RECORD = struct.Struct("<BI")
MAX_FRAME = 1 << 28  # a batch of megabytes is normal life; a quarter of a gigabyte is a broken length
ID_BYTES = 6


class WireError(Exception):
    """The input is not what the protocol promises; the text says what was wrong."""


@dataclass(frozen=True, slots=True)
class Born:
    """An instance starts."""

    instance: int
    seed: int
    settings: api.Settings


@dataclass(frozen=True, slots=True)
class Halted:
    """An instance was killed."""

    instance: int


@dataclass(frozen=True, slots=True)
class ForRouter:
    """An event for the router of an instance."""

    instance: int
    event: api.Event


Record = Born | Halted | ForRouter


@dataclass(frozen=True, slots=True)
class Batch:
    """One frame from the simulator."""

    number: int
    clock: float
    records: tuple[Record, ...]


class _Reader:
    """Takes fields off one record, and complains by name when they do not fit."""

    def __init__(self, data: bytes, name: str) -> None:
        self.data, self.at, self.name = data, 0, name

    def take(self, size: int) -> bytes:
        if self.at + size > len(self.data):
            raise WireError(f"record '{self.name}' is too short: {len(self.data)} bytes of fields")
        self.at += size
        return self.data[self.at - size : self.at]

    def num(self, form: str) -> Any:
        return struct.unpack("<" + form, self.take(struct.calcsize("<" + form)))[0]

    def end(self) -> None:
        if self.at != len(self.data):
            raise WireError(f"record '{self.name}' has {len(self.data) - self.at} bytes too many")


def _code(kind: Callable[[int], Any], value: int, name: str) -> Any:
    try:
        return kind(value)
    except ValueError:
        raise WireError(f"record '{name}' holds an unknown code {value}") from None


def _report(r: _Reader) -> tuple[float, ...]:
    n = r.num("B")
    return struct.unpack(f"<{n}f", r.take(4 * n))


def _members(r: _Reader) -> api.EndpointUpdate:
    kind = _code(api.UpdateKind, r.num("B"), r.name)
    version = r.num("Q")
    entries = []
    for _ in range(r.num("I")):
        model, state, weight, cell, since, zone = struct.unpack("<HBfHdH", r.take(19))
        entries.append(
            api.Endpoint(
                r.take(ID_BYTES), model, zone, _code(api.EndpointState, state, r.name), weight, cell, since
            )
        )
    return api.EndpointUpdate(kind, version, tuple(entries))


def _query(r: _Reader) -> api.Request:
    request, group, size, marks, key, request_class, part, tenant, deadline = struct.unpack(
        "<QffBQBfHd", r.take(40)
    )
    return api.Request(
        request,
        key,
        int(group),
        int(part),
        request_class,
        size,
        deadline,
        bool(marks & 2),
        bool(marks & 4),
        tenant,
    )


def _ended(r: _Reader) -> api.AttemptEnded:
    request, attempt = r.num("Q"), r.num("H")
    endpoint = r.take(ID_BYTES)
    result = _code(api.AttemptOutcome, r.num("H"), r.name)
    latency, closed = r.num("d"), bool(r.num("B"))
    note, wait = _code(api.FillOutcome, r.num("B"), r.name), r.num("d")
    return api.AttemptEnded(request, attempt, endpoint, result, latency, closed, note, wait, _report(r))


def _probed(r: _Reader) -> api.ProbeEnded:
    endpoint, latency = r.take(ID_BYTES), r.num("d")
    return api.ProbeEnded(endpoint, _code(api.AttemptOutcome, r.num("H"), r.name), latency, _report(r))


def _purged(r: _Reader) -> api.Purged:
    key, group, age = r.num("Q"), r.num("H"), r.num("d")
    return api.Purged(key or None, group, age)


_EVENTS: dict[int, tuple[str, Callable[[_Reader], api.Event]]] = {
    10: ("peer_data", lambda r: api.PeerMessage(r.num("I"), r.take(r.num("H")))),
    20: ("expired_now", _purged),
    40: ("returned", _ended),
    50: ("query", _query),
    60: ("headers", lambda r: api.AnswerStarted(r.num("Q"), r.num("H"), r.take(ID_BYTES), r.num("d"))),
    70: ("alarm", lambda r: api.TimerFired(r.num("Q"))),
    80: ("gone", lambda r: api.ClientDisconnected(r.num("Q"))),
    100: ("ping_result", _probed),
    110: ("members", _members),
}
BORN, HALT = 30, 90


def _record(code: int, fields: bytes) -> Record:
    if code == BORN:
        r = _Reader(fields, "born")
        instance, seed = r.num("I"), r.num("Q")
        text = r.take(r.num("I"))
        r.end()
        try:
            return Born(instance, seed, parse_settings(text))
        except ConfigError as fault:
            raise WireError(f"settings cannot be read: {fault}") from fault
    if code == HALT:
        r = _Reader(fields, "halt")
        instance = r.num("I")
        r.end()
        return Halted(instance)
    if code not in _EVENTS:
        raise WireError(f"unknown event code {code}")
    name, decode = _EVENTS[code]
    r = _Reader(fields, name)
    instance = r.num("I")
    event = decode(r)
    r.end()
    return ForRouter(instance, event)


def decode_body(number: int, body: bytes) -> Batch:
    """The batch in a frame whose header has been taken off."""
    if len(body) < BATCH_BODY.size:
        raise WireError(f"batch {number} is too short for its header: {len(body)} bytes")
    clock, count = BATCH_BODY.unpack_from(body)
    at, records = BATCH_BODY.size, []
    for i in range(count):
        if at + RECORD.size > len(body):
            raise WireError(f"batch {number} ends before record {i} of {count}")
        code, size = RECORD.unpack_from(body, at)
        at += RECORD.size
        if at + size > len(body):
            raise WireError(f"record {i} of batch {number} (code {code}) runs past the end of its frame")
        records.append(_record(code, body[at : at + size]))
        at += size
    if at != len(body):
        raise WireError(f"batch {number} has {len(body) - at} bytes after its last record")
    return Batch(number, clock, tuple(records))


def _read_exactly(stream: BinaryIO, size: int) -> bytes:
    data = b""
    while len(data) < size:
        more = stream.read(size - len(data))
        if not more:
            break
        data += more
    return data


def read_batches(stream: BinaryIO) -> Iterator[Batch]:
    """Batches until the input ends; ending inside a frame is an error."""
    while True:
        header = _read_exactly(stream, BATCH_HEADER.size)
        if not header:
            return
        if len(header) < BATCH_HEADER.size:
            raise WireError("input ends inside a frame header")
        number, size = BATCH_HEADER.unpack(header)
        if size > MAX_FRAME:
            raise WireError(f"batch {number} states an impossible length of {size} bytes")
        body = _read_exactly(stream, size)
        if len(body) < size:
            raise WireError(f"input ends inside batch {number}: {len(body)} of {size} bytes")
        yield decode_body(number, body)


# Actions ------------------------------------------------------------------------------------------


def _get(i: int, a: api.Fetch) -> tuple[int, bytes]:
    bits = a.coalesce | a.cached_only << 1 | a.parent_proxies << 2 | a.renew << 3
    head = struct.pack("<IQ", i, a.request) + a.endpoint + a.source
    return 130, head + struct.pack("<BdBd", a.cache_rank, a.max_age, bits, a.time_out)


def _look(i: int, a: api.Lookup) -> tuple[int, bytes]:
    return 10, struct.pack("<IQ", i, a.request) + a.endpoint + struct.pack("<d", a.time_out)


def _text(i: int, text: str) -> bytes:
    data = text.encode()[:65000]
    return struct.pack("<IH", i, len(data)) + data


_ACTIONS: dict[type, Callable[[int, Any], tuple[int, bytes]]] = {
    api.Lookup: _look,
    api.Reject: lambda i, a: (20, struct.pack("<IQd", i, a.request, a.retry_after)),
    api.Fail: lambda i, a: (30, struct.pack("<IQ", i, a.request)),
    api.Cancel: lambda i, a: (40, struct.pack("<IQH", i, a.request, a.attempt)),
    api.SetTimer: lambda i, a: (50, struct.pack("<IdQ", i, a.delay, a.token)),
    api.Probe: lambda i, a: (60, struct.pack("<I", i) + a.endpoint),
    api.CloseIdle: lambda i, a: (70, struct.pack("<I", i) + a.endpoint),
    api.Tell: lambda i, a: (
        80,
        struct.pack("<IHH", i, 0xFFFF if a.receiver is None else a.receiver, len(a.data)) + a.data,
    ),
    api.Log: lambda i, a: (90, _text(i, a.text)),
    api.Subscribe: lambda i, a: (110, struct.pack("<IB", i, a.enable)),
    api.ReadList: lambda i, a: (120, struct.pack("<I", i)),
    api.Fetch: _get,
}
BROKEN = 100


def _framed(code: int, fields: bytes) -> bytes:
    return RECORD.pack(code, len(fields)) + fields


def encode_action(instance: int, action: api.Action) -> bytes:
    """One action as a record."""
    return _framed(*_ACTIONS[type(action)](instance, action))


def encode_broken(instance: int, text: str) -> bytes:
    """The record that says that an instance's decision code failed."""
    return _framed(BROKEN, _text(instance, text))


def encode_reply(number: int, records: bytes) -> bytes:
    """The reply frame to one batch."""
    return BATCH_HEADER.pack(number, len(records)) + records
