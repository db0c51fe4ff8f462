"""Codec of the simulator's protocol: decodes frames into router events and encodes actions as records.

All numbers are little-endian and unpadded. A malformed frame or record raises `WireError`, so that no part of
its batch is handled.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, BinaryIO

from zincladder.config import ConfigError, parse_settings
from zincladder.routing import interface as api

BATCH_HEADER = struct.Struct("<II")
BODY_HEADER = struct.Struct("<dI")
RECORD_HEADER = struct.Struct("<BI")
MAX_FRAME_BYTES = 1 << 28  # batches of megabytes are common; a larger length is corrupt
ID_BYTES = 6
MAX_TEXT_BYTES = 65000  # its length is encoded in two bytes
INSTANCE_STARTED, INSTANCE_STOPPED = 30, 90  # codes of the records that carry no event for a router
INSTANCE_FAILED = 100  # code of the record that reports an exception in an instance's router
NO_TIMEOUT = 0.0  # an attempt has no timeout of its own and lasts until its client stops waiting


class WireError(Exception):
    """The input violates the protocol; the error text describes the violation."""


@dataclass(frozen=True, slots=True)
class InstanceStarted:
    """An instance has started and needs a router."""

    instance: int
    seed: int
    settings: api.Settings


@dataclass(frozen=True, slots=True)
class InstanceStopped:
    """An instance was killed; its router is removed."""

    instance: int


@dataclass(frozen=True, slots=True)
class RouterEvent:
    """An event for an instance's router."""

    instance: int
    event: api.Event


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Bytes from another instance; ignored, as routers send each other nothing."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class AnswerStarted:
    """A streamed answer has begun; a separate event reports its end."""

    request: int
    attempt: int
    endpoint: api.EndpointId
    latency: float


@dataclass(frozen=True, slots=True)
class IgnoredEvent:
    """An event that is decoded and validated, but affects no decision."""

    instance: int
    event: PeerMessage | AnswerStarted


Record = InstanceStarted | InstanceStopped | RouterEvent | IgnoredEvent


@dataclass(frozen=True, slots=True)
class Batch:
    """One frame from the simulator; `clock` is the time of all its events in seconds."""

    number: int
    clock: float
    records: tuple[Record, ...]


# Events -------------------------------------------------------------------------------------------


class _FieldReader:
    """Reads the fields of one record in order; `WireError` names the record if they do not fit."""

    def __init__(self, data: bytes, record_name: str) -> None:
        self.data = data
        self.offset = 0
        self.record_name = record_name

    def take(self, size: int) -> bytes:
        if self.offset + size > len(self.data):
            raise WireError(f"record '{self.record_name}' is too short: {len(self.data)} bytes of fields")
        self.offset += size
        return self.data[self.offset - size : self.offset]

    def number(self, format_code: str) -> Any:
        return struct.unpack("<" + format_code, self.take(struct.calcsize("<" + format_code)))[0]

    def endpoint_id(self) -> api.EndpointId:
        return self.take(ID_BYTES)

    def load_report(self) -> tuple[float, ...]:
        count = self.number("B")
        return struct.unpack(f"<{count}f", self.take(4 * count))

    def code(self, enum_type: Callable[[int], Any], value: int) -> Any:
        try:
            return enum_type(value)
        except ValueError:
            raise WireError(f"record '{self.record_name}' holds an unknown code {value}") from None

    def finish(self) -> None:
        left = len(self.data) - self.offset
        if left:
            raise WireError(f"record '{self.record_name}' has {left} bytes too many")


def _read_endpoint_update(reader: _FieldReader) -> api.EndpointUpdate:
    kind = reader.code(api.UpdateKind, reader.number("B"))
    version = reader.number("Q")
    endpoints = tuple(_read_endpoint(reader) for _ in range(reader.number("I")))
    return api.EndpointUpdate(kind, version, endpoints)


def _read_endpoint(reader: _FieldReader) -> api.Endpoint:
    kind, state, weight, cell, started_at, zone = struct.unpack("<HBfHdH", reader.take(19))
    endpoint_id = reader.endpoint_id()
    return api.Endpoint(
        endpoint_id, kind, zone, reader.code(api.EndpointState, state), weight, cell, started_at
    )


def _read_request(reader: _FieldReader) -> api.Request:
    fields = struct.unpack("<QffBQBfHd", reader.take(40))
    request, group, size, flags, key, request_class, part, tenant, deadline = fields
    return api.Request(
        request,
        key,
        int(group),
        int(part),
        request_class,
        size,
        deadline,
        repeat=bool(flags & 2),
        write=bool(flags & 4),
        tenant=tenant,
    )


