"""The plug-in sends no write a second time that may have run, however the library repeats the call.

Guards against a booking that ran twice: the library opened the transport again after a reset, and the plug-in
took the same message for a new call (issue 64).
"""

from __future__ import annotations

import socket
import struct
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress

import pytest
from thrift.protocol.TBinaryProtocol import TBinaryProtocol
from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.protocol.TProtocol import TProtocolBase
from thrift.Thrift import TMessageType, TType
from thrift.transport.TTransport import (
    TBufferedTransport,
    TFramedTransport,
    TTransportBase,
    TTransportException,
)

from zincladder.plugin import transport as plugin
from zincladder.plugin.messages import identify
from zincladder.plugin.sent_writes import MAX_REMEMBERED, REMEMBERED_SECONDS, SentWrites
from zincladder.plugin.transport import SteeredTransport

DEADLINE_SECONDS = 0.5
NUMBER_AT = 18  # the sequence number in a framed call: after the lengths, the version and "handle"
REPLY, REFUSAL = 0, 1  # field numbers of the result
Respond = Callable[[socket.socket, bytes], None]


def reply(call: bytes, field: int = REPLY) -> bytes:
    """Returns a framed reply to a framed call, with an empty struct in this field of the result."""
    message = struct.pack(">Ii", 0x80010002, 6) + b"handle" + call[NUMBER_AT : NUMBER_AT + 4]
    message += struct.pack(">bh", TType.STRUCT, field) + b"\0\0"
    return struct.pack(">i", len(message)) + message


def answer(sock: socket.socket, call: bytes) -> None:
    sock.sendall(reply(call))


def refuse(sock: socket.socket, call: bytes) -> None:
    sock.sendall(reply(call, REFUSAL))


def reset(sock: socket.socket, _: bytes) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def end(sock: socket.socket, _: bytes) -> None:
    sock.close()


def reset_within_the_reply(sock: socket.socket, call: bytes) -> None:
    sock.sendall(reply(call)[:12])
    time.sleep(0.05)
    reset(sock, b"")


def say_nothing(sock: socket.socket, _: bytes) -> None:
    with suppress(OSError):
        sock.recv(1)


class Endpoint:
    """Runs each call that it reads whole, and treats its connection as the next of `script` says."""

    def __init__(self, *script: Respond) -> None:
        self.script, self.runs = list(script), Counter[bytes]()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address: tuple[str, int] = self._listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with suppress(OSError, ValueError):
            while data := sock.recv(1 << 16):  # a call of these tests fits one segment
                self.runs[data] += 1
                (self.script.pop(0) if self.script else answer)(sock, data)
        sock.close()

    def close(self) -> None:
        self._listener.close()


@contextmanager
def endpoint(monkeypatch: pytest.MonkeyPatch, *script: Respond) -> Iterator[Endpoint]:
    """Runs an endpoint that the front's DNS server would name, with nothing remembered."""
    started = Endpoint(*script)
    monkeypatch.setattr(plugin, "SENT_WRITES", SentWrites())
    monkeypatch.setattr(SteeredTransport, "_query_endpoint", lambda _: started.address)
    yield started
    started.close()


def steered() -> SteeredTransport:
    return SteeredTransport("booking.main.example.org", ("127.0.0.1", 9), DEADLINE_SECONDS, write=True)


def write_call(protocol: TProtocolBase, trace: str, seq: int = 1) -> None:
    """Writes a booking; "" as its id leaves the fields without one."""
    fields = {"route": "booking", "entity": "7f3a9c21e0b4d655"} | ({"trace": trace} if trace else {})
    protocol.writeMessageBegin("handle", TMessageType.CALL, seq)
    protocol.writeStructBegin("handle_args")
    protocol.writeFieldBegin("fields", TType.MAP, 1)
    protocol.writeMapBegin(TType.STRING, TType.STRING, len(fields))
    for name, value in fields.items():
        protocol.writeString(name)
        protocol.writeString(value)
    protocol.writeMapEnd()
    protocol.writeFieldEnd()
    protocol.writeFieldBegin("body", TType.STRING, 2)
    protocol.writeBinary(b"one lorry, ferry of 12:00")
    protocol.writeFieldEnd()
    protocol.writeFieldStop()
    protocol.writeStructEnd()
    protocol.writeMessageEnd()


