"""A transport for Apache Thrift's Python library that connects to the endpoints a front selects.

It queries the DNS front directly and not through the resolvers of the machine, because a resolver that
ignores a TTL of 0 would still return an endpoint that is draining. It needs thrift and dnspython, and no
module of the daemon.

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

MAX_ANSWER_AGE_SECONDS = 0.25  # clients have to leave a draining endpoint within 500 ms
QUERY_TIMEOUT_SECONDS = 0.25  # an unanswered query is repeated, until the deadline of the call
Address = tuple[str, int]


class SteeredTransport(TTransportBase):  # type: ignore[misc]
    """A byte transport to the endpoint that the front selects for a host.

    If the connection ends before any byte of the reply, a read is sent once more, to the endpoint that the
    front then selects. A write that may have run is never sent again, to this endpoint or to another.

    Every method that contacts the front or an endpoint raises TTransportException: NOT_OPEN if there is no
    connection, TIMED_OUT at the deadline, END_OF_FILE if a call may have run but its reply is missing.
    """

    def __init__(self, host: str, front: Address, deadline: float = 2.5, write: bool = False) -> None:
        """Creates a transport that is not open yet.

        Args:
            host: The name of a host in the front's DNS zone.
            front: The address and port of the front's DNS server.
            deadline: Seconds for each call, from its flush to the last byte of its reply.
            write: Whether calls have effects and so may run only once.
        """
        self._service_name = f"_rpc._tcp.{host}"
        self._front = front
        self._timeout_seconds = deadline
        self._is_write = write
        self._socket: socket.socket | None = None
        self._endpoint: Address | None = None
        self._endpoint_queried_at = 0.0
        self._deadline = 0.0
        self._write_buffer = bytearray()
        self._retryable_call = b""  # the call that was sent last; empty once it has been retried
        self._reply_started = False

    # Methods that Thrift calls -------------------------------------------------------------------

    def isOpen(self) -> bool:  # noqa: N802 - Thrift's name
        """Returns whether there is a connection."""
        return self._socket is not None

    def open(self) -> None:
        """Connects to the endpoint that the front selects now."""
        self._start_deadline()
        self._connect(self._query_endpoint())

    def close(self) -> None:
        """Closes the connection, if there is one."""
        if self._socket is not None:
            self._socket.close()
        self._socket = None

    def write(self, buf: bytes) -> None:
        """Appends bytes to the call that the next `flush` sends."""
        self._write_buffer += buf

    def flush(self) -> None:
        """Sends one call to the endpoint that the front selects.

        The front is queried again if its last answer is older than MAX_ANSWER_AGE_SECONDS.
        """
        self._start_deadline()
        self._retryable_call, self._write_buffer = bytes(self._write_buffer), bytearray()
        if self._socket is None or time.monotonic() - self._endpoint_queried_at > MAX_ANSWER_AGE_SECONDS:
            endpoint = self._query_endpoint()
            if self._socket is None or endpoint != self._endpoint:
                self._connect(endpoint)
        self._reply_started = False
        try:
            self._send()
        except OSError as error:
            self._retry(error)

    def read(self, sz: int) -> bytes:
        """Returns at least one and at most `sz` bytes of the reply."""
        while True:
            try:
                data = self._receive(sz)
            except OSError as error:
                self._retry(error)
                continue
            if not data:
                self._retry(ConnectionResetError("the connection ended before the whole reply arrived"))
                continue
            self._reply_started = True
            return data

    # Routing --------------------------------------------------------------------------------------

    def _start_deadline(self) -> None:
        self._deadline = time.monotonic() + self._timeout_seconds

    def _remaining_seconds(self) -> float:
        remaining = self._deadline - time.monotonic()
        if remaining <= 0:
            self.close()
            raise TTransportException(TTransportException.TIMED_OUT, "the call's deadline has passed")
        return remaining

    def _query_endpoint(self) -> Address:
        """Queries the front and returns the endpoint that it selects.

        A query is repeated only if no answer arrives. A negative answer fails the call.
        """
        answer = self._query_front()
        hosts = [
            data.address for rrset in answer.additional if rrset.rdtype == dns.rdatatype.A for data in rrset
        ]
        ports = [data.port for rrset in answer.answer if rrset.rdtype == dns.rdatatype.SRV for data in rrset]
        if len(hosts) != 1 or len(ports) != 1:
            code = dns.rcode.to_text(answer.rcode())
            raise TTransportException(TTransportException.NOT_OPEN, f"the front returned no endpoint: {code}")
        self._endpoint_queried_at = time.monotonic()
        return hosts[0], ports[0]

    def _query_front(self) -> dns.message.Message:
        query = dns.message.make_query(self._service_name, "SRV")
        host, port = self._front
        while True:
            timeout = min(QUERY_TIMEOUT_SECONDS, self._remaining_seconds())
            try:
                answer, _ = dns.query.udp_with_fallback(query, host, timeout, port)
            except dns.exception.Timeout:
                continue
            except (OSError, dns.exception.DNSException) as error:
                raise TTransportException(
                    TTransportException.NOT_OPEN, f"the DNS query to the front failed: {error}"
                ) from error
            return answer

    def _connect(self, endpoint: Address) -> None:
        self.close()
        try:
            self._socket = socket.create_connection(endpoint, timeout=self._remaining_seconds())
        except OSError as error:
            raise TTransportException(
                TTransportException.NOT_OPEN, f"{endpoint[0]}:{endpoint[1]}: {error}"
            ) from error
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._endpoint = endpoint

    def _send(self) -> None:
        assert self._socket is not None
        self._socket.settimeout(self._remaining_seconds())
        self._socket.sendall(self._retryable_call)

    def _receive(self, max_bytes: int) -> bytes:
        if self._socket is None:
            raise TTransportException(TTransportException.NOT_OPEN, "the transport is not open")
        self._socket.settimeout(self._remaining_seconds())
        return self._socket.recv(max_bytes)

    def _retry(self, cause: OSError) -> None:
        """Sends a read once more after its connection was lost. Raises for a write, which may have run."""
        self.close()
        if isinstance(cause, TimeoutError):
            raise TTransportException(
                TTransportException.TIMED_OUT, "the call's deadline has passed"
            ) from cause
        call, self._retryable_call = self._retryable_call, b""
        if self._is_write or self._reply_started or not call:
            raise TTransportException(
                TTransportException.END_OF_FILE, f"the call may have run: {cause}"
            ) from cause
        self._connect(self._query_endpoint())
        self._retryable_call = call
        try:
            self._send()
        except OSError as error:
            self.close()
            raise TTransportException(TTransportException.END_OF_FILE, str(error)) from error
        self._retryable_call = b""
