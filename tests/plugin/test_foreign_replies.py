"""No call through the plug-in returns the reply of another call, whatever arrives on its connection.

Guards against a reply that came twice: the second copy stayed unread on the connection, and each later call
got the reply of the call before it.
"""

from __future__ import annotations

import secrets
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from thrift.protocol.TBinaryProtocol import TBinaryProtocol
from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.protocol.TJSONProtocol import TJSONProtocol
from thrift.protocol.TProtocol import TProtocolBase
from thrift.Thrift import TMessageType, TType
from thrift.transport.TTransport import (
    TBufferedTransport,
    TFramedTransport,
    TMemoryBuffer,
    TTransportBase,
    TTransportException,
)

from zincladder.plugin import connection as plugin_connection
from zincladder.plugin import transport as plugin
from zincladder.plugin.connection import EndpointConnection
from zincladder.plugin.sent_writes import SentWrites
from zincladder.plugin.transport import SteeredTransport

DEADLINE_SECONDS = 0.4
LENGTH = struct.Struct(">i")
Protocol = type[TProtocolBase]
Order = list[tuple[list[str], list[str], list[str]]]  # for each call, what arrives: see ORDERS
PROTOCOLS: dict[str, Protocol] = {"binary": TBinaryProtocol, "compact": TCompactProtocol}
WRAPPERS: dict[str, type[TTransportBase]] = {"framed": TFramedTransport, "unframed": TBufferedTransport}


@dataclass(frozen=True)
class Received:
    """A call as a server has read it."""

    protocol: Protocol
    framed: bool
    number: int
    name: str  # what the call asks for, and what its reply has to hold


def message(protocol: Protocol, framed: bool, kind: int, number: int, text: str) -> bytes:
    """Returns a call (its argument is `text`) or a reply (its result is `text`)."""
    buffer = TMemoryBuffer()
    out = protocol(buffer)
    out.writeMessageBegin("handle", kind, number)
    out.writeStructBegin("")
    out.writeFieldBegin("", TType.STRING, 1 if kind == TMessageType.CALL else 0)
    out.writeString(text)
    out.writeFieldEnd()
    out.writeFieldStop()
    out.writeStructEnd()
    out.writeMessageEnd()
    data = bytes(buffer.getvalue())
    return LENGTH.pack(len(data)) + data if framed else data


def read_text(protocol: TProtocolBase) -> tuple[int, str]:
    """Reads a call or a reply; returns its sequence number and its text."""
    _, _, number = protocol.readMessageBegin()
    protocol.readStructBegin()
    protocol.readFieldBegin()
    text = str(protocol.readString())
    protocol.readFieldEnd()
    assert protocol.readFieldBegin()[1] == TType.STOP
    protocol.readStructEnd()
    protocol.readMessageEnd()
    return number, text


def reply_to(call: Received, number: int | None = None, text: str = "") -> bytes:
    answered = call.number if number is None else number
    return message(call.protocol, call.framed, TMessageType.REPLY, answered, text or call.name)


Respond = Callable[[socket.socket, Received], None]


@dataclass
class Server:
    """Answers each call as the next of `script` says, and later ones with their reply."""

    protocol: Protocol = TBinaryProtocol
    framed: bool = True
    echoes: bool = True  # whether replies have the number of their call, or 0
    greeting: bytes = b""  # sent on each new connection
    script: list[Respond] = field(default_factory=list)
    connections: int = 0
    runs: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address: tuple[str, int] = self._listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.connections += 1
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with suppress(OSError), sock:
            if self.greeting:
                sock.sendall(self.greeting)
            while data := sock.recv(1 << 16):  # a call of these tests fits one segment
                number, name = read_text(self.protocol(TMemoryBuffer(data[4:] if self.framed else data)))
                self.runs.append(name)
                call = Received(self.protocol, self.framed, number if self.echoes else 0, name)
                (self.script.pop(0) if self.script else answer)(sock, call)

    def wrapper(self) -> type[TTransportBase]:
        """The library's transport for this server's framing."""
        return WRAPPERS["framed" if self.framed else "unframed"]

    def close(self) -> None:
        self._listener.close()


