"""The configuration of a front that uses stub caches and a stub coordinator."""

from __future__ import annotations

from typing import Any

from tests.support.stub_cache import MODELS, ZONES

KEY = "7f3a9c21e0b4d655"

SETTINGS: dict[str, Any] = {
    "az": 1,
    "categories": [
        {"name": "video", "onTime": 0.5, "deadline": 6.0, "effect": "idempotent", "aimStretch": 2.0},
        {"name": "page", "onTime": 0.3, "deadline": 2.5, "effect": "idempotent"},
        {"name": "booking", "onTime": 0.8, "deadline": 3.0, "effect": "at_most_once"},
    ],
    "ceilings": {
        "attemptsCap": 8,
        "mayCancel": True,
        "connectTimeout": 0.4,
        "probes": True,
        "maxRetryAfter": 1.0,
        "idleClose": 30.0,
        "streamsPerConn": 100,
    },
    "domain": {
        "freshFor": [0.0, 8.0, 0.0],
        "usableAfter": [0.0, 30.0, 0.0],
        "goneEverywhere": 6.0,
        "neverKept": [False, False, True],
        "mayPassBy": True,
        "midKind": 1,
        "originKind": 2,
        "seatsByZone": [0, 1],
        "mergesFills": True,
        "peersFill": "location",
        "noticeTime": 1.0,
    },
    "invariants": {"drainGrace": 0.5, "coldFrom": 0.3, "warmUp": 18.0, "fallMultiple": 3.0},
    "models": MODELS,
    "zones": ZONES,
    "report": {"how": "on_probe", "names": ["busy", "rif", "x1"]},
}


def configuration(endpoints: list[dict[str, Any]], coordinator: int = 0, **more: Any) -> dict[str, Any]:
    """Returns the configuration of a front that listens on a port chosen by the system."""
    lists = {"index": 1, "snapshot": True, "endpoints": endpoints}
    data = {"name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "settings": SETTINGS,
            "known": {"index": 1, "updates": [{"index": 1, "endpoints": lists}]}, **more}  # fmt: skip
    return data | ({"coordinator": f"127.0.0.1:{coordinator}"} if coordinator else {})


DNS_HOSTS = [
    {"name": "booking.main.example.org", "class": "booking"},
    {"name": "papers.main.example.org", "class": "page", "object": KEY},
]
DNS = {"listen": "127.0.0.1:0", "zone": "main.example.org", "host": DNS_HOSTS}