def _read_attempt_ended(reader: _FieldReader) -> api.AttemptEnded:
    request, attempt = reader.number("Q"), reader.number("H")
    endpoint_id = reader.endpoint_id()
    outcome = reader.code(api.AttemptOutcome, reader.number("H"))
    latency, closed = reader.number("d"), bool(reader.number("B"))
    fill_outcome = reader.code(api.FillOutcome, reader.number("B"))
    fill_wait, report = reader.number("d"), reader.load_report()
    return api.AttemptEnded(
        request, attempt, endpoint_id, outcome, latency, closed, fill_outcome, fill_wait, report
    )


def _read_probe_ended(reader: _FieldReader) -> api.ProbeEnded:
    endpoint_id, latency = reader.endpoint_id(), reader.number("d")
    outcome = reader.code(api.AttemptOutcome, reader.number("H"))
    return api.ProbeEnded(endpoint_id, outcome, latency, reader.load_report())


def _read_purged(reader: _FieldReader) -> api.Purged:
    key, group, age = reader.number("Q"), reader.number("H"), reader.number("d")
    return api.Purged(key or None, group, age)


def _read_timer_fired(reader: _FieldReader) -> api.TimerFired:
    return api.TimerFired(reader.number("Q"))


def _read_client_disconnected(reader: _FieldReader) -> api.ClientDisconnected:
    return api.ClientDisconnected(reader.number("Q"))


def _read_peer_message(reader: _FieldReader) -> PeerMessage:
    sender, size = reader.number("I"), reader.number("H")
    return PeerMessage(sender, reader.take(size))


def _read_answer_started(reader: _FieldReader) -> AnswerStarted:
    request, attempt = reader.number("Q"), reader.number("H")
    endpoint_id = reader.endpoint_id()
    return AnswerStarted(request, attempt, endpoint_id, reader.number("d"))


# By code: the name of the record in the protocol, and the function that reads the fields after the instance.
_EVENTS: dict[int, tuple[str, Callable[[_FieldReader], api.Event]]] = {
    20: ("expired_now", _read_purged),
    40: ("returned", _read_attempt_ended),
    50: ("query", _read_request),
    70: ("alarm", _read_timer_fired),
    80: ("gone", _read_client_disconnected),
    100: ("ping_result", _read_probe_ended),
    110: ("members", _read_endpoint_update),
}
_IGNORED_EVENTS: dict[int, tuple[str, Callable[[_FieldReader], PeerMessage | AnswerStarted]]] = {
    10: ("peer_data", _read_peer_message),
    60: ("headers", _read_answer_started),
}


def _read_record(code: int, fields: bytes) -> Record:
    if code == INSTANCE_STARTED:
        return _read_instance_started(fields)
    if code == INSTANCE_STOPPED:
        reader = _FieldReader(fields, "halt")
        instance = reader.number("I")
        reader.finish()
        return InstanceStopped(instance)
    if code in _EVENTS:
        name, read_event = _EVENTS[code]
        reader = _FieldReader(fields, name)
        record: Record = RouterEvent(reader.number("I"), read_event(reader))
    elif code in _IGNORED_EVENTS:
        name, read_ignored = _IGNORED_EVENTS[code]
        reader = _FieldReader(fields, name)
        record = IgnoredEvent(reader.number("I"), read_ignored(reader))
    else:
        raise WireError(f"unknown event code {code}")
    reader.finish()
    return record


def _read_instance_started(fields: bytes) -> InstanceStarted:
    reader = _FieldReader(fields, "born")
    instance, seed = reader.number("I"), reader.number("Q")
    text = reader.take(reader.number("I"))
    reader.finish()
    try:
        return InstanceStarted(instance, seed, parse_settings(text))
    except ConfigError as error:
        raise WireError(f"settings cannot be read: {error}") from error


