"""Networks that the operator named, looked up by the longest prefix that holds an address."""

from __future__ import annotations

import ipaddress
from typing import Generic, TypeVar

from zincladder.admission.model import BITS, V4

T = TypeVar("T")


class NetworkMap(Generic[T]):
    """A map from networks to values; a look-up costs one dict probe for each prefix length in use."""

    def __init__(self) -> None:
        self._by_length: dict[int, list[tuple[int, dict[int, T]]]] = {4: [], 6: []}

    def put(self, net: str, value: T) -> None:
        """Adds or replaces a network, '10.0.0.0/8' or '2001:db8::/32'; a bare address is a network of one.

        An IPv6 network may not be longer than /64, the unit by which sources are told apart. ValueError where
        the text is no network.
        """
        network = ipaddress.ip_network(net)
        length = network.prefixlen
        if network.version == 6 and length > 64:
            raise ValueError(f"an IPv6 network is /64 at the longest, not /{length}")
        rows = self._by_length[network.version]
        shift = network.max_prefixlen - length
        for bits, row in rows:
            if bits == length:
                row[int(network.network_address) >> shift] = value
                return
        rows.append((length, {int(network.network_address) >> shift: value}))
        rows.sort(key=lambda pair: -pair[0])

    def drop(self, net: str) -> bool:
        """Takes a network out; False if it was not in."""
        network = ipaddress.ip_network(net)
        shift = network.max_prefixlen - network.prefixlen
        for bits, row in self._by_length[network.version]:
            if bits == network.prefixlen:
                return row.pop(int(network.network_address) >> shift, None) is not None
        return False

    def find(self, key: int) -> T | None:
        """The value of the longest network that holds an address or network given as a source's key."""
        have = BITS[key & 0xFF]
        value = key >> 8
        for bits, row in self._by_length[4 if key & 0xFF in (V4, V4 + 1, V4 + 2) else 6]:
            if bits <= have:
                found = row.get(value >> have - bits)
                if found is not None:
                    return found
        return None

    def __len__(self) -> int:
        return sum(len(row) for rows in self._by_length.values() for _, row in rows)
