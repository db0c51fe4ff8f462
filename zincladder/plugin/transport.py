"""A transport for Apache Thrift's Python library that follows the front's routing.

It asks the daemon's DNS front itself, past the resolvers of the machine: one that ignores TTL 0 would go on
naming a cache that drains. It needs thrift and dnspython, and nothing of the daemon.

    transport = TFramedTransport(SteeredTransport("papers.main.example.org", ("127.0.0.1", 5353)))
    client = Front.Client(TBinaryProtocol(transport, strictRead=True, strictWrite=True))
"""

from __future__ import annotations

import socket
import time

import dns.exception
import dns.message
import dns.query
import dns.rcode
import dns.rdatatype
from thrift.transport.TTransport import TTransportBase, TTransportException

ASK_AGAIN = 0.25  # seconds for which an answer is gone by: drains are to be kept within 500 ms
ASK_LIMIT = 0.25  # for one query, before it is sent again
Address = tuple[str, int]


class SteeredTransport(TTransportBase):  # type: ignore[misc]
    """A byte transport to the one member that the front names for a host.

    `deadline` bounds each call, from its flush to the last byte of its reply. With `write`, a call that may
    have run is never sent again, nor is another member tried; without it, a call whose connection ends before
    any byte of the reply is sent once more, to the member that is named then.
    """

    def __init__(self, host: str, front: Address, deadline: float = 2.5, write: bool = False) -> None:
        self._name, self._front, self._deadline, self._write = f"_rpc._tcp.{host}", front, deadline, write
        self._sock: socket.socket | None = None
        self._member: Address | None = None
        self._asked_at = 0.0
        self._due = 0.0
        self._out, self._sent = bytearray(), b""
        self._replied = False  # a byte of the reply to the call has come

    # What Thrift calls ---------------------------------------------------------------------------

    def isOpen(self) -> bool:
        return self._sock is not None

    def open(self) -> None:
        self._due = time.monotonic() + self._deadline
        self._connect(self._ask())

    def close(self) -> None:
        if self._sock is not None:
            self._sock.close()
        self._sock = None

    def write(self, buf: bytes) -> None:
        self._out += buf

    def flush(self) -> None:
        """Sends one call, to the member that the front names now."""
        self._due = time.monotonic() + self._deadline
        self._sent, self._out = bytes(self._out), bytearray()
        if self._sock is None or time.monotonic() - self._asked_at > ASK_AGAIN:
            named = self._ask()
            if self._sock is None or named != self._member:  # drained, gone, or simply not the one any more
                self._connect(named)
        self._replied = False
        try:
            self._send()
        except OSError as fault:
            self._again(fault)

    def read(self, sz: int) -> bytes:
        while True:
            try:
                data = self._receive(sz)
            except OSError as fault:
                self._again(fault)
                continue
            if not data:
                self._again(ConnectionResetError("the connection ended before the reply did"))
                continue
            self._replied = True
            return data

    # Steering -------------------------------------------------------------------------------------

    def _left(self) -> float:
        left = self._due - time.monotonic()
        if left <= 0:
            self.close()
            raise TTransportException(TTransportException.TIMED_OUT, "the call's deadline has passed")
        return left

    def _ask(self) -> Address:
        """The member that the front names; its 'no' is final, only its silence is asked again."""
        query = dns.message.make_query(self._name, "SRV")
        while True:
            limit = min(ASK_LIMIT, self._left())
            try:
                answer, _ = dns.query.udp_with_fallback(query, self._front[0], limit, self._front[1])
                break
            except dns.exception.Timeout:
                continue
            except (OSError, dns.exception.DNSException) as fault:
                raise TTransportException(
                    TTransportException.NOT_OPEN, f"no answer of the front: {fault}"
                ) from fault
        hosts = [rd.address for rr in answer.additional if rr.rdtype == dns.rdatatype.A for rd in rr]
        ports = [rd.port for rr in answer.answer if rr.rdtype == dns.rdatatype.SRV for rd in rr]
        if len(hosts) != 1 or len(ports) != 1:
            code = dns.rcode.to_text(answer.rcode())
            raise TTransportException(TTransportException.NOT_OPEN, f"the front names no member: {code}")
        self._asked_at = time.monotonic()
        return hosts[0], ports[0]

    def _connect(self, member: Address) -> None:
        self.close()
        try:
            self._sock = socket.create_connection(member, timeout=self._left())
        except OSError as fault:
            raise TTransportException(
                TTransportException.NOT_OPEN, f"{member[0]}:{member[1]}: {fault}"
            ) from fault
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._member = member

    def _send(self) -> None:
        assert self._sock is not None
        self._sock.settimeout(self._left())
        self._sock.sendall(self._sent)

    def _receive(self, sz: int) -> bytes:
        if self._sock is None:
            raise TTransportException(TTransportException.NOT_OPEN, "not open")
        self._sock.settimeout(self._left())
        return self._sock.recv(sz)

    def _again(self, fault: OSError) -> None:
        """Sends a read once more after its connection was lost; guards every write, which may have run."""
        self.close()
        if isinstance(fault, TimeoutError):
            raise TTransportException(
                TTransportException.TIMED_OUT, "the call's deadline has passed"
            ) from fault
        call, self._sent = self._sent, b""
        if self._write or self._replied or not call:
            raise TTransportException(
                TTransportException.END_OF_FILE, f"the call may have run: {fault}"
            ) from fault
        self._connect(self._ask())
        self._sent = call
        try:
            self._send()
        except OSError as again:
            self.close()
            raise TTransportException(TTransportException.END_OF_FILE, str(again)) from again
        self._sent = b""  # once only
