"""Consistent-hash rings, which select the cache and the fill source of an object. No I/O."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterator
from hashlib import md5

from zincladder.routing import interface as api

# Virtual nodes for each transfer that an endpoint's link carries; the shares of objects are then proportional
# to the links within a tenth.
VIRTUAL_NODES_PER_TRANSFER = 16
# Virtual nodes of every endpoint if no weights are listed; with only a few of them the shares would differ by
# a factor of two.
VIRTUAL_NODES_UNWEIGHTED = 128


def ring_position(data: bytes) -> int:
    """Returns the position of a key on the ring: its MD5 hash as a number."""
    return int.from_bytes(md5(data, usedforsecurity=False).digest(), "big")


class Ring:
    """A consistent-hash ring; it is the same at every router that has the same endpoints and virtual nodes.

    `virtual_nodes` is the number of virtual nodes of each endpoint.
    """

    def __init__(self, virtual_nodes: dict[api.EndpointId, int]) -> None:
        nodes = sorted(
            (ring_position(endpoint_id + number.to_bytes(4, "big")), endpoint_id)
            for endpoint_id, count in virtual_nodes.items()
            for number in range(count)
        )
        self.positions = [position for position, _ in nodes]
        self.endpoint_ids = [endpoint_id for _, endpoint_id in nodes]
        self.ids = virtual_nodes.keys()

    def walk(self, position: int) -> Iterator[api.EndpointId]:
        """Yields each endpoint once, in the order of preference of an object at `position`.

        The first is the endpoint of the virtual node at or before the position; then follow those of the
        nodes before it, and around the ring.
        """
        start = bisect_right(self.positions, position) - 1
        yielded: api.EndpointIds = set()
        for step in range(len(self.endpoint_ids)):
            endpoint_id = self.endpoint_ids[start - step]
            if endpoint_id not in yielded:
                yielded.add(endpoint_id)
                yield endpoint_id
