"""The messages of remote write: one batch in both protocols, and what is none."""

from __future__ import annotations

import pytest

from tests.export.samples import SAMPLES
from zincladder.export import messages


def test_a_batch_says_the_same_in_both_protocols() -> None:
    batch = messages.encode_batch(SAMPLES, 1_764_576_000_123, 1_764_570_000_000)
    payload, count = batch.payload, batch.sample_count
    request = messages.parse_v2(payload)
    symbols = list(request.symbols)
    assert count == 3 and symbols[0] == "" and len(symbols) == len(set(symbols))
    names = [[symbols[ref] for ref in series.labels_refs] for series in request.timeseries]
    assert names[0] == ["__name__", "zincladder_answers_total", "front", "n0", "kind", "served"]
    assert [s.metadata.type for s in request.timeseries] == [messages.COUNTER, messages.GAUGE, messages.GAUGE]
    assert request.timeseries[0].created_timestamp == 1_764_570_000_000
    old = messages.WriteRequest()
    old.ParseFromString(messages.to_v1(payload))
    assert [[t for pair in s.labels for t in (pair.name, pair.value)] for s in old.timeseries] == names
    assert [s.samples[0].value for s in old.timeseries] == [3.0, 4.0, 1.0]
    for bad in (b"\xff\xff", payload[:-3]):
        with pytest.raises(ValueError):
            messages.to_v1(bad)
    request.timeseries[0].labels_refs[0] = 99
    with pytest.raises(ValueError, match="no symbol"):
        messages.to_v1(request.SerializeToString())
