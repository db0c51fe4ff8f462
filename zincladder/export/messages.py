"""Remote write messages, from the field numbers of the published specifications, built without a compiler.

2.0 is `io.prometheus.write.v2.Request`, 1.0 is `prometheus.WriteRequest`. A batch is made and kept as 2.0;
for a receiver that knows only 1.0 it is turned into that when it is sent.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

import cramjam
from google.protobuf import descriptor_pb2, descriptor_pool, message_factory
from google.protobuf.message import DecodeError

from zincladder.metrics.exposition import Sample

_K = descriptor_pb2.FieldDescriptorProto
_Field = tuple[
    str, int, int, str
]  # name, number, type, and what it repeats: a message's name, '[]' or nothing
_V1: dict[str, tuple[_Field, ...]] = {
    "Label": (("name", 1, _K.TYPE_STRING, ""), ("value", 2, _K.TYPE_STRING, "")),
    "Sample": (("value", 1, _K.TYPE_DOUBLE, ""), ("timestamp", 2, _K.TYPE_INT64, "")),
    "TimeSeries": (
        ("labels", 1, _K.TYPE_MESSAGE, "Label"),
        ("samples", 2, _K.TYPE_MESSAGE, "Sample"),
    ),
    "WriteRequest": (("timeseries", 1, _K.TYPE_MESSAGE, "TimeSeries"),),
}
_V2: dict[str, tuple[_Field, ...]] = {
    "Sample": (("value", 1, _K.TYPE_DOUBLE, ""), ("timestamp", 2, _K.TYPE_INT64, "")),
    "Metadata": (
        ("type", 1, _K.TYPE_INT32, ""),  # an enum on the wire is a varint
        ("help_ref", 3, _K.TYPE_UINT32, ""),
        ("unit_ref", 4, _K.TYPE_UINT32, ""),
    ),
    "TimeSeries": (
        ("labels_refs", 1, _K.TYPE_UINT32, "[]"),
        ("samples", 2, _K.TYPE_MESSAGE, "Sample"),
        ("metadata", 5, _K.TYPE_MESSAGE, ".Metadata"),
        ("created_timestamp", 6, _K.TYPE_INT64, ""),
    ),
    "Request": (
        ("symbols", 4, _K.TYPE_STRING, "[]"),
        ("timeseries", 5, _K.TYPE_MESSAGE, "TimeSeries"),
    ),
}
COUNTER, GAUGE = 1, 2  # Metadata.MetricType
V1_TYPE = "application/x-protobuf"
V2_TYPE = "application/x-protobuf;proto=io.prometheus.write.v2.Request"


def _classes(package: str, shapes: Mapping[str, tuple[_Field, ...]]) -> dict[str, Any]:
    file = descriptor_pb2.FileDescriptorProto(name=f"{package}.proto", package=package, syntax="proto3")
    for name, fields in shapes.items():
        message = file.message_type.add(name=name)
        for field, number, kind, of in fields:
            many = bool(of) and not of.startswith(".")
            label = _K.LABEL_REPEATED if many else _K.LABEL_OPTIONAL
            added = message.field.add(name=field, number=number, type=kind, label=label)
            if of not in ("", "[]"):
                added.type_name = f".{package}.{of.lstrip('.')}"
    pool = descriptor_pool.DescriptorPool()
    pool.Add(file)
    return {n: message_factory.GetMessageClass(pool.FindMessageTypeByName(f"{package}.{n}")) for n in shapes}


WriteRequest = _classes("prometheus", _V1)["WriteRequest"]
Request = _classes("io.prometheus.write.v2", _V2)["Request"]


class Symbols:
    """The table of texts of one request: each text once, the empty one first, as the specification has it."""

    def __init__(self) -> None:
        self.texts: dict[str, int] = {"": 0}

    def ref(self, text: str) -> int:
        return self.texts.setdefault(text, len(self.texts))


def batch(samples: Iterable[Sample], unix_ms: int, created_ms: int) -> tuple[bytes, int]:
    """One batch as a 2.0 request, not compressed, and how many samples are in it.

    Labels are in the order of their names. `created_ms` is when the counters began: the front's start.
    """
    request, symbols, count = Request(), Symbols(), 0
    for sample in samples:
        series = request.timeseries.add()
        for name, value in sorted((("__name__", sample.name), *sample.labels)):
            series.labels_refs.extend((symbols.ref(name), symbols.ref(value)))
        series.samples.add(value=sample.value, timestamp=unix_ms)
        counter = sample.name.endswith("_total")
        series.metadata.type = COUNTER if counter else GAUGE
        if counter:
            series.created_timestamp = created_ms
        count += 1
    request.symbols.extend(symbols.texts)
    return request.SerializeToString(), count


def to_v1(data: bytes) -> bytes:
    """A 2.0 request as one of 1.0, which knows neither kinds nor created times. ValueError if it is none."""
    request, old = parse_v2(data), WriteRequest()
    symbols = list(request.symbols)
    for series in request.timeseries:
        added = old.timeseries.add()
        refs = series.labels_refs
        for i in range(0, len(refs), 2):
            added.labels.add(name=symbols[refs[i]], value=symbols[refs[i + 1]])
        for sample in series.samples:
            added.samples.add(value=sample.value, timestamp=sample.timestamp)
    return bytes(old.SerializeToString())


def parse_v2(data: bytes) -> Any:
    """A 2.0 request, checked: ValueError where it can't be read or refers to texts that are not there."""
    request = Request()
    try:
        request.ParseFromString(data)
    except DecodeError as fault:
        raise ValueError(f"not a 2.0 request: {fault}") from None
    symbols = len(request.symbols)
    if symbols and request.symbols[0] != "":
        raise ValueError("the first symbol must be the empty text")
    for series in request.timeseries:
        refs = series.labels_refs
        if len(refs) % 2 or any(ref >= symbols for ref in refs):
            raise ValueError("labels that refer to no symbol")
    return request


def on_the_wire(data: bytes, version: int) -> tuple[bytes, str, str]:
    """A kept batch as a push: the compressed body, its content type and the version header's value."""
    if version == 1:
        return bytes(cramjam.snappy.compress_raw(to_v1(data))), V1_TYPE, "0.1.0"
    return bytes(cramjam.snappy.compress_raw(data)), V2_TYPE, "2.0.0"
