"""The consistent-hash rings that pick an object's cache and its fill source. No I/O."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterator
from hashlib import md5

from zincladder.routing import interface as api

# Virtual nodes for each transfer that an endpoint's link fits: shares follow the links within a tenth.
VIRTUAL_NODES_PER_TRANSFER = 16
# Virtual nodes of every endpoint where no weights are listed; with few of them shares differ by a factor of
# two.
VIRTUAL_NODES_UNWEIGHTED = 128


def ring_position(data: bytes) -> int:
    """A position on the MD5 range."""
    return int.from_bytes(md5(data, usedforsecurity=False).digest(), "big")


class Ring:
    """A consistent-hash ring; the same endpoints with the same points give the same ring at every router.

    `virtual_nodes` gives the number of points of each endpoint.
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
        """The endpoints in the order in which an object prefers them, each once, from its own on down."""
        start = bisect_right(self.positions, position) - 1
        yielded: api.EndpointIds = set()
        for step in range(len(self.endpoint_ids)):
            endpoint_id = self.endpoint_ids[start - step]
            if endpoint_id not in yielded:
                yielded.add(endpoint_id)
                yield endpoint_id
