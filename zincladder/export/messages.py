"""Remote write messages, built at run time from the field numbers of the specifications, without protoc.

Version 2.0 has the message `io.prometheus.write.v2.Request`, 1.0 has `prometheus.WriteRequest`. A batch is
encoded and stored as 2.0. For a receiver that supports only 1.0 it is converted when it is sent.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

import cramjam
from google.protobuf import descriptor_pb2, descriptor_pool, message_factory
from google.protobuf.message import DecodeError

from zincladder.metrics.exposition import Sample

_Descriptor = descriptor_pb2.FieldDescriptorProto


@dataclass(frozen=True, slots=True)
class _Field:
    """A field of a message, as defined by the specification."""

    name: str
    number: int
    type: int
    repeated: bool = False
    message: str = ""  # the name of the message type, if `type` is TYPE_MESSAGE


_V1: dict[str, tuple[_Field, ...]] = {
    "Label": (
        _Field("name", 1, _Descriptor.TYPE_STRING),
        _Field("value", 2, _Descriptor.TYPE_STRING),
    ),
    "Sample": (
        _Field("value", 1, _Descriptor.TYPE_DOUBLE),
        _Field("timestamp", 2, _Descriptor.TYPE_INT64),
    ),
    "TimeSeries": (
        _Field("labels", 1, _Descriptor.TYPE_MESSAGE, repeated=True, message="Label"),
        _Field("samples", 2, _Descriptor.TYPE_MESSAGE, repeated=True, message="Sample"),
    ),
    "WriteRequest": (_Field("timeseries", 1, _Descriptor.TYPE_MESSAGE, repeated=True, message="TimeSeries"),),
}
_V2: dict[str, tuple[_Field, ...]] = {
    "Sample": (
        _Field("value", 1, _Descriptor.TYPE_DOUBLE),
        _Field("timestamp", 2, _Descriptor.TYPE_INT64),
    ),
    "Metadata": (
        _Field("type", 1, _Descriptor.TYPE_INT32),  # an enum, which is encoded as a varint too
        _Field("help_ref", 3, _Descriptor.TYPE_UINT32),
        _Field("unit_ref", 4, _Descriptor.TYPE_UINT32),
    ),
    "TimeSeries": (
        _Field("labels_refs", 1, _Descriptor.TYPE_UINT32, repeated=True),
        _Field("samples", 2, _Descriptor.TYPE_MESSAGE, repeated=True, message="Sample"),
        _Field("metadata", 5, _Descriptor.TYPE_MESSAGE, message="Metadata"),
        _Field("created_timestamp", 6, _Descriptor.TYPE_INT64),
    ),
    "Request": (
        _Field("symbols", 4, _Descriptor.TYPE_STRING, repeated=True),
        _Field("timeseries", 5, _Descriptor.TYPE_MESSAGE, repeated=True, message="TimeSeries"),
    ),
}
COUNTER, GAUGE = 1, 2  # Metadata.MetricType
V1_CONTENT_TYPE = "application/x-protobuf"
V2_CONTENT_TYPE = "application/x-protobuf;proto=io.prometheus.write.v2.Request"
V1_VERSION_HEADER, V2_VERSION_HEADER = "0.1.0", "2.0.0"


class MalformedRequestError(ValueError):
    """A payload is not a valid 2.0 request."""


@dataclass(frozen=True, slots=True)
class EncodedBatch:
    """A batch as an uncompressed 2.0 request."""

    payload: bytes
    sample_count: int


@dataclass(frozen=True, slots=True)
class PushBody:
    """The compressed body of a push, and the headers that identify its protocol."""

    body: bytes
    content_type: str
    version_header: str


def _message_classes(package: str, messages: Mapping[str, tuple[_Field, ...]]) -> dict[str, Any]:
    file = descriptor_pb2.FileDescriptorProto(name=f"{package}.proto", package=package, syntax="proto3")
    for name, fields in messages.items():
        message = file.message_type.add(name=name)
        for field in fields:
            label = _Descriptor.LABEL_REPEATED if field.repeated else _Descriptor.LABEL_OPTIONAL
            added = message.field.add(name=field.name, number=field.number, type=field.type, label=label)
            if field.message:
                added.type_name = f".{package}.{field.message}"
    pool = descriptor_pool.DescriptorPool()
    pool.Add(file)
    return {
        name: message_factory.GetMessageClass(pool.FindMessageTypeByName(f"{package}.{name}"))
        for name in messages
    }


WriteRequest = _message_classes("prometheus", _V1)["WriteRequest"]
Request = _message_classes("io.prometheus.write.v2", _V2)["Request"]


class SymbolTable:
    """The strings of one request, each once. The specification requires the empty string at index 0."""

    def __init__(self) -> None:
        self.texts: dict[str, int] = {"": 0}

    def reference(self, text: str) -> int:
        """Returns the index of a text, which is added if it is new."""
        return self.texts.setdefault(text, len(self.texts))


def encode_batch(samples: Iterable[Sample], unix_ms: int, created_ms: int) -> EncodedBatch:
    """Encodes one batch, with the labels sorted by name.

    Args:
        samples: The samples of the batch.
        unix_ms: The time of the samples, in Unix milliseconds.
        created_ms: When the counters started, in Unix milliseconds. This is the front's start for the
            counters of a front. The value 0 is not encoded, and means that the time is unknown.
    """
    request, symbols, sample_count = Request(), SymbolTable(), 0
    for sample in samples:
        series = request.timeseries.add()
        for name, value in sorted((("__name__", sample.name), *sample.labels)):
            series.labels_refs.extend((symbols.reference(name), symbols.reference(value)))
        series.samples.add(value=sample.value, timestamp=unix_ms)
        is_counter = sample.name.endswith("_total")
        series.metadata.type = COUNTER if is_counter else GAUGE
        if is_counter:
            series.created_timestamp = created_ms
        sample_count += 1
    request.symbols.extend(symbols.texts)
    return EncodedBatch(request.SerializeToString(), sample_count)


def to_v1(payload: bytes) -> bytes:
    """Converts a 2.0 request to 1.0, which has neither metric types nor creation times.

    Raises:
        MalformedRequestError: The payload is not a valid 2.0 request.
    """
    request, write_request = parse_v2(payload), WriteRequest()
    symbols = list(request.symbols)
    for series in request.timeseries:
        converted = write_request.timeseries.add()
        references = series.labels_refs
        for position in range(0, len(references), 2):
            name, value = symbols[references[position]], symbols[references[position + 1]]
            converted.labels.add(name=name, value=value)
        for sample in series.samples:
            converted.samples.add(value=sample.value, timestamp=sample.timestamp)
    return bytes(write_request.SerializeToString())


def parse_v2(payload: bytes) -> Any:
    """Parses a 2.0 request, and returns it as an instance of Request.

    Raises:
        MalformedRequestError: The payload cannot be parsed, or refers to symbols that it does not contain.
    """
    request = Request()
    try:
        request.ParseFromString(payload)
    except DecodeError as error:
        raise MalformedRequestError(f"not a 2.0 request: {error}") from None
    symbol_count = len(request.symbols)
    if symbol_count and request.symbols[0] != "":
        raise MalformedRequestError("the first symbol must be the empty string")
    for series in request.timeseries:
        references = series.labels_refs
        if len(references) % 2 or any(reference >= symbol_count for reference in references):
            raise MalformedRequestError("a label reference points to no symbol")
    return request


def push_body(payload: bytes, version: int) -> PushBody:
    """Returns the body and headers for pushing a batch with version 1 or 2 of the protocol.

    Raises:
        MalformedRequestError: The version is 1, and the payload is not a valid 2.0 request.
    """
    if version == 1:
        body = bytes(cramjam.snappy.compress_raw(to_v1(payload)))
        return PushBody(body, V1_CONTENT_TYPE, V1_VERSION_HEADER)
    return PushBody(bytes(cramjam.snappy.compress_raw(payload)), V2_CONTENT_TYPE, V2_VERSION_HEADER)