def answer(sock: socket.socket, call: Received) -> None:
    sock.sendall(reply_to(call))


def answer_twice(sock: socket.socket, call: Received) -> None:
    sock.sendall(2 * reply_to(call))


def answer_and_repeat_late(sock: socket.socket, call: Received) -> None:
    """The second copy arrives while the next call is open."""
    sock.sendall(reply_to(call))
    later = threading.Timer(0.02, lambda: _send(sock, reply_to(call)))
    later.start()


def answer_after_a_while(sock: socket.socket, call: Received) -> None:
    time.sleep(0.05)
    answer(sock, call)


def answer_ahead_under_another_number(sock: socket.socket, call: Received) -> None:
    sock.sendall(reply_to(call, 77, "ahead") + reply_to(call))


def answer_under_the_next_number(sock: socket.socket, call: Received) -> None:
    """What follows the reply is a reply to a call with the number that a counter would give next."""
    sock.sendall(reply_to(call) + reply_to(call, call.number % plugin_connection.MAX_NUMBER + 1, "ahead"))


def two_replies_in_one_frame(sock: socket.socket, call: Received) -> None:
    if not call.framed:
        return answer_twice(sock, call)
    messages = 2 * reply_to(call)[LENGTH.size :]
    sock.sendall(LENGTH.pack(len(messages)) + messages)
    return None


def _send(sock: socket.socket, data: bytes) -> None:
    with suppress(OSError):
        sock.sendall(data)


@contextmanager
def running(server: Server, monkeypatch: pytest.MonkeyPatch) -> Iterator[Server]:
    """Makes the server the endpoint that the front's DNS server would name."""
    monkeypatch.setattr(plugin, "SENT_WRITES", SentWrites())
    monkeypatch.setattr(SteeredTransport, "_query_endpoint", lambda _: server.address)
    yield server
    server.close()


def client(server: Server, write: bool = False) -> TTransportBase:
    steered = SteeredTransport("papers.main.example.org", ("127.0.0.1", 9), DEADLINE_SECONDS, write)
    return server.wrapper()(steered)


def ask(server: Server, transport: TTransportBase, name: str, number: int = 0) -> str:
    """Calls as generated code does, whose calls all have number 0; returns what the reply holds."""
    try:
        if not transport.isOpen():
            transport.open()
        transport.write(message(server.protocol, False, TMessageType.CALL, number, name))
        transport.flush()
        returned, text = read_text(server.protocol(transport))
        assert returned == number  # a library that compares numbers sees its own
        return text
    except TTransportException as error:
        transport.close()
        return f"failed: {error.message}"


DISTURBANCES: dict[str, Respond] = {
    "twice": answer_twice,
    "a late second copy": answer_and_repeat_late,
    "ahead under another number": answer_ahead_under_another_number,
    "ahead under the next number": answer_under_the_next_number,
    "two replies in one frame": two_replies_in_one_frame,
}


@pytest.mark.parametrize("echoes", (True, False), ids=("number returned", "number 0"))
@pytest.mark.parametrize("write", (False, True), ids=("read", "write"))
@pytest.mark.parametrize("framing", WRAPPERS)
@pytest.mark.parametrize("protocol", PROTOCOLS)
@pytest.mark.parametrize("how", DISTURBANCES)
def test_each_call_gets_its_own_reply(
    monkeypatch: pytest.MonkeyPatch, how: str, protocol: str, framing: str, write: bool, echoes: bool
) -> None:
    server = Server(PROTOCOLS[protocol], framing == "framed", echoes, script=[answer, DISTURBANCES[how]])
    with running(server, monkeypatch):
        transport, names = client(server, write), [f"{n:016x}" for n in range(8)]
        got = []
        for name in names:
            got.append(ask(server, transport, name))
            time.sleep(0.005)
        assert got == names and server.runs == names