def book(transport: TTransportBase, trace: str, seq: int = 1) -> str:
    """Books over an open or closed transport, as a library's loop does; returns how the call ended."""
    try:
        if not transport.isOpen():
            transport.open()
        protocol = TBinaryProtocol(transport, strictRead=True, strictWrite=True)
        write_call(protocol, trace, seq)
        transport.flush()
        protocol.readMessageBegin()
        protocol.skip(TType.STRUCT)
        return "answered"
    except TTransportException as error:
        transport.close()
        return {TTransportException.END_OF_FILE: "end", TTransportException.TIMED_OUT: "timeout",
                TTransportException.NOT_OPEN: "not open"}[error.type]  # fmt: skip


ENDS = {"reset": reset, "end": end, "reset within the reply": reset_within_the_reply, "silence": say_nothing}


@pytest.mark.parametrize("how", ENDS)
@pytest.mark.parametrize("trace", ("4be0c1927d55a6f3", ""), ids=("with id", "without id"))
def test_a_booking_without_its_reply_does_not_run_again(
    monkeypatch: pytest.MonkeyPatch, how: str, trace: str
) -> None:
    # The library repeats the call on the same transport opened anew, and then on a new one.
    with endpoint(monkeypatch, ENDS[how]) as origin:
        transport = TFramedTransport(steered())
        results = [book(transport, trace), book(transport, trace), book(TFramedTransport(steered()), trace)]
        assert results == ["timeout" if how == "silence" else "end", "end", "end"]
        assert list(origin.runs.values()) == [1]


def test_a_booking_with_a_new_sequence_number_is_the_same_booking(monkeypatch: pytest.MonkeyPatch) -> None:
    with endpoint(monkeypatch, reset) as origin:
        transport = TFramedTransport(steered())
        assert [book(transport, "4be0c1927d55a6f3", seq) for seq in (1, 2, 3)] == ["end", "end", "end"]
        assert sum(origin.runs.values()) == 1


def test_an_answered_booking_does_not_run_again_under_its_id(monkeypatch: pytest.MonkeyPatch) -> None:
    # A library may also repeat a call whose reply it could not use.
    with endpoint(monkeypatch) as origin:
        transport = TFramedTransport(steered())
        assert [book(transport, "4be0c1927d55a6f3") for _ in range(2)] == ["answered", "end"]
        assert sum(origin.runs.values()) == 1


def test_another_booking_with_the_same_content_is_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    with endpoint(monkeypatch, reset) as origin:
        transport = TFramedTransport(steered())
        assert book(transport, "0000000000000001") == "end"
        assert book(transport, "0000000000000002") == "answered"
        assert sum(origin.runs.values()) == 2


@pytest.mark.parametrize("wrap", (TFramedTransport, TBufferedTransport))
def test_answered_calls_without_an_id_may_have_the_same_bytes(
    monkeypatch: pytest.MonkeyPatch, wrap: type[TTransportBase]
) -> None:
    # Code that Thrift generates for Python writes 0 as the sequence number of every call.
    unframed = lambda sock, call: sock.sendall(reply(bytes(4) + call)[4:])  # noqa: E731
    script = [answer if wrap is TFramedTransport else unframed] * 3
    with endpoint(monkeypatch, *script) as origin:
        transport = wrap(steered())
        assert [book(transport, "", seq=0) for _ in range(3)] == ["answered"] * 3
        assert sum(origin.runs.values()) == 3


def test_a_refused_booking_may_be_sent_again(monkeypatch: pytest.MonkeyPatch) -> None:
    with endpoint(monkeypatch, refuse) as origin:
        transport = TFramedTransport(steered())
        assert [book(transport, "4be0c1927d55a6f3") for _ in range(2)] == ["answered", "answered"]
        assert sum(origin.runs.values()) == 2


