"""Networks that the operator named, looked up by the longest prefix that contains an address."""

from __future__ import annotations

import ipaddress
from typing import Generic, TypeVar

from zincladder.admission.source_key import KIND_BITS, KIND_MASK, PREFIX_LENGTH, V4_KINDS

MAX_IPV6_PREFIX = 64  # sources are distinguished by /64
T = TypeVar("T")


class NetworkMap(Generic[T]):
    """A map from networks to values; a look-up costs one dict probe for each prefix length in use."""

    def __init__(self) -> None:
        # By IP version: prefix lengths, longest first, each with its values by prefix.
        self._by_version: dict[int, list[tuple[int, dict[int, T]]]] = {4: [], 6: []}

    def put(self, net: str, value: T) -> None:
        """Add or replace a network, '10.0.0.0/8' or '2001:db8::/32'; a bare address is a network of one.

        Raises:
            ValueError: `net` is no network, or an IPv6 network longer than /64.
        """
        network = ipaddress.ip_network(net)
        length = network.prefixlen
        if network.version == 6 and length > MAX_IPV6_PREFIX:
            raise ValueError(f"an IPv6 network is /64 at the longest, not /{length}")
        by_length = self._by_version[network.version]
        prefix = int(network.network_address) >> network.max_prefixlen - length
        for present, values in by_length:
            if present == length:
                values[prefix] = value
                return
        by_length.append((length, {prefix: value}))
        by_length.sort(key=lambda pair: -pair[0])

    def drop(self, net: str) -> bool:
        """Remove a network; False if it was not in the map."""
        network = ipaddress.ip_network(net)
        prefix = int(network.network_address) >> network.max_prefixlen - network.prefixlen
        for length, values in self._by_version[network.version]:
            if length == network.prefixlen:
                return values.pop(prefix, None) is not None
        return False

    def find(self, key: int) -> T | None:
        """The value of the longest network that contains an address or network, given as a source's key."""
        kind = key & KIND_MASK
        key_length, bits = PREFIX_LENGTH[kind], key >> KIND_BITS
        for length, values in self._by_version[4 if kind in V4_KINDS else 6]:
            if length <= key_length:
                value = values.get(bits >> key_length - length)
                if value is not None:
                    return value
        return None

    def __len__(self) -> int:
        return sum(len(values) for rows in self._by_version.values() for _, values in rows)
