"""Samples for the tests of the export."""

from __future__ import annotations

from zincladder.metrics.exposition import Sample

SAMPLES = [
    Sample("zincladder_answers_total", (("kind", "served"), ("front", "n0")), 3.0),
    Sample("zincladder_members", (("front", "n0"),), 4.0),
    Sample("zincladder_odd", (("front", 'quote " and\nline \\ \u00e6'),), 1.0),
]
