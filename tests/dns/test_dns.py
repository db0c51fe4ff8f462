"""Tests the DNS front: routed answers over UDP and TCP, also to clients behind a caching resolver."""

from __future__ import annotations

import struct
import time
from collections import Counter

import anyio
import dns.flags
import dns.message
import dns.rcode
import pytest

from tests.support.front_world import RunningFront, running_front
from tests.support.resolver import Resolver, places
from tests.support.routing import FLEET, settings
from tests.support.scripted_transport import ScriptedTransport
from tests.support.stub_cache import Fetch, StubCache, serve
from zincladder.config import DnsConfig, DnsHost
from zincladder.core.engine import Core
from zincladder.dns.answers import DnsResponder
from zincladder.routing import interface as api

pytestmark = pytest.mark.anyio
PAPERS, BOOKING = "_rpc._tcp.papers.main.example.org", "_rpc._tcp.booking.main.example.org"
DRAIN_DEADLINE_SECONDS = 0.5  # after the coordinator has announced the drain


def resolver(front: RunningFront, **options: float) -> Resolver:
    assert front.listening.dns
    return Resolver(front.listening.dns, **options)


@pytest.mark.parametrize("state", [1, 2], ids=["draining", "gone"])
async def test_a_drained_cache_is_not_returned_after_the_deadline(state: int) -> None:
    # With a TTL above 0, a caching resolver would still return the drained cache (rule 3).
    async with running_front(serve, serve, serve) as front:
        client = resolver(front)
        (first_address,) = places(await client.query(PAPERS))
        (drained,) = [c for c in front.caches if c.port == first_address[1]]
        await front.coordinator.tell(2, drained.record(state))
        drained_at, answers_by_time = time.monotonic(), Counter[str]()
        while time.monotonic() < drained_at + DRAIN_DEADLINE_SECONDS + 0.2:
            (address,) = places(await client.query(PAPERS))
            answers_by_time[
                "late" if time.monotonic() > drained_at + DRAIN_DEADLINE_SECONDS else "early",  # type: ignore[index]
                address == first_address,
            ] += 1
        assert answers_by_time["late", True] == 0 < answers_by_time["late", False]  # type: ignore[index]


async def test_a_resolver_that_ignores_a_ttl_of_0_still_returns_a_drained_cache() -> None:
    # Shows that the test above can find late answers, and why the plug-in queries the front directly.
    async with running_front(serve, serve, serve) as front:
        caching_resolver, direct_resolver = resolver(front, least_ttl=30.0), resolver(front)
        (first_address,) = places(await caching_resolver.query(PAPERS))
        (drained,) = [c for c in front.caches if c.port == first_address[1]]
        await front.coordinator.tell(2, drained.record(1))
        with anyio.fail_after(5):
            while places(await direct_resolver.query(PAPERS)) == [first_address]:
                await anyio.sleep(0.005)
        assert (
            places(await caching_resolver.query(PAPERS)) == [first_address]
            and caching_resolver.asked[PAPERS] == 1
        )


async def test_a_write_gets_one_address_and_runs_once_even_if_its_answer_is_lost() -> None:
    runs: Counter[str] = Counter()

    async def run_and_close(_: StubCache, fetch: Fetch) -> None:
        runs[fetch.name] += 1
        await fetch.stream.aclose()

    async with running_front(serve, serve, origin=run_and_close) as front:
        client = resolver(front)
        for n in range(20):
            answer = await client.query(BOOKING)
            ((host, port),) = places(answer)
            assert port == front.caches[-1].port and len(answer.answer) == len(answer.additional) == 1
            async with await anyio.connect_tcp(host, port) as stream:
                await stream.send(f"fetch {n:016x} cls=booking,limit=900 2\r\nhi\r\n".encode())
                with pytest.raises(anyio.EndOfStream):  # it may have run: the client must not retry
                    await stream.receive()
        assert len(runs) == 20 and max(runs.values()) == 1


