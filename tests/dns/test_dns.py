"""The DNS front: routing by the core's decisions, over UDP and TCP, with a caching resolver between."""

from __future__ import annotations

import struct
import time
from collections import Counter

import anyio
import dns.flags
import dns.message
import dns.rcode
import pytest

from tests.support.front_world import World, world
from tests.support.resolver import Resolver, places
from tests.support.routing import FLEET, settings
from tests.support.scripted_transport import ScriptedTransport
from tests.support.stub_cache import Fetch, StubCache, serve
from zincladder.config import DnsConfig, DnsHost
from zincladder.core.engine import Core
from zincladder.dns.answers import Answers
from zincladder.routing import interface as api

pytestmark = pytest.mark.anyio
PAPERS, BOOKING = "_rpc._tcp.papers.main.example.org", "_rpc._tcp.booking.main.example.org"
DEADLINE = 0.5  # seconds from the notice of a drain


def resolver(w: World, **more: float) -> Resolver:
    assert w.listening.dns
    return Resolver(w.listening.dns, **more)


@pytest.mark.parametrize("state", [1, 2], ids=["draining", "gone"])
async def test_a_drained_cache_vanishes_from_answers_within_its_deadline(state: int) -> None:
    # guards rule 3 behind a resolver that caches: a TTL above 0 would keep naming the cache
    async with world(serve, serve, serve) as w:
        r = resolver(w)
        (home,) = places(await r.query(PAPERS))
        (drained,) = [c for c in w.caches if c.port == home[1]]
        await w.coordinator.tell(2, drained.record(state))
        drained_at, named = time.monotonic(), Counter[str]()
        while time.monotonic() < drained_at + DEADLINE + 0.2:
            (place,) = places(await r.query(PAPERS))
            named["late" if time.monotonic() > drained_at + DEADLINE else "early", place == home] += 1  # type: ignore[index]
        assert named["late", True] == 0 < named["late", False]  # type: ignore[index]


async def test_a_resolver_that_ignores_ttl_0_is_what_names_a_drained_cache() -> None:
    # shows that the count above can be other than 0, and why the plug-in asks the front itself
    async with world(serve, serve, serve) as w:
        stubborn, direct = resolver(w, least_ttl=30.0), resolver(w)
        (home,) = places(await stubborn.query(PAPERS))
        (drained,) = [c for c in w.caches if c.port == home[1]]
        await w.coordinator.tell(2, drained.record(1))
        with anyio.fail_after(5):
            while places(await direct.query(PAPERS)) == [home]:
                await anyio.sleep(0.005)
        assert places(await stubborn.query(PAPERS)) == [home] and stubborn.asked[PAPERS] == 1


async def test_a_booking_has_one_address_and_runs_once_even_if_its_answer_is_lost() -> None:
    runs: Counter[str] = Counter()

    async def run_and_die(_: StubCache, fetch: Fetch) -> None:
        runs[fetch.name] += 1
        await fetch.stream.aclose()

    async with world(serve, serve, origin=run_and_die) as w:
        r = resolver(w)
        for n in range(20):
            answer = await r.query(BOOKING)
            ((host, port),) = places(answer)
            assert port == w.caches[-1].port and len(answer.answer) == len(answer.additional) == 1
            async with await anyio.connect_tcp(host, port) as stream:
                await stream.send(f"fetch {n:016x} cls=booking,limit=900 2\r\nhi\r\n".encode())
                with pytest.raises(anyio.EndOfStream):  # may have run: the client stops here
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
async def test_each_kind_of_name_and_type_gets_its_code(name: str, kind: str, code: int, count: int) -> None:
    async with world(serve) as w:
        answer = await resolver(w).query(name, kind)
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
async def test_what_cannot_be_read_is_answered_in_kind_and_the_front_goes_on(data: bytes, code: int) -> None:
    async with world(serve) as w:
        r = resolver(w)
        back = dns.message.from_wire(await r.raw(data))
        assert back.rcode() == code and back.id == int.from_bytes(data[:2], "big")
        assert (await r.query("papers.main.example.org")).answer


async def test_with_no_cache_left_the_answer_is_servfail_at_once() -> None:
    async with world(serve) as w:
        r = resolver(w)
        await w.coordinator.tell(2, b"".join(c.record(2) for c in w.caches))
        with anyio.fail_after(5):
            while (answer := await r.query(PAPERS)).rcode() == dns.rcode.NOERROR:
                await anyio.sleep(0.005)
        assert answer.rcode() == dns.rcode.SERVFAIL and not answer.answer


async def test_tcp_carries_many_queries_and_a_long_answer_is_cut_short_over_udp() -> None:
    long = ".".join(("a" * 63, "b" * 63, "c" * 63, "d" * 33, "main.example.org"))
    host = {"name": long, "class": "page"}
    async with world(serve, hosts=[host]) as w:
        assert w.listening.dns
        for payload, whole in ((None, False), (600, True)):
            query = dns.message.make_query(f"_rpc._tcp.{long}", "SRV", payload=payload)
            cut = dns.message.from_wire(await resolver(w).raw(query.to_wire()))
            assert (len(cut.answer) == 1, bool(cut.flags & dns.flags.TC)) == (whole, not whole)
        async with await anyio.connect_tcp(*w.listening.dns) as stream:
            queries = [dns.message.make_query(PAPERS, "SRV", payload=1232) for _ in range(3)]
            wires = [q.to_wire() for q in queries]
            data = b"".join(struct.pack(">H", len(x)) + x for x in wires)
            await stream.send(data[:7])  # a length and a part of its message by themselves
            await stream.send(data[7:])
            came = b""
            for query in queries:
                while len(came) < 2 or len(came) < 2 + int.from_bytes(came[:2], "big"):
                    came += await stream.receive()
                size = 2 + int.from_bytes(came[:2], "big")
                answer, came = dns.message.from_wire(came[2:size]), came[size:]
                assert answer.id == query.id and len(places(answer)) == 1
                assert answer.flags & dns.flags.AA and answer.edns == 0


@pytest.mark.parametrize(("age", "code"), [(0.0, dns.rcode.NOERROR), (1.0, dns.rcode.SERVFAIL)])
async def test_a_query_past_its_deadline_gets_servfail(age: float, code: int) -> None:
    transport = ScriptedTransport()
    core = Core(settings(), 1, transport)
    core.update_endpoints(api.UpdateKind.FULL, 1, FLEET)
    table = DnsConfig(
        ("127.0.0.1", 0), "main.example.org", 0.25, (DnsHost("papers.main.example.org", 0, 7, 3),)
    )
    answers = Answers(table, core, lambda endpoint: ("127.0.0.1", 80))
    query = dns.message.make_query(PAPERS, "SRV").to_wire()
    data = answers.respond(query, core.clock.now() - age)
    assert data and dns.message.from_wire(data).rcode() == code
    assert answers.respond(data, core.clock.now()) is None  # that could go on for ever
