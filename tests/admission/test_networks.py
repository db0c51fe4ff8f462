"""Longest-prefix matching of networks."""

from __future__ import annotations

import pytest

from zincladder.admission.networks import NetworkMap
from zincladder.admission.source_key import key_of


def test_networks_are_found_by_their_longest_prefix() -> None:
    found: NetworkMap[str] = NetworkMap()
    for net in ("10.0.0.0/8", "10.1.0.0/16", "10.1.2.3", "2001:db8::/32", "2001:db8:1::/64"):
        found.put(net, net)
    hosts = {"10.9.9.9": "10.0.0.0/8", "10.1.9.9": "10.1.0.0/16", "10.1.2.3": "10.1.2.3", "11.0.0.1": None,
             "2001:db8:9::1": "2001:db8::/32", "2001:db8:1::9": "2001:db8:1::/64"}  # fmt: skip
    assert {host: found.find(key_of(host)) for host in hosts} == hosts
    assert found.drop("10.1.0.0/16") and not found.drop("10.1.0.0/16")
    assert found.find(key_of("10.1.9.9")) == "10.0.0.0/8"
    for bad in ("10.0.0.1/8", "x", "2001:db8::/65"):
        with pytest.raises(ValueError):
            found.put(bad, bad)