@pytest.mark.parametrize("framing", WRAPPERS)
def test_a_good_connection_stays_open(monkeypatch: pytest.MonkeyPatch, framing: str) -> None:
    # A reply that is late, or under another number, is dropped and ends nothing.
    server = Server(framed=framing == "framed", script=[answer, answer, answer_and_repeat_late])
    with running(server, monkeypatch):
        transport = client(server)
        for number in range(3):
            assert ask(server, transport, f"{number}") == f"{number}"
        server.script = [answer_after_a_while]
        assert ask(server, transport, "while the copy arrives") == "while the copy arrives"
        assert [ask(server, transport, f"{n}") for n in range(20)] == [f"{n}" for n in range(20)]
        assert server.connections == 1


def test_a_server_that_returns_no_numbers_gets_a_connection_for_each_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    with running(Server(echoes=False), monkeypatch) as server:
        transport = client(server)
        assert [ask(server, transport, f"{n}") for n in range(5)] == [f"{n}" for n in range(5)]
        assert server.connections == 5


def test_a_call_finds_another_endpoint_when_the_one_without_numbers_has_gone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    with running(Server(echoes=False), monkeypatch) as server:
        steered = SteeredTransport("papers.main.example.org", ("127.0.0.1", 9), DEADLINE_SECONDS)
        transport = TFramedTransport(steered)
        transport.open()
        steered._endpoint_queried_at = time.monotonic()  # as the query does, which is replaced here
        assert ask(server, transport, "a") == "a"
        server.close()
        with running(Server(echoes=False), monkeypatch):
            assert ask(server, transport, "b") == "b"


@pytest.mark.parametrize("echoes", (True, False), ids=("number returned", "number 0"))
def test_what_arrives_before_the_first_call_is_no_reply(
    monkeypatch: pytest.MonkeyPatch, echoes: bool
) -> None:
    greeting = message(TBinaryProtocol, True, TMessageType.REPLY, 0, "greeting")
    with running(Server(echoes=echoes, greeting=greeting), monkeypatch) as server:
        transport = client(server)
        transport.open()
        time.sleep(0.05)  # the greeting lies unread on the connection
        server.greeting = b""
        assert [ask(server, transport, f"{n}") for n in range(3)] == [f"{n}" for n in range(3)]


@pytest.mark.parametrize("reply", (b"\x7f\xff\xff\xff", b"\xff\xff\xff\xff", b"\0\0\0\4noise", b"\0\0\0\0"))
def test_bytes_that_are_no_reply_fail_the_call_and_end_the_connection(
    monkeypatch: pytest.MonkeyPatch, reply: bytes
) -> None:
    with running(Server(script=[lambda sock, _: _send(sock, reply + b"rest")]), monkeypatch) as server:
        transport = client(server)
        assert ask(server, transport, "a").startswith("failed: ")
        assert ask(server, transport, "b") == "b" and server.connections == 2


@pytest.mark.parametrize("framing", WRAPPERS)
def test_the_replies_of_a_protocol_that_cannot_be_read_are_kept_apart(
    monkeypatch: pytest.MonkeyPatch, framing: str
) -> None:
    server = Server(TJSONProtocol, framing == "framed", script=[answer, answer_twice, answer_twice])
    with running(server, monkeypatch):
        transport = client(server)
        assert [ask(server, transport, f"{n}") for n in range(5)] == [f"{n}" for n in range(5)]
        assert server.connections == 5


