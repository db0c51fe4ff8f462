"""Tests the Thrift plug-in with a running front and stub endpoints that use framed Thrift."""

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

from tests.support.front_world import RunningFront, running_front
from tests.support.stub_cache import StubCache
from zincladder.net import thrift
from zincladder.plugin.transport import SteeredTransport


class ThriftEndpoint(StubCache):
    """Runs calls and counts them by their field `entity`.

    The next `calls_to_drop` calls run, but their connection is closed without an answer. If `silent` is set,
    calls get no answer and their connection stays open.
    """

    calls_to_drop = 0
    silent = False

    def reset_runs(self) -> None:
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
                self.runs[int(call.fields["entity"])] += 1
                if self.silent:
                    await anyio.sleep_forever()
                if self.calls_to_drop:
                    self.calls_to_drop -= 1
                    return
                await stream.send(b"".join(thrift.answer("handle", call.seq, self.name.encode(), {}, True)))


@contextmanager
def front_with_thrift_endpoints() -> Iterator[tuple[RunningFront, list[ThriftEndpoint], BlockingPortal]]:
    """Runs a front with four Thrift endpoints: two caches, a parent and, last, the origin."""
    endpoints = [ThriftEndpoint(f"s-{i:08x}", kind) for i, kind in enumerate((0, 0, 1, 2), 1)]
    for endpoint in endpoints:
        endpoint.reset_runs()
    with ExitStack() as stack:
        portal = stack.enter_context(start_blocking_portal())
        front = stack.enter_context(
            portal.wrap_async_context_manager(running_front(endpoints=list(endpoints)))
        )
        yield front, endpoints, portal


def transport(front: RunningFront, host: str, **options: float | bool) -> SteeredTransport:
    assert front.listening.dns
    return SteeredTransport(f"{host}.main.example.org", front.listening.dns, **options)  # type: ignore[arg-type]


def call(protocol: TBinaryProtocol, seq: int) -> str:
    """Calls `handle` as generated code does, with its number as `entity`; returns the endpoint's name.

    The plug-in sends the call under a sequence number of its own, and the reply has the library's again.
    """
    protocol.writeMessageBegin("handle", TMessageType.CALL, seq)
    protocol.writeFieldBegin("fields", TType.MAP, 1)
    protocol.writeMapBegin(TType.STRING, TType.STRING, 1)
    protocol.writeString("entity")
    protocol.writeString(str(seq))
    protocol.writeMapEnd()
    protocol.writeFieldStop()
    protocol.writeMessageEnd()
    protocol.trans.flush()
    assert protocol.readMessageBegin() == ("handle", TMessageType.REPLY, seq)
    protocol.readStructBegin()
    assert protocol.readFieldBegin()[1:] == (TType.STRUCT, 0)
    protocol.readStructBegin()
    assert protocol.readFieldBegin()[1:] == (TType.STRING, 1)
    name = protocol.readBinary().decode()
    for _ in range(2):  # the rest of the Answer struct, and of the result struct
        protocol.skip(TType.STRUCT)
    protocol.readMessageEnd()
    return str(name)


def protocol_over(steered_transport: SteeredTransport) -> TBinaryProtocol:
    return TBinaryProtocol(TFramedTransport(steered_transport), strictRead=True, strictWrite=True)


def test_calls_leave_a_draining_endpoint_within_the_deadline() -> None:
    with front_with_thrift_endpoints() as (front, endpoints, portal):
        protocol = protocol_over(transport(front, "papers"))
        first_endpoint = call(protocol, 1)
        (drained,) = [m for m in endpoints if m.name == first_endpoint]
        portal.call(front.coordinator.tell, 2, drained.record(1))
        drained_at, seq, answered_late = time.monotonic(), 1, []
        while time.monotonic() < drained_at + 0.8:
            seq += 1
            started_at = time.monotonic()
            answered = call(protocol, seq)
            if started_at > drained_at + 0.5:
                answered_late.append(answered)
        assert answered_late and first_endpoint not in answered_late


def test_a_write_that_may_have_run_is_never_sent_again() -> None:
    with front_with_thrift_endpoints() as (front, endpoints, _):
        origin = endpoints[-1]
        origin.calls_to_drop = 3
        for seq in range(1, 6):
            booking = transport(front, "booking", write=True)
            if seq <= 3:
                with pytest.raises(TTransportException, match="may have run"):
                    call(protocol_over(booking), seq)
            else:
                assert call(protocol_over(booking), seq) == origin.name
        assert origin.runs == Counter(range(1, 6)) and not any(m.runs for m in endpoints[:-1])


def test_a_read_is_retried_only_once() -> None:
    with front_with_thrift_endpoints() as (front, endpoints, _):
        protocol = protocol_over(transport(front, "papers"))
        for endpoint in endpoints:
            endpoint.calls_to_drop = 1
        assert call(protocol, 1) and sum(m.runs[1] for m in endpoints) == 2
        for endpoint in endpoints:
            endpoint.calls_to_drop = 9
        with pytest.raises(TTransportException):
            call(protocol, 2)
        assert sum(m.runs[2] for m in endpoints) == 2


def test_a_negative_answer_of_the_front_fails_the_call_at_once() -> None:
    with (
        front_with_thrift_endpoints() as (front, _, __),
        pytest.raises(TTransportException, match="NXDOMAIN"),
    ):
        transport(front, "nobody").open()


def test_a_call_to_a_silent_endpoint_fails_at_its_deadline() -> None:
    with front_with_thrift_endpoints() as (front, endpoints, _):
        for endpoint in endpoints:
            endpoint.silent = True
        started_at = time.monotonic()
        with pytest.raises(TTransportException) as caught:
            call(protocol_over(transport(front, "papers", deadline=0.3)), 1)
        assert caught.value.type == TTransportException.TIMED_OUT and time.monotonic() - started_at >= 0.3


def test_the_plug_in_imports_no_module_of_the_daemon() -> None:
    daemon_modules = ("anyio", "structlog", "zincladder.core", "zincladder.net")
    code = (
        f"import sys, zincladder.plugin.transport; print([m for m in {daemon_modules} if m in sys.modules])"
    )
    result = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True, text=True)
    assert result.stdout == "[]\n"