def decode_body(number: int, body: bytes) -> Batch:
    """Decodes the body of the frame with this number; raises `WireError` if it is malformed."""
    if len(body) < BODY_HEADER.size:
        raise WireError(f"batch {number} is too short for its header: {len(body)} bytes")
    clock, count = BODY_HEADER.unpack_from(body)
    offset = BODY_HEADER.size
    records = []
    for index in range(count):
        if offset + RECORD_HEADER.size > len(body):
            raise WireError(f"batch {number} ends before record {index} of {count}")
        code, size = RECORD_HEADER.unpack_from(body, offset)
        offset += RECORD_HEADER.size
        if offset + size > len(body):
            raise WireError(f"record {index} of batch {number} (code {code}) runs past the end of its frame")
        records.append(_read_record(code, body[offset : offset + size]))
        offset += size
    if offset != len(body):
        raise WireError(f"batch {number} has {len(body) - offset} bytes after its last record")
    return Batch(number, clock, tuple(records))


def _read_up_to(stream: BinaryIO, size: int) -> bytes:
    """Reads `size` bytes, or fewer if the input ends before."""
    data = b""
    while len(data) < size:
        chunk = stream.read(size - len(data))
        if not chunk:
            break
        data += chunk
    return data


def read_batches(stream: BinaryIO) -> Iterator[Batch]:
    """Yields batches until the input ends; raises `WireError` if it is malformed or ends inside a frame."""
    while True:
        header = _read_up_to(stream, BATCH_HEADER.size)
        if not header:
            return
        if len(header) < BATCH_HEADER.size:
            raise WireError("input ends inside a frame header")
        number, size = BATCH_HEADER.unpack(header)
        if size > MAX_FRAME_BYTES:
            raise WireError(f"batch {number} states an impossible length of {size} bytes")
        body = _read_up_to(stream, size)
        if len(body) < size:
            raise WireError(f"input ends inside batch {number}: {len(body)} of {size} bytes")
        yield decode_body(number, body)


# Actions ------------------------------------------------------------------------------------------


def _write_fetch(instance: int, action: api.Fetch) -> tuple[int, bytes]:
    flags = action.coalesce | action.cached_only << 1 | action.parent_proxies << 2 | action.renew << 3
    head = struct.pack("<IQ", instance, action.request) + action.endpoint + action.source
    return 130, head + struct.pack("<BdBd", action.cache_rank, action.max_age, flags, NO_TIMEOUT)


def _write_lookup(instance: int, action: api.Lookup) -> tuple[int, bytes]:
    head = struct.pack("<IQ", instance, action.request) + action.endpoint
    return 10, head + struct.pack("<d", NO_TIMEOUT)


def _write_reject(instance: int, action: api.Reject) -> tuple[int, bytes]:
    return 20, struct.pack("<IQd", instance, action.request, action.retry_after)


def _write_fail(instance: int, action: api.Fail) -> tuple[int, bytes]:
    return 30, struct.pack("<IQ", instance, action.request)


def _write_cancel(instance: int, action: api.Cancel) -> tuple[int, bytes]:
    return 40, struct.pack("<IQH", instance, action.request, action.attempt)


def _write_set_timer(instance: int, action: api.SetTimer) -> tuple[int, bytes]:
    return 50, struct.pack("<IdQ", instance, action.delay, action.token)


def _write_probe(instance: int, action: api.Probe) -> tuple[int, bytes]:
    return 60, struct.pack("<I", instance) + action.endpoint


def _write_subscribe(instance: int, action: api.Subscribe) -> tuple[int, bytes]:
    return 110, struct.pack("<IB", instance, action.enable)


# By action type: the function that returns the code and the encoded fields of its record.
_ACTIONS: dict[type, Callable[[int, Any], tuple[int, bytes]]] = {
    api.Fetch: _write_fetch,
    api.Lookup: _write_lookup,
    api.Reject: _write_reject,
    api.Fail: _write_fail,
    api.Cancel: _write_cancel,
    api.SetTimer: _write_set_timer,
    api.Probe: _write_probe,
    api.Subscribe: _write_subscribe,
}


def _encode_record(code: int, fields: bytes) -> bytes:
    return RECORD_HEADER.pack(code, len(fields)) + fields


def encode_action(instance: int, action: api.Action) -> bytes:
    """Encodes one action as a record."""
    return _encode_record(*_ACTIONS[type(action)](instance, action))


def encode_instance_failed(instance: int, text: str) -> bytes:
    """Encodes the record that reports an exception in an instance's router; long texts are truncated."""
    data = text.encode()[:MAX_TEXT_BYTES]
    return _encode_record(INSTANCE_FAILED, struct.pack("<IH", instance, len(data)) + data)


def encode_reply(number: int, records: bytes) -> bytes:
    """Encodes the reply frame to the batch with this number."""
    return BATCH_HEADER.pack(number, len(records)) + records
