"""DNS under admission by source: a rate over UDP, a cap over TCP."""

from __future__ import annotations

import socket

import anyio
import dns.flags
import dns.message
import pytest

from tests.support.front_world import world
from tests.support.resolver import Resolver
from tests.support.stub_cache import serve

pytestmark = pytest.mark.anyio


async def test_dns_over_udp_is_limited_and_leads_to_tcp_which_has_a_cap() -> None:
    limits = {"dns_rate": 1.0, "dns_burst": 4, "dns_per_address": 2}
    async with world(serve, operator={"admission": limits}) as w:
        assert w.listening.dns
        query = dns.message.make_query("papers.main.example.org", "A").to_wire()
        async with await anyio.create_connected_udp_socket(*w.listening.dns) as udp:
            for _ in range(40):
                await udp.send(query)
            answers = []
            with anyio.move_on_after(1.0):
                while True:
                    answers.append(dns.message.from_wire(await udp.receive()))
        cut = [a for a in answers if a.flags & dns.flags.TC]
        assert 4 <= len(answers) - len(cut) <= 6 and 10 <= len(cut) <= 13 and not any(a.answer for a in cut)
        open_now = [socket.create_connection(w.listening.dns) for _ in range(2)]
        await anyio.sleep(0.1)
        third = socket.create_connection(w.listening.dns)
        third.settimeout(2)
        with pytest.raises(ConnectionResetError):
            assert not await anyio.to_thread.run_sync(third.recv, 1)
            raise ConnectionResetError
        open_now[0].sendall(len(query).to_bytes(2, "big") + query)
        open_now[0].settimeout(2)
        assert await anyio.to_thread.run_sync(open_now[0].recv, 512)
        for sock in (*open_now, third):
            sock.close()
        assert (await Resolver(w.listening.dns).raw(query))[2] & 0x82  # over its rate still: cut short again
