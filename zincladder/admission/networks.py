"""A map from IP networks to values with longest-prefix matching."""

from __future__ import annotations

import ipaddress
from typing import Generic, TypeVar

from zincladder.admission.source_key import KIND_BITS, KIND_MASK, PREFIX_LENGTH, V4_KINDS

MAX_IPV6_PREFIX = 64  # all addresses of a /64 are one source
T = TypeVar("T")


class NetworkMap(Generic[T]):
    """A map from networks to values; a look-up takes one dict access for each prefix length in use."""

    def __init__(self) -> None:
        # For each IP version, the prefix lengths in use, longest first, each with a dict of values by prefix.
        self._by_version: dict[int, list[tuple[int, dict[int, T]]]] = {4: [], 6: []}

    def put(self, net: str, value: T) -> None:
        """Set the value of a network such as '10.0.0.0/8' or '2001:db8::/32', or of a single address.

        Raises:
            ValueError: `net` is not a network, or is an IPv6 network with a prefix longer than /64.
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
        """Remove a network; return False if it was not in the map."""
        network = ipaddress.ip_network(net)
        prefix = int(network.network_address) >> network.max_prefixlen - network.prefixlen
        for length, values in self._by_version[network.version]:
            if length == network.prefixlen:
                return values.pop(prefix, None) is not None
        return False

    def find(self, key: int) -> T | None:
        """Return the value of the longest network that contains a source key; None if there is none."""
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
