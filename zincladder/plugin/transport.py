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
from contextlib import suppress

import dns.exception
import dns.rcode
import dns.rdatatype
from thrift.transport.TTransport import TTransportBase, TTransportException

from zincladder.plugin.connection import Call, EndpointConnection
from zincladder.plugin.front_query import Address, query_service
from zincladder.plugin.messages import CallIdentity, identify, is_refusal, without_frame
from zincladder.plugin.sent_writes import SentWrites

MAX_ANSWER_AGE_SECONDS = 0.25  # clients have to leave a draining endpoint within 500 ms
SENT_WRITES = SentWrites()  # of this process, since a library may repeat a call on another transport


class SteeredTransport(TTransportBase):  # type: ignore[misc]
    """A byte transport to the endpoint that the front selects for a host.

    The constructor's argument `write` sets whether calls are reads or writes. If the connection ends before
    any byte of the reply, a read is sent once more, to the endpoint that the front then selects. A write that
    may have run is never sent again, to this endpoint or to another, also if the library calls again on this
    transport or on another one of this process: a call with the id of such a write fails, until 300 seconds
    have passed. The id is the value of `trace` among the request's fields; calls without one are the same if
    all their bytes are. A write of which no byte was sent, or that was refused, may be sent again.

    A call returns its own reply and no other one, whatever else arrives on the connection: see `connection`.

    Every method that contacts the front or an endpoint raises TTransportException: NOT_OPEN if there is no
    connection or none can be opened in time, TIMED_OUT if the deadline passes during a wait for the front or
    for the reply, END_OF_FILE if a call may have run but its reply is missing, or if it is a write that may
    have run before and was not sent.
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
        self._connection: EndpointConnection | None = None
        self._endpoint: Address | None = None
        self._endpoint_queried_at = 0.0
        self._deadline = 0.0
        self._write_buffer = bytearray()
        self._retryable_call: Call | None = None  # the call that was sent last; None once it has been retried
        self._reply = b""  # to the last call, once it has arrived whole
        self._reply_position = 0  # where the library reads on in it
        self._has_begun_reply = False  # the library has got a byte of a reply whose end is unknown
        self._sent_write: CallIdentity | None = None  # the write that was sent last, until it is settled

    # Methods that Thrift calls -------------------------------------------------------------------

    def isOpen(self) -> bool:  # noqa: N802 - Thrift's name
        """Returns whether there is a connection."""
        return self._connection is not None

    def open(self) -> None:
        """Connects to the endpoint that the front selects now."""
        self._start_deadline()
        self._connect(self._query_endpoint())

    def close(self) -> None:
        """Closes the connection, if there is one."""
        if self._connection is not None:
            self._connection.close()
        self._connection = None
        self._reply, self._reply_position = b"", 0
        self._write_buffer.clear()  # a call that the library gave up before its flush
        self._sent_write = None  # not settled: what comes later shows nothing about its reply

    def write(self, buf: bytes) -> None:
        """Appends bytes to the call that the next `flush` sends."""
        self._write_buffer += buf

    def flush(self) -> None:
        """Sends one call to the endpoint that the front selects.

        The front is queried again if its last answer is older than MAX_ANSWER_AGE_SECONDS, or if there is no
        connection.
        """
        call, self._write_buffer = Call.parse(bytes(self._write_buffer)), bytearray()
        self._start_deadline()
        self._settle_write_of_unknown_end()
        self._reply, self._reply_position = b"", 0
        if self._is_write:
            self._send_write(call)
        else:
            self._send_read(call)

    def _send_read(self, call: Call) -> None:
        self._retryable_call = call
        connection = self._connect_to_current_endpoint()
        try:
            connection.send(connection.begin(call))
        except OSError as error:
            self._retry(error)

    def _send_write(self, call: Call) -> None:
        identity = identify(call.data)
        if not SENT_WRITES.claim(identity.key, time.monotonic()):
            raise TTransportException(
                TTransportException.END_OF_FILE, "the call may have run before, and was not sent again"
            )
        try:
            connection = self._connect_to_current_endpoint()
            data = connection.begin(call)
            connection.limit_time()
        except BaseException:
            SENT_WRITES.release(identity.key)  # no byte of it has left this process
            raise
        sent = self._send_first_bytes(connection, data, identity)
        self._sent_write = identity
        try:
            connection.send(data[sent:])
        except OSError as error:
            self._retry(error)

    def read(self, sz: int) -> bytes:
        """Returns at least one and at most `sz` bytes of the reply, and none of what follows it."""
        while True:
            try:
                return self._read_reply(sz)
            except OSError as error:
                self._retry(error)
            except TTransportException:
                self.close()  # what follows on the connection can't be distinguished from the reply
                raise

    def _read_reply(self, max_bytes: int) -> bytes:
        if self._connection is None:
            raise TTransportException(TTransportException.NOT_OPEN, "the transport is not open")
        if not self._connection.can_find_reply_end:
            data = self._connection.receive_byte()
            self._has_begun_reply = True
            return data
        if not self._reply:
            self._reply, self._reply_position = self._connection.receive_reply(), 0
        data = self._reply[self._reply_position : self._reply_position + max_bytes]
        if not data:
            raise TTransportException(TTransportException.END_OF_FILE, "the reply was read to its end")
        self._reply_position += len(data)
        if self._reply_position == len(self._reply):
            self._settle_answered_write()
        return data

    # Writes that may have run -------------------------------------------------------------------------

    def _settle_answered_write(self) -> None:
        """Lets a write be sent again once its reply was read, if that can't be a repeat or nothing has run.

        A call without an id is distinguished from a later one with the same bytes by its reply alone.
        """
        write, self._sent_write = self._sent_write, None
        if write is not None and (not write.has_id or is_refusal(without_frame(self._reply))):
            SENT_WRITES.release(write.key)

    def _settle_write_of_unknown_end(self) -> None:
        """Settles the write before, if its reply's end is unknown: the library has read it, as it goes on."""
        write, self._sent_write = self._sent_write, None
        if write is not None and self._connection is not None and self._has_begun_reply:
            SENT_WRITES.release(write.key)
        self._has_begun_reply = False

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
        """Queries the front and returns the endpoint that it selects. A negative answer fails the call."""
        try:
            answer, asked_at = query_service(self._service_name, self._front, self._remaining_seconds)
        except TimeoutError as error:
            raise TTransportException(
                TTransportException.TIMED_OUT, "the call's deadline has passed"
            ) from error
        except (OSError, dns.exception.DNSException) as error:
            raise TTransportException(
                TTransportException.NOT_OPEN, f"the DNS query to the front failed: {error}"
            ) from error
        hosts = [
            data.address for rrset in answer.additional if rrset.rdtype == dns.rdatatype.A for data in rrset
        ]
        ports = [data.port for rrset in answer.answer if rrset.rdtype == dns.rdatatype.SRV for data in rrset]
        if len(hosts) != 1 or len(ports) != 1:
            code = dns.rcode.to_text(answer.rcode())
            raise TTransportException(TTransportException.NOT_OPEN, f"the front returned no endpoint: {code}")
        self._endpoint_queried_at = asked_at
        return hosts[0], ports[0]

    def _connect_to_current_endpoint(self) -> EndpointConnection:
        """Returns a connection to the endpoint that the front selects, that can take a call."""
        connection = self._connection
        is_answer_old = time.monotonic() - self._endpoint_queried_at > MAX_ANSWER_AGE_SECONDS
        is_clean = connection is not None and connection.is_clean
        if connection is not None and is_clean and not is_answer_old:
            if not connection.is_used_up:
                return connection
            with suppress(TTransportException):  # the endpoint has gone since
                assert self._endpoint is not None
                return self._connect(self._endpoint)
        endpoint, connection = self._query_endpoint(), self._connection
        if (
            connection is None
            or endpoint != self._endpoint
            or connection.is_used_up
            or not connection.is_clean
        ):
            connection = self._connect(endpoint)
        return connection

    def _connect(self, endpoint: Address) -> EndpointConnection:
        self.close()
        try:
            sock = socket.create_connection(endpoint, timeout=self._remaining_seconds())
        except OSError as error:
            raise TTransportException(
                TTransportException.NOT_OPEN, f"{endpoint[0]}:{endpoint[1]}: {error}"
            ) from error
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._connection, self._endpoint = EndpointConnection(sock, self._remaining_seconds), endpoint
        return self._connection

    def _send_first_bytes(self, connection: EndpointConnection, data: bytes, identity: CallIdentity) -> int:
        """Sends what the system takes of a write at once, and returns its size.

        If the system takes nothing, the write may be sent again, and TTransportException is raised. Any other
        exception, as of a signal's handler, may come after bytes were sent.
        """
        try:
            return connection.send_at_once(data)
        except OSError as error:
            SENT_WRITES.release(identity.key)
            self.close()
            raise TTransportException(
                TTransportException.NOT_OPEN, f"the connection ended before the call was sent: {error}"
            ) from error

    def _retry(self, cause: OSError) -> None:
        """Sends the last call once more after its connection was lost.

        Raises TTransportException if the deadline has passed, if the call is a write, which may have run, if
        its reply has begun, or if it was sent once more already.
        """
        has_begun_reply = self._connection is not None and self._connection.has_begun_reply
        has_begun_reply |= self._has_begun_reply
        self.close()
        if isinstance(cause, TimeoutError):
            raise TTransportException(
                TTransportException.TIMED_OUT, "the call's deadline has passed"
            ) from cause
        call, self._retryable_call = self._retryable_call, None
        if self._is_write or has_begun_reply or call is None:
            raise TTransportException(
                TTransportException.END_OF_FILE, f"the call may have run: {cause}"
            ) from cause
        connection = self._connect(self._query_endpoint())
        try:
            connection.send(connection.begin(call))
        except OSError as error:
            self.close()
            raise TTransportException(TTransportException.END_OF_FILE, str(error)) from error