@pytest.mark.parametrize(
    ("name", "kind", "code", "count"),
    [
        ("papers.main.example.org", "A", dns.rcode.NOERROR, 1),
        ("PAPERS.main.EXAMPLE.org", "A", dns.rcode.NOERROR, 1),
        ("papers.main.example.org", "AAAA", dns.rcode.NOERROR, 0),
        ("papers.main.example.org", "TXT", dns.rcode.NOERROR, 0),
        ("_tcp.papers.main.example.org", "A", dns.rcode.NOERROR, 0),
        (PAPERS, "A", dns.rcode.NOERROR, 0),
        ("main.example.org", "SOA", dns.rcode.NOERROR, 1),
        ("nobody.main.example.org", "A", dns.rcode.NXDOMAIN, 0),
        ("main.example.com", "A", dns.rcode.REFUSED, 0),
        (".", "NS", dns.rcode.REFUSED, 0),
    ],
)
async def test_each_kind_of_name_and_type_gets_its_response_code(
    name: str, kind: str, code: int, count: int
) -> None:
    async with running_front(serve) as front:
        answer = await resolver(front).query(name, kind)
        assert (answer.rcode(), len(answer.answer)) == (code, count)
        assert all(rr.ttl == 0 for rr in (*answer.answer, *answer.additional, *answer.authority))
        assert bool(answer.authority) == (code != dns.rcode.REFUSED and not count)


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (b"\x12\x34\x01\x00\x00\x01\x00\x00\x00\x00\x00\x00\xc0", dns.rcode.FORMERR),
        (b"\x12\x34\x01\x00" + bytes(8), dns.rcode.FORMERR),
        (b"\x12\x34\x01\x00" + b"\xff" * 40, dns.rcode.FORMERR),
        (b"\x12\x34\x20\x00\x00\x01" + bytes(6) + b"\0\0\1\0\1", dns.rcode.NOTIMP),
        (
            dns.message.make_query("papers.main.example.org", "A", use_edns=1, id=0x1234).to_wire(),
            dns.rcode.BADVERS,
        ),
    ],
)
async def test_a_malformed_or_unsupported_query_gets_an_error_and_the_front_keeps_serving(
    data: bytes, code: int
) -> None:
    async with running_front(serve) as front:
        client = resolver(front)
        response = dns.message.from_wire(await client.raw(data))
        assert response.rcode() == code and response.id == int.from_bytes(data[:2], "big")
        assert (await client.query("papers.main.example.org")).answer


async def test_a_query_gets_servfail_at_once_if_no_endpoint_is_left() -> None:
    async with running_front(serve) as front:
        client = resolver(front)
        await front.coordinator.tell(2, b"".join(c.record(2) for c in front.caches))
        with anyio.fail_after(5):
            while (answer := await client.query(PAPERS)).rcode() == dns.rcode.NOERROR:
                await anyio.sleep(0.005)
        assert answer.rcode() == dns.rcode.SERVFAIL and not answer.answer


async def test_tcp_carries_several_queries_and_a_long_answer_is_truncated_over_udp() -> None:
    long_name = ".".join(("a" * 63, "b" * 63, "c" * 63, "d" * 33, "main.example.org"))
    host = {"name": long_name, "class": "page"}
    async with running_front(serve, hosts=[host]) as front:
        assert front.listening.dns
        for payload, fits in ((None, False), (600, True)):
            query = dns.message.make_query(f"_rpc._tcp.{long_name}", "SRV", payload=payload)
            udp_answer = dns.message.from_wire(await resolver(front).raw(query.to_wire()))
            assert (len(udp_answer.answer) == 1, bool(udp_answer.flags & dns.flags.TC)) == (fits, not fits)
        async with await anyio.connect_tcp(*front.listening.dns) as stream:
            queries = [dns.message.make_query(PAPERS, "SRV", payload=1232) for _ in range(3)]
            messages = [q.to_wire() for q in queries]
            data = b"".join(struct.pack(">H", len(x)) + x for x in messages)
            await stream.send(data[:7])  # only the length and a part of the first message
            await stream.send(data[7:])
            received = b""
            for query in queries:
                while len(received) < 2 or len(received) < 2 + int.from_bytes(received[:2], "big"):
                    received += await stream.receive()
                size = 2 + int.from_bytes(received[:2], "big")
                answer, received = dns.message.from_wire(received[2:size]), received[size:]
                assert answer.id == query.id and len(places(answer)) == 1
                assert answer.flags & dns.flags.AA and answer.edns == 0


@pytest.mark.parametrize(("age", "code"), [(0.0, dns.rcode.NOERROR), (1.0, dns.rcode.SERVFAIL)])
async def test_a_query_past_its_deadline_gets_servfail(age: float, code: int) -> None:
    transport = ScriptedTransport()
    core = Core(settings(), 1, transport)
    core.update_endpoints(api.UpdateKind.FULL, 1, FLEET)
    config = DnsConfig(
        ("127.0.0.1", 0), "main.example.org", 0.25, (DnsHost("papers.main.example.org", 0, 7, 3),)
    )
    answers = DnsResponder(config, core, lambda endpoint: ("127.0.0.1", 80))
    query = dns.message.make_query(PAPERS, "SRV").to_wire()
    data = answers.respond(query, core.clock.now() - age)
    assert data and dns.message.from_wire(data).rcode() == code
    # A response gets no answer: otherwise two servers could answer each other for ever.
    assert answers.respond(data, core.clock.now()) is None
