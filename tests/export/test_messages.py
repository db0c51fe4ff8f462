"""Tests remote-write messages: one batch in both protocol versions, and malformed payloads."""

from __future__ import annotations

import pytest

from tests.export.samples import SAMPLES
from zincladder.export import messages


def test_a_batch_has_the_same_content_in_both_protocol_versions() -> None:
    batch = messages.encode_batch(SAMPLES, 1_764_576_000_123, 1_764_570_000_000)
    payload, count = batch.payload, batch.sample_count
    request = messages.parse_v2(payload)
    symbols = list(request.symbols)
    assert count == 3 and symbols[0] == "" and len(symbols) == len(set(symbols))
    labels = [[symbols[ref] for ref in series.labels_refs] for series in request.timeseries]
    assert labels[0] == ["__name__", "zincladder_answers_total", "front", "n0", "kind", "served"]
    assert [s.metadata.type for s in request.timeseries] == [messages.COUNTER, messages.GAUGE, messages.GAUGE]
    assert request.timeseries[0].created_timestamp == 1_764_570_000_000
    v1_request = messages.WriteRequest()
    v1_request.ParseFromString(messages.to_v1(payload))
    assert [
        [t for pair in s.labels for t in (pair.name, pair.value)] for s in v1_request.timeseries
    ] == labels
    assert [s.samples[0].value for s in v1_request.timeseries] == [3.0, 4.0, 1.0]
    for malformed in (b"\xff\xff", payload[:-3]):
        with pytest.raises(ValueError):
            messages.to_v1(malformed)
    request.timeseries[0].labels_refs[0] = 99
    with pytest.raises(ValueError, match="no symbol"):
        messages.to_v1(request.SerializeToString())