@pytest.mark.parametrize("framing", WRAPPERS)
@pytest.mark.parametrize("protocol", PROTOCOLS)
def test_a_reply_may_hold_bytes_that_are_no_text(
    monkeypatch: pytest.MonkeyPatch, protocol: str, framing: str
) -> None:
    # The library's own way to skip a field decodes it as UTF-8.
    body = bytes(range(256)) * 1000

    def answer_bytes(sock: socket.socket, call: Received) -> None:
        data = reply_to(call, text="x" * len(body)).replace(b"x" * len(body), body)
        sock.sendall(data)

    server = Server(PROTOCOLS[protocol], framing == "framed", script=[answer_bytes, answer])
    with running(server, monkeypatch):
        transport = client(server)
        transport.open()
        transport.write(message(server.protocol, False, TMessageType.CALL, 3, "a"))
        transport.flush()
        reply = server.protocol(transport)
        assert reply.readMessageBegin()[2] == 3
        reply.readStructBegin()
        reply.readFieldBegin()
        assert reply.readBinary() == body
        reply.readFieldEnd()
        assert reply.readFieldBegin()[1] == TType.STOP
        assert ask(server, transport, "b") == "b" and server.connections == 1


def test_a_oneway_call_uses_up_no_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    def answer_nothing(sock: socket.socket, call: Received) -> None:
        pass

    with running(Server(script=[answer_nothing]), monkeypatch) as server:
        transport = client(server)
        transport.open()
        transport.write(message(TBinaryProtocol, False, TMessageType.ONEWAY, 0, "withdrawn"))
        transport.flush()
        time.sleep(0.02)
        assert ask(server, transport, "a") == "a" and server.connections == 1


# Any order of replies, copies and calls ---------------------------------------------------------------


class Arrival:
    """A connection's socket whose input is given: what arrives before a call is sent, and what after."""

    def __init__(self, before: bytes, after: Callable[[Received], bytes]) -> None:
        self._input, self._after = before, after
        self.has_ended = False

    def setblocking(self, flag: bool) -> None:
        pass

    def settimeout(self, seconds: float) -> None:
        pass

    def close(self) -> None:
        pass

    def arrive(self, data: bytes) -> None:
        self._input += data

    def recv(self, size: int, flags: int = 0) -> bytes:
        if not self._input:
            if flags:
                raise BlockingIOError
            raise TimeoutError
        data = self._input[:size]
        if not flags:
            self._input = self._input[size:]
        return data

    def sendall(self, data: bytes) -> None:
        framed = LENGTH.unpack_from(data)[0] == len(data) - LENGTH.size
        number, name = read_text(TBinaryProtocol(TMemoryBuffer(data[LENGTH.size :] if framed else data)))
        self._input += self._after(Received(TBinaryProtocol, framed, number, name))


KINDS = ("own", "copy of an earlier one", "number 0", "next number", "number of the library")
ORDERS = st.lists(
    st.tuples(
        st.lists(st.sampled_from(KINDS), max_size=3),  # what arrives between the look and the call
        st.lists(st.sampled_from(KINDS), max_size=4),  # what the server sends once it has the call
        st.lists(st.sampled_from(KINDS[1:]), max_size=2),  # what arrives before the next look
    ),
    min_size=1,
    max_size=6,
)


