"""The bounded table of sources."""

from __future__ import annotations

from tests.support.admission import admit, become_known, lane_of, source_admission
from zincladder.admission.model import PriorityLane


def test_addresses_seen_once_do_not_replace_known_sources() -> None:
    admission = source_admission(max_sources=256)
    known_hosts = [f"192.0.2.{i}" for i in range(40)]
    now = 0.0
    for host in known_hosts:
        now = become_known(admission, host, now)
    for i in range(20_000):
        now += 0.001
        slot = admit(admission, f"10.{i >> 16}.{i >> 8 & 255}.{i & 255}", now)
        if slot:
            admission.release_slot(slot, now)
        assert len(admission.sources) <= 256
    assert [lane_of(admission, host, now) for host in known_hosts] == [PriorityLane.KNOWN] * 40
