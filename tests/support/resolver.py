"""A caching resolver that asks the front over UDP."""

from __future__ import annotations

import time
from collections import Counter

import anyio
import dns.message
import dns.rdatatype


class Resolver:
    """A caching resolver that queries over UDP, and keeps each answer for its TTL but at least `least_ttl`.

    `asked` counts the queries sent for each name.
    """

    def __init__(self, address: tuple[str, int], least_ttl: float = 0.0) -> None:
        self._address, self._least_ttl = address, least_ttl
        self._cached: dict[tuple[str, str], tuple[float, dns.message.Message]] = {}
        self.asked: Counter[str] = Counter()

    async def query(self, name: str, kind: str = "") -> dns.message.Message:
        kind = kind or ("SRV" if name.startswith("_") else "A")
        expires_at, cached = self._cached.get((name, kind), (0.0, None))
        if cached is not None and time.monotonic() < expires_at:
            return cached
        self.asked[name] += 1
        query = dns.message.make_query(name, kind)
        answer = dns.message.from_wire(await self.raw(query.to_wire()))
        assert answer.id == query.id
        ttl = max(self._least_ttl, min((rr.ttl for rr in answer.answer), default=0))
        self._cached[name, kind] = (time.monotonic() + ttl, answer)
        return answer

    async def raw(self, data: bytes) -> bytes:
        async with await anyio.create_connected_udp_socket(*self._address) as udp:
            await udp.send(data)
            with anyio.fail_after(3):
                return await udp.receive()


def places(answer: dns.message.Message) -> list[tuple[str, int]]:
    """Returns every pair of an address and a port in the answer to an SRV query."""
    hosts = [rd.address for rr in answer.additional if rr.rdtype == dns.rdatatype.A for rd in rr]
    ports = [rd.port for rr in answer.answer if rr.rdtype == dns.rdatatype.SRV for rd in rr]
    return [(host, port) for host in hosts for port in ports]
