"""The Thrift plug-in against the running front and stub members that speak framed Thrift."""

from __future__ import annotations

import subprocess
import sys
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager

import anyio
import anyio.abc
import pytest
from anyio.from_thread import BlockingPortal, start_blocking_portal
from thrift.protocol.TBinaryProtocol import TBinaryProtocol
from thrift.Thrift import TMessageType, TType
from thrift.transport.TTransport import TFramedTransport, TTransportException

from tests.support.front_world import World, world
from tests.support.stub_cache import StubCache
from zincladder.net import thrift
from zincladder.plugin.transport import SteeredTransport


class ThriftMember(StubCache):
    """Runs calls and counts them by what they ask for; `dies` is how many it runs without an answer."""

    dies = 0
    silent = False

    def begin(self) -> None:
        self.runs: Counter[int] = Counter()

    async def _connection(self, stream: anyio.abc.ByteStream) -> None:
        data = b""
        async with stream:
            while True:
                while len(data) < 4 or len(data) < 4 + int.from_bytes(data[:4], "big"):
                    try:
                        data += await stream.receive()
                    except (anyio.EndOfStream, anyio.BrokenResourceError):
                        return
                size = 4 + int.from_bytes(data[:4], "big")
                call, data = thrift.read_call(data[4:size]), data[size:]
                self.runs[call.seq] += 1
                if self.silent:
                    await anyio.sleep_forever()
                if self.dies:
                    self.dies -= 1
                    return
                await stream.send(b"".join(thrift.answer("handle", call.seq, self.name.encode(), {}, True)))


@contextmanager
def steered() -> Iterator[tuple[World, list[ThriftMember], BlockingPortal]]:
    """A front whose members speak Thrift: two caches, a parent and, last, the origin."""
    endpoints = [ThriftMember(f"s-{i:08x}", kind) for i, kind in enumerate((0, 0, 1, 2), 1)]
    for endpoint in endpoints:
        endpoint.begin()
    with ExitStack() as stack:
        portal = stack.enter_context(start_blocking_portal())
        w = stack.enter_context(portal.wrap_async_context_manager(world(endpoints=list(endpoints))))
        yield w, endpoints, portal


def transport(w: World, host: str, **more: float | bool) -> SteeredTransport:
    assert w.listening.dns
    return SteeredTransport(f"{host}.main.example.org", w.listening.dns, **more)  # type: ignore[arg-type]


def call(protocol: TBinaryProtocol, seq: int) -> str:
    """Calls `handle` with no arguments, as generated code does; gives the name of who answered."""
    protocol.writeMessageBegin("handle", TMessageType.CALL, seq)
    protocol.writeFieldStop()
    protocol.writeMessageEnd()
    protocol.trans.flush()
    assert protocol.readMessageBegin() == ("handle", TMessageType.REPLY, seq)
    protocol.readStructBegin()
    assert protocol.readFieldBegin()[1:] == (TType.STRUCT, 0)
    protocol.readStructBegin()
    assert protocol.readFieldBegin()[1:] == (TType.STRING, 1)
    name = protocol.readBinary().decode()
    for _ in range(2):  # the rest of the Answer, and of the result
        protocol.skip(TType.STRUCT)
    protocol.readMessageEnd()
    return str(name)


def protocol_over(steered_transport: SteeredTransport) -> TBinaryProtocol:
    return TBinaryProtocol(TFramedTransport(steered_transport), strictRead=True, strictWrite=True)


def test_calls_leave_a_drained_member_within_the_deadline() -> None:
    with steered() as (w, endpoints, portal):
        protocol = protocol_over(transport(w, "papers"))
        first = call(protocol, 1)
        (drained,) = [m for m in endpoints if m.name == first]
        portal.call(w.coordinator.tell, 2, drained.record(1))
        drained_at, seq, late = time.monotonic(), 1, []
        while time.monotonic() < drained_at + 0.8:
            seq += 1
            began = time.monotonic()
            answered = call(protocol, seq)
            if began > drained_at + 0.5:
                late.append(answered)
        assert late and first not in late


def test_a_write_that_may_have_run_is_never_sent_again() -> None:
    with steered() as (w, endpoints, _):
        origin = endpoints[-1]
        origin.dies = 3
        for seq in range(1, 6):
            booking = transport(w, "booking", write=True)
            if seq <= 3:
                with pytest.raises(TTransportException, match="may have run"):
                    call(protocol_over(booking), seq)
            else:
                assert call(protocol_over(booking), seq) == origin.name
        assert origin.runs == Counter(range(1, 6)) and not any(m.runs for m in endpoints[:-1])


def test_a_read_is_sent_once_more_and_not_for_ever() -> None:
    with steered() as (w, endpoints, _):
        protocol = protocol_over(transport(w, "papers"))
        for endpoint in endpoints:
            endpoint.dies = 1
        assert call(protocol, 1) and sum(m.runs[1] for m in endpoints) == 2
        for endpoint in endpoints:
            endpoint.dies = 9
        with pytest.raises(TTransportException):
            call(protocol, 2)
        assert sum(m.runs[2] for m in endpoints) == 2


def test_the_front_gives_up_and_the_call_fails_at_once() -> None:
    with steered() as (w, _, __), pytest.raises(TTransportException, match="NXDOMAIN"):
        transport(w, "nobody").open()


def test_a_member_that_says_nothing_ends_the_call_at_its_deadline() -> None:
    with steered() as (w, endpoints, _):
        for endpoint in endpoints:
            endpoint.silent = True
        began = time.monotonic()
        with pytest.raises(TTransportException) as caught:
            call(protocol_over(transport(w, "papers", deadline=0.3)), 1)
        assert caught.value.type == TTransportException.TIMED_OUT and time.monotonic() - began >= 0.3


def test_the_plug_in_needs_nothing_of_the_daemon() -> None:
    parts = ("anyio", "structlog", "zincladder.core", "zincladder.net")
    code = f"import sys, zincladder.plugin.transport; print([m for m in {parts} if m in sys.modules])"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True, text=True)
    assert done.stdout == "[]\n"
