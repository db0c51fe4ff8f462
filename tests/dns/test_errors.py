"""Tests that an error over one query ends neither the DNS front nor other connections."""

from __future__ import annotations

import anyio
import dns.message
import pytest

from tests.support.front_world import running_front
from tests.support.stub_cache import serve
from zincladder.dns.answers import DnsResponder

pytestmark = pytest.mark.anyio
QUERY = dns.message.make_query("papers.main.example.org", "A").to_wire()


def fail(*args: object) -> bytes:
    raise ZeroDivisionError("a fault in the handling of a query")


async def test_an_error_over_one_query_ends_no_front(monkeypatch: pytest.MonkeyPatch) -> None:
    limits = {"dns_rate": 1.0, "dns_burst": 1}
    async with running_front(serve, operator={"admission": limits}) as front:
        assert front.listening.dns
        with monkeypatch.context() as failing:
            failing.setattr(DnsResponder, "truncated", fail)
            failing.setattr(DnsResponder, "respond", fail)
            async with await anyio.create_connected_udp_socket(*front.listening.dns) as udp:
                for _ in range(20):
                    await udp.send(QUERY)
            async with await anyio.connect_tcp(*front.listening.dns) as stream:
                await stream.send(len(QUERY).to_bytes(2, "big") + QUERY)
                with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                    await stream.receive()
        # A response that the two bytes of its length cannot hold ends its connection alone.
        with monkeypatch.context() as failing:
            failing.setattr(DnsResponder, "respond", lambda *args: bytes(1 << 17))
            async with await anyio.connect_tcp(*front.listening.dns) as stream:
                await stream.send(len(QUERY).to_bytes(2, "big") + QUERY)
                with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                    await stream.receive()
        async with await anyio.connect_tcp(*front.listening.dns) as stream:
            await stream.send(len(QUERY).to_bytes(2, "big") + QUERY)
            assert (await stream.receive())[2:4] == QUERY[:2]
