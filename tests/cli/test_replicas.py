"""Tests the JSON output of `zincladder replicas status`, which scripts read."""

from __future__ import annotations

from zincladder.cli.replicas import json_row
from zincladder.consensus.rpc import ReplicaStatus


def test_the_json_output_of_a_status_keeps_its_keys() -> None:
    voters, learners = {"k1": "127.0.0.1:7301"}, {"k4": "127.0.0.1:7304"}
    status = ReplicaStatus(
        "k1", "leader", "k1", 4, 20, 21, 5, voters, learners, {"k2": 20}, ["k3"], ["k5"], 12, 4096
    )
    assert list(json_row(status).items()) == [
        ("name", "k1"),
        ("role", "leader"),
        ("leader", "k1"),
        ("term", 4),
        ("commit", 20),
        ("last", 21),
        ("base", 5),
        ("voters", voters),
        ("learners", learners),
        ("stored", {"k2": 20}),
        ("silent", ["k3"]),
        ("older", ["k5"]),
        ("registers", 12),
        ("bytes_kept", 4096),
    ]
    assert json_row("no answer") == {"error": "no answer"}