def test_a_booking_that_was_never_sent_may_be_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    with endpoint(monkeypatch) as origin:
        with socket.create_server(("127.0.0.1", 0)) as closed:
            nowhere = closed.getsockname()
        transport = TFramedTransport(steered())
        with monkeypatch.context() as patch:
            patch.setattr(SteeredTransport, "_query_endpoint", lambda _: nowhere)
            assert book(transport, "4be0c1927d55a6f3") == "not open"
        assert book(transport, "4be0c1927d55a6f3") == "answered"
        assert sum(origin.runs.values()) == 1


def test_a_connection_that_ended_while_idle_is_not_used(monkeypatch: pytest.MonkeyPatch) -> None:
    # A write on it would fail with its outcome unknown, though it never ran.
    def answer_and_end(sock: socket.socket, call: bytes) -> None:
        sock.sendall(reply(call))
        sock.close()

    with endpoint(monkeypatch, answer_and_end) as origin:
        transport = TFramedTransport(steered())
        assert book(transport, "0000000000000001") == "answered"
        time.sleep(0.05)
        assert book(transport, "0000000000000002") == "answered"
        assert sum(origin.runs.values()) == 2


def test_of_two_threads_with_the_same_booking_one_sends_it(monkeypatch: pytest.MonkeyPatch) -> None:
    def answer_late(sock: socket.socket, call: bytes) -> None:
        time.sleep(0.1)
        sock.sendall(reply(call))

    results: list[str] = []
    with endpoint(monkeypatch, answer_late, answer_late) as origin:
        threads = [
            threading.Thread(
                target=lambda: results.append(book(TFramedTransport(steered()), "4be0c1927d55a6f3"))
            )
            for _ in range(2)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert sorted(results) == ["answered", "end"] and sum(origin.runs.values()) == 1


@pytest.mark.parametrize("protocol_type", (TBinaryProtocol, TCompactProtocol))
def test_a_request_is_known_by_its_id_in_either_protocol(protocol_type: type[TProtocolBase]) -> None:
    def message(trace: str, seq: int) -> bytes:
        written = bytearray()

        class Collector(TTransportBase):  # type: ignore[misc]
            def write(self, buf: bytes) -> None:
                written.extend(buf)

        write_call(protocol_type(Collector()), trace, seq)
        return bytes(written)

    first, repeated, other = message("01", 1), message("01", 2), message("02", 1)
    framed = struct.pack(">i", len(first)) + first
    assert identify(first).has_id
    assert identify(first) == identify(repeated) == identify(framed) != identify(other)


def test_bytes_that_are_no_message_are_known_by_themselves() -> None:
    for data in (b"", b"\0", b"\x80\1\0\1", b"\x82", b"no message at all", bytes(100)):
        identity = identify(data)
        assert not identity.has_id and identity == identify(data) != identify(data + b"x")


def test_what_is_remembered_is_bounded_by_number_and_time() -> None:
    sent = SentWrites()
    for number in range(MAX_REMEMBERED + 10):
        assert sent.claim(number.to_bytes(8, "big"), 100.0)
    assert len(sent) == MAX_REMEMBERED
    newest = (MAX_REMEMBERED + 9).to_bytes(8, "big")
    assert not sent.claim(newest, 100.0 + REMEMBERED_SECONDS - 0.001)
    assert sent.claim(newest, 100.0 + REMEMBERED_SECONDS) and len(sent) == 1


def test_a_reset_within_an_unframed_reply_settles_no_booking(monkeypatch: pytest.MonkeyPatch) -> None:
    # The library opens the transport again, which does not show that it has read the reply.
    def reset_within_the_message(sock: socket.socket, call: bytes) -> None:
        sock.sendall(reply(bytes(4) + call)[4:16])
        time.sleep(0.05)
        reset(sock, b"")

    with endpoint(monkeypatch, reset_within_the_message) as origin:
        transport = TBufferedTransport(steered())
        assert [book(transport, "", seq=0) for _ in range(3)] == ["end"] * 3
        assert sum(origin.runs.values()) == 1