def foreign_results(echoes: bool, framed: bool, order: Order) -> int:
    """Plays an order of arrivals; returns how many calls returned what no server sent as their reply.

    A server that returns numbers never sends 0; one that does not sends nothing but 0, and nothing before the
    first call of a connection.
    """
    earlier: list[Received] = []
    connection: EndpointConnection | None = None
    sock: Arrival | None = None
    foreign = 0

    def one(kind: str, call: Received | None) -> bytes:
        like = call or Received(TBinaryProtocol, framed, 5, "")
        if kind == "own":
            return reply_to(call, None if echoes else 0) if call else b""
        if kind == "copy of an earlier one":
            return reply_to(earlier[-1], None if echoes else 0) if earlier else b""
        if not echoes:
            return reply_to(earlier[-1], 0) if earlier else b""
        numbers = {"number 0": 3, "next number": like.number + 1, "number of the library": 7}
        return reply_to(like, numbers[kind], "foreign")

    for index, (between, after, idle) in enumerate(order):
        name = f"call {index}"

        def sent(received: Received, after: list[str] = after) -> bytes:
            data = b"".join(one(kind, received) for kind in after)
            earlier.append(received)
            return data

        if connection is None or sock is None or connection.is_used_up or not connection.is_clean:
            earlier.clear()  # of other connections; their copies can't arrive on this one
            sock = Arrival(b"", sent)
            connection = EndpointConnection(sock, lambda: 1.0)  # type: ignore[arg-type]
        sock._after = sent
        call = plugin_connection.Call.parse(message(TBinaryProtocol, framed, TMessageType.CALL, 7, name))
        data = connection.begin(call)
        sock.arrive(b"".join(one(kind, None) for kind in between))
        connection.send(data)
        try:
            reply = connection.receive_reply()
        except (OSError, TTransportException):
            connection = None
            continue
        number, text = read_text(TBinaryProtocol(TMemoryBuffer(reply[LENGTH.size :] if framed else reply)))
        foreign += text != name or number != 7
        sock.arrive(b"".join(one(kind, None) for kind in idle))
    return foreign


@given(st.booleans(), st.booleans(), ORDERS)
@settings(max_examples=400, deadline=None)
def test_no_order_of_replies_gives_a_call_the_reply_of_another(
    echoes: bool, framed: bool, order: Order
) -> None:
    assert foreign_results(echoes, framed, order) == 0


@pytest.mark.parametrize("framed", (True, False))
@pytest.mark.parametrize("protocol", (TBinaryProtocol, TJSONProtocol))
def test_a_reply_without_a_number_that_came_before_its_call_is_not_returned(
    protocol: Protocol, framed: bool
) -> None:
    # As on a connection that was opened for the call, and on which the server has spoken first.
    sock = Arrival(message(protocol, framed, TMessageType.REPLY, 0, "greeting"), lambda received: b"")
    connection = EndpointConnection(sock, lambda: 1.0)  # type: ignore[arg-type]
    connection.begin(plugin_connection.Call.parse(message(protocol, framed, TMessageType.CALL, 7, "a")))
    receive = connection.receive_reply if connection.can_find_reply_end else connection.receive_byte
    with pytest.raises((TimeoutError, TTransportException)):
        receive()


COPY_ORDER: Order = [([], ["own", "copy of an earlier one"], []), ([], ["copy of an earlier one", "own"], [])]
BETWEEN_ORDER: Order = [([], ["own"], []), (["copy of an earlier one"], ["own"], [])]
NEXT_ORDER: Order = [([], ["own"], []), (["next number"], ["own"], [])]


@pytest.mark.parametrize("echoes", (True, False))
def test_the_model_finds_a_plug_in_that_does_not_compare_numbers(
    monkeypatch: pytest.MonkeyPatch, echoes: bool
) -> None:
    monkeypatch.setattr(EndpointConnection, "is_used_up", False)
    monkeypatch.setattr(EndpointConnection, "_is_for_open_call", lambda self, number: True)
    monkeypatch.setattr(EndpointConnection, "is_clean", True)
    assert foreign_results(echoes, True, [([], ["own"], []), *COPY_ORDER]) > 0


def test_the_model_finds_a_plug_in_that_uses_a_connection_without_numbers_twice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(EndpointConnection, "is_used_up", False)
    monkeypatch.setattr(
        EndpointConnection, "_is_for_open_call", lambda self, number: number in (0, self._number)
    )
    assert foreign_results(False, True, BETWEEN_ORDER) > 0


def test_the_model_finds_numbers_that_can_be_guessed(monkeypatch: pytest.MonkeyPatch) -> None:
    numbers = iter(range(4, 100))
    monkeypatch.setattr(secrets, "randbelow", lambda _: next(numbers))
    assert foreign_results(True, True, NEXT_ORDER) > 0
