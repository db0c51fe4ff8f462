"""Admission by source for DNS: a query rate over UDP, and a connection limit over TCP."""

from __future__ import annotations

import socket

import anyio
import dns.flags
import dns.message
import pytest

from tests.support.front_world import running_front
from tests.support.resolver import Resolver
from tests.support.stub_cache import serve

pytestmark = pytest.mark.anyio


async def test_udp_queries_over_the_rate_are_truncated_and_tcp_connections_are_limited() -> None:
    limits = {"dns_rate": 1.0, "dns_burst": 4, "dns_per_address": 2}
    async with running_front(serve, operator={"admission": limits}) as front:
        assert front.listening.dns
        query = dns.message.make_query("papers.main.example.org", "A").to_wire()
        async with await anyio.create_connected_udp_socket(*front.listening.dns) as udp:
            for _ in range(40):
                await udp.send(query)
            answers = []
            with anyio.move_on_after(1.0):
                while True:
                    answers.append(dns.message.from_wire(await udp.receive()))
        truncated = [a for a in answers if a.flags & dns.flags.TC]
        assert (
            4 <= len(answers) - len(truncated) <= 6
            and 10 <= len(truncated) <= 13
            and not any(a.answer for a in truncated)
        )
        connections = [socket.create_connection(front.listening.dns) for _ in range(2)]
        await anyio.sleep(0.1)
        third = socket.create_connection(front.listening.dns)
        third.settimeout(2)
        with pytest.raises(ConnectionResetError):
            assert not await anyio.to_thread.run_sync(third.recv, 1)
            raise ConnectionResetError
        connections[0].sendall(len(query).to_bytes(2, "big") + query)
        connections[0].settimeout(2)
        assert await anyio.to_thread.run_sync(connections[0].recv, 512)
        for sock in (*connections, third):
            sock.close()
        assert (await Resolver(front.listening.dns).raw(query))[2] & 0x82  # still over the rate: truncated
